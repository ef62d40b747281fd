//! The exchange of messages with a server while a unit runs on it.

use std::future::Future;
use std::pin::Pin;
use std::sync::Arc;
use std::time::Duration;

use error_stack::Report;
use spurpier_protocol::unit::TransactionStatus;

use super::channel::{ClientInput, UnitChannel};
use super::parses::QueuedParses;
use super::sink::AnswerSink;
use crate::home::backend::{
    BackEndConnection, ConnectionBroken, Frame, FrameKind, QueryAnswer, ServerError, note_error,
};
use crate::home::group::GroupWatcher;

/// How long a server may leave probes unanswered before its connections are given up.
const SILENCE_LIMIT: Duration = Duration::from_secs(1);
/// How often a silent server is looked at.
const SILENCE_CHECK: Duration = Duration::from_millis(100);

/// What happens to a running batch when its client vanishes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum WhenGone {
    /// It is cancelled and its connection closed.
    Cancel,
    /// It runs to its end, since a commit may already be under way.
    RunOn,
}

/// How a batch was answered.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct BatchEnd {
    /// The state of the transaction block.
    pub(super) status: TransactionStatus,
    /// The first error.
    pub(super) error: Option<ServerError>,
}

/// One exchange: a connection, the unit's channel, and a watch on the server.
pub(super) struct Exchange<'a> {
    pub(super) connection: &'a mut BackEndConnection,
    pub(super) channel: &'a mut UnitChannel,
    lost: Pin<Box<dyn Future<Output = ()> + Send>>,
    when_gone: WhenGone,
}

impl<'a> Exchange<'a> {
    /// An exchange with server `index` of the watcher's group.
    pub(super) fn new(
        connection: &'a mut BackEndConnection,
        channel: &'a mut UnitChannel,
        watcher: &Arc<GroupWatcher>,
        index: usize,
        when_gone: WhenGone,
    ) -> Self {
        Exchange {
            connection,
            channel,
            lost: Box::pin(server_lost(Arc::clone(watcher), index)),
            when_gone,
        }
    }

    /// The next message; carries out cancel requests meanwhile.
    async fn next(&mut self) -> Result<Frame, Report<ConnectionBroken>> {
        loop {
            tokio::select! {
                biased;
                frame = self.connection.next() => return frame,
                input = self.channel.next_input() => self.take_input(input)?,
                () = &mut self.lost => {
                    return Err(Report::new(ConnectionBroken).attach("the server is silent"));
                }
            }
        }
    }

    fn take_input(&mut self, input: ClientInput) -> Result<(), Report<ConnectionBroken>> {
        match input {
            ClientInput::Cancel => self.channel.cancel(self.connection.cancel_key()),
            ClientInput::Gone if self.when_gone == WhenGone::Cancel => {
                self.channel.cancel(self.connection.cancel_key());
                return Err(Report::new(ConnectionBroken).attach("the client has vanished"));
            }
            ClientInput::Gone => {}
            // The ingress side sends a batch only after the last one was answered whole.
            ClientInput::Batch(_) => {
                return Err(Report::new(ConnectionBroken).attach("a batch came too early"));
            }
        }
        Ok(())
    }

    /// Reads an answer of the home's own.
    pub(super) async fn own_answer(&mut self) -> Result<QueryAnswer, Report<ConnectionBroken>> {
        let mut answer = QueryAnswer::empty();
        loop {
            let frame = self.next().await?;
            if answer.take(&frame)? {
                return Ok(answer);
            }
        }
    }

    /// Passes a batch's answer to `sink`, but for the answers to the home's own Parse messages,
    /// and takes note of the statements that the connection knows now.
    pub(super) async fn batch_answer(
        &mut self,
        sink: &mut AnswerSink,
        parses: &mut QueuedParses,
    ) -> Result<BatchEnd, Report<ConnectionBroken>> {
        let mut error = None;
        loop {
            let frame = self.next().await?;
            match frame.kind() {
                FrameKind::ReadyForQuery => {
                    let status = self.connection.status();
                    return Ok(BatchEnd { status, error });
                }
                FrameKind::ParseComplete => {
                    let parse = parses.next();
                    let is_own = parse.as_ref().is_some_and(|parse| parse.is_own);
                    let name = parse.and_then(|parse| parse.name);
                    self.connection.prepared.extend(name);
                    if is_own {
                        continue;
                    }
                }
                // Copying would need messages that a unit cannot carry.
                FrameKind::Copy => return Err(Report::new(ConnectionBroken)),
                FrameKind::Error => note_error(&frame, &mut error)?,
                _ => {}
            }
            sink.take(&frame, self.channel);
            if self.channel.is_chunk_full() || !self.connection.has_buffered_frame() {
                self.channel.flush().await;
            }
        }
    }
}

/// Ends once a server has been silent for long, or is silent and another primary stands in for
/// it: nothing more is expected of its connections.
async fn server_lost(watcher: Arc<GroupWatcher>, index: usize) {
    loop {
        let silence = watcher.unreachable_for(index);
        let view = watcher.view();
        let replaced = view.primary().is_some_and(|primary| primary != index);
        let was_primary = view.servers.get(index).is_some_and(|server| {
            let observed = server.observed.as_ref();
            observed.is_some_and(|observed| {
                observed.status.role == spurpier_core::group::ServerRole::Primary
            })
        });
        if silence > SILENCE_LIMIT || (!silence.is_zero() && replaced && was_primary) {
            return;
        }
        tokio::time::sleep(SILENCE_CHECK).await;
    }
}
