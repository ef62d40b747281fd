//! The rows of the duty in the store: reading them, and storing a decision under a new token.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use nanoserde::{DeBin, SerBin};
use spurpier_core::leader::{PromotionLeaseRow, Succession};
use spurpier_core::store_version::StoreVersion;
use spurpier_core::time::Timestamp;
use spurpier_events::log_event;
use tokio::time::timeout;

use super::successor::Successor;
use crate::context::{Context, TOLD_BY_STORE};
use crate::era::transact_in_era;
use crate::events;
use crate::group::Group;
use crate::membership::succession_key;
use crate::ports::{
    Condition, FencingToken, Row, Shard, Table, TransactOutcome, Transaction, Write,
};
use crate::progress::Progress;
use crate::server::Server;

/// The key of the row of the duty's holder.
const HOLDER_KEY: &str = "promotion";
/// What stands before the group and the node in the key of a node's yield.
const RELEASE_PREFIX: &str = "yield/";
/// Rows that one transaction removes; the store takes 100 entries at most.
const MAX_REMOVED_PER_TRANSACTION: usize = 50;
/// How long one call may take.
const STORE_CALL_TIMEOUT: Duration = Duration::from_millis(800);

/// The holder's row as it was read.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct KnownPromotionLease {
    /// The row; none if there is none.
    pub row: Option<PromotionLeaseRow>,
    /// Its version; number 0 of the store's era if there is none.
    pub version: StoreVersion,
}

/// A node that told the store that it has yielded.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StoredRelease {
    /// The group.
    pub group: String,
    /// The node.
    pub node: String,
    /// The token of the succession that it has yielded to.
    pub token: u64,
}

/// What the store says of the duty.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct PromotionLeaseState {
    /// The holder.
    pub lease: KnownPromotionLease,
    /// The nodes that have yielded by way of the store.
    pub releases: Vec<StoredRelease>,
}

/// A decision that stands in the store.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Decision {
    /// The group's new lead, and the decision's token.
    pub succession: Succession,
    /// The version of the succession's row.
    pub version: StoreVersion,
    /// When the decision was sent to the store.
    pub sent_at: Timestamp,
    /// When the store had acknowledged it.
    pub stored_at: Timestamp,
}

impl Decision {
    /// The token under which the successor is ordered to lead.
    pub fn token(&self) -> FencingToken {
        FencingToken(self.succession.token)
    }
}

/// Reads the rows of the duty; none if the store does not answer.
pub async fn read_promotion_lease(context: &Context) -> Option<PromotionLeaseState> {
    let read = timeout(
        STORE_CALL_TIMEOUT,
        context.store.read(Table::Duty, &Progress::new()),
    )
    .await;
    let Ok(Ok(read)) = read else {
        context.note_store_failure();
        return None;
    };
    context.note_store_answer();
    if !context.note_store_era(read.version.era(), TOLD_BY_STORE) {
        return None;
    }
    let row = read.rows.iter().find(|row| row.key == HOLDER_KEY);
    let lease = KnownPromotionLease {
        row: row.and_then(|row| PromotionLeaseRow::deserialize_bin(&row.value).ok()),
        version: row.map_or(read.version.for_absent_row(), |row| row.version),
    };
    if let Some(row) = &lease.row {
        context.note_duty_holder(&row.holder);
    }
    let releases = read.rows.iter().filter_map(stored_release).collect();
    Some(PromotionLeaseState { lease, releases })
}

fn stored_release(row: &Row) -> Option<StoredRelease> {
    let (group, node) = row.key.strip_prefix(RELEASE_PREFIX)?.rsplit_once('/')?;
    Some(StoredRelease {
        group: group.to_owned(),
        node: node.to_owned(),
        token: u64::deserialize_bin(&row.value).ok()?,
    })
}

fn release_key(group: &str, node: &str) -> String {
    format!("{RELEASE_PREFIX}{group}/{node}")
}

/// Tells the store that this node has yielded to a succession; false if the store does not answer.
pub async fn store_release(context: &Context, group: &Group, token: u64) -> bool {
    let write = own_release(context, group, token);
    commit(context, Vec::new(), vec![write]).await.is_some()
}

fn own_release(context: &Context, group: &Group, token: u64) -> Write {
    Write::Put {
        table: Table::Duty,
        key: release_key(&group.name, &context.settings.node.name),
        value: Bytes::from(token.serialize_bin()),
    }
}

/// Removes the yields to a decision that is over.
pub async fn remove_releases(context: &Context, releases: &[StoredRelease]) {
    let writes = releases.iter().map(|release| Write::Remove {
        table: Table::Duty,
        key: release_key(&release.group, &release.node),
    });
    let writes: Vec<Write> = writes.collect();
    for writes in writes.chunks(MAX_REMOVED_PER_TRANSACTION) {
        // What is left is replaced when the node yields again.
        commit(context, Vec::new(), writes.to_vec()).await;
    }
}

/// Stores the decision that a server takes over its group, under the next token, if the holder's
/// row has not changed since it was read.
///
/// None if it has, or if the store does not tell; the row is then to be read again, since a call
/// without an answer may be carried out later.
pub async fn store_decision(
    context: &Context,
    known: &KnownPromotionLease,
    group: &Group,
    successor: &Successor,
    deposed: Option<&Server>,
) -> Option<Decision> {
    let own_name = &context.settings.node.name;
    let next = PromotionLeaseRow::next(known.row.as_ref(), own_name, known.version.era());
    let succession = Succession {
        token: next.token,
        successor: successor.server.incarnation.clone(),
        received: successor.received,
        deposed: deposed.map(|server| server.incarnation.clone()),
    };
    let condition = Condition {
        table: Table::Duty,
        key: HOLDER_KEY.to_owned(),
        version: known.version,
    };
    let writes = vec![
        Write::Put {
            table: Table::Duty,
            key: HOLDER_KEY.to_owned(),
            value: Bytes::from(next.serialize_bin()),
        },
        Write::Put {
            table: Table::Cluster,
            key: succession_key(&group.name),
            value: Bytes::from(succession.serialize_bin()),
        },
    ];
    let sent_at = context.clock.now();
    let Some(version) = commit(context, vec![condition], writes).await else {
        log_event!(events::DUTY_REFUSED, token = next.token);
        return None;
    };
    log_event!(events::DUTY_TAKEN, token = next.token);
    context.note_duty_holder(&next.holder);
    Some(Decision {
        succession,
        version,
        sent_at,
        stored_at: context.clock.now(),
    })
}

/// Notes in the store that the successor of a decision was ordered to lead, so that nobody waits for
/// what the deposed primary holds any more. If that fails, a later decision may wait needlessly.
pub async fn record_promotion(context: &Context, group: &Group, decision: &Decision) {
    let key = succession_key(&group.name);
    let condition = Condition {
        table: Table::Cluster,
        key: key.clone(),
        version: decision.version,
    };
    let succession = Succession {
        deposed: None,
        ..decision.succession.clone()
    };
    let write = Write::Put {
        table: Table::Cluster,
        key,
        value: Bytes::from(succession.serialize_bin()),
    };
    commit(context, vec![condition], vec![write]).await;
}

/// Stores a succession again that the store has lost, in the place of the row of a version. Another
/// node may be faster, or a newer decision: then nothing is written.
pub async fn restore_succession(
    context: Arc<Context>,
    group: Arc<Group>,
    succession: Succession,
    known: StoreVersion,
) {
    if group.token() != succession.token {
        return;
    }
    let key = succession_key(&group.name);
    let condition = Condition {
        table: Table::Cluster,
        key: key.clone(),
        version: known,
    };
    let write = Write::Put {
        table: Table::Cluster,
        key,
        value: Bytes::from(succession.serialize_bin()),
    };
    let version = commit(&context, vec![condition], vec![write]).await;
    if let Some(version) = version {
        log_event!(
            events::SUCCESSION_RESTORED,
            group = group.name,
            server = succession.successor,
            token = succession.token,
            version = version
        );
    }
}

/// Whether a decision is still its group's newest; none if the store does not tell.
pub async fn confirm_decision(
    context: &Context,
    group: &Group,
    decision: &Decision,
) -> Option<bool> {
    let condition = Condition {
        table: Table::Cluster,
        key: succession_key(&group.name),
        version: decision.version,
    };
    let writes = vec![own_release(context, group, decision.succession.token)];
    match transact(context, vec![condition], writes).await? {
        TransactOutcome::Made(_) => Some(true),
        TransactOutcome::Conflict(_) => Some(false),
    }
}

/// Makes a transaction; its version, or none if it was not made or the store does not tell.
async fn commit(
    context: &Context,
    conditions: Vec<Condition>,
    writes: Vec<Write>,
) -> Option<StoreVersion> {
    match transact(context, conditions, writes).await? {
        TransactOutcome::Made(version) => Some(version),
        TransactOutcome::Conflict(_) => None,
    }
}

async fn transact(
    context: &Context,
    conditions: Vec<Condition>,
    writes: Vec<Write>,
) -> Option<TransactOutcome> {
    let transaction = Transaction {
        conditions,
        writes,
        shard: Shard::Duty,
    };
    let call = transact_in_era(context, transaction);
    timeout(STORE_CALL_TIMEOUT, call).await.ok()?.ok()
}
