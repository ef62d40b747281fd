//! The two sides of a dialect.

use std::fmt;

use bytes::{Bytes, BytesMut};
use spurpier_core::position::Position;

use super::directory::ServerStatus;
use super::statement::{Answer, Effect, Request, ServerError, TransactionState};
use super::tenant::KeyDigest;

/// Bytes that are no message of the dialect, or a message over its limit; the connection that
/// carried them is of no more use.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ProtocolViolation;

impl fmt::Display for ProtocolViolation {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("the bytes violate the protocol")
    }
}

impl std::error::Error for ProtocolViolation {}

/// A message from a client.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ClientMessage {
    /// Opens the session.
    StartUp {
        /// The database that it names.
        database: String,
        /// The digest of the client's key; none if it names none.
        key: Option<KeyDigest>,
    },
    /// A statement.
    Request(Request),
    /// Ends the session.
    Terminate,
}

/// What clients speak.
pub trait ClientDialect: fmt::Debug + Send + Sync {
    /// Takes the next whole message out of the buffer; none while it is not whole.
    ///
    /// # Errors
    ///
    /// [`ProtocolViolation`].
    fn decode(&self, buffer: &mut BytesMut) -> Result<Option<ClientMessage>, ProtocolViolation>;

    /// Encodes that the session is open.
    fn encode_started(&self, output: &mut BytesMut);

    /// Encodes a refusal before the session's end, after which the connection is closed.
    fn encode_refusal(&self, error: &ServerError, output: &mut BytesMut);

    /// Encodes a statement's whole answer.
    fn encode_answer(&self, answer: &Answer, output: &mut BytesMut);
}

/// A message to a server. Those without an `id` are the proxy's own.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ServerRequest<'a> {
    /// Opens the connection.
    StartUp {
        /// The group that the server must belong to.
        group: &'a str,
        /// Whom the connection is for: a tenant, or the proxy itself.
        caller: &'a str,
        /// The server that it must be.
        instance: &'a str,
    },
    /// A client's statement as given.
    Relay {
        /// The client's name for it.
        id: &'a str,
        /// Its text.
        text: &'a str,
        /// The position that the server's log must hold.
        after: Option<Position>,
    },
    /// A client's execution of a prepared statement, under the server's name for it.
    Execute {
        /// The client's name for it.
        id: &'a str,
        /// The server's name of the prepared statement.
        name: &'a str,
        /// What follows the name, as given.
        arguments: &'a str,
        /// The position that the server's log must hold.
        after: Option<Position>,
    },
    /// Opens a transaction that may write.
    Begin,
    /// Drops the open transaction.
    Rollback,
    /// Sets a value.
    Set {
        /// Its name.
        name: &'a str,
        /// The value.
        value: &'a str,
    },
    /// Prepares a statement.
    Prepare {
        /// The server's name for it.
        name: &'a str,
        /// What executing it does.
        effect: Effect,
        /// Its shape.
        shape: &'a str,
    },
    /// Drops all values and prepared names.
    Reset,
    /// Asks for the server's status.
    Status,
    /// Stops a replica from receiving.
    Pause {
        /// A term above the newest.
        term: u64,
    },
    /// Lets a paused replica receive again.
    Resume,
    /// Makes a primary of a lower term a replica.
    StepDown {
        /// The term.
        term: u64,
    },
}

/// A part of a server's answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ServerMessage {
    /// One row.
    Row(Bytes),
    /// The statement has worked.
    Complete(Bytes),
    /// The statement has failed.
    Error(ServerError),
    /// The answer is whole.
    Ready {
        /// The connection's state.
        state: TransactionState,
        /// What the server's log shows.
        position: Option<Position>,
    },
}

/// What servers speak.
pub trait ServerDialect: fmt::Debug + Send + Sync {
    /// Encodes a message.
    fn encode(&self, request: &ServerRequest<'_>, output: &mut BytesMut);

    /// Takes the next whole message out of the buffer; none while it is not whole.
    ///
    /// # Errors
    ///
    /// [`ProtocolViolation`].
    fn decode(&self, buffer: &mut BytesMut) -> Result<Option<ServerMessage>, ProtocolViolation>;

    /// Reads the answer to `Status`, `Pause`, `Resume` or `StepDown`; none if it is an error.
    fn read_status(&self, answer: &Answer) -> Option<ServerStatus>;
}
