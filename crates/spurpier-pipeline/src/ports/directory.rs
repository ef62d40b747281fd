//! Servers as the platform lists them and as they tell of themselves.

use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;

use spurpier_core::directory::Incarnation;
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
    /// Which life of which server it is.
    pub incarnation: Incarnation,
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

/// What a server tells of itself.
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
    /// How many statements it runs at the same time.
    Slots,
    /// Whether it is about to end.
    State,
    /// For how long it stays cold.
    Cold,
    /// Its role.
    Role,
    /// How often it has written its entry.
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

    /// The field as logs name it.
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

/// Why a row of the directory names no server to use.
///
/// Whoever else writes there may leave out fields, give them other types, or put anything in.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum UnusableEntry {
    /// The value is no object with fields.
    Unreadable,
    /// A field is missing, of another type, or outside of what it may hold.
    Field(EntryField),
    /// The state is none that a server can be in.
    UnknownState,
    /// The role is none that a server can have.
    UnknownRole,
    /// The server does not tell when it started, and the others do.
    NoStart,
}

impl UnusableEntry {
    /// The reason as metrics name it.
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
    /// Reads a server's row.
    ///
    /// # Errors
    ///
    /// [`UnusableEntry`] if it names no server to use.
    fn server(&self, row: &Row) -> Result<ServerEntry, UnusableEntry>;

    /// The zone whose evacuation a row asks for, also one that is gone; none if it is another row.
    fn evacuated_zone(&self, row: &Row) -> Option<String>;

    /// Reads the row of the configuration; none if it is malformed or another row.
    fn configuration(&self, row: &Row) -> Option<Configuration>;
}
