//! From failed probes to suspicions, and from suspicions to deaths.

use std::time::Duration;

use super::detection::Suspicion;
use super::event::MembershipAction;
use super::identity::NodeKey;
use super::machine::Membership;
use super::status::{MemberState, MemberStatus};
use super::table::{Member, MemberTable};
use crate::time::Timestamp;

/// How long a failed probe waits for proof that the member's zone answers others.
const CONFIRMATION_TIMEOUT: Duration = Duration::from_secs(20);

impl Membership {
    /// Notes that a member lives, though not that it can be reached: its path here may be one-way.
    pub(super) fn record_contact(&mut self, sender: NodeKey) {
        self.detection
            .unconfirmed
            .retain(|failure| failure.target != sender);
    }

    /// Notes that a member answered a probe: its zone can be reached.
    pub(super) fn record_member_answer(&mut self, now: Timestamp, sender: NodeKey) {
        let Some(zone) = self.table.zone_of_mut(sender) else {
            return;
        };
        zone.record_answer(now);
        self.suspect_confirmed(now, sender);
    }

    /// Turns failed probes into suspicions where an answer shows that only the target is silent.
    fn suspect_confirmed(&mut self, now: Timestamp, answered: NodeKey) {
        if self.detection.unconfirmed.is_empty() {
            return;
        }
        let mut confirmed = Vec::new();
        let table = &self.table;
        self.detection.unconfirmed.retain(|failure| {
            let is_confirmed = confirms_failure(table, answered, failure.target);
            if is_confirmed {
                confirmed.push(failure.target);
            }
            !is_confirmed && now.since(failure.sent_at) < CONFIRMATION_TIMEOUT
        });
        for target in confirmed {
            self.suspect(now, target);
        }
    }

    fn suspect(&mut self, now: Timestamp, target: NodeKey) {
        let Some(member) = self.table.find(target) else {
            return;
        };
        let state = member.state();
        if state.status.is_suspect() {
            return;
        }
        let suspected = state.with_status(state.status.with_suspicion());
        self.actions.push(MembershipAction::SuspicionRaised(target));
        self.apply_state(now, target, suspected, None);
    }

    /// How often the cluster has doubled from one node to its present size, rounded up.
    pub(super) fn cluster_doublings(&self) -> u32 {
        let nodes = self.table.len() + 1;
        usize::BITS - nodes.leading_zeros()
    }

    /// How long a suspected node of the own zone has to refute in a cluster of this size.
    fn suspicion_timeout(&self) -> Duration {
        self.config.suspicion_timeout
            + self.config.suspicion_timeout_per_doubling * self.cluster_doublings()
    }

    /// Starts the time in which a suspected member may refute.
    pub(super) fn start_suspicion(&mut self, now: Timestamp, key: NodeKey, state: MemberState) {
        let own_zone = self.table.find(key).is_some_and(|member| member.zone == 0);
        let factor = match own_zone {
            true => 1,
            false => self.config.other_zone_suspicion_factor,
        };
        let wait = self
            .detection
            .scaled_timeout(self.suspicion_timeout() * factor);
        self.detection
            .suspicions
            .retain(|suspicion| suspicion.key != key);
        self.detection.suspicions.push(Suspicion {
            key,
            incarnation: state.incarnation,
            started_at: now,
            deadline: now + wait,
        });
    }

    /// Declares the suspected members dead whose time is over, unless their zone is in doubt.
    pub(super) fn expire_suspicions(&mut self, now: Timestamp) {
        let due = |suspicion: &Suspicion| suspicion.deadline <= now;
        if !self.detection.suspicions.iter().any(due) {
            return;
        }
        let delay_factor = self.refutation_delay_factor();
        let suspicion_timeout = self.suspicion_timeout();
        let mut suspicions = std::mem::take(&mut self.detection.suspicions);
        let mut dead = Vec::new();
        suspicions.retain_mut(|suspicion| {
            let Some(member) = self.table.find(suspicion.key) else {
                return false;
            };
            let state = member.state();
            if state.incarnation != suspicion.incarnation || !state.status.is_suspect() {
                return false;
            }
            if suspicion.deadline > now {
                return true;
            }
            let suspected_for = now.since(suspicion.started_at);
            let too_soon = suspected_for < suspicion_timeout * delay_factor;
            if too_soon || self.may_be_zone_failure(member, suspected_for) {
                suspicion.deadline = now + suspicion_timeout;
                return true;
            }
            dead.push((suspicion.key, state.with_status(MemberStatus::Dead)));
            false
        });
        self.detection.suspicions = suspicions;
        for (key, state) in dead {
            self.apply_state(now, key, state, None);
        }
    }

    /// How many times as long as usual a refutation may take, as many statements wait here.
    fn refutation_delay_factor(&self) -> u32 {
        /// Short statements that travel without delay, about what one datagram holds.
        const UPDATES_PER_DATAGRAM: usize = 32;
        1 + (self.queue.short_update_count() / UPDATES_PER_DATAGRAM) as u32
    }

    /// Whether the silence of a member may be that of its whole zone.
    fn may_be_zone_failure(&self, member: &Member, suspected_for: Duration) -> bool {
        let zone = self.table.zone_of(member);
        let mass_suspicion = zone.has_mass_suspicion(
            self.config.mass_suspicion_percent,
            self.config.mass_suspicion_min_members,
        );
        let held_back = mass_suspicion && suspected_for < self.config.mass_suspicion_max_hold;
        held_back || !self.table.is_reachable(zone)
    }
}

/// Whether an answer from one member shows that the silence of another is its own.
///
/// The answer must come from the target's zone. Where this node's own zone has no third member,
/// an answer from any zone shows at least that this node itself is not cut off.
fn confirms_failure(table: &MemberTable, answered: NodeKey, target: NodeKey) -> bool {
    let (Some(answered), Some(target)) = (table.find(answered), table.find(target)) else {
        return false;
    };
    let two_node_zone = target.zone == 0 && table.zone_of(target).members == 1;
    answered.zone == target.zone || two_node_zone
}
