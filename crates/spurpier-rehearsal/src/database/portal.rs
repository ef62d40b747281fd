//! The extended query protocol: prepared statements and portals of a session.

use std::collections::VecDeque;
use std::io;
use std::sync::Arc;

use bytes::{BufMut, BytesMut};
use pgwire::messages::PgWireBackendMessage;
use pgwire::messages::data::{
    DataRow, FieldDescription, NoData, ParameterDescription, RowDescription,
};
use pgwire::messages::extendedquery::{
    Bind, BindComplete, Close, CloseComplete, Describe, Execute, Parse, ParseComplete,
    PortalSuspended, TARGET_TYPE_BYTE_STATEMENT,
};
use pgwire::messages::response::EmptyQueryResponse;
use rusqlite::types::Value;

use super::prepared::Prepared;
use super::result_types::ResultColumn;
use super::session::Session;
use super::sql_error::{SqlError, SqlState};
use super::sql_text;
use super::sql_type::Format;

/// The type modifier of a column without one.
const NO_MODIFIER: i32 = -1;
/// The length of a null in a data row.
const NULL_LENGTH: i32 = -1;

/// A statement with the values of its parameters, and what is left of its rows.
#[derive(Debug)]
pub(crate) struct Portal {
    /// The statement; none if it is empty.
    prepared: Option<Arc<Prepared>>,
    parameters: Vec<Value>,
    formats: Vec<Format>,
    /// The rows not yet sent and the tag; none before the first Execute.
    started: Option<Started>,
}

#[derive(Debug)]
struct Started {
    rows: VecDeque<Vec<Value>>,
    tag: String,
}

/// The tag as sent: a `SELECT` counts the rows that were sent.
pub(crate) fn command_tag(tag: &str, rows: usize) -> String {
    if tag == "SELECT" {
        format!("SELECT {rows}")
    } else {
        tag.to_owned()
    }
}

/// The description of result columns.
pub(crate) fn row_description(
    columns: &[ResultColumn],
    formats: &[Format],
) -> PgWireBackendMessage {
    let fields = columns.iter().zip(formats).map(|(column, format)| {
        let code = i16::from(*format == Format::Binary);
        FieldDescription::new(
            column.name.clone(),
            0,
            0,
            column.kind.oid(),
            column.kind.size(),
            NO_MODIFIER,
            code,
        )
    });
    PgWireBackendMessage::RowDescription(RowDescription::new(fields.collect()))
}

/// A row of a result.
pub(crate) fn data_row(
    columns: &[ResultColumn],
    formats: &[Format],
    row: &[Value],
) -> Result<PgWireBackendMessage, SqlError> {
    let mut data = BytesMut::new();
    for ((column, format), value) in columns.iter().zip(formats).zip(row) {
        match column.kind.encode(*format, value)? {
            Some(bytes) => {
                let length = i32::try_from(bytes.len()).map_err(|_| too_long())?;
                data.put_i32(length);
                data.put_slice(&bytes);
            }
            None => data.put_i32(NULL_LENGTH),
        }
    }
    let count = i16::try_from(row.len()).map_err(|_| too_long())?;
    Ok(PgWireBackendMessage::DataRow(DataRow::new(data, count)))
}

fn too_long() -> SqlError {
    SqlError::new(SqlState::FeatureNotSupported, "the row is too long")
}

impl Session {
    /// Answers a Parse message.
    pub(crate) async fn parse(&mut self, parse: Parse) -> io::Result<Result<(), SqlError>> {
        match self.parse_statement(parse).await {
            Ok(()) => {
                let complete = PgWireBackendMessage::ParseComplete(ParseComplete::new());
                self.connection.send(complete).await.map(Ok)
            }
            Err(error) => Ok(Err(error)),
        }
    }

    async fn parse_statement(&mut self, parse: Parse) -> Result<(), SqlError> {
        let name = parse.name.unwrap_or_default();
        if !name.is_empty() && self.statements.contains_key(&name) {
            let message = format!("prepared statement \"{name}\" already exists");
            return Err(SqlError::new(SqlState::DuplicatePreparedStatement, message));
        }
        let mut statements = sql_text::split(&parse.query)?;
        if statements.len() > 1 {
            let message = "cannot insert multiple commands into a prepared statement";
            return Err(SqlError::new(SqlState::SyntaxError, message));
        }
        let prepared = match statements.pop() {
            Some(statement) => {
                let prepared = self.executor.prepare(statement, parse.type_oids).await?;
                Some(Arc::new(prepared))
            }
            None => None,
        };
        self.statements.insert(name, prepared);
        Ok(())
    }

    fn statement(&self, name: &str) -> Result<Option<Arc<Prepared>>, SqlError> {
        self.statements.get(name).cloned().ok_or_else(|| {
            let message = format!("prepared statement \"{name}\" does not exist");
            SqlError::new(SqlState::InvalidStatementName, message)
        })
    }

    /// Answers a Bind message.
    pub(crate) async fn bind(&mut self, bind: Bind) -> io::Result<Result<(), SqlError>> {
        match self.bind_portal(bind) {
            Ok(()) => {
                let complete = PgWireBackendMessage::BindComplete(BindComplete::new());
                self.connection.send(complete).await.map(Ok)
            }
            Err(error) => Ok(Err(error)),
        }
    }

    fn bind_portal(&mut self, bind: Bind) -> Result<(), SqlError> {
        let prepared = self.statement(bind.statement_name.as_deref().unwrap_or_default())?;
        let types = prepared
            .as_ref()
            .map(|prepared| prepared.parameter_types.as_slice());
        let types = types.unwrap_or_default();
        if types.len() != bind.parameters.len() {
            let message = format!(
                "bind message supplies {} parameters, but the statement requires {}",
                bind.parameters.len(),
                types.len()
            );
            return Err(SqlError::new(SqlState::ProtocolViolation, message));
        }
        let mut parameters = Vec::with_capacity(types.len());
        for (index, (kind, bytes)) in types.iter().zip(&bind.parameters).enumerate() {
            let format = Format::of_item(&bind.parameter_format_codes, index);
            parameters.push(match bytes {
                Some(bytes) => kind.decode(format, bytes)?,
                None => Value::Null,
            });
        }
        let columns = prepared
            .as_ref()
            .map_or(0, |prepared| prepared.columns.len());
        let codes = &bind.result_column_format_codes;
        let formats = (0..columns).map(|index| Format::of_item(codes, index));
        let portal = Portal {
            formats: formats.collect(),
            prepared,
            parameters,
            started: None,
        };
        self.portals
            .insert(bind.portal_name.unwrap_or_default(), portal);
        Ok(())
    }

    /// Answers a Describe message.
    pub(crate) async fn describe(
        &mut self,
        describe: Describe,
    ) -> io::Result<Result<(), SqlError>> {
        let name = describe.name.unwrap_or_default();
        let (prepared, formats) = if describe.target_type == TARGET_TYPE_BYTE_STATEMENT {
            let prepared = match self.statement(&name) {
                Ok(prepared) => prepared,
                Err(error) => return Ok(Err(error)),
            };
            let types = prepared
                .iter()
                .flat_map(|prepared| &prepared.parameter_types);
            let oids = types.map(|kind| kind.oid()).collect();
            let description = ParameterDescription::new(oids);
            self.connection
                .send(PgWireBackendMessage::ParameterDescription(description))
                .await?;
            let columns = prepared
                .as_ref()
                .map_or(0, |prepared| prepared.columns.len());
            (prepared, vec![Format::Text; columns])
        } else {
            let Some(portal) = self.portals.get(&name) else {
                return Ok(Err(unknown_portal(&name)));
            };
            (portal.prepared.clone(), portal.formats.clone())
        };
        let columns = prepared.map(|prepared| prepared.columns.clone());
        let columns = columns.unwrap_or_default();
        let description = if columns.is_empty() {
            PgWireBackendMessage::NoData(NoData::new())
        } else {
            row_description(&columns, &formats)
        };
        self.connection.send(description).await.map(Ok)
    }

    /// Answers an Execute message.
    pub(crate) async fn execute(&mut self, execute: Execute) -> io::Result<Result<(), SqlError>> {
        let name = execute.name.unwrap_or_default();
        let Some(mut portal) = self.portals.remove(&name) else {
            return Ok(Err(unknown_portal(&name)));
        };
        let Some(prepared) = portal.prepared.clone() else {
            self.portals.insert(name, portal);
            let empty = PgWireBackendMessage::EmptyQueryResponse(EmptyQueryResponse::new());
            return self.connection.send(empty).await.map(Ok);
        };
        if portal.started.is_none() {
            let parameters = std::mem::take(&mut portal.parameters);
            match self.executor.execute(&prepared, parameters).await {
                Ok(answer) => {
                    self.forget_statements(&prepared);
                    portal.started = Some(Started {
                        rows: answer.rows.into(),
                        tag: answer.tag,
                    });
                }
                Err(error) => return Ok(Err(error)),
            }
        }
        let result = self
            .send_rows(&mut portal, &prepared, execute.max_rows)
            .await;
        self.portals.insert(name, portal);
        result
    }

    /// Sends up to `limit` rows of a started portal; without limit if it is not positive.
    async fn send_rows(
        &mut self,
        portal: &mut Portal,
        prepared: &Prepared,
        limit: i32,
    ) -> io::Result<Result<(), SqlError>> {
        let Some(started) = &mut portal.started else {
            return Ok(Ok(()));
        };
        let limit = usize::try_from(limit).ok().filter(|limit| *limit > 0);
        let count = started.rows.len().min(limit.unwrap_or(usize::MAX));
        for row in started.rows.drain(..count) {
            match data_row(&prepared.columns, &portal.formats, &row) {
                Ok(row) => self.connection.send(row).await?,
                Err(error) => return Ok(Err(error)),
            }
        }
        // As in PostgreSQL, a limit that was just met leaves the portal suspended.
        if limit == Some(count) {
            let suspended = PgWireBackendMessage::PortalSuspended(PortalSuspended::new());
            return self.connection.send(suspended).await.map(Ok);
        }
        let tag = command_tag(&started.tag, count);
        self.complete(tag).await.map(Ok)
    }

    /// Answers a Close message.
    pub(crate) async fn close(&mut self, close: Close) -> io::Result<Result<(), SqlError>> {
        let name = close.name.unwrap_or_default();
        if close.target_type == TARGET_TYPE_BYTE_STATEMENT {
            self.statements.remove(&name);
        } else {
            self.portals.remove(&name);
        }
        let complete = PgWireBackendMessage::CloseComplete(CloseComplete::new());
        self.connection.send(complete).await.map(Ok)
    }
}

fn unknown_portal(name: &str) -> SqlError {
    let message = format!("portal \"{name}\" does not exist");
    SqlError::new(SqlState::InvalidCursorName, message)
}
