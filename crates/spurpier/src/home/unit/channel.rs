//! The home's end of an open unit.

use std::time::Duration;

use spurpier_core::reason::Reason;
use spurpier_protocol::unit::{Batch, TransactionStatus, UnitInput, UnitOutput, UnitResult};
use tokio::sync::mpsc;
use tokio::task::JoinHandle;

use super::context::Refusal;
use crate::home::backend::CancelKey;

/// Bytes of an answer that are gathered before they are passed on.
const CHUNK_BYTES: usize = 16 * 1024;
/// How long a cancel request may take before its connection is given up.
const CANCEL_TIMEOUT: Duration = Duration::from_secs(2);

/// What the ingress side asks within an open unit.
#[derive(Debug)]
pub(super) enum ClientInput {
    /// The next batch.
    Batch(Batch),
    /// Cancel the running batch.
    Cancel,
    /// Nobody waits for the unit any more.
    Gone,
}

/// Both channels of a unit, as the home holds them.
#[derive(Debug)]
pub(super) struct UnitChannel {
    input: mpsc::Receiver<UnitInput>,
    output: mpsc::Sender<UnitOutput>,
    chunk: Vec<u8>,
    gone: bool,
    released: bool,
    pending_cancel: Option<JoinHandle<()>>,
}

impl UnitChannel {
    pub(super) fn new(input: mpsc::Receiver<UnitInput>, output: mpsc::Sender<UnitOutput>) -> Self {
        UnitChannel {
            input,
            output,
            chunk: Vec::new(),
            gone: false,
            released: false,
            pending_cancel: None,
        }
    }

    /// Whether nobody waits for the unit any more.
    pub(super) fn is_gone(&self) -> bool {
        self.gone
    }

    /// Whether a part of an answer has been passed on for the present batch.
    pub(super) fn has_released(&self) -> bool {
        self.released
    }

    /// The next input; never returns again once the client is gone.
    pub(super) async fn next_input(&mut self) -> ClientInput {
        if self.gone {
            std::future::pending::<()>().await;
        }
        match self.input.recv().await {
            Some(UnitInput::Batch(batch)) => ClientInput::Batch(batch),
            Some(UnitInput::Cancel) => ClientInput::Cancel,
            Some(UnitInput::Abandon) | None => {
                self.gone = true;
                ClientInput::Gone
            }
        }
    }

    /// Does work before anything has been sent, unless the client cancels the unit or vanishes.
    pub(super) async fn unless_cancelled<T>(
        &mut self,
        work: impl Future<Output = Result<T, Refusal>>,
    ) -> Result<T, Refusal> {
        tokio::select! {
            result = work => result,
            input = self.next_input() => {
                drop(input);
                Err(Refusal::new(Reason::Cancelled))
            }
        }
    }

    /// Adds a part of the answer; it is passed on by [`Self::flush`].
    pub(super) fn push(&mut self, bytes: &[u8]) {
        self.released = true;
        self.chunk.extend_from_slice(bytes);
    }

    /// Whether enough was gathered to be passed on.
    pub(super) fn is_chunk_full(&self) -> bool {
        self.chunk.len() >= CHUNK_BYTES
    }

    /// Passes on what was gathered; waits while the client does not take its answer.
    pub(super) async fn flush(&mut self) {
        if self.chunk.is_empty() {
            return;
        }
        let chunk = std::mem::take(&mut self.chunk);
        self.send(UnitOutput::Answer(chunk)).await;
    }

    /// Tells that the batch is answered whole.
    pub(super) async fn end_batch(&mut self, status: TransactionStatus) {
        self.flush().await;
        self.released = false;
        self.send(UnitOutput::BatchEnd(status)).await;
    }

    /// Ends the unit.
    pub(super) async fn finish(mut self, result: UnitResult) {
        self.flush().await;
        self.send(UnitOutput::Finished(result)).await;
    }

    async fn send(&mut self, output: UnitOutput) {
        if self.output.send(output).await.is_err() {
            self.gone = true;
        }
    }

    /// Sends a cancel request for the connection that runs the unit's batch.
    pub(super) fn cancel(&mut self, key: CancelKey) {
        if self.pending_cancel.is_some() {
            return;
        }
        self.pending_cancel = Some(tokio::spawn(async move {
            // A lost cancel request leaves the statement running, as PostgreSQL's own may.
            let _ = key.cancel().await;
        }));
    }

    /// Waits until the server has taken a cancel request that was sent; false if that is not
    /// certain, and then it might reach the connection's next statement.
    pub(super) async fn settle_cancel(&mut self) -> bool {
        let Some(pending) = self.pending_cancel.take() else {
            return true;
        };
        let ended = tokio::time::timeout(CANCEL_TIMEOUT, pending).await;
        matches!(ended, Ok(Ok(())))
    }
}
