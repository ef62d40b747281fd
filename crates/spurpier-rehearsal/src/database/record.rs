//! Records of the replicated log: committed write transactions as statements with their values.

use nanoserde::{DeBin, SerBin};
use rusqlite::types::Value;
use spurpier_core::position::Position;

/// A value of a statement's parameter.
#[derive(Debug, Clone, PartialEq, SerBin, DeBin)]
pub enum LoggedValue {
    /// SQL null.
    Null,
    /// An integer or a boolean.
    Integer(i64),
    /// A floating-point number.
    Real(f64),
    /// A text.
    Text(String),
    /// Bytes.
    Blob(Vec<u8>),
}

impl From<&Value> for LoggedValue {
    fn from(value: &Value) -> Self {
        match value {
            Value::Null => LoggedValue::Null,
            Value::Integer(number) => LoggedValue::Integer(*number),
            Value::Real(number) => LoggedValue::Real(*number),
            Value::Text(text) => LoggedValue::Text(text.clone()),
            Value::Blob(bytes) => LoggedValue::Blob(bytes.clone()),
        }
    }
}

impl From<&LoggedValue> for Value {
    fn from(value: &LoggedValue) -> Self {
        match value {
            LoggedValue::Null => Value::Null,
            LoggedValue::Integer(number) => Value::Integer(*number),
            LoggedValue::Real(number) => Value::Real(*number),
            LoggedValue::Text(text) => Value::Text(text.clone()),
            LoggedValue::Blob(bytes) => Value::Blob(bytes.clone()),
        }
    }
}

/// What `now()` and `random()` answer within one statement, so that a replay answers the same.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, SerBin, DeBin)]
pub struct StatementContext {
    /// The time of the statement, in milliseconds since 1970.
    pub clock_ms: i64,
    /// The seed of the random numbers.
    pub seed: u64,
}

/// One write statement of a committed transaction.
#[derive(Debug, Clone, PartialEq, SerBin, DeBin)]
pub struct LoggedStatement {
    /// The statement as SQLite runs it.
    pub sql: String,
    /// The values of its parameters.
    pub parameters: Vec<LoggedValue>,
    /// What its volatile functions answer.
    pub context: StatementContext,
    /// Whether it concerns this group alone (fence, follow) and is not carried to another side.
    pub local: bool,
}

/// A record of the log.
#[derive(Debug, Clone, PartialEq, SerBin, DeBin)]
pub struct Record {
    /// Where it stands in the log.
    pub position: Position,
    /// Up to where the log includes the other side's log; zero without one.
    pub upstream: Position,
    /// The statements; none in the record that opens a term.
    pub statements: Vec<LoggedStatement>,
}
