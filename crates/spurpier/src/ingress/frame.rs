//! Cutting client bytes into messages, and checking each before it is decoded.
//!
//! The decoder of the protocol library trusts counts and lengths inside a message, so the shape
//! of every message is checked here first; a message that passes can be decoded without a panic.

use bytes::{Buf, BytesMut};
use pgwire::messages::{DecodeContext, PgWireFrontendMessage, ProtocolVersion};

/// Bytes of a message's type and length.
const HEADER_LENGTH: usize = 5;

/// Bytes of the length field, which counts itself.
const LENGTH_FIELD: usize = 4;

/// The longest message of which the body is skipped to keep the connection.
const LONGEST_SKIPPED_MESSAGE: usize = 1 << 30;

/// What stands at the start of a client's input.
#[derive(Debug)]
pub(super) enum NextFrame {
    /// More bytes are needed.
    Incomplete,
    /// A whole message, taken out of the input.
    Message(PgWireFrontendMessage),
    /// A message over the limit begins; its header has been taken out of the input.
    TooLarge {
        /// The message's type.
        message_type: u8,
        /// Bytes of its body, which follow and are to be skipped.
        body_length: usize,
    },
    /// The bytes are no message of the protocol.
    Invalid,
}

/// Takes the next message out of `input`; messages over `limit` bytes are not gathered.
pub(super) fn next_frame(input: &mut BytesMut, limit: usize) -> NextFrame {
    if input.len() < HEADER_LENGTH {
        return match input.first() {
            Some(message_type) if !is_known_type(*message_type) => NextFrame::Invalid,
            _ => NextFrame::Incomplete,
        };
    }
    let message_type = input[0];
    let length = i32::from_be_bytes([input[1], input[2], input[3], input[4]]);
    let Some(body_length) = usize::try_from(length)
        .ok()
        .and_then(|length| length.checked_sub(LENGTH_FIELD))
    else {
        return NextFrame::Invalid;
    };
    if !is_known_type(message_type) || body_length > LONGEST_SKIPPED_MESSAGE {
        return NextFrame::Invalid;
    }
    if body_length > limit {
        input.advance(HEADER_LENGTH);
        return NextFrame::TooLarge {
            message_type,
            body_length,
        };
    }
    if input.len() < HEADER_LENGTH + body_length {
        return NextFrame::Incomplete;
    }
    let mut frame = input.split_to(HEADER_LENGTH + body_length);
    if !has_valid_shape(message_type, &frame[HEADER_LENGTH..]) {
        return NextFrame::Invalid;
    }
    let mut context = DecodeContext::new(ProtocolVersion::PROTOCOL3_0);
    context.awaiting_frontend_ssl = false;
    context.awaiting_frontend_startup = false;
    match PgWireFrontendMessage::decode(&mut frame, &context) {
        Ok(Some(message)) => NextFrame::Message(message),
        _ => NextFrame::Invalid,
    }
}

fn is_known_type(message_type: u8) -> bool {
    b"QPBDECHSXdcf".contains(&message_type)
}

/// Whether the body of a message has exactly the fields that its type calls for.
fn has_valid_shape(message_type: u8, body: &[u8]) -> bool {
    let mut shape = Shape { rest: body };
    let fields = match message_type {
        b'Q' => shape.text(),
        b'P' => shape.parse(),
        b'B' => shape.bind(),
        b'D' | b'C' => shape.target().and_then(|()| shape.text()),
        b'E' => shape.text().and_then(|()| shape.skip(4)),
        b'H' | b'S' | b'X' | b'c' => Some(()),
        b'f' => shape.text(),
        b'd' => shape.skip(body.len()),
        _ => None,
    };
    fields.is_some() && shape.rest.is_empty()
}

/// Walks over a message body; every step gives none when the body is too short or not valid.
struct Shape<'body> {
    rest: &'body [u8],
}

impl Shape<'_> {
    fn skip(&mut self, length: usize) -> Option<()> {
        self.rest = self.rest.get(length..)?;
        Some(())
    }

    /// A text in UTF-8 that ends with a zero byte.
    fn text(&mut self) -> Option<()> {
        let length = self.rest.iter().position(|byte| *byte == 0)?;
        std::str::from_utf8(&self.rest[..length]).ok()?;
        self.skip(length + 1)
    }

    fn count(&mut self) -> Option<usize> {
        let (bytes, rest) = self.rest.split_first_chunk()?;
        self.rest = rest;
        Some(usize::from(u16::from_be_bytes(*bytes)))
    }

    fn target(&mut self) -> Option<()> {
        let is_target = matches!(self.rest.first()?, b'S' | b'P');
        is_target.then_some(())?;
        self.skip(1)
    }

    fn parse(&mut self) -> Option<()> {
        self.text()?;
        self.text()?;
        let types = self.count()?;
        self.skip(4 * types)
    }

    fn bind(&mut self) -> Option<()> {
        self.text()?;
        self.text()?;
        let formats = self.count()?;
        self.skip(2 * formats)?;
        for _ in 0..self.count()? {
            self.parameter()?;
        }
        let result_formats = self.count()?;
        self.skip(2 * result_formats)
    }

    fn parameter(&mut self) -> Option<()> {
        const NULL: i32 = -1;
        let (bytes, rest) = self.rest.split_first_chunk()?;
        self.rest = rest;
        match i32::from_be_bytes(*bytes) {
            NULL => Some(()),
            length => self.skip(usize::try_from(length).ok()?),
        }
    }
}
