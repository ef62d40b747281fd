//! When a primary that serves is moved to another region, for the work that may not run where it
//! stands.
//!
//! A move stops all work that needs the primary for about a second, so that it must pay: much more
//! work must be allowed there than here, for a while, and not shortly after the last move. Work of
//! two regions that pulls to both sides leaves the primary where it is.

use std::collections::BTreeSet;
use std::time::Duration;

use super::demand::DecayingDemand;
use crate::time::Timestamp;

/// The share of all bounded work that a move must make possible. Half of the work on either side
/// moves nothing, and neither does 60 against 40 of a hundred.
const MIN_GAIN_SHARE: f64 = 0.25;
/// Fewer units than this move nothing: single statements of an operator are no demand.
const MIN_GAIN_UNITS: f64 = 2.0;
/// For how long a region must be the best one. Longer than two reports of all nodes take to come
/// in, so that the first nodes to tell do not decide.
const STABILIZATION_TIME: Duration = Duration::from_secs(3);
/// For how long a move is tried.
const MOVE_TIMEOUT: Duration = Duration::from_secs(5);
/// From the start of one move to that of the next at least: two moves a minute stop 3% of the work
/// that needs the primary.
pub const MIN_MOVE_INTERVAL: Duration = Duration::from_secs(30);

/// A region and since when it is the best, or wanted.
#[derive(Debug, Clone, PartialEq, Eq)]
struct RegionSince {
    region: String,
    since: Timestamp,
}

/// Where a group's primary is to stand, as one node decides it.
#[derive(Debug, Clone, Default)]
pub struct PrimaryMovePlanner {
    best: Option<RegionSince>,
    /// The move that is being tried.
    target: Option<RegionSince>,
    /// When the last move was begun, whatever came of it.
    last_started: Option<Timestamp>,
}

impl PrimaryMovePlanner {
    /// The region that the primary is to move to; none if it is to stay. It stands in the region
    /// `current`, and other servers that could take over stand in `candidates`.
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

/// The region that allows most, if that is enough more than the present one allows.
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
