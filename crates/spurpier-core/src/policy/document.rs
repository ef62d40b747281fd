//! The published form of a policy, its digest and its place on the platform.

use std::collections::BTreeSet;
use std::fmt;

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_128;

use super::{Finding, Placement, PolicyProgram};
use crate::identity::{DatabaseName, Side};

/// The row of the table service that names the accepted policy.
pub const HEAD_KEY: &str = "policy/head";

/// The prefix of the rows that hold each accepted head.
pub const HISTORY_PREFIX: &str = "policy/history/";

/// The row that holds the head of an accepted version; the keys sort by version.
pub fn history_key(version: u64) -> String {
    format!("{HISTORY_PREFIX}{version:010}")
}

/// The object that holds the document with this digest.
pub fn object_name(digest: &str) -> String {
    format!("policy/{digest}")
}

/// Names an accepted policy.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PolicyHead {
    /// The version.
    pub version: u64,
    /// The digest of the document.
    pub digest: String,
    /// The publication that was accepted.
    pub publish_id: String,
}

impl PolicyHead {
    /// The head as the text of a row.
    pub fn to_text(&self) -> String {
        // A struct of a number and texts always has a JSON form.
        serde_json::to_string(self).unwrap_or_default()
    }

    /// Reads a head from the text of a row.
    ///
    /// # Errors
    ///
    /// When the text is no head.
    pub fn from_text(text: &str) -> Result<PolicyHead, InvalidDocument> {
        serde_json::from_str(text).map_err(|error| InvalidDocument::Malformed(error.to_string()))
    }
}

/// Why bytes are no valid policy document.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum InvalidDocument {
    /// They are not of the document's form.
    Malformed(String),
    /// They are not those that the head names.
    WrongDigest {
        /// The digest that the head names.
        expected: String,
        /// The digest of the bytes.
        found: String,
    },
    /// The program does not compile.
    InvalidProgram(Vec<Finding>),
}

impl fmt::Display for InvalidDocument {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            InvalidDocument::Malformed(why) => write!(formatter, "malformed: {why}"),
            InvalidDocument::WrongDigest { expected, found } => {
                write!(formatter, "its digest is {found}, not {expected}")
            }
            InvalidDocument::InvalidProgram(findings) => {
                write!(formatter, "its program has {} faults", findings.len())
            }
        }
    }
}

impl std::error::Error for InvalidDocument {}

/// What is published: a version, the program's text and the placements that follow from it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PolicyDocument {
    /// The version, which only rises.
    pub version: u64,
    /// The program's text.
    pub program: String,
    /// Where each database's writes go.
    pub placements: Vec<Placement>,
}

impl PolicyDocument {
    /// The document as the bytes of an object.
    pub fn encode(&self) -> Vec<u8> {
        // A struct of numbers and texts always has a JSON form.
        serde_json::to_vec(self).unwrap_or_default()
    }

    /// Reads a document from the bytes of the object that `digest` names.
    ///
    /// # Errors
    ///
    /// When the digest is another one or the bytes are no document.
    pub fn decode(bytes: &[u8], digest: &str) -> Result<PolicyDocument, InvalidDocument> {
        let found = digest_of(bytes);
        if found != digest {
            return Err(InvalidDocument::WrongDigest {
                expected: digest.to_owned(),
                found,
            });
        }
        serde_json::from_slice(bytes).map_err(|error| InvalidDocument::Malformed(error.to_string()))
    }

    /// The document's digest in hex.
    pub fn digest(&self) -> String {
        digest_of(&self.encode())
    }
}

fn digest_of(bytes: &[u8]) -> String {
    format!("{:032x}", xxh3_128(bytes))
}

/// The placements of a new version, from those of the version before.
///
/// A database that was placed before and is not among `databases` stays placed: were it left out,
/// its epoch would be lost and a later policy could not open its fence.
///
/// A database keeps its epoch while its side stays, and gets the new version as its epoch when
/// the side changes. One that was not placed before starts at epoch 0 on the old side, as the
/// fence of a fresh group stands at 0, and at the new version on the new side.
///
/// # Errors
///
/// All faults of the program's `write_side`.
pub fn next_placements(
    previous: &[Placement],
    program: &PolicyProgram,
    databases: &[DatabaseName],
    version: u64,
) -> Result<Vec<Placement>, Vec<Finding>> {
    let known_before = previous.iter().map(|placement| &placement.database);
    let all_databases: BTreeSet<&DatabaseName> = databases.iter().chain(known_before).collect();
    let mut placements = Vec::with_capacity(all_databases.len());
    let mut findings = Vec::new();
    for database in all_databases {
        match program.write_side(database) {
            Ok(side) => placements.push(next_placement(previous, database, side, version)),
            Err(finding) => findings.push(finding),
        }
    }
    if findings.is_empty() {
        Ok(placements)
    } else {
        Err(findings)
    }
}

fn next_placement(
    previous: &[Placement],
    database: &DatabaseName,
    side: Side,
    version: u64,
) -> Placement {
    let previous_placement = previous
        .iter()
        .find(|placement| placement.database == *database);
    let (side_before, epoch_before) = previous_placement.map_or((Side::Old, 0), |placement| {
        (placement.side, placement.epoch)
    });
    let epoch = if side == side_before {
        epoch_before
    } else {
        version
    };
    Placement {
        database: database.clone(),
        side,
        epoch,
    }
}
