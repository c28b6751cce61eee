//! Revisions of a store that may go back to an older copy.
//!
//! Such a store begins a new era and gives numbers out again. A revision holds the era
//! in its upper bits, so each is greater than all of earlier eras.

/// Bits of a revision that hold the store's own number.
const NUMBER_BITS: u32 = 40;

/// Greatest era of which all revisions can be told apart.
pub const MAX_ERA: u64 = u64::MAX >> NUMBER_BITS;

/// Returns the revision that the store numbers `number` in `era`.
pub fn revision(era: u64, number: u64) -> u64 {
    era << NUMBER_BITS | number
}

/// Returns the revision that the store numbers `number` in `era`, or `None` if one of
/// them is too large.
pub fn checked_revision(era: u64, number: u64) -> Option<u64> {
    (era <= MAX_ERA && number_of(number) == number).then(|| revision(era, number))
}

/// Returns the era of a revision.
pub fn era_of(revision: u64) -> u64 {
    revision >> NUMBER_BITS
}

/// Returns the store's own number of a revision.
pub fn number_of(revision: u64) -> u64 {
    revision & ((1 << NUMBER_BITS) - 1)
}
