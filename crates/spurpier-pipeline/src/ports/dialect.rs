//! Wire protocols of clients and servers, as encoders and decoders of typed messages.

use std::fmt;

use bytes::{Bytes, BytesMut};
use spurpier_core::position::Position;

use super::directory::ServerStatus;
use super::statement::{Answer, Effect, Request, ServerError, StatementName, TransactionState};
use super::tenant::KeyDigest;

/// The received bytes are not a valid message of the dialect, or exceed its size limit. The
/// connection cannot be used any further.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ProtocolViolation;

impl fmt::Display for ProtocolViolation {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("the bytes violate the protocol")
    }
}

impl std::error::Error for ProtocolViolation {}

/// Why a request cannot be expressed as a message of the dialect. Nothing may be sent for it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EncodeError {
    /// A field is empty, or contains what separates fields or messages.
    InvalidField,
    /// The message exceeds the dialect's size limit.
    TooLong,
}

impl fmt::Display for EncodeError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            EncodeError::InvalidField => "a field is empty or contains a separator",
            EncodeError::TooLong => "the message to the server is too long",
        })
    }
}

impl std::error::Error for EncodeError {}

/// A message from a client.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ClientMessage {
    /// Opens the session.
    StartUp {
        /// The requested database.
        database: String,
        /// The digest of the client's API key; `None` if the client sent no key.
        key: Option<KeyDigest>,
    },
    /// A statement.
    Request(Request),
    /// Ends the session.
    Terminate,
}

/// The protocol between clients and the proxy.
pub trait ClientDialect: fmt::Debug + Send + Sync {
    /// Removes the next complete message from the buffer; `None` while it is incomplete.
    ///
    /// # Errors
    ///
    /// [`ProtocolViolation`] if the buffer holds no valid message.
    fn decode(&self, buffer: &mut BytesMut) -> Result<Option<ClientMessage>, ProtocolViolation>;

    /// Encodes the message that confirms an opened session.
    fn encode_started(&self, output: &mut BytesMut);

    /// Encodes the error with which the proxy ends a session; the connection is closed after it.
    fn encode_refusal(&self, error: &ServerError, output: &mut BytesMut);

    /// Encodes the complete answer to a statement.
    fn encode_answer(&self, answer: &Answer, output: &mut BytesMut);
}

/// A message to a server. Variants without an `id` originate in the proxy, not in a client.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ServerRequest<'a> {
    /// Opens the connection.
    StartUp {
        /// The group that the server must belong to.
        group: &'a str,
        /// On whose behalf the connection is opened: a tenant, or the proxy itself.
        caller: &'a str,
        /// The name of the expected server.
        instance: &'a str,
    },
    /// A client's statement, forwarded unchanged.
    Relay {
        /// The identifier that the client gave the statement.
        id: &'a str,
        /// The statement's text.
        text: &'a str,
        /// The log position that the server must have reached before it runs the statement.
        after: Option<Position>,
    },
    /// Executes a prepared statement for a client, under its name on the server connection.
    Execute {
        /// The identifier that the client gave the statement.
        id: &'a str,
        /// The prepared statement.
        name: StatementName,
        /// The text that follows the name, unchanged.
        arguments: &'a str,
        /// The log position that the server must have reached before it runs the statement.
        after: Option<Position>,
    },
    /// Opens a read-write transaction.
    Begin,
    /// Rolls back the open transaction.
    Rollback,
    /// Sets a session value.
    Set {
        /// The value's name.
        name: &'a str,
        /// The value.
        value: &'a str,
    },
    /// Prepares a statement.
    Prepare {
        /// The statement's name on the server connection.
        name: StatementName,
        /// Whether executing it reads or writes.
        effect: Effect,
        /// The statement's shape, which each execution combines with its arguments.
        shape: &'a str,
    },
    /// Removes a prepared statement.
    Deallocate {
        /// The statement's name on the server connection.
        name: StatementName,
    },
    /// Clears all session values and prepared statements.
    Reset,
    /// Requests the server's status.
    Status,
    /// Stops replication on a replica.
    Pause {
        /// A term above the newest known one.
        term: u64,
    },
    /// Resumes replication on a paused replica.
    Resume,
    /// Demotes a primary of a lower term to a replica.
    StepDown {
        /// The new term.
        term: u64,
    },
}

/// One message of a server's answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ServerMessage {
    /// One row.
    Row(Bytes),
    /// The statement succeeded; carries the server's signature.
    Complete(Bytes),
    /// The statement failed.
    Error(ServerError),
    /// The answer is complete.
    Ready {
        /// The transaction state of the connection.
        state: TransactionState,
        /// The position of the server's log; `None` if not reported.
        position: Option<Position>,
    },
}

/// The protocol between the proxy and database servers.
pub trait ServerDialect: fmt::Debug + Send + Sync {
    /// Encodes a message, and appends it to the output.
    ///
    /// # Errors
    ///
    /// [`EncodeError`] if a server would not read the same fields from it; the output is unchanged.
    fn encode(&self, request: &ServerRequest<'_>, output: &mut BytesMut)
    -> Result<(), EncodeError>;

    /// Removes the next complete message from the buffer; `None` while it is incomplete.
    ///
    /// # Errors
    ///
    /// [`ProtocolViolation`] if the buffer holds no valid message.
    fn decode(&self, buffer: &mut BytesMut) -> Result<Option<ServerMessage>, ProtocolViolation>;

    /// Reads the answer to `Status`, `Pause`, `Resume` or `StepDown`; `None` if it is an error.
    fn read_status(&self, answer: &Answer) -> Option<ServerStatus>;
}
