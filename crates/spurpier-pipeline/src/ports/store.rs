//! The platform's metadata store.

use std::fmt;
use std::time::Duration;

use bytes::Bytes;
use futures::future::BoxFuture;
use spurpier_core::homes::subject_digest;
use spurpier_core::store_version::StoreVersion;

use crate::progress::Progress;

/// The tables that the pipeline uses.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Table {
    /// The operator's configuration.
    Configuration,
    /// The servers' entries.
    Servers,
    /// The nodes' entries, and the newest succession of each group.
    Cluster,
    /// The holder of the promotion duty, and the nodes that have yielded to a decision.
    Duty,
}

/// How many shards the nodes' entries are spread over.
///
/// All nodes list themselves when the whole system starts. A shard takes some 200 writes a second; as
/// many shards as this use up what the store takes in all.
const NODE_SHARDS: u8 = 16;

/// A part of the store whose writes are carried out one after another.
///
/// Rows that one transaction changes or looks at share a shard. The operator's writes stand in that of
/// the platform, where no row of ours makes them wait.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Shard {
    /// What the platform and the operator write.
    Platform,
    /// Who holds the duty and which successions it has decided on.
    Duty,
    /// The entries of some of the nodes.
    Nodes(u8),
}

impl Shard {
    /// All shards of a table.
    pub fn all(table: Table) -> Vec<Shard> {
        match table {
            Table::Configuration | Table::Servers => vec![Shard::Platform],
            Table::Duty => vec![Shard::Duty],
            Table::Cluster => {
                let nodes = (0..NODE_SHARDS).map(Shard::Nodes);
                nodes.chain([Shard::Duty]).collect()
            }
        }
    }

    /// The shard of a node's entry.
    pub fn of_node(name: &str) -> Shard {
        let shard = subject_digest(name) % u64::from(NODE_SHARDS);
        Shard::Nodes(shard as u8)
    }
}

/// A row.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Row {
    /// Its key.
    pub key: String,
    /// Its value; empty if it is gone.
    pub value: Bytes,
    /// The version of its last change.
    pub version: StoreVersion,
    /// Whether it was removed.
    pub gone: bool,
}

/// Rows as of one moment.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ReadRows {
    /// The rows.
    pub rows: Vec<Row>,
    /// The store's newest version at that moment.
    pub version: StoreVersion,
    /// That moment on the store's steady clock; none if the store does not tell it.
    pub now: Option<Duration>,
}

/// One change of a transaction.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Write {
    /// Puts a row.
    Put {
        /// Its table.
        table: Table,
        /// Its key.
        key: String,
        /// Its value.
        value: Bytes,
    },
    /// Removes a row.
    Remove {
        /// Its table.
        table: Table,
        /// Its key.
        key: String,
    },
}

/// What a row must be for a transaction to be made.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Condition {
    /// Its table.
    pub table: Table,
    /// Its key.
    pub key: String,
    /// Its version, or number 0 of the era in which it was seen that there is no such row.
    pub version: StoreVersion,
}

/// Changes of rows of one shard, in any tables, made together under conditions.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Transaction {
    /// The conditions.
    pub conditions: Vec<Condition>,
    /// The changes.
    pub writes: Vec<Write>,
    /// In which shard all of them stand.
    pub shard: Shard,
}

/// How a transaction ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum TransactOutcome {
    /// It was made, with this version. In another era than that of its conditions it may have met
    /// rows of the same numbers and other contents.
    Made(StoreVersion),
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
    /// The store came back from an older copy between two parts of the answer.
    EraChanged,
    /// No answer, or one that is none: a change may have been made or may be made later.
    Unknown,
}

impl fmt::Display for StoreError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            StoreError::Refused => "the call was refused",
            StoreError::HistoryGone => "the history is gone",
            StoreError::EraChanged => "the store came back from an older copy meanwhile",
            StoreError::Unknown => "the call was not answered",
        })
    }
}

impl std::error::Error for StoreError {}

/// The store. Each method makes one call; limits in time are the caller's, who drops the future.
/// Answers that may be large tell how they come.
pub trait MetadataStore: Send + Sync {
    /// Reads all rows of a table.
    fn read(
        &self,
        table: Table,
        progress: &Progress,
    ) -> BoxFuture<'static, Result<ReadRows, StoreError>>;

    /// Waits for rows of a table that changed after a version, at most for `wait`.
    fn changes(
        &self,
        table: Table,
        after: StoreVersion,
        wait: Duration,
        progress: &Progress,
    ) -> BoxFuture<'static, Result<ReadRows, StoreError>>;

    /// Makes a transaction.
    fn transact(
        &self,
        transaction: Transaction,
    ) -> BoxFuture<'static, Result<TransactOutcome, StoreError>>;
}
