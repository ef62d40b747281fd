//! Removal of request keys that are older than they must be kept.

use std::hash::{DefaultHasher, Hash, Hasher};
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use super::control::query_primary;
use super::database::{DatabaseHome, GroupHome};
use super::shared::HomeShared;
use super::unit::wall_clock_millis;

/// How many keys one transaction removes at most.
const KEYS_AT_ONCE: u32 = 200;
/// Rounds of maintenance between two removals; databases take different ones.
const ROUNDS_BETWEEN: u64 = 50;
/// How long a removal may take.
const REMOVAL_TIMEOUT: Duration = Duration::from_secs(5);

/// Removes some old keys if it is the database's turn in this round and its primary is not busy.
pub(super) async fn clean(home: &HomeShared, database: &DatabaseHome, round: u64) {
    let turn = place_among_rounds(database);
    if round % ROUNDS_BETWEEN != turn || !(home.seams.is_first_home)(database.name()) {
        return;
    }
    let Some(group) = home.write_group(database) else {
        return;
    };
    if is_busy(group) {
        return;
    }
    let age = home.limits.request_key_seconds.saturating_mul(1_000);
    let oldest = wall_clock_millis().saturating_sub(age);
    let query = removal_query(oldest);
    // A removal that fails is made again in a later round.
    let answers = query_primary(group, home.clock, &[&query], REMOVAL_TIMEOUT).await;
    let tag = answers
        .ok()
        .and_then(|answers| answers.into_iter().next()?.command_tag);
    let removed = tag.as_deref().and_then(removed_count).unwrap_or(0);
    let counter = &home.counters.removed_request_keys;
    counter.fetch_add(removed, Ordering::Relaxed);
}

fn removal_query(oldest: u64) -> String {
    format!(
        "DELETE FROM spurpier_request WHERE request_key IN (SELECT request_key \
         FROM spurpier_request WHERE created_at_ms < {oldest} LIMIT {KEYS_AT_ONCE})"
    )
}

/// The number in a tag such as `DELETE 7`.
fn removed_count(tag: &str) -> Option<u64> {
    tag.strip_prefix("DELETE ")?.parse().ok()
}

fn place_among_rounds(database: &DatabaseHome) -> u64 {
    let mut hasher = DefaultHasher::new();
    database.name().hash(&mut hasher);
    hasher.finish() % ROUNDS_BETWEEN
}

fn is_busy(group: &Arc<GroupHome>) -> bool {
    let primary = group.watcher.view().primary();
    let pool = primary.and_then(|index| group.pools.get(index));
    pool.is_none_or(|pool| pool.usage().waiting > 0)
}
