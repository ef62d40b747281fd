//! The servers that a decision counts.

use std::collections::BTreeSet;
use std::sync::Arc;

use spurpier_core::directory::Incarnation;
use spurpier_core::leader::{FormerPrimary, counted_servers};

use super::{KnownReplicas, listed_servers, read_recorded};
use crate::context::Context;
use crate::directory::ENTRY_RETURN_TIMEOUT;
use crate::group::Group;
use crate::ports::Condition;
use crate::server::Server;

/// The servers of a group that may hold acknowledged commits, without the former primary if it is
/// known.
#[derive(Debug)]
pub struct ServerCount {
    /// The servers that are asked.
    pub servers: Vec<Arc<Server>>,
    /// The servers that cannot be asked: another incarnation has taken their place.
    pub unaskable: Vec<Incarnation>,
    /// Whether the former primary is left out.
    pub former: FormerPrimary,
    /// The condition under which a decision that relies on this count may be stored; `None` if the
    /// group has no synchronous replicas, so that nothing is counted.
    pub condition: Option<Condition>,
}

impl ServerCount {
    /// Counts the servers known to this process, as for a primary that is in service and hands its
    /// group over: it holds every acknowledged commit itself.
    pub fn of_known(group: &Group, former: Option<&Server>) -> Self {
        let former = former.map(|server| &server.incarnation);
        let with_gone = group.synchronous_replicas() > 0;
        let servers = group.servers().into_iter();
        let servers = servers
            .filter(|server| Some(&server.incarnation) != former)
            .filter(|server| with_gone || !server.is_gone());
        ServerCount {
            servers: servers.collect(),
            unaskable: Vec::new(),
            former: former_primary(former),
            condition: None,
        }
    }

    /// Counts the servers for the replacement of a lost primary: with synchronous replicas, those
    /// that the store records as well. `None` if the recorded set cannot be read, or if none is
    /// recorded and entries of servers may still return.
    pub async fn of_recorded(
        context: &Context,
        group: &Group,
        former: Option<&Server>,
    ) -> Option<Self> {
        let known = ServerCount::of_known(group, former);
        if group.synchronous_replicas() == 0 {
            return Some(known);
        }
        let recorded = read_recorded(context, group).await?;
        let now = context.clock.now();
        let mut groups = context.replica_sets.lock();
        let state = groups.entry(group.name.clone()).or_default();
        let condition = Some(recorded.condition(group));
        if recorded.set.is_none() {
            let since = *state.unrecorded_since.get_or_insert(now);
            let is_listing_complete = now.since(since) >= ENTRY_RETURN_TIMEOUT;
            return is_listing_complete.then_some(ServerCount { condition, ..known });
        }
        state.unrecorded_since = None;
        let set = recorded.set.clone().unwrap_or_default();
        let listed = listed_servers(group).into_keys().collect();
        let former = former.map(|server| &server.incarnation);
        let counted = counted_servers(&set, &state.missing, &listed, former, now);
        let (servers, unaskable) = state.split_by_known(group, counted);
        Some(ServerCount {
            servers,
            unaskable,
            former: known.former,
            condition,
        })
    }
}

impl KnownReplicas {
    /// The servers that can be asked, and those that cannot.
    fn split_by_known(
        &self,
        group: &Group,
        counted: BTreeSet<Incarnation>,
    ) -> (Vec<Arc<Server>>, Vec<Incarnation>) {
        let mut servers = Vec::new();
        let mut unaskable = Vec::new();
        for server in counted {
            let unlisted = || self.unlisted.get(&server).map(Arc::clone);
            match group.server(&server).or_else(unlisted) {
                Some(known) => servers.push(known),
                None => unaskable.push(server),
            }
        }
        (servers, unaskable)
    }
}

fn former_primary(former: Option<&Incarnation>) -> FormerPrimary {
    match former {
        Some(_) => FormerPrimary::Excluded,
        None => FormerPrimary::Unknown,
    }
}
