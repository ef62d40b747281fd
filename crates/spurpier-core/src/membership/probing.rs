//! Sends probes and handles their answers and timeouts.

use std::sync::Arc;

use rand::RngExt;
use rand::seq::SliceRandom;

use super::detection::{PendingProbe, Rotation, UnconfirmedFailure, has_members, probe_interval};
use super::event::Destination;
use super::identity::{MemberIdentity, NodeKey};
use super::machine::Membership;
use super::message::MembershipMessage;
use super::table::{MemberTable, Slot};
use super::zones::ZoneDistance;
use crate::time::Timestamp;
use crate::wire::List;

impl Membership {
    /// Adds a new member to the current round of probes, at a random position.
    pub(super) fn add_to_rotation(&mut self, slot: Slot) {
        let Some(member) = self.table.at(slot) else {
            return;
        };
        let distance = self.table.zone_of(member).distance;
        let rotation = &mut self.detection.rotations[distance.index()];
        rotation.slots.push(slot);
        let last = rotation.slots.len() - 1;
        let position = self.random.random_range(rotation.next.min(last)..=last);
        rotation.slots.swap(position, last);
    }

    /// Sends the probes that are due.
    pub(super) fn send_probes(&mut self, now: Timestamp) {
        for distance in ZoneDistance::ALL {
            let due = self.detection.next_probe[distance.index()] <= now;
            if !due || !has_members(&self.table, distance) {
                continue;
            }
            let wait = probe_interval(&self.config, distance);
            self.detection.next_probe[distance.index()] = now + self.jittered(wait);
            if let Some(target) = self.next_target(distance) {
                self.probe(now, &target, None);
            }
        }
    }

    /// Sends an indirect probe on behalf of another node.
    pub(super) fn probe_on_behalf(
        &mut self,
        now: Timestamp,
        requester: NodeKey,
        number: u32,
        target: NodeKey,
    ) {
        let Some(member) = self.table.find(target) else {
            return;
        };
        let identity = member.identity.clone();
        self.probe(now, &identity, Some((requester, number)));
    }

    /// Records that a member answered the probe with this sequence number.
    pub(super) fn record_probe_answer(&mut self, now: Timestamp, sender: NodeKey, number: u32) {
        let found = self
            .detection
            .pending
            .iter()
            .position(|probe| probe.number == number && probe.target == sender);
        if let Some(index) = found {
            let probe = self.detection.pending.swap_remove(index);
            self.detection.record_success();
            self.report_to_requester(&probe);
            self.record_member_answer(now, sender);
        }
    }

    /// Records that another node received an answer from the target of this node's probe.
    pub(super) fn record_indirect_answer(&mut self, number: u32, target: NodeKey) {
        self.detection
            .pending
            .retain(|probe| probe.number != number || probe.target != target);
    }

    /// Requests indirect probes where the answer is late, and fails probes that timed out.
    pub(super) fn expire_probes(&mut self, now: Timestamp) {
        let direct = self
            .detection
            .scaled_timeout(self.config.direct_probe_timeout);
        let total = self.detection.scaled_timeout(self.config.probe_timeout);
        let mut pending = std::mem::take(&mut self.detection.pending);
        let mut late = Vec::new();
        let mut failed = Vec::new();
        pending.retain_mut(|probe| {
            let waited = now.since(probe.sent_at);
            if waited >= total {
                failed.push(probe.clone());
                return false;
            }
            if waited >= direct && !probe.indirect_sent && probe.requested_by.is_none() {
                probe.indirect_sent = true;
                late.push((probe.number, probe.target));
            }
            true
        });
        self.detection.pending = pending;
        for (number, target) in late {
            self.request_indirect_probes(number, target);
        }
        for probe in failed {
            self.record_probe_failure(&probe);
        }
    }

    fn record_probe_failure(&mut self, probe: &PendingProbe) {
        if probe.requested_by.is_some() {
            return;
        }
        self.detection.record_failure();
        let Some(zone) = self.table.zone_of_mut(probe.target) else {
            return;
        };
        zone.record_failure();
        let is_watched =
            zone.distance == ZoneDistance::OwnZone || zone.members < self.config.small_zone_size;
        if is_watched {
            self.detection.unconfirmed.push(UnconfirmedFailure {
                target: probe.target,
                sent_at: probe.sent_at,
            });
        }
    }

    /// Asks some nodes of the target's zone, and one of another zone, to probe the target.
    fn request_indirect_probes(&mut self, number: u32, target: NodeKey) {
        let Some(zone) = self.table.find(target).map(|member| member.zone) else {
            return;
        };
        let same_zone_count = self.config.indirect_probe_count.saturating_sub(1);
        let mut helpers = Vec::new();
        self.pick_members(same_zone_count, &mut helpers, |_, member| {
            member.zone == zone && member.key != target
        });
        self.pick_members(1, &mut helpers, |table, member| {
            member.zone != zone && table.is_usable(member)
        });
        for helper in helpers {
            let message = MembershipMessage::IndirectProbe { number, target };
            self.send(Destination::datagram(&helper), message);
        }
    }

    fn report_to_requester(&mut self, probe: &PendingProbe) {
        let Some((requester, number)) = probe.requested_by else {
            return;
        };
        let Some(member) = self.table.find(requester) else {
            return;
        };
        let to = Destination::datagram(&member.identity);
        let target = probe.target;
        self.send(to, MembershipMessage::IndirectAck { number, target });
    }

    fn probe(
        &mut self,
        now: Timestamp,
        target: &Arc<MemberIdentity>,
        requested_by: Option<(NodeKey, u32)>,
    ) {
        self.detection.last_probe_number = self.detection.last_probe_number.wrapping_add(1);
        let number = self.detection.last_probe_number;
        let key = target.key();
        self.detection.pending.push(PendingProbe {
            number,
            target: key,
            sent_at: now,
            indirect_sent: false,
            requested_by,
        });
        let message = MembershipMessage::Probe {
            number,
            view_digest: self.view_digest(),
            updates: List(self.updates_for(key)),
        };
        self.send(Destination::datagram(target), message);
    }

    /// Returns the next member to probe at this distance; each round has a new random order.
    fn next_target(&mut self, distance: ZoneDistance) -> Option<Arc<MemberIdentity>> {
        let mut rotation = std::mem::take(&mut self.detection.rotations[distance.index()]);
        let mut target = next_in_rotation(&mut rotation, &self.table, distance);
        if target.is_none() {
            self.refill(&mut rotation, distance);
            target = next_in_rotation(&mut rotation, &self.table, distance);
        }
        self.detection.rotations[distance.index()] = rotation;
        target
    }

    fn refill(&mut self, rotation: &mut Rotation, distance: ZoneDistance) {
        rotation.next = 0;
        rotation.slots.clear();
        let slots = 0..self.table.slot_count() as Slot;
        let table = &self.table;
        rotation
            .slots
            .extend(slots.filter(|slot| is_at_distance(table, *slot, distance)));
        rotation.slots.shuffle(&mut self.random);
    }
}

fn is_at_distance(table: &MemberTable, slot: Slot, distance: ZoneDistance) -> bool {
    table
        .at(slot)
        .is_some_and(|member| table.zone_of(member).distance == distance)
}

fn next_in_rotation(
    rotation: &mut Rotation,
    table: &MemberTable,
    distance: ZoneDistance,
) -> Option<Arc<MemberIdentity>> {
    while let Some(&slot) = rotation.slots.get(rotation.next) {
        rotation.next += 1;
        let Some(member) = table.at(slot) else {
            continue;
        };
        if table.zone_of(member).distance == distance {
            return Some(member.identity.clone());
        }
    }
    None
}
