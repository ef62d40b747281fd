//! Errors as clients see them, with their SQLSTATE.

use std::fmt;

use pgwire::messages::response::ErrorResponse;
use rusqlite::ffi;

use super::role::NotWritable;

/// The SQLSTATEs that the server gives.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[allow(missing_docs)]
pub(crate) enum SqlState {
    ProtocolViolation,
    FeatureNotSupported,
    NumericValueOutOfRange,
    CharacterNotInRepertoire,
    InvalidTextRepresentation,
    InvalidBinaryRepresentation,
    NotNullViolation,
    ForeignKeyViolation,
    UniqueViolation,
    CheckViolation,
    ActiveTransaction,
    ReadOnlyTransaction,
    FailedTransaction,
    InvalidStatementName,
    InvalidCursorName,
    SerializationFailure,
    SyntaxError,
    UndefinedColumn,
    UndefinedFunction,
    UndefinedTable,
    UndefinedObject,
    DuplicateTable,
    DuplicatePreparedStatement,
    TooManyConnections,
    ObjectNotInPrerequisiteState,
    QueryCanceled,
    AdminShutdown,
    Internal,
    /// The epoch asked for is not the fence's, or the fence is closed.
    FenceClosed,
    /// The fence stands at a later epoch.
    FenceConflict,
}

impl SqlState {
    /// The five characters.
    pub(crate) fn code(self) -> &'static str {
        match self {
            SqlState::ProtocolViolation => "08P01",
            SqlState::FeatureNotSupported => "0A000",
            SqlState::NumericValueOutOfRange => "22003",
            SqlState::CharacterNotInRepertoire => "22021",
            SqlState::InvalidTextRepresentation => "22P02",
            SqlState::InvalidBinaryRepresentation => "22P03",
            SqlState::NotNullViolation => "23502",
            SqlState::ForeignKeyViolation => "23503",
            SqlState::UniqueViolation => "23505",
            SqlState::CheckViolation => "23514",
            SqlState::ActiveTransaction => "25001",
            SqlState::ReadOnlyTransaction => "25006",
            SqlState::FailedTransaction => "25P02",
            SqlState::InvalidStatementName => "26000",
            SqlState::InvalidCursorName => "34000",
            SqlState::SerializationFailure => "40001",
            SqlState::SyntaxError => "42601",
            SqlState::UndefinedColumn => "42703",
            SqlState::UndefinedFunction => "42883",
            SqlState::UndefinedTable => "42P01",
            SqlState::UndefinedObject => "42704",
            SqlState::DuplicateTable => "42P07",
            SqlState::DuplicatePreparedStatement => "42P05",
            SqlState::TooManyConnections => "53300",
            SqlState::ObjectNotInPrerequisiteState => "55000",
            SqlState::QueryCanceled => "57014",
            SqlState::AdminShutdown => "57P01",
            SqlState::Internal => "XX000",
            SqlState::FenceClosed => "SPF01",
            SqlState::FenceConflict => "SPF02",
        }
    }
}

/// An error for a client.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct SqlError {
    /// The SQLSTATE.
    pub state: SqlState,
    /// The message.
    pub message: String,
    /// Whether the connection ends with it.
    pub fatal: bool,
}

impl SqlError {
    /// An error that fails a statement.
    pub(crate) fn new(state: SqlState, message: impl Into<String>) -> Self {
        SqlError {
            state,
            message: message.into(),
            fatal: false,
        }
    }

    /// An error that ends the connection.
    pub(crate) fn fatal(state: SqlState, message: impl Into<String>) -> Self {
        SqlError {
            fatal: true,
            ..SqlError::new(state, message)
        }
    }

    /// The message for the wire.
    pub(crate) fn response(&self) -> ErrorResponse {
        let severity = if self.fatal { "FATAL" } else { "ERROR" };
        ErrorResponse::new(vec![
            (b'S', severity.to_owned()),
            (b'V', severity.to_owned()),
            (b'C', self.state.code().to_owned()),
            (b'M', self.message.clone()),
        ])
    }
}

impl fmt::Display for SqlError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}: {}", self.state.code(), self.message)
    }
}

impl std::error::Error for SqlError {}

impl From<NotWritable> for SqlError {
    fn from(reason: NotWritable) -> Self {
        let message = match reason {
            NotWritable::Replica => "cannot write: the server is not the primary",
            NotWritable::HandingOver => "cannot write: the server is handing over",
        };
        SqlError::new(SqlState::ReadOnlyTransaction, message)
    }
}

impl From<rusqlite::Error> for SqlError {
    fn from(error: rusqlite::Error) -> Self {
        let message = error.to_string();
        let code = error.sqlite_error().map(|error| error.extended_code);
        let state = code
            .and_then(state_of_code)
            .unwrap_or_else(|| state_of_message(&message));
        SqlError::new(state, message)
    }
}

fn state_of_code(extended_code: i32) -> Option<SqlState> {
    match extended_code {
        ffi::SQLITE_CONSTRAINT_UNIQUE
        | ffi::SQLITE_CONSTRAINT_PRIMARYKEY
        | ffi::SQLITE_CONSTRAINT_ROWID => Some(SqlState::UniqueViolation),
        ffi::SQLITE_CONSTRAINT_NOTNULL => Some(SqlState::NotNullViolation),
        ffi::SQLITE_CONSTRAINT_FOREIGNKEY => Some(SqlState::ForeignKeyViolation),
        ffi::SQLITE_CONSTRAINT_CHECK => Some(SqlState::CheckViolation),
        ffi::SQLITE_BUSY | ffi::SQLITE_BUSY_SNAPSHOT | ffi::SQLITE_LOCKED => {
            Some(SqlState::SerializationFailure)
        }
        ffi::SQLITE_INTERRUPT => Some(SqlState::QueryCanceled),
        _ => None,
    }
}

fn state_of_message(message: &str) -> SqlState {
    const KNOWN: [(&str, SqlState); 10] = [
        ("no such table", SqlState::UndefinedTable),
        ("no such column", SqlState::UndefinedColumn),
        ("has no column named", SqlState::UndefinedColumn),
        ("no such function", SqlState::UndefinedFunction),
        ("already exists", SqlState::DuplicateTable),
        ("syntax error", SqlState::SyntaxError),
        ("incomplete input", SqlState::SyntaxError),
        ("unrecognized token", SqlState::SyntaxError),
        ("values were supplied", SqlState::SyntaxError),
        ("values for", SqlState::SyntaxError),
    ];
    let known = KNOWN.iter().find(|(part, _)| message.contains(part));
    known.map_or(SqlState::Internal, |(_, state)| *state)
}
