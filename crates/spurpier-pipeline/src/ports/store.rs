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
    /// The database servers' entries.
    Servers,
    /// The proxy nodes' entries, and the newest succession of each group.
    Cluster,
    /// The holder of the promotion lease, and the nodes that have released their leader lease for
    /// a decision.
    Duty,
    /// For each group with synchronous replicas, the servers that may hold acknowledged commits.
    ReplicaSets,
}

/// Number of shards that the nodes' entries are distributed over.
///
/// All nodes register at once when the whole system starts. A shard accepts about 200 writes per
/// second, and this many shards use the write capacity of the whole store.
const NODE_SHARDS: u8 = 16;

/// A part of the store whose writes are executed serially.
///
/// All rows that a transaction changes or checks belong to one shard. The operator's writes use
/// the platform's shard, where they never wait for writes of the proxy.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Shard {
    /// Rows written by the platform and the operator.
    Platform,
    /// The holder of the promotion lease, the successions that were decided, and the replica sets
    /// that decisions rely on.
    Duty,
    /// The entries of the nodes whose names hash to this shard index.
    Nodes(u8),
}

impl Shard {
    /// Returns all shards that hold rows of a table.
    pub fn all(table: Table) -> Vec<Shard> {
        match table {
            Table::Configuration | Table::Servers => vec![Shard::Platform],
            Table::Duty | Table::ReplicaSets => vec![Shard::Duty],
            Table::Cluster => {
                let nodes = (0..NODE_SHARDS).map(Shard::Nodes);
                nodes.chain([Shard::Duty]).collect()
            }
        }
    }

    /// Returns the shard of a node's entry.
    pub fn of_node(name: &str) -> Shard {
        let shard = subject_digest(name) % u64::from(NODE_SHARDS);
        Shard::Nodes(shard as u8)
    }
}

/// A row of the store, or the record of its removal.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Row {
    /// Its key.
    pub key: String,
    /// Its value; empty if the row was removed.
    pub value: Bytes,
    /// The store version of its last change.
    pub version: StoreVersion,
    /// Whether it was removed.
    pub gone: bool,
}

/// A consistent snapshot of rows.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ReadRows {
    /// The rows.
    pub rows: Vec<Row>,
    /// The store's newest version at the time of the snapshot.
    pub version: StoreVersion,
    /// The time of the snapshot on the store's monotonic clock; `None` if not reported.
    pub now: Option<Duration>,
}

/// The state of one row.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ReadRow {
    /// Its value; `None` if there is no such row.
    pub value: Option<Bytes>,
    /// The version that a transaction expects if the row has not changed since.
    pub version: StoreVersion,
}

/// One change of a transaction.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Write {
    /// Inserts or replaces a row.
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

/// The version that a row must have for a transaction to be committed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Condition {
    /// Its table.
    pub table: Table,
    /// Its key.
    pub key: String,
    /// The expected version; number 0 of an era if the row was observed to be absent in that era.
    pub version: StoreVersion,
}

/// An atomic, conditional change of rows of one shard, in any tables.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Transaction {
    /// The conditions.
    pub conditions: Vec<Condition>,
    /// The changes.
    pub writes: Vec<Write>,
    /// The shard of all rows involved.
    pub shard: Shard,
}

/// How a transaction ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum TransactOutcome {
    /// It was committed with this version. If the version's era differs from that of the
    /// conditions, they may have matched rows with the same version numbers but other contents.
    Committed(StoreVersion),
    /// A condition did not hold, and nothing was changed.
    Conflict(Vec<Row>),
}

/// Why a call to the platform failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StoreError {
    /// Nothing was changed: there were too many calls, or the store reported that it is down.
    Refused,
    /// The requested history is no longer available.
    HistoryGone,
    /// The store was restored from an older copy between two parts of the answer.
    EraChanged,
    /// No valid answer arrived: a change may have been made or may still be made later.
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

/// The platform's metadata store. Each method makes one call without a timeout: the caller drops
/// the future to cancel it. Calls with large answers report their progress.
pub trait MetadataStore: Send + Sync {
    /// Reads all rows of a table.
    fn read(
        &self,
        table: Table,
        progress: &Progress,
    ) -> BoxFuture<'static, Result<ReadRows, StoreError>>;

    /// Reads one row.
    fn read_row(
        &self,
        table: Table,
        shard: Shard,
        key: &str,
    ) -> BoxFuture<'static, Result<ReadRow, StoreError>>;

    /// Waits up to `wait` for rows of a table that changed after a version.
    fn changes(
        &self,
        table: Table,
        after: StoreVersion,
        wait: Duration,
        progress: &Progress,
    ) -> BoxFuture<'static, Result<ReadRows, StoreError>>;

    /// Commits a transaction if its conditions hold.
    fn transact(
        &self,
        transaction: Transaction,
    ) -> BoxFuture<'static, Result<TransactOutcome, StoreError>>;
}
