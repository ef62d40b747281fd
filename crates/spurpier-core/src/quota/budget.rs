//! What a tenant's bound leaves to those who give and use leaves.

use std::time::Duration;

/// For how long a node's question counts as a vote for the authority that it asked, from before it
/// was sent. A node votes every 300 ms, so that one lost question breaks no majority.
pub const VOTE_TTL: Duration = Duration::from_millis(700);
/// How long a leave may be used, from before it was asked for: ten times the way to another region
/// and back.
pub const PERMIT_TTL: Duration = Duration::from_millis(400);
/// How much later than its start an operation may reach a server: it waits for a connection for a
/// fifth of its target at most.
pub(super) const MAX_DISPATCH_DELAY: Duration = Duration::from_millis(200);
/// The least that an authority may save up: less than one leave is never given out.
pub(super) const MIN_CAPACITY: f64 = 1.0;

/// How much a tenant may ask for.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct QuotaRate {
    /// Operations a second.
    pub per_second: f64,
    /// Operations beyond the rate that may come at once.
    pub burst: f64,
}

/// What is judged: in any span of `window`, a tenant's operations may be at most
/// (rate x window + burst) x (1 + `overage`) + `slack`.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct QuotaBound {
    /// The length of the span.
    pub window: Duration,
    /// The part by which the limit may be exceeded.
    pub overage: f64,
    /// Operations by which it may be exceeded besides.
    pub slack: f64,
}

impl QuotaBound {
    /// The most operations in any window.
    pub fn max_operations(&self, rate: QuotaRate) -> f64 {
        let limit = rate.per_second * self.window.as_secs_f64() + rate.burst;
        limit * (1.0 + self.overage) + self.slack
    }
}

/// How a tenant's bound is divided.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Budget {
    /// Leaves a second that an authority with the votes of most nodes gives: the tenant's rate, or
    /// less if its burst does not leave room for what is given early.
    pub per_second: f64,
    /// Leaves that it may save up.
    pub capacity: f64,
    /// Leaves that are set aside in each window for zones that are cut off.
    pub zone_reserve: f64,
    /// The length of the window.
    pub window: Duration,
}

impl Budget {
    /// Divides what the bound allows. What is given before a window and used in it comes off first,
    /// and the slack is set aside for the zones but for one leave.
    pub fn for_rate(rate: QuotaRate, bound: QuotaBound) -> Self {
        let seconds = (bound.window + PERMIT_TTL + MAX_DISPATCH_DELAY).as_secs_f64();
        let zone_reserve = (bound.slack - MIN_CAPACITY).max(0.0);
        let max_operations = bound.max_operations(rate) - zone_reserve;
        // A burst that is small beside the rate leaves less than the rate.
        let max_per_second = (max_operations - MIN_CAPACITY).max(0.0) / seconds;
        let per_second = rate.per_second.min(max_per_second);
        let remaining = max_operations - per_second * seconds;
        Budget {
            per_second,
            capacity: remaining.min(rate.burst).max(MIN_CAPACITY),
            zone_reserve,
            window: bound.window,
        }
    }
}
