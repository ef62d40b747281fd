//! Finding out whether a keyed transaction whose commit was lost has taken effect.

use error_stack::Report;
use spurpier_core::commit::{CommitAction, CommitEvent, CommitMachine};
use spurpier_core::reason::Reason;

use super::channel::UnitChannel;
use super::commit_answers::roll_back_and_look_up;
use super::context::{Place, UnitContext};
use super::exchange::{Exchange, WhenGone};
use super::prepare::return_lease;
use super::request_key::settle_query;

use crate::home::backend::ConnectionBroken;
use crate::home::group::{LAST_COMMIT_QUERY, read_last_commit};

/// Inserts and removes the request key on the present primary, or finds its row.
///
/// The lost copy had inserted the key before its COMMIT left. On the same primary its lock makes
/// this insert wait until the copy has ended; in a later primary's log the key is there or not.
pub(super) async fn settle(
    context: &UnitContext,
    machine: &mut CommitMachine,
    channel: &mut UnitChannel,
) -> CommitAction {
    let place = context.acquire_primary(machine.deadline()).await;
    let Ok(mut place) = place else {
        let end = machine.deadline().max(context.now());
        return machine.step(CommitEvent::Tick, end);
    };
    match settle_on(context, &mut place, channel).await {
        Ok(event) => {
            return_lease(place.lease, channel).await;
            machine.step(event, context.now())
        }
        Err(_) => {
            context.group.watcher.doubt();
            machine.step(CommitEvent::ConnectionLost, context.now())
        }
    }
}

async fn settle_on(
    context: &UnitContext,
    place: &mut Place,
    channel: &mut UnitChannel,
) -> Result<CommitEvent<'static>, Report<ConnectionBroken>> {
    let not_taken = CommitEvent::Rejected {
        reason: Reason::CommitUnknown,
    };
    let Some(key) = &context.request.request_key else {
        return Ok(not_taken);
    };
    let connection = place.lease.connection().ok_or(ConnectionBroken)?;
    connection.queue_query(&settle_query(key, context.request.statement_digest));
    connection.queue_query(LAST_COMMIT_QUERY);
    let watcher = &context.group.watcher;
    let mut exchange = Exchange::new(connection, channel, watcher, place.index, WhenGone::RunOn);
    let inserted = exchange.own_answer().await?;
    let position = read_last_commit(&exchange.own_answer().await?);
    let Some(error) = &inserted.error else {
        let position = position.ok_or(ConnectionBroken)?;
        exchange.connection.last_commit = position;
        return Ok(CommitEvent::KeyAbsent { position });
    };
    let exists = error.is_unique_violation();
    let found = roll_back_and_look_up(context, &mut exchange).await?;
    Ok(if exists {
        found.event(context)
    } else {
        not_taken
    })
}
