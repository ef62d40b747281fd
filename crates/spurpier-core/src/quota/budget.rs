//! Quota bounds, and how a bound is divided between the authorities.

use std::time::Duration;

/// How long a node's request counts as a vote for the authority, measured from before it was sent.
/// A node votes every 300 ms, so that one lost request does not end a majority.
pub const VOTE_TTL: Duration = Duration::from_millis(700);
/// How long a permit may be used, measured from before it was requested: ten round trips to another
/// region.
pub const PERMIT_TTL: Duration = Duration::from_millis(400);
/// The most time between the start of an operation and its arrival at a server: an operation waits
/// for a connection for at most a fifth of its target latency.
pub(super) const MAX_DISPATCH_DELAY: Duration = Duration::from_millis(200);
/// The least capacity of a token bucket: with less than one token it could never grant a permit.
pub(super) const MIN_CAPACITY: f64 = 1.0;

/// A tenant's rate limit.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct QuotaRate {
    /// Operations per second.
    pub per_second: f64,
    /// Operations that may arrive at once beyond the rate.
    pub burst: f64,
}

/// The bound that must hold: in any window of length `window`, a tenant's operations are at most
/// (rate x window + burst) x (1 + `overage`) + `slack`.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct QuotaBound {
    /// The length of each window.
    pub window: Duration,
    /// The fraction by which the limit may be exceeded.
    pub overage: f64,
    /// Operations by which the limit may be exceeded in addition.
    pub slack: f64,
}

impl QuotaBound {
    /// The most operations in any window, for a tenant with this rate limit.
    pub fn max_operations(&self, rate: QuotaRate) -> f64 {
        let limit = rate.per_second * self.window.as_secs_f64() + rate.burst;
        limit * (1.0 + self.overage) + self.slack
    }
}

/// A tenant's bound, divided between the global authority and the zones' authorities.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Budget {
    /// Permits per second that the global authority grants: the tenant's rate, or less if the bound
    /// leaves no room for permits that are granted before a window and used in it.
    pub per_second: f64,
    /// Unused permits that the global authority may accumulate.
    pub capacity: f64,
    /// Permits per window that are reserved for partitioned zones, all of them together.
    pub zone_reserve: f64,
    /// The length of the bound's window.
    pub window: Duration,
}

impl Budget {
    /// Divides the bound of a tenant with this rate limit.
    ///
    /// The slack, except for one permit, is reserved for the zones. Permits that are granted before
    /// a window and used in it are subtracted from what remains.
    pub fn for_rate(rate: QuotaRate, bound: QuotaBound) -> Self {
        let seconds = (bound.window + PERMIT_TTL + MAX_DISPATCH_DELAY).as_secs_f64();
        let zone_reserve = (bound.slack - MIN_CAPACITY).max(0.0);
        let max_operations = bound.max_operations(rate) - zone_reserve;
        // If the burst is small compared with the rate, the bound does not allow the whole rate.
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
