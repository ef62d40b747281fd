//! Keeps the recorded replica sets up to date: adds servers that are listed, and removes those that
//! have ended.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use nanoserde::SerBin;
use spurpier_core::directory::Incarnation;
use spurpier_core::leader::{ReplicaLocation, ReplicaSet};
use spurpier_core::store_version::StoreVersion;
use spurpier_core::time::Timestamp;
use spurpier_events::log_event;
use tokio::time::timeout;

use super::removal::removable_servers;
use super::{RecordedSet, STORE_CALL_TIMEOUT, listed_servers, read_recorded, record};
use crate::configuration::IndexedConfiguration;
use crate::context::Context;
use crate::era::transact_in_era;
use crate::events;
use crate::group::Group;
use crate::homes::Home;
use crate::ports::{Condition, Shard, Table, TransactOutcome, Transaction, Write};

/// Interval at which the listed servers are compared with those that are recorded.
const CHECK_INTERVAL: Duration = Duration::from_millis(250);
/// How much longer each home waits before it acts than the one ranked before it, so that usually
/// only one of them writes.
const RANK_DELAY: Duration = Duration::from_millis(500);
/// Interval between attempts to remove servers that have ended.
const REMOVAL_INTERVAL: Duration = Duration::from_secs(2);
/// How long after a change of the listed servers the recorded set is read again. Longer than a call
/// of another home may stay unanswered and be executed nevertheless.
const LATE_CALL_TIMEOUT: Duration = Duration::from_secs(10);

/// Keeps the replica sets of the groups that this node is a home of; never returns.
pub async fn keep_replica_sets(context: Arc<Context>) {
    let mut keepers: BTreeMap<String, (Arc<Group>, Keeper)> = BTreeMap::new();
    loop {
        await_synchronous_groups(&context).await;
        let groups = context.groups_in_use().into_iter();
        let groups = groups.filter(|group| group.synchronous_replicas() > 0);
        let mut former = std::mem::take(&mut keepers);
        for group in groups {
            let keeper = former.remove(&group.name).map(|(_, keeper)| keeper);
            let keeper = keeper.unwrap_or_default();
            keepers.insert(group.name.clone(), (group, keeper));
        }
        let checks = keepers.values_mut();
        let checks = checks.map(|(group, keeper)| keeper.check(&context, group));
        futures::future::join_all(checks).await;
        tokio::time::sleep(CHECK_INTERVAL).await;
    }
}

/// Waits until the configuration names a group with synchronous replicas.
async fn await_synchronous_groups(context: &Context) {
    let has_synchronous_groups = |known: &Option<Arc<IndexedConfiguration>>| {
        let known = known.as_ref();
        known.is_some_and(|known| known.has_synchronous_replicas())
    };
    let mut configuration = context.configuration.subscribe();
    // Cannot fail: the sender is dropped only with the context.
    let _ = configuration.wait_for(has_synchronous_groups).await;
}

/// Keeps the replica set of one group.
#[derive(Default)]
struct Keeper {
    /// What was last found or written in the store.
    confirmed: Option<ConfirmedSet>,
    /// When the listed servers were first seen to differ from the confirmed ones.
    changed_at: Option<Timestamp>,
    /// When the recorded set is read again although the listed servers have not changed.
    verification_due: Option<Timestamp>,
    /// When the removal of ended servers is next attempted; `None` if all members are listed.
    removal_due: Option<Timestamp>,
}

/// A recorded set that contains all servers that were listed.
#[derive(Debug, Clone, PartialEq, Eq)]
struct ConfirmedSet {
    listed: BTreeMap<Incarnation, ReplicaLocation>,
    version: StoreVersion,
}

impl ConfirmedSet {
    /// Whether a server that was not listed then is listed now.
    fn has_joined(&self, listed: &BTreeMap<Incarnation, ReplicaLocation>) -> bool {
        let mut listed = listed.keys();
        listed.any(|server| !self.listed.contains_key(server))
    }
}

impl Keeper {
    async fn check(&mut self, context: &Context, group: &Group) {
        let Some(rank) = own_rank(context, group) else {
            return;
        };
        let now = context.clock.now();
        let listed = listed_servers(group);
        let era = context.era();
        let is_confirmed = self
            .confirmed
            .as_ref()
            .is_some_and(|confirmed| confirmed.listed == listed && confirmed.version.era() == era);
        if !is_confirmed {
            let changed_at = *self.changed_at.get_or_insert(now);
            if now.since(changed_at) >= RANK_DELAY * rank {
                self.add_listed(context, group, listed).await;
            }
            return;
        }
        self.changed_at = None;
        if self.verification_due.is_some_and(|due| due <= now) {
            self.verification_due = None;
            self.verify(context, group).await;
        }
        if self.removal_due.is_some_and(|due| due <= now) {
            self.removal_due = Some(now + REMOVAL_INTERVAL * (rank + 1));
            self.remove_ended(context, group).await;
        }
    }

    /// Adds the listed servers to the recorded ones.
    ///
    /// The set is written also if it contains a server already that has joined: a removal of that
    /// server which is executed late must not find the version that it expects.
    async fn add_listed(
        &mut self,
        context: &Context,
        group: &Group,
        listed: BTreeMap<Incarnation, ReplicaLocation>,
    ) {
        if listed.is_empty() {
            return;
        }
        let Some(recorded) = read_recorded(context, group).await else {
            return;
        };
        let former = recorded.set.clone().unwrap_or_default();
        let next = former.with(listed.clone());
        let has_missing = next
            .members()
            .any(|(server, _)| !listed.contains_key(server));
        let may_be_removed = self.confirmed.as_ref().is_some_and(|confirmed| {
            confirmed.has_joined(&listed) && confirmed.version == recorded.version
        });
        let version = if next != former || may_be_removed {
            write(context, group, &recorded, next, None).await
        } else {
            Some(recorded.version)
        };
        let Some(version) = version else {
            return;
        };
        let now = context.clock.now();
        self.removal_due = has_missing.then_some(now);
        self.verification_due = Some(now + LATE_CALL_TIMEOUT);
        self.confirmed = Some(ConfirmedSet { listed, version });
        self.changed_at = None;
    }

    /// Reads the recorded set again, and takes it for unconfirmed if it has changed.
    async fn verify(&mut self, context: &Context, group: &Group) {
        let recorded = read_recorded(context, group).await;
        let version = self.confirmed.as_ref().map(|confirmed| confirmed.version);
        if recorded.map(|recorded| recorded.version) != version {
            self.confirmed = None;
        }
    }

    /// Removes servers that have ended, if enough of the others hold what the primary holds.
    async fn remove_ended(&mut self, context: &Context, group: &Group) {
        let Some(recorded) = read_recorded(context, group).await else {
            return;
        };
        let Some(set) = &recorded.set else {
            self.confirmed = None;
            return;
        };
        if is_complete(context, group) {
            self.removal_due = None;
            return;
        }
        let Some(removable) = removable_servers(context, group, set).await else {
            return;
        };
        let next = set.without(&removable.ended);
        let written = write(context, group, &recorded, next, Some(removable.condition)).await;
        if let (Some(version), Some(confirmed)) = (written, &mut self.confirmed) {
            confirmed.version = version;
            for server in &removable.ended {
                log_event!(events::REPLICA_REMOVED, group = group.name, server = server);
            }
        }
    }
}

/// This node's place among the homes of a group; `None` if it is no home.
fn own_rank(context: &Context, group: &Group) -> Option<u32> {
    let homes = context.homes_of(&group.name);
    let ranked = context.homes.ranked_over_all(&homes, &group.name);
    let rank = ranked.iter().position(|home| *home == Home::Own)?;
    u32::try_from(rank).ok()
}

/// Whether all members of the recorded set are listed.
fn is_complete(context: &Context, group: &Group) -> bool {
    let groups = context.replica_sets.lock();
    let known = groups.get(&group.name);
    known.is_none_or(|known| known.missing.is_empty())
}

/// Writes the set on the condition that the recorded one has not changed, and on another one if it
/// is given. Returns the version of the new row, or `None` if it is not known to be written.
async fn write(
    context: &Context,
    group: &Group,
    recorded: &RecordedSet,
    next: ReplicaSet,
    condition: Option<Condition>,
) -> Option<StoreVersion> {
    let conditions = [recorded.condition(group)].into_iter().chain(condition);
    let conditions: Vec<Condition> = conditions.collect();
    let mut eras = conditions.iter().map(|condition| condition.version.era());
    if eras.any(|era| era != recorded.version.era()) {
        return None;
    }
    let transaction = Transaction {
        conditions,
        writes: vec![Write::Put {
            table: Table::ReplicaSets,
            key: group.name.clone(),
            value: Bytes::from(next.serialize_bin()),
        }],
        shard: Shard::Duty,
    };
    let call = transact_in_era(context, transaction);
    let Ok(Ok(TransactOutcome::Committed(version))) = timeout(STORE_CALL_TIMEOUT, call).await
    else {
        // The set is read again before the next attempt: the call may still be executed.
        return None;
    };
    let set = Some(next);
    record(context, group, RecordedSet { set, version });
    Some(version)
}
