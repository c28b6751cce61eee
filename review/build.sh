#!/bin/sh
# Builds the stand-ins that the cases start, with the Rust toolchain alone.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review
rustc --edition 2021 -O -o target/review/review-case review/standins/main.rs
