//! Demand for a group's primary, by the regions in which the work may run.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use super::regions::AllowedRegions;
use crate::time::Timestamp;

/// Maximum number of distinct region sets counted for a group. The sets come from routes and
/// tenants; demand for further sets is ignored, so that no configuration makes the counts grow
/// without bound.
pub const MAX_REGION_SETS: usize = 16;
/// Time constant of the exponential decay of demand. A burst of some seconds then weighs less than
/// steady demand.
const DECAY_TIME: Duration = Duration::from_secs(10);

/// Demand from units of work that need the primary and may run only in some regions.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RegionDemand {
    /// The allowed regions.
    pub regions: BTreeSet<String>,
    /// Number of units that were requested, whether they were served or refused.
    pub units: u32,
}

/// Units that were requested and not reported yet, by the regions allowed for them.
#[derive(Debug, Clone, Default)]
pub struct DemandCounts {
    units: BTreeMap<BTreeSet<String>, u32>,
}

impl DemandCounts {
    /// Counts one unit. Units that may run anywhere, or nowhere, are not counted.
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

    /// Returns the units counted since the last call, largest count first, and resets the counts.
    pub fn take(&mut self) -> Vec<RegionDemand> {
        let units = std::mem::take(&mut self.units).into_iter();
        let mut demand: Vec<RegionDemand> = units
            .map(|(regions, units)| RegionDemand { regions, units })
            .collect();
        demand.sort_by_key(|set| std::cmp::Reverse(set.units));
        demand
    }
}

/// Demand for a group's primary, with exponential decay.
#[derive(Debug, Clone, Default)]
pub struct DecayingDemand {
    units: BTreeMap<BTreeSet<String>, f64>,
    decayed_at: Timestamp,
}

impl DecayingDemand {
    /// Records units that were just requested.
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

    /// Applies the decay up to `now`, and drops region sets with negligible demand.
    pub fn decay(&mut self, now: Timestamp) {
        /// Demand below this affects no decision.
        const MIN_UNITS: f64 = 0.01;
        let age = now.since(self.decayed_at);
        let factor = (-age.as_secs_f64() / DECAY_TIME.as_secs_f64()).exp();
        self.decayed_at = self.decayed_at.max(now);
        self.units.retain(|_, units| {
            *units *= factor;
            *units >= MIN_UNITS
        });
    }

    /// Total demand, in decayed units. Work that may run anywhere is not part of it.
    pub fn total(&self) -> f64 {
        self.units.values().sum()
    }

    /// The part of the demand that a primary in `region` may run, in decayed units.
    pub fn allowed_in(&self, region: &str) -> f64 {
        let units = self.units.iter();
        let allowed = units.filter(|(regions, _)| regions.contains(region));
        allowed.map(|(_, units)| units).sum()
    }
}
