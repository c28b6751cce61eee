//! Counts a request where it runs.

use std::cell::Cell;
use std::rc::Rc;

use lycheehaven_catalog::UpstreamKey;
use lycheehaven_dispatch::Activity;
use lycheehaven_dispatch::Load;
use lycheehaven_dispatch::PRIORITY_LEVELS;
use lycheehaven_types::Name;
use lycheehaven_types::RunNumber;

use crate::attempt::Job;
use crate::node::Node;

/// Counts a request towards an upstream's load until the guard is dropped.
pub(crate) struct LoadGuard {
    node: Rc<Node>,
    key: UpstreamKey,
    load: Cell<Load>,
    activity: Rc<Activity>,
    route: Name,
    number: RunNumber,
}

impl LoadGuard {
    pub(crate) fn new(node: &Rc<Node>, job: &Job, key: &UpstreamKey, load: Load) -> Self {
        let mut loads = node.loads.borrow_mut();
        loads.add_load(key, &load);
        let activity = loads.activity(key);
        let now = node.now();
        activity.begin(now);
        let route = job.route.name.clone();
        let number = node.work_times.borrow_mut().begin(&route, now);
        Self {
            node: node.clone(),
            key: key.clone(),
            load: Cell::new(load),
            activity,
            route,
            number,
        }
    }

    /// Returns what is heard of the upstream.
    pub(crate) fn activity(&self) -> &Activity {
        &self.activity
    }

    /// Removes the prompt from the load: the upstream has processed it once its
    /// response starts.
    pub(crate) fn response_started(&self) {
        let load = self.load.get();
        let prefill = Load {
            requests: 0,
            kv_tokens: 0,
            ..load
        };
        self.node
            .loads
            .borrow_mut()
            .remove_load(&self.key, &prefill);
        self.load.set(Load {
            prefill_tokens: [0; PRIORITY_LEVELS],
            ..load
        });
    }
}

impl Drop for LoadGuard {
    fn drop(&mut self) {
        let load = self.load.get();
        self.node.loads.borrow_mut().remove_load(&self.key, &load);
        self.activity.end();
        let mut work_times = self.node.work_times.borrow_mut();
        work_times.end(&self.route, self.number);
    }
}
