//! Builds the messages that an entry sends to its peers.

use std::time::UNIX_EPOCH;

use lycheehaven_dispatch::LoadPart;
use lycheehaven_guard::SpendingSum;
use lycheehaven_types::Name;

use crate::confirm;
use crate::message::Counts;
use crate::message::Message;
use crate::message::Scope;
use crate::message::Status;
use crate::message::encode_silent;
use crate::node::Node;

/// Every how many intervals a digest states the load at upstreams, the largest part of
/// it.
const DIGEST_LOAD_INTERVALS: u64 = 2;

/// Returns a message with the counts of this entry.
pub(crate) fn report(node: &Node, interval: u64) -> Message {
    let now = node.now();
    let counts = Counts {
        spending: SpendingSum {
            spent: node.quotas.borrow_mut().local_spending(now),
            silent: 0,
        },
        requested: node.requested_units.borrow_mut().report(now),
        usage: node.usage.borrow().report(),
        loads: Some(LoadPart::select(
            node.loads.borrow().load_reports(),
            interval,
        )),
        demand: node.demand.borrow_mut().report(now),
    };
    let wall = node.clock.wall().duration_since(UNIX_EPOCH);
    Message {
        status: Status {
            origins: node.origins.borrow_mut().news(now),
            ..status(
                node,
                wall.map_or(0, |time| time.as_millis() as i64),
                interval,
            )
        },
        scope: Scope::Entry,
        counts,
    }
}

/// Returns a message with the sum over this entry's failure domain.
pub(crate) fn domain_sum(node: &Node, interval: u64) -> Message {
    let now = node.now();
    let roster = node.roster.borrow();
    let domain = &node.settings.domain;
    let is_in_domain = |entry: &Name| roster.domain_of(entry) == Some(domain);
    let counts = Counts {
        spending: node.quotas.borrow_mut().domain_sum(roster.parts(), now),
        requested: node.requested_units.borrow_mut().domain_report(now),
        usage: node.usage.borrow().domain_report(is_in_domain),
        loads: Some(LoadPart::select(
            node.loads.borrow().domain_reports(),
            interval,
        )),
        demand: node.demand.borrow_mut().domain_report(now),
    };
    Message {
        status: status(node, node.wall_millis(), interval),
        scope: Scope::Domain {
            domain: domain.clone(),
            silent: encode_silent(roster.silent(Some(domain), now)),
        },
        counts,
    }
}

/// Returns a message for `member` with the sum over all other entries.
pub(crate) fn digest(node: &Node, member: &Name, interval: u64) -> Message {
    let now = node.now();
    let roster = node.roster.borrow();
    let last_report = node.last_reports.borrow().get(member).copied();
    // Only the holder of the lease reports usage.
    let usage = match last_report {
        Some(report) if report.holds_lease => {
            let usage = node.usage.borrow();
            usage.report_for(member, report.incarnation)
        }
        _ => Vec::new(),
    };
    let loads = interval.is_multiple_of(DIGEST_LOAD_INTERVALS).then(|| {
        let reports = node.loads.borrow().reports_for(member);
        LoadPart::select(reports, interval / DIGEST_LOAD_INTERVALS)
    });
    let counts = Counts {
        spending: node
            .quotas
            .borrow_mut()
            .digest_for(member, roster.parts(), now),
        requested: node.requested_units.borrow_mut().report_for(member, now),
        usage,
        loads,
        demand: node.demand.borrow_mut().report_for(member, now),
    };
    Message {
        status: status(node, node.wall_millis(), interval),
        scope: Scope::Fleet {
            silent: encode_silent(roster.silent(None, now)),
            confirmation: last_report.and_then(|report| confirm::confirm(node, &report)),
        },
        counts,
    }
}

fn status(node: &Node, wall_ms: i64, interval: u64) -> Status {
    let now = node.now();
    let directory = node.directory.borrow();
    let news = node.quarantine.borrow_mut().news(interval, now);
    Status {
        from: node.settings.name.clone(),
        incarnation: node.incarnation,
        uptime_ms: node.uptime().as_millis() as u64,
        wall_ms,
        leaving: directory.leaving_news(interval, now),
        gone: directory.removed_news(interval, now),
        rates: node.permits.borrow().news(interval, now),
        news,
        origins: Vec::new(),
        holder_age: node.holder_age(now).map(|age| age.as_millis() as u64),
        version: node.config.borrow().version().unwrap_or(0),
        store_age: node
            .upstreams_read
            .get()
            .map(|read| now.saturating_duration_since(read).as_millis() as u64),
    }
}
