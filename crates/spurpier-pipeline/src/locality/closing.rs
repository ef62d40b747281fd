//! Closes this node's connections and transactions in a zone once nothing more may be sent there.

use std::collections::BTreeSet;
use std::sync::Arc;

use spurpier_core::time::Timestamp;
use spurpier_events::log_event;
use tokio::sync::watch;

use crate::context::Context;
use crate::events;
use crate::server::Server;

/// Closes each evacuated zone at its closing time. Never returns.
pub async fn close_evacuated(context: Arc<Context>) {
    let evacuations = &context.locality.evacuations;
    let mut changes = evacuations.changes();
    let mut closed = BTreeSet::new();
    loop {
        changes.borrow_and_update();
        let now = context.clock.now();
        let zones = evacuations.zones();
        closed.retain(|zone| zones.iter().any(|(evacuated, _)| evacuated == zone));
        let due = zones.iter().filter(|(_, closes_at)| *closes_at <= now);
        for (zone, _) in due {
            if closed.insert(zone.clone()) {
                close(&context, zone);
            }
        }
        let next = zones.iter().map(|(_, closes_at)| *closes_at);
        let next = next.filter(|closes_at| *closes_at > now).min();
        wait(&context, &mut changes, next).await;
    }
}

async fn wait(context: &Context, changes: &mut watch::Receiver<u64>, until: Option<Timestamp>) {
    // The sender lives as long as the context. In either case the zones are checked again.
    match until {
        Some(until) => {
            let until = context.clock.instant(until);
            let _ = tokio::time::timeout_at(until, changes.changed()).await;
        }
        None => {
            let _ = changes.changed().await;
        }
    }
}

/// Closes unused connections to a zone's servers, and those of idle transactions. A server drops
/// the transaction of a closed connection, so nothing has to be sent.
fn close(context: &Context, zone: &str) {
    let transactions = context.locality.open_transactions.close_in_zone(zone);
    log_event!(
        events::ZONE_CLOSED,
        zone = zone,
        transactions = transactions
    );
    for group in context.all_groups() {
        for server in group.servers() {
            if is_in_zone(&server, zone) {
                server.pool.close_idle();
            }
        }
        if group
            .leader()
            .is_some_and(|leader| is_in_zone(&leader, zone))
        {
            log_event!(events::EVACUATED_PRIMARY, group = group.name, zone = zone);
        }
    }
}

fn is_in_zone(server: &Server, zone: &str) -> bool {
    server.listing().entry.zone == zone
}
