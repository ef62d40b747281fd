//! Which recorded servers may be removed: they have ended, and enough of the others hold what the
//! primary holds.

use std::collections::BTreeSet;
use std::io::ErrorKind;
use std::sync::Arc;
use std::time::Duration;

use nanoserde::DeBin;
use spurpier_core::directory::Incarnation;
use spurpier_core::leader::{
    MissingReplicas, Reachability, ReplicaLocation, ReplicaSet, Succession, may_remove_ended,
};
use tokio::net::TcpStream;
use tokio::time::timeout;

use super::{listed_servers, read_row};
use crate::context::Context;
use crate::group::Group;
use crate::membership::succession_key;
use crate::ports::{Condition, ServerRole, Table};
use crate::promotion::{await_position, status_of};
use crate::server::Server;

/// How long a server may take to answer a connection attempt.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
/// How long a replica may take to receive what the primary holds.
const CATCH_UP_TIMEOUT: Duration = Duration::from_secs(1);

/// Members that may be removed from a replica set.
pub struct Removable {
    /// The members.
    pub ended: BTreeSet<Incarnation>,
    /// The condition of the removal: no newer decision on the group's primary has been stored.
    pub condition: Condition,
}

/// The members of a set that may be removed; `None` if there are none, or if the primary does not
/// serve.
///
/// The decision is read first and the primary asked last: what it reports then includes everything
/// that the ended servers may have acknowledged.
pub async fn removable_servers(
    context: &Context,
    group: &Group,
    set: &ReplicaSet,
) -> Option<Removable> {
    let primary = serving_primary(context, group).await?;
    let ended = ended_servers(context, group, set).await;
    let may_remove = !ended.is_empty() && others_hold_all(context, group, &primary.server).await;
    let condition = primary.condition;
    may_remove.then_some(Removable { ended, condition })
}

/// A primary that is used under the newest decision.
struct ServingPrimary {
    server: Arc<Server>,
    /// That no newer decision has been stored.
    condition: Condition,
}

/// The group's primary, if this node may use it and the newest decision names it.
async fn serving_primary(context: &Context, group: &Group) -> Option<ServingPrimary> {
    let key = succession_key(&group.name);
    let stored = read_row(context, Table::Cluster, &key).await?;
    let version = stored.version;
    let is_newest_known = match stored.value {
        Some(value) => Succession::deserialize_bin(&value)
            .is_ok_and(|succession| succession.token == group.token()),
        None => true,
    };
    let server = group.leader()?;
    let is_used = is_newest_known && context.may_use_as_leader(group, &server);
    is_used.then(|| ServingPrimary {
        server,
        condition: Condition {
            table: Table::Cluster,
            key,
            version,
        },
    })
}

/// The members that have ended.
async fn ended_servers(
    context: &Context,
    group: &Group,
    set: &ReplicaSet,
) -> BTreeSet<Incarnation> {
    let missing = {
        let groups = context.replica_sets.lock();
        let known = groups.get(&group.name);
        known.map_or_else(MissingReplicas::default, |known| known.missing.clone())
    };
    let now = context.clock.now();
    let mut ended = BTreeSet::new();
    for (server, location) in set.members() {
        if !missing.may_have_ended(now).any(|missing| missing == server) {
            continue;
        }
        let reachability = if is_restarted(group, server) {
            Reachability::Refuses
        } else {
            reachability(context, location).await
        };
        if missing.has_ended(server, reachability, now) {
            ended.insert(server.clone());
        }
    }
    ended
}

/// Whether the directory lists another incarnation of a server.
fn is_restarted(group: &Group, server: &Incarnation) -> bool {
    let mut listed = listed_servers(group).into_keys();
    listed.any(|listed| listed.is_other_incarnation_of(server))
}

/// How a server's address answers. Nothing is sent to a zone that is closed.
async fn reachability(context: &Context, location: &ReplicaLocation) -> Reachability {
    let zone_gate = context.locality.evacuations.gate(&location.zone);
    if zone_gate.is_closed() {
        return Reachability::Silent;
    }
    let connecting = TcpStream::connect(location.address);
    match timeout(CONNECT_TIMEOUT, connecting).await {
        Ok(Ok(_)) => Reachability::Answers,
        Ok(Err(error)) if error.kind() == ErrorKind::ConnectionRefused => Reachability::Refuses,
        Ok(Err(_)) | Err(_) => Reachability::Silent,
    }
}

/// Whether enough replicas have received what the primary reports to hold now.
async fn others_hold_all(context: &Context, group: &Group, primary: &Arc<Server>) -> bool {
    let status = status_of(context, primary).await;
    let Some(status) = status.filter(|status| status.role == ServerRole::Primary) else {
        return false;
    };
    let position = status.received;
    let replicas = group.servers().into_iter();
    let replicas = replicas
        .filter(|server| server.incarnation != primary.incarnation && !server.listing().gone);
    let received = replicas.map(|server| async move {
        let receives = await_position(context, &server, position, CATCH_UP_TIMEOUT).await;
        receives.then_some(position)
    });
    let received = futures::future::join_all(received).await;
    may_remove_ended(position, &received, group.synchronous_replicas())
}
