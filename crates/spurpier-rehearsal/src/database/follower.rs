//! Follows another side's group: carries its confirmed records into this group.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use error_stack::{Report, ResultExt};
use nanoserde::DeBin;
use spurpier_core::position::Position;
use tokio::task;
use tokio_postgres::{Client, Config, NoTls};

use super::record::{LoggedStatement, Record};
use super::server_core::ServerCore;
use super::tables::TableConnection;

/// How many records are asked for at once.
const FETCH_LIMIT: i64 = 500;
/// How long the follower waits when there is nothing to carry.
const POLL_INTERVAL: Duration = Duration::from_millis(5);
/// After how many answers without records another server is asked.
const EMPTY_POLLS: u32 = 40;
/// How often the follower looks whether it is to follow anything.
const IDLE_INTERVAL: Duration = Duration::from_millis(25);
/// How long the follower waits after a failure.
const RETRY_INTERVAL: Duration = Duration::from_millis(50);
/// How long connecting or asking may take.
const PATIENCE: Duration = Duration::from_secs(1);
const READ_ADDRESSES: &str = "SELECT addresses FROM spurpier_follow";
const READ_LOG: &str = "SELECT * FROM group_log($1, $2)";

/// Records could not be carried.
#[derive(Debug)]
pub(crate) struct FollowError;

impl std::fmt::Display for FollowError {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter.write_str("the other side's log could not be followed")
    }
}

impl std::error::Error for FollowError {}

/// A connection to a server of the other side.
struct Upstream {
    client: Client,
    connection: task::JoinHandle<()>,
}

impl Drop for Upstream {
    fn drop(&mut self) {
        self.connection.abort();
    }
}

/// Follows whatever `spurpier_follow` names while this server is primary.
pub(crate) async fn run(core: Arc<ServerCore>) {
    let mut attempt = 0;
    loop {
        core.faults.thawed().await;
        core.wait_until(|consensus| consensus.is_promoted()).await;
        if let Err(report) = follow(&core, attempt).await {
            log::debug!(server = core.config.name.as_str(); "following is interrupted: {report:?}");
            tokio::time::sleep(RETRY_INTERVAL).await;
        }
        attempt += 1;
    }
}

/// Carries records from one upstream server until this server is no longer primary.
async fn follow(core: &Arc<ServerCore>, attempt: usize) -> Result<(), Report<FollowError>> {
    let generation = core.consensus().queue.generation();
    let shared = Arc::clone(core);
    let opened = task::spawn_blocking(move || shared.tables.open(generation)).await;
    let mut tables = opened
        .change_context(FollowError)?
        .change_context(FollowError)?;
    let mut upstream: Option<(Vec<SocketAddr>, Upstream)> = None;
    let mut empty_polls = 0;
    while core.consensus().is_promoted() {
        core.faults.thawed().await;
        let addresses;
        (tables, addresses) = read_addresses(tables).await?;
        if addresses.is_empty() {
            upstream = None;
            tokio::time::sleep(IDLE_INTERVAL).await;
            continue;
        }
        let current = match upstream.take() {
            Some((known, current)) if known == addresses => current,
            _ => connect(addresses[attempt % addresses.len()]).await?,
        };
        let records = fetch(core, &current.client).await?;
        upstream = Some((addresses, current));
        if records.is_empty() {
            empty_polls += 1;
            if empty_polls > EMPTY_POLLS {
                // The server may be cut off from its group; another one may know more.
                return Ok(());
            }
            tokio::time::sleep(POLL_INTERVAL).await;
            continue;
        }
        empty_polls = 0;
        tables = carry(core, tables, records).await?;
    }
    Ok(())
}

async fn read_addresses(
    tables: TableConnection,
) -> Result<(TableConnection, Vec<SocketAddr>), Report<FollowError>> {
    let read = task::spawn_blocking(move || {
        let text = tables
            .connection
            .query_row(READ_ADDRESSES, [], |row| row.get::<_, String>(0));
        text.map(|text| (tables, text))
    });
    let (tables, text) = read
        .await
        .change_context(FollowError)?
        .change_context(FollowError)?;
    let addresses = text
        .split(',')
        .map(str::trim)
        .filter(|address| !address.is_empty())
        .map(|address| address.parse().change_context(FollowError));
    Ok((tables, addresses.collect::<Result<_, _>>()?))
}

async fn connect(address: SocketAddr) -> Result<Upstream, Report<FollowError>> {
    let mut config = Config::new();
    config
        .host(address.ip().to_string())
        .port(address.port())
        .user("spurpier")
        .connect_timeout(PATIENCE);
    let connected = tokio::time::timeout(PATIENCE, config.connect(NoTls)).await;
    let (client, connection) = connected
        .change_context(FollowError)?
        .change_context(FollowError)
        .attach_with(|| format!("server {address}"))?;
    let connection = tokio::spawn(async move {
        // The client's next call tells of a broken connection.
        let _ = connection.await;
    });
    Ok(Upstream { client, connection })
}

/// The confirmed records of the other side past what this group holds.
async fn fetch(core: &ServerCore, client: &Client) -> Result<Vec<Record>, Report<FollowError>> {
    let held = core.consensus().upstream_applied();
    let after = i64::try_from(held.offset).change_context(FollowError)?;
    let rows = tokio::time::timeout(PATIENCE, client.query(READ_LOG, &[&after, &FETCH_LIMIT]))
        .await
        .change_context(FollowError)?
        .change_context(FollowError)?;
    let records = rows.iter().map(|row| {
        let bytes: &[u8] = row.get("record");
        Record::deserialize_bin(bytes).change_context(FollowError)
    });
    records.collect()
}

/// Commits records of the other side here, each as a transaction of its own.
async fn carry(
    core: &Arc<ServerCore>,
    mut tables: TableConnection,
    records: Vec<Record>,
) -> Result<TableConnection, Report<FollowError>> {
    let writer = core.writer.lock().await;
    let shared = Arc::clone(core);
    let carried = task::spawn_blocking(move || {
        for record in records {
            carry_record(&shared, &mut tables, record)?;
        }
        Ok::<_, Report<FollowError>>(tables)
    });
    let tables = carried.await.change_context(FollowError)??;
    drop(writer);
    Ok(tables)
}

fn carry_record(
    core: &ServerCore,
    tables: &mut TableConnection,
    record: Record,
) -> Result<(), Report<FollowError>> {
    let (term, held) = {
        let consensus = core.consensus();
        let term = consensus.writable_term();
        let term = term.map_err(|reason| Report::new(FollowError).attach(format!("{reason:?}")))?;
        (term, consensus.upstream_applied())
    };
    if record.position != next_position(held, record.position) {
        return Err(Report::new(FollowError).attach("the records are not those asked for"));
    }
    let statements: Vec<LoggedStatement> = record
        .statements
        .into_iter()
        .filter(|statement| !statement.local)
        .collect();
    let begun = tables.connection.execute_batch("BEGIN IMMEDIATE");
    begun.change_context(FollowError)?;
    for statement in &statements {
        if let Err(error) = tables.replay(statement) {
            tables.roll_back();
            return Err(error).change_context(FollowError);
        }
    }
    let committed = core.commit(tables, term, statements, Some(record.position));
    committed.change_context(FollowError)?;
    Ok(())
}

/// Where the record after `held` must stand: one further, in the same term or a later one.
fn next_position(held: Position, found: Position) -> Position {
    Position::new(found.term.max(held.term), held.offset + 1)
}
