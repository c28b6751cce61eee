//! Records of what began single streams.

use std::collections::VecDeque;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use lycheehaven_types::HashMap;
use lycheehaven_types::Name;

use crate::group::Group;
use crate::stream_key::StreamKey;

/// Most records that are kept, about 20 MB. Further ones of peers and of the store are
/// dropped; their streams count as unknown.
pub const MAX_RECORDS: usize = 300_000;

/// Time for which a new record is part of the messages to peers, so that it arrives
/// although single messages are lost.
const REPORT_PERIOD: Duration = Duration::from_millis(700);

/// What began a stream.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Origin {
    /// Service of the upstream.
    pub service: Name,
    /// Version of the upstream's software.
    pub software: Name,
}

/// Whether this entry has to write a record to the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Writing {
    /// Another entry does.
    Elsewhere,
    /// It is to be written while several versions of its service are listed.
    Due,
    /// It is part of a segment.
    Done,
}

#[derive(Debug)]
struct Record {
    /// `None` if several origins are stated.
    origin: Option<Rc<Origin>>,
    writing: Writing,
    expires: Instant,
}

/// What is known of a stream's origin.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Found {
    /// There is no record.
    Nothing,
    /// Records state several origins, as an identifier was used twice.
    Ambiguous,
    /// This began it.
    Origin(Rc<Origin>),
}

/// Records of streams that may still be taken up.
#[derive(Debug, Default)]
pub struct Origins {
    records: HashMap<StreamKey, Record>,
    /// All origins of records, so that records share them.
    known: Vec<Rc<Origin>>,
    /// This entry's streams of the last [`REPORT_PERIOD`], the oldest first.
    recent: VecDeque<(Instant, StreamKey)>,
    /// Longest time for which a caller may take one of this entry's streams up.
    longest: Duration,
}

impl Origins {
    /// Records what began a stream of this entry that its caller may take up for
    /// `lifetime`.
    pub fn begin(&mut self, key: StreamKey, origin: &Origin, lifetime: Duration, now: Instant) {
        self.longest = self.longest.max(lifetime);
        let origin = self.share(origin);
        self.insert(key, Some(origin), Writing::Due, now + lifetime);
        self.recent.push_back((now, key));
    }

    /// Adds what a peer or the store states of streams, which may be taken up until
    /// `expires`. With `writes`, this entry writes them to the store for the peer.
    pub fn merge(&mut self, groups: &[Group], writes: bool, expires: Instant) {
        let writing = match writes {
            true => Writing::Due,
            false => Writing::Elsewhere,
        };
        for group in groups {
            let origin = group.origin().map(|origin| self.share(&origin));
            for stream in &group.streams {
                let key = StreamKey(*stream);
                if self.records.len() >= MAX_RECORDS && !self.records.contains_key(&key) {
                    return;
                }
                self.insert(key, origin.clone(), writing, expires);
            }
        }
    }

    fn insert(
        &mut self,
        key: StreamKey,
        origin: Option<Rc<Origin>>,
        writing: Writing,
        expires: Instant,
    ) {
        let Some(known) = self.records.get_mut(&key) else {
            let record = Record {
                origin,
                writing,
                expires,
            };
            self.records.insert(key, record);
            return;
        };
        if known.origin != origin && known.origin.is_some() {
            known.origin = None;
            // What was written before is not the whole truth any more.
            known.writing = Writing::Due;
        }
        if known.writing == Writing::Elsewhere {
            known.writing = writing;
        }
        known.expires = known.expires.max(expires);
    }

    fn share(&mut self, origin: &Origin) -> Rc<Origin> {
        if let Some(known) = self.known.iter().find(|known| ***known == *origin) {
            return known.clone();
        }
        let shared = Rc::new(origin.clone());
        self.known.push(shared.clone());
        shared
    }

    /// Returns what is recorded of a stream.
    pub fn find(&self, key: StreamKey, now: Instant) -> Found {
        match self.records.get(&key).filter(|record| record.expires > now) {
            None => Found::Nothing,
            Some(Record { origin: None, .. }) => Found::Ambiguous,
            Some(Record {
                origin: Some(origin),
                ..
            }) => Found::Origin(origin.clone()),
        }
    }

    /// Returns the records of this entry's streams that are part of its next message.
    pub fn news(&mut self, now: Instant) -> Vec<Group> {
        let is_old = |begun: &Instant| now.saturating_duration_since(*begun) > REPORT_PERIOD;
        while self.recent.front().is_some_and(|(begun, _)| is_old(begun)) {
            self.recent.pop_front();
        }
        let keys: Vec<StreamKey> = self.recent.iter().map(|(_, key)| *key).collect();
        self.groups(&keys)
    }

    /// Returns what is recorded of these streams.
    pub fn groups(&self, keys: &[StreamKey]) -> Vec<Group> {
        let mut groups = Vec::new();
        for key in keys {
            if let Some(record) = self.records.get(key) {
                Group::add(&mut groups, record.origin.as_deref(), key.0);
            }
        }
        groups
    }

    /// Returns the records of services for which `is_needed` that are not written to the
    /// store yet. They count as written from now on. Ambiguous ones count as of any service.
    pub fn take_due(&mut self, is_needed: impl Fn(&Name) -> bool, now: Instant) -> Vec<Group> {
        let mut groups = Vec::new();
        for (key, record) in &mut self.records {
            let origin = record.origin.as_deref();
            let needed = origin.is_none_or(|origin| is_needed(&origin.service));
            if record.writing == Writing::Due && needed && record.expires > now {
                record.writing = Writing::Done;
                Group::add(&mut groups, origin, key.0);
            }
        }
        groups
    }

    /// Makes all records due again that this entry has written, as the store lost them.
    pub fn write_again(&mut self) {
        for record in self.records.values_mut() {
            if record.writing == Writing::Done {
                record.writing = Writing::Due;
            }
        }
    }

    /// Removes the records of streams that can't be taken up any more.
    pub fn prune(&mut self, now: Instant) {
        self.records.retain(|_, record| record.expires > now);
        self.known.retain(|origin| Rc::strong_count(origin) > 1);
    }

    /// Returns the longest time for which a caller may take one of this entry's streams up.
    pub fn longest(&self) -> Duration {
        self.longest
    }

    /// Returns the number of records.
    pub fn count(&self) -> usize {
        self.records.len()
    }
}
