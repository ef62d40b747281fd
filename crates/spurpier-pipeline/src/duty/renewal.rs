//! Renewing the lease to use leads while the store is away.

use std::sync::{Arc, PoisonError};
use std::time::Duration;

use spurpier_core::lead::majority;

use super::peers::Peers;
use crate::context::Context;

/// How often the lease is looked at.
const TICK: Duration = Duration::from_millis(400);
/// The age of the store's news from which on the other voters are asked; the news of a store that
/// answers are younger.
const ASK_FROM: Duration = Duration::from_millis(2_000);

/// Has the other voters renew this node's lease while the store's news grow old; never returns.
///
/// A voter that knows of a succession which this node lacks does not renew: this node is told of
/// it when it asks the voter for the table.
pub async fn renew_lease(context: Arc<Context>, peers: Arc<Peers>) {
    loop {
        tokio::time::sleep(TICK).await;
        let asked_at = context.clock.now();
        let told_at = context.lease().told_at;
        if told_at.is_none_or(|told_at| asked_at.since(told_at) < ASK_FROM) {
            continue;
        }
        let voters = context.homes.watchers();
        let own = usize::from(voters.is_own && context.standing().is_some());
        let wanted = majority(voters.count).saturating_sub(own);
        let tokens = peers.standings(voters.others.len()).await;
        let known = context.newest_token();
        let confirming = tokens.iter().filter(|token| **token <= known).count();
        if confirming >= wanted {
            let confirmed = &context.lease_confirmed_at;
            let mut confirmed = confirmed.lock().unwrap_or_else(PoisonError::into_inner);
            *confirmed = (*confirmed).max(Some(asked_at));
        }
    }
}
