//! What goes wrong between the node and a database server.

use std::fmt;

/// SQLSTATE of a server that is stopping, or that has ended the connection.
const ADMIN_SHUTDOWN: &str = "57P01";
/// SQLSTATE of a server that cannot be connected to now.
const CANNOT_CONNECT_NOW: &str = "57P03";
/// SQLSTATE of a server with no room for another connection.
const TOO_MANY_CONNECTIONS: &str = "53300";
/// SQLSTATE of a write on a server that does not take any.
const READ_ONLY: &str = "25006";
/// SQLSTATE of a fence that refuses the epoch.
const FENCED: &str = "SPF01";
/// SQLSTATE of a row that exists already.
const UNIQUE_VIOLATION: &str = "23505";

/// An error that the database server reported.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServerError {
    /// The severity, such as `ERROR` or `FATAL`.
    pub severity: String,
    /// The SQLSTATE.
    pub code: String,
    /// The message.
    pub message: String,
}

impl ServerError {
    /// Whether the server ends the connection with it.
    pub fn is_fatal(&self) -> bool {
        self.severity == "FATAL" || self.severity == "PANIC"
    }

    /// Whether the server is stopping or not yet ready.
    pub fn is_leaving(&self) -> bool {
        self.code == ADMIN_SHUTDOWN || self.code == CANNOT_CONNECT_NOW
    }

    /// Whether the server has no room for another connection.
    pub fn is_out_of_connections(&self) -> bool {
        self.code == TOO_MANY_CONNECTIONS
    }

    /// Whether a write met a replica.
    pub fn is_read_only(&self) -> bool {
        self.code == READ_ONLY
    }

    /// Whether the fence refused the epoch.
    pub fn is_fenced(&self) -> bool {
        self.code == FENCED
    }

    /// Whether a row exists already.
    pub fn is_unique_violation(&self) -> bool {
        self.code == UNIQUE_VIOLATION
    }
}

impl fmt::Display for ServerError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            formatter,
            "the server reported {} {}: {}",
            self.severity, self.code, self.message
        )
    }
}

impl std::error::Error for ServerError {}

/// A connection could not be opened.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum OpenError {
    /// No connection, or none in time.
    Unreachable,
    /// The server refused it.
    Refused(ServerError),
    /// The server asked for something that the node does not offer, such as a password.
    Unsupported,
}

impl fmt::Display for OpenError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            OpenError::Unreachable => formatter.write_str("the server cannot be reached"),
            OpenError::Refused(error) => write!(formatter, "the server refused it: {error}"),
            OpenError::Unsupported => {
                formatter.write_str("the server asks for an authentication that is not supported")
            }
        }
    }
}

impl std::error::Error for OpenError {}

/// An open connection broke, or the server violated the protocol; it cannot be used again.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ConnectionBroken;

impl fmt::Display for ConnectionBroken {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("the connection to the server broke")
    }
}

impl std::error::Error for ConnectionBroken {}
