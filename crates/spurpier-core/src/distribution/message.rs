//! Messages that carry versions of the document between nodes.

use std::sync::Arc;

use nanoserde::{DeBin, DeBinErr, SerBin};

use crate::wire::{List, decode_long_text, decode_text, encode_long_text, encode_text};

/// The new value of one entry.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EntryChange {
    /// The entry's key.
    pub key: Arc<str>,
    /// The new value, or `None` if the entry was removed.
    pub value: Option<Arc<str>>,
    /// The version of the document that last changed the entry.
    pub changed_in: u64,
}

impl SerBin for EntryChange {
    fn ser_bin(&self, output: &mut Vec<u8>) {
        encode_text(&self.key, output);
        self.value.is_some().ser_bin(output);
        if let Some(value) = &self.value {
            encode_long_text(value, output);
        }
        self.changed_in.ser_bin(output);
    }
}

impl DeBin for EntryChange {
    fn de_bin(offset: &mut usize, bytes: &[u8]) -> Result<Self, DeBinErr> {
        let key = Arc::from(decode_text(offset, bytes)?);
        let value = match bool::de_bin(offset, bytes)? {
            true => Some(Arc::from(decode_long_text(offset, bytes)?)),
            false => None,
        };
        let changed_in = u64::de_bin(offset, bytes)?;
        Ok(EntryChange {
            key,
            value,
            changed_in,
        })
    }
}

/// All changes after one version of the document up to another.
#[derive(Debug, Clone, PartialEq, Eq, SerBin, DeBin)]
pub struct Delta {
    /// The lowest version to which the delta can be applied.
    pub base: u64,
    /// The version after the delta is applied.
    pub version: u64,
    /// The content digest of the document at `version`.
    pub digest: u64,
    /// The latest change of each entry that changed after `base`.
    pub changes: List<EntryChange>,
}

/// A complete document at one version.
#[derive(Debug, Clone, PartialEq, Eq, SerBin, DeBin)]
pub struct Snapshot {
    /// The version of the document.
    pub version: u64,
    /// The content digest of the document.
    pub digest: u64,
    /// All entries that have a value.
    pub entries: List<EntryChange>,
}

/// The result of fetching from the platform the changes up to a newer head.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum FetchedChanges {
    /// The deltas of the missing versions, in ascending order.
    Deltas(Vec<Delta>),
    /// All keys and values of a version.
    FullDocument {
        /// The version of the document.
        version: u64,
        /// The keys and values.
        entries: Vec<(Arc<str>, Arc<str>)>,
    },
}

/// A message that requests or carries a version of the document.
#[derive(Debug, Clone, PartialEq, Eq, SerBin, DeBin)]
pub enum DistributionMessage {
    /// Changes, either pushed or in response to [`DistributionMessage::Request`].
    Changes(Delta),
    /// Requests all changes after a version.
    Request {
        /// The version of the requesting node; 0 requests a snapshot.
        since: u64,
    },
    /// A complete document, in response to a request for changes that are no longer retained.
    Snapshot(Snapshot),
}
