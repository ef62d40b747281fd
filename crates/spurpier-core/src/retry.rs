//! Limits on retries: a budget for their number, and a backoff between them.

use std::time::Duration;

use crate::time::Timestamp;

/// The cost of one retry, in hundredths of a retry.
const RETRY_COST: u64 = 100;

/// The settings of a [`RetryBudget`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RetryBudgetSettings {
    /// Retries earned by each hundred first attempts.
    pub percent: u32,
    /// Retries earned each second regardless of traffic, so that a caller with little traffic may
    /// retry.
    pub per_second: u32,
    /// Maximum number of retries that can be accumulated.
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

/// Limits retries to a share of the first attempts, so that they do not overload a failing peer.
#[derive(Debug, Clone)]
pub struct RetryBudget {
    settings: RetryBudgetSettings,
    /// The accumulated budget, in hundredths of a retry.
    balance: u64,
    /// The time up to which the per-second earnings have been added.
    time_counted_until: Timestamp,
}

impl RetryBudget {
    /// Creates a full budget.
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

    /// Records a first attempt, which earns a fraction of a retry.
    pub fn record_attempt(&mut self) {
        self.deposit(u64::from(self.settings.percent));
    }

    /// Takes one retry from the budget; false if the budget is exhausted.
    pub fn try_retry(&mut self, now: Timestamp) -> bool {
        self.deposit_for_time(now);
        if self.balance < RETRY_COST {
            return false;
        }
        self.balance -= RETRY_COST;
        true
    }
}

/// Exponential backoff with jitter: delays between attempts double up to a maximum.
#[derive(Debug, Clone)]
pub struct Backoff {
    initial: Duration,
    maximum: Duration,
    failures: u32,
}

impl Backoff {
    /// Creates a backoff whose first delay is at most `initial` and whose later ones grow up to
    /// `maximum`.
    pub fn new(initial: Duration, maximum: Duration) -> Self {
        Backoff {
            initial,
            maximum,
            failures: 0,
        }
    }

    /// Restarts at the initial delay, after a success.
    pub fn reset(&mut self) {
        self.failures = 0;
    }

    /// The next delay: random between half of the current upper bound and all of it.
    ///
    /// `random` must be uniform over all values of its type.
    pub fn next_delay(&mut self, random: u32) -> Duration {
        let factor = 1_u32.checked_shl(self.failures).unwrap_or(u32::MAX);
        let ceiling = self.initial.saturating_mul(factor).min(self.maximum);
        self.failures = self.failures.saturating_add(1);
        jittered(ceiling, random)
    }
}

/// A random duration between half of `period` and all of it; `random` must be uniform over all
/// values of its type.
pub fn jittered(period: Duration, random: u32) -> Duration {
    let half = period / 2;
    half + half.mul_f64(f64::from(random) / f64::from(u32::MAX))
}
