//! The state of failure detection.

use std::time::Duration;

use rand::RngExt;
use rand::rngs::SmallRng;

use super::config::MembershipConfig;
use super::identity::NodeKey;
use super::table::{MemberTable, Slot};
use super::zones::ZoneDistance;
use crate::time::Timestamp;

/// The worst value of the local health score; timeouts grow by one with each step.
const MAX_HEALTH_SCORE: u32 = 8;

/// A probe that has not been answered.
#[derive(Debug, Clone)]
pub(super) struct PendingProbe {
    /// Its number.
    pub(super) number: u32,
    /// The node probed.
    pub(super) target: NodeKey,
    /// When it left.
    pub(super) sent_at: Timestamp,
    /// Whether others were asked to probe too.
    pub(super) indirect_sent: bool,
    /// Who asked for it and under which number, when it is made in another node's place.
    pub(super) requested_by: Option<(NodeKey, u32)>,
}

/// A failed probe that nothing has yet shown to be the member's own fault.
#[derive(Debug, Clone, Copy)]
pub(super) struct UnconfirmedFailure {
    /// The node probed.
    pub(super) target: NodeKey,
    /// When the probe left.
    pub(super) sent_at: Timestamp,
}

/// A suspicion that turns into a death unless it is refuted.
#[derive(Debug, Clone, Copy)]
pub(super) struct Suspicion {
    /// The member.
    pub(super) key: NodeKey,
    /// The life that is suspected.
    pub(super) incarnation: u64,
    /// Since when.
    pub(super) started_at: Timestamp,
    /// When it turns into a death.
    pub(super) deadline: Timestamp,
}

/// The members at one distance, in the random order in which they are probed.
#[derive(Debug, Clone, Default)]
pub(super) struct Rotation {
    /// The places, in the order of the present round.
    pub(super) slots: Vec<Slot>,
    /// The next one to probe.
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
    /// 0 is healthy; each step makes this node more patient with others.
    pub(super) health_score: u32,
}

/// The time between two probes at this distance.
pub(super) fn probe_interval(config: &MembershipConfig, distance: ZoneDistance) -> Duration {
    match distance {
        ZoneDistance::OwnZone => config.own_zone_probe_interval,
        ZoneDistance::OwnRegion => config.own_region_probe_interval,
        ZoneDistance::OtherRegion => config.other_region_probe_interval,
    }
}

impl Detection {
    /// No probes yet; the first of each distance leaves at a random moment of its interval.
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

    /// Drops every observation that a pause of this node has made worthless.
    pub(super) fn restart(&mut self, now: Timestamp, config: &MembershipConfig) {
        self.health_score = MAX_HEALTH_SCORE;
        self.pending.clear();
        self.unconfirmed.clear();
        let deadline = now + config.suspicion_timeout * (MAX_HEALTH_SCORE + 1);
        for suspicion in &mut self.suspicions {
            suspicion.deadline = deadline;
        }
    }

    /// When something is due next.
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

    /// The bytes of its lists.
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

    /// A timeout stretched by the local health score.
    pub(super) fn scaled_timeout(&self, timeout: Duration) -> Duration {
        timeout * (1 + self.health_score)
    }

    /// Notes a failed probe: the fault may be this node's own.
    pub(super) fn record_failure(&mut self) {
        self.health_score = (self.health_score + 1).min(MAX_HEALTH_SCORE);
    }

    /// Notes an answered probe.
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
