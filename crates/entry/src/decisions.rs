//! Log of decisions, the latest of which `explain` shows.

use std::cell::RefCell;
use std::collections::VecDeque;

use lycheehaven_routing::Choice;
use lycheehaven_types::Name;
use serde::Serialize;

/// Number of decisions kept for `explain`.
const MAX_DECISIONS: usize = 2000;

/// One decision about a request or a VM.
#[derive(Debug, Clone, Serialize)]
pub(crate) struct Decision {
    /// Milliseconds since the Unix epoch.
    pub(crate) time: u64,
    /// Kind of decision.
    pub(crate) action: &'static str,
    /// Identifier of the request, or name of the VM, that it concerns.
    pub(crate) subject: String,
    /// What was chosen.
    pub(crate) choice: String,
    /// Why.
    pub(crate) reason: String,
    /// Candidates of a routing decision.
    pub(crate) candidates: Vec<CandidateScore>,
}

/// A candidate with its score.
#[derive(Debug, Clone, Serialize)]
pub(crate) struct CandidateScore {
    pub(crate) vm: Name,
    pub(crate) score: f64,
    pub(crate) cached: u64,
}

/// Ring buffer of the latest decisions.
#[derive(Debug, Default)]
pub(crate) struct Decisions {
    latest: RefCell<VecDeque<Decision>>,
}

impl Decisions {
    /// Logs and keeps a routing decision.
    pub(crate) fn record_route(&self, time: u64, subject: &str, choice: &Choice) {
        let candidates = choice.candidates.iter().map(|scored| CandidateScore {
            vm: scored.vm.clone(),
            score: (scored.score * 100.0).round() / 100.0,
            cached: scored.cached,
        });
        self.add(Decision {
            time,
            action: "route",
            subject: subject.to_owned(),
            choice: choice.vm.to_string(),
            reason: choice.reason.as_str().to_owned(),
            candidates: candidates.collect(),
        });
    }

    /// Logs and keeps a decision without candidates.
    pub(crate) fn record(
        &self,
        time: u64,
        action: &'static str,
        subject: &str,
        choice: &str,
        reason: impl Into<String>,
    ) {
        self.add(Decision {
            time,
            action,
            subject: subject.to_owned(),
            choice: choice.to_owned(),
            reason: reason.into(),
            candidates: Vec::new(),
        });
    }

    /// Returns the kept decisions about `subject`, oldest first.
    pub(crate) fn for_subject(&self, subject: &str) -> Vec<Decision> {
        let latest = self.latest.borrow();
        latest
            .iter()
            .filter(|decision| decision.subject == subject)
            .cloned()
            .collect()
    }

    fn add(&self, decision: Decision) {
        let candidates = serde_json::to_string(&decision.candidates).expect("candidates serialize");
        log::info!(
            target: "decision",
            action = decision.action,
            request = decision.subject.as_str(),
            choice = decision.choice.as_str(),
            reason = decision.reason.as_str(),
            candidates = candidates.as_str();
            "decision"
        );
        let mut latest = self.latest.borrow_mut();
        latest.push_back(decision);
        if latest.len() > MAX_DECISIONS {
            latest.pop_front();
        }
    }
}
