//! The life of a unit at its home.
//!
//! Phases, in order: route (choose a server, wait for one), admit (a slot there, in a bounded and
//! fair queue), connect (lease a connection), prepare (session settings, prepared statements),
//! run, confirm (a commit is held until no later primary can lack it), finish (return the
//! connection clean, or close it). `docs/design/0004-home.md` gives the reasons.

mod channel;
mod commit_answers;
mod confirm;
mod context;
mod exchange;
mod floor;
mod parses;
mod prepare;
mod read;
mod request_key;
mod settle;
mod sink;
mod transaction;
mod write;

use std::sync::Arc;
use std::time::Duration;

use spurpier_core::reason::Reason;
use spurpier_protocol::unit::{Batch, UnitInput, UnitKind, UnitOutput, UnitRequest, UnitResult};
use tokio::sync::mpsc;

use self::channel::UnitChannel;
use self::context::{Refusal, UnitContext};
pub(super) use self::request_key::wall_clock_millis;
use super::counters::HomeCounters;
use super::shared::HomeShared;

/// Runs one unit to its end.
pub(super) async fn run(
    home: Arc<HomeShared>,
    request: UnitRequest,
    first: Batch,
    input: mpsc::Receiver<UnitInput>,
    output: mpsc::Sender<UnitOutput>,
) {
    let counters = Arc::clone(&home.counters);
    HomeCounters::add(&counters.units);
    let _running = home.in_flight.start();
    home.note_attempt();
    let mut channel = UnitChannel::new(input, output);
    let result = match new_context(home, request) {
        Ok(context) => run_in(&context, first, &mut channel).await,
        Err(refusal) => refusal.result(),
    };
    count_result(&counters, &result);
    channel.finish(result).await;
}

fn new_context(home: Arc<HomeShared>, request: UnitRequest) -> Result<UnitContext, Refusal> {
    if home.in_flight.is_draining() {
        return Err(Refusal::new(Reason::Draining));
    }
    let database = home.databases.get(&request.database).cloned();
    let database = database.ok_or_else(|| Refusal::new(Reason::UnknownDatabase))?;
    let group = database.group(request.side).cloned();
    let group = group.ok_or_else(|| Refusal::new(Reason::UnknownDatabase))?;
    let arrived = home.clock.now();
    let max_wait_ms = request.max_wait_ms.min(home.limits.queue_wait_ms);
    let patience = Duration::from_millis(u64::from(max_wait_ms));
    Ok(UnitContext {
        home,
        database,
        group,
        request,
        arrived,
        patience_end: arrived + patience,
    })
}

async fn run_in(context: &UnitContext, first: Batch, channel: &mut UnitChannel) -> UnitResult {
    match context.request.kind {
        UnitKind::Read => read::run(context, &first, channel).await,
        UnitKind::Write => write::run(context, &first, channel).await,
        UnitKind::ReadTransaction | UnitKind::WriteTransaction => {
            transaction::run(context, first, channel).await
        }
    }
}

fn count_result(counters: &HomeCounters, result: &UnitResult) {
    HomeCounters::add(match result {
        UnitResult::Completed { .. } => &counters.completed,
        UnitResult::NotRun { .. } => &counters.not_run,
        UnitResult::Done { .. } => &counters.done,
        UnitResult::Unknown { .. } => &counters.unknown,
    });
}
