//! Where a unit may go: which nodes may be given it, and whether any server may run it.

use std::time::Duration;

use super::Unit;
use crate::homes::{ChosenNodes, PeerNode};
use crate::places::Bar;
use crate::ports::Effect;

/// How long a replica is given to receive more before a read asks it again.
const REPLICA_CATCH_UP_DELAY: Duration = Duration::from_millis(20);

impl Unit {
    /// Whether another node may be given the unit.
    pub fn may_run_on(&self, peer: &PeerNode) -> bool {
        let places = &self.context.places;
        places.allows(&self.allowed_regions, &peer.zone)
    }

    /// The zone near which homes are asked first for what need not run on the lead: this node's
    /// own, or the nearest one with a home where the unit may run.
    pub fn nearest_zone(&self, homes: &ChosenNodes) -> String {
        let own = &self.context.settings.node.zone;
        let places = &self.context.places;
        if places.allows(&self.allowed_regions, own) {
            return own.clone();
        }
        let nearest = homes.others.iter().find(|home| self.may_run_on(home));
        nearest.map_or_else(|| own.clone(), |home| home.zone.clone())
    }

    /// Counts what a client asks of the group's primary, served or not: where much of it may not run
    /// where the primary stands, that is moved.
    pub fn count_demand(&self, effect: Effect) {
        if self.needs_leader(effect) {
            let demand = &self.context.places.demand;
            demand.count(&self.group.name, &self.allowed_regions);
        }
    }

    /// Why no server may run such a statement, as far as this node knows; none if one may.
    ///
    /// Asked where the client is connected, so that nothing is held or passed on that nobody may
    /// run.
    pub fn bar_on_all_servers(&self, effect: Effect) -> Option<Bar> {
        if self.allowed_regions.is_anywhere() {
            return None;
        }
        if self.allowed_regions.is_nowhere() {
            return Some(Bar::NoRegion);
        }
        if self.needs_leader(effect) {
            return self.bar_at_leader();
        }
        self.bar_at_servers()
    }

    /// Why the server that leads, as far as is known, may not run the unit.
    fn bar_at_leader(&self) -> Option<Bar> {
        let context = &self.context;
        let now = context.clock.now();
        let leader = self.group.lead_candidate(now, context.leaving_use())?;
        context
            .places
            .bar_to_lead(&self.allowed_regions, &leader, now)
    }

    /// Why none of the servers that stay may run the unit; none if one may, or none is known.
    pub(super) fn bar_at_servers(&self) -> Option<Bar> {
        let now = self.context.clock.now();
        let servers = self.group.servers();
        let staying = servers.iter().filter(|server| server.is_staying());
        let bars: Option<Vec<Bar>> = staying
            .map(|server| self.bar_to_read(server, now))
            .collect();
        bars?.first().copied()
    }

    /// Gives the replicas time to receive more, if the unit may run on replicas alone; false if it
    /// may run on the lead as well, or has no time left to wait.
    ///
    /// Elsewhere a read that finds all replicas behind goes to the lead. Without the wait, a session
    /// that has just written is refused by a replica that is some milliseconds behind.
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
