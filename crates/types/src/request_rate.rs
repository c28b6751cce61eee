//! The rate of requests that a server states.

use std::cmp::Ordering;

/// Requests a second, from zero to [`RequestRate::MAX`].
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RequestRate(f64);

impl RequestRate {
    /// Largest rate, more than one entry could send.
    pub const MAX: Self = Self(1e6);

    /// Rate that is assumed if a server states one that can't be read.
    pub const ASSUMED: Self = Self(1.0);

    /// Creates a rate. Larger ones than [`RequestRate::MAX`] become it; what is no
    /// rate, as a negative number, becomes [`RequestRate::ASSUMED`].
    pub fn new(per_second: f64) -> Self {
        if per_second.is_nan() || per_second < 0.0 {
            return Self::ASSUMED;
        }
        Self(per_second.min(Self::MAX.0))
    }

    /// Returns the requests a second.
    pub fn per_second(self) -> f64 {
        self.0
    }
}

impl Eq for RequestRate {}

impl PartialOrd for RequestRate {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for RequestRate {
    fn cmp(&self, other: &Self) -> Ordering {
        self.0.total_cmp(&other.0)
    }
}

/// A rate that a server states in the headers of a response.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StatedRate {
    /// Rate to keep to.
    pub rate: RequestRate,
    /// Whether that is not exactly what was stated.
    pub adjusted: bool,
}

impl StatedRate {
    /// Parses the values of all headers that state a rate, `None` for one that is no
    /// text. The smallest of several rates counts. Returns `None` without any header.
    pub fn parse<'a>(values: impl Iterator<Item = Option<&'a str>>) -> Option<Self> {
        let rates: Vec<f64> = values
            .map(|value| value.and_then(|text| text.trim().parse().ok()))
            .map(|rate| rate.unwrap_or(f64::NAN))
            .collect();
        let rate = rates.iter().copied().map(RequestRate::new).min()?;
        Some(Self {
            rate,
            adjusted: rates != [rate.per_second()],
        })
    }
}
