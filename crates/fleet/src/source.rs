//! Where reported counts come from.

use lycheehaven_types::Name;

/// The entries that a report covers.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum Source {
    /// One entry, by name.
    Entry(Name),
    /// All entries of another failure domain, by its name.
    Domain(Name),
    /// All entries except this one.
    Fleet,
}
