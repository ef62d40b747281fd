//! Statements and their answers, free of any dialect.

use bytes::Bytes;
use nanoserde::{DeBin, SerBin};
use spurpier_core::position::Position;

use crate::tenant::AdmissionError;

/// Whether a statement changes data.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, SerBin, DeBin)]
pub enum Effect {
    /// It only reads.
    Read,
    /// It writes.
    Write,
}

/// What a statement is to the proxy.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Statement {
    /// Opens a transaction.
    Begin {
        /// Whether it may only read.
        read_only: bool,
    },
    /// Ends a transaction and keeps it.
    Commit,
    /// Ends a transaction and drops it.
    Rollback,
    /// Reads or writes, as its text says.
    Run(Effect),
    /// Sets a value of the session.
    Set {
        /// The value's name.
        name: String,
        /// The value.
        value: String,
    },
    /// Prepares a statement under a name of the session.
    Prepare {
        /// The name.
        name: String,
        /// What executing it does.
        effect: Effect,
        /// The statement's shape.
        shape: String,
    },
    /// Executes a prepared statement.
    Execute {
        /// The name.
        name: String,
        /// What follows the name, as given.
        arguments: String,
    },
    /// Forgets a prepared name.
    Deallocate {
        /// The name.
        name: String,
    },
    /// None of the above.
    Malformed,
}

/// A statement as a client sent it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Request {
    /// The client's name for it, which servers are given too.
    pub id: String,
    /// Its text, as given.
    pub text: String,
    /// What it is.
    pub statement: Statement,
}

/// The state of a session or connection between two statements.
#[derive(Debug, Clone, Copy, PartialEq, Eq, SerBin, DeBin)]
pub enum TransactionState {
    /// No transaction is open.
    Idle,
    /// A transaction is open.
    Open,
    /// A transaction has failed; only its end is taken.
    Failed,
}

/// The meaning of an error.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, SerBin, DeBin)]
pub enum ErrorClass {
    /// Not run: there is too much work.
    Busy,
    /// Not kept: the transaction was given up.
    Aborted,
    /// Not run: the server's log lacks the asked position.
    Lagging,
    /// Not run: the server does not lead the group.
    ReadOnly,
    /// Not run: the server is not the one that was meant.
    Misrouted,
    /// Not run: the server holds too many connections.
    TooManyConnections,
    /// Not run: the prepared name is not known.
    UnknownName,
    /// Not run: the statement is none.
    Malformed,
    /// Not run: there is no such database.
    UnknownDatabase,
    /// Not run: no tenant holds the client's key.
    UnknownKey,
    /// It may have run.
    InDoubt,
    /// It ran out of time and may have run.
    Timeout,
    /// It ran and failed.
    Failed,
    /// A class that the dialect does not tell; it may have run.
    Other,
}

impl ErrorClass {
    /// Whether the server promises that nothing was run or kept.
    pub const fn is_not_run(self) -> bool {
        !matches!(
            self,
            ErrorClass::InDoubt | ErrorClass::Timeout | ErrorClass::Failed | ErrorClass::Other
        )
    }
}

/// An error as a server gave it or as the proxy gives it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServerError {
    /// What it means.
    pub class: ErrorClass,
    /// The text beside it.
    pub text: String,
}

/// A statement's success.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Completion {
    /// The server's signature, as given; none if the proxy answered itself.
    pub signature: Option<Bytes>,
}

/// A whole answer: rows, the outcome, and the state behind it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Answer {
    /// The rows' own bytes, in order.
    pub rows: Vec<Bytes>,
    /// How it ended.
    pub outcome: Result<Completion, ServerError>,
    /// The state behind it.
    pub state: TransactionState,
    /// The position that the server's log showed; none if it told none.
    pub position: Option<Position>,
}

impl Answer {
    /// The proxy's own answer that a statement has worked.
    pub fn done(state: TransactionState) -> Self {
        Answer {
            rows: Vec::new(),
            outcome: Ok(Completion { signature: None }),
            state,
            position: None,
        }
    }

    /// The proxy's own answer that a statement has failed.
    pub fn error(class: ErrorClass, text: impl Into<String>, state: TransactionState) -> Self {
        let text = text.into();
        Answer {
            rows: Vec::new(),
            outcome: Err(ServerError { class, text }),
            state,
            position: None,
        }
    }

    /// The answer of a statement whose client is not served.
    pub fn denied(denied: AdmissionError) -> Self {
        let error = denied.error();
        Answer::error(error.class, error.text, TransactionState::Idle)
    }

    /// The class of its error; none if it succeeded.
    pub fn error_class(&self) -> Option<ErrorClass> {
        self.outcome.as_ref().err().map(|error| error.class)
    }
}
