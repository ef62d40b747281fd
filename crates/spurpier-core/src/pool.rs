//! Counts of this node's connections to one server.
//!
//! Connections are scarce: at most `limit` are open or being opened at any time. Idle ones are
//! reused for the next unit. Some are opened before they are needed, because opening is slow.

use std::time::Duration;

use crate::time::Timestamp;

/// Time between a failed attempt to open a connection and the next attempt.
const OPEN_FAILURE_BACKOFF: Duration = Duration::from_millis(100);

/// How a unit gets its connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AcquireDecision {
    /// It reuses an idle connection.
    ReuseIdle,
    /// The caller must open a new connection, which is already counted.
    Open,
    /// It must wait: all connections are in use and no other may be opened now.
    Exhausted,
}

/// The number of connections to one server in each state.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PoolState {
    limit: usize,
    idle: usize,
    in_use: usize,
    opening: usize,
    backoff_until: Timestamp,
}

impl PoolState {
    /// Creates an empty pool of at most `limit` connections.
    pub fn new(limit: usize) -> Self {
        PoolState {
            limit,
            idle: 0,
            in_use: 0,
            opening: 0,
            backoff_until: Timestamp::ZERO,
        }
    }

    /// Maximum number of connections that are open or being opened.
    pub fn limit(&self) -> usize {
        self.limit
    }

    /// Changes the limit; connections above it are closed when they are released.
    pub fn set_limit(&mut self, limit: usize) {
        self.limit = limit;
    }

    /// Number of open connections that serve no unit.
    pub fn idle(&self) -> usize {
        self.idle
    }

    /// Number of connections that serve a unit.
    pub fn in_use(&self) -> usize {
        self.in_use
    }

    /// Number of connections that are open or being opened.
    pub fn total(&self) -> usize {
        self.idle + self.in_use + self.opening
    }

    /// Whether a unit could get a connection now.
    pub fn can_acquire(&self, now: Timestamp) -> bool {
        self.idle > 0 || self.can_open(now)
    }

    fn can_open(&self, now: Timestamp) -> bool {
        self.total() < self.limit && now >= self.backoff_until
    }

    /// Acquires a connection for a unit.
    pub fn acquire(&mut self, now: Timestamp) -> AcquireDecision {
        if self.idle > 0 {
            self.idle -= 1;
            self.in_use += 1;
            return AcquireDecision::ReuseIdle;
        }
        if self.can_open(now) {
            self.opening += 1;
            return AcquireDecision::Open;
        }
        AcquireDecision::Exhausted
    }

    /// Number of connections that the caller must open so that `wanted` are open or being opened.
    ///
    /// They are counted as being opened from now on.
    pub fn preopen(&mut self, wanted: usize, now: Timestamp) -> usize {
        if now < self.backoff_until {
            return 0;
        }
        let missing = wanted.min(self.limit).saturating_sub(self.total());
        self.opening += missing;
        missing
    }

    /// Records that a connection was opened and serves a unit.
    pub fn opened_in_use(&mut self) {
        self.opening -= 1;
        self.in_use += 1;
    }

    /// Records that a connection was opened and is idle.
    pub fn opened_idle(&mut self) {
        self.opening -= 1;
        self.idle += 1;
    }

    /// Records that a connection could not be opened, and starts the backoff.
    pub fn open_failed(&mut self, now: Timestamp) {
        self.opening -= 1;
        self.backoff_until = now + OPEN_FAILURE_BACKOFF;
    }

    /// Returns a clean connection to the pool; false if the caller must close it because the limit
    /// was lowered.
    pub fn release(&mut self) -> bool {
        self.in_use -= 1;
        let keep = self.total() < self.limit;
        self.idle += usize::from(keep);
        keep
    }

    /// Records that a connection in use was closed.
    pub fn closed_in_use(&mut self) {
        self.in_use -= 1;
    }

    /// Records that `count` idle connections were closed.
    pub fn closed_idle(&mut self, count: usize) {
        self.idle -= count;
    }
}
