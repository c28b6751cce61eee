//! What requests are recognized by.

use std::fmt;

use lycheehaven_types::Digest;
use serde::Deserialize;
use serde::Deserializer;
use serde::Serialize;
use serde::Serializer;
use serde::de::Error;

/// A property of a request that may be what crashes upstreams.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Feature {
    /// The request as a whole. Only repeats of it have this feature.
    Request(Digest),
    /// A part of the prompt that other requests to the service may share.
    Part(Digest),
}

impl Feature {
    /// Returns the feature of requests to `service` whose prompts have the part `id`.
    pub fn part(service: &str, id: &str) -> Self {
        Self::Part(Digest::of(&[service.as_bytes(), id.as_bytes()]))
    }

    /// Parses what [`fmt::Display`] writes.
    pub fn parse(text: &str) -> Option<Self> {
        let (kind, digits) = text.split_once('-')?;
        let digest = Digest(u128::from_str_radix(digits, 16).ok()?);
        match kind {
            "request" => Some(Self::Request(digest)),
            "part" => Some(Self::Part(digest)),
            _ => None,
        }
    }
}

impl fmt::Display for Feature {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Request(digest) => write!(f, "request-{digest}"),
            Self::Part(digest) => write!(f, "part-{digest}"),
        }
    }
}

// Text formats get text, because their numbers have fewer than 128 bits.
impl Serialize for Feature {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        if serializer.is_human_readable() {
            return serializer.collect_str(self);
        }
        match self {
            Self::Request(digest) => (false, digest).serialize(serializer),
            Self::Part(digest) => (true, digest).serialize(serializer),
        }
    }
}

impl<'de> Deserialize<'de> for Feature {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        if deserializer.is_human_readable() {
            let text = String::deserialize(deserializer)?;
            return Self::parse(&text).ok_or_else(|| Error::custom("not a feature"));
        }
        let (is_part, digest) = Deserialize::deserialize(deserializer)?;
        Ok(if is_part {
            Self::Part(digest)
        } else {
            Self::Request(digest)
        })
    }
}
