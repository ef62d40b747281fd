//! Running a statement: a command that stands alone, or work for a back end.

use spurpier_core::reason::Reason;
use spurpier_core::statement::StatementClass;
use spurpier_protocol::unit::{BatchEffect, UnitKind};

use super::block::{BlockEnd, worse};
use super::client_stream::Ended;
use super::connection::{Connection, StepOutcome, Transaction};
use super::reply::Refusal;
use super::unit::{BatchEnding, open_unit, reason_of_loss};
use super::work::{RequestNotes, Work};

impl Connection {
    /// Runs a statement that stands alone.
    pub(super) async fn run_command(
        &mut self,
        class: &StatementClass,
        text: &str,
        notes: &RequestNotes,
    ) -> Result<StepOutcome, Ended> {
        let outcome = match class {
            StatementClass::Commit => return self.end_block(BlockEnd::Commit).await,
            StatementClass::Rollback => return self.end_block(BlockEnd::Rollback).await,
            StatementClass::RollbackToSavepoint(name) => {
                return self.roll_back_to_savepoint(name, text, notes).await;
            }
            _ if self.has_failed_block() => self.give_failed_block(),
            StatementClass::Begin { read_only } => self.begin(text, *read_only),
            StatementClass::Savepoint(_) | StatementClass::ReleaseSavepoint(_) => {
                return self.run_savepoint(class, text, notes).await;
            }
            StatementClass::Setting(change) => self.change_setting(change.clone(), notes).await?,
            StatementClass::Local(command) => self.run_local(command),
            StatementClass::Unsupported(what) => {
                let refusal = Refusal::with_detail(Reason::Unsupported, *what);
                self.refuse(&refusal)
            }
            StatementClass::Read | StatementClass::Write => {
                let writes = *class == StatementClass::Write;
                return self
                    .run_work(Work::query(text, writes, notes.clone()))
                    .await;
            }
        };
        if outcome == StepOutcome::Failed {
            self.fail_block();
        }
        Ok(outcome)
    }

    /// Runs work: as a unit of its own, or in the open transaction block.
    pub(super) async fn run_work(&mut self, work: Work) -> Result<StepOutcome, Ended> {
        match self.transaction {
            Transaction::Idle => self.run_autocommit(work).await,
            _ if self.has_failed_block() => Ok(self.give_failed_block()),
            _ => self.run_in_block(work).await,
        }
    }

    /// Phases 3 to 5 for a batch outside a transaction block.
    async fn run_autocommit(&mut self, work: Work) -> Result<StepOutcome, Ended> {
        let (kind, effect) = match work.writes {
            true => (UnitKind::Write, BatchEffect::Write),
            false => (UnitKind::Read, BatchEffect::Read),
        };
        let (notes, mode) = (work.notes.clone(), work.mode);
        let batch = work.into_batch(effect);
        let opened = open_unit(&self.shared, &mut self.session, kind, &notes, batch);
        let mut unit = match opened {
            Ok(unit) => unit,
            Err(refusal) => return Ok(self.refuse(&refusal)),
        };
        let (ending, relay) = self.relay_answer(&mut unit, mode).await?;
        let result = match ending {
            BatchEnding::Answered(_) => self.await_result(&mut unit).await?,
            BatchEnding::Finished(result) => Some(result),
            BatchEnding::Lost => None,
        };
        let outcome = self.finish_unit(&mut unit, result, reason_of_loss(kind, effect));
        self.note_parses(&relay);
        Ok(worse(outcome, &relay))
    }
}
