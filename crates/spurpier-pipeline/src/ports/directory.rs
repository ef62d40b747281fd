//! Servers as listed in the platform's directory and as they report their own status.

use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;

use spurpier_core::directory::Incarnation;
use spurpier_core::position::Position;

use super::configuration::Configuration;
use super::store::Row;

/// The role that a server reports; a deposed primary may not have noticed its demotion yet.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ServerRole {
    /// Accepts writes.
    Primary,
    /// Replicates from a primary.
    Replica,
}

/// A server's entry in the directory, written by the server.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServerEntry {
    /// The server and its incarnation.
    pub incarnation: Incarnation,
    /// The replication group that it belongs to.
    pub group: String,
    /// Its address, which may be reassigned to another server later.
    pub address: SocketAddr,
    /// The zone that it runs in.
    pub zone: String,
    /// Maximum number of statements that it runs concurrently.
    pub slots: usize,
    /// Whether it is draining before a shutdown.
    pub draining: bool,
    /// Its reported role.
    pub role: ServerRole,
    /// How long it stays cold, counted from its start; zero if it is warm.
    pub cold_for: Duration,
}

/// A field of a server's directory entry.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum EntryField {
    /// Its name.
    Name,
    /// Its group.
    Group,
    /// Its address.
    Address,
    /// Its zone.
    Zone,
    /// The version of its software.
    Software,
    /// Maximum number of concurrent statements.
    Slots,
    /// Whether it is draining.
    State,
    /// How long it stays cold.
    Cold,
    /// Its role.
    Role,
    /// How many times it has written its entry.
    Writes,
    /// When it started.
    Start,
}

impl EntryField {
    /// All fields.
    pub const ALL: [EntryField; 11] = [
        EntryField::Name,
        EntryField::Group,
        EntryField::Address,
        EntryField::Zone,
        EntryField::Software,
        EntryField::Slots,
        EntryField::State,
        EntryField::Cold,
        EntryField::Role,
        EntryField::Writes,
        EntryField::Start,
    ];

    /// The field's name in logs.
    pub const fn text(self) -> &'static str {
        match self {
            EntryField::Name => "name",
            EntryField::Group => "group",
            EntryField::Address => "address",
            EntryField::Zone => "zone",
            EntryField::Software => "software",
            EntryField::Slots => "slots",
            EntryField::State => "state",
            EntryField::Cold => "cold",
            EntryField::Role => "role",
            EntryField::Writes => "writes",
            EntryField::Start => "start",
        }
    }
}

/// Why a row of the directory does not describe a usable server.
///
/// The directory is written by others, so fields may be missing, of the wrong type or invalid.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum UnusableEntry {
    /// The value is not an object with fields.
    Unreadable,
    /// A field is missing, of the wrong type, or out of range.
    Field(EntryField),
    /// The state is not a known server state.
    UnknownState,
    /// The role is not a known server role.
    UnknownRole,
    /// The start time is missing, although other servers report theirs.
    NoStart,
}

impl UnusableEntry {
    /// The reason's name in metrics.
    pub const fn text(self) -> &'static str {
        match self {
            UnusableEntry::Unreadable => "unreadable",
            UnusableEntry::Field(_) => "field",
            UnusableEntry::UnknownState => "unknown_state",
            UnusableEntry::UnknownRole => "unknown_role",
            UnusableEntry::NoStart => "no_start",
        }
    }
}

impl fmt::Display for UnusableEntry {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            UnusableEntry::Field(field) => write!(formatter, "field {}", field.text()),
            other => formatter.write_str(other.text()),
        }
    }
}

/// A server's answer to a status request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServerStatus {
    /// Its role.
    pub role: ServerRole,
    /// The newest term that it knows.
    pub term: u64,
    /// The last position that it has received.
    pub received: Position,
}

/// Decodes the rows of the platform's store.
pub trait EntryFormat: Send + Sync {
    /// Decodes a server's row.
    ///
    /// # Errors
    ///
    /// [`UnusableEntry`] if the row does not describe a usable server.
    fn server(&self, row: &Row) -> Result<ServerEntry, UnusableEntry>;

    /// The zone whose evacuation a row requests, even if the row was removed; `None` for any
    /// other row.
    fn evacuated_zone(&self, row: &Row) -> Option<String>;

    /// Decodes the configuration row; `None` if it is malformed or is another row.
    fn configuration(&self, row: &Row) -> Option<Configuration>;
}
