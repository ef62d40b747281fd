//! Transaction blocks: a unit is held from a block's first statement to its end.

use spurpier_core::reason::Reason;
use spurpier_core::statement::StatementClass;
use spurpier_protocol::unit::{BatchEffect, TransactionStatus, UnitInput, UnitKind, UnitResult};

use super::answer::{AnswerMode, AnswerRelay};
use super::client_stream::Ended;
use super::connection::{Connection, StepOutcome, Transaction};
use super::reply::{self, Refusal, SqlError};
use super::unit::{BatchEnding, OpenUnit, open_unit, reason_of_loss};
use super::work::{RequestNotes, Work, query_batch};

/// Savepoints that one block may hold.
const SAVEPOINTS_PER_BLOCK: usize = 1_024;

/// How a block is ended by the client's COMMIT or ROLLBACK.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum BlockEnd {
    Commit,
    Rollback,
}

impl BlockEnd {
    const fn keyword(self) -> &'static str {
        match self {
            BlockEnd::Commit => "COMMIT",
            BlockEnd::Rollback => "ROLLBACK",
        }
    }

    const fn effect(self) -> BatchEffect {
        match self {
            BlockEnd::Commit => BatchEffect::Commit,
            BlockEnd::Rollback => BatchEffect::Rollback,
        }
    }
}

impl Connection {
    /// Phases 3 to 5 for a batch inside a transaction block.
    pub(super) async fn run_in_block(&mut self, work: Work) -> Result<StepOutcome, Ended> {
        let Some(unit) = self.ensure_unit(&work.notes).await? else {
            self.fail_block();
            return Ok(StepOutcome::Failed);
        };
        if !unit.is_read() && self.has_late_key(&unit, &work.notes) {
            let detail = "the request key must be known at the transaction's first statement";
            let outcome = self.refuse(&Refusal::with_detail(Reason::Unsupported, detail));
            self.transaction = Transaction::Open(unit);
            self.fail_block();
            return Ok(outcome);
        }
        let effect = match work.writes && !unit.is_read() {
            true => BatchEffect::Write,
            false => BatchEffect::Read,
        };
        let mode = work.mode;
        let input = UnitInput::Batch(work.into_batch(effect));
        self.run_unit_batch(unit, input, effect, mode).await
    }

    /// Whether the work names a key other than the one that its block was opened with.
    fn has_late_key(&self, unit: &OpenUnit, notes: &RequestNotes) -> bool {
        let opened_with = unit.request_key.as_ref().map(|key| key.as_str());
        notes.request_key.is_some() && notes.request_key.as_deref() != opened_with
    }

    /// The unit of the open block, taken out of it; opened now when nothing has been sent yet.
    /// None when it could not be opened; the client has been told.
    async fn ensure_unit(&mut self, notes: &RequestNotes) -> Result<Option<OpenUnit>, Ended> {
        let (text, read_only) = match std::mem::take(&mut self.transaction) {
            Transaction::Open(unit) => return Ok(Some(unit)),
            Transaction::Begun { text, read_only } => (text, read_only),
            other => {
                self.transaction = other;
                return Ok(None);
            }
        };
        // The block stays open for the client whatever becomes of the unit.
        self.transaction = Transaction::Failed;
        let kind = match read_only {
            true => UnitKind::ReadTransaction,
            false => UnitKind::WriteTransaction,
        };
        let first = query_batch(BatchEffect::Begin, &text);
        let opened = open_unit(&self.shared, &mut self.session, kind, notes, first);
        let mut unit = match opened {
            Ok(unit) => unit,
            Err(refusal) => {
                self.refuse(&refusal);
                return Ok(None);
            }
        };
        let (ending, relay) = self.relay_answer(&mut unit, AnswerMode::ErrorsOnly).await?;
        let result = match ending {
            BatchEnding::Answered(TransactionStatus::Open) if !relay.has_error() => {
                unit.status = TransactionStatus::Open;
                return Ok(Some(unit));
            }
            // The error of the BEGIN itself has gone to the client.
            _ if relay.has_error() => return Ok(None),
            BatchEnding::Answered(_) | BatchEnding::Lost => None,
            BatchEnding::Finished(result) => Some(result),
        };
        self.finish_unit(&mut unit, result, reason_of_loss(kind, BatchEffect::Begin));
        Ok(None)
    }

    /// Sends a batch within a unit and puts the unit back if the block goes on.
    async fn run_unit_batch(
        &mut self,
        mut unit: OpenUnit,
        input: UnitInput,
        effect: BatchEffect,
        mode: AnswerMode,
    ) -> Result<StepOutcome, Ended> {
        let ends_block = matches!(effect, BatchEffect::Commit | BatchEffect::Rollback);
        self.transaction = match ends_block {
            true => Transaction::Idle,
            false => Transaction::Failed,
        };
        if unit.handle.input.send(input).await.is_err() {
            return self.lose_unsent(unit).await;
        }
        let (ending, relay) = self.relay_answer(&mut unit, mode).await?;
        self.note_parses(&relay);
        let result = match ending {
            BatchEnding::Answered(TransactionStatus::Idle) => {
                self.transaction = Transaction::Idle;
                if !ends_block {
                    self.session.settings.rollback();
                }
                self.await_result(&mut unit).await?
            }
            BatchEnding::Answered(status) => {
                unit.status = status;
                self.transaction = Transaction::Open(unit);
                let has_failed = status == TransactionStatus::Failed || relay.has_error();
                return Ok(match has_failed {
                    true => StepOutcome::Failed,
                    false => StepOutcome::Done,
                });
            }
            BatchEnding::Finished(result) => Some(result),
            BatchEnding::Lost => None,
        };
        let is_rolled_back = effect == BatchEffect::Rollback && !is_completed(result.as_ref());
        if is_rolled_back && !relay.has_messages() {
            // Whatever became of the unit, it was not committed: that is what was asked for.
            unit.has_ended = result.is_some();
            reply::append_command_complete(&mut self.client.output, "ROLLBACK");
            return Ok(StepOutcome::Done);
        }
        let reason_if_lost = reason_of_loss(unit.kind, effect);
        let outcome = self.finish_unit(&mut unit, result, reason_if_lost);
        Ok(worse(outcome, &relay))
    }

    /// The home was gone before the batch was sent: the block has not been committed, but the
    /// home may still have said why.
    async fn lose_unsent(&mut self, mut unit: OpenUnit) -> Result<StepOutcome, Ended> {
        let result = self.await_result(&mut unit).await?;
        let result = result.filter(|result| !is_completed(Some(result)));
        Ok(self.finish_unit(&mut unit, result, Reason::TransactionLost))
    }

    pub(super) fn begin(&mut self, text: &str, read_only: bool) -> StepOutcome {
        let output = &mut self.client.output;
        if matches!(self.transaction, Transaction::Idle) {
            self.transaction = Transaction::Begun {
                text: text.to_owned(),
                read_only,
            };
        } else {
            let message = "there is already a transaction in progress";
            reply::append_warning(output, "25001", message);
        }
        reply::append_command_complete(output, "BEGIN");
        StepOutcome::Done
    }

    pub(super) async fn end_block(&mut self, end: BlockEnd) -> Result<StepOutcome, Ended> {
        // A failed block can only be rolled back, and a COMMIT of it is answered so.
        let end = match self.has_failed_block() {
            true => BlockEnd::Rollback,
            false => end,
        };
        self.session.portals.clear();
        let outcome = match std::mem::take(&mut self.transaction) {
            Transaction::Open(unit) => {
                let input = UnitInput::Batch(query_batch(end.effect(), end.keyword()));
                let mode = AnswerMode::Forward;
                self.run_unit_batch(unit, input, end.effect(), mode).await?
            }
            Transaction::Idle => {
                let message = "there is no transaction in progress";
                reply::append_warning(&mut self.client.output, "25P01", message);
                reply::append_command_complete(&mut self.client.output, end.keyword());
                StepOutcome::Done
            }
            Transaction::Begun { .. } | Transaction::Failed => {
                reply::append_command_complete(&mut self.client.output, end.keyword());
                StepOutcome::Done
            }
        };
        if end == BlockEnd::Commit && outcome == StepOutcome::Done {
            self.session.settings.commit();
        } else {
            self.session.settings.rollback();
        }
        Ok(outcome)
    }

    pub(super) async fn run_savepoint(
        &mut self,
        class: &StatementClass,
        text: &str,
        notes: &RequestNotes,
    ) -> Result<StepOutcome, Ended> {
        if matches!(self.transaction, Transaction::Idle) {
            let message = "savepoints can only be used in transaction blocks";
            return Ok(self.give_error(&SqlError::new("25P01", message)));
        }
        if self.session.settings.savepoint_count() >= SAVEPOINTS_PER_BLOCK {
            let message = "too many savepoints in this transaction block";
            let outcome = self.give_error(&SqlError::new("53400", message));
            self.fail_block();
            return Ok(outcome);
        }
        // Counted as a write, so that the home's checks come before the savepoint: rolling back
        // to it must not undo them.
        let work = Work::query(text, true, notes.clone());
        let outcome = self.run_in_block(work).await?;
        if outcome == StepOutcome::Done {
            match class {
                StatementClass::Savepoint(name) => self.session.settings.add_savepoint(name),
                StatementClass::ReleaseSavepoint(name) => {
                    self.session.settings.release_savepoint(name);
                }
                _ => {}
            }
        }
        Ok(outcome)
    }

    pub(super) async fn roll_back_to_savepoint(
        &mut self,
        name: &str,
        text: &str,
        notes: &RequestNotes,
    ) -> Result<StepOutcome, Ended> {
        let outcome = match &self.transaction {
            Transaction::Idle => {
                let message = "savepoints can only be used in transaction blocks";
                return Ok(self.give_error(&SqlError::new("25P01", message)));
            }
            Transaction::Failed => return Ok(self.give_failed_block()),
            _ => {
                let work = Work::query(text, false, notes.clone());
                self.run_in_block(work).await?
            }
        };
        if outcome == StepOutcome::Done {
            self.session.settings.rollback_to_savepoint(name);
        }
        Ok(outcome)
    }

    pub(super) fn has_failed_block(&self) -> bool {
        match &self.transaction {
            Transaction::Failed => true,
            Transaction::Open(unit) => unit.status == TransactionStatus::Failed,
            Transaction::Idle | Transaction::Begun { .. } => false,
        }
    }

    pub(super) fn give_failed_block(&mut self) -> StepOutcome {
        let message =
            "current transaction is aborted, commands ignored until end of transaction block";
        self.give_error(&SqlError::new("25P02", message))
    }

    /// The proxy itself has refused a statement: an open block fails with it. A block that has
    /// failed at its server stays there, since its savepoints can still be used.
    pub(super) fn fail_block(&mut self) {
        if !self.has_failed_block() {
            self.fail_transaction();
        }
    }
}

fn is_completed(result: Option<&UnitResult>) -> bool {
    matches!(result, Some(UnitResult::Completed { .. }))
}

/// A step has failed when the proxy or the server has given an error.
pub(super) fn worse(outcome: StepOutcome, relay: &AnswerRelay) -> StepOutcome {
    match relay.has_error() {
        true => StepOutcome::Failed,
        false => outcome,
    }
}
