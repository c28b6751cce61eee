//! Claims of several entries on one object, with random interleavings and a store
//! that loses answers.

use lycheehaven_claims::Claim;
use lycheehaven_claims::ClaimReply;
use lycheehaven_claims::ClaimState;
use lycheehaven_claims::Shard;
use lycheehaven_claims::ShardAction;
use lycheehaven_claims::ShardEvent;
use lycheehaven_claims::Ticket;
use lycheehaven_types::Digest;
use proptest::prelude::any;
use proptest::prelude::prop;
use proptest::prelude::proptest;

const ENTRIES: usize = 3;
const KEYS: u8 = 3;

/// The platform's object, written conditionally on its version.
#[derive(Default)]
struct Store {
    version: u64,
    body: Option<Vec<u8>>,
}

impl Store {
    fn load(&self) -> Option<(u64, Vec<u8>)> {
        self.body.clone().map(|body| (self.version, body))
    }

    fn write(&mut self, condition: Option<u64>, body: Vec<u8>) -> Option<u64> {
        let current = self.body.as_ref().map(|_| self.version);
        if condition != current {
            return None;
        }
        self.version += 1;
        self.body = Some(body);
        Some(self.version)
    }
}

#[derive(Debug, Clone, Copy)]
enum Step {
    Submit {
        entry: usize,
        key: u8,
    },
    /// Performs an entry's next read or write; `lose_answer` drops its answer.
    Perform {
        entry: usize,
        lose_answer: bool,
    },
}

struct Entry {
    shard: Shard,
    pending: Option<ShardAction>,
}

struct Model {
    store: Store,
    entries: Vec<Entry>,
    submitted: Vec<(usize, u8)>,
    granted: Vec<(usize, u8)>,
    unavailable: usize,
}

impl Model {
    fn new() -> Self {
        let entry = |_| Entry {
            shard: Shard::new(),
            pending: None,
        };
        Self {
            store: Store::default(),
            entries: (0..ENTRIES).map(entry).collect(),
            submitted: Vec::new(),
            granted: Vec::new(),
            unavailable: 0,
        }
    }

    fn submit(&mut self, entry: usize, key: u8) {
        let ticket = Ticket(self.submitted.len() as u64);
        self.submitted.push((entry, key));
        let claim = Claim {
            key: Digest(u128::from(key)),
            request: Digest(7),
            holder: format!("entry-{entry}").into(),
            nonce: ticket.0,
            state: ClaimState::Held,
        };
        self.handle(entry, ShardEvent::Submit(ticket, claim));
        self.handle(entry, ShardEvent::Flush);
    }

    fn perform(&mut self, entry: usize, lose_answer: bool) {
        let Some(action) = self.entries[entry].pending.take() else {
            return;
        };
        let event = match action {
            ShardAction::Load if lose_answer => ShardEvent::NoAnswer,
            ShardAction::Load => ShardEvent::Loaded(self.store.load()),
            ShardAction::Write(condition, body) => match self.store.write(condition, body) {
                _ if lose_answer => ShardEvent::NoAnswer,
                Some(version) => ShardEvent::Written(version),
                None => ShardEvent::Conflict,
            },
            ShardAction::Reply(..) => unreachable!("replies are handled when they are emitted"),
        };
        self.handle(entry, event);
    }

    fn handle(&mut self, entry: usize, event: ShardEvent) {
        for action in self.entries[entry].shard.handle(event) {
            match action {
                ShardAction::Reply(ticket, ClaimReply::Granted) => {
                    self.granted.push(self.submitted[ticket.0 as usize]);
                }
                ShardAction::Reply(_, ClaimReply::Unavailable) => self.unavailable += 1,
                ShardAction::Reply(_, ClaimReply::Held(_)) => {}
                other => self.entries[entry].pending = Some(other),
            }
        }
    }
}

fn step() -> impl prop::strategy::Strategy<Value = Step> {
    use prop::strategy::Strategy;
    (any::<bool>(), 0..ENTRIES, 0..KEYS, 0..10_u8).prop_map(|(submit, entry, key, draw)| {
        if submit {
            Step::Submit { entry, key }
        } else {
            Step::Perform {
                entry,
                lose_answer: draw < 3,
            }
        }
    })
}

proptest! {
    /// No key is granted twice whichever answers are lost. Once no more answers
    /// are lost, every claim is decided.
    #[test]
    fn no_key_is_granted_twice(steps in prop::collection::vec(step(), 1..120)) {
        let mut model = Model::new();
        for step in steps {
            match step {
                Step::Submit { entry, key } => model.submit(entry, key),
                Step::Perform { entry, lose_answer } => model.perform(entry, lose_answer),
            }
        }
        for _ in 0..200 {
            (0..ENTRIES).for_each(|entry| model.perform(entry, false));
        }
        for key in 0..KEYS {
            let grants = model.granted.iter().filter(|(_, granted)| *granted == key).count();
            assert!(grants <= 1, "key {key} was granted {grants} times");
        }
        assert!(model.entries.iter().all(|entry| entry.shard.is_idle()));
    }
}

/// A claim that its holder records as not sent frees the key for another claim.
#[test]
fn claim_recorded_as_not_run_frees_its_key() {
    let mut model = Model::new();
    model.submit(0, 1);
    (0..4).for_each(|_| model.perform(0, false));
    assert_eq!(model.granted, [(0, 1)]);
    let not_run = Claim {
        key: Digest(1),
        request: Digest(7),
        holder: "entry-0".into(),
        nonce: 0,
        state: ClaimState::NotRun,
    };
    model.submitted.push((0, 9));
    model.handle(0, ShardEvent::Submit(Ticket(1), not_run));
    model.handle(0, ShardEvent::Flush);
    (0..4).for_each(|_| model.perform(0, false));
    model.submit(1, 1);
    (0..6).for_each(|_| model.perform(1, false));
    assert!(model.granted.contains(&(1, 1)));
}
