//! Simulation of entries that share one lease. Their calls are delayed, lost or
//! take effect late, the entries freeze and restart, and the store may go back to an
//! older copy.
//!
//! `LYCHEEHAVEN_SEED` sets the first seed of the simulated runs.

use std::time::Duration;
use std::time::Instant;

use lycheehaven_placement::Lease;
use lycheehaven_placement::LeaseAction;
use lycheehaven_placement::LeaseClient;
use lycheehaven_placement::LeaseEvent;
use lycheehaven_types::number_of;
use lycheehaven_types::revision;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;

const STEP: Duration = Duration::from_millis(50);
const STEPS: u64 = 1200;
const SEEDS: u64 = 200;

/// Lease length for an alternation bound of 3 s.
const LENGTH: Duration = Duration::from_millis(3300);

/// Steps (3 s) within which two holders must not alternate.
const ALTERNATION_STEPS: u64 = 3000 / 50;

/// Steps between reads of the lease, and the timeout of a call in steps.
const READ_INTERVAL_STEPS: u64 = 18;

#[derive(Debug, Clone)]
enum Request {
    Read,
    Write(Option<u64>, Lease),
}

/// A call in flight, with the steps at which it takes effect and is answered. A write
/// without an answer can still take effect.
#[derive(Debug)]
struct Call {
    entry: usize,
    incarnation: u64,
    request: Request,
    effect: u64,
    answer: Option<u64>,
    event: Option<LeaseEvent>,
    /// Era of the store when the call took effect.
    era: u64,
}

struct Entry {
    client: LeaseClient,
    /// Latest era that the client has heard of.
    era: u64,
    incarnation: u64,
    sent_at: Option<u64>,
    next_read: u64,
    frozen_until: u64,
}

impl Entry {
    fn new(index: usize, incarnation: u64, step: u64) -> Self {
        let vm = format!("e{index}");
        let name = format!("{vm}/{incarnation}");
        Self {
            client: LeaseClient::new(name.into(), LENGTH).with_vm(vm.into()),
            era: 0,
            incarnation,
            sent_at: None,
            next_read: step,
            frozen_until: 0,
        }
    }
}

/// A step at which an entry relies on the lease.
#[derive(Debug, Clone, Copy, PartialEq)]
struct HolderStep {
    step: u64,
    entry: usize,
    fence: u64,
}

struct Simulation {
    random: StdRng,
    start: Instant,
    object: Option<(u64, Lease)>,
    /// The object after each step.
    history: Vec<Option<(u64, Lease)>>,
    era: u64,
    /// Probability in each step that the store goes back.
    go_back: f64,
    entries: Vec<Entry>,
    calls: Vec<Call>,
    holder_steps: Vec<HolderStep>,
}

impl Simulation {
    fn new(seed: u64, go_back: f64) -> Self {
        Self {
            random: StdRng::seed_from_u64(seed),
            start: Instant::now(),
            object: None,
            history: Vec::new(),
            era: 0,
            go_back,
            entries: (0..4).map(|index| Entry::new(index, 0, 0)).collect(),
            calls: Vec::new(),
            holder_steps: Vec::new(),
        }
    }

    fn now(&self, step: u64) -> Instant {
        self.start + STEP * step as u32
    }

    fn send(&mut self, entry: usize, request: Request, step: u64) {
        let slow = self.random.random_bool(0.1);
        let max_delay = if slow { 60 } else { 3 };
        let effect = step + self.random.random_range(0..=max_delay);
        let lost = self.random.random_bool(0.1);
        let answer = (!lost).then(|| effect + self.random.random_range(0..3));
        self.entries[entry].sent_at = Some(step);
        self.calls.push(Call {
            entry,
            incarnation: self.entries[entry].incarnation,
            request,
            effect,
            answer,
            event: None,
            era: 0,
        });
    }

    /// Lets the store go back to a copy that is up to five seconds old. It gives versions
    /// out again.
    fn lose_writes(&mut self, step: u64) {
        if self.go_back > 0.0 && self.random.random_bool(self.go_back) {
            let age = self.random.random_range(1..100);
            let copied = step.saturating_sub(age) as usize;
            self.object = self.history.get(copied).cloned().flatten();
            self.era += 1;
        }
        self.history.push(self.object.clone());
    }

    /// Applies the calls that reach the store at `step`.
    fn take_effect(&mut self, step: u64) {
        for call in self.calls.iter_mut().filter(|call| call.effect == step) {
            call.era = self.era;
            let era = self.era;
            call.event = Some(match &call.request {
                Request::Read => {
                    let object = self.object.clone();
                    LeaseEvent::Loaded(
                        object.map(|(version, lease)| (revision(era, version), lease)),
                    )
                }
                Request::Write(condition, lease) => {
                    let version = self.object.as_ref().map(|(version, _)| *version);
                    let condition = condition.map(number_of);
                    if version == condition {
                        let next = version.unwrap_or(0) + 1;
                        self.object = Some((next, lease.clone()));
                        LeaseEvent::Written(revision(era, next))
                    } else {
                        LeaseEvent::Conflict
                    }
                }
            });
        }
    }

    fn inject_faults(&mut self, index: usize, step: u64) {
        if self.random.random_bool(0.002) {
            let incarnation = self.entries[index].incarnation + 1;
            let restart = step + self.random.random_range(4..40);
            self.entries[index] = Entry::new(index, incarnation, restart);
        }
        if self.random.random_bool(0.003) {
            self.entries[index].frozen_until = step + self.random.random_range(10..160);
        }
    }

    fn step_entry(&mut self, index: usize, step: u64) {
        if step < self.entries[index].frozen_until {
            return;
        }
        let now = self.now(step);
        let incarnation = self.entries[index].incarnation;
        let arrived = self.calls.iter().position(|call| {
            let same_process = call.entry == index && call.incarnation == incarnation;
            same_process && call.answer.is_some_and(|at| at <= step) && call.event.is_some()
        });
        let waited_steps = self.entries[index].sent_at.map(|sent_at| step - sent_at);
        let event = match (arrived, waited_steps) {
            (Some(position), Some(_)) => {
                let call = self.calls.swap_remove(position);
                let entry = &mut self.entries[index];
                let is_outdated = call.era < entry.era;
                entry.era = entry.era.max(call.era);
                entry.client.begin_era(entry.era, now);
                if is_outdated {
                    Some(LeaseEvent::NoAnswer)
                } else {
                    call.event
                }
            }
            (_, Some(waited_steps)) if waited_steps >= READ_INTERVAL_STEPS => {
                self.abandon(index);
                Some(LeaseEvent::NoAnswer)
            }
            _ => None,
        };
        if let Some(event) = event {
            self.entries[index].sent_at = None;
            let action = self.entries[index].client.handle(event, now);
            if let Some(LeaseAction::Write(condition, lease)) = action {
                self.send(index, Request::Write(condition, lease), step);
            }
        }
        let entry = &self.entries[index];
        if entry.sent_at.is_none() && step >= entry.next_read {
            self.entries[index].next_read = step + READ_INTERVAL_STEPS;
            self.send(index, Request::Read, step);
        }
        if let Some(fence) = self.entries[index].client.fence(now) {
            let entry = index;
            self.holder_steps.push(HolderStep { step, entry, fence });
        }
    }

    /// Abandons the calls of an entry; their answers are ignored.
    fn abandon(&mut self, index: usize) {
        let own = self.calls.iter_mut().filter(|call| call.entry == index);
        own.for_each(|call| call.answer = None);
    }

    fn run(&mut self) {
        for step in 0..STEPS {
            self.take_effect(step);
            self.lose_writes(step);
            for index in 0..self.entries.len() {
                self.inject_faults(index, step);
                self.step_entry(index, step);
            }
            self.calls
                .retain(|call| call.effect >= step || call.answer.is_some());
        }
    }

    fn check(&self, seed: u64) {
        for pair in self.holder_steps.windows(2) {
            let [first, second] = pair else { continue };
            let same = first.entry == second.entry;
            assert!(
                same || first.step < second.step,
                "seed {seed}: two holders at once: {pair:?}"
            );
            assert!(
                if same {
                    first.fence <= second.fence
                } else {
                    first.fence < second.fence
                },
                "seed {seed}: the fencing token does not increase: {pair:?}"
            );
        }
        for (index, current) in self.holder_steps.iter().enumerate() {
            let before = self.holder_steps[..index]
                .iter()
                .rev()
                .skip_while(|earlier| earlier.entry == current.entry)
                .skip_while(|earlier| earlier.entry != current.entry);
            for earlier in before.take(1) {
                let apart = current.step - earlier.step;
                assert!(
                    apart >= ALTERNATION_STEPS,
                    "seed {seed}: holders alternate within {apart} steps: {earlier:?} {current:?}"
                );
            }
        }
    }
}

#[test]
fn one_holder_at_a_time_under_lost_calls_and_restarts() {
    check_seeds(0.0);
}

#[test]
fn one_holder_at_a_time_though_the_store_goes_back() {
    check_seeds(0.003);
}

fn check_seeds(go_back: f64) {
    let first = std::env::var("LYCHEEHAVEN_SEED")
        .ok()
        .and_then(|text| text.parse().ok())
        .unwrap_or(0);
    let mut holder_steps = 0;
    let mut holder_changes = 0;
    for seed in first..first + SEEDS {
        let mut simulation = Simulation::new(seed, go_back);
        simulation.run();
        simulation.check(seed);
        holder_steps += simulation.holder_steps.len() as u64;
        let pairs = simulation.holder_steps.windows(2);
        holder_changes += pairs.filter(|pair| pair[0].entry != pair[1].entry).count();
    }
    // Guards the simulation itself: the lease must be held and change holders.
    assert!(
        holder_steps > SEEDS * STEPS / 3,
        "{holder_steps} steps with a holder"
    );
    assert!(
        holder_changes as u64 > SEEDS,
        "{holder_changes} changes of the holder"
    );
}
