//! Records of streams in the store, for the time after all entries have stopped at once.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use lycheehaven_adapter::store::Object;
use lycheehaven_fleet::Role;
use lycheehaven_net::sleep_ms;
use lycheehaven_origins::Segment;
use lycheehaven_origins::Segments;
use lycheehaven_origins::Served;
use serde::Deserialize;
use tokio::sync::Notify;

use crate::node::Node;
use crate::origins;
use crate::served;
use crate::store::StoreError;
use crate::store::WriteOutcome;

/// Kind of the objects in the store that hold records.
const ORIGINS: &str = "lycheehaven-origins";

/// Time from one write to the next, in milliseconds: with twelve entries, 300 writes a
/// second at most.
const WRITE_INTERVAL_MS: u64 = 40;

/// Time without new records after which it is checked whether something is to be written.
const RECHECK_INTERVAL: Duration = Duration::from_millis(250);

/// Time after which expired records are removed, in milliseconds, as clocks differ.
const REMOVAL_DELAY_MS: i64 = 60_000;

/// Writes the records of streams of which nothing else tells what began them. In a fleet with aggregators, one of each failure domain writes for all.
pub(crate) async fn write_records(node: Rc<Node>) {
    let mut segments = Segments::default();
    let mut era = None;
    loop {
        sleep_ms(WRITE_INTERVAL_MS).await;
        let due = node.record_due.notified();
        // The list of software may have changed, or a write may have failed.
        let _ = compio::time::timeout(RECHECK_INTERVAL, due).await;
        let latest = node.store.era().latest();
        if era.replace(latest).is_some_and(|known| known != latest) {
            segments = Segments::default();
            node.origins.borrow_mut().write_again();
        }
        if !is_writer(&node) {
            continue;
        }
        let taken = node.now();
        add_due(&node, &mut segments);
        match write_due(&node, &mut segments).await {
            Ok(()) => node.records_written.record(taken),
            Err(cause) => {
                let cause = cause.to_string();
                log::info!(target: "lycheehaven", cause = cause.as_str(); "can't write records of streams to the store; retrying");
            }
        }
    }
}

async fn write_due(node: &Node, segments: &mut Segments) -> Result<(), StoreError> {
    for (number, segment) in segments.due() {
        write(node, number, &segment).await?;
        segments.record_written(number, &segment);
    }
    Ok(())
}

/// Up to when records of streams are in the store.
#[derive(Debug, Default)]
pub(crate) struct RecordsWritten {
    until: Cell<Option<Instant>>,
    changed: Notify,
}

impl RecordsWritten {
    fn record(&self, until: Instant) {
        self.until.set(Some(until));
        self.changed.notify_waiters();
    }

    /// Waits until the records of all streams that began before `at` are in the store.
    pub(crate) async fn reach(&self, at: Instant) {
        loop {
            let changed = self.changed.notified();
            if self.until.get().is_some_and(|until| until >= at) {
                return;
            }
            changed.await;
        }
    }
}

/// Whether this entry writes records: in a mesh each entry its own, else the first
/// aggregator of a failure domain those of all its entries.
fn is_writer(node: &Node) -> bool {
    match node.role.get() {
        Role::Mesh => true,
        Role::Member => false,
        Role::Aggregator => {
            let domain = node.settings.domain.clone();
            let mut roster = node.roster.borrow_mut();
            let aggregators = roster.aggregators(&domain, node.now());
            aggregators.first() == Some(&node.settings.name)
        }
    }
}

fn add_due(node: &Node, segments: &mut Segments) {
    let served = node.served.borrow();
    let Some(list) = served.last() else {
        return;
    };
    let recorded = list.recorded_services(&served::situation(node));
    if recorded.is_empty() {
        return;
    }
    let now = node.now();
    let mut origins = node.origins.borrow_mut();
    let groups = origins.take_due(|service| recorded.contains(&service), now);
    segments.add(groups, list.longest(), node.wall_millis(), now);
}

async fn write(node: &Node, number: usize, segment: &Segment) -> Result<(), StoreError> {
    // An earlier process of this entry wrote segments of its own.
    let name = format!("{}.{:x}.{number}", node.settings.name, node.incarnation);
    let replaced = node.store.replace(ORIGINS, &name, None, segment).await?;
    if let WriteOutcome::Conflict = replaced {
        node.store.create(ORIGINS, &name, segment).await?;
    }
    Ok(())
}

/// Reads all records in the store.
pub(crate) async fn read(node: &Node) -> Result<(), StoreError> {
    let (objects, _) = node.store.list(ORIGINS).await?;
    for segment in objects.iter().filter_map(decode) {
        origins::merge(node, &segment.groups);
    }
    Ok(())
}

/// Removes the records of streams that can't be taken up any more.
pub(crate) async fn remove_expired(node: &Node) -> Result<(), StoreError> {
    let (objects, _) = node.store.list(ORIGINS).await?;
    let own = format!("{}.{:x}.", node.settings.name, node.incarnation);
    let before_ms = node.wall_millis() - REMOVAL_DELAY_MS;
    for object in objects
        .iter()
        .filter(|object| !object.name.starts_with(&own))
    {
        let is_expired = |segment: Segment| segment.until_ms < before_ms;
        if decode(object).is_none_or(is_expired) {
            node.store.delete(ORIGINS, &object.name).await?;
            compio::time::sleep(Duration::from_millis(20)).await;
        }
    }
    Ok(())
}

fn decode(object: &Object) -> Option<Segment> {
    match Segment::deserialize(&object.spec) {
        Ok(segment) => Some(segment),
        Err(cause) => {
            let cause = cause.to_string();
            log::warn!(target: "lycheehaven", name = object.name.as_str(), cause = cause.as_str(); "can't decode records of streams in the store; their streams count as unknown");
            None
        }
    }
}

/// Reads what the store says of origins. Returns whether it answered.
pub(crate) async fn read_all(node: &Node) -> bool {
    let result = async {
        served::read(node).await?;
        let is_needed = {
            let served = node.served.borrow();
            let situation = served::situation(node);
            let is_clear = |list: &Served| list.recorded_services(&situation).is_empty();
            !served.last().is_some_and(is_clear)
        };
        match node.role.get() {
            // Its aggregators read them.
            Role::Member => Ok(()),
            Role::Mesh | Role::Aggregator if is_needed => read(node).await,
            Role::Mesh | Role::Aggregator => Ok(()),
        }
    };
    match result.await {
        Ok(()) => true,
        Err(error) => {
            let error: StoreError = error;
            let cause = error.to_string();
            log::info!(target: "lycheehaven", cause = cause.as_str(); "can't read from the store what began streams");
            false
        }
    }
}
