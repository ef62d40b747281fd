//! A token bucket.

use std::time::Duration;

use super::budget::{Budget, VOTE_TTL};
use crate::time::Timestamp;

/// The most that a new bucket holds.
const INITIAL_TOKENS: f64 = 1.0;

/// The leaves of one tenant at an authority.
#[derive(Debug, Clone, PartialEq)]
pub struct TokenBucket {
    budget: Budget,
    /// Leaves that may be given out.
    tokens: f64,
    refilled_at: Timestamp,
}

impl TokenBucket {
    /// A bucket that held one leave at a moment, so that a lone operation is not refused; less than
    /// one for a rate that gives none within the life of a vote, for which no authority gives when
    /// it changes. What the former one gave in the past and what this one gives from then on add up
    /// to the rate.
    pub fn started_at(budget: Budget, start: Timestamp) -> Self {
        let tokens_per_vote_ttl = budget.per_second * VOTE_TTL.as_secs_f64();
        TokenBucket {
            budget,
            tokens: tokens_per_vote_ttl.min(INITIAL_TOKENS),
            refilled_at: start,
        }
    }

    /// Goes on with another budget from now on.
    pub fn set_budget(&mut self, budget: Budget, now: Timestamp) {
        self.refill(now);
        self.budget = budget;
        self.tokens = self.tokens.min(budget.capacity);
    }

    /// Gives out up to `wanted` leaves; tells how many.
    pub fn take_up_to(&mut self, wanted: u32, now: Timestamp) -> u32 {
        self.refill(now);
        let count = wanted.min(self.tokens as u32);
        self.tokens -= f64::from(count);
        count
    }

    /// How long until the next leave may be given out; a window if none ever may.
    pub fn time_until_available(&mut self, now: Timestamp) -> Duration {
        self.refill(now);
        let missing = (1.0 - self.tokens).max(0.0);
        let max_wait = self.budget.window;
        if missing > 0.0 && self.budget.capacity < 1.0 {
            return max_wait;
        }
        let seconds = missing / self.budget.per_second;
        Duration::try_from_secs_f64(seconds).map_or(max_wait, |wait| wait.min(max_wait))
    }

    fn refill(&mut self, now: Timestamp) {
        let elapsed = now.since(self.refilled_at);
        self.refilled_at = self.refilled_at.max(now);
        let earned = elapsed.as_secs_f64() * self.budget.per_second;
        self.tokens = (self.tokens + earned).min(self.budget.capacity);
    }
}
