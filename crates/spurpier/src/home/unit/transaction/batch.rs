//! One batch of a transaction: what is sent with it, and how the answers are taken.

use error_stack::Report;
use spurpier_core::commit::{CommitAction, CommitEvent};
use spurpier_core::reason::Reason;
use spurpier_core::routing::ReadDemand;
use spurpier_protocol::unit::{Batch, BatchEffect, TransactionStatus};

use super::Transaction;
use crate::home::backend::{BackEndConnection, ConnectionBroken, ServerError};
use crate::home::error_response::encode_server_error;
use crate::home::group::{STATUS_QUERY, read_status};
use crate::home::unit::commit_answers::{
    CommitAnswers, queue_position, read_position, roll_back_and_look_up,
};
use crate::home::unit::context::{Place, UnitContext};
use crate::home::unit::exchange::{BatchEnd, Exchange, WhenGone};
use crate::home::unit::parses::{QueuedParses, queue_batch};
use crate::home::unit::prepare::apply_settings;
use crate::home::unit::request_key::{begin_query, guard_query};
use crate::home::unit::sink::AnswerSink;

/// Why a transaction ends before its client ends it.
pub(super) enum Ending {
    /// The connection broke.
    Broken,
    /// The server did not meet the floor of the first batch; nothing was passed on.
    FloorNotMet,
    /// The fence or the request key decides the unit; what is open is rolled back.
    Decided(CommitAction),
}

impl From<Report<ConnectionBroken>> for Ending {
    fn from(_: Report<ConnectionBroken>) -> Self {
        Ending::Broken
    }
}

impl From<ConnectionBroken> for Ending {
    fn from(_: ConnectionBroken) -> Self {
        Ending::Broken
    }
}

/// How a batch of the transaction was answered.
pub(super) struct BatchAnswer {
    pub(super) end: BatchEnd,
    /// What was asked behind a batch that ended the transaction.
    pub(super) ended: Option<CommitAnswers>,
}

/// What is sent together with a batch.
struct Flight<'b> {
    batch: &'b Batch,
    /// The query that checks the fence before the batch.
    guard: Option<String>,
    /// Whether the batch ends the transaction, so that positions are asked behind it.
    asks_position: bool,
}

impl Flight<'_> {
    /// A commit under way runs to its end; any other batch is cancelled.
    fn when_gone(&self) -> WhenGone {
        match self.batch.effect {
            BatchEffect::Commit => WhenGone::RunOn,
            _ => WhenGone::Cancel,
        }
    }

    /// Queues everything; gives the names of the statements that are prepared with it.
    fn queue(&self, connection: &mut BackEndConnection, asks_status: bool) -> QueuedParses {
        if asks_status {
            connection.queue_query(STATUS_QUERY);
        }
        if let Some(guard) = &self.guard {
            connection.queue_query(guard);
        }
        let parses = queue_batch(connection, self.batch);
        if self.asks_position {
            queue_position(connection, true);
        }
        parses
    }
}

impl Transaction<'_> {
    /// Runs one batch; `demand` is given with the first one, which is answered only by a server
    /// that meets it.
    pub(super) async fn run_batch(
        &mut self,
        place: &mut Place,
        batch: &Batch,
        demand: Option<&ReadDemand>,
    ) -> Result<BatchAnswer, Ending> {
        let context = self.context;
        let index = place.index;
        let connection = place.lease.connection().ok_or(ConnectionBroken)?;
        if demand.is_some() {
            self.known_commit = connection.last_commit;
        }
        let flight = self.plan(batch, connection.status() == TransactionStatus::Open);
        self.sink = self.sink_for(batch.effect);
        let watcher = &context.group.watcher;
        let mut exchange =
            Exchange::new(connection, self.channel, watcher, index, flight.when_gone());
        if demand.is_some()
            && let Err(error) = apply_settings(&mut exchange, &context.request.settings).await?
        {
            return Err(Ending::Decided(self.setting_refused(&error)));
        }
        let asked_at = context.now();
        let mut parses = flight.queue(exchange.connection, demand.is_some());
        self.guarded |= flight.guard.is_some();
        self.machine.step(CommitEvent::Started, asked_at);
        if batch.effect == BatchEffect::Commit && self.guarded {
            self.machine.step(CommitEvent::CommitSent, asked_at);
        }
        if let Some(demand) = demand {
            let status = read_status(&exchange.own_answer().await?).ok_or(ConnectionBroken)?;
            context.observe(index, asked_at, &status);
            if !demand.is_met_by(&status, watcher.view().newest_term()) {
                drain(&mut exchange).await?;
                return Err(Ending::FloorNotMet);
            }
        }
        if flight.guard.is_some()
            && let Some(error) = exchange.own_answer().await?.error
        {
            drain(&mut exchange).await?;
            let event = guard_event(context, &mut exchange, &error).await?;
            let status = exchange.connection.status();
            return self.guard_failed(error, event, status);
        }
        let end = exchange.batch_answer(&mut self.sink, &mut parses).await?;
        let idle = end.status == TransactionStatus::Idle;
        if idle && !flight.asks_position {
            self.machine.step(CommitEvent::CommitSent, context.now());
            queue_position(exchange.connection, true);
        }
        let ended = if idle || flight.asks_position {
            Some(read_position(&mut exchange).await?)
        } else {
            None
        };
        Ok(BatchAnswer { end, ended })
    }

    /// What is sent with a batch.
    fn plan<'b>(&self, batch: &'b Batch, in_block: bool) -> Flight<'b> {
        let request = &self.context.request;
        let guard = self
            .needs_guard(batch.effect, in_block)
            .then(|| match in_block {
                true => guard_query(request),
                false => begin_query(request),
            });
        let ends = matches!(batch.effect, BatchEffect::Commit | BatchEffect::Rollback);
        Flight {
            batch,
            guard,
            asks_position: ends,
        }
    }

    /// The fence or the key refused the transaction, or the guard failed like any statement.
    fn guard_failed(
        &mut self,
        error: ServerError,
        event: Option<CommitEvent<'_>>,
        status: TransactionStatus,
    ) -> Result<BatchAnswer, Ending> {
        if let Some(event) = event {
            let action = self.machine.step(event, self.context.now());
            return Err(Ending::Decided(action));
        }
        self.sink.replace_held(&encode_server_error(&error));
        let end = BatchEnd {
            status,
            error: Some(error),
        };
        Ok(BatchAnswer { end, ended: None })
    }

    /// The ends of batches that may hold a commit are held until it is confirmed.
    fn sink_for(&self, effect: BatchEffect) -> AnswerSink {
        let may_commit = matches!(effect, BatchEffect::Write | BatchEffect::Commit);
        if self.may_write() && may_commit {
            AnswerSink::holding_end()
        } else {
            AnswerSink::streaming()
        }
    }

    /// Whether the fence must be checked before a batch: before the first write, also when the
    /// batch itself opens and ends the transaction block.
    fn needs_guard(&self, effect: BatchEffect, in_block: bool) -> bool {
        let writes = match effect {
            BatchEffect::Write => true,
            BatchEffect::Commit => !in_block,
            BatchEffect::Read | BatchEffect::Begin | BatchEffect::Rollback => false,
        };
        writes && self.may_write() && !self.guarded
    }

    fn setting_refused(&mut self, error: &ServerError) -> CommitAction {
        self.sink = AnswerSink::holding_end();
        self.sink.replace_held(&encode_server_error(error));
        let event = CommitEvent::RolledBack { position: None };
        self.machine.step(event, self.context.now())
    }
}

/// Reads all that is still to come.
async fn drain(exchange: &mut Exchange<'_>) -> Result<(), Report<ConnectionBroken>> {
    while exchange.connection.expected_ready() > 0 {
        exchange.own_answer().await?;
    }
    Ok(())
}

/// What a failed guard means; none when it is an error like that of any statement.
async fn guard_event(
    context: &UnitContext,
    exchange: &mut Exchange<'_>,
    error: &ServerError,
) -> Result<Option<CommitEvent<'static>>, Report<ConnectionBroken>> {
    if error.is_fenced() {
        return Ok(Some(CommitEvent::Fenced));
    }
    if error.is_read_only() && !context.asks_read_only() {
        return Ok(Some(CommitEvent::Rejected {
            reason: Reason::NoPrimary,
        }));
    }
    if !error.is_unique_violation() {
        return Ok(None);
    }
    let found = roll_back_and_look_up(context, exchange).await?;
    Ok(Some(found.event(context)))
}
