//! A unit's limits in time.

use std::time::Duration;

use spurpier_core::time::Timestamp;

use crate::clock::Clock;
use crate::ports::Route;

/// What is kept back of a statement's time for the way to the client and a late wake-up.
const MIN_MARGIN: Duration = Duration::from_millis(50);

/// When a unit arrived, and until when it may wait and run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Deadlines {
    /// When its first statement was read.
    pub arrived: Timestamp,
    /// Until when it may wait for a server that can run it.
    pub wait_until: Timestamp,
    /// When it is given up.
    pub run_until: Timestamp,
}

impl Deadlines {
    /// The limits of a statement that is read now.
    ///
    /// A fifth of the target is for waiting. A process that stood still counts the statement's
    /// time from when it may have come.
    pub fn for_route(route: &Route, clock: &Clock) -> Self {
        Deadlines::for_forwarded(route, clock, Duration::ZERO)
    }

    /// The limits of a statement that is read now and has waited on another node.
    ///
    /// What a read must see counts from now: a later moment asks for more.
    pub fn for_forwarded(route: &Route, clock: &Clock, waited: Duration) -> Self {
        let arrived = clock.now();
        let earliest = clock.earliest_arrival().saturating_sub(waited);
        let margin = MIN_MARGIN.max(route.timeout / 10);
        let target = if route.target.is_zero() {
            route.timeout
        } else {
            route.target
        };
        Deadlines {
            arrived,
            wait_until: earliest + target / 5,
            run_until: earliest + route.timeout.saturating_sub(margin),
        }
    }

    /// How long it has been here.
    pub fn waited(&self, now: Timestamp) -> Duration {
        now.since(self.arrived)
    }
}
