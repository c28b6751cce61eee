//! Lists whose entries come from different writers.
//!
//! Each entry is decoded by itself, so that one that can't be read hides no other.

use lycheehaven_types::raw_json;
use lycheehaven_types::raw_json::Members;
use serde::de::DeserializeOwned;

use crate::Unavailable;

/// Splits the object that a response consists of.
pub(crate) fn split_object(body: &[u8]) -> Result<Members<'_>, Unavailable> {
    Members::split(body).ok_or_else(|| Unavailable("the response is no JSON object".into()))
}

/// Decodes a member that a response must have.
pub(crate) fn decode_member<T: DeserializeOwned>(
    members: &Members<'_>,
    name: &str,
) -> Result<T, Unavailable> {
    let text = members.get(name).unwrap_or(b"null");
    serde_json::from_slice(text).map_err(|cause| Unavailable(format!("{name}: {cause}")))
}

/// Decodes the entries of an array, without those that can't be read.
pub(crate) fn decode_entries<T: DeserializeOwned>(
    array: Option<&[u8]>,
    what: &str,
) -> Result<Vec<T>, Unavailable> {
    let texts = array
        .and_then(raw_json::elements)
        .ok_or_else(|| Unavailable(format!("the response has no list of {what}")))?;
    let mut first_cause = None;
    let entries: Vec<T> = texts
        .iter()
        .filter_map(|text| {
            serde_json::from_slice(text)
                .map_err(|cause| first_cause.get_or_insert(cause.to_string()).len())
                .ok()
        })
        .collect();
    if let Some(cause) = first_cause {
        log::warn!(
            target: "platform",
            skipped = texts.len() - entries.len(), cause = cause.as_str();
            "entries of a list of {what} can't be read and are left out"
        );
    }
    Ok(entries)
}
