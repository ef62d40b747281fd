//! The platform's metadata store.

use std::fmt;
use std::time::Duration;

use bytes::Bytes;
use futures::future::BoxFuture;

/// The tables that the pipeline uses.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Table {
    /// The operator's configuration.
    Configuration,
    /// The servers' entries.
    Servers,
    /// The nodes' entries.
    Nodes,
    /// The holder of the promotion duty.
    Duty,
}

/// A row.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Row {
    /// Its key.
    pub key: String,
    /// Its value; empty if it is gone.
    pub value: Bytes,
    /// The version of its last change.
    pub version: u64,
    /// Whether it was removed.
    pub gone: bool,
}

/// Rows as of one moment.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ReadRows {
    /// The rows.
    pub rows: Vec<Row>,
    /// The store's newest version at that moment.
    pub version: u64,
}

/// One change of a transaction.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Write {
    /// Puts a row.
    Put {
        /// Its key.
        key: String,
        /// Its value.
        value: Bytes,
    },
    /// Removes a row.
    Remove {
        /// Its key.
        key: String,
    },
}

/// Changes of one table, made together under conditions.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Transaction {
    /// The table.
    pub table: Table,
    /// Keys and the versions that they must have; 0 means that there must be no such row.
    pub conditions: Vec<(String, u64)>,
    /// The changes.
    pub writes: Vec<Write>,
}

/// How a transaction ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum TransactOutcome {
    /// It was made, with this version.
    Made(u64),
    /// A condition did not hold; nothing was made.
    Conflict(Vec<Row>),
}

/// Why a call of the platform gave nothing.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StoreError {
    /// Nothing was done: too many calls, or the store is down and says so.
    Refused,
    /// The history that was asked for is gone.
    HistoryGone,
    /// No answer, or one that is none: a change may have been made or may be made later.
    Unknown,
}

impl fmt::Display for StoreError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            StoreError::Refused => "the call was refused",
            StoreError::HistoryGone => "the history is gone",
            StoreError::Unknown => "the call was not answered",
        })
    }
}

impl std::error::Error for StoreError {}

/// The store. Each method makes one call; limits in time are the caller's, who drops the future.
pub trait MetadataStore: Send + Sync {
    /// Reads all rows of a table.
    fn read(&self, table: Table) -> BoxFuture<'static, Result<ReadRows, StoreError>>;

    /// Waits for rows of a table that changed after a version, at most for `wait`.
    fn changes(
        &self,
        table: Table,
        after: u64,
        wait: Duration,
    ) -> BoxFuture<'static, Result<ReadRows, StoreError>>;

    /// Makes a transaction.
    fn transact(
        &self,
        transaction: Transaction,
    ) -> BoxFuture<'static, Result<TransactOutcome, StoreError>>;
}
