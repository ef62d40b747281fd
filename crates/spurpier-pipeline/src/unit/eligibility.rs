//! Which nodes and servers may run a unit, by its allowed regions and the state of the zones.

use std::time::Duration;

use super::Unit;
use crate::homes::{ChosenNodes, PeerNode};
use crate::locality::ExclusionReason;
use crate::ports::Effect;

/// How long a read waits for replicas to catch up before it tries them again.
const REPLICA_CATCH_UP_DELAY: Duration = Duration::from_millis(20);

impl Unit {
    /// Whether the unit may be forwarded to another node.
    pub fn may_run_on(&self, peer: &PeerNode) -> bool {
        let locality = &self.context.locality;
        locality.allows(&self.allowed_regions, &peer.zone)
    }

    /// Returns the zone whose nearby homes are tried first for units that need not run on the
    /// leader: this node's own zone, or else the zone of the nearest home that may run the unit.
    pub fn nearest_zone(&self, homes: &ChosenNodes) -> String {
        let own = &self.context.settings.node.zone;
        let locality = &self.context.locality;
        if locality.allows(&self.allowed_regions, own) {
            return own.clone();
        }
        let nearest = homes.others.iter().find(|home| self.may_run_on(home));
        nearest.map_or_else(|| own.clone(), |home| home.zone.clone())
    }

    /// Counts a client's demand for the group's primary, whether or not it is served. The primary
    /// is moved if much of the demand is not allowed to run in its region.
    pub fn count_demand(&self, effect: Effect) {
        if self.needs_leader(effect) {
            let demand = &self.context.locality.demand;
            demand.count(&self.group.name, &self.allowed_regions);
        }
    }

    /// Returns the reason why no known server may run such a statement, or `None` if one may.
    ///
    /// The node to which the client is connected checks this first, so that it neither queues nor
    /// forwards a statement that no server may run.
    pub fn bar_on_all_servers(&self, effect: Effect) -> Option<ExclusionReason> {
        if self.allowed_regions.is_anywhere() {
            return None;
        }
        if self.allowed_regions.is_nowhere() {
            return Some(ExclusionReason::NoRegion);
        }
        if self.needs_leader(effect) {
            return self.bar_at_leader();
        }
        self.bar_at_servers()
    }

    /// Returns the reason why the presumed leader may not run the unit.
    fn bar_at_leader(&self) -> Option<ExclusionReason> {
        let context = &self.context;
        let now = context.clock.now();
        let leader = self.group.leader_candidate(now, context.leaving_use())?;
        context
            .locality
            .exclusion_for_leader(&self.allowed_regions, &leader, now)
    }

    /// Returns the reason why no server that is not leaving may run the unit. Returns `None` if one
    /// may, or if no such server is known.
    pub(super) fn bar_at_servers(&self) -> Option<ExclusionReason> {
        let now = self.context.clock.now();
        let servers = self.group.servers();
        let staying = servers.iter().filter(|server| server.is_staying());
        let bars: Option<Vec<ExclusionReason>> = staying
            .map(|server| self.bar_to_read(server, now))
            .collect();
        bars?.first().copied()
    }

    /// Waits for replicas to catch up if the unit may run only on replicas. Returns false without
    /// waiting if the unit may run on the leader too or has no time left to wait.
    ///
    /// A read that may run on the leader goes there if all replicas lag. Without this wait, any
    /// other read of a session that has just written would be refused by replicas that lag by
    /// some milliseconds.
    pub(super) async fn wait_for_replica(&self) -> bool {
        if self.allowed_regions.is_anywhere() || self.bar_at_leader().is_none() {
            return false;
        }
        if self.context.clock.now() + REPLICA_CATCH_UP_DELAY > self.deadlines.wait_until {
            return false;
        }
        tokio::time::sleep(REPLICA_CATCH_UP_DELAY).await;
        true
    }
}
