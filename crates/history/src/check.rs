//! The rules and their checks.

use std::collections::BTreeMap;
use std::fmt;

use serde::Serialize;

use crate::Ending;
use crate::Event;

/// A guarantee that a history can violate.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Rule {
    /// A request with an idempotency key runs at most once.
    AtMostOnce,
    /// A complete answer is the one that belongs to the request.
    WholeAnswer,
    /// If every send of a key ended as not run, no request with the key ran.
    NotRunTruth,
    /// Every send ends.
    Answered,
    /// A leaving VM receives no new work after the bound.
    LeavingBound,
    /// No incarnation of an entry replaces a configuration with an older one.
    Monotonic,
    /// An accepted configuration is in force at every entry within the bound.
    InForceBound,
    /// An accepted patch is recorded in the configuration under its number.
    NoLostPatch,
}

/// Time bounds of the rules, in milliseconds.
#[derive(Debug, Clone, Copy)]
pub struct Bounds {
    /// Time from the announcement that a VM is leaving to its last new work.
    pub leaving: u64,
    /// Time from the acceptance of a configuration until it is in force at every
    /// entry.
    pub in_force: u64,
}

impl Default for Bounds {
    /// Returns the required bounds: "a few seconds" for a leaving VM, taken as 3 s,
    /// and 13 s for a configuration.
    fn default() -> Self {
        Self {
            leaving: 3000,
            in_force: 13_000,
        }
    }
}

/// A violated rule.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Violation {
    /// The rule.
    pub rule: Rule,
    /// Description of the events that violate it.
    pub detail: String,
}

impl fmt::Display for Violation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:?}: {}", self.rule, self.detail)
    }
}

/// Returns all violations in a history.
pub fn check(history: &[Event], bounds: Bounds) -> Vec<Violation> {
    let mut violations = Vec::new();
    violations.extend(at_most_once(history));
    violations.extend(endings(history));
    violations.extend(not_run_truth(history));
    violations.extend(leaving_bound(history, bounds.leaving));
    violations.extend(monotonic(history));
    violations.extend(in_force_bound(history, bounds.in_force));
    violations.extend(lost_patches(history));
    violations
}

fn violation(rule: Rule, detail: impl Into<String>) -> Violation {
    Violation {
        rule,
        detail: detail.into(),
    }
}

fn runs(history: &[Event]) -> BTreeMap<&str, usize> {
    let mut runs = BTreeMap::new();
    for event in history {
        if let Event::Run { key, .. } = event {
            *runs.entry(key.as_str()).or_insert(0) += 1;
        }
    }
    runs
}

fn at_most_once(history: &[Event]) -> Vec<Violation> {
    let repeated = runs(history).into_iter().filter(|(_, count)| *count > 1);
    repeated
        .map(|(key, count)| violation(Rule::AtMostOnce, format!("{key} ran {count} times")))
        .collect()
}

fn ends(history: &[Event]) -> BTreeMap<&str, &Ending> {
    let ends = history.iter().filter_map(|event| match event {
        Event::End { send, ending, .. } => Some((send.as_str(), ending)),
        _ => None,
    });
    ends.collect()
}

fn endings(history: &[Event]) -> Vec<Violation> {
    let ends = ends(history);
    let mut violations = Vec::new();
    for event in history {
        let Event::Send { send, expected, .. } = event else {
            continue;
        };
        match (ends.get(send.as_str()), expected) {
            (None, _) => violations.push(violation(Rule::Answered, format!("{send} never ended"))),
            (Some(Ending::Whole(text)), Some(expected)) if text != expected => {
                let detail = format!("{send} received {text:?} instead of {expected:?}");
                violations.push(violation(Rule::WholeAnswer, detail));
            }
            _ => {}
        }
    }
    violations
}

fn not_run_truth(history: &[Event]) -> Vec<Violation> {
    let ends = ends(history);
    let runs = runs(history);
    let mut all_not_run: BTreeMap<&str, bool> = BTreeMap::new();
    for event in history {
        if let Event::Send {
            send,
            key: Some(key),
            ..
        } = event
        {
            let not_run = ends
                .get(send.as_str())
                .is_some_and(|end| **end == Ending::NotRun);
            *all_not_run.entry(key.as_str()).or_insert(true) &= not_run;
        }
    }
    let contradicted = all_not_run
        .into_iter()
        .filter(|(key, all)| *all && runs.contains_key(key));
    contradicted
        .map(|(key, _)| {
            violation(
                Rule::NotRunTruth,
                format!("{key} ran although every send ended as not run"),
            )
        })
        .collect()
}

fn leaving_bound(history: &[Event], bound: u64) -> Vec<Violation> {
    let mut announced: BTreeMap<&str, u64> = BTreeMap::new();
    for event in history {
        if let Event::Leaving { time, vm } = event {
            let first = announced.entry(vm.as_str()).or_insert(*time);
            *first = (*first).min(*time);
        }
    }
    let late = history.iter().filter_map(|event| match event {
        Event::Work { time, vm } => {
            let since = announced.get(vm.as_str())?;
            let after = time.checked_sub(*since)?;
            (after > bound)
                .then(|| format!("{vm} received work {after} ms after its leaving was announced"))
        }
        _ => None,
    });
    late.map(|detail| violation(Rule::LeavingBound, detail))
        .collect()
}

fn monotonic(history: &[Event]) -> Vec<Violation> {
    let mut latest: BTreeMap<(&str, u64), (u64, u64)> = BTreeMap::new();
    let mut events: Vec<_> = history.iter().filter_map(in_force).collect();
    events.sort_by_key(|(time, ..)| *time);
    let mut violations = Vec::new();
    for (_, entry, run, number) in events {
        let (_, known) = latest.entry((entry, run)).or_insert((run, 0));
        if number < *known {
            let detail = format!("{entry} replaced configuration {known} with the older {number}");
            violations.push(violation(Rule::Monotonic, detail));
        }
        *known = number.max(*known);
    }
    violations
}

fn in_force(event: &Event) -> Option<(u64, &str, u64, u64)> {
    match event {
        Event::InForce {
            time,
            entry,
            run,
            number,
        } => Some((*time, entry, *run, *number)),
        _ => None,
    }
}

/// Checks every entry that has put any configuration in force. An entry violates
/// the rule if it reaches the number of an accepted patch late or never, even if
/// its events end before the bound.
fn in_force_bound(history: &[Event], bound: u64) -> Vec<Violation> {
    let mut violations = Vec::new();
    let mut entries: Vec<&str> = history
        .iter()
        .filter_map(in_force)
        .map(|(_, entry, ..)| entry)
        .collect();
    entries.sort_unstable();
    entries.dedup();
    for event in history {
        let Event::Accepted { time, number, .. } = event else {
            continue;
        };
        for entry in &entries {
            let mut reached = history
                .iter()
                .filter_map(in_force)
                .filter(|(_, e, _, n)| e == entry && n >= number);
            let first = reached
                .next()
                .map(|first| reached.map(|r| r.0).fold(first.0, u64::min));
            let detail = match first {
                None => format!("{entry} never put configuration {number} in force"),
                Some(first) if first > time + bound => {
                    format!(
                        "{entry} put configuration {number} in force {} ms late",
                        first - time - bound
                    )
                }
                Some(_) => continue,
            };
            violations.push(violation(Rule::InForceBound, detail));
        }
    }
    violations
}

fn lost_patches(history: &[Event]) -> Vec<Violation> {
    let recorded: BTreeMap<&str, u64> = history
        .iter()
        .filter_map(|event| match event {
            Event::Recorded { number, writer } => Some((writer.as_str(), *number)),
            _ => None,
        })
        .collect();
    if recorded.is_empty() {
        return Vec::new();
    }
    let lost = history.iter().filter_map(|event| match event {
        Event::Accepted { number, writer, .. } => {
            let known = recorded.get(writer.as_str());
            (known != Some(number))
                .then(|| format!("patch {writer}, accepted as {number}, is lost"))
        }
        _ => None,
    });
    lost.map(|detail| violation(Rule::NoLostPatch, detail))
        .collect()
}
