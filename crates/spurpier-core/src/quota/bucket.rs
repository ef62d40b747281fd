//! The token bucket that limits one tenant's rate.

use std::time::Duration;

use super::budget::{Budget, VOTE_TTL};
use crate::time::Timestamp;

/// The most tokens in a new bucket.
const INITIAL_TOKENS: f64 = 1.0;

/// A token bucket for one tenant; each token is one permit.
#[derive(Debug, Clone, PartialEq)]
pub struct TokenBucket {
    budget: Budget,
    /// Tokens available at `refilled_at`.
    tokens: f64,
    refilled_at: Timestamp,
}

impl TokenBucket {
    /// Creates a bucket that held one token at `start`, so that a single operation is not refused.
    ///
    /// A rate that earns less than one token within [`VOTE_TTL`] starts with that fraction. The
    /// nodes grant nothing for about that time while they change to another authority, so that the
    /// grants of the previous authority and those of this one add up to no more than the rate.
    pub fn started_at(budget: Budget, start: Timestamp) -> Self {
        let tokens_per_vote_ttl = budget.per_second * VOTE_TTL.as_secs_f64();
        TokenBucket {
            budget,
            tokens: tokens_per_vote_ttl.min(INITIAL_TOKENS),
            refilled_at: start,
        }
    }

    /// Changes the budget from `now` on; tokens above the new capacity are lost.
    pub fn set_budget(&mut self, budget: Budget, now: Timestamp) {
        self.refill(now);
        self.budget = budget;
        self.tokens = self.tokens.min(budget.capacity);
    }

    /// Takes up to `wanted` whole tokens; returns how many were taken.
    pub fn take_up_to(&mut self, wanted: u32, now: Timestamp) -> u32 {
        self.refill(now);
        let count = wanted.min(self.tokens as u32);
        self.tokens -= f64::from(count);
        count
    }

    /// The time until the next whole token is available, at most the budget's window.
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
