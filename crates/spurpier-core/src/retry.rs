//! Bounds on retries: how many, and after how long a pause.

use std::time::Duration;

use crate::time::Timestamp;

/// Hundredths of a retry that one first attempt earns, and the cost of one retry.
const RETRY_COST: u64 = 100;

/// The settings of a [`RetryBudget`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RetryBudgetSettings {
    /// Retries that each hundred first attempts earn.
    pub percent: u32,
    /// Retries that are earned each second whatever the traffic, so that a quiet caller may retry.
    pub per_second: u32,
    /// The greatest number of retries that can be saved up.
    pub burst: u32,
}

impl Default for RetryBudgetSettings {
    fn default() -> Self {
        RetryBudgetSettings {
            percent: 10,
            per_second: 1,
            burst: 10,
        }
    }
}

/// Bounds retries to a share of the first attempts, so that a failing party is not flooded.
#[derive(Debug, Clone)]
pub struct RetryBudget {
    settings: RetryBudgetSettings,
    /// What is saved, in hundredths of a retry.
    balance: u64,
    /// Until when the earnings of time have been counted.
    time_counted_until: Timestamp,
}

impl RetryBudget {
    /// A full budget.
    pub fn new(settings: RetryBudgetSettings, now: Timestamp) -> Self {
        RetryBudget {
            settings,
            balance: u64::from(settings.burst) * RETRY_COST,
            time_counted_until: now,
        }
    }

    fn deposit(&mut self, hundredths: u64) {
        let full = u64::from(self.settings.burst) * RETRY_COST;
        self.balance = self.balance.saturating_add(hundredths).min(full);
    }

    fn deposit_for_time(&mut self, now: Timestamp) {
        let per_second = u64::from(self.settings.per_second) * RETRY_COST;
        if per_second == 0 {
            return;
        }
        let elapsed = now.since(self.time_counted_until);
        let micros = u64::try_from(elapsed.as_micros()).unwrap_or(u64::MAX);
        let hundredths = micros.saturating_mul(per_second) / 1_000_000;
        if hundredths > 0 {
            self.deposit(hundredths);
            self.time_counted_until = now;
        }
    }

    /// Notes a first attempt, which earns a part of a retry.
    pub fn record_attempt(&mut self) {
        self.deposit(u64::from(self.settings.percent));
    }

    /// Takes one retry out of the budget; false when it is spent.
    pub fn try_retry(&mut self, now: Timestamp) -> bool {
        self.deposit_for_time(now);
        if self.balance < RETRY_COST {
            return false;
        }
        self.balance -= RETRY_COST;
        true
    }
}

/// Pauses between attempts that double up to a limit, with full jitter.
#[derive(Debug, Clone)]
pub struct Backoff {
    initial: Duration,
    maximum: Duration,
    failures: u32,
}

impl Backoff {
    /// Pauses that start at up to `initial` and grow to up to `maximum`.
    pub fn new(initial: Duration, maximum: Duration) -> Self {
        Backoff {
            initial,
            maximum,
            failures: 0,
        }
    }

    /// Starts over after a success.
    pub fn reset(&mut self) {
        self.failures = 0;
    }

    /// The next pause: a random share of the present limit, at least half of it.
    ///
    /// `random` is uniform over all values of its type.
    pub fn next_delay(&mut self, random: u32) -> Duration {
        let factor = 1_u32.checked_shl(self.failures).unwrap_or(u32::MAX);
        let ceiling = self.initial.saturating_mul(factor).min(self.maximum);
        self.failures = self.failures.saturating_add(1);
        jittered(ceiling, random)
    }
}

/// Spreads a period over half of it up to all of it; `random` is uniform over its type.
pub fn jittered(period: Duration, random: u32) -> Duration {
    let half = period / 2;
    half + half.mul_f64(f64::from(random) / f64::from(u32::MAX))
}
