//! What an entry tells its peers, and what it adopts from them.

use std::time::Duration;
use std::time::Instant;

use crate::admission::SUSPECT_HALVES;
use crate::crash::Crash;
use crate::crash::Crashes;
use crate::crash::Weight;
use crate::decision::Decision;
use crate::feature::Feature;
use crate::news::CrashReport;
use crate::news::News;
use crate::news::TrialReport;
use crate::quarantine::Quarantine;
use crate::suspect::Suspect;

/// Time for which a crash is reported to peers, shorter than it is kept, so that no
/// late report revives a cleared crash.
const REPORT_TIME: Duration = Duration::from_secs(60);

/// Time in which a success here may clear a crash before peers are told of it.
const TELL_DELAY: Duration = Duration::from_millis(400);

impl Quarantine {
    /// Adopts decisions of a peer or from the store, unless newer ones are known. Returns
    /// those that change whether a feature is quarantined.
    pub fn adopt(&mut self, decisions: &[Decision]) -> Vec<Decision> {
        let mut adopted = Vec::new();
        for decision in decisions {
            let known = self.decisions.get(&decision.feature).copied();
            if known.is_some_and(|known| !decision.supersedes(&known)) {
                continue;
            }
            self.set_decision(*decision);
            if decision.quarantined {
                self.clear_explained_by(&decision.feature);
            } else {
                self.clear_all(&decision.feature);
            }
            if known.is_some_and(|known| known.quarantined) != decision.quarantined {
                adopted.push(*decision);
            }
        }
        adopted
    }

    /// Merges what a peer reports. Returns the features that are now quarantined, or
    /// whose quarantine is lifted.
    pub fn merge(&mut self, news: &News, wall_ms: i64, now: Instant) -> Vec<Suspect> {
        self.heard = Some(now);
        let adopted = self.adopt(&news.decisions);
        let mut decided: Vec<Feature> = adopted.iter().map(|decision| decision.feature).collect();
        for trial in &news.trials {
            let began = earlier(now, trial.age_ms);
            let (features, upstream) = (trial.features.clone(), trial.upstream.clone());
            self.trials.add(trial.number, features, upstream, began);
        }
        for report in &news.crashes {
            let at = earlier(now, report.age_ms);
            let crash = Crash {
                upstream: report.upstream.clone(),
                at,
                sent: earlier(at, report.run_ms),
                weight: Weight::from_code(report.weight),
                place: None,
                cleared: report.cleared,
                own: false,
                shared: true,
                // Entries that do not hear the sender learn of it from a relay.
                told: !self.relays,
            };
            if !self.merge_crash(report.feature, crash, now) {
                continue;
            }
            let before = self.changes;
            self.decide(&report.feature, wall_ms, now);
            if self.changes != before {
                decided.push(report.feature);
            }
        }
        decided
            .iter()
            .map(|feature| self.suspect(feature, now))
            .collect()
    }

    /// Merges a reported crash. Returns whether it may change what is decided.
    fn merge_crash(&mut self, feature: Feature, crash: Crash, now: Instant) -> bool {
        let known = self.crashes.get(&feature);
        let known = known.and_then(|crashes| crashes.find(&crash.upstream));
        if let Some(known) = known
            && known.cleared >= crash.cleared
            && known.weight >= crash.weight
        {
            return false;
        }
        let is_new = known.is_none();
        let is_live = !crash.cleared;
        if is_new && is_live {
            self.add_crash(feature, crash, now);
        } else {
            self.crashes.entry(feature).or_default().add(crash);
        }
        is_live
    }

    /// Returns what is known of these features.
    pub fn news_about(&self, features: &[Feature], now: Instant) -> News {
        let known = features
            .iter()
            .filter_map(|feature| Some((feature, self.crashes.get(feature)?)));
        let crashes = known.flat_map(|(feature, crashes)| {
            crashes.live().map(|crash| {
                let age = now.saturating_duration_since(crash.at);
                report(feature, crash, age)
            })
        });
        let decisions = features.iter().filter_map(|f| self.decisions.get(f));
        News {
            crashes: crashes.collect(),
            trials: Vec::new(),
            decisions: decisions.copied().collect(),
        }
    }

    /// Returns the news for the message of an interval. `interval` numbers the messages,
    /// so that what does not fit into one is in a later one.
    pub fn news(&mut self, interval: u64, now: Instant) -> News {
        if let Some((collected, news)) = &self.news
            && *collected == interval
        {
            return news.clone();
        }
        let news = News {
            crashes: self.crash_reports(interval, now),
            trials: self.trial_reports(now),
            decisions: self.decision_reports(interval),
        };
        self.news = Some((interval, news.clone()));
        news
    }

    fn crash_reports(&mut self, interval: u64, now: Instant) -> Vec<CrashReport> {
        let (mut urgent, mut suspect) = (Vec::new(), Vec::new());
        let (mut cleared, mut fresh, mut told) = (Vec::new(), Vec::new(), Vec::new());
        for (feature, crashes) in &mut self.crashes {
            let is_suspect = crashes.halves() >= SUSPECT_HALVES;
            for crash in crashes.iter_mut() {
                let age = now.saturating_duration_since(crash.at);
                if age >= REPORT_TIME || (crash.cleared && !crash.shared) {
                    continue;
                }
                let list = match (crash.told, crash.cleared) {
                    (false, true) => &mut cleared,
                    (false, false) if is_suspect => &mut urgent,
                    (true, _) if is_suspect => &mut suspect,
                    (false, false) if !crash.shared && age < TELL_DELAY => continue,
                    (false, false) => &mut fresh,
                    (true, _) => &mut told,
                };
                list.push(report(feature, crash, age));
            }
        }
        // A part is in many requests, and so in more crashes to come than a request.
        fresh.sort_by_key(|report: &CrashReport| {
            let is_request = matches!(report.feature, Feature::Request(_));
            let is_weak = Weight::from_code(report.weight) < Weight::Full;
            (is_request, is_weak, report.age_ms)
        });
        let mut reports = rotate(cleared, interval, self.max_reports / 2);
        // The next trial must not begin before all know of the last one's crash.
        let most = self.max_reports / 4;
        urgent.sort_by_key(|report: &CrashReport| report.age_ms);
        urgent.truncate(most);
        suspect = rotate(suspect, interval, most - urgent.len());
        reports.append(&mut urgent);
        reports.append(&mut suspect);
        fresh.truncate(self.max_reports - reports.len());
        reports.append(&mut fresh);
        reports.extend(rotate(told, interval, self.max_reports - reports.len()));
        self.mark_shared(&reports);
        reports
    }

    fn mark_shared(&mut self, reports: &[CrashReport]) {
        for report in reports {
            let crashes = self.crashes.get_mut(&report.feature);
            for crash in crashes.into_iter().flat_map(Crashes::iter_mut) {
                let is_told = crash.upstream == report.upstream;
                crash.shared |= is_told;
                crash.told |= is_told;
            }
        }
    }

    fn trial_reports(&self, now: Instant) -> Vec<TrialReport> {
        self.trials
            .running(now)
            .take(self.max_reports)
            .map(|(number, trial)| TrialReport {
                number,
                features: trial.features.clone(),
                upstream: trial.upstream.clone(),
                age_ms: now.saturating_duration_since(trial.began).as_millis() as u32,
            })
            .collect()
    }

    fn decision_reports(&self, interval: u64) -> Vec<Decision> {
        rotate(self.decisions(), interval, self.max_reports)
    }
}

fn report(feature: &Feature, crash: &Crash, age: Duration) -> CrashReport {
    let run = crash.at.saturating_duration_since(crash.sent);
    CrashReport {
        feature: *feature,
        upstream: crash.upstream.clone(),
        age_ms: age.as_millis() as u32,
        run_ms: run.as_millis() as u32,
        weight: crash.weight.code(),
        cleared: crash.cleared,
    }
}

/// Returns at most `count` of `items`, others in each interval.
fn rotate<T>(mut items: Vec<T>, interval: u64, count: usize) -> Vec<T> {
    if items.len() > count && count > 0 {
        let start = (interval as usize).wrapping_mul(count) % items.len();
        items.rotate_left(start);
    }
    items.truncate(count);
    items
}

fn earlier(time: Instant, by_ms: u32) -> Instant {
    let by = Duration::from_millis(by_ms.into());
    time.checked_sub(by).unwrap_or(time)
}
