//! Conversion between a policy and entries of the document that is distributed to all nodes.
//!
//! The head, the program and each placement are separate entries, so that a policy that moves one
//! database is distributed as a small delta.

use std::sync::Arc;

use super::{InvalidDocument, Placement, PolicyDocument, PolicyHead};
use crate::distribution::Document;
use crate::identity::{DatabaseName, Side};

/// The maximum size of an entry's value, in bytes; programs are limited to less.
pub const MAX_ENTRY_BYTES: usize = u16::MAX as usize;

const HEAD_ENTRY: &str = "policy/head";
const PROGRAM_ENTRY: &str = "policy/program";
const PLACEMENT_PREFIX: &str = "policy/placement/";

/// Converts an accepted policy to entries.
pub fn policy_entries(head: &PolicyHead, document: &PolicyDocument) -> Vec<(Arc<str>, Arc<str>)> {
    let placements = document.placements.iter().map(|placement| {
        let key = format!("{PLACEMENT_PREFIX}{}", placement.database);
        let value = format!("{} {}", placement.side, placement.epoch);
        (Arc::from(key), Arc::from(value))
    });
    let head = (Arc::from(HEAD_ENTRY), Arc::from(head.to_text()));
    let program = (
        Arc::from(PROGRAM_ENTRY),
        Arc::from(document.program.as_str()),
    );
    [head, program].into_iter().chain(placements).collect()
}

/// Restores the accepted policy from the entries of a document and verifies its digest.
///
/// # Errors
///
/// If an entry is missing or malformed, or the policy does not have the digest that the head names.
pub fn policy_from_entries(
    entries: &Document,
) -> Result<(PolicyHead, PolicyDocument), InvalidDocument> {
    let head = PolicyHead::from_text(require_entry(entries, HEAD_ENTRY)?)?;
    let program = require_entry(entries, PROGRAM_ENTRY)?.to_owned();
    // Entries are ordered by key and thus by database, like the placements of a policy document.
    // Any other order would change the digest.
    let placements = entries
        .iter()
        .filter_map(|(key, value)| Some((key.strip_prefix(PLACEMENT_PREFIX)?, value)))
        .map(|(database, value)| parse_placement(database, value))
        .collect::<Result<Vec<Placement>, InvalidDocument>>()?;
    let document = PolicyDocument {
        version: head.version,
        program,
        placements,
    };
    let found = document.digest();
    if found != head.digest {
        return Err(InvalidDocument::WrongDigest {
            expected: head.digest,
            found,
        });
    }
    Ok((head, document))
}

fn require_entry<'entries>(
    entries: &'entries Document,
    key: &str,
) -> Result<&'entries str, InvalidDocument> {
    let value = entries.get(key).map(AsRef::as_ref);
    value.ok_or_else(|| InvalidDocument::Malformed(format!("the entry {key} is missing")))
}

fn parse_placement(database: &str, value: &str) -> Result<Placement, InvalidDocument> {
    let malformed =
        || InvalidDocument::Malformed(format!("invalid placement of {database}: {value}"));
    let (side, epoch) = value.split_once(' ').ok_or_else(malformed)?;
    let side = match side {
        "old" => Side::Old,
        "new" => Side::New,
        _ => return Err(malformed()),
    };
    Ok(Placement {
        database: DatabaseName::from(database),
        side,
        epoch: epoch.parse().map_err(|_| malformed())?,
    })
}
