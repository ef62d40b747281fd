//! The store's tables as last reported to this node, and the updates that it sends to other nodes.
//!
//! Only a few nodes read from the store; the others follow one of these, and a node that gets no
//! answer from the store follows any other node. A follower sends the store version up to which it
//! knows a table and receives the changes since, or the whole table if they are no longer kept.

use std::collections::{BTreeMap, VecDeque};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use nanoserde::{DeBin, DeBinErr, SerBin};
use spurpier_core::store_version::StoreVersion;
use spurpier_core::time::Timestamp;
use spurpier_core::wire::{List, decode_bytes, decode_long_text, encode_bytes, encode_long_text};
use tokio::sync::watch;
use xxhash_rust::xxh3::Xxh3;

use crate::ports::{Row, Table};

/// Maximum number of removed rows kept per table. When 300 nodes leave at once, they remove as many
/// rows, and a configuration change may drop the 1,400 routes that another one added.
const MAX_REMOVED_ROWS: usize = 4_096;

/// Maximum number of gaps kept per table; a follower in an older one receives the whole table.
const MAX_GAPS: usize = 8;

/// Size from which updates are large: sent to 50 nodes, they take 0.3 s of a 10 Mbit/s link.
const LARGE_UPDATE_BYTES: usize = 8 << 10;
/// Approximate encoded size of a row without its value, in bytes.
const ROW_OVERHEAD_BYTES: usize = 30;

/// The tables that nodes follow; the index is the table number used in messages.
pub const FOLLOWED: [Table; 3] = [Table::Configuration, Table::Servers, Table::Cluster];

/// The table's number in messages; `None` if nodes do not exchange it.
pub fn table_number(table: Table) -> Option<u8> {
    let index = FOLLOWED.iter().position(|followed| *followed == table)?;
    u8::try_from(index).ok()
}

/// Updates of a table that one node sends to another.
#[derive(Debug, Clone, PartialEq, SerBin, DeBin)]
pub struct TableUpdates {
    /// Whether this is the whole table, so that rows missing from it were removed.
    pub whole: bool,
    /// The store's version of the table.
    pub version: StoreVersion,
    /// Time from the store's last report on the table to these updates, in milliseconds.
    pub age_ms: u32,
    /// How long the request was held before these updates were sent, in milliseconds.
    pub held_ms: u32,
    /// Digest of the whole table at the sender.
    pub digest: u64,
    /// The rows, in the order of their last changes.
    pub rows: List<PeerRow>,
}

impl TableUpdates {
    /// Whether sending it to a few dozen nodes takes a good part of a second on a slow link.
    pub fn is_large(&self) -> bool {
        let values = self.rows.0.iter().map(|row| row.0.value.len());
        values.sum::<usize>() + self.rows.0.len() * ROW_OVERHEAD_BYTES >= LARGE_UPDATE_BYTES
    }

    /// When the store last reported on the table, on the clock of a node that asked at `asked_at`.
    ///
    /// The other node determined the age no earlier than `held_ms` after the request was sent.
    /// Counting from the arrival of the reply would add its transit time, and two nodes that follow
    /// each other would keep each other's tables looking recent.
    pub fn reported_at(&self, asked_at: Timestamp) -> Timestamp {
        let held = Duration::from_millis(u64::from(self.held_ms));
        let age = Duration::from_millis(u64::from(self.age_ms));
        (asked_at + held).saturating_sub(age)
    }
}

fn whole_millis(time: Duration) -> u32 {
    u32::try_from(time.as_millis()).unwrap_or(u32::MAX)
}

/// A row as encoded in messages between nodes.
#[derive(Debug, Clone, PartialEq)]
pub struct PeerRow(pub Row);

impl SerBin for PeerRow {
    fn ser_bin(&self, output: &mut Vec<u8>) {
        encode_long_text(&self.0.key, output);
        encode_bytes(&self.0.value, output);
        self.0.version.ser_bin(output);
        self.0.gone.ser_bin(output);
    }
}

impl DeBin for PeerRow {
    fn de_bin(offset: &mut usize, bytes: &[u8]) -> Result<Self, DeBinErr> {
        Ok(PeerRow(Row {
            key: decode_long_text(offset, bytes)?.to_owned(),
            value: Bytes::copy_from_slice(decode_bytes(offset, bytes)?),
            version: StoreVersion::de_bin(offset, bytes)?,
            gone: bool::de_bin(offset, bytes)?,
        }))
    }
}

/// How nodes determine that they know the same table.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Compared {
    /// By the version up to which they know the table.
    ByVersion,
    /// Also by the digest of the table's rows.
    ByDigest,
}

/// A range of versions that was skipped: rows added and removed within it are unknown.
#[derive(Debug, Clone, Copy)]
struct Gap {
    after: StoreVersion,
    before: StoreVersion,
}

impl Gap {
    fn contains(self, version: StoreVersion) -> bool {
        self.after < version && version < self.before
    }
}

#[derive(Debug, Default)]
struct KnownTable {
    rows: BTreeMap<String, Row>,
    /// The store's version up to which all changes are known.
    version: StoreVersion,
    /// When the store last reported on the table, on this node's clock; `None` before it did.
    reported_at: Option<Timestamp>,
    /// The value of `reported_at` before the last report.
    previously_reported_at: Option<Timestamp>,
    /// Version of the newest known change.
    changed_at: StoreVersion,
    /// The most recently removed rows, oldest first.
    removed: VecDeque<Row>,
    /// The version since which all removals are kept, except within the gaps.
    remembered_since: StoreVersion,
    /// Version ranges skipped by reads of the whole table, oldest first.
    gaps: VecDeque<Gap>,
    /// Digest of the rows; `None` if they have changed since it was computed.
    digest: Option<u64>,
}

impl KnownTable {
    /// Replaces the table with its state as of a version, but keeps newer rows that were received
    /// ahead of it. Returns the number of received rows that are outdated by kept ones.
    fn replace_rows(&mut self, rows: &[Row], version: StoreVersion, compared: Compared) -> usize {
        let mut outdated = 0;
        self.record_skipped_versions(version, compared);
        let mut replaced: BTreeMap<String, Row> = rows
            .iter()
            .map(|row| (row.key.clone(), row.clone()))
            .collect();
        let known = std::mem::take(&mut self.rows);
        for (key, row) in known {
            match replaced.get(&key) {
                Some(newer) if newer.version >= row.version => {}
                None if row.version <= version => self.remember_removal(key, version),
                received => {
                    outdated += usize::from(received.is_some());
                    replaced.insert(key, row);
                }
            }
        }
        let changed = replaced.values().map(|row| row.version);
        let changed = changed.filter(|changed| *changed <= version).max();
        self.changed_at = self.changed_at.max(changed.unwrap_or_default());
        self.rows = replaced;
        self.digest = None;
        outdated
    }

    /// Whether there are updates for a node that knows the table up to a version. A node in a later
    /// era must learn at once that this one is behind.
    fn has_updates(&self, version: StoreVersion) -> bool {
        self.changed_at > version || self.version.era() != version.era()
    }

    /// Number of rows whose version number exceeds that of a version of another era.
    fn count_numbers_above(&self, version: StoreVersion) -> usize {
        let rows = self.rows.values();
        rows.filter(|row| row.version.number() > version.number())
            .count()
    }

    /// Records that the store reported on the table at `reported_at`, as of a version.
    fn record_report(&mut self, version: StoreVersion, reported_at: Timestamp) {
        self.version = self.version.max(version);
        self.previously_reported_at = self.reported_at;
        self.reported_at = self.reported_at.max(Some(reported_at));
    }

    /// Records that the whole table as of a version was received: rows added and removed between
    /// the previous version and this one are unknown.
    fn record_skipped_versions(&mut self, version: StoreVersion, compared: Compared) {
        if self.reported_at.is_none() {
            self.remembered_since = version;
            return;
        }
        if version > self.version && compared == Compared::ByVersion {
            self.gaps.push_back(Gap {
                after: self.version,
                before: version,
            });
        }
        if self.gaps.len() > MAX_GAPS
            && let Some(oldest) = self.gaps.pop_front()
        {
            self.remembered_since = self.remembered_since.max(oldest.before);
        }
    }

    /// Returns the digest of the rows, computing it if they have changed.
    fn digest(&mut self) -> u64 {
        let rows = &self.rows;
        *self.digest.get_or_insert_with(|| digest_of(rows))
    }

    /// The digest that the rows would have after the given changes.
    fn digest_after(&mut self, changes: &[Row]) -> u64 {
        if changes.is_empty() {
            return self.digest();
        }
        let mut after = KnownTable {
            rows: self.rows.clone(),
            ..KnownTable::default()
        };
        for row in changes {
            after.apply_row(row);
        }
        after.digest()
    }

    /// Applies a changed row; returns false if a newer one is known.
    fn apply_row(&mut self, row: &Row) -> bool {
        let known = self.rows.get(&row.key);
        if known.is_some_and(|known| known.version > row.version) {
            return false;
        }
        self.digest = None;
        if row.gone {
            self.rows.remove(&row.key);
            // Another node may know a row that was added and removed between two reports to this
            // one.
            self.remember_removal(row.key.clone(), row.version);
        } else {
            self.rows.insert(row.key.clone(), row.clone());
        }
        true
    }

    fn remember_removal(&mut self, key: String, version: StoreVersion) {
        self.changed_at = self.changed_at.max(version);
        self.removed.push_back(Row {
            key,
            value: Bytes::new(),
            version,
            gone: true,
        });
        if self.removed.len() > MAX_REMOVED_ROWS
            && let Some(forgotten) = self.removed.pop_front()
        {
            self.remembered_since = self.remembered_since.max(forgotten.version);
        }
    }

    /// The changes since a version, in the order of their versions; `None` if some are no longer
    /// kept.
    fn since(&self, version: StoreVersion) -> Option<Vec<PeerRow>> {
        let is_in_gap = self.gaps.iter().any(|gap| gap.contains(version));
        // A caller in another era needs the whole table to learn that the store was restored.
        let is_former = version.era() != self.version.era();
        if is_in_gap || is_former || version < self.remembered_since {
            return None;
        }
        let rows = self.rows.values().chain(&self.removed);
        let mut changed: Vec<&Row> = rows.filter(|row| row.version > version).collect();
        changed.sort_by_key(|row| row.version);
        Some(changed.into_iter().cloned().map(PeerRow).collect())
    }
}

/// The digest of the keys and values of rows, regardless of their versions.
fn digest_of(rows: &BTreeMap<String, Row>) -> u64 {
    let mut hasher = Xxh3::new();
    for row in rows.values() {
        hasher.update(&(row.key.len() as u64).to_le_bytes());
        hasher.update(row.key.as_bytes());
        hasher.update(&(row.value.len() as u64).to_le_bytes());
        hasher.update(&row.value);
    }
    hasher.digest()
}

/// The store's tables as last reported to this node.
#[derive(Debug, Default)]
pub struct KnownTables {
    tables: Mutex<[KnownTable; FOLLOWED.len()]>,
    changed: watch::Sender<u64>,
}

impl KnownTables {
    /// Creates tables of which nothing is known yet.
    pub fn new() -> Self {
        Self::default()
    }

    /// Replaces a whole table with what the store reported at `reported_at`. Returns the number of
    /// rows that were skipped because newer ones are known.
    pub fn replace(
        &self,
        table: Table,
        rows: &[Row],
        version: StoreVersion,
        reported_at: Timestamp,
        compared: Compared,
    ) -> usize {
        self.update(table, |known| {
            let outdated = known.replace_rows(rows, version, compared);
            known.record_report(version, reported_at);
            outdated
        })
    }

    /// Applies the changes, possibly none, that the store reported at `reported_at`. Returns the
    /// number of rows that were skipped because newer ones are known.
    pub fn change(
        &self,
        table: Table,
        rows: &[Row],
        version: StoreVersion,
        reported_at: Timestamp,
    ) -> usize {
        self.update(table, |known| {
            let mut outdated = 0;
            for row in rows {
                outdated += usize::from(!known.apply_row(row));
                known.changed_at = known.changed_at.max(row.version);
            }
            known.record_report(version, reported_at);
            outdated
        })
    }

    /// Applies a row that another node sent ahead of the table's other changes.
    pub fn insert(&self, table: Table, row: &Row) {
        self.update(table, |known| known.apply_row(row));
    }

    /// The store's version up to which all changes of a table are known.
    pub fn version(&self, table: Table) -> StoreVersion {
        let number = table_number(table).map(usize::from);
        number.map_or(StoreVersion::NONE, |number| self.lock()[number].version)
    }

    /// Number of rows of a table whose version number exceeds that of a version of another era.
    pub fn count_numbers_above(&self, table: Table, version: StoreVersion) -> usize {
        let number = table_number(table).map(usize::from);
        number.map_or(0, |number| self.lock()[number].count_numbers_above(version))
    }

    /// All rows of a table, sorted by key.
    pub fn rows(&self, table: Table) -> Vec<Row> {
        let number = table_number(table).map(usize::from);
        number.map_or_else(Vec::new, |number| {
            self.lock()[number].rows.values().cloned().collect()
        })
    }

    /// When the store last reported on a table, on this node's clock; `None` before it did.
    pub fn reported_at(&self, table: Table) -> Option<Timestamp> {
        let number = table_number(table)?;
        self.lock()[usize::from(number)].reported_at
    }

    /// When the store had reported on a table before its last report, on this node's clock; `None`
    /// before it did. Rows that are new in the last report were written no earlier, except for
    /// those that the store held back.
    pub fn previously_reported_at(&self, table: Table) -> Option<Timestamp> {
        let number = table_number(table)?;
        self.lock()[usize::from(number)].previously_reported_at
    }

    fn update<T: Default>(&self, table: Table, change: impl FnOnce(&mut KnownTable) -> T) -> T {
        let Some(number) = table_number(table) else {
            return T::default();
        };
        let (changed, has_changed) = {
            let mut tables = self.lock();
            let known = &mut tables[usize::from(number)];
            let state = |known: &KnownTable| {
                let era = known.version.era();
                (known.changed_at, era, known.reported_at.is_some())
            };
            let before = state(known);
            let changed = change(known);
            (changed, state(known) != before)
        };
        if has_changed {
            self.changed.send_modify(|count| *count += 1);
        }
        changed
    }

    /// Returns a receiver that is notified when any table changes.
    pub fn changes(&self) -> watch::Receiver<u64> {
        self.changed.subscribe()
    }

    /// Whether a table has changed since a version, or is known to this node but not to the caller.
    pub fn has_updates(&self, number: u8, version: Option<StoreVersion>) -> bool {
        let tables = self.lock();
        let Some(known) = tables.get(usize::from(number)) else {
            return false;
        };
        known.reported_at.is_some() && version.is_none_or(|version| known.has_updates(version))
    }

    /// The digest that a table's rows would have after the given changes.
    pub fn digest_after(&self, table: Table, changes: &[Row]) -> u64 {
        let number = table_number(table).map(usize::from);
        number.map_or(0, |number| self.lock()[number].digest_after(changes))
    }

    /// The updates of a table for a node that knows it up to a version, in reply to a request
    /// received at `called_at`; `None` if nothing is known of the table.
    pub fn updates(
        &self,
        number: u8,
        version: Option<StoreVersion>,
        called_at: Timestamp,
        now: Timestamp,
    ) -> Option<TableUpdates> {
        let mut tables = self.lock();
        let known = tables.get_mut(usize::from(number))?;
        let digest = known.digest();
        let age = now.since(known.reported_at?);
        let changes = version.and_then(|version| known.since(version));
        let whole = changes.is_none();
        let all = || known.rows.values().cloned().map(PeerRow).collect();
        Some(TableUpdates {
            whole,
            version: known.version,
            // Rounded up so that the receiver never takes the table for more recent than it is.
            age_ms: whole_millis(age).saturating_add(1),
            held_ms: whole_millis(now.since(called_at)),
            digest,
            rows: List(changes.unwrap_or_else(all)),
        })
    }

    fn lock(&self) -> MutexGuard<'_, [KnownTable; FOLLOWED.len()]> {
        self.tables.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
