//! Validation of settings. Each error names the file, key, value and accepted
//! range.

use std::fmt;
use std::fmt::Display;
use std::ops::RangeInclusive;
use std::path::PathBuf;

/// One invalid value.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Problem {
    /// Dotted path of the key.
    pub key: String,
    /// The value as given.
    pub value: String,
    /// Description of the accepted values.
    pub accepted: String,
}

impl Display for Problem {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{} = {}: accepted is {}",
            self.key, self.value, self.accepted
        )
    }
}

/// Why a settings file can't be loaded.
#[derive(Debug)]
pub enum SettingsError {
    /// The file can't be read.
    Unreadable(PathBuf, std::io::Error),
    /// The file is not valid TOML, lacks a key, or has an unknown key.
    Malformed(PathBuf, Box<toml::de::Error>),
    /// Values are out of range or inconsistent with each other.
    Invalid(PathBuf, Vec<Problem>),
}

impl Display for SettingsError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Unreadable(path, cause) => write!(f, "{}: {cause}", path.display()),
            Self::Malformed(path, cause) => write!(f, "{}: {cause}", path.display()),
            Self::Invalid(path, problems) => {
                for (index, problem) in problems.iter().enumerate() {
                    let separator = if index == 0 { "" } else { "\n" };
                    write!(f, "{separator}{}: {problem}", path.display())?;
                }
                Ok(())
            }
        }
    }
}

impl std::error::Error for SettingsError {}

/// Collects all problems of a file, so that they are reported together.
#[derive(Debug, Default)]
pub(crate) struct Checks {
    pub(crate) problems: Vec<Problem>,
}

impl Checks {
    pub(crate) fn range<T: PartialOrd + Display>(
        &mut self,
        key: &str,
        value: T,
        accepted: RangeInclusive<T>,
    ) {
        if !accepted.contains(&value) {
            let range = format!("{} to {}", accepted.start(), accepted.end());
            self.report(key, value, range);
        }
    }

    pub(crate) fn name(&mut self, key: &str, value: &str) {
        if !is_name(value) {
            self.report(key, format!("{value:?}"), "1 to 63 of a-z, 0-9 and -");
        }
    }

    pub(crate) fn secret(&mut self, key: &str, value: &str) {
        if value.len() < 8 || value.len() > 256 || !value.bytes().all(|b| b.is_ascii_graphic()) {
            self.report(
                key,
                "(hidden)",
                "8 to 256 printable ASCII characters without spaces",
            );
        }
    }

    pub(crate) fn require(&mut self, holds: bool, key: &str, value: impl Display, accepted: &str) {
        if !holds {
            self.report(key, value, accepted);
        }
    }

    fn report(&mut self, key: &str, value: impl Display, accepted: impl Into<String>) {
        self.problems.push(Problem {
            key: key.into(),
            value: value.to_string(),
            accepted: accepted.into(),
        });
    }
}

/// Returns whether `text` is a valid name. Names contain no dots, because
/// request identifiers join them with dots.
pub(crate) fn is_name(text: &str) -> bool {
    let allowed = |byte: u8| byte.is_ascii_lowercase() || byte.is_ascii_digit() || byte == b'-';
    (1..=63).contains(&text.len()) && text.bytes().all(allowed)
}
