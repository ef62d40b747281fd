//! Turns failed probes into suspicions, and suspicions that time out into deaths.

use std::time::Duration;

use super::detection::Suspicion;
use super::event::MembershipAction;
use super::identity::NodeKey;
use super::machine::Membership;
use super::status::{MemberState, MemberStatus};
use super::table::{Member, MemberTable};
use crate::time::Timestamp;

/// How long a failed probe waits for an answer that shows that only the member is silent.
const CONFIRMATION_TIMEOUT: Duration = Duration::from_secs(20);

impl Membership {
    /// Records that a message from a member arrived: the member is alive, but it may not be
    /// reachable, since the network may pass messages in this direction only.
    pub(super) fn record_contact(&mut self, sender: NodeKey) {
        self.detection
            .unconfirmed
            .retain(|failure| failure.target != sender);
    }

    /// Records that a member answered a probe, which shows that its zone can be reached.
    pub(super) fn record_member_answer(&mut self, now: Timestamp, sender: NodeKey) {
        let Some(zone) = self.table.zone_of_mut(sender) else {
            return;
        };
        zone.record_answer(now);
        self.suspect_confirmed(now, sender);
    }

    /// Suspects the targets of failed probes for which this answer shows that only the target is
    /// silent.
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

    /// Returns the bit length of the node count, which grows by one each time the cluster doubles.
    pub(super) fn cluster_doublings(&self) -> u32 {
        let nodes = self.table.len() + 1;
        usize::BITS - nodes.leading_zeros()
    }

    /// Returns how long a suspected node of the own zone has to refute, at this cluster size.
    fn suspicion_timeout(&self) -> Duration {
        self.config.suspicion_timeout
            + self.config.suspicion_timeout_per_doubling * self.cluster_doublings()
    }

    /// Starts the timeout within which a suspected member can refute.
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

    /// Declares suspected members dead after their timeout, unless their whole zone may have
    /// failed.
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

    /// Returns the factor by which refutations are slower than usual because many updates wait to
    /// be sent; the queue of this node serves as the estimate for others.
    fn refutation_delay_factor(&self) -> u32 {
        /// Short updates that are sent without delay: about as many as fit into one datagram.
        const UPDATES_PER_DATAGRAM: usize = 32;
        1 + (self.queue.short_update_count() / UPDATES_PER_DATAGRAM) as u32
    }

    /// Whether a member may be silent because its whole zone failed or is cut off.
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

/// Whether an answer from one member shows that the target of a failed probe is itself at fault.
///
/// The answer must come from the target's zone. If the target and this node are the only members
/// of their zone, an answer from any zone suffices: it shows that this node is not cut off.
fn confirms_failure(table: &MemberTable, answered: NodeKey, target: NodeKey) -> bool {
    let (Some(answered), Some(target)) = (table.find(answered), table.find(target)) else {
        return false;
    };
    let two_node_zone = target.zone == 0 && table.zone_of(target).members == 1;
    answered.zone == target.zone || two_node_zone
}
