//! Passing answers of a unit on to the client, message by message as they stream past.

use bytes::BytesMut;

/// Bytes of a message's type and length.
const HEADER_LENGTH: usize = 5;

/// Which messages of an answer go to the client.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum AnswerMode {
    /// All of them.
    Forward,
    /// Errors alone: the rest answers a message that the proxy itself made.
    ErrorsOnly,
}

/// Follows the messages of one batch's answer, however its bytes are cut.
#[derive(Debug)]
pub(super) struct AnswerRelay {
    mode: AnswerMode,
    header: [u8; HEADER_LENGTH],
    header_filled: usize,
    body_left: usize,
    passes: bool,
    has_error: bool,
    has_messages: bool,
    parses_completed: usize,
}

impl AnswerRelay {
    /// A relay at the start of an answer.
    pub fn new(mode: AnswerMode) -> Self {
        AnswerRelay {
            mode,
            header: [0; HEADER_LENGTH],
            header_filled: 0,
            body_left: 0,
            passes: false,
            has_error: false,
            has_messages: false,
            parses_completed: 0,
        }
    }

    /// Appends to `output` what of `bytes` the client is to get.
    pub fn pass(&mut self, mut bytes: &[u8], output: &mut BytesMut) {
        while !bytes.is_empty() {
            if self.body_left > 0 {
                bytes = self.pass_body(bytes, output);
                continue;
            }
            let wanted = HEADER_LENGTH - self.header_filled;
            let (part, rest) = bytes.split_at(wanted.min(bytes.len()));
            self.header[self.header_filled..][..part.len()].copy_from_slice(part);
            self.header_filled += part.len();
            bytes = rest;
            if self.header_filled == HEADER_LENGTH {
                self.start_message(output);
            }
        }
    }

    /// Whether an ErrorResponse was in the answer.
    pub fn has_error(&self) -> bool {
        self.has_error
    }

    /// Whether the client got anything of the answer.
    pub fn has_messages(&self) -> bool {
        self.has_messages
    }

    /// Whether the answer ends between two messages.
    pub fn is_at_boundary(&self) -> bool {
        self.body_left == 0 && self.header_filled == 0
    }

    /// How many ParseComplete messages were in the answer.
    pub fn parses_completed(&self) -> usize {
        self.parses_completed
    }

    fn pass_body<'a>(&mut self, bytes: &'a [u8], output: &mut BytesMut) -> &'a [u8] {
        let (part, rest) = bytes.split_at(self.body_left.min(bytes.len()));
        self.body_left -= part.len();
        if self.passes {
            output.extend_from_slice(part);
        }
        rest
    }

    fn start_message(&mut self, output: &mut BytesMut) {
        const PARSE_COMPLETE: u8 = b'1';
        const ERROR_RESPONSE: u8 = b'E';
        const READY_FOR_QUERY: u8 = b'Z';
        let [message_type, length @ ..] = self.header;
        let length = usize::try_from(u32::from_be_bytes(length)).unwrap_or(usize::MAX);
        self.header_filled = 0;
        self.body_left = length.saturating_sub(HEADER_LENGTH - 1);
        self.has_error |= message_type == ERROR_RESPONSE;
        self.parses_completed += usize::from(message_type == PARSE_COMPLETE);
        self.passes = match self.mode {
            AnswerMode::Forward => message_type != READY_FOR_QUERY,
            AnswerMode::ErrorsOnly => message_type == ERROR_RESPONSE,
        };
        if self.passes {
            self.has_messages = true;
            output.extend_from_slice(&self.header);
        }
    }
}
