//! Polling of the engines' load and cache events.
//!
//! The entries of a failure domain divide its engines among them and share the
//! loads in their exchanges.

use std::cell::RefCell;
use std::rc::Rc;

use futures_util::future::join_all;
use lycheehaven_net::sleep_ms;
use lycheehaven_routing::Load;
use lycheehaven_routing::Upstream;
use lycheehaven_types::HashMap;
use lycheehaven_types::Incarnation;
use lycheehaven_types::Name;
use lycheehaven_types::rendezvous_order;
use lycheehaven_upstream::protocol::LoadReport;

use crate::node::Node;

#[derive(Debug, Clone, Copy)]
struct Cursor {
    incarnation: Incarnation,
    next: u64,
}

type Cursors = RefCell<HashMap<Name, Cursor>>;

/// Polls the engines assigned to this entry once per period.
pub(crate) async fn run(node: Rc<Node>) {
    let cursors = Cursors::default();
    while !node.stop.is_cancelled() {
        let engines = assigned_engines(&node);
        join_all(
            engines
                .iter()
                .map(|engine| poll_engine(&node, engine, &cursors)),
        )
        .await;
        sleep_ms(node.settings.timing.load_poll_ms).await;
    }
}

fn assigned_engines(node: &Node) -> Vec<Upstream> {
    let entries = node.peers.borrow().serving_in_domain(node.now());
    let declared = node.declared();
    let upstreams = node.upstreams.borrow();
    let in_domain = upstreams
        .iter()
        .filter(|upstream| upstream.domain == node.settings.domain);
    let models = in_domain.filter(|upstream| {
        let service = declared.services.get(&upstream.service);
        service.is_some_and(|service| service.kind == lycheehaven_config::ServiceKind::Model)
    });
    let own = models.filter(|upstream| {
        let order = rendezvous_order(&upstream.id.vm, entries.iter());
        order
            .first()
            .is_none_or(|first| **first == node.settings.name)
    });
    own.cloned().collect()
}

async fn poll_engine(node: &Rc<Node>, engine: &Upstream, cursors: &Cursors) {
    let name = &engine.id.vm;
    let Ok(report) = node.engines.load(engine.addr).await else {
        return;
    };
    let load = load_of(&report, node.wall_millis());
    node.upstreams
        .borrow_mut()
        .update_load(name, engine.id.incarnation, load);
    let from = cursors
        .borrow()
        .get(name)
        .filter(|cursor| cursor.incarnation == engine.id.incarnation)
        .map_or(0, |cursor| cursor.next);
    let Ok(events) = node.engines.cache_events(engine.addr, from).await else {
        return;
    };
    let cursor = Cursor {
        incarnation: engine.id.incarnation,
        next: events.next,
    };
    cursors.borrow_mut().insert(name.clone(), cursor);
    let mut upstreams = node.upstreams.borrow_mut();
    if events.gap {
        // The skipped events may include evictions.
        upstreams.clear_prefixes(name);
    }
    for event in events.events {
        if event.added {
            upstreams.record_cached(name, event.block);
        } else {
            upstreams.record_evicted(name, event.block);
        }
    }
}

fn load_of(report: &LoadReport, time: u64) -> Load {
    Load {
        time,
        running: report.running,
        waiting: report.waiting,
        prefill_tokens: report.prefill_tokens,
        prefill_rate: report.prefill_rate as f32,
        step_us: u32::try_from(report.step_us).unwrap_or(u32::MAX),
        batch_limit: report.batch_limit,
        link_rate: report.link_rate as f32,
    }
}
