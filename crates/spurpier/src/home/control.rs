//! Queries of the home's own on a server of a group: transfers, fences, cleaning.

use std::fmt;
use std::time::Duration;

use error_stack::{Report, ResultExt};
use spurpier_core::identity::SessionId;

use super::backend::QueryAnswer;
use super::clock::Clock;
use super::database::GroupHome;
use super::pool::AcquireError;

/// The session name under which the home's own queries take their turn.
const CONTROL_SESSION: &str = "spurpier.control";
/// How long a query of the home's own waits for a connection.
const CONNECTION_WAIT: Duration = Duration::from_secs(1);

/// A query of the home's own could not be run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ControlError {
    /// The group has no primary now.
    PrimaryUnknown,
    /// No connection was to be had.
    NotConnected,
    /// The connection broke, or the answer did not come in time.
    Unanswered,
}

impl fmt::Display for ControlError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            ControlError::PrimaryUnknown => "the group has no primary",
            ControlError::NotConnected => "no connection to the server is to be had",
            ControlError::Unanswered => "the server did not answer",
        })
    }
}

impl std::error::Error for ControlError {}

/// Runs queries on the group's primary, one after the other on one connection.
///
/// # Errors
///
/// [`ControlError`]; what the server itself reports is in the answers.
pub(super) async fn query_primary(
    group: &GroupHome,
    clock: Clock,
    queries: &[&str],
    timeout: Duration,
) -> Result<Vec<QueryAnswer>, Report<ControlError>> {
    let primary = group.watcher.view().primary();
    let primary = primary.ok_or(ControlError::PrimaryUnknown)?;
    query_server(group, primary, clock, queries, timeout).await
}

/// Runs queries on one server of a group.
///
/// # Errors
///
/// As for [`query_primary`].
pub(super) async fn query_server(
    group: &GroupHome,
    index: usize,
    clock: Clock,
    queries: &[&str],
    timeout: Duration,
) -> Result<Vec<QueryAnswer>, Report<ControlError>> {
    let session = SessionId::from(CONTROL_SESSION);
    let deadline = clock.now() + CONNECTION_WAIT;
    let pool = group.pools.get(index).ok_or(ControlError::NotConnected)?;
    let acquired = pool.acquire(&session, deadline).await;
    let mut lease = acquired.map_err(|error| match error {
        AcquireError::Overloaded { .. } => Report::new(ControlError::NotConnected),
        AcquireError::Open(report) => report.change_context(ControlError::NotConnected),
    })?;
    let connection = lease.connection().ok_or(ControlError::NotConnected)?;
    for query in queries {
        connection.queue_query(query);
    }
    let mut answers = Vec::with_capacity(queries.len());
    for _ in queries {
        let answer = tokio::time::timeout(timeout, connection.read_answer()).await;
        let answer = answer.change_context(ControlError::Unanswered)?;
        answers.push(answer.change_context(ControlError::Unanswered)?);
    }
    lease.finish();
    Ok(answers)
}
