//! What the home asks around a batch on the same connection: positions, statuses, request keys.

use error_stack::Report;
use spurpier_core::commit::CommitEvent;
use spurpier_core::group::ServerStatus;
use spurpier_core::position::Position;
use spurpier_core::reason::Reason;

use super::context::UnitContext;
use super::exchange::Exchange;
use super::prepare::RESET_QUERY;
use super::request_key::{RecordedRequest, lookup_query, read_record};
use crate::home::backend::{BackEndConnection, ConnectionBroken};
use crate::home::group::{LAST_COMMIT_QUERY, STATUS_QUERY, read_last_commit, read_status};

/// Ends a transaction without effect.
pub(super) const ROLLBACK_QUERY: &str = "ROLLBACK";
/// The tag of a commit that took effect; a failed transaction's COMMIT answers `ROLLBACK`.
pub(super) const COMMIT_TAG: &str = "COMMIT";

/// What the home asks behind a commit.
pub(super) struct CommitAnswers {
    pub(super) last_commit: Option<Position>,
    pub(super) status: Option<ServerStatus>,
}

impl CommitAnswers {
    pub(super) fn received(&self) -> Option<Position> {
        self.status.as_ref().map(|status| status.received)
    }
}

/// Asks for the commit's position and the server's status; resets settings if told to.
pub(super) fn queue_position(connection: &mut BackEndConnection, reset: bool) {
    connection.queue_query(LAST_COMMIT_QUERY);
    connection.queue_query(STATUS_QUERY);
    if reset {
        connection.settings = None;
        connection.queue_query(RESET_QUERY);
    }
}

/// Reads the answer of [`RESET_QUERY`], after which no setting is left.
pub(super) async fn take_reset_answer(
    exchange: &mut Exchange<'_>,
) -> Result<(), Report<ConnectionBroken>> {
    let answer = exchange.own_answer().await?;
    exchange.connection.settings = answer.error.is_none().then(Vec::new);
    Ok(())
}

/// Reads what [`queue_position`] asked.
pub(super) async fn read_position(
    exchange: &mut Exchange<'_>,
) -> Result<CommitAnswers, Report<ConnectionBroken>> {
    let last_commit = read_last_commit(&exchange.own_answer().await?);
    let status = read_status(&exchange.own_answer().await?);
    if exchange.connection.expected_ready() > 0 {
        take_reset_answer(exchange).await?;
    }
    if let Some(position) = last_commit {
        exchange.connection.last_commit = position;
    }
    Ok(CommitAnswers {
        last_commit,
        status,
    })
}

/// What a look-up of a request key gave.
pub(super) enum FoundRecord {
    /// The key is recorded.
    Row {
        /// What is recorded.
        record: RecordedRequest,
        /// A position in the same log at or past the row.
        position: Position,
    },
    /// It is not, or the log changed meanwhile.
    Gone,
}

impl FoundRecord {
    /// What it means for the commit.
    pub(super) fn event(&self, context: &UnitContext) -> CommitEvent<'static> {
        match self {
            FoundRecord::Row { record, position } => CommitEvent::RecordFound {
                position: *position,
                same_statement: record.digest == context.request.statement_digest,
            },
            // The row went away between the two looks, as with a primary that was replaced.
            FoundRecord::Gone => CommitEvent::Rejected {
                reason: Reason::NoPrimary,
            },
        }
    }
}

/// Ends a failed transaction and looks its request key up.
pub(super) async fn roll_back_and_look_up(
    context: &UnitContext,
    exchange: &mut Exchange<'_>,
) -> Result<FoundRecord, Report<ConnectionBroken>> {
    exchange.connection.queue_query(ROLLBACK_QUERY);
    exchange.connection.queue_query(STATUS_QUERY);
    exchange.own_answer().await?;
    let before = read_status(&exchange.own_answer().await?).map(|status| status.received);
    look_up(context, exchange, before).await
}

/// Looks the request key up between two looks at the server's log: the row belongs to the log
/// whose positions are given only if both show the same term.
pub(super) async fn look_up(
    context: &UnitContext,
    exchange: &mut Exchange<'_>,
    before: Option<Position>,
) -> Result<FoundRecord, Report<ConnectionBroken>> {
    let Some(key) = &context.request.request_key else {
        return Ok(FoundRecord::Gone);
    };
    exchange.connection.queue_query(&lookup_query(key));
    exchange.connection.queue_query(STATUS_QUERY);
    let record = read_record(&exchange.own_answer().await?);
    let after = read_status(&exchange.own_answer().await?).map(|status| status.received);
    match (record, before, after) {
        (Some(record), Some(before), Some(position)) if before.term == position.term => {
            Ok(FoundRecord::Row { record, position })
        }
        _ => Ok(FoundRecord::Gone),
    }
}
