//! A piece of a client's request that goes to a back end as one batch.

use bytes::BytesMut;
use pgwire::messages::PgWireFrontendMessage;
use pgwire::messages::simplequery::Query;
use spurpier_protocol::unit::{Batch, BatchEffect, PreparedStatement};

use super::answer::AnswerMode;

/// What the client says of a request beside its statements.
#[derive(Debug, Clone, Default)]
pub(super) struct RequestNotes {
    /// The key given in a comment.
    pub request_key: Option<String>,
    /// The class given in a comment.
    pub class: Option<String>,
    /// The digest of statements and parameters.
    pub digest: u64,
}

/// Statements that go to a back end together.
#[derive(Debug)]
pub(super) struct Work {
    /// Whether any of them writes, or may write.
    pub writes: bool,
    /// Prepared statements that the back end must know.
    pub prepared: Vec<PreparedStatement>,
    /// The encoded messages.
    pub messages: Vec<u8>,
    /// What the client says of the request.
    pub notes: RequestNotes,
    /// Which part of the answer goes to the client.
    pub mode: AnswerMode,
}

impl Work {
    /// Work that is one simple query, of which the client gets the whole answer.
    pub fn query(text: &str, writes: bool, notes: RequestNotes) -> Self {
        Work {
            writes,
            prepared: Vec::new(),
            messages: encode_query(text),
            notes,
            mode: AnswerMode::Forward,
        }
    }

    /// The batch for the home side.
    pub fn into_batch(self, effect: BatchEffect) -> Batch {
        Batch {
            effect,
            prepared: self.prepared,
            messages: self.messages,
        }
    }
}

/// A batch that is one simple query.
pub(super) fn query_batch(effect: BatchEffect, text: &str) -> Batch {
    Batch {
        effect,
        prepared: Vec::new(),
        messages: encode_query(text),
    }
}

fn encode_query(text: &str) -> Vec<u8> {
    let message = PgWireFrontendMessage::Query(Query::new(text.to_owned()));
    let mut bytes = BytesMut::with_capacity(text.len() + 6);
    encode(&mut bytes, &message);
    bytes.to_vec()
}

/// Appends a front-end message. Only messages over the protocol's own limit cannot be encoded;
/// what a client may send is far below it.
pub(super) fn encode(bytes: &mut BytesMut, message: &PgWireFrontendMessage) {
    let length = bytes.len();
    if message.encode(bytes).is_err() {
        bytes.truncate(length);
    }
}
