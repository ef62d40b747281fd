//! Which server runs a read.

use std::time::Duration;

use crate::position::Position;
use crate::time::Timestamp;

/// How far a server is from a node.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Distance {
    /// In the node's own zone.
    Zone,
    /// In another zone of the node's region.
    Region,
    /// In another region.
    Remote,
}

impl Distance {
    /// How much slower the answers of a nearby server may be before a server at this distance is
    /// preferred.
    ///
    /// The penalty accounts for the cost of the traffic. The network delay is already part of the
    /// measured answer times.
    const fn penalty(self) -> Duration {
        match self {
            Distance::Zone => Duration::ZERO,
            Distance::Region => Duration::from_millis(20),
            Distance::Remote => Duration::from_millis(80),
        }
    }
}

/// What is known of a server when a read is routed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ServerLoad {
    /// How far it is from this node.
    pub distance: Distance,
    /// The smoothed time that it takes to answer.
    pub answer_time: Duration,
    /// Requests of this node that run on it or wait for a connection to it.
    pub in_flight: usize,
    /// Requests that it runs concurrently.
    pub slots: usize,
    /// The log position that it last reported; `None` if it has reported none.
    pub observed: Option<ObservedPosition>,
    /// Until when it is used only if there is no other server, after it was found overloaded or
    /// unresponsive.
    pub avoided_until: Timestamp,
    /// Whether it accepts reads at all.
    pub accepts_reads: bool,
    /// Whether this node takes it for the group's leader.
    pub is_leader: bool,
}

/// The log position that a server last reported.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ObservedPosition {
    /// The position.
    pub position: Position,
    /// When the answer that reported it arrived.
    pub observed_at: Timestamp,
    /// The server's replication lag at that moment, as far as was known.
    pub lag: Duration,
}

impl ObservedPosition {
    /// How long the position indicates that a replica is behind. The larger its lag, the longer
    /// the replica takes to catch up.
    fn validity(&self) -> Duration {
        (self.lag / LAG_DIVISOR).clamp(MIN_VALIDITY, MAX_VALIDITY)
    }
}

/// A replica is assumed to stay behind for its lag divided by this number.
const LAG_DIVISOR: u32 = 8;
/// The shortest time for which a replica is assumed to stay behind.
const MIN_VALIDITY: Duration = Duration::from_millis(60);
/// The longest time for which a replica is assumed to stay behind.
const MAX_VALIDITY: Duration = Duration::from_millis(1_000);
/// Added to the cost of a server that was recently found behind, so that it is tried last.
const LAG_PENALTY: Duration = Duration::from_millis(400);

impl ServerLoad {
    fn is_behind(&self, floor: Position, now: Timestamp) -> bool {
        let indicates_lag = |observed: ObservedPosition| {
            observed.position < floor && now.since(observed.observed_at) < observed.validity()
        };
        !self.is_leader && self.observed.is_some_and(indicates_lag)
    }

    fn cost(&self, floor: Position, now: Timestamp) -> Duration {
        let waiting = u32::try_from(self.in_flight / self.slots.max(1)).unwrap_or(u32::MAX);
        let wait = self.answer_time.saturating_mul(waiting);
        let mut cost = self.answer_time + wait + self.distance.penalty();
        if self.is_behind(floor, now) {
            cost += LAG_PENALTY;
        }
        cost
    }
}

/// The index of the server that runs a read which needs the log up to `floor`; `None` if no server
/// accepts it.
///
/// Servers whose `avoided_until` has not passed are chosen only if there is no other, and those in
/// `excluded` never.
pub fn choose_read_server(
    loads: &[ServerLoad],
    excluded: &[usize],
    floor: Position,
    now: Timestamp,
) -> Option<usize> {
    let candidates = loads.iter().enumerate();
    candidates
        .filter(|(index, load)| load.accepts_reads && !excluded.contains(index))
        .min_by_key(|(_, load)| (load.avoided_until > now, load.cost(floor, now)))
        .map(|(index, _)| index)
}
