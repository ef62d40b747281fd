//! The deadlines of a unit of work.

use std::time::Duration;

use spurpier_core::time::Timestamp;

use crate::clock::Clock;
use crate::ports::Route;

/// The least part of the timeout that is reserved for returning the answer to the client and for
/// late wake-ups.
const MIN_MARGIN: Duration = Duration::from_millis(50);

/// When a unit arrived, and until when it may wait and run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Deadlines {
    /// When its current statement was read.
    pub arrived: Timestamp,
    /// Until when it may wait for a server that can run it.
    pub wait_until: Timestamp,
    /// When it is abandoned if no answer has arrived.
    pub run_until: Timestamp,
}

impl Deadlines {
    /// Returns the deadlines of a statement that is read now.
    ///
    /// A fifth of the target latency, or of the timeout if the route has no target, may be spent on
    /// waiting. After the process was paused, the deadlines count from the earliest time at which
    /// the statement may have arrived.
    pub fn for_route(route: &Route, clock: &Clock) -> Self {
        Deadlines::for_forwarded(route, clock, Duration::ZERO)
    }

    /// Returns the deadlines of a statement that is read now and has waited on another node for
    /// `waited`.
    ///
    /// [`Deadlines::arrived`] is still the present time: a read's freshness is measured from it,
    /// and a later time only makes the freshness stricter.
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

    /// Returns the time since the current statement was read on this node.
    pub fn waited(&self, now: Timestamp) -> Duration {
        now.since(self.arrived)
    }
}
