//! Evacuated zones: until when requests may still be sent to their servers.
//!
//! The operator's time limit starts when the store acknowledges the row of an evacuation. A node
//! does not know that moment, but it knows when the store last reported the rows without this one.
//! The row was written no earlier, so the node counts from there.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use crate::store_version::StoreVersion;
use crate::time::Timestamp;

/// How long the store may withhold a change while it reports that nothing has changed, as in
/// [`LEADER_LEASE_MARGIN`](crate::leader::LEADER_LEASE_MARGIN).
pub const MAX_STORE_LAG: Duration = Duration::from_millis(1_000);
/// Part of the evacuation bound reserved for transit to a server, for writes that the link delays,
/// and for clock drift. Transit between regions takes 20 ms, and a link counts as overloaded at a
/// delay of half a second.
pub const DELIVERY_MARGIN: Duration = Duration::from_millis(500);

/// What requests may be sent to the servers of a zone.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ZonePhase {
    /// The zone is not evacuated: all requests.
    Open,
    /// The evacuation has started: only requests that no server elsewhere can run.
    Evacuating,
    /// The evacuation is complete: no requests.
    Closed,
}

/// The effect of an update of the evacuation rows on the zones.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct EvacuationChanges {
    /// Zones that are newly evacuated.
    pub evacuated: Vec<String>,
    /// Zones that are no longer evacuated.
    pub reopened: Vec<String>,
}

impl EvacuationChanges {
    /// Whether no zone has changed.
    pub fn is_empty(&self) -> bool {
        self.evacuated.is_empty() && self.reopened.is_empty()
    }
}

/// The evacuated zones as known to one node.
#[derive(Debug, Clone)]
pub struct Evacuations {
    /// Time after the write of an evacuation's row within which the last request may arrive.
    bound: Duration,
    /// When each evacuated zone closes, by zone name.
    closes_at: BTreeMap<String, Timestamp>,
    /// Store version at which each zone was last known to be reopened, by zone name.
    reopened_at: BTreeMap<String, StoreVersion>,
    /// Store version at which the rows were first known.
    first_version: Option<StoreVersion>,
}

impl Evacuations {
    /// No rows are known yet. `bound` is the time after the write of an evacuation's row within
    /// which the last request may arrive at the servers of the zone.
    pub fn new(bound: Duration) -> Self {
        Evacuations {
            bound,
            closes_at: BTreeMap::new(),
            reopened_at: BTreeMap::new(),
            first_version: None,
        }
    }

    /// Applies the set of zones that are evacuated as of a store version.
    ///
    /// `last_reported_at` is when the store last reported the rows as they were known before. It is
    /// `None` if no rows were known: a row may then be of any age, and its zone closes at once.
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

    /// When a zone closes whose row was written at `last_reported_at` at the earliest.
    fn closing_time(&self, last_reported_at: Option<Timestamp>) -> Timestamp {
        let remaining = self.bound.saturating_sub(MAX_STORE_LAG + DELIVERY_MARGIN);
        last_reported_at.map_or(Timestamp::ZERO, |last_reported_at| {
            last_reported_at + remaining
        })
    }

    /// Store version at which the rows were first known; `None` while no rows are known.
    pub fn first_version(&self) -> Option<StoreVersion> {
        self.first_version
    }

    /// What requests may be sent to the servers of a zone at `now`.
    pub fn phase(&self, zone: &str, now: Timestamp) -> ZonePhase {
        match self.closes_at(zone) {
            None => ZonePhase::Open,
            Some(closes_at) if now < closes_at => ZonePhase::Evacuating,
            Some(_) => ZonePhase::Closed,
        }
    }

    /// When the zone closes to all requests; `None` if it is not evacuated.
    pub fn closes_at(&self, zone: &str) -> Option<Timestamp> {
        self.closes_at.get(zone).copied()
    }

    /// The evacuated zones, and when each closes to all requests.
    pub fn zones(&self) -> impl Iterator<Item = (&str, Timestamp)> {
        let zones = self.closes_at.iter();
        zones.map(|(zone, closes_at)| (zone.as_str(), *closes_at))
    }

    /// Store version at which a zone was last known to be reopened. A server in the zone may have
    /// turned cold before that, so older directory entries of it must not be trusted.
    ///
    /// A node that has started since then does not know of the evacuation; it uses the version at
    /// which it first knew the rows. `None` while no rows are known.
    pub fn reopened_at(&self, zone: &str) -> Option<StoreVersion> {
        let known = self.reopened_at.get(zone).copied();
        known.or(self.first_version)
    }
}
