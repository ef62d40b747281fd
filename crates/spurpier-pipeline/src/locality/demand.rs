//! Demand on each group's primary by region, and the region that each primary should move to.
//!
//! Each node counts the demand of its own clients and reports it to the home that decides for the
//! group. The home sends its move request to the holder of the promotion lease, together with its
//! request to attend to the group.

use std::collections::{BTreeSet, HashMap};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use spurpier_core::locality::{
    AllowedRegions, DecayingDemand, DemandCounts, PrimaryMovePlanner, RegionDemand,
};
use spurpier_core::time::Timestamp;

/// TTL of a move request after its last announcement: a few check intervals of the announcing node,
/// so that the request lapses when that node ends.
const MOVE_REQUEST_TTL: Duration = Duration::from_millis(2_500);

#[derive(Debug, Default)]
struct GroupDemand {
    counts: DemandCounts,
    levels: DecayingDemand,
    policy: PrimaryMovePlanner,
    /// The region that the primary should move to, and when the request expires.
    move_request: Option<(String, Timestamp)>,
}

/// Demand on the primaries and move requests, by group.
#[derive(Debug, Default)]
pub struct PrimaryDemand {
    groups: Mutex<HashMap<String, GroupDemand>>,
}

impl PrimaryDemand {
    /// Counts one unit of this node's clients that needs a group's primary. Units that may run in
    /// all regions or in none are not counted.
    pub fn count(&self, group: &str, allowed: &AllowedRegions) {
        if allowed.is_anywhere() || allowed.is_nowhere() {
            return;
        }
        let mut groups = self.lock();
        if let Some(known) = groups.get_mut(group) {
            known.counts.count(allowed);
            return;
        }
        let mut new = GroupDemand::default();
        new.counts.count(allowed);
        groups.insert(group.to_owned(), new);
    }

    /// Takes the demand counted since the last call, by group.
    pub fn take_counts(&self) -> Vec<(String, Vec<RegionDemand>)> {
        let mut groups = self.lock();
        let taken = groups
            .iter_mut()
            .map(|(name, known)| (name.clone(), known.counts.take()));
        taken.filter(|(_, demand)| !demand.is_empty()).collect()
    }

    /// The groups with any demand limited to regions, or with a move request, since the start.
    pub fn groups(&self) -> Vec<String> {
        self.lock().keys().cloned().collect()
    }

    /// Records demand for a group, counted by this node or reported by another.
    pub fn record(&self, group: &str, demand: &[RegionDemand], now: Timestamp) {
        let mut groups = self.lock();
        let known = groups.entry(group.to_owned()).or_default();
        known.levels.record(demand, now);
    }

    /// Decides whether a group's primary should move from the region `present` to one of the
    /// candidates; returns the region if the move request is new.
    pub fn decide(
        &self,
        group: &str,
        present: &str,
        candidates: &BTreeSet<String>,
        now: Timestamp,
    ) -> Option<String> {
        let mut groups = self.lock();
        let known = groups.get_mut(group)?;
        known.levels.decay(now);
        let wanted = known
            .policy
            .decide(&known.levels, present, candidates, now)?;
        let is_new = known.move_request_at(now) != Some(wanted.as_str());
        known.move_request = Some((wanted.clone(), now + MOVE_REQUEST_TTL));
        is_new.then_some(wanted)
    }

    /// Records another node's request to move a group's primary to a region.
    pub fn record_move_request(&self, group: &str, region: String, now: Timestamp) {
        let mut groups = self.lock();
        let known = groups.entry(group.to_owned()).or_default();
        known.move_request = Some((region, now + MOVE_REQUEST_TTL));
    }

    /// The region that a group's primary should move to; `None` without a current move request.
    pub fn move_request(&self, group: &str, now: Timestamp) -> Option<String> {
        let groups = self.lock();
        let move_request = groups.get(group)?.move_request_at(now)?;
        Some(move_request.to_owned())
    }

    /// The part of the demand known to this node that a primary in a region may serve, in
    /// hundredths of units.
    pub fn allowed_in(&self, group: &str, region: &str) -> u64 {
        let groups = self.lock();
        let level = groups.get(group);
        let level = level.map_or(0.0, |known| known.levels.allowed_in(region));
        (level * 100.0) as u64
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<String, GroupDemand>> {
        self.groups.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl GroupDemand {
    fn move_request_at(&self, now: Timestamp) -> Option<&str> {
        let (region, until) = self.move_request.as_ref()?;
        (*until > now).then_some(region.as_str())
    }
}
