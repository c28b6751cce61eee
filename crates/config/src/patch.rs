//! Patches of the declared configuration.

use std::fmt;

use serde::Deserialize;
use serde::Serialize;
use serde_json::Value;

use crate::AcceptedPatch;
use crate::DeclaredConfig;

/// Number of accepted patches that the configuration keeps.
const HISTORY_LENGTH: usize = 20;

/// A change of the declared configuration by JSON merge patch (RFC 7396).
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Patch {
    /// Number of the configuration that the patch was written against.
    pub base: u64,
    /// Identifier chosen by the writer, by which a retried patch is recognized.
    pub writer: String,
    /// The merge patch; it may hold `services` and `workspaces`.
    pub change: Value,
}

/// Why a patch is refused.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PatchError {
    /// The base is not the current configuration number, which is given.
    Outdated(u64),
    /// The patched configuration would be invalid, for the given reason.
    Invalid(String),
}

impl fmt::Display for PatchError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Outdated(number) => {
                write!(
                    f,
                    "the patch's base is outdated; the current number is {number}"
                )
            }
            Self::Invalid(reason) => write!(f, "the patched configuration is invalid: {reason}"),
        }
    }
}

impl std::error::Error for PatchError {}

impl Patch {
    /// Returns whether `current` already contains this patch, which happens if
    /// the response to the write was lost.
    pub fn is_applied(&self, current: &DeclaredConfig) -> bool {
        current
            .history
            .iter()
            .any(|change| change.writer == self.writer)
    }

    /// Applies the patch to `current`. `time` is in seconds since the Unix
    /// epoch.
    ///
    /// # Errors
    /// [`PatchError::Outdated`] if the base is not the number of `current`, and
    /// [`PatchError::Invalid`] if the result would be invalid.
    pub fn apply(&self, current: &DeclaredConfig, time: u64) -> Result<DeclaredConfig, PatchError> {
        if self.base != current.number {
            return Err(PatchError::Outdated(current.number));
        }
        let Value::Object(members) = &self.change else {
            return Err(PatchError::Invalid("the patch is not a JSON object".into()));
        };
        if let Some(key) = members.keys().find(|key| !is_patchable(key)) {
            return Err(PatchError::Invalid(format!(
                "{key}: only services and workspaces can be patched"
            )));
        }
        let mut value = serde_json::to_value(current).expect("configuration serializes");
        merge(&mut value, &self.change);
        let mut next: DeclaredConfig = serde_json::from_value(value)
            .map_err(|cause| PatchError::Invalid(cause.to_string()))?;
        if let Some(problem) = next.find_problem() {
            return Err(PatchError::Invalid(problem));
        }
        next.number = current.number + 1;
        next.writer.clone_from(&self.writer);
        next.history.push(AcceptedPatch {
            number: next.number,
            writer: self.writer.clone(),
            time,
            patch: self.change.clone(),
        });
        let excess = next.history.len().saturating_sub(HISTORY_LENGTH);
        next.history.drain(..excess);
        Ok(next)
    }
}

fn is_patchable(key: &str) -> bool {
    matches!(key, "services" | "workspaces")
}

fn merge(target: &mut Value, patch: &Value) {
    let Value::Object(changes) = patch else {
        *target = patch.clone();
        return;
    };
    if !target.is_object() {
        *target = Value::Object(serde_json::Map::new());
    }
    let members = target.as_object_mut().expect("target was made an object");
    for (key, change) in changes {
        if change.is_null() {
            members.remove(key);
        } else {
            merge(members.entry(key.clone()).or_insert(Value::Null), change);
        }
    }
}
