//! The entry that issues the permits of an upstream, and how many.

use std::time::Duration;
use std::time::Instant;

use lycheehaven_catalog::UpstreamKey;
use lycheehaven_types::HashMap;
use lycheehaven_types::Name;
use lycheehaven_types::RequestRate;
use lycheehaven_types::SlidingSum;
use lycheehaven_types::rendezvous_order;

/// Fraction of the stated rate at which permits are issued. The rest makes up for those
/// that are saved up, so that a window of 4 s holds at most one request more than the
/// rate allows in it.
const RATE_FRACTION: f64 = 0.95;

/// Time over which permits are saved up while nobody asks.
const SAVING_TIME: Duration = Duration::from_millis(200);

/// Permits that are saved up at least. With one alone, the time until somebody asks for it
/// would be lost.
const MIN_SAVED: f64 = 1.5;

/// Requests a second to an upstream that takes none or hardly any, so that the end of its
/// limit is heard.
const PROBE_RATE: f64 = 0.25;

/// Part of the rate that all issuers of an upstream together may hand out while entries
/// can't reach each other, as a multiple of the rate.
const PARTITION_EXCESS: f64 = 1.25;

/// Period over which the number of asks is counted.
const ASK_PERIOD: Duration = Duration::from_secs(1);

/// Time over which the next asks are spread, for each ask in [`ASK_PERIOD`].
const ASK_SPREAD: Duration = Duration::from_millis(1);

/// Returns the entry that issues the permits of `upstream`: one of the live entries of
/// its failure domain, or of all live entries if it has none.
pub fn issuer<'a>(
    upstream: &UpstreamKey,
    in_domain: &[&'a Name],
    live: &[&'a Name],
) -> Option<&'a Name> {
    let names = if in_domain.is_empty() {
        live
    } else {
        in_domain
    };
    let key = format!("{}/{}", upstream.id, upstream.incarnation);
    rendezvous_order(&key, names.iter().copied())
        .first()
        .copied()
}

/// Returns the part of a rate that an issuer may hand out that reaches `reachable` of
/// `registered` entries, itself among them. Where a partition separates the entries, the
/// parts of all issuers of an upstream add up to [`PARTITION_EXCESS`] at most.
pub fn reachable_share(reachable: usize, registered: usize) -> f64 {
    let part = reachable as f64 / registered.max(reachable).max(1) as f64;
    (part * PARTITION_EXCESS).min(1.0)
}

/// Permits of one upstream.
#[derive(Debug)]
struct Bucket {
    /// Permits that are saved up.
    permits: f64,
    filled: Instant,
    asks: SlidingSum,
}

impl Bucket {
    /// Creates a bucket without permits: another entry may have issued some just before.
    fn new(now: Instant) -> Self {
        Self {
            permits: 0.0,
            filled: now,
            asks: SlidingSum::new(ASK_PERIOD),
        }
    }

    fn fill(&mut self, per_second: f64, now: Instant) {
        let most = (per_second * SAVING_TIME.as_secs_f64()).max(MIN_SAVED);
        let elapsed = now.saturating_duration_since(self.filled);
        self.permits = (self.permits + per_second * elapsed.as_secs_f64()).min(most);
        self.filled = self.filled.max(now);
    }
}

/// Issues the permits of those upstreams for which this entry is the issuer.
#[derive(Debug, Default)]
pub struct Issuer {
    buckets: HashMap<UpstreamKey, Bucket>,
}

impl Issuer {
    /// Issues a permit for one request to `upstream`, which takes `rate` from all entries
    /// together and `share` of it from those that this entry reaches. `draw` is a random
    /// number from 0 to 1.
    ///
    /// # Errors
    /// Returns the time after which to ask again. The times are spread, so that many
    /// entries do not ask at once.
    pub fn issue(
        &mut self,
        upstream: &UpstreamKey,
        rate: RequestRate,
        share: f64,
        draw: f64,
        now: Instant,
    ) -> Result<(), Duration> {
        let per_second = (rate.per_second() * RATE_FRACTION).max(PROBE_RATE) * share;
        let bucket = self.buckets.entry(upstream.clone());
        let bucket = bucket.or_insert_with(|| Bucket::new(now));
        bucket.fill(per_second, now);
        bucket.asks.add(1.0, now);
        if bucket.permits >= 1.0 {
            bucket.permits -= 1.0;
            return Ok(());
        }
        let missing = Duration::from_secs_f64((1.0 - bucket.permits) / per_second);
        let spread = ASK_SPREAD.mul_f64(bucket.asks.sum(now) * draw);
        Err(missing + spread.min(missing))
    }

    /// Discards the permits of upstreams that `is_limited` does not accept.
    pub fn prune(&mut self, is_limited: impl Fn(&UpstreamKey) -> bool) {
        self.buckets.retain(|upstream, _| is_limited(upstream));
    }
}
