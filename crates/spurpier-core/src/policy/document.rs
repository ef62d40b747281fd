//! The published form of a policy, its digest, and the rows and objects that store it on the
//! platform.

use std::collections::BTreeSet;
use std::fmt;

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_128;

use super::{Finding, Placement, PolicyProgram};
use crate::identity::{DatabaseName, Side};

/// The key of the row that names the accepted policy in the platform's table service.
pub const HEAD_KEY: &str = "policy/head";

/// The key prefix of the rows that hold the head of each accepted version.
pub const HISTORY_PREFIX: &str = "policy/history/";

/// The key of the row that holds the head of an accepted version; keys sort by version.
pub fn history_key(version: u64) -> String {
    format!("{HISTORY_PREFIX}{version:010}")
}

/// The name of the object that holds the document with this digest.
pub fn object_name(digest: &str) -> String {
    format!("policy/{digest}")
}

/// Identifies an accepted version of the policy.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PolicyHead {
    /// The version.
    pub version: u64,
    /// The digest of the document, in hex.
    pub digest: String,
    /// The identifier of the publication that was accepted.
    pub publish_id: String,
}

impl PolicyHead {
    /// Encodes the head as the JSON text of a row.
    pub fn to_text(&self) -> String {
        // Serialization cannot fail: the struct holds only a number and strings.
        serde_json::to_string(self).unwrap_or_default()
    }

    /// Decodes a head from the JSON text of a row.
    ///
    /// # Errors
    ///
    /// [`InvalidDocument::Malformed`] if the text is not a head.
    pub fn from_text(text: &str) -> Result<PolicyHead, InvalidDocument> {
        serde_json::from_str(text).map_err(|error| InvalidDocument::Malformed(error.to_string()))
    }
}

/// Why a policy head or document is not valid.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum InvalidDocument {
    /// It cannot be decoded; holds the cause.
    Malformed(String),
    /// It does not have the digest that its head names.
    WrongDigest {
        /// The digest that the head names.
        expected: String,
        /// The digest of the document.
        found: String,
    },
    /// The program does not compile; holds its errors.
    InvalidProgram(Vec<Finding>),
}

impl fmt::Display for InvalidDocument {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            InvalidDocument::Malformed(why) => write!(formatter, "malformed: {why}"),
            InvalidDocument::WrongDigest { expected, found } => {
                write!(formatter, "its digest is {found}, expected {expected}")
            }
            InvalidDocument::InvalidProgram(findings) => {
                write!(formatter, "its program has {} errors", findings.len())
            }
        }
    }
}

impl std::error::Error for InvalidDocument {}

/// The published form of a policy: a version, the text of the program and the placements that
/// result from it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PolicyDocument {
    /// The version, which increases by one with each accepted policy.
    pub version: u64,
    /// The text of the program.
    pub program: String,
    /// The side that accepts the writes of each database, ordered by database.
    pub placements: Vec<Placement>,
}

impl PolicyDocument {
    /// Encodes the document as the JSON bytes of an object.
    pub fn encode(&self) -> Vec<u8> {
        // Serialization cannot fail: the struct holds only numbers, strings and enum variants.
        serde_json::to_vec(self).unwrap_or_default()
    }

    /// Decodes a document from the bytes of the object with this digest.
    ///
    /// # Errors
    ///
    /// If the bytes have another digest or are not a document.
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

    /// The digest of the encoded document, in hex.
    pub fn digest(&self) -> String {
        digest_of(&self.encode())
    }
}

fn digest_of(bytes: &[u8]) -> String {
    format!("{:032x}", xxh3_128(bytes))
}

/// Computes the placements of a new version from those of the previous version.
///
/// A database that was placed before stays placed even if it is not among `databases`. Otherwise
/// its epoch would be lost, and a later policy could not open its fence.
///
/// A database keeps its epoch while its side is unchanged. When the side changes, the epoch
/// becomes the new version. A database without a previous placement starts at epoch 0 on the old
/// side, because the fence of a new group is at epoch 0, and at the new version on the new side.
///
/// # Errors
///
/// All errors of the program's `write_side` function.
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
