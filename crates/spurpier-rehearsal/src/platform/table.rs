//! The table service: rows with versions and conditional transactions.

use std::collections::BTreeMap;

use spurpier::platform::wire::{
    Condition, ConflictingRow, Conflicts, Row, Rows, Transaction, Write, Written, WrittenRow,
};

#[derive(Debug, Clone)]
struct StoredRow {
    version: u64,
    value: String,
}

/// All rows; one transaction is made at a time.
#[derive(Debug, Default)]
pub(super) struct Table {
    rows: BTreeMap<String, StoredRow>,
    /// The version of the newest write of any row; versions are never given twice.
    last_version: u64,
}

impl Table {
    /// Makes all writes if all conditions hold, and nothing otherwise.
    pub fn transact(&mut self, transaction: Transaction) -> Result<Written, Conflicts> {
        let conflicts: Vec<ConflictingRow> = transaction
            .conditions
            .iter()
            .filter_map(|condition| self.conflict(condition))
            .collect();
        if !conflicts.is_empty() {
            return Err(Conflicts { conflicts });
        }
        let rows = transaction
            .writes
            .into_iter()
            .map(|write| self.write(write))
            .collect();
        Ok(Written { rows })
    }

    fn conflict(&self, condition: &Condition) -> Option<ConflictingRow> {
        let row = self.rows.get(&condition.key);
        let version = row.map_or(0, |row| row.version);
        if version == condition.version {
            return None;
        }
        Some(ConflictingRow {
            key: condition.key.clone(),
            version,
            value: row.map(|row| row.value.clone()),
        })
    }

    fn write(&mut self, write: Write) -> WrittenRow {
        let Some(value) = write.value else {
            self.rows.remove(&write.key);
            return WrittenRow {
                key: write.key,
                version: 0,
            };
        };
        self.last_version += 1;
        let version = self.last_version;
        self.rows
            .insert(write.key.clone(), StoredRow { version, value });
        WrittenRow {
            key: write.key,
            version,
        }
    }

    pub fn row(&self, key: &str) -> Option<Row> {
        self.rows.get(key).map(|row| as_row(key, row))
    }

    pub fn rows(&self, prefix: &str) -> Rows {
        let rows = self
            .rows
            .range(prefix.to_owned()..)
            .take_while(|(key, _)| key.starts_with(prefix))
            .map(|(key, row)| as_row(key, row))
            .collect();
        Rows { rows }
    }
}

fn as_row(key: &str, row: &StoredRow) -> Row {
    Row {
        key: key.to_owned(),
        version: row.version,
        value: row.value.clone(),
    }
}
