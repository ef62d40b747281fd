//! Moves of a healthy primary to another region, for work that may not run in its current region.
//!
//! A move stops all work that needs the primary for about a second, so it must be worthwhile: the
//! new region must allow much more work than the current one, for some time, and the last move must
//! not be recent. Demand that is divided evenly between two regions does not move the primary.

use std::collections::BTreeSet;
use std::time::Duration;

use super::demand::DecayingDemand;
use crate::time::Timestamp;

/// Minimum gain of a move, as a share of all region-restricted demand. A split of 50 to 50 between
/// two regions does not move the primary, and neither does one of 60 to 40.
const MIN_GAIN_SHARE: f64 = 0.25;
/// Minimum gain of a move in decayed units, so that single statements of an operator move nothing.
const MIN_GAIN_UNITS: f64 = 2.0;
/// How long a region must remain the best one. Longer than two rounds of demand reports from all
/// nodes take to arrive, so that the first nodes to report do not decide.
const STABILIZATION_TIME: Duration = Duration::from_secs(3);
/// How long a move is attempted before it is abandoned.
const MOVE_TIMEOUT: Duration = Duration::from_secs(5);
/// Minimum time from the start of one move to the start of the next. Two moves a minute stop 3% of
/// the work that needs the primary.
pub const MIN_MOVE_INTERVAL: Duration = Duration::from_secs(30);

/// A region, and since when it has been the best one or the target of a move.
#[derive(Debug, Clone, PartialEq, Eq)]
struct RegionSince {
    region: String,
    since: Timestamp,
}

/// Decides on one node to which region a group's primary moves.
#[derive(Debug, Clone, Default)]
pub struct PrimaryMovePlanner {
    best: Option<RegionSince>,
    /// The target of the move that is being attempted.
    target: Option<RegionSince>,
    /// When the last move was started, whether or not it succeeded.
    last_started: Option<Timestamp>,
}

impl PrimaryMovePlanner {
    /// The region to which the primary should move now; `None` if it should stay. `current` is the
    /// region of the primary, and `candidates` are the regions of the servers that could take over.
    /// The same target is returned again until the move succeeds or is abandoned.
    pub fn decide(
        &mut self,
        demand: &DecayingDemand,
        current: &str,
        candidates: &BTreeSet<String>,
        now: Timestamp,
    ) -> Option<String> {
        if let Some(target) = &self.target {
            let is_finished = target.region == current || now.since(target.since) >= MOVE_TIMEOUT;
            if !is_finished && candidates.contains(&target.region) {
                return Some(target.region.clone());
            }
            self.target = None;
            self.best = None;
        }
        let best = better_region(demand, current, candidates);
        self.update_best(best, now);
        let best = self.best.as_ref()?;
        if now.since(best.since) < STABILIZATION_TIME || self.is_in_cooldown(now) {
            return None;
        }
        let region = best.region.clone();
        self.target = Some(RegionSince {
            region: region.clone(),
            since: now,
        });
        self.last_started = Some(now);
        Some(region)
    }

    fn update_best(&mut self, best: Option<&str>, now: Timestamp) {
        let previous = self.best.as_ref().map(|previous| previous.region.as_str());
        if previous != best {
            self.best = best.map(|region| RegionSince {
                region: region.to_owned(),
                since: now,
            });
        }
    }

    fn is_in_cooldown(&self, now: Timestamp) -> bool {
        let last_started = self.last_started;
        last_started.is_some_and(|started| now.since(started) < MIN_MOVE_INTERVAL)
    }
}

/// The candidate region that allows the most demand, if its gain over the current region suffices.
fn better_region<'a>(
    demand: &DecayingDemand,
    current: &str,
    candidates: &'a BTreeSet<String>,
) -> Option<&'a str> {
    let allowed = candidates.iter().map(|region| {
        let units = demand.allowed_in(region);
        (units, region.as_str())
    });
    let (units, region) = allowed.max_by(|left, right| left.0.total_cmp(&right.0))?;
    let gain = units - demand.allowed_in(current);
    let is_worthwhile = gain >= MIN_GAIN_UNITS && gain >= demand.total() * MIN_GAIN_SHARE;
    is_worthwhile.then_some(region)
}
