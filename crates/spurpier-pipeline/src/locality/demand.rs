//! What is asked of each group's primary, by regions, and where each is to move for it.
//!
//! Each node counts what its own clients ask for. It tells the home that decides for the group, and
//! that home's wish goes to the holder of the duty with its request to see to the group.

use std::collections::{BTreeSet, HashMap};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use spurpier_core::locality::{
    AllowedRegions, DecayingDemand, DemandCounts, PrimaryMovePlanner, RegionDemand,
};
use spurpier_core::time::Timestamp;

/// For how long the wish that a primary be moved holds after it was last told: a few of the looks
/// of the node that tells it, so that it ends with that node.
const MOVE_REQUEST_TTL: Duration = Duration::from_millis(2_500);

#[derive(Debug, Default)]
struct GroupDemand {
    counts: DemandCounts,
    levels: DecayingDemand,
    policy: PrimaryMovePlanner,
    /// The region that the primary is to move to, and until when that holds.
    move_request: Option<(String, Timestamp)>,
}

/// What is asked of the primaries, by group.
#[derive(Debug, Default)]
pub struct PrimaryDemand {
    groups: Mutex<HashMap<String, GroupDemand>>,
}

impl PrimaryDemand {
    /// Counts a unit of a client of this node that needs a group's primary.
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

    /// What was counted since it was taken last, by group.
    pub fn take_counts(&self) -> Vec<(String, Vec<RegionDemand>)> {
        let mut groups = self.lock();
        let taken = groups
            .iter_mut()
            .map(|(name, known)| (name.clone(), known.counts.take()));
        taken.filter(|(_, demand)| !demand.is_empty()).collect()
    }

    /// The groups that were ever asked for within bounds.
    pub fn groups(&self) -> Vec<String> {
        self.lock().keys().cloned().collect()
    }

    /// Takes in demand for a group, this node's own or what another node has told.
    pub fn record(&self, group: &str, demand: &[RegionDemand], now: Timestamp) {
        let mut groups = self.lock();
        let known = groups.entry(group.to_owned()).or_default();
        known.levels.record(demand, now);
    }

    /// Decides whether a group's primary, which stands in a region, is to move to one of others;
    /// gives the region if that wish is new.
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

    /// Takes in that another node wants a group's primary in a region.
    pub fn record_move_request(&self, group: &str, region: String, now: Timestamp) {
        let mut groups = self.lock();
        let known = groups.entry(group.to_owned()).or_default();
        known.move_request = Some((region, now + MOVE_REQUEST_TTL));
    }

    /// The region that a group's primary is to move to; none if it may stay where it is.
    pub fn move_request(&self, group: &str, now: Timestamp) -> Option<String> {
        let groups = self.lock();
        let move_request = groups.get(group)?.move_request_at(now)?;
        Some(move_request.to_owned())
    }

    /// What a primary in a region may run of the demand that this node knows of, in hundredths of
    /// units.
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
