//! Zones as one node sees them: their members and whether they can be reached.

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

    /// The distance's place in [`Self::ALL`].
    pub(super) const fn index(self) -> usize {
        match self {
            ZoneDistance::OwnZone => 0,
            ZoneDistance::OwnRegion => 1,
            ZoneDistance::OtherRegion => 2,
        }
    }
}

/// What is known of one zone.
#[derive(Debug, Clone)]
pub(super) struct ZoneState {
    /// Its name.
    pub(super) name: ZoneName,
    /// Its distance from this node.
    pub(super) distance: ZoneDistance,
    /// Members known there, without this node itself.
    pub(super) members: usize,
    /// Those of them under suspicion.
    pub(super) suspects: usize,
    /// Probes into the zone that failed since the last answer from there.
    pub(super) consecutive_failures: u32,
    /// When a member of the zone last answered.
    pub(super) last_answer: Option<Timestamp>,
    /// When the view of a member of the zone was last equal to the own.
    pub(super) last_equal_view: Timestamp,
}

impl ZoneState {
    /// A zone without members.
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

    /// Notes that a member of the zone answered.
    pub(super) fn record_answer(&mut self, now: Timestamp) {
        self.consecutive_failures = 0;
        self.last_answer = Some(now);
    }

    /// Notes that a probe into the zone failed.
    pub(super) fn record_failure(&mut self) {
        self.consecutive_failures = self.consecutive_failures.saturating_add(1);
    }

    /// Whether so many members are suspected at once that a cut is likelier than their deaths.
    pub(super) fn has_mass_suspicion(&self, percent: usize, min_suspects: usize) -> bool {
        self.suspects >= min_suspects && self.suspects * 100 >= self.members * percent
    }

    /// Whether nothing was heard from the zone for `silence`.
    pub(super) fn is_silent(&self, now: Timestamp, silence: Duration) -> bool {
        match self.last_answer {
            Some(answered_at) => now.since(answered_at) >= silence,
            None => now.since(Timestamp::ZERO) >= silence,
        }
    }
}
