//! Decides which servers and homes may run a unit, and why others may not.
//!
//! Every selection of a server or a home is checked here, at each hop: the first selection, a
//! forwarded unit, a retry, and a transaction's next statement.

mod closing;
mod cold;
mod demand;
mod evacuations;
mod gate;

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use spurpier_core::locality::AllowedRegions;
use spurpier_core::time::Timestamp;

pub use self::closing::close_evacuated;
pub use self::cold::{ColdGate, ColdServers, NoLeave, PermitWait};
use self::demand::PrimaryDemand;
pub use self::evacuations::FollowedEvacuations;
pub use self::gate::ZoneGate;
use crate::clock::Clock;
use crate::group::Group;
use crate::server::Server;
use crate::settings::PipelineSettings;
use crate::unit::OpenTransactions;

/// Retry delay when no allowed server can serve: by then the primary may have moved or the
/// configuration changed.
const REGION_RETRY: Duration = Duration::from_millis(1_000);
/// Retry delay when the route and the tenant have no region in common. Only another configuration
/// changes that.
const NO_REGION_RETRY: Duration = Duration::from_secs(5);
/// Retry delay when only a server of an evacuated zone could serve: about the time that replacing a
/// primary takes.
const EVACUATION_RETRY: Duration = Duration::from_millis(600);

/// Why a server or a home may not be used.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ExclusionReason {
    /// It is located in a region that the route or the tenant does not allow.
    Region,
    /// The route and the tenant have no region in common.
    NoRegion,
    /// Its zone is evacuated.
    Evacuated,
    /// It is cold; the time for which it accepts nothing more.
    Cold(Duration),
}

impl From<NoLeave> for ExclusionReason {
    fn from(NoLeave(delay): NoLeave) -> Self {
        ExclusionReason::Cold(delay)
    }
}

impl ExclusionReason {
    /// Its name in refusals, logs and metrics.
    pub const fn text(self) -> &'static str {
        match self {
            ExclusionReason::Region => "region_not_allowed",
            ExclusionReason::NoRegion => "no_region_allowed",
            ExclusionReason::Evacuated => "zone_evacuated",
            ExclusionReason::Cold(_) => "server_cold",
        }
    }

    /// The time after which a client should retry.
    pub const fn retry_after(self) -> Duration {
        match self {
            ExclusionReason::Region => REGION_RETRY,
            ExclusionReason::NoRegion => NO_REGION_RETRY,
            ExclusionReason::Evacuated => EVACUATION_RETRY,
            ExclusionReason::Cold(delay) => delay,
        }
    }
}

/// Why a serving primary of a group is to be replaced.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MoveReason {
    /// It is shutting down.
    Leaving,
    /// Its zone is evacuated.
    Evacuated,
    /// Much of the demand for it may not run in its region.
    Demand,
}

impl MoveReason {
    /// Its name in logs.
    pub const fn text(self) -> &'static str {
        match self {
            MoveReason::Leaving => "leaving",
            MoveReason::Evacuated => "evacuated",
            MoveReason::Demand => "demand",
        }
    }
}

/// This node's view of regions, evacuated zones, and demand by region.
#[derive(Debug)]
pub struct Locality {
    /// The region of each zone.
    regions: BTreeMap<String, String>,
    /// The zones that are evacuated.
    pub evacuations: FollowedEvacuations,
    /// The open transactions on this node's connections.
    pub open_transactions: OpenTransactions,
    /// Demand on the primaries by region.
    pub demand: PrimaryDemand,
}

impl Locality {
    /// Creates the view from the settings, without evacuations or demand.
    pub fn new(settings: &PipelineSettings, clock: &Clock) -> Self {
        let bound = settings.bounds.evacuation_bound();
        Locality {
            regions: settings.zones.clone(),
            evacuations: FollowedEvacuations::new(bound, clock.clone()),
            open_transactions: OpenTransactions::default(),
            demand: PrimaryDemand::default(),
        }
    }

    /// The region of a zone; `None` if the zone is unknown.
    pub fn region(&self, zone: &str) -> Option<&str> {
        self.regions.get(zone).map(String::as_str)
    }

    /// The regions of all zones.
    pub fn known_regions(&self) -> BTreeSet<&str> {
        self.regions.values().map(String::as_str).collect()
    }

    /// Whether a unit with these allowed regions may go to a zone.
    pub fn allows(&self, allowed: &AllowedRegions, zone: &str) -> bool {
        allowed.allows(self.region(zone))
    }

    /// The reason why a read must not go to a server now; `None` if it may.
    pub fn exclusion_for_read(
        &self,
        allowed: &AllowedRegions,
        server: &Server,
        now: Timestamp,
    ) -> Option<ExclusionReason> {
        self.exclusion(allowed, server, now)
    }

    /// The reason why a unit that needs the leader must not go to it now; `None` if it may.
    pub fn exclusion_for_leader(
        &self,
        allowed: &AllowedRegions,
        leader: &Server,
        now: Timestamp,
    ) -> Option<ExclusionReason> {
        self.exclusion(allowed, leader, now)
    }

    fn exclusion(
        &self,
        allowed: &AllowedRegions,
        server: &Server,
        now: Timestamp,
    ) -> Option<ExclusionReason> {
        if !allowed.is_anywhere() && !self.allows(allowed, &server.listing().entry.zone) {
            return Some(ExclusionReason::Region);
        }
        if server.pool.zone_gate().is_closed() {
            return Some(ExclusionReason::Evacuated);
        }
        server
            .pool
            .cold_gate()
            .closed_for(now)
            .map(ExclusionReason::Cold)
    }

    /// The reason to replace a group's serving primary; `None` if it is to stay.
    pub fn reason_to_move(
        &self,
        group: &Group,
        leader: &Server,
        now: Timestamp,
    ) -> Option<MoveReason> {
        if !leader.is_staying() {
            return Some(MoveReason::Leaving);
        }
        if leader.is_evacuated() {
            return Some(MoveReason::Evacuated);
        }
        let move_request = self.demand.move_request(&group.name, now)?;
        let is_in_region = self.region(&leader.listing().entry.zone) == Some(move_request.as_str());
        (!is_in_region).then_some(MoveReason::Demand)
    }

    /// Whether a server may become its group's primary: not while its zone is evacuated.
    pub fn is_eligible_successor(&self, server: &Server, _now: Timestamp) -> bool {
        !server.is_evacuated()
    }

    /// Scores a server as its group's primary. Among servers that have received equally much, the
    /// one with the greater score is preferred.
    ///
    /// Warm servers go first, because cold ones are slow and may accept few requests. Next comes
    /// the known demand that may run in the server's region: that of all clients on the home that
    /// decides on moves, and that of its own clients on any other node.
    pub fn placement_score(&self, group: &Group, server: &Server, now: Timestamp) -> u64 {
        /// Greater than any demand.
        const WARM: u64 = 1 << 63;
        let region = self.region(&server.listing().entry.zone);
        let allowed = region.map_or(0, |region| self.demand.allowed_in(&group.name, region));
        let allowed = allowed.min(WARM - 1);
        if server.is_cold(now) {
            allowed
        } else {
            WARM + allowed
        }
    }
}
