//! A policy as entries of the document that spreads between nodes.
//!
//! The program is one entry and each placement another one, so that a policy that moves one
//! database travels as a small delta.

use std::sync::Arc;

use super::{InvalidDocument, Placement, PolicyDocument, PolicyHead};
use crate::distribution::Document;
use crate::identity::{DatabaseName, Side};

/// The greatest length of one entry's value, in bytes; a program is shorter.
pub const MAX_ENTRY_BYTES: usize = u16::MAX as usize;

const HEAD_ENTRY: &str = "policy/head";
const PROGRAM_ENTRY: &str = "policy/program";
const PLACEMENT_PREFIX: &str = "policy/placement/";

/// The entries of an accepted policy.
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

/// The accepted policy in a document; its digest is that of the head.
///
/// # Errors
///
/// When an entry is missing or malformed, or the whole has another digest.
pub fn policy_from_entries(
    entries: &Document,
) -> Result<(PolicyHead, PolicyDocument), InvalidDocument> {
    let head = PolicyHead::from_text(require_entry(entries, HEAD_ENTRY)?)?;
    let program = require_entry(entries, PROGRAM_ENTRY)?.to_owned();
    // Entries come in the order of their keys, as the placements of a document do.
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
    let malformed = || InvalidDocument::Malformed(format!("the placement of {database}: {value}"));
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
