//! The messages that the ingress side itself writes to clients.

use bytes::BytesMut;
use pgwire::messages::PgWireBackendMessage;
use pgwire::messages::data::{
    DataRow, FieldDescription, NoData, ParameterDescription, RowDescription,
};
use pgwire::messages::extendedquery::{BindComplete, CloseComplete, ParseComplete};
use pgwire::messages::response::{
    CommandComplete, EmptyQueryResponse, ErrorResponse, NoticeResponse, ReadyForQuery,
    TransactionStatus,
};
use pgwire::messages::startup::ParameterStatus;
use spurpier_core::reason::{OutcomeClass, Reason};

/// The type OID of TEXT.
const TEXT_OID: u32 = 25;

/// How grave an error is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Severity {
    /// The statement failed.
    Error,
    /// The connection is closed after it.
    Fatal,
}

/// A request that spurpier refuses or fails, as the client is told.
#[derive(Debug, Clone)]
pub(super) struct Refusal {
    /// Why.
    pub reason: Reason,
    /// When to come back, in milliseconds; only given with "not run".
    pub retry_after_ms: u32,
    /// What is to be added to the reason's text.
    pub detail: Option<String>,
}

impl Refusal {
    /// A refusal without a time to come back at.
    pub fn new(reason: Reason) -> Self {
        Refusal {
            reason,
            retry_after_ms: 0,
            detail: None,
        }
    }

    /// A refusal whose message names something in addition.
    pub fn with_detail(reason: Reason, detail: impl Into<String>) -> Self {
        Refusal {
            detail: Some(detail.into()),
            ..Refusal::new(reason)
        }
    }
}

/// An error with an SQLSTATE of PostgreSQL's own, where the proxy answers as a server would.
#[derive(Debug, Clone)]
pub(super) struct SqlError {
    /// The five-character SQLSTATE.
    pub sqlstate: &'static str,
    /// The message.
    pub message: String,
}

impl SqlError {
    /// An error of this SQLSTATE and message.
    pub fn new(sqlstate: &'static str, message: impl Into<String>) -> Self {
        SqlError {
            sqlstate,
            message: message.into(),
        }
    }
}

/// Appends a message. Only messages over the protocol's own limits cannot be encoded; the
/// ingress side makes none of that size.
pub(super) fn append(output: &mut BytesMut, message: PgWireBackendMessage) {
    let length = output.len();
    if message.encode(output).is_err() {
        output.truncate(length);
    }
}

/// Appends the error of a refusal.
pub(super) fn append_refusal(output: &mut BytesMut, severity: Severity, refusal: &Refusal) {
    let reason = refusal.reason;
    let message = match &refusal.detail {
        Some(detail) => format!("{}: {}", reason.text(), detail.replace('\0', " ")),
        None => reason.text().to_owned(),
    };
    let fields = error_fields(severity, reason.sqlstate(), message);
    let detail = (b'D', refusal_detail(refusal));
    let fields = fields.into_iter().chain([detail]).collect();
    append(
        output,
        PgWireBackendMessage::ErrorResponse(ErrorResponse::new(fields)),
    );
}

/// The DETAIL of a refusal, for programs to read.
fn refusal_detail(refusal: &Refusal) -> String {
    let code = refusal.reason.code();
    match refusal.reason.class() {
        OutcomeClass::Done => format!("code={code} outcome=done"),
        OutcomeClass::Unknown => format!("code={code} outcome=unknown"),
        OutcomeClass::NotRun => {
            let retry_after_ms = refusal.retry_after_ms;
            format!("code={code} outcome=not_run retry_after_ms={retry_after_ms}")
        }
    }
}

/// Appends an error such as a server gives.
pub(super) fn append_error(output: &mut BytesMut, severity: Severity, error: &SqlError) {
    let message = error.message.replace('\0', " ");
    let fields = error_fields(severity, error.sqlstate, message);
    append(
        output,
        PgWireBackendMessage::ErrorResponse(ErrorResponse::new(fields)),
    );
}

fn error_fields(severity: Severity, sqlstate: &str, message: String) -> Vec<(u8, String)> {
    let severity = match severity {
        Severity::Error => "ERROR",
        Severity::Fatal => "FATAL",
    };
    vec![
        (b'S', severity.to_owned()),
        (b'V', severity.to_owned()),
        (b'C', sqlstate.to_owned()),
        (b'M', message),
    ]
}

/// Appends a warning.
pub(super) fn append_warning(output: &mut BytesMut, sqlstate: &str, message: &str) {
    let fields = vec![
        (b'S', "WARNING".to_owned()),
        (b'V', "WARNING".to_owned()),
        (b'C', sqlstate.to_owned()),
        (b'M', message.to_owned()),
    ];
    append(
        output,
        PgWireBackendMessage::NoticeResponse(NoticeResponse::new(fields)),
    );
}

/// Appends the end of a statement's answer.
pub(super) fn append_command_complete(output: &mut BytesMut, tag: &str) {
    let message = CommandComplete::new(tag.to_owned());
    append(output, PgWireBackendMessage::CommandComplete(message));
}

/// Appends the answer to a text without statements.
pub(super) fn append_empty_query(output: &mut BytesMut) {
    let message = EmptyQueryResponse::new();
    append(output, PgWireBackendMessage::EmptyQueryResponse(message));
}

/// Appends a ReadyForQuery.
pub(super) fn append_ready(output: &mut BytesMut, status: TransactionStatus) {
    let message = ReadyForQuery::new(status);
    append(output, PgWireBackendMessage::ReadyForQuery(message));
}

/// Appends the value of a parameter.
pub(super) fn append_parameter(output: &mut BytesMut, name: &str, value: &str) {
    let message = ParameterStatus::new(name.to_owned(), value.to_owned());
    append(output, PgWireBackendMessage::ParameterStatus(message));
}

/// Appends a ParseComplete.
pub(super) fn append_parse_complete(output: &mut BytesMut) {
    let message = ParseComplete::new();
    append(output, PgWireBackendMessage::ParseComplete(message));
}

/// Appends a BindComplete.
pub(super) fn append_bind_complete(output: &mut BytesMut) {
    let message = BindComplete::new();
    append(output, PgWireBackendMessage::BindComplete(message));
}

/// Appends a CloseComplete.
pub(super) fn append_close_complete(output: &mut BytesMut) {
    let message = CloseComplete::new();
    append(output, PgWireBackendMessage::CloseComplete(message));
}

/// Appends the description of a statement that takes no parameters.
pub(super) fn append_no_parameters(output: &mut BytesMut) {
    let message = ParameterDescription::new(Vec::new());
    append(output, PgWireBackendMessage::ParameterDescription(message));
}

/// Appends the description of a statement that returns no rows.
pub(super) fn append_no_data(output: &mut BytesMut) {
    append(output, PgWireBackendMessage::NoData(NoData::new()));
}

/// Appends the description of rows with one text column.
pub(super) fn append_text_column(output: &mut BytesMut, name: &str) {
    let field = FieldDescription::new(name.to_owned(), 0, 0, TEXT_OID, -1, -1, 0);
    let message = RowDescription::new(vec![field]);
    append(output, PgWireBackendMessage::RowDescription(message));
}

/// Appends a row of one text column.
pub(super) fn append_text_row(output: &mut BytesMut, value: &str) {
    let mut data = BytesMut::with_capacity(4 + value.len());
    let length = i32::try_from(value.len()).unwrap_or(i32::MAX);
    data.extend_from_slice(&length.to_be_bytes());
    data.extend_from_slice(value.as_bytes());
    append(output, PgWireBackendMessage::DataRow(DataRow::new(data, 1)));
}
