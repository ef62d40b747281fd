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
const PROOF_WAIT: Duration = Duration::from_secs(20);

impl Membership {
    /// Notes that a member lives, though not that it can be reached: its path here may be one-way.
    pub(super) fn life_sign(&mut self, sender: NodeKey) {
        self.detection
            .unproven
            .retain(|failure| failure.target != sender);
    }

    /// Notes that a member answered a probe: its zone can be reached.
    pub(super) fn member_answered(&mut self, now: Timestamp, sender: NodeKey) {
        let Some(zone) = self.table.zone_of_mut(sender) else {
            return;
        };
        zone.answered(now);
        self.suspect_proven(now, sender);
    }

    /// Turns failed probes into suspicions where an answer shows that only the target is silent.
    fn suspect_proven(&mut self, now: Timestamp, answered: NodeKey) {
        if self.detection.unproven.is_empty() {
            return;
        }
        let mut proven = Vec::new();
        let table = &self.table;
        self.detection.unproven.retain(|failure| {
            let is_proven = is_proof(table, answered, failure.target);
            if is_proven {
                proven.push(failure.target);
            }
            !is_proven && now.since(failure.sent_at) < PROOF_WAIT
        });
        for target in proven {
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
    pub(super) fn doublings(&self) -> u32 {
        let nodes = self.table.len() + 1;
        usize::BITS - nodes.leading_zeros()
    }

    /// How long a suspected node of the own zone has to refute in a cluster of this size.
    fn suspicion_time(&self) -> Duration {
        self.config.suspicion_timeout
            + self.config.suspicion_timeout_per_doubling * self.doublings()
    }

    /// Starts the time in which a suspected member may refute.
    pub(super) fn start_suspicion(&mut self, now: Timestamp, key: NodeKey, state: MemberState) {
        let own_zone = self.table.find(key).is_some_and(|member| member.zone == 0);
        let factor = match own_zone {
            true => 1,
            false => self.config.other_zone_suspicion_factor,
        };
        let wait = self.detection.patient(self.suspicion_time() * factor);
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
        let pressure = self.statement_pressure();
        let suspicion_time = self.suspicion_time();
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
            let too_soon = suspected_for < suspicion_time * pressure;
            if too_soon || self.is_zone_in_doubt(member, suspected_for) {
                suspicion.deadline = now + suspicion_time;
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
    fn statement_pressure(&self) -> u32 {
        /// Short statements that travel without delay, about what one datagram holds.
        const WITHOUT_DELAY: usize = 32;
        1 + (self.queue.short_statements() / WITHOUT_DELAY) as u32
    }

    /// Whether the silence of a member may be that of its whole zone.
    fn is_zone_in_doubt(&self, member: &Member, suspected_for: Duration) -> bool {
        let zone = self.table.zone_of(member);
        let stormy = zone.is_stormy(
            self.config.mass_suspicion_percent,
            self.config.mass_suspicion_min_members,
        );
        let held_for_storm = stormy && suspected_for < self.config.mass_suspicion_max_hold;
        held_for_storm || !self.table.is_reachable(zone)
    }
}

/// Whether an answer from one member shows that the silence of another is its own.
///
/// The answer must come from the target's zone. Where this node's own zone has no third member,
/// an answer from any zone shows at least that this node itself is not cut off.
fn is_proof(table: &MemberTable, answered: NodeKey, target: NodeKey) -> bool {
    let (Some(answered), Some(target)) = (table.find(answered), table.find(target)) else {
        return false;
    };
    let pair_zone = target.zone == 0 && table.zone_of(target).members == 1;
    answered.zone == target.zone || pair_zone
}
