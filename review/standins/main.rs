//! Runs one case of the review: `review-case NAME RECORD`. Exits with 1 if the rule was
//! broken, 0 if it held, and 2 if the case couldn't run. With `TROUBLE=0` in the
//! environment, the disruption is left out.

#![allow(dead_code)]

mod attempts;
mod download;
mod engine;
mod fleet;
mod http;
mod json;
mod parts;
mod platform;
mod restored;
mod revoked;
mod silence;
mod unreadable;

use std::process::ExitCode;

/// The result of a case.
pub enum Verdict {
    Broken,
    Held,
    NotRun(String),
}

fn main() -> ExitCode {
    let mut arguments = std::env::args().skip(1);
    let (Some(name), Some(path)) = (arguments.next(), arguments.next()) else {
        eprintln!("usage: review-case NAME RECORD");
        return ExitCode::from(2);
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let record = engine::Record::new();
    let verdict = match name.as_str() {
        "download" => download::run(trouble, &record),
        "silence" => silence::run(trouble, &record),
        "attempts" => attempts::run(trouble, &record),
        "unreadable" => unreadable::run(trouble, &record),
        "parts" => parts::run(trouble, &record),
        "restored" => restored::run(trouble, &record),
        "revoked" => revoked::run(trouble, &record),
        other => Verdict::NotRun(format!("no case {other}")),
    };
    let (line, code) = match verdict {
        Verdict::Broken => ("the rule was broken".to_owned(), 1),
        Verdict::Held => ("the rule held".to_owned(), 0),
        Verdict::NotRun(cause) => (format!("the case could not run: {cause}"), 2),
    };
    println!("{line}");
    record.add(line);
    record.write(&path);
    ExitCode::from(code)
}
