//! The life of a client connection, as phases in order: read the batch, classify it, decide and
//! open a unit, relay the answer, finish.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Instant;

use error_stack::Report;
use pgwire::messages::response::TransactionStatus as ReadyStatus;
use spurpier_core::reason::Reason;
use spurpier_protocol::unit::{TransactionStatus, UnitOutput, UnitResult};

use super::Shared;
use super::answer::{AnswerMode, AnswerRelay};
use super::cancel::CancelSlot;
use super::client_stream::{ClientEnd, ClientStream, Ended};
use super::reading::{ClientBatch, FatalEnd};
use super::reply::{self, Refusal, Severity, SqlError};
use super::session::ClientSession;
use super::startup::log_end;
use super::unit::{BatchEnding, OpenUnit};

/// Whether what a client asked for has worked.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum StepOutcome {
    /// It has; the rest of the batch goes on.
    Done,
    /// The client has been given an error; the rest of the batch is skipped.
    Failed,
}

/// The transaction block of a client.
#[derive(Debug, Default)]
pub(super) enum Transaction {
    /// None is open.
    #[default]
    Idle,
    /// The client has opened one, and nothing of it has been sent yet.
    Begun {
        /// The text of its BEGIN.
        text: String,
        /// Whether it is declared read-only.
        read_only: bool,
    },
    /// It runs as this unit.
    Open(OpenUnit),
    /// It has failed and its unit is gone.
    Failed,
}

/// One client connection after its start-up.
pub(super) struct Connection {
    pub(super) shared: Arc<Shared>,
    pub(super) client: ClientStream,
    pub(super) session: ClientSession,
    pub(super) transaction: Transaction,
    pub(super) cancel_slot: Arc<CancelSlot>,
    /// An extended batch has failed: everything up to the next Sync is passed over.
    pub(super) skips_to_sync: bool,
    /// ParseComplete messages in the answers to the running batch.
    pub(super) parses_completed: usize,
}

impl Connection {
    /// A connection that has just been greeted.
    pub fn new(
        shared: Arc<Shared>,
        client: ClientStream,
        session: ClientSession,
        cancel_slot: Arc<CancelSlot>,
    ) -> Self {
        Connection {
            shared,
            client,
            session,
            transaction: Transaction::Idle,
            cancel_slot,
            skips_to_sync: false,
            parses_completed: 0,
        }
    }

    /// Serves the client until the connection ends.
    pub async fn run(mut self, peer: SocketAddr) {
        let end = match self.serve(peer).await {
            Ok(()) => ClientEnd::Closed,
            Err(report) => *report.current_context(),
        };
        self.cancel_slot.disarm();
        let was_at_work = !matches!(self.transaction, Transaction::Idle);
        log_end(peer, end, was_at_work);
        // Ends an open transaction before the last bytes are written.
        self.transaction = Transaction::Idle;
        if end == ClientEnd::Closed {
            self.client.close().await;
        }
    }

    async fn serve(&mut self, peer: SocketAddr) -> Result<(), Ended> {
        loop {
            let batch = self.read_batch().await?;
            let started = Instant::now();
            match batch {
                ClientBatch::Query(text) => self.answer_query(&text).await?,
                ClientBatch::Extended { messages, has_sync } => {
                    self.answer_extended(messages, has_sync).await?;
                    if !has_sync {
                        self.client.flush().await?;
                        continue;
                    }
                }
                ClientBatch::TooLarge { is_query } => {
                    self.refuse(&Refusal::new(Reason::TooLarge));
                    self.fail_transaction();
                    if !is_query {
                        self.skips_to_sync = true;
                        self.client.flush().await?;
                        continue;
                    }
                }
                ClientBatch::Fatal(end) => {
                    self.write_fatal(peer, &end);
                    return Ok(());
                }
                ClientBatch::Terminated => return Ok(()),
            }
            self.finish_batch(started).await?;
        }
    }

    /// Phase 4: passes the answer of the running batch on to the client as it streams in.
    pub(super) async fn relay_answer(
        &mut self,
        unit: &mut OpenUnit,
        mode: AnswerMode,
    ) -> Result<(BatchEnding, AnswerRelay), Ended> {
        let mut relay = AnswerRelay::new(mode);
        self.cancel_slot.arm(unit.handle.input.clone());
        let ending = loop {
            match self.next_output(unit).await? {
                Some(UnitOutput::Answer(bytes)) => {
                    relay.pass(&bytes, &mut self.client.output);
                    if self.client.should_flush() {
                        self.client.flush().await?;
                    }
                }
                Some(UnitOutput::BatchEnd(status)) => break BatchEnding::Answered(status),
                Some(UnitOutput::Finished(result)) => break BatchEnding::Finished(result),
                None => break BatchEnding::Lost,
            }
        };
        self.cancel_slot.disarm();
        if relay.is_at_boundary() {
            return Ok((ending, relay));
        }
        // Nothing can be said to the client in the middle of a message.
        Err(Report::new(ClientEnd::Vanished))
    }

    /// Waits for how a unit ended, after its last batch was answered; none when the home is lost.
    pub(super) async fn await_result(
        &mut self,
        unit: &mut OpenUnit,
    ) -> Result<Option<UnitResult>, Ended> {
        loop {
            match self.next_output(unit).await? {
                Some(UnitOutput::Finished(result)) => return Ok(Some(result)),
                Some(UnitOutput::Answer(_) | UnitOutput::BatchEnd(_)) => {}
                None => return Ok(None),
            }
        }
    }

    /// The next message of the unit, while watching that the client is still there.
    async fn next_output(&mut self, unit: &mut OpenUnit) -> Result<Option<UnitOutput>, Ended> {
        loop {
            let can_read = self.client.has_room_to_read_ahead();
            tokio::select! {
                biased;
                output = unit.handle.output.recv() => return Ok(output),
                read = self.client.read_some(), if can_read => read?,
                // The home is told to stop, and what it has done is told to the client.
                () = self.shared.drain_over.cancelled() => return Ok(None),
            }
        }
    }

    /// Phase 5: raises the session's floor, or tells the client how the unit failed.
    pub(super) fn finish_unit(
        &mut self,
        unit: &mut OpenUnit,
        result: Option<UnitResult>,
        reason_if_lost: Reason,
    ) -> StepOutcome {
        unit.has_ended = result.is_some();
        let refusal = match result {
            Some(UnitResult::Completed {
                floor,
                served_by,
                repeated,
            }) => {
                let counters = &self.shared.context.counters;
                counters.count_completed(unit.is_read(), served_by, repeated);
                if self.session.raise_floor(&unit.group, floor) {
                    self.report_position();
                }
                return StepOutcome::Done;
            }
            Some(UnitResult::NotRun {
                reason,
                retry_after_ms,
            }) => Refusal {
                retry_after_ms,
                ..Refusal::new(reason)
            },
            Some(UnitResult::Done { reason } | UnitResult::Unknown { reason }) => {
                Refusal::new(reason)
            }
            None => Refusal::new(reason_if_lost),
        };
        self.refuse(&refusal);
        StepOutcome::Failed
    }

    /// Phase 6: the ReadyForQuery.
    async fn finish_batch(&mut self, started: Instant) -> Result<(), Ended> {
        let status = self.ready_status();
        reply::append_ready(&mut self.client.output, status);
        self.client.flush().await?;
        let counters = &self.shared.context.counters;
        counters.count_batch(started.elapsed());
        Ok(())
    }

    fn ready_status(&self) -> ReadyStatus {
        match &self.transaction {
            Transaction::Idle => ReadyStatus::Idle,
            Transaction::Begun { .. } => ReadyStatus::Transaction,
            Transaction::Failed => ReadyStatus::Error,
            Transaction::Open(unit) if unit.status == TransactionStatus::Failed => {
                ReadyStatus::Error
            }
            Transaction::Open(_) => ReadyStatus::Transaction,
        }
    }

    /// Tells the client its position.
    pub(super) fn report_position(&mut self) {
        let position = self.session.position();
        reply::append_parameter(&mut self.client.output, "spurpier.position", &position);
    }

    /// Gives the client the error of a refusal.
    pub(super) fn refuse(&mut self, refusal: &Refusal) -> StepOutcome {
        let counters = &self.shared.context.counters;
        counters.count_refusal(refusal.reason);
        reply::append_refusal(&mut self.client.output, Severity::Error, refusal);
        StepOutcome::Failed
    }

    /// Gives the client an error such as a server gives.
    pub(super) fn give_error(&mut self, error: &SqlError) -> StepOutcome {
        reply::append_error(&mut self.client.output, Severity::Error, error);
        StepOutcome::Failed
    }

    /// The proxy itself has failed a statement: an open transaction block fails with it.
    pub(super) fn fail_transaction(&mut self) {
        if !matches!(self.transaction, Transaction::Idle) {
            // Dropping the unit abandons it.
            self.transaction = Transaction::Failed;
            self.session.settings.rollback();
        }
    }

    fn write_fatal(&mut self, peer: SocketAddr, end: &FatalEnd) {
        let output = &mut self.client.output;
        match end {
            FatalEnd::Refusal(refusal) => {
                self.shared.context.counters.count_refusal(refusal.reason);
                if refusal.reason == Reason::ProtocolViolation {
                    super::startup::log_violation(peer);
                }
                reply::append_refusal(output, Severity::Fatal, refusal);
            }
            FatalEnd::Error(error) => reply::append_error(output, Severity::Fatal, error),
        }
    }
}
