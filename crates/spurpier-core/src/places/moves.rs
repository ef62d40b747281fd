//! When a primary that serves is moved to another region, for the work that may not run where it
//! stands.
//!
//! A move stops all work that needs the primary for about a second, so that it must pay: much more
//! work must be allowed there than here, for a while, and not shortly after the last move. Work of
//! two regions that pulls to both sides leaves the primary where it is.

use std::collections::BTreeSet;
use std::time::Duration;

use super::demand::DemandLevels;
use crate::time::Timestamp;

/// The share of all bounded work that a move must make possible. Half of the work on either side
/// moves nothing, and neither does 60 against 40 of a hundred.
const MARGIN: f64 = 0.25;
/// Fewer units than this move nothing: single statements of an operator are no demand.
const LEAST_UNITS: f64 = 2.0;
/// For how long a region must be the best one. Longer than two reports of all nodes take to come
/// in, so that the first nodes to tell do not decide.
const HOLD: Duration = Duration::from_secs(3);
/// For how long a move is tried.
const TRIED: Duration = Duration::from_secs(5);
/// From the start of one move to that of the next at least: two moves a minute stop 3% of the work
/// that needs the primary.
pub const MOVE_INTERVAL: Duration = Duration::from_secs(30);

/// A region and since when it is the best, or wanted.
#[derive(Debug, Clone, PartialEq, Eq)]
struct Chosen {
    region: String,
    since: Timestamp,
}

/// Where a group's primary is to stand, as one node decides it.
#[derive(Debug, Clone, Default)]
pub struct MovePolicy {
    best: Option<Chosen>,
    /// The move that is being tried.
    wanted: Option<Chosen>,
    /// When the last move was begun, whatever came of it.
    last_begun: Option<Timestamp>,
}

impl MovePolicy {
    /// The region that the primary is to move to; none if it is to stay. It stands in the region
    /// `present`, and other servers that could take over stand in `candidates`.
    pub fn decide(
        &mut self,
        levels: &DemandLevels,
        present: &str,
        candidates: &BTreeSet<String>,
        now: Timestamp,
    ) -> Option<String> {
        if let Some(wanted) = &self.wanted {
            let is_over = wanted.region == present || now.since(wanted.since) >= TRIED;
            if !is_over && candidates.contains(&wanted.region) {
                return Some(wanted.region.clone());
            }
            self.wanted = None;
            self.best = None;
        }
        let best = better_region(levels, present, candidates);
        self.note_best(best, now);
        let best = self.best.as_ref()?;
        if now.since(best.since) < HOLD || self.rests(now) {
            return None;
        }
        let region = best.region.clone();
        self.wanted = Some(Chosen {
            region: region.clone(),
            since: now,
        });
        self.last_begun = Some(now);
        Some(region)
    }

    fn note_best(&mut self, best: Option<&str>, now: Timestamp) {
        let known = self.best.as_ref().map(|known| known.region.as_str());
        if known != best {
            self.best = best.map(|region| Chosen {
                region: region.to_owned(),
                since: now,
            });
        }
    }

    fn rests(&self, now: Timestamp) -> bool {
        let last_begun = self.last_begun;
        last_begun.is_some_and(|begun| now.since(begun) < MOVE_INTERVAL)
    }
}

/// The region that allows most, if that is enough more than the present one allows.
fn better_region<'a>(
    levels: &DemandLevels,
    present: &str,
    candidates: &'a BTreeSet<String>,
) -> Option<&'a str> {
    let allowed = candidates.iter().map(|region| {
        let level = levels.allowed_in(region);
        (level, region.as_str())
    });
    let (level, region) = allowed.max_by(|left, right| left.0.total_cmp(&right.0))?;
    let gain = level - levels.allowed_in(present);
    let pays = gain >= LEAST_UNITS && gain >= levels.total() * MARGIN;
    pays.then_some(region)
}
