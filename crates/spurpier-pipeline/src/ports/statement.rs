//! Statements and their answers, independent of the dialect.

use std::fmt;

use bytes::Bytes;
use nanoserde::{DeBin, SerBin};
use spurpier_core::position::Position;

use crate::tenant::AdmissionError;

/// Whether a statement changes data.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, SerBin, DeBin)]
pub enum Effect {
    /// Only reads.
    Read,
    /// Writes.
    Write,
}

/// The name of a prepared statement on one server connection: a number that the proxy assigns, as a
/// name made of what clients choose could contain separators of the protocol.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct StatementName(pub u64);

impl fmt::Display for StatementName {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "s{}", self.0)
    }
}

/// A statement as classified by the proxy.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Statement {
    /// Opens a transaction.
    Begin {
        /// Whether it may only read.
        read_only: bool,
    },
    /// Commits the transaction.
    Commit,
    /// Rolls the transaction back.
    Rollback,
    /// Reads or writes data, as its text indicates.
    Run(Effect),
    /// Sets a value of the session.
    Set {
        /// The value's name.
        name: String,
        /// The value.
        value: String,
    },
    /// Prepares a statement under a name that is local to the session.
    Prepare {
        /// The name.
        name: String,
        /// Whether executing it reads or writes.
        effect: Effect,
        /// The statement's shape, which each execution combines with its arguments.
        shape: String,
    },
    /// Executes a prepared statement.
    Execute {
        /// The name.
        name: String,
        /// The text that follows the name, unchanged.
        arguments: String,
    },
    /// Removes a prepared statement.
    Deallocate {
        /// The name.
        name: String,
    },
    /// Not a valid statement.
    Malformed,
}

/// A statement as a client sent it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Request {
    /// The identifier that the client gave it; it is forwarded to servers.
    pub id: String,
    /// Its text, unchanged.
    pub text: String,
    /// The classified statement.
    pub statement: Statement,
}

/// The state of a session or connection between two statements.
#[derive(Debug, Clone, Copy, PartialEq, Eq, SerBin, DeBin)]
pub enum TransactionState {
    /// No transaction is open.
    Idle,
    /// A transaction is open.
    Open,
    /// A transaction has failed; only its end is accepted.
    Failed,
}

/// The class of an error; it determines whether the statement may have run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, SerBin, DeBin)]
pub enum ErrorClass {
    /// Not run: the server is overloaded.
    Busy,
    /// Not kept: the transaction was aborted.
    Aborted,
    /// Not run: the server's log has not reached the requested position.
    Lagging,
    /// Not run: the server is not the leader of the group.
    ReadOnly,
    /// Not run: the request reached another server than intended.
    Misrouted,
    /// Not run: the server has too many connections.
    TooManyConnections,
    /// Not run: the prepared statement is unknown.
    UnknownName,
    /// Not run: the statement is invalid.
    Malformed,
    /// Not run: the database does not exist.
    UnknownDatabase,
    /// Not run: the client's key belongs to no tenant.
    UnknownKey,
    /// The outcome is unknown: the statement may have run.
    InDoubt,
    /// Timed out; the statement may have run.
    Timeout,
    /// The statement ran and failed.
    Failed,
    /// A class that the dialect does not distinguish; the statement may have run.
    Other,
}

impl ErrorClass {
    /// Whether the class guarantees that nothing was run or kept.
    pub const fn is_not_run(self) -> bool {
        !matches!(
            self,
            ErrorClass::InDoubt | ErrorClass::Timeout | ErrorClass::Failed | ErrorClass::Other
        )
    }
}

/// An error returned by a server or by the proxy itself.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServerError {
    /// The class of the error.
    pub class: ErrorClass,
    /// The error message.
    pub text: String,
}

/// The outcome of a successful statement.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Completion {
    /// The server's signature, unchanged; `None` if the proxy answered itself.
    pub signature: Option<Bytes>,
}

/// A complete answer: rows, the outcome and the resulting transaction state.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Answer {
    /// The encoded rows, in order.
    pub rows: Vec<Bytes>,
    /// Success, or the error that ended the statement.
    pub outcome: Result<Completion, ServerError>,
    /// The transaction state after the statement.
    pub state: TransactionState,
    /// The position of the server's log; `None` if not reported.
    pub position: Option<Position>,
}

impl Answer {
    /// Returns the proxy's own answer for a successful statement.
    pub fn done(state: TransactionState) -> Self {
        Answer {
            rows: Vec::new(),
            outcome: Ok(Completion { signature: None }),
            state,
            position: None,
        }
    }

    /// Returns the proxy's own answer for a failed statement.
    pub fn error(class: ErrorClass, text: impl Into<String>, state: TransactionState) -> Self {
        let text = text.into();
        Answer {
            rows: Vec::new(),
            outcome: Err(ServerError { class, text }),
            state,
            position: None,
        }
    }

    /// Returns the answer for a statement whose client was not admitted.
    pub fn denied(denied: AdmissionError) -> Self {
        let error = denied.error();
        Answer::error(error.class, error.text, TransactionState::Idle)
    }

    /// The class of the error; `None` if the statement succeeded.
    pub fn error_class(&self) -> Option<ErrorClass> {
        self.outcome.as_ref().err().map(|error| error.class)
    }
}
