//! Integration tests with entries as child processes.

mod backpressure;
mod claims;
mod configuration;
mod continuation;
mod late_caller;
mod late_fetch;
mod late_in_stop;
mod odd_values;
mod partition;
mod path;
mod placement;
mod poison;
mod raw_engine;
mod raw_input;
mod reclaim;
mod request_rate;
mod seeded;
mod silence;
mod silence_deadline;
mod stop;
mod stop_callers;
mod support;
mod tools;
mod truncation;
mod upstream_notice;
