//! Write units: one batch in a transaction of the home's own, answered once it is confirmed.

use std::time::Duration;

use error_stack::Report;
use spurpier_core::commit::{CommitAction, CommitEvent, CommitMachine, CommitOutcome, WriteKind};
use spurpier_core::group::ServerStatus;
use spurpier_core::position::Position;
use spurpier_core::reason::Reason;
use spurpier_protocol::unit::{Batch, ServedBy, TransactionStatus, UnitResult};

use super::channel::UnitChannel;
use super::commit_answers::{
    COMMIT_TAG, CommitAnswers, FoundRecord, ROLLBACK_QUERY, look_up, queue_position, read_position,
};
use super::context::{Place, Refusal, UnitContext};
use super::exchange::{BatchEnd, Exchange, WhenGone};
use super::parses::queue_batch;
use super::prepare::{apply_settings, may_change_settings, return_lease};
use super::request_key::{RecordedRequest, begin_query, record_and_commit_query};
use super::sink::AnswerSink;
use crate::home::backend::{ConnectionBroken, QueryAnswer, ServerError};
use crate::home::counters::HomeCounters;
use crate::home::error_response::encode_server_error;

/// How long to wait before another attempt.
const RETRY_PAUSE: Duration = Duration::from_millis(5);
/// Commits the transaction.
const COMMIT_QUERY: &str = "COMMIT";

/// A write unit under way.
pub(super) struct WriteUnit<'a> {
    context: &'a UnitContext,
    batch: &'a Batch,
    channel: &'a mut UnitChannel,
    machine: CommitMachine,
    sink: AnswerSink,
    /// What an earlier copy recorded.
    record: Option<RecordedRequest>,
    /// Whether a part of an answer has left in an attempt before the present one.
    answered_in_part: bool,
    attempts: u32,
    /// Why the last attempt could not start.
    refusal: Option<Refusal>,
}

/// Runs a write unit.
pub(super) async fn run(
    context: &UnitContext,
    batch: &Batch,
    channel: &mut UnitChannel,
) -> UnitResult {
    let kind = if context.request.request_key.is_some() {
        WriteKind::Keyed
    } else {
        WriteKind::Unkeyed
    };
    let unit = WriteUnit {
        context,
        batch,
        channel,
        machine: context.commit_machine(kind),
        sink: AnswerSink::holding_end(),
        record: None,
        answered_in_part: false,
        attempts: 0,
        refusal: None,
    };
    unit.run().await
}

impl WriteUnit<'_> {
    async fn run(mut self) -> UnitResult {
        let mut action = CommitAction::Attempt;
        loop {
            action = match action {
                CommitAction::Attempt => self.attempt().await,
                CommitAction::Probe | CommitAction::Wait | CommitAction::Settle => {
                    let context = self.context;
                    context.await_decision(&mut self.machine, action).await
                }
                CommitAction::Finish(verdict) => return self.conclude(verdict).await,
            };
        }
    }

    fn step(&mut self, event: CommitEvent<'_>) -> CommitAction {
        self.machine.step(event, self.context.now())
    }

    /// Runs the batch on the present primary.
    async fn attempt(&mut self) -> CommitAction {
        if self.attempts > 0 {
            if !self.context.home.may_retry() {
                return self.refused(Refusal::new(Reason::RetryBudgetSpent));
            }
            HomeCounters::add(&self.context.counters().write_retries);
            tokio::time::sleep(RETRY_PAUSE).await;
        }
        let place = match self.acquire().await {
            Ok(place) => place,
            Err(refusal) => return self.refused(refusal),
        };
        self.attempts += 1;
        self.answered_in_part |= self.channel.has_released();
        self.record = None;
        let result = match self.context.request.request_key {
            Some(_) => self.run_keyed(place).await,
            None => self.run_unkeyed(place).await,
        };
        result.unwrap_or_else(|_| {
            self.context.group.watcher.doubt();
            self.step(CommitEvent::ConnectionLost)
        })
    }

    /// A connection to the primary; the client may cancel only while nothing has been sent.
    async fn acquire(&mut self) -> Result<Place, Refusal> {
        let acquired = self.context.acquire_primary(self.machine.deadline());
        if self.attempts > 0 {
            return acquired.await;
        }
        self.channel.unless_cancelled(acquired).await
    }

    /// No connection was to be had in time, so nothing of this attempt has left.
    fn refused(&mut self, refusal: Refusal) -> CommitAction {
        self.refusal = Some(refusal);
        let end = self.machine.deadline().max(self.context.now());
        self.machine.step(CommitEvent::Tick, end)
    }

    /// All in one flight: BEGIN and the fence, the batch, COMMIT, and the position.
    async fn run_unkeyed(
        &mut self,
        mut place: Place,
    ) -> Result<CommitAction, Report<ConnectionBroken>> {
        let context = self.context;
        let index = place.index;
        let connection = place.lease.connection().ok_or(ConnectionBroken)?;
        let watcher = &context.group.watcher;
        let mut exchange = Exchange::new(connection, self.channel, watcher, index, WhenGone::RunOn);
        if let Err(error) = apply_settings(&mut exchange, &context.request.settings).await? {
            return Ok(self.setting_refused(&error));
        }
        self.sink = AnswerSink::holding_end();
        let known_commit = exchange.connection.last_commit;
        let asked_at = context.now();
        exchange
            .connection
            .queue_query(&begin_query(&context.request));
        let mut parses = queue_batch(exchange.connection, self.batch);
        exchange.connection.queue_query(COMMIT_QUERY);
        self.machine.step(CommitEvent::Started, asked_at);
        self.machine.step(CommitEvent::CommitSent, asked_at);
        queue_position(exchange.connection, may_change_settings(self.batch));
        let begin = begin_answer(&mut exchange).await?;
        let mut unseen = AnswerSink::discarding();
        let sink = match begin.error {
            Some(_) => &mut unseen,
            None => &mut self.sink,
        };
        let end = exchange.batch_answer(sink, &mut parses).await?;
        let commit = exchange.own_answer().await?;
        let answers = read_position(&mut exchange).await?;
        if let Some(status) = &answers.status {
            context.observe(index, asked_at, status);
        }
        return_lease(place.lease, self.channel).await;
        Ok(self.judge(begin.error, end, commit, &answers, known_commit))
    }

    /// In two flights, for the answer is recorded in the same transaction: first BEGIN, the
    /// fence, the key and the batch; then the record, COMMIT, and the position.
    async fn run_keyed(
        &mut self,
        mut place: Place,
    ) -> Result<CommitAction, Report<ConnectionBroken>> {
        let context = self.context;
        let index = place.index;
        let connection = place.lease.connection().ok_or(ConnectionBroken)?;
        let watcher = &context.group.watcher;
        let mut exchange = Exchange::new(connection, self.channel, watcher, index, WhenGone::RunOn);
        if let Err(error) = apply_settings(&mut exchange, &context.request.settings).await? {
            return Ok(self.setting_refused(&error));
        }
        self.sink = AnswerSink::holding_all(context.home.limits.recorded_answer_bytes);
        let known_commit = exchange.connection.last_commit;
        let asked_at = context.now();
        exchange
            .connection
            .queue_query(&begin_query(&context.request));
        let mut parses = queue_batch(exchange.connection, self.batch);
        self.machine.step(CommitEvent::Started, asked_at);
        let begin = begin_answer(&mut exchange).await?;
        let mut unseen = AnswerSink::discarding();
        let sink = match begin.error {
            Some(_) => &mut unseen,
            None => &mut self.sink,
        };
        let end = exchange.batch_answer(sink, &mut parses).await?;
        let failed = begin.error.is_some() || end.error.is_some();
        let ending = if failed {
            ROLLBACK_QUERY.to_owned()
        } else {
            self.machine.step(CommitEvent::CommitSent, context.now());
            record_query(context, &self.sink)
        };
        exchange.connection.queue_query(&ending);
        queue_position(exchange.connection, may_change_settings(self.batch));
        let commit = exchange.own_answer().await?;
        let answers = read_position(&mut exchange).await?;
        if exchange.connection.status() != TransactionStatus::Idle {
            // The record could not be written, so the COMMIT behind it did not run either.
            exchange.connection.queue_query(ROLLBACK_QUERY);
            exchange.own_answer().await?;
        }
        let key_exists = begin
            .error
            .as_ref()
            .is_some_and(ServerError::is_unique_violation);
        let found = if key_exists {
            Some(look_up(context, &mut exchange, answers.received()).await?)
        } else {
            None
        };
        if let Some(status) = &answers.status {
            context.observe(index, asked_at, status);
        }
        return_lease(place.lease, self.channel).await;
        match found {
            Some(found) => Ok(self.take_record(found)),
            None => Ok(self.judge(begin.error, end, commit, &answers, known_commit)),
        }
    }

    /// A session setting was refused, so nothing of the write has left.
    fn setting_refused(&mut self, error: &ServerError) -> CommitAction {
        self.sink = AnswerSink::holding_end();
        self.sink.replace_held(&encode_server_error(error));
        self.step(CommitEvent::RolledBack { position: None })
    }

    /// What the server's answers say of the attempt.
    fn judge(
        &mut self,
        begin_error: Option<ServerError>,
        end: BatchEnd,
        commit: QueryAnswer,
        answers: &CommitAnswers,
        known_commit: Position,
    ) -> CommitAction {
        let received = answers.received();
        let error = begin_error.or(end.error).or(commit.error);
        if let Some(error) = error {
            return self.judge_error(&error, answers.status.as_ref());
        }
        if commit.command_tag.as_deref() != Some(COMMIT_TAG) {
            return self.step(CommitEvent::RolledBack { position: received });
        }
        match (answers.last_commit, received) {
            (Some(position), _) if position > known_commit => {
                self.step(CommitEvent::Committed { position })
            }
            (Some(_), Some(position)) => self.step(CommitEvent::CommittedWithoutWrite { position }),
            // Without a position nothing can be confirmed.
            _ => self.step(CommitEvent::ConnectionLost),
        }
    }

    fn judge_error(&mut self, error: &ServerError, status: Option<&ServerStatus>) -> CommitAction {
        if error.is_fenced() {
            return self.step(CommitEvent::Fenced);
        }
        if error.is_read_only() && !self.context.asks_read_only() {
            self.context.group.watcher.doubt();
            let reason = Reason::NoPrimary;
            return self.step(CommitEvent::Rejected { reason });
        }
        self.sink.replace_held(&encode_server_error(error));
        self.step(CommitEvent::RolledBack {
            position: status.map(|status| status.received),
        })
    }

    fn take_record(&mut self, found: FoundRecord) -> CommitAction {
        let event = found.event(self.context);
        if let FoundRecord::Row { record, .. } = found {
            self.record = Some(record);
        }
        self.step(event)
    }

    /// Gives the answer that the verdict allows.
    async fn conclude(mut self, verdict: CommitOutcome) -> UnitResult {
        match verdict {
            CommitOutcome::Done { position } => self.give_answer(position).await,
            CommitOutcome::Recorded { position } => self.give_record(position).await,
            CommitOutcome::RolledBack => {
                self.sink.release(self.channel);
                self.channel.end_batch(TransactionStatus::Idle).await;
                self.context.unchanged()
            }
            CommitOutcome::NotRun(reason) => self.refusal_for(reason).result(),
            CommitOutcome::Unknown(reason) => UnitResult::Unknown { reason },
        }
    }

    fn refusal_for(&self, reason: Reason) -> Refusal {
        match self.refusal {
            Some(refusal) if self.attempts == 0 => refusal,
            _ => Refusal::new(reason),
        }
    }

    async fn give_answer(&mut self, position: Position) -> UnitResult {
        if self.answered_in_part {
            return UnitResult::Done {
                reason: Reason::AnswerNotRecorded,
            };
        }
        self.sink.release(self.channel);
        self.channel.end_batch(TransactionStatus::Idle).await;
        self.completed(position, false)
    }

    async fn give_record(&mut self, position: Position) -> UnitResult {
        let answer = self.record.take().and_then(|record| record.answer);
        let unanswered = !self.answered_in_part && !self.channel.has_released();
        let Some(answer) = answer.filter(|_| unanswered) else {
            return UnitResult::Done {
                reason: Reason::AnswerNotRecorded,
            };
        };
        HomeCounters::add(&self.context.counters().repeated_answers);
        self.channel.push(&answer);
        self.channel.end_batch(TransactionStatus::Idle).await;
        self.completed(position, true)
    }

    fn completed(&self, position: Position, repeated: bool) -> UnitResult {
        UnitResult::Completed {
            floor: position.max(self.context.floor()),
            served_by: ServedBy::Primary,
            repeated,
        }
    }
}

/// The answer of the query that opens the transaction.
///
/// Had BEGIN itself failed, the batch behind it would run outside a transaction: then nothing is
/// known of the write, as with a broken connection.
async fn begin_answer(
    exchange: &mut Exchange<'_>,
) -> Result<QueryAnswer, Report<ConnectionBroken>> {
    let answer = exchange.own_answer().await?;
    if answer.status == TransactionStatus::Idle {
        return Err(Report::new(ConnectionBroken).attach("BEGIN opened no transaction"));
    }
    Ok(answer)
}

fn record_query(context: &UnitContext, sink: &AnswerSink) -> String {
    let tag = sink.command_tag().unwrap_or_default();
    match &context.request.request_key {
        Some(key) => record_and_commit_query(key, tag, sink.whole()),
        None => COMMIT_QUERY.to_owned(),
    }
}
