//! The software that may have begun streams which can still be taken up.

use std::collections::BTreeMap;
use std::time::Duration;

use lycheehaven_types::Name;
use serde::Deserialize;
use serde::Serialize;

use crate::origins::Origin;

/// Time beyond the longest deadline for which a version without registered upstreams stays
/// listed: that within which each entry learns of their end.
pub const LISTED_AFTER_END: Duration = Duration::from_secs(15);

/// Shortest value of [`Served::longest`].
const MIN_LONGEST: Duration = Duration::from_secs(20);

/// Largest value of [`Served::longest`].
const MAX_LONGEST: Duration = Duration::from_secs(600);

/// What an entry knows when it reads or writes the list.
#[derive(Debug, Clone, Copy)]
pub struct Situation {
    /// Era of the store.
    pub era: u64,
    /// Time of day, in milliseconds since the Unix epoch.
    pub wall_ms: i64,
    /// Whether the whole system starts for the first time, so that no stream began before.
    pub first_start: bool,
    /// Longest time for which a caller of this entry may take a stream up.
    pub longest: Duration,
}

/// Content of the object in the store that lists the software.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Served {
    /// Versions of each service's software that may have begun streams.
    services: BTreeMap<Name, Vec<Name>>,
    /// Longest time for which a caller may take a stream up, in milliseconds.
    longest_ms: u64,
    /// Era of the store in which this was written.
    era: u64,
    /// Time until which streams may be taken up that began at versions which are not
    /// listed, in milliseconds since the Unix epoch.
    unsure_until_ms: i64,
}

impl Served {
    /// Returns the list that follows `known`, the present content of the store, if any: it
    /// holds `present`, too, the software of registered upstreams, and nothing that `ended`.
    /// Returns `None` if the content need not change.
    pub fn update(
        known: Option<&Self>,
        present: &[Origin],
        ended: &[Origin],
        situation: &Situation,
    ) -> Option<Self> {
        let mut next = known.cloned().unwrap_or_else(|| Self {
            services: BTreeMap::new(),
            longest_ms: MIN_LONGEST.as_millis() as u64,
            era: situation.era,
            unsure_until_ms: 0,
        });
        next.raise_longest(situation.longest);
        // The list is missing, or what was added to it since is lost.
        let may_lack = match known {
            Some(known) => known.era != situation.era,
            None => !situation.first_start,
        };
        if may_lack {
            let until_ms = situation.wall_ms + next.longest().as_millis() as i64;
            next.unsure_until_ms = next.unsure_until_ms.max(until_ms);
            next.era = situation.era;
        }
        for origin in ended {
            if let Some(versions) = next.services.get_mut(&origin.service) {
                versions.retain(|software| *software != origin.software);
            }
        }
        for origin in present {
            let versions = next.services.entry(origin.service.clone()).or_default();
            if !versions.contains(&origin.software) {
                versions.push(origin.software.clone());
            }
        }
        (known != Some(&next)).then_some(next)
    }

    /// Returns the longest time for which callers may take streams up that this list
    /// covers, without limit if it can't be raised.
    pub fn longest_listable(&self) -> Duration {
        match self.longest() {
            MAX_LONGEST => Duration::MAX,
            longest => longest,
        }
    }

    fn raise_longest(&mut self, longest: Duration) {
        if longest > self.longest() {
            // With room, so that it is not raised with every caller.
            let raised = longest.mul_f64(1.25).min(MAX_LONGEST);
            self.longest_ms = self.longest_ms.max(raised.as_millis() as u64);
        }
    }

    /// Returns whether this version is listed.
    pub fn lists(&self, origin: &Origin) -> bool {
        let versions = self.services.get(&origin.service);
        versions.is_some_and(|versions| versions.contains(&origin.software))
    }

    /// Returns all listed versions.
    pub fn origins(&self) -> impl Iterator<Item = Origin> {
        self.services.iter().flat_map(|(service, versions)| {
            versions.iter().map(|software| Origin {
                service: service.clone(),
                software: software.clone(),
            })
        })
    }

    /// Returns the services of whose streams only a record tells what began them: several
    /// versions may have, or the list may lack some.
    pub fn recorded_services(&self, situation: &Situation) -> Vec<&Name> {
        let is_sure = self.is_sure(situation);
        let services = self.services.iter();
        services
            .filter(|(_, versions)| versions.len() > 1 || !is_sure)
            .map(|(service, _)| service)
            .collect()
    }

    /// Returns what must have begun a stream of one of `services` of which there is no
    /// record, or `None` if that can't be told.
    pub fn only_origin<'a>(
        &self,
        services: impl Iterator<Item = &'a Name>,
        situation: &Situation,
    ) -> Option<Origin> {
        if !self.is_sure(situation) {
            return None;
        }
        let mut candidates = services.flat_map(|service| {
            let versions = self.services.get(service).into_iter().flatten();
            versions.map(|software| Origin {
                service: service.clone(),
                software: software.clone(),
            })
        });
        let only = candidates.next()?;
        candidates.next().is_none().then_some(only)
    }

    /// Returns the era of the store in which the list was written.
    pub fn era(&self) -> u64 {
        self.era
    }

    /// Returns whether no version can have begun streams that is not listed.
    pub fn is_sure(&self, situation: &Situation) -> bool {
        self.era == situation.era && situation.wall_ms >= self.unsure_until_ms
    }

    /// Returns the longest time for which a caller may take a stream up.
    pub fn longest(&self) -> Duration {
        Duration::from_millis(self.longest_ms).clamp(MIN_LONGEST, MAX_LONGEST)
    }
}
