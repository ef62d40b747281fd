//! A token bucket.

use std::time::Duration;

use super::budget::{Budget, VOTE_LIFE};
use crate::time::Timestamp;

/// The most that a new bucket holds.
const FIRST_LEAVES: f64 = 1.0;

/// The leaves of one tenant at an authority.
#[derive(Debug, Clone, PartialEq)]
pub struct Bucket {
    budget: Budget,
    /// Leaves that may be given out.
    level: f64,
    filled_at: Timestamp,
}

impl Bucket {
    /// A bucket that held one leave at a moment, so that a lone operation is not refused; less than
    /// one for a rate that gives none within the life of a vote, for which no authority gives when
    /// it changes. What the former one gave in the past and what this one gives from then on add up
    /// to the rate.
    pub fn begun_at(budget: Budget, moment: Timestamp) -> Self {
        let missed = budget.per_second * VOTE_LIFE.as_secs_f64();
        Bucket {
            budget,
            level: missed.min(FIRST_LEAVES),
            filled_at: moment,
        }
    }

    /// Goes on with another budget from now on.
    pub fn set_budget(&mut self, budget: Budget, now: Timestamp) {
        self.fill(now);
        self.budget = budget;
        self.level = self.level.min(budget.capacity);
    }

    /// Gives out up to `wanted` leaves; tells how many.
    pub fn give(&mut self, wanted: u32, now: Timestamp) -> u32 {
        self.fill(now);
        let count = wanted.min(self.level as u32);
        self.level -= f64::from(count);
        count
    }

    /// How long until the next leave may be given out; a window if none ever may.
    pub fn wait(&mut self, now: Timestamp) -> Duration {
        self.fill(now);
        let missing = (1.0 - self.level).max(0.0);
        let longest = self.budget.window;
        if missing > 0.0 && self.budget.capacity < 1.0 {
            return longest;
        }
        let seconds = missing / self.budget.per_second;
        Duration::try_from_secs_f64(seconds).map_or(longest, |wait| wait.min(longest))
    }

    fn fill(&mut self, now: Timestamp) {
        let elapsed = now.since(self.filled_at);
        self.filled_at = self.filled_at.max(now);
        let gained = elapsed.as_secs_f64() * self.budget.per_second;
        self.level = (self.level + gained).min(self.budget.capacity);
    }
}
