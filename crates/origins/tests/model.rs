//! Random fleets: entries, a store, and versions that come, leave and return. Entries are
//! killed singly and all at once, messages and writes are lost, and the store goes back to
//! an older copy. A stream that is taken up never goes on at other software than the one
//! that began it.

use std::time::Duration;
use std::time::Instant;

use lycheehaven_origins::Found;
use lycheehaven_origins::Group;
use lycheehaven_origins::LISTED_AFTER_END;
use lycheehaven_origins::Origin;
use lycheehaven_origins::Origins;
use lycheehaven_origins::Segments;
use lycheehaven_origins::Served;
use lycheehaven_origins::Situation;
use lycheehaven_origins::StreamKey;
use lycheehaven_types::Name;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;

const ENTRIES: usize = 3;
const VERSIONS: [&str; 4] = ["v1", "v2", "v3", "v4"];
const SEEDS: u64 = 300;
const STEPS: usize = 1500;

/// Longest time for which a stream may be taken up.
const LIFETIME: Duration = Duration::from_secs(12);

/// Longest step of time.
const MAX_STEP_MS: u64 = 400;

fn origin(software: &str) -> Origin {
    Origin {
        service: "llm".into(),
        software: software.into(),
    }
}

/// Content of the store.
#[derive(Debug, Clone, Default)]
struct Content {
    served: Option<Served>,
    segments: Vec<(String, Vec<Group>)>,
}

#[derive(Debug, Default)]
struct Store {
    era: u64,
    content: Content,
    copy: Content,
    is_away: bool,
}

/// One entry, as its gateway process knows it.
#[derive(Default)]
struct Entry {
    number: u64,
    origins: Origins,
    segments: Segments,
    era: u64,
    confirmed: Vec<Origin>,
    /// Since when the versions without upstreams have none.
    absent: Vec<(Origin, Instant)>,
}

struct Stream {
    key: StreamKey,
    software: &'static str,
    until: Instant,
}

#[derive(Debug, Default)]
struct Counts {
    took_up: usize,
    went_on: usize,
}

struct Fleet {
    random: StdRng,
    now: Instant,
    wall_ms: i64,
    store: Store,
    entries: Vec<Entry>,
    started: u64,
    /// Versions that upstreams run now.
    running: Vec<&'static str>,
    streams: Vec<Stream>,
    is_first: bool,
    counts: Counts,
}

impl Fleet {
    fn new(seed: u64) -> Self {
        let mut fleet = Self {
            random: StdRng::seed_from_u64(seed),
            now: Instant::now(),
            wall_ms: 1_000_000,
            store: Store::default(),
            entries: Vec::new(),
            started: 0,
            running: vec!["v1"],
            streams: Vec::new(),
            is_first: true,
            counts: Counts::default(),
        };
        for _ in 0..ENTRIES {
            let entry = fleet.start();
            fleet.entries.push(entry);
        }
        for entry in 0..ENTRIES {
            fleet.keep_list(entry);
        }
        fleet.is_first = false;
        fleet
    }

    fn start(&mut self) -> Entry {
        self.started += 1;
        Entry {
            number: self.started,
            era: self.store.era,
            ..Entry::default()
        }
    }

    fn situation(&self, entry: usize) -> Situation {
        Situation {
            era: self.store.era,
            wall_ms: self.wall_ms,
            first_start: self.is_first,
            longest: self.entries[entry].origins.longest(),
        }
    }

    /// What the loop that keeps the list does. The first entry holds the lease.
    fn keep_list(&mut self, index: usize) {
        let present: Vec<Origin> = self.running.iter().map(|version| origin(version)).collect();
        let now = self.now;
        let entry = &mut self.entries[index];
        entry.confirmed.retain(|known| present.contains(known));
        if self.store.is_away {
            return;
        }
        let known = self.store.content.served.clone();
        let absent: Vec<Origin> = known
            .iter()
            .flat_map(Served::origins)
            .filter(|listed| !present.contains(listed))
            .collect();
        entry.absent.retain(|(listed, _)| absent.contains(listed));
        for listed in absent {
            if !entry.absent.iter().any(|(known, _)| *known == listed) {
                entry.absent.push((listed, now));
            }
        }
        let longest = known.as_ref().map_or(LIFETIME, Served::longest);
        let ended: Vec<Origin> = entry
            .absent
            .iter()
            .filter(|(_, since)| index == 0 && now - *since >= longest + LISTED_AFTER_END)
            .map(|(listed, _)| listed.clone())
            .collect();
        let next = Served::update(known.as_ref(), &present, &ended, &self.situation(index));
        if let Some(next) = next {
            self.store.content.served = Some(next);
        }
        self.entries[index].confirmed = present;
    }

    fn begin_stream(&mut self, index: usize) {
        let version = self.running[self.random.random_range(0..self.running.len())];
        if !self.entries[index].confirmed.contains(&origin(version)) {
            return;
        }
        let key = StreamKey(self.random.random::<u64>() >> 16);
        let lifetime = LIFETIME.mul_f64(self.random.random_range(0.2..1.0));
        self.entries[index]
            .origins
            .begin(key, &origin(version), lifetime, self.now);
        self.streams.push(Stream {
            key,
            software: version,
            until: self.now + lifetime,
        });
    }

    fn write(&mut self, index: usize) {
        let situation = self.situation(index);
        let entry = &mut self.entries[index];
        if entry.era != self.store.era {
            entry.era = self.store.era;
            entry.segments = Segments::default();
            entry.origins.write_again();
        }
        let Some(served) = &self.store.content.served else {
            return;
        };
        if self.store.is_away || served.recorded_services(&situation).is_empty() {
            return;
        }
        let due = entry.origins.take_due(|_| true, self.now);
        entry
            .segments
            .add(due, served.longest(), self.wall_ms, self.now);
        for (number, segment) in entry.segments.due() {
            let name = format!("{}.{number}", entry.number);
            let segments = &mut self.store.content.segments;
            segments.retain(|(known, _)| *known != name);
            segments.push((name, segment.groups.clone()));
            // The answer to the write may be lost.
            if self.random.random_bool(0.8) {
                entry.segments.record_written(number, &segment);
            }
        }
    }

    fn report(&mut self, index: usize) {
        let news = self.entries[index].origins.news(self.now);
        let expires = self.now + LIFETIME;
        for (other, entry) in self.entries.iter_mut().enumerate() {
            if other != index && self.random.random_bool(0.7) {
                entry.origins.merge(&news, false, expires);
            }
        }
    }

    fn take_up(&mut self, index: usize) {
        if self.streams.is_empty() {
            return;
        }
        let chosen = self.random.random_range(0..self.streams.len());
        let stream = self.streams.swap_remove(chosen);
        if stream.until <= self.now {
            return;
        }
        self.counts.took_up += 1;
        let software = self.look(index, stream.key);
        if let Some(software) = software {
            assert_eq!(*software, *stream.software, "joined from two versions");
            self.counts.went_on += 1;
        }
    }

    fn look(&mut self, index: usize, key: StreamKey) -> Option<Name> {
        let services: [Name; 1] = ["llm".into()];
        for reads in [false, true] {
            if reads {
                if self.store.is_away {
                    return None;
                }
                let served = self.store.content.served.as_ref()?;
                let only = served.only_origin(services.iter(), &self.situation(index));
                if let Some(only) = only {
                    return Some(only.software);
                }
                let expires = self.now + LIFETIME;
                for (_, groups) in &self.store.content.segments {
                    self.entries[index].origins.merge(groups, false, expires);
                }
            }
            match self.entries[index].origins.find(key, self.now) {
                Found::Origin(found) => return Some(found.software.clone()),
                Found::Ambiguous => return None,
                Found::Nothing => {}
            }
        }
        None
    }

    fn kill(&mut self, index: usize) {
        self.entries[index] = self.start();
    }

    fn change_versions(&mut self) {
        let version = VERSIONS[self.random.random_range(0..VERSIONS.len())];
        match self.running.iter().position(|known| *known == version) {
            Some(index) if self.running.len() > 1 => drop(self.running.remove(index)),
            Some(_) => {}
            None => self.running.push(version),
        }
    }

    fn step(&mut self) {
        let millis = self.random.random_range(0..MAX_STEP_MS);
        self.now += Duration::from_millis(millis);
        self.wall_ms += millis as i64;
        let entry = self.random.random_range(0..ENTRIES);
        match self.random.random_range(0..1000) {
            0..250 => self.keep_list(entry),
            250..550 => self.begin_stream(entry),
            550..650 => self.write(entry),
            650..750 => self.report(entry),
            750..900 => self.take_up(entry),
            900..920 => self.change_versions(),
            920..930 => self.kill(entry),
            930..940 => (0..ENTRIES).for_each(|entry| self.kill(entry)),
            940..945 => self.store.copy = self.store.content.clone(),
            945..948 => {
                self.store.era += 1;
                self.store.content = self.store.copy.clone();
            }
            948..955 => self.store.is_away = !self.store.is_away,
            955..970 => {
                // A long time without changes, so that versions leave the list.
                for _ in 0..60 {
                    self.now += Duration::from_secs(1);
                    self.wall_ms += 1000;
                    (0..ENTRIES).for_each(|entry| self.keep_list(entry));
                }
            }
            _ => self.entries[entry].origins.prune(self.now),
        }
    }
}

#[test]
fn no_stream_of_a_random_fleet_goes_on_at_other_software() {
    let mut total = Counts::default();
    for seed in 0..SEEDS {
        let played = std::panic::catch_unwind(|| {
            let mut fleet = Fleet::new(seed);
            (0..STEPS).for_each(|_| fleet.step());
            fleet.counts
        });
        let counts = played.unwrap_or_else(|_| panic!("seed {seed}"));
        total.took_up += counts.took_up;
        total.went_on += counts.went_on;
    }
    assert!(2 * total.went_on > total.took_up, "{total:?}");
}
