//! The store's tables as this node last saw them, and what it tells of them to other nodes.
//!
//! Few nodes follow the store; the others follow one of these, and a node that the store does not
//! answer follows any other. A node that follows is told the changes since the point that it
//! names, or the whole table if these are not remembered.

use std::collections::{BTreeMap, VecDeque};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use nanoserde::{DeBin, DeBinErr, SerBin};
use spurpier_core::time::Timestamp;
use spurpier_core::wire::{List, decode_bytes, decode_long_text, encode_bytes, encode_long_text};
use tokio::sync::watch;

use crate::ports::{Row, Table};

/// Changes of one table that are remembered.
const REMEMBERED: usize = 1_024;

/// The tables that nodes follow, by the number that messages carry.
const FOLLOWED: [Table; 3] = [Table::Configuration, Table::Servers, Table::Cluster];

/// The number by which messages name a table; none if nodes do not tell each other of it.
pub fn table_number(table: Table) -> Option<u8> {
    let index = FOLLOWED.iter().position(|followed| *followed == table)?;
    u8::try_from(index).ok()
}

/// A point in what one life of a node has seen of a table.
#[derive(Debug, Clone, Copy, PartialEq, Eq, SerBin, DeBin)]
pub struct Cursor {
    /// The life.
    pub life: u64,
    /// How many changes it had seen.
    pub changes: u64,
}

/// What a node tells of a table.
#[derive(Debug, Clone, PartialEq, SerBin, DeBin)]
pub struct News {
    /// The point that it brings a follower to.
    pub cursor: Cursor,
    /// Whether it is the whole table, so that rows which are not in it are gone.
    pub whole: bool,
    /// The store's version of it.
    pub version: u64,
    /// How long ago the store last told of the table when this was told, in milliseconds.
    pub age_ms: u32,
    /// How long the call was held before this was told, in milliseconds.
    pub held_ms: u32,
    /// The rows, in the order of their changes.
    pub rows: List<ToldRow>,
}

impl News {
    /// When the store last told of the table, on the clock of a node that asked at `asked_at`.
    ///
    /// The other node held the call for `held_ms` before it told the age, so that it told it no
    /// earlier than `held_ms` after the question. Counting from the arrival of the answer would add
    /// its time on the way, and two nodes that follow each other would keep each other young.
    pub fn told_at(&self, asked_at: Timestamp) -> Timestamp {
        let held = Duration::from_millis(u64::from(self.held_ms));
        let age = Duration::from_millis(u64::from(self.age_ms));
        (asked_at + held).before(age)
    }
}

fn whole_millis(time: Duration) -> u32 {
    u32::try_from(time.as_millis()).unwrap_or(u32::MAX)
}

/// A row as a message carries it.
#[derive(Debug, Clone, PartialEq)]
pub struct ToldRow(pub Row);

impl SerBin for ToldRow {
    fn ser_bin(&self, output: &mut Vec<u8>) {
        encode_long_text(&self.0.key, output);
        encode_bytes(&self.0.value, output);
        self.0.version.ser_bin(output);
        self.0.gone.ser_bin(output);
    }
}

impl DeBin for ToldRow {
    fn de_bin(offset: &mut usize, bytes: &[u8]) -> Result<Self, DeBinErr> {
        Ok(ToldRow(Row {
            key: decode_long_text(offset, bytes)?.to_owned(),
            value: Bytes::copy_from_slice(decode_bytes(offset, bytes)?),
            version: u64::de_bin(offset, bytes)?,
            gone: bool::de_bin(offset, bytes)?,
        }))
    }
}

#[derive(Debug, Default)]
struct KnownTable {
    rows: BTreeMap<String, Row>,
    version: u64,
    /// When the store last told of it, on this node's clock; none before it did.
    told_at: Option<Timestamp>,
    /// Changes since the beginning of this life, the last ones of which are remembered.
    changes: u64,
    remembered: VecDeque<Row>,
}

impl KnownTable {
    /// Takes in the whole table as of a version, but for newer rows that were told ahead of it.
    /// Tells whether that changes anything.
    fn replace_rows(&mut self, rows: &[Row], version: u64) -> bool {
        let ahead = self.rows.values().filter(|row| row.version > version);
        let mut replaced: BTreeMap<String, Row> =
            ahead.map(|row| (row.key.clone(), row.clone())).collect();
        for row in rows {
            let key = row.key.clone();
            replaced.entry(key).or_insert_with(|| row.clone());
        }
        // The first time, also of an empty table, counts as a change.
        let has_changed = self.changes == 0 || replaced != self.rows;
        self.rows = replaced;
        has_changed
    }

    /// Takes in a changed row, unless a newer one is known.
    fn take(&mut self, row: &Row) {
        let known = self.rows.get(&row.key);
        if known.is_some_and(|known| known.version > row.version) {
            return;
        }
        if row.gone {
            self.rows.remove(&row.key);
        } else {
            self.rows.insert(row.key.clone(), row.clone());
        }
        self.remember(row);
    }

    fn remember(&mut self, row: &Row) {
        self.changes += 1;
        self.remembered.push_back(row.clone());
        if self.remembered.len() > REMEMBERED {
            self.remembered.pop_front();
        }
    }

    /// The changes behind a point; none if they are not all remembered.
    fn since(&self, changes: u64) -> Option<Vec<ToldRow>> {
        let missing = usize::try_from(self.changes.checked_sub(changes)?).ok()?;
        let first = self.remembered.len().checked_sub(missing)?;
        let rows = self.remembered.range(first..);
        Some(rows.cloned().map(ToldRow).collect())
    }
}

/// The tables as this node last saw them.
#[derive(Debug)]
pub struct KnownTables {
    /// Tells this life from others.
    life: u64,
    tables: Mutex<[KnownTable; FOLLOWED.len()]>,
    changed: watch::Sender<u64>,
}

impl KnownTables {
    /// Nothing is known yet; `life` differs from that of every other process.
    pub fn new(life: u64) -> Self {
        KnownTables {
            life,
            tables: Mutex::default(),
            changed: watch::Sender::new(0),
        }
    }

    /// Takes in a whole table, as the store told it at `told_at`.
    pub fn replace(&self, table: Table, rows: &[Row], version: u64, told_at: Timestamp) {
        self.update(table, |known| {
            known.told_at = known.told_at.max(Some(told_at));
            known.version = known.version.max(version);
            if !known.replace_rows(rows, version) {
                // Two nodes that follow each other would go on telling each other all of it.
                return;
            }
            // Those that follow must be told the whole table: a change of which none remembers.
            known.changes += 1;
            known.remembered.clear();
        });
    }

    /// Takes in what has changed, if anything has, as the store told it at `told_at`.
    pub fn change(&self, table: Table, rows: &[Row], version: u64, told_at: Timestamp) {
        self.update(table, |known| {
            for row in rows {
                known.take(row);
            }
            known.version = known.version.max(version);
            known.told_at = known.told_at.max(Some(told_at));
        });
    }

    /// Takes in a row that another node has told ahead of the table's other changes.
    pub fn insert(&self, table: Table, row: &Row) {
        self.update(table, |known| known.take(row));
    }

    /// The store's version up to which all changes of a table are known.
    pub fn version(&self, table: Table) -> u64 {
        let number = table_number(table).map(usize::from);
        number.map_or(0, |number| self.lock()[number].version)
    }

    /// Up to when the store has told of a table, on this node's clock; none before it did.
    pub fn told_at(&self, table: Table) -> Option<Timestamp> {
        let number = table_number(table)?;
        self.lock()[usize::from(number)].told_at
    }

    fn update(&self, table: Table, change: impl FnOnce(&mut KnownTable)) {
        let Some(number) = table_number(table) else {
            return;
        };
        let has_changed = {
            let mut tables = self.lock();
            let known = &mut tables[usize::from(number)];
            let before = known.changes;
            change(known);
            known.changes != before
        };
        if has_changed {
            self.changed.send_modify(|count| *count += 1);
        }
    }

    /// A receiver that is told of changes of any table.
    pub fn changes(&self) -> watch::Receiver<u64> {
        self.changed.subscribe()
    }

    /// Whether there is anything behind a point of a table.
    pub fn has_news(&self, number: u8, cursor: Option<Cursor>) -> bool {
        let tables = self.lock();
        let Some(known) = tables.get(usize::from(number)) else {
            return false;
        };
        let at = Cursor {
            life: self.life,
            changes: known.changes,
        };
        known.told_at.is_some() && cursor != Some(at)
    }

    /// What is to be told now of a table behind a point, to a call that came at `called_at`; none
    /// if nothing is known of the table.
    pub fn news(
        &self,
        number: u8,
        cursor: Option<Cursor>,
        called_at: Timestamp,
        now: Timestamp,
    ) -> Option<News> {
        let tables = self.lock();
        let known = tables.get(usize::from(number))?;
        let age = now.since(known.told_at?);
        let own = cursor.filter(|cursor| cursor.life == self.life);
        let changes = own.and_then(|cursor| known.since(cursor.changes));
        let whole = changes.is_none();
        let all = || known.rows.values().cloned().map(ToldRow).collect();
        Some(News {
            cursor: Cursor {
                life: self.life,
                changes: known.changes,
            },
            whole,
            version: known.version,
            // Rounded so that what is told is never taken for younger than it is.
            age_ms: whole_millis(age).saturating_add(1),
            held_ms: whole_millis(now.since(called_at)),
            rows: List(changes.unwrap_or_else(all)),
        })
    }

    fn lock(&self) -> MutexGuard<'_, [KnownTable; FOLLOWED.len()]> {
        self.tables.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
