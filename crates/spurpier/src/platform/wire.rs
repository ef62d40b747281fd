//! The JSON bodies of the platform's HTTP calls.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

/// A condition of a transaction: a row has a version.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Condition {
    /// The row's key.
    pub key: String,
    /// The version that it must have; 0 means absent.
    pub version: u64,
}

/// A write of a transaction.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Write {
    /// The row's key.
    pub key: String,
    /// The new value; none removes the row.
    pub value: Option<String>,
}

/// The body of `POST /table/transact`.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct Transaction {
    /// What must hold.
    #[serde(default)]
    pub conditions: Vec<Condition>,
    /// What is then written.
    #[serde(default)]
    pub writes: Vec<Write>,
}

/// A row that a transaction wrote.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct WrittenRow {
    /// The row's key.
    pub key: String,
    /// Its new version; 0 when it was removed.
    pub version: u64,
}

/// The answer to a transaction that was made.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Written {
    /// The rows, in the order of the writes.
    pub rows: Vec<WrittenRow>,
}

/// A row whose version is not the one of the condition.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConflictingRow {
    /// The row's key.
    pub key: String,
    /// Its present version; 0 when it is absent.
    pub version: u64,
    /// Its present value; none when it is absent.
    pub value: Option<String>,
}

/// The answer to a transaction that was not made.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Conflicts {
    /// The rows for which the condition does not hold.
    pub conflicts: Vec<ConflictingRow>,
}

/// A row.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Row {
    /// Its key.
    pub key: String,
    /// Its version, from 1; it rises with each write, also across removals.
    pub version: u64,
    /// Its value.
    pub value: String,
}

/// The answer to `GET /table/rows?prefix=P`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Rows {
    /// The rows in the order of their keys.
    pub rows: Vec<Row>,
}

/// What a machine is.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum MachineKind {
    /// A proxy node.
    Proxy,
    /// A database server.
    Server,
}

/// Whether a machine stays.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum MachineState {
    /// It stays.
    Live,
    /// It is about to stop.
    Leaving,
}

/// Where a machine is reached; a proxy has the first two, a server the last.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct MachineAddresses {
    /// Gossip between nodes (UDP).
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub gossip: Option<SocketAddr>,
    /// Work forwarded between nodes (TCP).
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub internal: Option<SocketAddr>,
    /// PostgreSQL (TCP).
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub postgres: Option<SocketAddr>,
}

/// A machine of the list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Machine {
    /// Its name; empty in the body of a call whose path names it.
    #[serde(default)]
    pub name: String,
    /// What it is.
    pub kind: MachineKind,
    /// Its zone.
    pub zone: String,
    /// Whether it stays.
    pub state: MachineState,
    /// Where it is reached.
    #[serde(default)]
    pub addresses: MachineAddresses,
}

/// The answer to `GET /machines`: a list that lags behind the truth.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct MachineList {
    /// The moment at which the list was true, in milliseconds of the platform's clock.
    pub as_of_ms: u64,
    /// The machines in the order of their names.
    pub machines: Vec<Machine>,
}
