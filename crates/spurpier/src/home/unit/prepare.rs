//! The prepare and finish phases: session settings on the connection, and a clean return.

use std::time::Duration;

use error_stack::Report;
use spurpier_protocol::unit::{Batch, SessionSetting};

use super::channel::UnitChannel;
use super::exchange::Exchange;
use crate::home::backend::{ConnectionBroken, ServerError};
use crate::home::pool::Lease;

/// Takes back every setting of the connection's last session.
pub(super) const RESET_QUERY: &str = "RESET ALL";
/// Ends a transaction without effect.
const ROLLBACK_QUERY: &str = "ROLLBACK";
/// How long a rollback may take before its connection is closed instead.
const ROLLBACK_TIMEOUT: Duration = Duration::from_secs(5);
/// A connection with more prepared statements is closed rather than reused.
const MAX_PREPARED_STATEMENTS: usize = 500;
/// A function by which a statement can change a setting for the whole session.
const SET_FUNCTION: &[u8] = b"set_config";

/// Gives the connection the session's settings where they differ from its own.
///
/// This takes a round trip of its own, for a statement must not run under wrong settings.
///
/// # Errors
///
/// [`ConnectionBroken`]; the server's own error for a setting is the inner result.
pub(super) async fn apply_settings(
    exchange: &mut Exchange<'_>,
    wanted: &[SessionSetting],
) -> Result<Result<(), ServerError>, Report<ConnectionBroken>> {
    if exchange.connection.settings.as_deref() == Some(wanted) {
        return Ok(Ok(()));
    }
    exchange.connection.settings = None;
    exchange.connection.queue_query(&settings_query(wanted));
    let answer = exchange.own_answer().await?;
    if let Some(error) = answer.error {
        return Ok(Err(error));
    }
    exchange.connection.settings = Some(wanted.to_vec());
    Ok(Ok(()))
}

fn settings_query(wanted: &[SessionSetting]) -> String {
    let mut text = RESET_QUERY.to_owned();
    for setting in wanted {
        text.push_str("; SET ");
        text.push_str(&setting.name);
        text.push_str(" = ");
        text.push_str(&setting.value);
    }
    text
}

/// Whether a batch may change settings behind the home's back.
pub(super) fn may_change_settings(batch: &Batch) -> bool {
    let texts = batch
        .prepared
        .iter()
        .map(|statement| statement.text.as_bytes());
    texts
        .chain(std::iter::once(batch.messages.as_slice()))
        .any(contains_set_function)
}

fn contains_set_function(text: &[u8]) -> bool {
    text.windows(SET_FUNCTION.len())
        .any(|window| window.eq_ignore_ascii_case(SET_FUNCTION))
}

/// Gives the connection back once a cancel request cannot reach it any more.
pub(super) async fn return_lease(mut lease: Lease, channel: &mut UnitChannel) {
    let settled = channel.settle_cancel().await;
    let crowded = lease
        .connection()
        .is_none_or(|connection| connection.prepared.len() > MAX_PREPARED_STATEMENTS);
    if settled && !crowded {
        lease.finish();
    }
}

/// Rolls an open transaction back and gives the connection back; closes it if that fails.
pub(super) async fn roll_back(mut lease: Lease, channel: &mut UnitChannel) {
    let Some(connection) = lease.connection() else {
        return;
    };
    connection.settings = None;
    connection.queue_query(ROLLBACK_QUERY);
    connection.queue_query(RESET_QUERY);
    let answers = async {
        connection.read_answer().await?;
        connection.read_answer().await
    };
    let reset = tokio::time::timeout(ROLLBACK_TIMEOUT, answers).await;
    if let Ok(Ok(answer)) = reset {
        connection.settings = answer.error.is_none().then(Vec::new);
        return_lease(lease, channel).await;
    }
}
