//! Back-end messages as they travel: framed, and decoded only where the node reads them.

use bytes::{Buf, Bytes, BytesMut};
use pgwire::messages::response::TransactionStatus as WireStatus;
use pgwire::messages::response::{CommandComplete, ErrorResponse, ReadyForQuery};
use pgwire::messages::{DecodeContext, Message};
use spurpier_protocol::unit::TransactionStatus;

use super::error::ServerError;

/// The type byte and the length of a message.
const HEADER_BYTES: usize = 5;
/// The length field counts itself.
const LENGTH_BYTES: usize = 4;
/// A longer message is taken for a violation of the protocol.
const MAX_MESSAGE_BYTES: usize = 1 << 30;
/// The field of an error response that holds the severity.
const SEVERITY_FIELD: u8 = b'S';
/// The field of an error response that holds the SQLSTATE.
const CODE_FIELD: u8 = b'C';
/// The field of an error response that holds the message.
const MESSAGE_FIELD: u8 = b'M';

/// The kinds of messages that the home tells apart.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FrameKind {
    /// A statement has ended.
    CommandComplete,
    /// An empty statement has ended.
    EmptyQuery,
    /// A portal's row limit was reached.
    PortalSuspended,
    /// A row.
    DataRow,
    /// An error.
    Error,
    /// The server waits for the next request.
    ReadyForQuery,
    /// A statement has been parsed.
    ParseComplete,
    /// A setting has changed, or a notification has come; not part of any answer.
    Asynchronous,
    /// The server wants to copy data.
    Copy,
    /// Any other part of an answer.
    Other,
}

/// One whole back-end message with its header.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Frame {
    bytes: Bytes,
}

impl Frame {
    /// Splits the first whole message off `buffer`; none if more bytes are needed, an error if
    /// the length is impossible.
    pub fn split_from(buffer: &mut BytesMut) -> Result<Option<Frame>, InvalidLength> {
        let Some(total) = whole_length(buffer)? else {
            return Ok(None);
        };
        if buffer.len() < total {
            buffer.reserve(total - buffer.len());
            return Ok(None);
        }
        let bytes = buffer.split_to(total).freeze();
        Ok(Some(Frame { bytes }))
    }

    /// Whether `buffer` starts with a whole message.
    pub fn is_whole_in(buffer: &BytesMut) -> bool {
        matches!(whole_length(buffer), Ok(Some(total)) if buffer.len() >= total)
    }

    /// What kind of message it is.
    pub fn kind(&self) -> FrameKind {
        match self.bytes[0] {
            b'C' => FrameKind::CommandComplete,
            b'I' => FrameKind::EmptyQuery,
            b's' => FrameKind::PortalSuspended,
            b'D' => FrameKind::DataRow,
            b'E' => FrameKind::Error,
            b'Z' => FrameKind::ReadyForQuery,
            b'1' => FrameKind::ParseComplete,
            b'S' | b'A' => FrameKind::Asynchronous,
            b'G' | b'H' | b'W' => FrameKind::Copy,
            _ => FrameKind::Other,
        }
    }

    /// The encoded message.
    pub fn bytes(&self) -> &[u8] {
        &self.bytes
    }

    /// The error that an error response holds.
    pub fn server_error(&self) -> Option<ServerError> {
        let response = self.decode::<ErrorResponse>()?;
        let field = |wanted: u8| {
            let found = response.fields.iter().find(|(code, _)| *code == wanted);
            found.map(|(_, text)| text.clone()).unwrap_or_default()
        };
        Some(ServerError {
            severity: field(SEVERITY_FIELD),
            code: field(CODE_FIELD),
            message: field(MESSAGE_FIELD),
        })
    }

    /// The tag of a CommandComplete.
    pub fn command_tag(&self) -> Option<String> {
        self.decode::<CommandComplete>().map(|message| message.tag)
    }

    /// The transaction status of a ReadyForQuery.
    pub fn transaction_status(&self) -> Option<TransactionStatus> {
        let status = self.decode::<ReadyForQuery>()?.status;
        Some(match status {
            WireStatus::Idle => TransactionStatus::Idle,
            WireStatus::Transaction => TransactionStatus::Open,
            WireStatus::Error => TransactionStatus::Failed,
        })
    }

    /// The columns of a row in text format; none if the message is malformed.
    pub fn text_columns(&self) -> Option<Vec<Option<String>>> {
        let mut body = self.bytes.slice(HEADER_BYTES..);
        let count = body.try_get_u16().ok()?;
        (0..count).map(|_| text_column(&mut body)).collect()
    }

    fn decode<M: Message>(&self) -> Option<M> {
        let mut buffer = BytesMut::from(self.bytes.as_ref());
        M::decode(&mut buffer, &DecodeContext::default())
            .ok()
            .flatten()
    }
}

/// The next column: `Some(None)` for a null, none if it is malformed.
fn text_column(body: &mut Bytes) -> Option<Option<String>> {
    let length = body.try_get_i32().ok()?;
    let Ok(length) = usize::try_from(length) else {
        return Some(None);
    };
    if body.len() < length {
        return None;
    }
    let text = body.split_to(length);
    String::from_utf8(text.to_vec()).ok().map(Some)
}

/// A message whose length cannot be.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct InvalidLength;

/// The length of the first message with its header, once the header is there.
fn whole_length(buffer: &BytesMut) -> Result<Option<usize>, InvalidLength> {
    if buffer.len() < HEADER_BYTES {
        return Ok(None);
    }
    let field = [buffer[1], buffer[2], buffer[3], buffer[4]];
    let length = usize::try_from(u32::from_be_bytes(field)).map_err(|_| InvalidLength)?;
    if !(LENGTH_BYTES..=MAX_MESSAGE_BYTES).contains(&length) {
        return Err(InvalidLength);
    }
    Ok(Some(length + 1))
}
