//! Phase 1 of a request: reading what a client sends up to the end of what is answered together.

use std::time::Duration;

use pgwire::messages::PgWireFrontendMessage;
use spurpier_core::reason::Reason;

use super::client_stream::Ended;
use super::connection::{Connection, Transaction};
use super::frame::{NextFrame, next_frame};
use super::reply::{Refusal, SqlError};

/// The type of a message of a COPY, which a client may send before it hears of the refusal.
const COPY_DATA: u8 = b'd';

/// Messages of one extended batch; each costs memory beside its bytes.
const MESSAGES_PER_BATCH: usize = 10_000;

/// What a client sends that is answered together.
#[derive(Debug)]
pub(super) enum ClientBatch {
    /// A simple query.
    Query(String),
    /// Extended messages up to a Sync, or up to a Flush.
    Extended {
        /// The messages, without the Sync or Flush.
        messages: Vec<PgWireFrontendMessage>,
        /// Whether a Sync ended them.
        has_sync: bool,
    },
    /// A message or batch over the limit; it has been skipped.
    TooLarge {
        /// Whether it is answered by a ReadyForQuery at once.
        is_query: bool,
    },
    /// The connection is to be closed with this message.
    Fatal(FatalEnd),
    /// The client said goodbye.
    Terminated,
}

/// Why the ingress side closes a connection.
#[derive(Debug)]
pub(super) enum FatalEnd {
    /// For a reason of the catalogue.
    Refusal(Refusal),
    /// For a reason that servers know too.
    Error(SqlError),
}

impl Connection {
    /// Phase 1: reads up to the end of what is answered together.
    pub(super) async fn read_batch(&mut self) -> Result<ClientBatch, Ended> {
        let limit = self.shared.context.settings.limits.statement_bytes;
        let mut messages = Vec::new();
        let mut bytes = 0;
        if self.shared.drain_over.is_cancelled() {
            return Ok(ClientBatch::Fatal(draining()));
        }
        loop {
            let before = self.client.input.len();
            let message = match next_frame(&mut self.client.input, limit) {
                NextFrame::Message(message) => message,
                NextFrame::Incomplete => {
                    let is_idle = messages.is_empty() && before == 0;
                    if let Some(end) = self.wait_for_input(is_idle).await? {
                        return Ok(ClientBatch::Fatal(end));
                    }
                    continue;
                }
                NextFrame::TooLarge {
                    message_type,
                    body_length,
                } => {
                    self.client.skip(body_length).await?;
                    if self.skips_to_sync || message_type == COPY_DATA {
                        continue;
                    }
                    let is_query = message_type == b'Q';
                    return Ok(ClientBatch::TooLarge { is_query });
                }
                NextFrame::Invalid => return Ok(protocol_violation()),
            };
            bytes += before - self.client.input.len();
            match message {
                PgWireFrontendMessage::Terminate(_) => return Ok(ClientBatch::Terminated),
                PgWireFrontendMessage::Sync(_) => {
                    self.skips_to_sync = false;
                    let has_sync = true;
                    return Ok(ClientBatch::Extended { messages, has_sync });
                }
                _ if self.skips_to_sync => bytes = 0,
                PgWireFrontendMessage::Flush(_) => {
                    let has_sync = false;
                    return Ok(ClientBatch::Extended { messages, has_sync });
                }
                PgWireFrontendMessage::Query(query) if messages.is_empty() => {
                    return Ok(ClientBatch::Query(query.query));
                }
                PgWireFrontendMessage::Query(_) => return Ok(protocol_violation()),
                // Left over from a COPY that was refused; servers ignore them as well.
                PgWireFrontendMessage::CopyData(_)
                | PgWireFrontendMessage::CopyDone(_)
                | PgWireFrontendMessage::CopyFail(_) => bytes = 0,
                message => messages.push(message),
            }
            if bytes > limit || messages.len() > MESSAGES_PER_BATCH {
                return Ok(ClientBatch::TooLarge { is_query: false });
            }
        }
    }

    /// Waits for bytes from the client; gives an end when the wait is over without any.
    async fn wait_for_input(&mut self, is_idle: bool) -> Result<Option<FatalEnd>, Ended> {
        if is_idle {
            self.client.release_buffers();
        }
        let (time_limit, timed_out) = self.idle_limit(is_idle);
        let may_leave = is_idle && matches!(self.transaction, Transaction::Idle);
        tokio::select! {
            // Bytes that have already arrived are a request in flight, which a drain lets run.
            biased;
            read = self.client.read_some() => read.map(|()| None),
            () = self.shared.draining.cancelled(), if may_leave => Ok(Some(draining())),
            () = self.shared.drain_over.cancelled() => Ok(Some(draining())),
            () = sleep_if_limited(time_limit) => Ok(Some(FatalEnd::Error(timed_out))),
        }
    }

    fn idle_limit(&self, is_idle: bool) -> (Option<Duration>, SqlError) {
        let limits = &self.shared.context.settings.limits;
        let in_transaction = !matches!(self.transaction, Transaction::Idle);
        let (milliseconds, sqlstate, message) = if !is_idle {
            let message = "the rest of a message did not arrive in time";
            (limits.slow_reader_ms, "57P05", message)
        } else if in_transaction {
            let message = "the connection was idle in a transaction for too long";
            (limits.idle_in_transaction_ms, "25P03", message)
        } else {
            let message = "the connection was idle for too long";
            (limits.idle_ms, "57P05", message)
        };
        let time_limit = (milliseconds > 0).then(|| Duration::from_millis(milliseconds));
        (time_limit, SqlError::new(sqlstate, message))
    }
}

fn protocol_violation() -> ClientBatch {
    let refusal = Refusal::new(Reason::ProtocolViolation);
    ClientBatch::Fatal(FatalEnd::Refusal(refusal))
}

fn draining() -> FatalEnd {
    FatalEnd::Refusal(Refusal::new(Reason::Draining))
}

async fn sleep_if_limited(time_limit: Option<Duration>) {
    match time_limit {
        Some(time_limit) => tokio::time::sleep(time_limit).await,
        None => std::future::pending().await,
    }
}
