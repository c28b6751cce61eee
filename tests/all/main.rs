//! Integration tests with real entry processes.

mod path;
mod support;
