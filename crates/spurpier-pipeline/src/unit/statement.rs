//! What is sent to a server for a client's statement.

use spurpier_core::position::Position;

use crate::ports::{Effect, ServerRequest};

/// A prepared statement as a unit uses it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PreparedExecution {
    /// What executing it does.
    pub effect: Effect,
    /// Its shape.
    pub shape: String,
    /// What follows its name in the client's text.
    pub arguments: String,
}

impl PreparedExecution {
    /// The name on server connections: the same for all sessions that prepare the same shape.
    pub fn server_name(&self) -> String {
        let prefix = match self.effect {
            Effect::Read => 'r',
            Effect::Write => 'w',
        };
        format!("{prefix}{}", self.shape)
    }
}

/// A client's statement.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ClientStatement {
    /// The client's name for it.
    pub id: String,
    /// Its text, as given.
    pub text: String,
    /// Set if it executes a prepared statement.
    pub prepared: Option<PreparedExecution>,
    server_name: String,
}

impl ClientStatement {
    /// A statement that is sent as given.
    pub fn plain(id: String, text: String) -> Self {
        ClientStatement {
            id,
            text,
            prepared: None,
            server_name: String::new(),
        }
    }

    /// An execution of a prepared statement.
    pub fn execution(id: String, text: String, prepared: PreparedExecution) -> Self {
        ClientStatement {
            id,
            text,
            server_name: prepared.server_name(),
            prepared: Some(prepared),
        }
    }

    /// The server's name of the prepared statement.
    pub fn server_name(&self) -> &str {
        &self.server_name
    }

    /// The message that is sent, behind a position if one is given.
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
