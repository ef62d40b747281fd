//! The state of failure detection.

use std::time::Duration;

use rand::RngExt;
use rand::rngs::SmallRng;

use super::config::MembershipConfig;
use super::identity::NodeKey;
use super::table::{MemberTable, Slot};
use super::zones::ZoneDistance;
use crate::time::Timestamp;

/// The worst local health score; each point adds the base value once more to every timeout.
const MAX_HEALTH_SCORE: u32 = 8;

/// A probe that has not been answered yet.
#[derive(Debug, Clone)]
pub(super) struct PendingProbe {
    /// The sequence number of the probe.
    pub(super) number: u32,
    /// The probed node.
    pub(super) target: NodeKey,
    /// When the probe was sent.
    pub(super) sent_at: Timestamp,
    /// Whether other nodes were asked for indirect probes.
    pub(super) indirect_sent: bool,
    /// For an indirect probe, the requester and the sequence number of its request.
    pub(super) requested_by: Option<(NodeKey, u32)>,
}

/// A failed probe for which it is not yet known whether the member or its zone is at fault.
#[derive(Debug, Clone, Copy)]
pub(super) struct UnconfirmedFailure {
    /// The probed node.
    pub(super) target: NodeKey,
    /// When the probe was sent.
    pub(super) sent_at: Timestamp,
}

/// A suspicion after which the member is declared dead unless it refutes it.
#[derive(Debug, Clone, Copy)]
pub(super) struct Suspicion {
    /// The suspected member.
    pub(super) key: NodeKey,
    /// The suspected incarnation.
    pub(super) incarnation: u64,
    /// When the suspicion started.
    pub(super) started_at: Timestamp,
    /// When the member is declared dead.
    pub(super) deadline: Timestamp,
}

/// The members at one distance, in the random order in which they are probed.
#[derive(Debug, Clone, Default)]
pub(super) struct Rotation {
    /// The slots of the members, in the order of the current round.
    pub(super) slots: Vec<Slot>,
    /// The index in `slots` of the next member to probe.
    pub(super) next: usize,
}

/// The state of failure detection.
#[derive(Debug, Clone)]
pub(super) struct Detection {
    pub(super) rotations: [Rotation; 3],
    pub(super) next_probe: [Timestamp; 3],
    pub(super) pending: Vec<PendingProbe>,
    pub(super) unconfirmed: Vec<UnconfirmedFailure>,
    pub(super) suspicions: Vec<Suspicion>,
    pub(super) last_probe_number: u32,
    /// The local health score of Lifeguard: 0 is healthy, and each point makes timeouts longer.
    pub(super) health_score: u32,
}

/// Returns the interval between probes at this distance.
pub(super) fn probe_interval(config: &MembershipConfig, distance: ZoneDistance) -> Duration {
    match distance {
        ZoneDistance::OwnZone => config.own_zone_probe_interval,
        ZoneDistance::OwnRegion => config.own_region_probe_interval,
        ZoneDistance::OtherRegion => config.other_region_probe_interval,
    }
}

impl Detection {
    /// Creates the state before the first probes; for each distance, the first is due at a random
    /// time within its interval.
    pub(super) fn new(config: &MembershipConfig, random: &mut SmallRng) -> Self {
        let next_probe = ZoneDistance::ALL.map(|distance| {
            let micros = probe_interval(config, distance).as_micros() as u64;
            Timestamp::from_micros(random.random_range(0..=micros))
        });
        Detection {
            rotations: Default::default(),
            next_probe,
            pending: Vec::new(),
            unconfirmed: Vec::new(),
            suspicions: Vec::new(),
            last_probe_number: 0,
            health_score: 0,
        }
    }

    /// Discards the observations that are invalid after a pause of this node, and gives suspected
    /// members the longest timeout from now on.
    pub(super) fn restart(&mut self, now: Timestamp, config: &MembershipConfig) {
        self.health_score = MAX_HEALTH_SCORE;
        self.pending.clear();
        self.unconfirmed.clear();
        let deadline = now + config.suspicion_timeout * (MAX_HEALTH_SCORE + 1);
        for suspicion in &mut self.suspicions {
            suspicion.deadline = deadline;
        }
    }

    /// Returns when the next probe, timeout or suspicion is due.
    pub(super) fn next_deadline(
        &self,
        table: &MemberTable,
        config: &MembershipConfig,
    ) -> Timestamp {
        let probes = ZoneDistance::ALL
            .iter()
            .filter(|distance| has_members(table, **distance))
            .map(|distance| self.next_probe[distance.index()]);
        let pending = self.pending.iter().map(|probe| {
            let wait = match probe.indirect_sent || probe.requested_by.is_some() {
                true => config.probe_timeout,
                false => config.direct_probe_timeout,
            };
            probe.sent_at + self.scaled_timeout(wait)
        });
        let suspicions = self.suspicions.iter().map(|suspicion| suspicion.deadline);
        probes
            .chain(pending)
            .chain(suspicions)
            .min()
            .unwrap_or(Timestamp::from_micros(u64::MAX))
    }

    /// Returns the memory that the lists take, in bytes.
    pub(super) fn memory_bytes(&self) -> usize {
        let slots: usize = self
            .rotations
            .iter()
            .map(|rotation| rotation.slots.capacity())
            .sum();
        slots * size_of::<Slot>()
            + self.pending.capacity() * size_of::<PendingProbe>()
            + self.unconfirmed.capacity() * size_of::<UnconfirmedFailure>()
            + self.suspicions.capacity() * size_of::<Suspicion>()
    }

    /// Returns the timeout, lengthened according to the local health score.
    pub(super) fn scaled_timeout(&self, timeout: Duration) -> Duration {
        timeout * (1 + self.health_score)
    }

    /// Records a failed probe: the fault may lie with this node.
    pub(super) fn record_failure(&mut self) {
        self.health_score = (self.health_score + 1).min(MAX_HEALTH_SCORE);
    }

    /// Records an answered probe.
    pub(super) fn record_success(&mut self) {
        self.health_score = self.health_score.saturating_sub(1);
    }
}

/// Whether any zone at this distance has members.
pub(super) fn has_members(table: &MemberTable, distance: ZoneDistance) -> bool {
    table
        .zones
        .iter()
        .any(|zone| zone.distance == distance && zone.members > 0)
}
