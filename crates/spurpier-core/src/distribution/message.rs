//! The messages by which versions of the document travel.

use std::sync::Arc;

use nanoserde::{DeBin, DeBinErr, SerBin};

use crate::wire::{List, decode_long_text, decode_text, encode_long_text, encode_text};

/// One entry's new value.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EntryChange {
    /// The entry's key.
    pub key: Arc<str>,
    /// Its value; none when the entry was removed.
    pub value: Option<Arc<str>>,
    /// The version in which it changed last.
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

/// All changes after one version up to another.
#[derive(Debug, Clone, PartialEq, Eq, SerBin, DeBin)]
pub struct Delta {
    /// The delta can be applied to this version and every later one.
    pub base: u64,
    /// The version that results.
    pub version: u64,
    /// The content digest of the document that results.
    pub digest: u64,
    /// The entries that changed after `base`.
    pub changes: List<EntryChange>,
}

/// A whole document.
#[derive(Debug, Clone, PartialEq, Eq, SerBin, DeBin)]
pub struct Snapshot {
    /// Its version.
    pub version: u64,
    /// Its content digest.
    pub digest: u64,
    /// All entries.
    pub entries: List<EntryChange>,
}

/// What a watcher read from the platform after a newer head.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum FetchedChanges {
    /// The deltas of the missing versions, in order.
    Deltas(Vec<Delta>),
    /// The whole document as keys and values.
    FullDocument {
        /// Its version.
        version: u64,
        /// Its entries.
        entries: Vec<(Arc<str>, Arc<str>)>,
    },
}

/// A message about versions of the document.
#[derive(Debug, Clone, PartialEq, Eq, SerBin, DeBin)]
pub enum DistributionMessage {
    /// Changes, unasked or as the answer to [`DistributionMessage::Request`].
    Changes(Delta),
    /// Asks for all changes after this version; 0 asks for a whole document.
    Request {
        /// The asker's version.
        since: u64,
    },
    /// A whole document, as the answer when the changes are not known any more.
    Snapshot(Snapshot),
}
