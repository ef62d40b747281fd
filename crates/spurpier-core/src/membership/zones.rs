//! One node's view of the zones: their member counts and whether they can be reached.

use std::time::Duration;

use crate::identity::ZoneName;
use crate::time::Timestamp;

/// How far a zone is from the observing node.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub(super) enum ZoneDistance {
    /// The own zone.
    OwnZone,
    /// Another zone of the own region.
    OwnRegion,
    /// A zone of another region.
    OtherRegion,
}

impl ZoneDistance {
    /// All distances, nearest first.
    pub(super) const ALL: [ZoneDistance; 3] = [
        ZoneDistance::OwnZone,
        ZoneDistance::OwnRegion,
        ZoneDistance::OtherRegion,
    ];

    /// Returns the index of the distance in [`Self::ALL`].
    pub(super) const fn index(self) -> usize {
        match self {
            ZoneDistance::OwnZone => 0,
            ZoneDistance::OwnRegion => 1,
            ZoneDistance::OtherRegion => 2,
        }
    }
}

/// The observed state of one zone.
#[derive(Debug, Clone)]
pub(super) struct ZoneState {
    /// The name of the zone.
    pub(super) name: ZoneName,
    /// The distance of the zone from this node.
    pub(super) distance: ZoneDistance,
    /// The number of known members there, without this node itself.
    pub(super) members: usize,
    /// How many of them are suspected.
    pub(super) suspects: usize,
    /// The number of probes into the zone that failed since its last answer.
    pub(super) consecutive_failures: u32,
    /// When a member of the zone last answered.
    pub(super) last_answer: Option<Timestamp>,
    /// When the view of a member of the zone was last equal to the view of this node.
    pub(super) last_equal_view: Timestamp,
}

impl ZoneState {
    /// Creates a zone without members.
    pub(super) fn new(name: ZoneName, distance: ZoneDistance) -> Self {
        ZoneState {
            name,
            distance,
            members: 0,
            suspects: 0,
            consecutive_failures: 0,
            last_answer: None,
            last_equal_view: Timestamp::ZERO,
        }
    }

    /// Records that a member of the zone answered a probe.
    pub(super) fn record_answer(&mut self, now: Timestamp) {
        self.consecutive_failures = 0;
        self.last_answer = Some(now);
    }

    /// Records that a probe into the zone failed.
    pub(super) fn record_failure(&mut self) {
        self.consecutive_failures = self.consecutive_failures.saturating_add(1);
    }

    /// Whether at least `min_suspects` members and at least `percent` percent of all members are
    /// suspected at once, so that a network partition is more likely than their deaths.
    pub(super) fn has_mass_suspicion(&self, percent: usize, min_suspects: usize) -> bool {
        self.suspects >= min_suspects && self.suspects * 100 >= self.members * percent
    }

    /// Whether no member of the zone has answered a probe for at least `silence`.
    pub(super) fn is_silent(&self, now: Timestamp, silence: Duration) -> bool {
        match self.last_answer {
            Some(answered_at) => now.since(answered_at) >= silence,
            None => now.since(Timestamp::ZERO) >= silence,
        }
    }
}
