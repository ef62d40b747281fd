//! Read units: one batch of reads on a server at or past their floor.

use std::time::Duration;

use error_stack::Report;
use spurpier_core::group::ServerRole;
use spurpier_core::position::Position;
use spurpier_core::reason::Reason;
use spurpier_core::routing::{ReadDemand, Route, route_read};
use spurpier_core::time::Timestamp;
use spurpier_protocol::unit::{Batch, TransactionStatus, UnitResult};

use super::channel::UnitChannel;
use super::commit_answers::take_reset_answer;
use super::context::{Place, Refusal, UnitContext};
use super::exchange::{Exchange, WhenGone};
use super::parses::{QueuedParses, queue_batch};
use super::prepare::{RESET_QUERY, apply_settings, may_change_settings, return_lease};
use super::sink::AnswerSink;
use crate::home::backend::{BackEndConnection, ConnectionBroken};
use crate::home::counters::HomeCounters;
use crate::home::error_response::encode_server_error;
use crate::home::group::{FENCE_EPOCH_QUERY, STATUS_QUERY, read_fence_epoch, read_status};

/// The longest that a read waits for a replica while the primary could serve it.
const LONGEST_REPLICA_WAIT: Duration = Duration::from_millis(50);
/// How often a waiting read looks for a server again when nothing has changed.
const ROUTE_CHECK: Duration = Duration::from_millis(20);

/// What came of one run on one server.
enum ReadOutcome {
    /// The answer has been passed on.
    Answered(UnitResult),
    /// A primary has answered; the end of its answer is held until what it showed is confirmed.
    Shown(ShownByPrimary),
    /// The server did not meet the floor; nothing was passed on.
    FloorNotMet,
    /// The server's fence shows that a newer policy moves the database; nothing was passed on.
    Fenced,
}

/// A primary's answer whose end is held.
struct ShownByPrimary {
    /// The last position of the primary's log behind the read.
    position: Position,
    sink: AnswerSink,
    status: TransactionStatus,
    result: UnitResult,
}

/// Runs a read unit.
pub(super) async fn run(
    context: &UnitContext,
    batch: &Batch,
    channel: &mut UnitChannel,
) -> UnitResult {
    match run_until_answered(context, batch, channel).await {
        Ok(result) => result,
        Err(refusal) => refusal.result(),
    }
}

async fn run_until_answered(
    context: &UnitContext,
    batch: &Batch,
    channel: &mut UnitChannel,
) -> Result<UnitResult, Refusal> {
    let demand = channel.unless_cancelled(context.read_demand()).await?;
    let mut avoided = Vec::new();
    loop {
        let acquired = context.acquire_for_read(&demand, &avoided);
        let mut place = channel.unless_cancelled(acquired).await?;
        match run_on(context, &demand, batch, &mut place, channel).await {
            Ok(ReadOutcome::Answered(result)) => {
                return_lease(place.lease, channel).await;
                return Ok(result);
            }
            Ok(ReadOutcome::Shown(shown)) => {
                return_lease(place.lease, channel).await;
                return release_confirmed(context, shown, channel).await;
            }
            Ok(ReadOutcome::Fenced) => {
                return_lease(place.lease, channel).await;
                return Err(Refusal::new(Reason::Fenced));
            }
            Ok(ReadOutcome::FloorNotMet) => {
                return_lease(place.lease, channel).await;
                context.check_patience(Reason::NoServerCaughtUp)?;
            }
            Err(_) => context.note_lost_read(channel)?,
        }
        avoided.push(place.index);
        HomeCounters::add(&context.counters().read_retries);
    }
}

/// Sends the read between two questions for the server's status.
///
/// The first one, answered before the read on the same connection, shows that the read sees the
/// floor; nothing is passed on before. The second gives the session's new floor.
async fn run_on(
    context: &UnitContext,
    demand: &ReadDemand,
    batch: &Batch,
    place: &mut Place,
    channel: &mut UnitChannel,
) -> Result<ReadOutcome, Report<ConnectionBroken>> {
    let index = place.index;
    let connection = place.lease.connection().ok_or(ConnectionBroken)?;
    let watcher = &context.group.watcher;
    let mut exchange = Exchange::new(connection, channel, watcher, index, WhenGone::Cancel);
    if let Err(error) = apply_settings(&mut exchange, &context.request.settings).await? {
        return Ok(answer_with_error(context, &encode_server_error(&error), channel).await);
    }
    let asked_at = context.now();
    let reset = may_change_settings(batch);
    let may_be_fenced = context.database.groups.len() > 1;
    let mut parses = queue_read(exchange.connection, batch, may_be_fenced, reset);
    let before = read_status(&exchange.own_answer().await?).ok_or(ConnectionBroken)?;
    let fenced = may_be_fenced && {
        let fence = read_fence_epoch(&exchange.own_answer().await?).ok_or(ConnectionBroken)?;
        context.is_fenced(fence)
    };
    let newest_term = watcher.view().newest_term();
    let met = demand.is_met_by(&before, newest_term);
    context.observe(index, asked_at, &before);
    let mut sink = match (met && !fenced, before.role) {
        (false, _) => AnswerSink::discarding(),
        (true, ServerRole::Primary) => AnswerSink::holding_end(),
        (true, ServerRole::Replica) => AnswerSink::streaming(),
    };
    let end = exchange.batch_answer(&mut sink, &mut parses).await?;
    let after = read_status(&exchange.own_answer().await?).ok_or(ConnectionBroken)?;
    if reset {
        take_reset_answer(&mut exchange).await?;
    }
    context.observe(index, asked_at, &after);
    if !met {
        return Ok(ReadOutcome::FloorNotMet);
    }
    if fenced {
        return Ok(ReadOutcome::Fenced);
    }
    let result = UnitResult::Completed {
        floor: after.applied.max(context.floor()),
        served_by: context.count_read(&after),
        repeated: false,
    };
    if before.role == ServerRole::Primary {
        return Ok(ReadOutcome::Shown(ShownByPrimary {
            position: after.received,
            sink,
            status: end.status,
            result,
        }));
    }
    channel.end_batch(end.status).await;
    Ok(ReadOutcome::Answered(result))
}

/// Passes on the end of a primary's answer once no later primary can lack what it showed.
///
/// A replica needs no such wait in a group of three: its records stand in its own log and in
/// that of the primary which wrote them, which is a majority.
async fn release_confirmed(
    context: &UnitContext,
    mut shown: ShownByPrimary,
    channel: &mut UnitChannel,
) -> Result<UnitResult, Refusal> {
    context.await_confirmed(shown.position).await?;
    shown.sink.release(channel);
    channel.end_batch(shown.status).await;
    Ok(shown.result)
}

/// Queues the read between two questions for the status; gives the statements it prepares.
///
/// A database with two sides may be moving, which only its fence tells for certain.
fn queue_read(
    connection: &mut BackEndConnection,
    batch: &Batch,
    may_be_fenced: bool,
    reset: bool,
) -> QueuedParses {
    connection.queue_query(STATUS_QUERY);
    if may_be_fenced {
        connection.queue_query(FENCE_EPOCH_QUERY);
    }
    let parses = queue_batch(connection, batch);
    connection.queue_query(STATUS_QUERY);
    if reset {
        connection.settings = None;
        connection.queue_query(RESET_QUERY);
    }
    parses
}

/// Gives the server's own error as the unit's answer.
async fn answer_with_error(
    context: &UnitContext,
    error: &[u8],
    channel: &mut UnitChannel,
) -> ReadOutcome {
    channel.push(error);
    channel.end_batch(TransactionStatus::Idle).await;
    ReadOutcome::Answered(context.unchanged())
}

impl UnitContext {
    /// Waits for a server that can serve the demand, and for a connection to it.
    pub(super) async fn acquire_for_read(
        &self,
        demand: &ReadDemand,
        avoided: &[usize],
    ) -> Result<Place, Refusal> {
        let deadline = self.patience_end;
        loop {
            let index = self.await_read_server(demand, avoided).await?;
            let acquired = self.group.pools[index]
                .acquire(&self.request.session, deadline)
                .await;
            match acquired {
                Ok(lease) if self.still_takes_work(index) => return Ok(Place { index, lease }),
                Ok(lease) => lease.finish(),
                Err(error) => self.pause_after(index, error, deadline).await?,
            }
        }
    }

    async fn await_read_server(
        &self,
        demand: &ReadDemand,
        avoided: &[usize],
    ) -> Result<usize, Refusal> {
        let patience = self.patience_end.since(self.arrived);
        let replica_wait = LONGEST_REPLICA_WAIT.min(patience / 4);
        let replica_end = self.arrived + replica_wait;
        loop {
            let now = self.now();
            let view = self.group.watcher.view();
            let loads = self.group.loads(&view, avoided, now);
            let wait = replica_end.since(now);
            let route = route_read(&view, demand, &loads, &self.database.zone, wait, now);
            if let Route::Server(index) = route {
                return Ok(index);
            }
            if now >= self.patience_end {
                return Err(self.no_server(demand));
            }
            self.await_change(now).await;
        }
    }

    /// Why no server could be found.
    fn no_server(&self, demand: &ReadDemand) -> Refusal {
        let view = self.group.watcher.view();
        let reason = if view.primary().is_none() && !demand.replica_allowed {
            Reason::NoPrimary
        } else {
            Reason::NoServerCaughtUp
        };
        Refusal::new(reason)
    }

    /// Waits for a newer view, asking for one.
    async fn await_change(&self, now: Timestamp) {
        let watcher = &self.group.watcher;
        let mut changes = watcher.changes();
        changes.borrow_and_update();
        watcher.request_round(now);
        let next_check = self
            .home
            .clock
            .instant(self.patience_end.min(now + ROUTE_CHECK));
        // Nothing is lost if the time passes first: the loop looks again.
        let _ = tokio::time::timeout_at(next_check, changes.changed()).await;
    }

    /// Whether a read must not be served by a server whose fence stands at this epoch.
    ///
    /// A newer epoch than the unit's tells of a move that the node has not heard of. An older one
    /// on the side that takes the writes tells of a move that is not done: the server may lack
    /// writes of the side that is left.
    fn is_fenced(&self, fence: u64) -> bool {
        let epoch = self.request.epoch;
        fence > epoch || (fence < epoch && self.is_on_write_side())
    }

    /// An error once the unit's patience has run out.
    pub(super) fn check_patience(&self, reason: Reason) -> Result<(), Refusal> {
        if self.now() >= self.patience_end {
            return Err(Refusal::new(reason));
        }
        Ok(())
    }

    /// A read's connection broke: it may run again unless a part of its answer has left.
    pub(super) fn note_lost_read(&self, channel: &UnitChannel) -> Result<(), Refusal> {
        self.group.watcher.doubt();
        if channel.has_released() || channel.is_gone() || self.now() >= self.patience_end {
            return Err(Refusal::new(Reason::ReadInterrupted));
        }
        if !self.home.may_retry() {
            return Err(Refusal::new(Reason::RetryBudgetSpent));
        }
        Ok(())
    }

    /// The result of a unit that ran without any effect on its floor.
    pub(super) fn unchanged(&self) -> UnitResult {
        UnitResult::Completed {
            floor: self.floor(),
            served_by: spurpier_protocol::unit::ServedBy::Primary,
            repeated: false,
        }
    }
}
