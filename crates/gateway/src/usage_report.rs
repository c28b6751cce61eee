//! Reports of usage to the cloud, each window once and with the same counts by every
//! holder of the lease.
//!
//! A report is written to the store before it is sent, so that a later holder repeats
//! it. A store that goes back to an older copy loses such records: see
//! [`UsageReporter::first_unreported`].

use std::rc::Rc;

use lycheehaven_adapter::cloud;
use lycheehaven_duties::WindowCounts;
use serde::Deserialize;
use serde::Serialize;

use crate::cloud_calls::CloudCalls;
use crate::node::Node;
use crate::store::WriteOutcome;

/// Kind and name of the last usage report in the store.
const USAGE: (&str, &str) = ("lycheehaven-usage", "last");

/// Delay of a usage report after its window's end, in milliseconds. The peers'
/// counts arrive within this time.
const REPORT_DELAY_MS: i64 = 1500;

/// Delay of a usage report while some peers are unreachable, in milliseconds.
const UNREACHABLE_PEERS_DELAY_MS: i64 = 3500;

/// The last usage report as it is stored.
#[derive(Debug, Clone, Serialize, Deserialize)]
struct UsageRecord {
    #[serde(flatten)]
    counts: WindowCounts,
    /// The store's era when the record was written.
    #[serde(default)]
    era: u64,
}

/// The last usage report in the store.
#[derive(Debug)]
struct UsageReport {
    revision: u64,
    record: UsageRecord,
    delivered: bool,
}

/// Reports usage while this entry holds the lease.
pub(crate) struct UsageReporter {
    node: Rc<Node>,
    cloud: Rc<CloudCalls>,
    report: Option<UsageReport>,
}

impl UsageReporter {
    pub(crate) fn new(node: Rc<Node>, cloud: Rc<CloudCalls>) -> Self {
        Self {
            node,
            cloud,
            report: None,
        }
    }

    /// Forgets the last report, as another holder may have made one since.
    pub(crate) fn reset(&mut self) {
        self.report = None;
    }

    /// Delivers the last report if necessary, or else commits the next one when it
    /// is due.
    pub(crate) async fn run(&mut self) {
        if self.report.is_none() {
            self.load_report().await;
        }
        let undelivered = self.report.as_ref().filter(|last| !last.delivered);
        if let Some(last) = undelivered {
            let counts = last.record.counts.clone();
            let delivered = self.deliver(&counts).await;
            if let Some(last) = &mut self.report {
                last.delivered = delivered;
            }
            return;
        }
        if let Some(window) = self.next_window() {
            self.commit_report(window).await;
        }
    }

    async fn load_report(&mut self) {
        match self.node.store.read(USAGE.0, USAGE.1).await {
            Ok(None) => {}
            Ok(Some(object)) => match UsageRecord::deserialize(&object.spec) {
                Ok(record) => {
                    self.report = Some(UsageReport {
                        revision: object.revision,
                        record,
                        delivered: false,
                    });
                }
                Err(cause) => {
                    let cause = cause.to_string();
                    log::error!(target: "lycheehaven", cause = cause.as_str(); "can't decode the last usage report in the store; retrying");
                }
            },
            Err(cause) => {
                let cause = cause.to_string();
                log::info!(target: "lycheehaven", cause = cause.as_str(); "can't read the last usage report from the store; retrying");
            }
        }
    }

    /// Returns the next window to report, if its counts are complete.
    fn next_window(&self) -> Option<u64> {
        let node = &self.node;
        let roster = node.roster.borrow();
        let delay = if roster.reachable_count(node.now()) + 1 < roster.count() {
            UNREACHABLE_PEERS_DELAY_MS
        } else {
            REPORT_DELAY_MS
        };
        let now_ms = node.wall_millis();
        let usage = node.usage.borrow();
        let newest = usage.window_at(now_ms - delay).checked_sub(1)?;
        let max_lateness = (node.settings.bounds.usage_late_s * 1000.0) as i64;
        let is_of_present_era = |last: &&UsageReport| last.record.era == node.store.era().latest();
        let mut next = match self.report.as_ref().filter(is_of_present_era) {
            Some(last) => last.record.counts.window + 1,
            None => self.first_unreported(newest),
        };
        // Windows past their reporting deadline can't be reported any more.
        while next < newest && usage.window_end(next) + max_lateness < now_ms {
            next += 1;
        }
        (next <= newest).then_some(next)
    }

    /// Returns the first window that no holder has reported, if the store holds no report
    /// of its present era. Reports may be missing from a store that went back, so only
    /// windows count that ended after this entry heard of it.
    fn first_unreported(&self, newest: u64) -> u64 {
        let node = &self.node;
        let Some(lost_before) = node.store.era().lost_before() else {
            return newest;
        };
        let age = node.now().saturating_duration_since(lost_before);
        let lost_before_ms = node.wall_millis() - age.as_millis() as i64;
        newest.max(node.usage.borrow().window_at(lost_before_ms))
    }

    /// Writes a window's counts to the store, so that every later holder delivers
    /// the same report.
    async fn commit_report(&mut self, window: u64) {
        let store = &self.node.store;
        let record = UsageRecord {
            counts: WindowCounts {
                window,
                counts: self.node.usage.borrow().window_total(window),
            },
            era: store.era().latest(),
        };
        let result = match &self.report {
            None => store.create(USAGE.0, USAGE.1, &record).await,
            Some(last) => {
                let revision = Some(last.revision);
                store.replace(USAGE.0, USAGE.1, revision, &record).await
            }
        };
        match result {
            Ok(WriteOutcome::Applied(revision)) => {
                self.report = Some(UsageReport {
                    revision,
                    record,
                    delivered: false,
                });
                Box::pin(self.run()).await;
            }
            // Another holder wrote a report, or an earlier write took effect late.
            Ok(WriteOutcome::Conflict) => self.report = None,
            Err(cause) => {
                self.report = None;
                let cause = cause.to_string();
                log::info!(target: "lycheehaven", window = window, cause = cause.as_str(); "can't write the usage report to the store; retrying");
            }
        }
    }

    /// Sends a report to the cloud. Returns whether it need not be sent again.
    async fn deliver(&self, counts: &WindowCounts) -> bool {
        let body = cloud::usage_body(counts.window, &counts.counts);
        let Some(status) = self.cloud.call(cloud::USAGE_PATH, body).await else {
            return false;
        };
        log::info!(target: "lycheehaven", window = counts.window, status = status; "sent a usage report to the cloud");
        (200..300).contains(&status) || (400..429).contains(&status)
    }
}
