//! Where units may run: which servers and which homes, and why others may not be used.
//!
//! Every choice of a server or a home asks here, at each hop: the first choice, a unit that is
//! handed on, a further attempt, and a transaction's next statement.

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

/// When a client should come back that no allowed server can serve: the primary may be moved, or
/// the configuration changed.
const REGION_RETRY: Duration = Duration::from_millis(1_000);
/// When a client should come back whose route and tenant have no region in common: nothing but
/// another configuration changes that.
const NO_REGION_RETRY: Duration = Duration::from_secs(5);
/// When a client should come back that only a server of an evacuated zone could serve: about how
/// long a primary's replacement takes.
const EVACUATION_RETRY: Duration = Duration::from_millis(600);

/// Why a server or a home may not be used.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Bar {
    /// It stands in a region that the route or the tenant does not allow.
    Region,
    /// The route and the tenant have no region in common.
    NoRegion,
    /// Its zone is evacuated.
    Evacuated,
    /// It is cold and takes no more for so long.
    Cold(Duration),
}

impl From<NoLeave> for Bar {
    fn from(NoLeave(pause): NoLeave) -> Self {
        Bar::Cold(pause)
    }
}

impl Bar {
    /// Its name in refusals, logs and metrics.
    pub const fn text(self) -> &'static str {
        match self {
            Bar::Region => "region_not_allowed",
            Bar::NoRegion => "no_region_allowed",
            Bar::Evacuated => "zone_evacuated",
            Bar::Cold(_) => "server_cold",
        }
    }

    /// When a client should come back.
    pub const fn retry_after(self) -> Duration {
        match self {
            Bar::Region => REGION_RETRY,
            Bar::NoRegion => NO_REGION_RETRY,
            Bar::Evacuated => EVACUATION_RETRY,
            Bar::Cold(pause) => pause,
        }
    }
}

/// Why a group's primary is to be replaced although it serves.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MoveReason {
    /// It is about to end.
    Leaving,
    /// Its zone is evacuated.
    Evacuated,
    /// Much of what needs it may not run where it stands.
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

/// What this node knows of places.
#[derive(Debug)]
pub struct Locality {
    /// The region of each zone.
    regions: BTreeMap<String, String>,
    /// The zones that are evacuated.
    pub evacuations: FollowedEvacuations,
    /// The transactions that stand open on this node's connections.
    pub open_transactions: OpenTransactions,
    /// What is asked of the primaries, by regions.
    pub demand: PrimaryDemand,
}

impl Locality {
    /// The places of these settings.
    pub fn new(settings: &PipelineSettings, clock: &Clock) -> Self {
        let bound = settings.bounds.evacuation_bound();
        Locality {
            regions: settings.zones.clone(),
            evacuations: FollowedEvacuations::new(bound, clock.clone()),
            open_transactions: OpenTransactions::default(),
            demand: PrimaryDemand::default(),
        }
    }

    /// The region of a zone; none if it is not known.
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

    /// Why a read must not go to a server now; none if it may.
    pub fn bar_to_read(
        &self,
        allowed: &AllowedRegions,
        server: &Server,
        now: Timestamp,
    ) -> Option<Bar> {
        self.bar(allowed, server, now)
    }

    /// Why what needs the lead must not go to the server that leads now; none if it may.
    pub fn bar_to_lead(
        &self,
        allowed: &AllowedRegions,
        lead: &Server,
        now: Timestamp,
    ) -> Option<Bar> {
        self.bar(allowed, lead, now)
    }

    fn bar(&self, allowed: &AllowedRegions, server: &Server, now: Timestamp) -> Option<Bar> {
        if !allowed.is_anywhere() && !self.allows(allowed, &server.listing().entry.zone) {
            return Some(Bar::Region);
        }
        if server.pool.zone_gate().is_closed() {
            return Some(Bar::Evacuated);
        }
        server.pool.cold_gate().closed_for(now).map(Bar::Cold)
    }

    /// Why a group's primary, which serves, is to be replaced; none if it is to stay.
    pub fn reason_to_move(
        &self,
        group: &Group,
        lead: &Server,
        now: Timestamp,
    ) -> Option<MoveReason> {
        if !lead.is_staying() {
            return Some(MoveReason::Leaving);
        }
        if lead.is_evacuated() {
            return Some(MoveReason::Evacuated);
        }
        let move_request = self.demand.move_request(&group.name, now)?;
        let is_in_region = self.region(&lead.listing().entry.zone) == Some(move_request.as_str());
        (!is_in_region).then_some(MoveReason::Demand)
    }

    /// Whether a server may become its group's primary at all, as far as places tell.
    pub fn is_eligible_successor(&self, server: &Server, _now: Timestamp) -> bool {
        !server.is_evacuated()
    }

    /// How well a server's place fits as that of its group's primary; the greater one goes first
    /// among servers that have received as much.
    ///
    /// A warm one goes first: a cold one is slow, and may take few requests. Then it counts the work
    /// that this node knows to be allowed there: what its own clients ask for, and what all do at
    /// the home that decides on moves.
    pub fn placement_score(&self, group: &Group, server: &Server, now: Timestamp) -> u64 {
        /// Above all demand.
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
