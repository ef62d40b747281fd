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
    /// How much longer an answer may take nearby before a server at this distance is preferred.
    ///
    /// It stands for the price of the bytes on the way, beside the way's own delay, which the
    /// measured answers hold already.
    const fn penalty(self) -> Duration {
        match self {
            Distance::Zone => Duration::ZERO,
            Distance::Region => Duration::from_millis(20),
            Distance::Remote => Duration::from_millis(80),
        }
    }
}

/// What is known of one server when a read is placed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ServerLoad {
    /// How far it is.
    pub distance: Distance,
    /// The smoothed time of its answers.
    pub answer_time: Duration,
    /// Requests of this node that run on it or wait for a connection.
    pub in_flight: usize,
    /// Requests that it runs at the same time.
    pub slots: usize,
    /// What it was last seen to show.
    pub observed: Option<ObservedPosition>,
    /// Until when it is passed over, after it was found full or silent.
    pub avoided_until: Timestamp,
    /// Whether it may take reads at all.
    pub accepts_reads: bool,
    /// Whether it is taken to lead the group.
    pub is_leader: bool,
}

/// What a server was last seen to show of the group's log.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ObservedPosition {
    /// The position.
    pub position: Position,
    /// When its answer was taken in.
    pub observed_at: Timestamp,
    /// For how long the lead had held more then, as far as was known.
    pub lag: Duration,
}

impl ObservedPosition {
    /// How long the position stays a sign that a replica is behind: the farther behind it is, the
    /// longer it takes to catch up.
    fn validity(&self) -> Duration {
        (self.lag / LAG_DIVISOR).clamp(MIN_VALIDITY, MAX_VALIDITY)
    }
}

/// The part of a replica's lag for which it is taken to stay behind.
const LAG_DIVISOR: u32 = 8;
/// The bounds of that time.
const MIN_VALIDITY: Duration = Duration::from_millis(60);
const MAX_VALIDITY: Duration = Duration::from_millis(1_000);
/// What is added for a server that was just found behind, so that it is tried last.
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

/// The index of the server that a read at `floor` goes to; none if no server may take it.
///
/// Servers that are to be avoided are taken only when there is no other.
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
