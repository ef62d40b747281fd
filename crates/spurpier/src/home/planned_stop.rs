//! The planned stop of a primary: its role goes to another server before it stops.
//!
//! New writes wait meanwhile, since a leaving primary gets no new work; running ones end. Every
//! home may ask for the transfer: the server takes the first request and refuses the others.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use spurpier_core::routing::{PlannedTransfer, planned_transfer};

use super::clock::Clock;
use super::control::query_server;
use super::database::GroupHome;
use crate::events;
use crate::log_event;

/// How long a transfer may take: it waits for running transactions.
const TRANSFER_TIMEOUT: Duration = Duration::from_secs(15);

/// Whether a transfer that this node asked for is under way.
#[derive(Debug, Default)]
pub struct TransferGuard {
    under_way: AtomicBool,
}

/// Asks for a transfer if the group's primary is leaving and none was asked for yet.
pub(super) fn transfer_if_leaving(group: &Arc<GroupHome>, clock: Clock) {
    let Some(transfer) = planned_transfer(&group.watcher.view(), clock.now()) else {
        return;
    };
    if group.transfer.under_way.swap(true, Ordering::AcqRel) {
        return;
    }
    let group = Arc::clone(group);
    tokio::spawn(async move {
        ask_for_transfer(&group, transfer, clock).await;
        group.transfer.under_way.store(false, Ordering::Release);
    });
}

async fn ask_for_transfer(group: &GroupHome, transfer: PlannedTransfer, clock: Clock) {
    let view = group.watcher.view();
    let to = &view.servers[transfer.to].name;
    log_event!(events::home::TRANSFER_REQUESTED, group = &group.id, to = to);
    let query = format!(
        "SELECT group_transfer('{}')",
        to.as_str().replace('\'', "''")
    );
    let answers = query_server(group, transfer.from, clock, &[&query], TRANSFER_TIMEOUT).await;
    let failure = match answers {
        Ok(answers) => answers
            .into_iter()
            .find_map(|answer| answer.error)
            .map(|error| error.to_string()),
        Err(report) => Some(report.to_string()),
    };
    group.watcher.doubt();
    if let Some(failure) = failure {
        log_event!(
            events::home::TRANSFER_FAILED,
            group = &group.id,
            failure = failure
        );
    }
}
