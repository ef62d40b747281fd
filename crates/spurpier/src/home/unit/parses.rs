//! The prepared statements of a batch, on a connection that may know some of them already.
//!
//! A statement's name at the back end is made of its text, so that sessions share it. A client's
//! own Parse of a statement that the connection knows would be an error there; it is sent for the
//! unnamed statement instead, which nothing else uses, and answered as the client expects.

use std::borrow::Cow;
use std::collections::VecDeque;

use spurpier_protocol::unit::Batch;

use crate::home::backend::{BackEndConnection, encode_parse};

/// The type byte of a Parse message.
const PARSE: u8 = b'P';
/// The type byte and the length of a message.
const HEADER_BYTES: usize = 5;

/// One Parse that is under way.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct QueuedParse {
    /// The statement that the connection knows once the Parse is complete; none when it knew it.
    pub(super) name: Option<String>,
    /// Whether the home has added it; the client does not see its answer.
    pub(super) is_own: bool,
}

/// The Parse messages of a queued batch, in the order of their answers.
#[derive(Debug, Default)]
pub(super) struct QueuedParses {
    queued: VecDeque<QueuedParse>,
}

impl QueuedParses {
    /// The Parse that the next ParseComplete answers.
    pub(super) fn next(&mut self) -> Option<QueuedParse> {
        self.queued.pop_front()
    }

    fn add(&mut self, name: &str, is_own: bool) {
        self.queued.push_back(QueuedParse {
            name: Some(name.to_owned()),
            is_own,
        });
    }

    fn will_know(&self, connection: &BackEndConnection, name: &str) -> bool {
        let is_queued = |parse: &QueuedParse| parse.name.as_deref() == Some(name);
        connection.prepared.contains(name) || self.queued.iter().any(is_queued)
    }
}

/// Queues a batch behind the messages that prepare its statements where they are missing.
pub(super) fn queue_batch(connection: &mut BackEndConnection, batch: &Batch) -> QueuedParses {
    let mut parses = QueuedParses::default();
    for statement in &batch.prepared {
        if !parses.will_know(connection, &statement.name) {
            connection.queue_prefix(&encode_parse(statement));
            parses.add(&statement.name, true);
        }
    }
    let messages = rewrite_known_parses(connection, &batch.messages, &mut parses);
    connection.queue(&messages);
    parses
}

/// Gives the messages with each Parse of a known statement turned to the unnamed one.
fn rewrite_known_parses<'messages>(
    connection: &BackEndConnection,
    messages: &'messages [u8],
    parses: &mut QueuedParses,
) -> Cow<'messages, [u8]> {
    let mut rewritten = Vec::new();
    // Up to here the messages stand in `rewritten`.
    let mut copied = 0;
    let mut start = 0;
    while let Some(message) = message_at(messages, start) {
        if let Some(name) = parsed_name(message) {
            if parses.will_know(connection, name) {
                rewritten.extend_from_slice(&messages[copied..start]);
                append_unnamed(&mut rewritten, message, name.len());
                copied = start + message.len();
                parses.queued.push_back(QueuedParse {
                    name: None,
                    is_own: false,
                });
            } else {
                parses.add(name, false);
            }
        }
        start += message.len();
    }
    if copied == 0 {
        return Cow::Borrowed(messages);
    }
    rewritten.extend_from_slice(&messages[copied..]);
    Cow::Owned(rewritten)
}

/// The whole message that starts at `start`, with its header; none at the end.
fn message_at(messages: &[u8], start: usize) -> Option<&[u8]> {
    let rest = messages.get(start..)?;
    let length: [u8; 4] = rest.get(1..HEADER_BYTES)?.try_into().ok()?;
    // The length counts itself, and not the type byte.
    let total = usize::try_from(u32::from_be_bytes(length)).ok()? + 1;
    let message = rest.get(..total)?;
    (total >= HEADER_BYTES).then_some(message)
}

/// The statement's name in a Parse message; none for other messages.
fn parsed_name(message: &[u8]) -> Option<&str> {
    let body = message.get(HEADER_BYTES..)?;
    let name = body.split(|byte| *byte == 0).next()?;
    let name = std::str::from_utf8(name).ok()?;
    (message[0] == PARSE).then_some(name)
}

/// Appends a Parse message without its name.
fn append_unnamed(output: &mut Vec<u8>, message: &[u8], name_length: usize) {
    let after_name = &message[HEADER_BYTES + name_length..];
    let length = message.len() - 1 - name_length;
    output.push(PARSE);
    // It is shorter than a message whose length was such a number.
    output.extend_from_slice(&u32::try_from(length).unwrap_or(u32::MAX).to_be_bytes());
    output.extend_from_slice(after_name);
}
