//! A client's statement and the request that is sent to a server for it.

use spurpier_core::position::Position;

use crate::ports::{Effect, ServerRequest};

/// The execution of a prepared statement.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PreparedExecution {
    /// Whether the prepared statement reads or writes.
    pub effect: Effect,
    /// The shape of the prepared statement, by which sessions share it on a server connection.
    pub shape: String,
    /// The arguments: the part of the client's text after the statement's name.
    pub arguments: String,
}

impl PreparedExecution {
    /// Returns the statement's name on server connections, which all sessions that prepare the same
    /// shape share.
    pub fn server_name(&self) -> String {
        let prefix = match self.effect {
            Effect::Read => 'r',
            Effect::Write => 'w',
        };
        format!("{prefix}{}", self.shape)
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
    server_name: String,
}

impl ClientStatement {
    /// Creates a statement whose text is sent unchanged.
    pub fn plain(id: String, text: String) -> Self {
        ClientStatement {
            id,
            text,
            prepared: None,
            server_name: String::new(),
        }
    }

    /// Creates the execution of a prepared statement.
    pub fn execution(id: String, text: String, prepared: PreparedExecution) -> Self {
        ClientStatement {
            id,
            text,
            server_name: prepared.server_name(),
            prepared: Some(prepared),
        }
    }

    /// Returns the prepared statement's name on server connections; empty for plain statements.
    pub fn server_name(&self) -> &str {
        &self.server_name
    }

    /// Returns the request to send; if `after` is given, the server must have applied it.
    pub fn request(&self, after: Option<Position>) -> ServerRequest<'_> {
        match &self.prepared {
            Some(prepared) => ServerRequest::Execute {
                id: &self.id,
                name: &self.server_name,
                arguments: &prepared.arguments,
                after,
            },
            None => ServerRequest::Relay {
                id: &self.id,
                text: &self.text,
                after,
            },
        }
    }
}
