//! Load scenarios in TOML.

use std::path::Path;
use std::time::Duration;

use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;
use serde::Deserialize;

/// Maximum number of requests of a scenario.
const MAX_ARRIVALS: usize = 200_000;

/// A load scenario.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct Scenario {
    /// Seed of arrival times and prompts.
    pub(crate) seed: u64,
    /// Seconds during which requests start.
    pub(crate) seconds: f64,
    /// Timeout of a request, in seconds.
    pub(crate) patience_s: u64,
    /// Kinds of requests and their rates.
    pub(crate) mix: Vec<Mix>,
}

/// What a request calls.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub(crate) enum Kind {
    /// A streamed completion.
    Stream,
    /// A call of a plain service that may be repeated.
    Lookup,
    /// A call of a plain service that may run at most once.
    Once,
}

/// One kind of request.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct Mix {
    /// Name in the report.
    pub(crate) name: String,
    /// What the requests call.
    pub(crate) kind: Kind,
    /// API key of the workspace.
    pub(crate) key: String,
    /// Name of the service or model.
    pub(crate) service: String,
    /// Path of a call to a plain service.
    #[serde(default)]
    pub(crate) path: String,
    /// Requests per second.
    pub(crate) rate: f64,
    /// Words of the prompt that all requests of this kind share.
    #[serde(default)]
    pub(crate) shared_words: usize,
    /// Words of the prompt that are unique to each request.
    #[serde(default)]
    pub(crate) own_words: usize,
    /// Maximum number of tokens that the caller requests.
    #[serde(default = "default_tokens")]
    pub(crate) max_tokens: usize,
    /// Number of events after which the caller closes the connection; if absent,
    /// it reads the whole answer.
    #[serde(default)]
    pub(crate) read_tokens: Option<usize>,
}

fn default_tokens() -> usize {
    256
}

/// A scheduled request.
#[derive(Debug)]
pub(crate) struct Arrival {
    /// Index among all requests.
    pub(crate) index: usize,
    /// Index of its kind in the mix.
    pub(crate) mix: usize,
    /// Due time, from the start of the run.
    pub(crate) at: Duration,
    /// Random number that makes its prompt unique.
    pub(crate) draw: u64,
}

impl Scenario {
    /// Reads and validates a scenario.
    ///
    /// # Errors
    /// A message that names the file, the key and the accepted range.
    pub(crate) fn load(path: &Path) -> Result<Self, String> {
        let name = path.display();
        let text = std::fs::read_to_string(path).map_err(|cause| format!("{name}: {cause}"))?;
        let scenario: Self = toml::from_str(&text).map_err(|cause| format!("{name}: {cause}"))?;
        match scenario.problem() {
            Some(problem) => Err(format!("{name}: {problem}")),
            None => Ok(scenario),
        }
    }

    /// Draws the arrivals of a Poisson process for each kind and returns them in
    /// order of time.
    pub(crate) fn arrivals(&self, seed: u64) -> Vec<Arrival> {
        let mut random = StdRng::seed_from_u64(seed);
        let mut arrivals = Vec::new();
        for (mix, kind) in self.mix.iter().enumerate() {
            let mut at = 0.0;
            loop {
                let uniform: f64 = random.random_range(1e-12..1.0);
                at -= uniform.ln() / kind.rate;
                if at >= self.seconds {
                    break;
                }
                let (at, draw) = (Duration::from_secs_f64(at), random.random());
                arrivals.push(Arrival {
                    index: 0,
                    mix,
                    at,
                    draw,
                });
            }
        }
        arrivals.sort_by_key(|arrival| arrival.at);
        for (index, arrival) in arrivals.iter_mut().enumerate() {
            arrival.index = index;
        }
        arrivals
    }

    fn problem(&self) -> Option<String> {
        let expected: f64 = self.mix.iter().map(|mix| mix.rate * self.seconds).sum();
        if !(0.1..=3600.0).contains(&self.seconds) {
            return Some(format!(
                "seconds = {}: accepted is 0.1 to 3600",
                self.seconds
            ));
        }
        if self.mix.is_empty() {
            return Some("mix: accepted is at least one kind of request".into());
        }
        if let Some(mix) = self
            .mix
            .iter()
            .find(|mix| !(mix.rate > 0.0 && mix.rate.is_finite()))
        {
            return Some(format!(
                "mix {}: rate = {}: accepted is above 0",
                mix.name, mix.rate
            ));
        }
        (expected > MAX_ARRIVALS as f64)
            .then(|| format!("rate x seconds = {expected:.0}: accepted is up to {MAX_ARRIVALS}"))
    }
}
