//! Where units may run: which servers and which homes, and why others may not be used.
//!
//! Every choice of a server or a home asks here, at each hop: the first choice, a unit that is
//! handed on, a further attempt, and a transaction's next statement.

mod demand;

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use spurpier_core::places::AllowedRegions;
use spurpier_core::time::Timestamp;

use self::demand::PrimaryDemand;
use crate::group::Group;
use crate::server::Server;
use crate::settings::PipelineSettings;

/// When a client should come back that no allowed server can serve: the primary may be moved, or
/// the configuration changed.
const REGION_RETRY: Duration = Duration::from_millis(1_000);
/// When a client should come back whose route and tenant have no region in common: nothing but
/// another configuration changes that.
const NO_REGION_RETRY: Duration = Duration::from_secs(5);
/// When a client should come back that only a server of an evacuated zone could serve: about how
/// long a primary's replacement takes.
const EVACUATION_RETRY: Duration = Duration::from_millis(600);
/// When a client should come back that only a cold server could serve.
const COLD_RETRY: Duration = Duration::from_millis(250);

/// Why a server or a home may not be used.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Bar {
    /// It stands in a region that the route or the tenant does not allow.
    Region,
    /// The route and the tenant have no region in common.
    NoRegion,
    /// Its zone is evacuated.
    #[expect(dead_code, reason = "evacuations are not followed yet")]
    Evacuated,
    /// It is cold and takes no more for now.
    #[expect(dead_code, reason = "cold servers are not counted yet")]
    Cold,
}

impl Bar {
    /// Its name in refusals, logs and metrics.
    pub const fn text(self) -> &'static str {
        match self {
            Bar::Region => "region_not_allowed",
            Bar::NoRegion => "no_region_allowed",
            Bar::Evacuated => "zone_evacuated",
            Bar::Cold => "server_cold",
        }
    }

    /// When a client should come back.
    pub const fn retry_after(self) -> Duration {
        match self {
            Bar::Region => REGION_RETRY,
            Bar::NoRegion => NO_REGION_RETRY,
            Bar::Evacuated => EVACUATION_RETRY,
            Bar::Cold => COLD_RETRY,
        }
    }
}

/// Why a group's primary is to be replaced although it serves.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MoveReason {
    /// It is about to end.
    Leaving,
    /// Much of what needs it may not run where it stands.
    Demand,
}

impl MoveReason {
    /// Its name in logs.
    pub const fn text(self) -> &'static str {
        match self {
            MoveReason::Leaving => "leaving",
            MoveReason::Demand => "demand",
        }
    }
}

/// What this node knows of places.
#[derive(Debug)]
pub struct Places {
    /// The region of each zone.
    regions: BTreeMap<String, String>,
    /// What is asked of the primaries, by regions.
    pub demand: PrimaryDemand,
}

impl Places {
    /// The places of these settings.
    pub fn new(settings: &PipelineSettings) -> Self {
        Places {
            regions: settings.zones.clone(),
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

    fn bar(&self, allowed: &AllowedRegions, server: &Server, _now: Timestamp) -> Option<Bar> {
        if allowed.is_anywhere() {
            return None;
        }
        let is_allowed = self.allows(allowed, &server.listing().entry.zone);
        (!is_allowed).then_some(Bar::Region)
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
        let wish = self.demand.wish(&group.name, now)?;
        let stands_there = self.region(&lead.listing().entry.zone) == Some(wish.as_str());
        (!stands_there).then_some(MoveReason::Demand)
    }

    /// Whether a server may become its group's primary at all, as far as places tell.
    pub fn may_succeed(&self, _server: &Server, _now: Timestamp) -> bool {
        true
    }

    /// How well a server's place fits as that of its group's primary; the greater one goes first
    /// among servers that have received as much.
    ///
    /// It counts the work that this node knows to be allowed there: what its own clients ask for,
    /// and what all do at the home that decides on moves.
    pub fn fit(&self, group: &Group, server: &Server, _now: Timestamp) -> u64 {
        let region = self.region(&server.listing().entry.zone);
        region.map_or(0, |region| self.demand.allowed_in(&group.name, region))
    }
}
