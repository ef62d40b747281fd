//! The connections of this node to one server, counted.
//!
//! Connections are scarce: at most `limit` are open or being opened at any time. Those that are
//! idle serve the next unit; some are opened ahead, since opening one is slow.

use std::time::Duration;

use crate::time::Timestamp;

/// The time that passes after a refused connection before another is opened.
const OPEN_FAILURE_BACKOFF: Duration = Duration::from_millis(100);

/// How a unit gets its connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AcquireDecision {
    /// An idle connection is taken.
    ReuseIdle,
    /// A new one must be opened; it is counted from now on.
    Open,
    /// All are in use: the unit must wait for one.
    Exhausted,
}

/// The connections to one server, as numbers.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PoolState {
    limit: usize,
    idle: usize,
    in_use: usize,
    opening: usize,
    backoff_until: Timestamp,
}

impl PoolState {
    /// An empty pool with room for `limit` connections.
    pub fn new(limit: usize) -> Self {
        PoolState {
            limit,
            idle: 0,
            in_use: 0,
            opening: 0,
            backoff_until: Timestamp::ZERO,
        }
    }

    /// Connections that may be open at the same time.
    pub fn limit(&self) -> usize {
        self.limit
    }

    /// Changes the limit; connections beyond it are closed as they come back.
    pub fn set_limit(&mut self, limit: usize) {
        self.limit = limit;
    }

    /// Connections that wait for work.
    pub fn idle(&self) -> usize {
        self.idle
    }

    /// Connections that serve a unit.
    pub fn in_use(&self) -> usize {
        self.in_use
    }

    /// Connections that are open or being opened.
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

    /// A unit wants a connection.
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

    /// How many connections to open ahead so that `wanted` are open or being opened.
    pub fn preopen(&mut self, wanted: usize, now: Timestamp) -> usize {
        if now < self.backoff_until {
            return 0;
        }
        let missing = wanted.min(self.limit).saturating_sub(self.total());
        self.opening += missing;
        missing
    }

    /// An opened connection starts to serve a unit.
    pub fn opened_in_use(&mut self) {
        self.opening -= 1;
        self.in_use += 1;
    }

    /// An opened connection waits for work.
    pub fn opened_idle(&mut self) {
        self.opening -= 1;
        self.idle += 1;
    }

    /// A connection could not be opened; no other is opened for a moment.
    pub fn open_failed(&mut self, now: Timestamp) {
        self.opening -= 1;
        self.backoff_until = now + OPEN_FAILURE_BACKOFF;
    }

    /// A clean connection comes back; false tells to close it, for the limit has fallen.
    pub fn release(&mut self) -> bool {
        self.in_use -= 1;
        let keep = self.total() < self.limit;
        self.idle += usize::from(keep);
        keep
    }

    /// A leased connection was closed.
    pub fn closed_in_use(&mut self) {
        self.in_use -= 1;
    }

    /// `count` idle connections were closed.
    pub fn closed_idle(&mut self, count: usize) {
        self.idle -= count;
    }
}
