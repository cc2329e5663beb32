//! What the checkers report.

use std::fmt;

/// An invariant that didn't hold, in words: who broke it, when, and how.
#[derive(Clone, PartialEq, Eq)]
pub struct Violation(String);

impl Violation {
    /// A violation, described for people.
    pub fn new(description: impl Into<String>) -> Self {
        Self(description.into())
    }

    /// The same violation with a prefix that says when and where it was found.
    pub fn at(&self, place: impl fmt::Display) -> Self {
        Self(format!("{place}: {}", self.0))
    }
}

impl fmt::Display for Violation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

// Lists of violations are printed as lists of texts.
impl fmt::Debug for Violation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Debug::fmt(&self.0, f)
    }
}

impl std::error::Error for Violation {}
