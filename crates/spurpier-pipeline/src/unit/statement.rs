//! A client's statement and the request that is sent to a server for it.

use spurpier_core::position::Position;

use crate::ports::{Effect, ServerRequest, StatementName};
use crate::server::ShapeDigest;

/// The execution of a prepared statement.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PreparedExecution {
    /// Whether the prepared statement reads or writes.
    pub effect: Effect,
    /// The shape of the prepared statement.
    pub shape: String,
    /// The arguments: the part of the client's text after the statement's name.
    pub arguments: String,
}

impl PreparedExecution {
    /// Returns the digest by which sessions that prepare the same shape share the statement on a
    /// server connection.
    pub fn shape_digest(&self) -> ShapeDigest {
        ShapeDigest::of(self.effect, &self.shape)
    }
}

/// A client's statement, either plain text or the execution of a prepared statement.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ClientStatement {
    /// The client's identifier of the statement.
    pub id: String,
    /// The text as the client sent it.
    pub text: String,
    /// The prepared statement that it executes, if any.
    pub prepared: Option<PreparedExecution>,
}

impl ClientStatement {
    /// Creates a statement whose text is sent unchanged.
    pub fn plain(id: String, text: String) -> Self {
        ClientStatement {
            id,
            text,
            prepared: None,
        }
    }

    /// Creates the execution of a prepared statement.
    pub fn execution(id: String, text: String, prepared: PreparedExecution) -> Self {
        ClientStatement {
            id,
            text,
            prepared: Some(prepared),
        }
    }
}

/// A statement that can be sent on a connection: what it executes is prepared there.
#[derive(Debug, Clone, Copy)]
pub enum BoundStatement<'a> {
    /// Sent as the client wrote it.
    Plain(&'a ClientStatement),
    /// Executes a statement that is prepared on the connection.
    Execution {
        /// The client's identifier of the statement.
        id: &'a str,
        /// The prepared statement's name on the connection.
        name: StatementName,
        /// The part of the client's text after its own name of the statement.
        arguments: &'a str,
    },
}

impl<'a> BoundStatement<'a> {
    /// Returns the request to send; if `after` is given, the server must have applied it.
    pub fn request(self, after: Option<Position>) -> ServerRequest<'a> {
        match self {
            BoundStatement::Plain(statement) => ServerRequest::Relay {
                id: &statement.id,
                text: &statement.text,
                after,
            },
            BoundStatement::Execution {
                id,
                name,
                arguments,
            } => ServerRequest::Execute {
                id,
                name,
                arguments,
                after,
            },
        }
    }
}
