//! The task that brings the records of the log into the tables.

use std::sync::Arc;
use std::time::{Duration, Instant};

use error_stack::{Report, ResultExt};
use tokio::sync::oneshot;
use tokio::task;

use super::record::Record;
use super::server_core::ServerCore;
use super::tables::TableConnection;

/// How many records are applied in one transaction.
const APPLY_BATCH: usize = 256;
/// How long the applier sleeps at most before it looks at the delay again.
const DELAY_CHECK: Duration = Duration::from_millis(20);

/// The tables could not be brought up to the log.
#[derive(Debug)]
pub(crate) struct ApplyError;

impl std::fmt::Display for ApplyError {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter.write_str("the log could not be applied to the tables")
    }
}

impl std::error::Error for ApplyError {}

/// The records of one transaction of the applier.
struct Batch {
    generation: u64,
    last: u64,
    records: Vec<Arc<Record>>,
}

/// Applies records until the server shuts down; `ready` is told when the tables exist.
pub(crate) async fn run(
    core: Arc<ServerCore>,
    ready: oneshot::Sender<()>,
) -> Result<(), Report<ApplyError>> {
    let mut tables = create(&core, 0).await?;
    let _ = ready.send(());
    loop {
        core.faults.thawed().await;
        let mut changes = core.subscribe();
        let generation = core.consensus().queue.generation();
        if generation != tables.generation {
            tables = rebuild(&core, generation).await?;
        }
        if let Some(batch) = claim(&core) {
            tables = apply(&core, tables, batch).await?;
            continue;
        }
        let _ = tokio::time::timeout(next_look(&core), changes.changed()).await;
    }
}

async fn create(
    core: &Arc<ServerCore>,
    generation: u64,
) -> Result<TableConnection, Report<ApplyError>> {
    let shared = Arc::clone(core);
    let created = task::spawn_blocking(move || shared.tables.create(generation)).await;
    let tables = created
        .change_context(ApplyError)?
        .change_context(ApplyError)
        .attach("while making tables")?;
    core.change(|consensus| consensus.queue.mark_created(generation));
    Ok(tables)
}

async fn rebuild(
    core: &Arc<ServerCore>,
    generation: u64,
) -> Result<TableConnection, Report<ApplyError>> {
    let _writer = core.writer.lock().await;
    create(core, generation).await
}

fn claim(core: &ServerCore) -> Option<Batch> {
    let mut consensus = core.consensus();
    // A new primary does not wait: it cannot take writes before its tables show its log.
    let delay = if consensus.primary().is_some() {
        Duration::ZERO
    } else {
        core.faults.apply_delay()
    };
    let applied = consensus.queue.applied();
    let last = consensus.queue.claim(delay, Instant::now(), APPLY_BATCH)?;
    let count = usize::try_from(last - applied).unwrap_or(usize::MAX);
    Some(Batch {
        generation: consensus.queue.generation(),
        last,
        records: consensus.log().records_after(applied, count),
    })
}

async fn apply(
    core: &Arc<ServerCore>,
    tables: TableConnection,
    batch: Batch,
) -> Result<TableConnection, Report<ApplyError>> {
    let _writer = core.writer.lock().await;
    let applied = task::spawn_blocking(move || {
        let result = tables.apply(&batch.records);
        result.map(|()| (tables, batch))
    });
    let (tables, batch) = applied
        .await
        .change_context(ApplyError)?
        .change_context(ApplyError)?;
    core.change(|consensus| {
        consensus.queue.finish(batch.generation, batch.last);
        consensus.promote_if_applied();
    });
    Ok(tables)
}

fn next_look(core: &ServerCore) -> Duration {
    let due = core.consensus().queue.next_due(core.faults.apply_delay());
    let wait = due.map_or(DELAY_CHECK, |due| {
        due.saturating_duration_since(Instant::now())
    });
    wait.clamp(Duration::from_millis(1), DELAY_CHECK)
}
