//! The versioned document of policy and configuration that every node holds.

use std::collections::{BTreeMap, VecDeque};
use std::fmt;
use std::sync::Arc;

use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use super::message::{Delta, EntryChange, Snapshot};
use crate::wire::List;

/// One entry; a removed entry is kept as a tombstone while its change is retained.
#[derive(Debug, Clone, PartialEq, Eq)]
struct Entry {
    value: Option<Arc<str>>,
    changed_in: u64,
}

/// A recent change that can be included in a delta.
#[derive(Debug, Clone, PartialEq, Eq)]
struct RetainedChange {
    key: Arc<str>,
    changed_in: u64,
}

/// A versioned set of keys and values.
///
/// Recent changes are retained, so that a delta can be sent instead of the complete document.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Document {
    version: u64,
    digest: u64,
    entries: BTreeMap<Arc<str>, Entry>,
    recent: VecDeque<RetainedChange>,
    /// All changes after this version are retained.
    retained_since: u64,
}

/// Why a delta or snapshot was not applied.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ApplyError {
    /// Its version is not newer than that of the document.
    NotNewer,
    /// The delta starts after the version of the document.
    Gap,
    /// The result would not have the announced digest.
    DigestMismatch,
}

impl fmt::Display for ApplyError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let text = match self {
            ApplyError::NotNewer => "the version is not newer",
            ApplyError::Gap => "versions are missing before the delta",
            ApplyError::DigestMismatch => "the result does not have the announced digest",
        };
        formatter.write_str(text)
    }
}

impl std::error::Error for ApplyError {}

impl Document {
    /// The version; 0 for the empty initial document.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// The digest of all keys and values, independent of their order.
    pub fn digest(&self) -> u64 {
        self.digest
    }

    /// The value of an entry, or `None` if there is no such entry or it was removed.
    pub fn get(&self, key: &str) -> Option<&Arc<str>> {
        self.entries.get(key)?.value.as_ref()
    }

    /// Iterates over all keys and values in the order of the keys.
    pub fn iter(&self) -> impl Iterator<Item = (&Arc<str>, &Arc<str>)> {
        self.entries
            .iter()
            .filter_map(|(key, entry)| Some((key, entry.value.as_ref()?)))
    }

    /// Applies a delta atomically and retains at most `retained` changes.
    ///
    /// # Errors
    ///
    /// If the delta is not newer, starts after this document's version, or does not produce the
    /// announced digest. The document is then unchanged.
    pub fn apply(&mut self, delta: &Delta, retained: usize) -> Result<(), ApplyError> {
        if delta.version <= self.version {
            return Err(ApplyError::NotNewer);
        }
        if delta.base > self.version {
            return Err(ApplyError::Gap);
        }
        if self.digest_after(&delta.changes.0) != delta.digest {
            return Err(ApplyError::DigestMismatch);
        }
        for change in &delta.changes.0 {
            self.apply_change(change);
        }
        self.version = delta.version;
        self.digest = delta.digest;
        self.trim_changes(retained);
        Ok(())
    }

    /// Replaces this document with a snapshot and discards the retained changes.
    ///
    /// # Errors
    ///
    /// If the snapshot is not newer or does not have the announced digest. The document is then
    /// unchanged.
    pub fn replace(&mut self, snapshot: &Snapshot) -> Result<(), ApplyError> {
        if snapshot.version <= self.version {
            return Err(ApplyError::NotNewer);
        }
        let mut replacement = Document {
            version: snapshot.version,
            retained_since: snapshot.version,
            ..Document::default()
        };
        for change in &snapshot.entries.0 {
            let entry = Entry {
                value: change.value.clone(),
                changed_in: change.changed_in,
            };
            replacement.digest = replacement
                .digest
                .wrapping_add(entry_digest(&change.key, change.value.as_deref()));
            replacement.entries.insert(change.key.clone(), entry);
        }
        if replacement.digest != snapshot.digest {
            return Err(ApplyError::DigestMismatch);
        }
        *self = replacement;
        Ok(())
    }

    /// The changes after version `since`, or `None` if they are no longer all retained.
    ///
    /// Always `None` for version 0: a node without a document receives a snapshot.
    pub fn delta_since(&self, since: u64) -> Option<Delta> {
        if since < self.retained_since || since == 0 {
            return None;
        }
        let mut changes: BTreeMap<&Arc<str>, EntryChange> = BTreeMap::new();
        for retained in self.recent.iter().rev() {
            if retained.changed_in <= since {
                break;
            }
            if let Some(entry) = self.entries.get(&retained.key) {
                let change = entry_change(&retained.key, entry);
                changes.insert(&retained.key, change);
            }
        }
        Some(Delta {
            base: since,
            version: self.version,
            digest: self.digest,
            changes: List(changes.into_values().collect()),
        })
    }

    /// Creates the delta from this document to `version` with the given changes.
    ///
    /// A publisher uses it to compute the digest that it announces.
    pub fn delta_with(&self, version: u64, changes: Vec<EntryChange>) -> Delta {
        Delta {
            base: self.version,
            version,
            digest: self.digest_after(&changes),
            changes: List(changes),
        }
    }

    /// A snapshot of all entries that have a value.
    pub fn snapshot(&self) -> Snapshot {
        let entries = self
            .entries
            .iter()
            .filter(|(_, entry)| entry.value.is_some())
            .map(|(key, entry)| entry_change(key, entry))
            .collect();
        Snapshot {
            version: self.version,
            digest: self.digest,
            entries: List(entries),
        }
    }

    /// The estimated memory used by the document, in bytes.
    pub fn memory_bytes(&self) -> usize {
        /// The strong and weak counters that precede the text in an `Arc<str>` allocation.
        const ARC_COUNTERS_BYTES: usize = 2 * size_of::<usize>();
        /// The capacity of a B-tree per used slot, as a fraction: nodes are two thirds full on
        /// average.
        const BTREE_OVERHEAD: (usize, usize) = (3, 2);
        let slot_bytes = size_of::<(Arc<str>, Entry)>() * BTREE_OVERHEAD.0 / BTREE_OVERHEAD.1;
        let entries: usize = self
            .entries
            .iter()
            .map(|(key, entry)| {
                let value = entry
                    .value
                    .as_ref()
                    .map_or(0, |value| ARC_COUNTERS_BYTES + value.len());
                slot_bytes + ARC_COUNTERS_BYTES + key.len() + value
            })
            .sum();
        size_of::<Self>() + entries + self.recent.capacity() * size_of::<RetainedChange>()
    }

    fn digest_after(&self, changes: &[EntryChange]) -> u64 {
        let newer = changes.iter().filter(|change| self.is_newer(change));
        newer.fold(self.digest, |digest, change| {
            let old = self.entries.get(&change.key);
            let old = old.and_then(|entry| entry.value.as_deref());
            digest
                .wrapping_sub(entry_digest(&change.key, old))
                .wrapping_add(entry_digest(&change.key, change.value.as_deref()))
        })
    }

    fn is_newer(&self, change: &EntryChange) -> bool {
        self.entries
            .get(&change.key)
            .is_none_or(|entry| entry.changed_in < change.changed_in)
    }

    fn apply_change(&mut self, change: &EntryChange) {
        if !self.is_newer(change) {
            return;
        }
        let entry = Entry {
            value: change.value.clone(),
            changed_in: change.changed_in,
        };
        self.entries.insert(change.key.clone(), entry);
        self.recent.push_back(RetainedChange {
            key: change.key.clone(),
            changed_in: change.changed_in,
        });
    }

    /// Drops the oldest changes above `retained`, together with their tombstones.
    fn trim_changes(&mut self, retained: usize) {
        while self.recent.len() > retained {
            let Some(oldest) = self.recent.pop_front() else {
                return;
            };
            self.retained_since = self.retained_since.max(oldest.changed_in);
            let removed = self.entries.get(&oldest.key).is_some_and(|entry| {
                entry.value.is_none() && entry.changed_in == oldest.changed_in
            });
            if removed {
                self.entries.remove(&oldest.key);
            }
        }
    }
}

/// Computes the delta from a document to a newer version with exactly the given entries.
pub fn difference(from: &Document, version: u64, entries: &[(Arc<str>, Arc<str>)]) -> Delta {
    let wanted: BTreeMap<&str, &Arc<str>> = entries
        .iter()
        .map(|(key, value)| (key.as_ref(), value))
        .collect();
    let changed = entries
        .iter()
        .filter(|(key, value)| from.get(key) != Some(value))
        .map(|(key, value)| (key.clone(), Some(value.clone())));
    let removed = from
        .iter()
        .filter(|(key, _)| !wanted.contains_key(key.as_ref()))
        .map(|(key, _)| (key.clone(), None));
    let changes: Vec<EntryChange> = changed
        .chain(removed)
        .map(|(key, value)| EntryChange {
            key,
            value,
            changed_in: version,
        })
        .collect();
    from.delta_with(version, changes)
}

/// The contribution of one entry to the document's digest; 0 for a removed entry.
fn entry_digest(key: &str, value: Option<&str>) -> u64 {
    value.map_or(0, |value| {
        xxh3_64_with_seed(value.as_bytes(), xxh3_64(key.as_bytes()))
    })
}

fn entry_change(key: &Arc<str>, entry: &Entry) -> EntryChange {
    EntryChange {
        key: key.clone(),
        value: entry.value.clone(),
        changed_in: entry.changed_in,
    }
}

/// The storage of a node's document.
///
/// A node owns its document; a simulation of many nodes shares equal documents to save memory.
pub trait DocumentStore {
    /// The stored document.
    fn document(&self) -> &Document;

    /// Applies a delta atomically and retains at most `retained` changes.
    ///
    /// # Errors
    ///
    /// As [`Document::apply`].
    fn apply(&mut self, delta: &Delta, retained: usize) -> Result<(), ApplyError>;

    /// Replaces the stored document with a snapshot.
    ///
    /// # Errors
    ///
    /// As [`Document::replace`].
    fn replace(&mut self, snapshot: &Snapshot) -> Result<(), ApplyError>;
}

/// A [`DocumentStore`] that owns its document.
#[derive(Debug, Clone, Default)]
pub struct OwnedDocument(pub Document);

impl DocumentStore for OwnedDocument {
    fn document(&self) -> &Document {
        &self.0
    }

    fn apply(&mut self, delta: &Delta, retained: usize) -> Result<(), ApplyError> {
        self.0.apply(delta, retained)
    }

    fn replace(&mut self, snapshot: &Snapshot) -> Result<(), ApplyError> {
        self.0.replace(snapshot)
    }
}
