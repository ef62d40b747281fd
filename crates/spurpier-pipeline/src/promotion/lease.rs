//! Reads the rows of the promotion lease from the store, and stores decisions under new fencing
//! tokens.

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
use crate::context::{Context, STORE_SOURCE};
use crate::era::transact_in_era;
use crate::events;
use crate::group::Group;
use crate::membership::succession_key;
use crate::ports::{
    Condition, FencingToken, Row, Shard, Table, TransactOutcome, Transaction, Write,
};
use crate::progress::Progress;
use crate::server::Server;

/// The key of the row that names the lease's holder.
const HOLDER_KEY: &str = "promotion";
/// The prefix of the key under which a node's release is stored, before the group and the node.
const RELEASE_PREFIX: &str = "yield/";
/// How many rows one transaction removes. The store accepts at most 100 entries.
const MAX_REMOVED_PER_TRANSACTION: usize = 50;
/// How long one call to the store may take.
const STORE_CALL_TIMEOUT: Duration = Duration::from_millis(800);

/// The promotion lease's row as it was last read.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct KnownPromotionLease {
    /// The row; `None` if it is absent or cannot be decoded.
    pub row: Option<PromotionLeaseRow>,
    /// The version of the row; number 0 of the store's era if the row is absent.
    pub version: StoreVersion,
}

/// A node's report to the store that it has released its leader lease for a succession.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StoredRelease {
    /// The name of the group.
    pub group: String,
    /// The name of the node.
    pub node: String,
    /// The token of the succession.
    pub token: u64,
}

/// The rows of the promotion lease in the store.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct PromotionLeaseState {
    /// The row of the lease's holder.
    pub lease: KnownPromotionLease,
    /// The releases that nodes have reported through the store.
    pub releases: Vec<StoredRelease>,
}

/// A decision that is stored.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Decision {
    /// The successor and the fencing token of the decision.
    pub succession: Succession,
    /// The version of the succession's row.
    pub version: StoreVersion,
    /// When the decision was sent to the store.
    pub sent_at: Timestamp,
    /// When the store's acknowledgement arrived.
    pub stored_at: Timestamp,
}

impl Decision {
    /// The fencing token under which the successor is promoted.
    pub fn token(&self) -> FencingToken {
        FencingToken(self.succession.token)
    }
}

/// Reads the rows of the promotion lease. `None` if the store does not answer in time, or if this
/// node knows a later era of the store than the answer's.
pub async fn read_promotion_lease(context: &Context) -> Option<PromotionLeaseState> {
    let read = timeout(
        STORE_CALL_TIMEOUT,
        context.store.read(Table::Duty, &Progress::new()),
    )
    .await;
    let Ok(Ok(read)) = read else {
        context.record_store_failure();
        return None;
    };
    context.record_store_answer();
    if !context.record_store_era(read.version.era(), STORE_SOURCE) {
        return None;
    }
    let row = read.rows.iter().find(|row| row.key == HOLDER_KEY);
    let lease = KnownPromotionLease {
        row: row.and_then(|row| PromotionLeaseRow::deserialize_bin(&row.value).ok()),
        version: row.map_or(read.version.for_absent_row(), |row| row.version),
    };
    if let Some(row) = &lease.row {
        context.record_promotion_lease_holder(&row.holder);
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

/// Reports to the store that this node has released its leader lease for a succession. Returns
/// false if the store does not confirm it.
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

/// Removes the releases of a decision whose round has ended.
pub async fn remove_releases(context: &Context, releases: &[StoredRelease]) {
    let writes = releases.iter().map(|release| Write::Remove {
        table: Table::Duty,
        key: release_key(&release.group, &release.node),
    });
    let writes: Vec<Write> = writes.collect();
    for writes in writes.chunks(MAX_REMOVED_PER_TRANSACTION) {
        // Rows that remain after a failure are overwritten by the node's next release.
        commit(context, Vec::new(), writes.to_vec()).await;
    }
}

/// Stores the decision that a server takes over its group, under the next fencing token, on the
/// condition that the lease's row has not changed since it was read. `deposed` is the primary that
/// steps down and stays in service. `counted` is a further condition, read in the same era.
///
/// Returns `None` if the row has changed or the outcome is unknown. The row must then be read
/// again, since a call without an answer may still be executed later.
pub async fn store_decision(
    context: &Context,
    known: &KnownPromotionLease,
    group: &Group,
    successor: &Successor,
    deposed: Option<&Server>,
    counted: Option<Condition>,
) -> Option<Decision> {
    let is_same_era = |condition: &Condition| condition.version.era() == known.version.era();
    if !counted.as_ref().is_none_or(is_same_era) {
        return None;
    }
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
    let conditions = [condition].into_iter().chain(counted).collect();
    let Some(version) = commit(context, conditions, writes).await else {
        log_event!(events::PROMOTION_LEASE_REFUSED, token = next.token);
        return None;
    };
    log_event!(events::PROMOTION_LEASE_ACQUIRED, token = next.token);
    context.record_promotion_lease_holder(&next.holder);
    Some(Decision {
        succession,
        version,
        sent_at,
        stored_at: context.clock.now(),
    })
}

/// Records in the store that the successor of a decision was promoted, so that later decisions no
/// longer wait for what the deposed primary holds. If that fails, a later decision may wait
/// needlessly.
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

/// Writes a succession again that the store has lost. `known` is the version that its row must
/// still have. Writes nothing if another node was faster or if a newer decision exists.
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

/// Whether a decision is still the newest of its group; `None` if the store does not answer. Also
/// stores this node's own release.
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
        TransactOutcome::Committed(_) => Some(true),
        TransactOutcome::Conflict(_) => Some(false),
    }
}

/// Commits a transaction and returns its version; `None` if it was not committed or the outcome is
/// unknown.
async fn commit(
    context: &Context,
    conditions: Vec<Condition>,
    writes: Vec<Write>,
) -> Option<StoreVersion> {
    match transact(context, conditions, writes).await? {
        TransactOutcome::Committed(version) => Some(version),
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
