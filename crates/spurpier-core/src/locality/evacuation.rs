//! Zones that are evacuated: until when something may still be sent to their servers.
//!
//! The operator's bound begins when the store acknowledges the row of an evacuation. A node does not
//! know that moment. It knows when the store last told of the rows without this one: the row was
//! written no earlier, and the node counts from there.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use crate::store_version::StoreVersion;
use crate::time::Timestamp;

/// For how long the store may hold back a change while it tells that nothing has changed, as in
/// [`LEADER_LEASE_MARGIN`](crate::leader::LEADER_LEASE_MARGIN).
pub const MAX_STORE_LAG: Duration = Duration::from_millis(1_000);
/// What is kept of the bound for the way to a server, for a write that its link delays, and for
/// clocks that drift: 20 ms of way between regions, and half a second at which a link counts as
/// overloaded.
pub const DELIVERY_MARGIN: Duration = Duration::from_millis(500);

/// What may be sent to the servers of a zone.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ZonePhase {
    /// Anything.
    Open,
    /// It is evacuated: what no server elsewhere can run.
    Evacuating,
    /// Nothing.
    Closed,
}

/// What a change of the rows means for the zones.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct EvacuationChanges {
    /// Zones that are evacuated from now on.
    pub evacuated: Vec<String>,
    /// Zones that are not evacuated any more.
    pub reopened: Vec<String>,
}

impl EvacuationChanges {
    /// Whether nothing has changed.
    pub fn is_empty(&self) -> bool {
        self.evacuated.is_empty() && self.reopened.is_empty()
    }
}

/// The evacuated zones as one node knows them.
#[derive(Debug, Clone)]
pub struct Evacuations {
    /// Within what nothing more may arrive at the servers of an evacuated zone.
    bound: Duration,
    /// When the evacuated zones are closed, by their names.
    closes_at: BTreeMap<String, Timestamp>,
    /// The store's version at which zones were known to be taken back, by their names.
    reopened_at: BTreeMap<String, StoreVersion>,
    /// The store's version at which the rows were first known.
    first_version: Option<StoreVersion>,
}

impl Evacuations {
    /// Nothing is known; nothing may arrive later than `bound` after an evacuation's row.
    pub fn new(bound: Duration) -> Self {
        Evacuations {
            bound,
            closes_at: BTreeMap::new(),
            reopened_at: BTreeMap::new(),
            first_version: None,
        }
    }

    /// Takes in which zones are evacuated as of a version of the store.
    ///
    /// `last_reported_at` is up to when the store had told of the rows as they were known before; none if
    /// nothing was, so that a row may be of any age.
    pub fn apply(
        &mut self,
        zones: &BTreeSet<String>,
        version: StoreVersion,
        last_reported_at: Option<Timestamp>,
    ) -> EvacuationChanges {
        self.first_version.get_or_insert(version);
        let known = std::mem::take(&mut self.closes_at);
        let mut changes = EvacuationChanges::default();
        for zone in zones {
            let closes_at = known.get(zone).copied();
            if closes_at.is_none() {
                changes.evacuated.push(zone.clone());
            }
            let closes_at = closes_at.unwrap_or_else(|| self.closing_time(last_reported_at));
            self.closes_at.insert(zone.clone(), closes_at);
        }
        for zone in known.into_keys().filter(|zone| !zones.contains(zone)) {
            self.reopened_at.insert(zone.clone(), version);
            changes.reopened.push(zone);
        }
        changes
    }

    /// When a zone is closed whose row may have been written from `last_reported_at` on.
    fn closing_time(&self, last_reported_at: Option<Timestamp>) -> Timestamp {
        let remaining = self.bound.saturating_sub(MAX_STORE_LAG + DELIVERY_MARGIN);
        last_reported_at.map_or(Timestamp::ZERO, |last_reported_at| {
            last_reported_at + remaining
        })
    }

    /// The store's version at which the rows were first known; none while nothing is known.
    pub fn first_version(&self) -> Option<StoreVersion> {
        self.first_version
    }

    /// What may be sent to the servers of a zone.
    pub fn phase(&self, zone: &str, now: Timestamp) -> ZonePhase {
        match self.closes_at(zone) {
            None => ZonePhase::Open,
            Some(closes_at) if now < closes_at => ZonePhase::Evacuating,
            Some(_) => ZonePhase::Closed,
        }
    }

    /// From when on nothing more may be sent to the servers of a zone; none if it is not evacuated.
    pub fn closes_at(&self, zone: &str) -> Option<Timestamp> {
        self.closes_at.get(zone).copied()
    }

    /// The evacuated zones, and from when on nothing more may be sent to each.
    pub fn zones(&self) -> impl Iterator<Item = (&str, Timestamp)> {
        let zones = self.closes_at.iter();
        zones.map(|(zone, closes_at)| (zone.as_str(), *closes_at))
    }

    /// The store's version as of which a zone was last known to be taken back. A server that stands
    /// there may have turned cold before, so that an older entry of it must not be believed.
    ///
    /// A node that has started since does not know: for it the version counts at which it first knew
    /// the rows. None while nothing is known.
    pub fn reopened_at(&self, zone: &str) -> Option<StoreVersion> {
        let known = self.reopened_at.get(zone).copied();
        known.or(self.first_version)
    }
}
