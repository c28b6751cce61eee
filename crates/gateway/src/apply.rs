//! Applies the messages that an entry receives from its peers.

use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use lycheehaven_fleet::Role;
use lycheehaven_fleet::Source;
use lycheehaven_types::Name;

use crate::confirm;
use crate::confirm::Confirmation;
use crate::message::Counts;
use crate::message::Message;
use crate::message::Scope;
use crate::message::Status;
use crate::message::decode_silent;
use crate::node::LastReport;
use crate::node::Node;
use crate::origins;
use crate::permits;
use crate::quarantine;

/// Applies a message.
pub(crate) fn message(node: &Rc<Node>, message: Message) {
    let Message {
        status,
        scope,
        counts,
    } = message;
    if status.from == node.settings.name {
        return;
    }
    let now = node.now();
    apply_status(node, &status, now);
    match scope {
        Scope::Entry => apply_entry(node, &status, counts, now),
        Scope::Domain { domain, silent } => {
            let silent = decode_silent(silent);
            node.roster
                .borrow_mut()
                .record_silent(Some(&domain), &silent, now);
            apply_domain(node, &status, &domain, counts, now);
        }
        Scope::Fleet {
            silent,
            confirmation,
        } => {
            // An aggregator knows from first hand which entries are silent.
            if node.role.get() == Role::Member {
                let silent = decode_silent(silent);
                node.roster.borrow_mut().record_silent(None, &silent, now);
            }
            apply_digest(node, &status, confirmation, counts, now);
        }
    }
}

fn apply_status(node: &Node, status: &Status, now: Instant) {
    let from = &status.from;
    node.roster.borrow_mut().record_heartbeat(from, now);
    node.median_clock
        .borrow_mut()
        .update_peer(from, status.wall_ms, node.clock.wall(), now);
    for key in &status.leaving {
        node.mark_leaving(key, from, "-");
    }
    for (key, revision) in &status.gone {
        node.mark_gone(key, *revision, from);
    }
    permits::apply_reports(node, &status.rates, from);
    quarantine::apply_news(node, &status.news, from);
    origins::apply_news(node, &status.origins, from);
    if let Some(age) = status.holder_age {
        node.record_holder(Duration::from_millis(age), now);
    }
    node.record_peer_version(from, status.version);
    if let Some(age) = status.store_age {
        let age = Duration::from_millis(age);
        node.follower_liveness.borrow_mut().record(age, now);
    }
}

/// Applies the counts of a single entry.
fn apply_entry(node: &Node, status: &Status, mut counts: Counts, now: Instant) {
    let (from, incarnation) = (&status.from, status.incarnation);
    if !is_own_part(node, from) {
        return;
    }
    let last_report = LastReport {
        incarnation,
        uptime_ms: status.uptime_ms,
        holds_lease: status.holder_age == Some(0),
    };
    node.last_reports
        .borrow_mut()
        .insert(from.clone(), last_report);
    let mut quotas = node.quotas.borrow_mut();
    let mut usage = node.usage.borrow_mut();
    if ran_at_snapshot(node, status, now) {
        quotas.deduct_recorded(from, incarnation, &counts.spending.spent);
        usage.deduct_recorded(from, incarnation, &counts.usage);
    }
    quotas.update_peer(from, incarnation, &counts.spending.spent, now);
    usage.merge_peer(from, incarnation, std::mem::take(&mut counts.usage));
    apply_sums(node, &Source::Entry(from.clone()), counts, now);
}

/// Whether the counts of an entry are not already part of a sum that this entry
/// receives.
fn is_own_part(node: &Node, entry: &Name) -> bool {
    let roster = node.roster.borrow();
    let domain = roster.domain_of(entry);
    node.role.get() == Role::Mesh || domain.is_none_or(|domain| *domain == node.settings.domain)
}

/// Applies the sum over another failure domain.
fn apply_domain(node: &Node, status: &Status, domain: &Name, mut counts: Counts, now: Instant) {
    if *domain == node.settings.domain {
        return;
    }
    let mut quotas = node.quotas.borrow_mut();
    let mut usage = node.usage.borrow_mut();
    if ran_at_snapshot(node, status, now) {
        quotas.deduct_recorded_domain(domain, &counts.spending, now);
        usage.deduct_recorded_domain(domain, &counts.usage);
    }
    quotas.update_domain(domain, &status.from, &counts.spending, now);
    usage.merge_domain(domain, std::mem::take(&mut counts.usage));
    apply_sums(node, &Source::Domain(domain.clone()), counts, now);
}

/// Applies the sum over all entries except this one.
fn apply_digest(
    node: &Node,
    status: &Status,
    confirmation: Option<Confirmation>,
    mut counts: Counts,
    now: Instant,
) {
    if let Some(confirmation) = confirmation {
        confirm::apply(node, &status.from, &confirmation);
    }
    let mut quotas = node.quotas.borrow_mut();
    quotas.update_digest(&status.from, &counts.spending, now);
    let usage = std::mem::take(&mut counts.usage);
    node.usage.borrow_mut().merge_digest(usage);
    apply_sums(node, &Source::Fleet, counts, now);
}

/// Applies the counts that are kept as sums by source.
fn apply_sums(node: &Node, source: &Source, counts: Counts, now: Instant) {
    node.requested_units
        .borrow_mut()
        .update_source(source.clone(), counts.requested, now);
    node.demand
        .borrow_mut()
        .update_source(source.clone(), counts.demand, now);
    if let Some(loads) = counts.loads {
        node.loads
            .borrow_mut()
            .update_source(source.clone(), loads, now);
    }
}

/// Whether the sender was already running when the counts snapshot was taken that
/// this entry has read. The snapshot then includes what the sender reports.
fn ran_at_snapshot(node: &Node, status: &Status, now: Instant) -> bool {
    let started = now.checked_sub(Duration::from_millis(status.uptime_ms));
    let snapshot_time = node.snapshot_time.get();
    snapshot_time.is_some_and(|at| started < Some(at))
}
