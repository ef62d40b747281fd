//! Front-end messages of the home's own, and answers that it reads whole.

use bytes::BytesMut;
use error_stack::Report;
use pgwire::messages::Message;
use pgwire::messages::extendedquery::Parse;
use pgwire::messages::simplequery::Query;
use spurpier_protocol::unit::{PreparedStatement, TransactionStatus};

use super::error::{ConnectionBroken, ServerError};
use super::frame::{Frame, FrameKind};

/// The whole answer of a simple query of the home's own.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct QueryAnswer {
    /// The rows' columns as text.
    pub rows: Vec<Vec<Option<String>>>,
    /// The tag of the last statement that ended.
    pub command_tag: Option<String>,
    /// The first error.
    pub error: Option<ServerError>,
    /// The state of the transaction block behind it.
    pub status: TransactionStatus,
}

impl QueryAnswer {
    /// An answer of which nothing has come yet.
    pub fn empty() -> Self {
        QueryAnswer {
            rows: Vec::new(),
            command_tag: None,
            error: None,
            status: TransactionStatus::Idle,
        }
    }

    /// Takes in a message; true when it was the last one.
    ///
    /// # Errors
    ///
    /// [`ConnectionBroken`] for a malformed message, and for a fatal error.
    pub fn take(&mut self, frame: &Frame) -> Result<bool, Report<ConnectionBroken>> {
        match frame.kind() {
            FrameKind::DataRow => self
                .rows
                .push(frame.text_columns().ok_or(ConnectionBroken)?),
            FrameKind::CommandComplete => self.command_tag = frame.command_tag(),
            FrameKind::Error => note_error(frame, &mut self.error)?,
            FrameKind::ReadyForQuery => {
                self.status = frame.transaction_status().ok_or(ConnectionBroken)?;
                return Ok(true);
            }
            _ => {}
        }
        Ok(false)
    }

    /// A column of the first row; none without a row, or for a null.
    pub fn first(&self, column: usize) -> Option<&str> {
        self.rows.first()?.get(column)?.as_deref()
    }
}

/// A simple query as an encoded message.
pub fn encode_query(text: &str) -> BytesMut {
    let mut buffer = BytesMut::with_capacity(text.len() + 6);
    // Only a text of a gigabyte cannot be encoded; the limits on statements exclude it.
    let _ = Query::new(text.to_owned()).encode(&mut buffer);
    buffer
}

/// The message that prepares a statement.
pub fn encode_parse(statement: &PreparedStatement) -> BytesMut {
    let mut buffer = BytesMut::with_capacity(statement.text.len() + 64);
    let parse = Parse::new(
        Some(statement.name.clone()),
        statement.text.clone(),
        statement.parameter_types.clone(),
    );
    let _ = parse.encode(&mut buffer);
    buffer
}

/// Keeps the first error of an answer.
///
/// # Errors
///
/// [`ConnectionBroken`] for a fatal error, which ends the connection.
pub fn note_error(
    frame: &Frame,
    first: &mut Option<ServerError>,
) -> Result<(), Report<ConnectionBroken>> {
    let error = frame.server_error().ok_or(ConnectionBroken)?;
    if error.is_fatal() {
        return Err(Report::new(ConnectionBroken).attach(error.to_string()));
    }
    first.get_or_insert(error);
    Ok(())
}
