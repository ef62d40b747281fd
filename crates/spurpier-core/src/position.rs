//! Positions in the log of a database group.

use std::fmt;
use std::str::FromStr;

use nanoserde::{DeBin, SerBin};
use serde::{Deserialize, Serialize};

/// A position in a group's log: the term of a record, then its offset.
///
/// Positions are ordered lexicographically. In PostgreSQL's terms, the term is the timeline and the
/// offset the log sequence number. The text form is `term/offset`, as in `3/1042`.
#[derive(
    Debug,
    Clone,
    Copy,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Default,
    Serialize,
    Deserialize,
    SerBin,
    DeBin,
)]
pub struct Position {
    /// The term in which the record was written; terms start at 1.
    pub term: u64,
    /// The number of the record in the log, counted from 1 across all terms.
    pub offset: u64,
}

impl Position {
    /// The position before every record.
    pub const ZERO: Position = Position { term: 0, offset: 0 };

    /// The position of record `offset`, written in `term`.
    pub const fn new(term: u64, offset: u64) -> Self {
        Position { term, offset }
    }
}

impl fmt::Display for Position {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}/{}", self.term, self.offset)
    }
}

/// The error for a text that is not a position.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct InvalidPosition {
    /// The rejected text.
    pub text: String,
}

impl fmt::Display for InvalidPosition {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            formatter,
            "`{}` is not a position of the form term/offset",
            self.text
        )
    }
}

impl std::error::Error for InvalidPosition {}

impl FromStr for Position {
    type Err = InvalidPosition;

    fn from_str(text: &str) -> Result<Self, InvalidPosition> {
        let invalid = || InvalidPosition {
            text: text.to_owned(),
        };
        let (term, offset) = text.split_once('/').ok_or_else(invalid)?;
        let term = term.parse().map_err(|_| invalid())?;
        let offset = offset.parse().map_err(|_| invalid())?;
        Ok(Position { term, offset })
    }
}
