//! How much work needs a group's primary, by the regions in which that work may run.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use super::regions::AllowedRegions;
use crate::time::Timestamp;

/// How many sets of regions are told apart for a group. They come from routes and tenants; what
/// goes beyond counts for none, so that no configuration makes the counts grow.
pub const MAX_REGION_SETS: usize = 16;
/// Over what time work counts: it fades by a factor of e in so long. Some seconds of a burst weigh
/// less than what has been asked for all along.
const DECAY_TIME: Duration = Duration::from_secs(10);

/// Units that need the primary and may run only in these regions.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RegionDemand {
    /// The regions.
    pub regions: BTreeSet<String>,
    /// How many units were asked for, served or refused.
    pub units: u32,
}

/// Units that were asked for and not told of yet.
#[derive(Debug, Clone, Default)]
pub struct DemandCounts {
    units: BTreeMap<BTreeSet<String>, u32>,
}

impl DemandCounts {
    /// Counts a unit; one that may run anywhere, or nowhere, asks for no region.
    pub fn count(&mut self, allowed: &AllowedRegions) {
        let Some(regions) = allowed.names().filter(|names| !names.is_empty()) else {
            return;
        };
        if let Some(units) = self.units.get_mut(regions) {
            *units = units.saturating_add(1);
        } else if self.units.len() < MAX_REGION_SETS {
            self.units.insert(regions.clone(), 1);
        }
    }

    /// What was counted since it was taken last, the greatest first.
    pub fn take(&mut self) -> Vec<RegionDemand> {
        let units = std::mem::take(&mut self.units).into_iter();
        let mut demand: Vec<RegionDemand> = units
            .map(|(regions, units)| RegionDemand { regions, units })
            .collect();
        demand.sort_by_key(|set| std::cmp::Reverse(set.units));
        demand
    }
}

/// What is asked for of a group's primary, faded with its age.
#[derive(Debug, Clone, Default)]
pub struct DecayingDemand {
    units: BTreeMap<BTreeSet<String>, f64>,
    decayed_at: Timestamp,
}

impl DecayingDemand {
    /// Takes in units that were just asked for.
    pub fn record(&mut self, demand: &[RegionDemand], now: Timestamp) {
        self.decay(now);
        for set in demand {
            if let Some(units) = self.units.get_mut(&set.regions) {
                *units += f64::from(set.units);
            } else if self.units.len() < MAX_REGION_SETS {
                let units = f64::from(set.units);
                self.units.insert(set.regions.clone(), units);
            }
        }
    }

    /// Fades what is known, and forgets what has faded away.
    pub fn decay(&mut self, now: Timestamp) {
        /// A level that no decision depends on.
        const MIN_UNITS: f64 = 0.01;
        let age = now.since(self.decayed_at);
        let factor = (-age.as_secs_f64() / DECAY_TIME.as_secs_f64()).exp();
        self.decayed_at = self.decayed_at.max(now);
        self.units.retain(|_, units| {
            *units *= factor;
            *units >= MIN_UNITS
        });
    }

    /// All that is asked for within bounds.
    pub fn total(&self) -> f64 {
        self.units.values().sum()
    }

    /// What a primary in a region may run of it.
    pub fn allowed_in(&self, region: &str) -> f64 {
        let units = self.units.iter();
        let allowed = units.filter(|(regions, _)| regions.contains(region));
        allowed.map(|(_, units)| units).sum()
    }
}
