//! Numbers from the wire, bounded where they are decoded.
//!
//! Other systems may state numbers of any size. The bounds are far beyond all that is
//! meant, and so far below the limits of the types that sums and products of a few
//! million of them can't overflow. A number that is none counts as zero.

use std::time::Duration;

use serde::Deserialize;
use serde::Deserializer;

use crate::HashMap;
use crate::Name;

/// A whole number from zero to [`WireCount::MAX`].
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Deserialize)]
#[serde(from = "f64")]
pub struct WireCount(u64);

impl WireCount {
    /// Largest number.
    pub const MAX: Self = Self(1 << 40);

    /// Bounds a number.
    pub fn new(number: u64) -> Self {
        Self(number.min(Self::MAX.0))
    }

    /// Returns the number.
    pub fn get(self) -> u64 {
        self.0
    }

    /// Returns the number, at most `most`.
    pub fn at_most(self, most: u32) -> u32 {
        u32::try_from(self.0).map_or(most, |number| number.min(most))
    }
}

impl From<f64> for WireCount {
    fn from(number: f64) -> Self {
        // Casts of floats saturate.
        Self::new(number as u64)
    }
}

/// A number from zero to [`WireAmount::MAX`].
#[derive(Debug, Clone, Copy, Default, PartialEq, PartialOrd, Deserialize)]
#[serde(from = "f64")]
pub struct WireAmount(f64);

impl WireAmount {
    /// Largest number.
    pub const MAX: Self = Self(1e15);

    /// Bounds a number.
    pub fn new(number: f64) -> Self {
        if number.is_nan() {
            return Self(0.0);
        }
        Self(number.clamp(0.0, Self::MAX.0))
    }

    /// Returns the number.
    pub fn get(self) -> f64 {
        self.0
    }
}

impl From<f64> for WireAmount {
    fn from(number: f64) -> Self {
        Self::new(number)
    }
}

/// A number of milliseconds, from zero to [`WireDuration::MAX`].
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Deserialize)]
#[serde(from = "f64")]
pub struct WireDuration(Duration);

impl WireDuration {
    /// Longest duration, a day.
    pub const MAX: Self = Self(Duration::from_secs(24 * 60 * 60));

    /// Bounds a number of milliseconds.
    pub fn from_millis(millis: f64) -> Self {
        let longest = Self::MAX.0.as_secs_f64();
        let seconds = WireAmount::new(millis).get() / 1000.0;
        Self(Duration::from_secs_f64(seconds.min(longest)))
    }

    /// Bounds a number of seconds.
    pub fn from_secs(seconds: f64) -> Self {
        Self::from_millis(seconds * 1000.0)
    }

    /// Returns the duration.
    pub fn get(self) -> Duration {
        self.0
    }
}

impl From<f64> for WireDuration {
    fn from(millis: f64) -> Self {
        Self::from_millis(millis)
    }
}

/// Decodes a number as [`WireCount`] does.
///
/// # Errors
/// Returns an error if it is of another type.
pub fn count<'de, D: Deserializer<'de>>(deserializer: D) -> Result<u64, D::Error> {
    WireCount::deserialize(deserializer).map(WireCount::get)
}

/// Decodes a number as [`WireAmount`] does.
///
/// # Errors
/// Returns an error if it is of another type.
pub fn amount<'de, D: Deserializer<'de>>(deserializer: D) -> Result<f64, D::Error> {
    WireAmount::deserialize(deserializer).map(WireAmount::get)
}

/// Decodes a number as [`WireCount`] does, for a field of 32 bits.
///
/// # Errors
/// Returns an error if it is of another type.
pub fn small_count<'de, D: Deserializer<'de>>(deserializer: D) -> Result<u32, D::Error> {
    WireCount::deserialize(deserializer).map(|count| count.at_most(MAX_SMALL_COUNT))
}

/// Decodes a number as [`small_count`] does, for a size.
///
/// # Errors
/// Returns an error if it is of another type.
pub fn size<'de, D: Deserializer<'de>>(deserializer: D) -> Result<usize, D::Error> {
    small_count(deserializer).map(|count| count as usize)
}

/// Largest number that [`small_count`] returns.
pub const MAX_SMALL_COUNT: u32 = 1 << 20;

/// Decodes numbers as [`WireCount`] does.
///
/// # Errors
/// Returns an error if they are of another type, or more or fewer.
pub fn counts<'de, D: Deserializer<'de>, const N: usize>(
    deserializer: D,
) -> Result<[u64; N], D::Error>
where
    [WireCount; N]: Deserialize<'de>,
{
    let counts = <[WireCount; N]>::deserialize(deserializer)?;
    Ok(counts.map(WireCount::get))
}

/// Decodes numbers by name as [`WireCount`] does.
///
/// # Errors
/// Returns an error if they are of another type.
pub fn named_counts<'de, D: Deserializer<'de>>(
    deserializer: D,
) -> Result<HashMap<Name, u64>, D::Error> {
    let counts = HashMap::<Name, WireCount>::deserialize(deserializer)?;
    let counts = counts.into_iter().map(|(name, count)| (name, count.get()));
    Ok(counts.collect())
}

/// Decodes numbers with their names as [`WireAmount`] does.
///
/// # Errors
/// Returns an error if they are of another type.
pub fn named_amounts<'de, D: Deserializer<'de>>(
    deserializer: D,
) -> Result<Vec<(Name, f64)>, D::Error> {
    let amounts = Vec::<(Name, WireAmount)>::deserialize(deserializer)?;
    let amounts = amounts.into_iter();
    Ok(amounts.map(|(name, amount)| (name, amount.get())).collect())
}

/// Decodes the milliseconds since the Unix epoch. A time before it counts as the epoch,
/// and one that is too far away as the farthest.
///
/// # Errors
/// Returns an error if it is of another type.
pub fn unix_millis<'de, D: Deserializer<'de>>(deserializer: D) -> Result<i64, D::Error> {
    let millis = i64::deserialize(deserializer)?;
    Ok(millis.clamp(0, MAX_UNIX_MILLIS))
}

/// Latest time that [`unix_millis`] returns, in the year 10889.
const MAX_UNIX_MILLIS: i64 = 1 << 48;
