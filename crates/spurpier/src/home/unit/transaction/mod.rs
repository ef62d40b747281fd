//! Transaction units: a transaction block that the client drives, on one connection.

mod batch;

use spurpier_core::commit::{CommitAction, CommitEvent, CommitMachine, CommitOutcome, WriteKind};
use spurpier_core::group::{ServerRole, ServerStatus};
use spurpier_core::position::Position;
use spurpier_core::reason::Reason;
use spurpier_core::routing::ReadDemand;
use spurpier_protocol::unit::{Batch, ServedBy, TransactionStatus, UnitKind, UnitResult};

use self::batch::{BatchAnswer, Ending};
use super::channel::{ClientInput, UnitChannel};
use super::commit_answers::{COMMIT_TAG, CommitAnswers};
use super::context::{Place, Refusal, UnitContext};
use super::prepare::{return_lease, roll_back};
use super::settle::settle;
use super::sink::AnswerSink;
use crate::home::counters::HomeCounters;

/// A transaction under way.
struct Transaction<'a> {
    context: &'a UnitContext,
    channel: &'a mut UnitChannel,
    machine: CommitMachine,
    sink: AnswerSink,
    /// Whether the fence has been checked, and the key inserted.
    guarded: bool,
    /// The position of the connection's last commit before this transaction.
    known_commit: Position,
}

/// Runs a transaction unit from its first batch to its end.
pub(super) async fn run(
    context: &UnitContext,
    first: Batch,
    channel: &mut UnitChannel,
) -> UnitResult {
    let kind = match context.request.request_key {
        Some(_) => WriteKind::KeyedTransaction,
        None => WriteKind::Transaction,
    };
    let transaction = Transaction {
        context,
        channel,
        machine: context.commit_machine(kind),
        sink: AnswerSink::streaming(),
        guarded: false,
        known_commit: Position::ZERO,
    };
    match transaction.run(first).await {
        Ok(result) | Err(result) => result,
    }
}

impl Transaction<'_> {
    /// Runs all batches; both results end the unit.
    async fn run(mut self, first: Batch) -> Result<UnitResult, UnitResult> {
        let demand = self.demand().await?;
        let (mut place, mut answer) = self.open(&demand, &first).await?;
        loop {
            if let Some(ended) = answer.ended {
                return Ok(self.conclude(place, ended).await);
            }
            self.sink.release(self.channel);
            self.channel.end_batch(answer.end.status).await;
            place.lease.pause();
            let next = self.next_batch().await;
            place.lease.resume();
            let Some(batch) = next else {
                roll_back(place.lease, self.channel).await;
                return Err(Refusal::new(Reason::TransactionLost).result());
            };
            answer = match self.run_batch(&mut place, &batch, None).await {
                Ok(answer) => answer,
                Err(ending) => return Err(self.end_early(place, ending).await),
            };
        }
    }

    fn may_write(&self) -> bool {
        self.context.request.kind == UnitKind::WriteTransaction
    }

    async fn demand(&mut self) -> Result<ReadDemand, Refusal> {
        let known = self.context.read_demand();
        let mut demand = self.channel.unless_cancelled(known).await?;
        demand.replica_allowed &= !self.may_write();
        Ok(demand)
    }

    /// The next batch; none when the client is gone.
    async fn next_batch(&mut self) -> Option<Batch> {
        if self.channel.is_gone() {
            return None;
        }
        loop {
            match self.channel.next_input().await {
                ClientInput::Batch(batch) => return Some(batch),
                // Nothing runs, so there is nothing to cancel.
                ClientInput::Cancel => {}
                ClientInput::Gone => return None,
            }
        }
    }

    /// Finds a server and runs the first batch on it; tries others while nothing has left.
    async fn open(
        &mut self,
        demand: &ReadDemand,
        first: &Batch,
    ) -> Result<(Place, BatchAnswer), UnitResult> {
        let mut avoided = Vec::new();
        loop {
            let mut place = self.acquire(demand, &avoided).await?;
            match self.run_batch(&mut place, first, Some(demand)).await {
                Ok(answer) => return Ok((place, answer)),
                Err(Ending::FloorNotMet) => {
                    avoided.push(place.index);
                    roll_back(place.lease, self.channel).await;
                    self.context.check_patience(Reason::NoServerCaughtUp)?;
                }
                Err(Ending::Broken) if !self.guarded => {
                    avoided.push(place.index);
                    drop(place);
                    self.context.note_lost_read(self.channel)?;
                }
                Err(ending) => return Err(self.end_early(place, ending).await),
            }
            HomeCounters::add(&self.context.counters().read_retries);
        }
    }

    async fn acquire(&mut self, demand: &ReadDemand, avoided: &[usize]) -> Result<Place, Refusal> {
        let context = self.context;
        if self.may_write() {
            let acquired = context.acquire_primary(context.patience_end);
            return self.channel.unless_cancelled(acquired).await;
        }
        let acquired = context.acquire_for_read(demand, avoided);
        self.channel.unless_cancelled(acquired).await
    }

    /// The transaction block has ended: a commit with a write in it is confirmed first.
    async fn conclude(mut self, mut place: Place, ended: CommitAnswers) -> UnitResult {
        let served_by = ended.status.as_ref().map(|status| self.count(status));
        let floor = ended.status.as_ref().map(|status| status.applied);
        let event = self.commit_event(&ended);
        let shown = self.shown_by_primary(&ended);
        place.lease.pause();
        return_lease(place.lease, self.channel).await;
        if let Some(position) = shown
            && let Err(refusal) = self.context.await_confirmed(position).await
        {
            return refusal.result();
        }
        if let Some(event) = event {
            let action = self.machine.step(event, self.context.now());
            let result = self.decide(action).await;
            if let Some(result) = result {
                return result;
            }
        }
        self.sink.release(self.channel);
        self.channel.end_batch(TransactionStatus::Idle).await;
        UnitResult::Completed {
            floor: floor.unwrap_or(Position::ZERO).max(self.context.floor()),
            served_by: served_by.unwrap_or(ServedBy::Primary),
            repeated: false,
        }
    }

    fn count(&self, status: &ServerStatus) -> ServedBy {
        match self.may_write() {
            true => ServedBy::Primary,
            false => self.context.count_read(status),
        }
    }

    /// What a primary showed to a transaction that wrote nothing, and that must be confirmed
    /// before its end is passed on; a write's own commit is past all that it has read.
    fn shown_by_primary(&self, ended: &CommitAnswers) -> Option<Position> {
        let committed = ended.last_commit > Some(self.known_commit);
        let status = ended.status.as_ref()?;
        let by_primary = status.role == ServerRole::Primary;
        (by_primary && !committed).then_some(status.received)
    }

    /// What the end of a guarded transaction means for its commit; none if it did not commit.
    fn commit_event(&self, ended: &CommitAnswers) -> Option<CommitEvent<'static>> {
        if !self.guarded || self.sink.command_tag() != Some(COMMIT_TAG) {
            return None;
        }
        let received = ended.status.as_ref().map(|status| status.received);
        Some(match (ended.last_commit, received) {
            (Some(position), _) if position > self.known_commit => {
                CommitEvent::Committed { position }
            }
            (Some(_), Some(position)) => CommitEvent::CommittedWithoutWrite { position },
            _ => CommitEvent::ConnectionLost,
        })
    }

    /// Follows the machine to its verdict; none when the back end's own answer may be given.
    async fn decide(&mut self, first: CommitAction) -> Option<UnitResult> {
        let mut action = first;
        loop {
            action = match action {
                CommitAction::Settle => settle(self.context, &mut self.machine, self.channel).await,
                CommitAction::Probe | CommitAction::Wait | CommitAction::Attempt => {
                    let context = self.context;
                    context.await_decision(&mut self.machine, action).await
                }
                CommitAction::Finish(verdict) => return verdict_result(verdict),
            };
        }
    }

    /// Ends a transaction that its client did not end.
    async fn end_early(&mut self, place: Place, ending: Ending) -> UnitResult {
        let action = match ending {
            Ending::Broken | Ending::FloorNotMet => {
                drop(place);
                self.context.group.watcher.doubt();
                if !self.may_write() {
                    return Refusal::new(Reason::ReadInterrupted).result();
                }
                self.machine
                    .step(CommitEvent::ConnectionLost, self.context.now())
            }
            Ending::Decided(action) => {
                roll_back(place.lease, self.channel).await;
                action
            }
        };
        match self.decide(action).await {
            Some(result) => result,
            None => {
                self.sink.release(self.channel);
                self.channel.end_batch(TransactionStatus::Idle).await;
                self.context.unchanged()
            }
        }
    }
}

fn verdict_result(verdict: CommitOutcome) -> Option<UnitResult> {
    match verdict {
        CommitOutcome::Done { .. } | CommitOutcome::RolledBack => None,
        CommitOutcome::Recorded { .. } => Some(UnitResult::Done {
            reason: Reason::AlreadyDone,
        }),
        CommitOutcome::NotRun(reason) => Some(Refusal::new(reason).result()),
        CommitOutcome::Unknown(reason) => Some(UnitResult::Unknown { reason }),
    }
}
