//! Entries that ask each other for permits over a network that loses and delays messages,
//! and one upstream. Times are milliseconds.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::Duration;
use std::time::Instant;

use lycheehaven_catalog::UpstreamKey;
use lycheehaven_permits::Ask;
use lycheehaven_permits::ISSUER_WAIT;
use lycheehaven_permits::Permits;
use lycheehaven_permits::Report;
use lycheehaven_permits::Statement;
use lycheehaven_permits::Step;
use lycheehaven_permits::View;
use lycheehaven_types::HashMap;
use lycheehaven_types::Name;
use lycheehaven_types::RequestRate;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;

/// Length of a play.
pub(crate) const LENGTH: u64 = 20_000;

/// Time from the first statement on from which requests are counted.
const CONTACT_TIME: u64 = 3_000;

/// Time from which an entry is bound by a statement that it heard.
const TOLD_TIME: u64 = 500;

const WINDOW: u64 = 4_000;

/// Time without a message after which an entry does not count as live.
const SILENCE: u64 = 1_500;

const EXCHANGE_INTERVAL: u64 = 200;

/// Peers whose messages an entry receives in an interval.
const EXCHANGE_PEERS: usize = 3;

const ASK_TIMEOUT: u64 = 150;

/// How entries share the rate.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Way {
    Permits,
    /// Each entry takes an even share, rounded up to whole requests in a window.
    RoundedShares,
    /// Each entry takes an even share and sends a request whenever it has a whole one.
    FullShares,
}

/// Entries that a disturbance separates from all others.
#[derive(Debug, Clone)]
pub(crate) struct Trouble {
    entries: Vec<usize>,
    from: u64,
    until: u64,
    /// Whether the processes stand still, and not only their links.
    paused: bool,
    /// Whether the processes have forgotten everything at the end.
    restarts: bool,
}

impl Trouble {
    /// Cuts off a failure domain.
    pub(crate) fn cut_domain(fleet: &Fleet, domain: usize, from: u64, until: u64) -> Self {
        Self {
            entries: fleet.in_domain(domain),
            from,
            until,
            paused: false,
            restarts: false,
        }
    }

    /// Draws pauses, restarts and cuts of single entries, most of them in the domain whose
    /// entries issue the permits.
    pub(crate) fn mixed(fleet: &Fleet, seed: u64) -> Vec<Self> {
        let mut rng = StdRng::seed_from_u64(seed ^ 0x7a0b);
        let issuers = fleet.in_domain(0);
        let count = 2 + fleet.entries / 20;
        let draw = |_| {
            let entry = match rng.random_bool(0.6) {
                true => issuers[rng.random_range(0..issuers.len())],
                false => rng.random_range(0..fleet.entries),
            };
            let from = rng.random_range(4_000..15_000);
            let kind = rng.random_range(0..3);
            Self {
                entries: vec![entry],
                from,
                until: from + rng.random_range(300..4_000),
                paused: kind > 0,
                restarts: kind == 2,
            }
        };
        (0..count).map(draw).collect()
    }

    fn covers(&self, entry: usize, from: u64, until: u64) -> bool {
        self.from <= from && until < self.until && self.entries.contains(&entry)
    }
}

#[derive(Debug, Clone)]
pub(crate) struct Fleet {
    pub(crate) entries: usize,
    pub(crate) domains: usize,
    /// Rates that the upstream states, and from when on.
    pub(crate) rates: Vec<(u64, Option<f64>)>,
    /// Requests a second that callers want to send to the upstream.
    pub(crate) demand: f64,
    pub(crate) troubles: Vec<Trouble>,
    /// Part of the messages between entries that is lost.
    pub(crate) loss: f64,
    pub(crate) way: Way,
}

impl Fleet {
    pub(crate) fn greatest_rate(&self) -> f64 {
        let rates = self.rates.iter().filter_map(|(_, rate)| *rate);
        rates.fold(0.0, f64::max)
    }

    fn in_domain(&self, domain: usize) -> Vec<usize> {
        let entries = 0..self.entries;
        entries
            .filter(|entry| entry % self.domains == domain)
            .collect()
    }

    fn rate_at(&self, now: u64) -> Option<f64> {
        let stated = self.rates.iter().rev().find(|(from, _)| *from <= now);
        stated.and_then(|(_, rate)| *rate)
    }

    fn is_paused(&self, entry: usize, now: u64) -> bool {
        let mut troubles = self.troubles.iter();
        troubles.any(|trouble| trouble.paused && trouble.covers(entry, now, now))
    }

    /// Whether a disturbance separates two entries during the whole of a period.
    fn are_separate(&self, a: usize, b: usize, from: u64, until: u64) -> bool {
        let mut troubles = self.troubles.iter();
        troubles.any(|trouble| {
            trouble.covers(a, from, until) != trouble.covers(b, from, until)
                || (trouble.paused && trouble.covers(a, from, until))
        })
    }

    /// Whether `entry` has heard `other` lately.
    fn is_live(&self, entry: usize, other: usize, now: u64) -> bool {
        entry == other || !self.are_separate(entry, other, now.saturating_sub(SILENCE), now)
    }

    /// Whether a disturbance excuses what the entry sends.
    fn is_excused(&self, entry: usize, now: u64) -> bool {
        self.troubles.iter().any(|trouble| {
            let ends = trouble.until + CONTACT_TIME;
            trouble.entries.contains(&entry) && (trouble.from..ends).contains(&now)
        })
    }
}

/// What reached the upstream.
#[derive(Debug)]
pub(crate) struct Outcome {
    arrivals: Vec<u64>,
    /// Most requests in a window, from [`CONTACT_TIME`] on.
    pub(crate) most: usize,
    /// The same, without those of entries that were disturbed or not told.
    pub(crate) most_counted: usize,
}

impl Outcome {
    pub(crate) fn most_between(&self, from: u64, until: u64) -> usize {
        let arrivals = self.arrivals.iter().copied();
        let arrivals = arrivals.filter(|at| (from..until).contains(at));
        most_in_window(&arrivals.collect::<Vec<_>>())
    }

    /// Returns the part of the rate that was used after [`CONTACT_TIME`].
    pub(crate) fn used(&self, rate: f64) -> f64 {
        let counted = self.arrivals.iter().filter(|at| **at >= CONTACT_TIME);
        counted.count() as f64 / (rate * (LENGTH - CONTACT_TIME) as f64 / 1000.0)
    }
}

fn most_in_window(arrivals: &[u64]) -> usize {
    let mut most = 0;
    let mut first = 0;
    for (index, at) in arrivals.iter().enumerate() {
        while arrivals[first] + WINDOW <= *at {
            first += 1;
        }
        most = most.max(index + 1 - first);
    }
    most
}

#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    /// A caller's request chooses the upstream at an entry.
    Request(usize),
    /// An ask of the first entry reaches the second.
    Ask(usize, usize, AskNumber),
    /// The answer to an ask reaches the entry.
    Answer(usize, AskNumber, Option<u64>),
    /// The request of an entry reaches the upstream.
    Arrive(usize, u64),
    /// The response to a request sent at this time reaches the entry.
    Respond(usize, u64, Option<u64>),
    Exchange(usize),
    Restart(usize),
}

type AskNumber = u64;

#[derive(Default)]
struct Entry {
    permits: Permits,
    /// When the asks that are not answered were sent.
    open: HashMap<AskNumber, u64>,
    told: Option<u64>,
    /// Requests that the entry's own share allows, where it has one.
    share: f64,
    share_at: u64,
}

struct Play<'a> {
    fleet: &'a Fleet,
    rng: StdRng,
    start: Instant,
    key: UpstreamKey,
    names: Vec<Name>,
    entries: Vec<Entry>,
    queue: BinaryHeap<Reverse<(u64, u64, Event)>>,
    events: u64,
    arrivals: Vec<(u64, usize, Option<u64>)>,
}

/// Plays a fleet.
pub(crate) fn play(fleet: &Fleet, seed: u64) -> Outcome {
    let mut play = Play {
        fleet,
        rng: StdRng::seed_from_u64(seed),
        start: Instant::now() + Duration::from_secs(3600),
        key: UpstreamKey {
            id: "i-1".into(),
            incarnation: 1,
        },
        names: (0..fleet.entries)
            .map(|entry| format!("g{entry}").into())
            .collect(),
        entries: (0..fleet.entries).map(|_| Entry::default()).collect(),
        queue: BinaryHeap::new(),
        events: 0,
        arrivals: Vec::new(),
    };
    play.schedule();
    while let Some(Reverse((now, _, event))) = play.queue.pop() {
        if now >= LENGTH {
            break;
        }
        play.handle(event, now);
    }
    play.outcome()
}

impl Play<'_> {
    fn schedule(&mut self) {
        let mut at = 0.0;
        while at < LENGTH as f64 {
            at += -self.rng.random::<f64>().ln() / self.fleet.demand * 1000.0;
            let entry = self.rng.random_range(0..self.fleet.entries);
            self.push(at as u64, Event::Request(entry));
        }
        for entry in 0..self.fleet.entries {
            let at = self.rng.random_range(0..EXCHANGE_INTERVAL);
            self.push(at, Event::Exchange(entry));
        }
        for trouble in self.fleet.troubles.iter().filter(|it| it.restarts) {
            for entry in &trouble.entries {
                self.push(trouble.until, Event::Restart(*entry));
            }
        }
    }

    fn push(&mut self, at: u64, event: Event) {
        self.events += 1;
        self.queue.push(Reverse((at, self.events, event)));
    }

    fn time(&self, at: u64) -> Instant {
        self.start + Duration::from_millis(at)
    }

    fn delay(&mut self) -> u64 {
        self.rng.random_range(1..6)
    }

    /// Returns when a message reaches its receiver, `None` if it is lost.
    fn arrival(&mut self, from: usize, to: usize, now: u64) -> Option<u64> {
        let lost = self.rng.random_bool(self.fleet.loss);
        let cut = self.fleet.are_separate(from, to, now, now);
        (!lost && !cut).then(|| now + self.delay())
    }

    fn handle(&mut self, event: Event, now: u64) {
        match event {
            Event::Request(entry) => self.request(entry, now),
            Event::Ask(from, to, number) => self.ask(from, to, number, now),
            Event::Answer(entry, number, wait) => self.answer(entry, number, wait, now),
            Event::Arrive(entry, sent) => self.arrive(entry, sent, now),
            Event::Respond(entry, sent, rate) => self.respond(entry, sent, rate, now),
            Event::Exchange(entry) => self.exchange(entry, now),
            Event::Restart(entry) => self.entries[entry] = Entry::default(),
        }
    }

    fn request(&mut self, entry: usize, now: u64) {
        if self.fleet.is_paused(entry, now) {
            return;
        }
        let rate = self.entries[entry].permits.rate(&self.key);
        if self.fleet.way != Way::Permits
            && let Some(rate) = rate
        {
            return self.request_by_share(entry, rate.per_second(), now);
        }
        let step = self.with_view(entry, now, |permits, view, draw, at, key| {
            permits.request(key, view, draw, at)
        });
        match step {
            Step::Send => self.send(entry, now),
            Step::Wait(_) => {}
            Step::Ask(issuer, _) => {
                let issuer = self.names.iter().position(|name| *name == issuer);
                let issuer = issuer.expect("the issuer is an entry");
                let number = self.events;
                self.entries[entry].open.insert(number, now);
                // Without an answer the ask ends at its time limit.
                let wait = Some(ISSUER_WAIT.as_millis() as u64);
                self.push(now + ASK_TIMEOUT, Event::Answer(entry, number, wait));
                if let Some(arrives) = self.arrival(entry, issuer, now) {
                    self.push(arrives, Event::Ask(entry, issuer, number));
                }
            }
        }
    }

    /// Calls `decide` with the state of an entry and the fleet as it sees it.
    fn with_view<T>(
        &mut self,
        entry: usize,
        now: u64,
        decide: impl FnOnce(&mut Permits, &View<'_>, f64, Instant, &UpstreamKey) -> T,
    ) -> T {
        let (fleet, names) = (self.fleet, &self.names);
        let live = |entries: Vec<usize>| -> Vec<&Name> {
            let live = entries
                .into_iter()
                .filter(|other| fleet.is_live(entry, *other, now));
            live.map(|entry| &names[entry]).collect()
        };
        let view = View {
            own: &names[entry],
            in_domain: live(fleet.in_domain(0)),
            live: live((0..fleet.entries).collect()),
            registered: fleet.entries,
        };
        let at = self.start + Duration::from_millis(now);
        let draw = self.rng.random();
        decide(&mut self.entries[entry].permits, &view, draw, at, &self.key)
    }

    fn request_by_share(&mut self, entry: usize, rate: f64, now: u64) {
        let window = WINDOW as f64 / 1000.0;
        let even = rate / self.fleet.entries as f64;
        let per_second = match self.fleet.way {
            Way::RoundedShares => (even * window).ceil().max(1.0) / window,
            _ => even,
        };
        let state = &mut self.entries[entry];
        let elapsed = (now - state.share_at) as f64 / 1000.0;
        let most = (per_second * window).max(1.0);
        state.share = (state.share + elapsed * per_second).min(most);
        state.share_at = now;
        if state.share >= 1.0 {
            state.share -= 1.0;
            self.send(entry, now);
        }
    }

    fn report(&self, entry: usize, now: u64) -> Option<Report> {
        let news = self.entries[entry].permits.news(0, self.time(now));
        news.into_iter().next()
    }

    fn merge(&mut self, entry: usize, report: Option<&Report>, now: u64) {
        let at = self.time(now);
        if let Some(report) = report {
            self.entries[entry].permits.merge(report, at);
        }
    }

    fn ask(&mut self, from: usize, to: usize, number: AskNumber, now: u64) {
        if self.fleet.is_paused(to, now) {
            return;
        }
        // The asking entry may have restarted since.
        let Some(report) = self.report(from, now) else {
            return;
        };
        self.merge(to, Some(&report), now);
        let ask = Ask {
            number,
            from: self.names[from].clone(),
            report,
        };
        let answer = self.with_view(to, now, |permits, view, draw, at, _| {
            permits.answer(&ask, Some(view), draw, at)
        });
        if let Some(arrives) = self.arrival(to, from, now) {
            self.push(arrives, Event::Answer(from, number, answer.wait_ms));
        }
    }

    fn answer(&mut self, entry: usize, number: AskNumber, wait: Option<u64>, now: u64) {
        if self.fleet.is_paused(entry, now) {
            return;
        }
        let Some(asked) = self.entries[entry].open.remove(&number) else {
            return;
        };
        let (asked, at) = (self.time(asked), self.time(now));
        let permits = &mut self.entries[entry].permits;
        let wait = wait.map(Duration::from_millis);
        if permits.finish(&self.key, asked, wait, at).is_ok() {
            self.send(entry, now);
        }
    }

    fn send(&mut self, entry: usize, now: u64) {
        // A few packets are sent again.
        let resent = if self.rng.random_bool(0.01) { 200 } else { 0 };
        let arrives = now + self.delay() + resent;
        self.push(arrives, Event::Arrive(entry, now));
    }

    fn arrive(&mut self, entry: usize, sent: u64, now: u64) {
        if self.fleet.is_paused(entry, now) {
            return;
        }
        self.arrivals.push((now, entry, self.entries[entry].told));
        let rate = self
            .fleet
            .rate_at(now)
            .map(|rate| (rate * 1000.0).round() as u64);
        let responds = now + self.rng.random_range(5..80);
        self.push(responds, Event::Respond(entry, sent, rate));
    }

    fn respond(&mut self, entry: usize, sent: u64, rate: Option<u64>, now: u64) {
        if self.fleet.is_paused(entry, now) {
            return;
        }
        let statement = Statement {
            rate: rate.map(|rate| RequestRate::new(rate as f64 / 1000.0)),
            sent: self.time(sent),
            read: self.time(now),
        };
        let state = &mut self.entries[entry];
        if rate.is_some() {
            state.told.get_or_insert(now);
        }
        state.permits.record(&self.key, statement);
    }

    fn exchange(&mut self, entry: usize, now: u64) {
        self.push(now + EXCHANGE_INTERVAL, Event::Exchange(entry));
        for _ in 0..EXCHANGE_PEERS {
            let peer = self.rng.random_range(0..self.fleet.entries);
            if self.arrival(peer, entry, now).is_some() {
                let report = self.report(peer, now);
                self.merge(entry, report.as_ref(), now);
            }
        }
    }

    fn outcome(&self) -> Outcome {
        let times: Vec<u64> = self.arrivals.iter().map(|(at, _, _)| *at).collect();
        let late = |at: &u64| *at >= CONTACT_TIME;
        let counted = self.arrivals.iter().filter(|(at, entry, told)| {
            let bound = told.is_some_and(|told| told + TOLD_TIME <= *at);
            late(at) && bound && !self.fleet.is_excused(*entry, *at)
        });
        let counted: Vec<u64> = counted.map(|(at, _, _)| *at).collect();
        let all: Vec<u64> = times.iter().copied().filter(late).collect();
        Outcome {
            most: most_in_window(&all),
            most_counted: most_in_window(&counted),
            arrivals: times,
        }
    }
}
