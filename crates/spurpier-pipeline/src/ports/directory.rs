//! Servers as the platform lists them and as they tell of themselves.

use std::net::SocketAddr;
use std::time::Duration;

use spurpier_core::position::Position;

use super::configuration::Configuration;
use super::store::Row;

/// A server's role as it sees itself; a deposed primary may not know yet.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ServerRole {
    /// It takes writes.
    Primary,
    /// It follows a primary.
    Replica,
}

/// What a server tells of itself in the directory.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServerEntry {
    /// Its name, never used again.
    pub instance: String,
    /// Its group.
    pub group: String,
    /// Its address, which another server may have later.
    pub address: SocketAddr,
    /// Its zone.
    pub zone: String,
    /// How many statements it runs at the same time.
    pub slots: usize,
    /// Whether it is about to end.
    pub draining: bool,
    /// Its role.
    pub role: ServerRole,
    /// For how long it stays cold, counted from its start; zero if it is warm.
    pub cold_for: Duration,
}

/// What a server answers when asked for its status.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServerStatus {
    /// Its role.
    pub role: ServerRole,
    /// The term that it knows.
    pub term: u64,
    /// The last position that it has received.
    pub received: Position,
}

/// Reads the platform's rows.
pub trait EntryFormat: Send + Sync {
    /// Reads a server's row; none if it is malformed.
    fn server(&self, row: &Row) -> Option<ServerEntry>;

    /// The zone whose evacuation a row asks for, also one that is gone; none if it is another row.
    fn evacuated_zone(&self, row: &Row) -> Option<String>;

    /// Reads the row of the configuration; none if it is malformed or another row.
    fn configuration(&self, row: &Row) -> Option<Configuration>;
}
