//! Requests that crash the upstreams which run them.

use std::collections::VecDeque;
use std::time::Duration;
use std::time::Instant;

use lycheehaven_catalog::UpstreamKey;
use lycheehaven_types::Digest;
use lycheehaven_types::HashMap;
use lycheehaven_types::HashSet;

/// Crashed upstreams after which a request is refused.
const CRASHES: usize = 3;

/// Time between a broken connection and the news that the upstream is down,
/// within which the two belong together.
const CONFIRM: Duration = Duration::from_secs(5);

/// Time for which a request stays suspect after its last crash.
const REMEMBER: Duration = Duration::from_secs(60);

#[derive(Debug)]
struct Break {
    digest: Digest,
    upstream: UpstreamKey,
    at: Instant,
}

#[derive(Debug)]
struct Record {
    upstreams: HashSet<UpstreamKey>,
    last: Instant,
}

/// Counts, by a digest of path, caller and body, the upstreams that went down
/// while they ran a request. A connection that breaks while its upstream goes
/// on is no crash.
#[derive(Debug, Default)]
pub struct CrashTracker {
    breaks: VecDeque<Break>,
    records: HashMap<Digest, Record>,
}

impl CrashTracker {
    /// Notes that the connection broke on which `upstream` ran a request.
    pub fn record_disconnect(&mut self, digest: Digest, upstream: &UpstreamKey, now: Instant) {
        self.breaks.push_back(Break {
            digest,
            upstream: upstream.clone(),
            at: now,
        });
        while let Some(first) = self.breaks.front() {
            if now.saturating_duration_since(first.at) < CONFIRM {
                break;
            }
            self.breaks.pop_front();
        }
    }

    /// Notes that `upstream` is down. Returns the requests that this accuses.
    pub fn record_crash(&mut self, upstream: &UpstreamKey, now: Instant) -> Vec<Digest> {
        let mut accused = Vec::new();
        self.breaks.retain(|seen| {
            let recent = now.saturating_duration_since(seen.at) < CONFIRM;
            if recent && seen.upstream == *upstream {
                accused.push(seen.digest);
            }
            recent && seen.upstream != *upstream
        });
        for digest in &accused {
            self.add_crash_report(*digest, upstream, now);
        }
        accused
    }

    /// Counts a crash that this entry or a peer saw.
    pub fn add_crash_report(&mut self, digest: Digest, upstream: &UpstreamKey, now: Instant) {
        self.records
            .retain(|_, record| now.saturating_duration_since(record.last) < REMEMBER);
        let record = self.records.entry(digest).or_insert_with(|| Record {
            upstreams: HashSet::default(),
            last: now,
        });
        if record.upstreams.insert(upstream.clone()) {
            record.last = now;
        }
    }

    /// Whether a request has crashed too many upstreams to run again.
    pub fn is_quarantined(&self, digest: &Digest) -> bool {
        self.records
            .get(digest)
            .is_some_and(|record| record.upstreams.len() >= CRASHES)
    }

    /// Crashes to tell peers of.
    pub fn crash_reports(&self) -> Vec<(Digest, UpstreamKey)> {
        self.records
            .iter()
            .flat_map(|(digest, record)| {
                record
                    .upstreams
                    .iter()
                    .map(move |upstream| (*digest, upstream.clone()))
            })
            .take(64)
            .collect()
    }
}
