//! Merges updates about members into the view.

use std::sync::Arc;

use super::event::{Destination, MemberChange, MembershipAction};
use super::identity::{MemberIdentity, NodeKey};
use super::machine::Membership;
use super::message::{MemberUpdate, MembershipMessage};
use super::status::{MemberState, MemberStatus};
use crate::time::Timestamp;
use crate::wire::List;

/// The maximum number of identities requested in one message.
const MAX_IDENTITIES_PER_REQUEST: usize = 64;

impl Membership {
    /// Merges updates from a peer, and requests the identities that are missing from it.
    pub(super) fn merge(
        &mut self,
        now: Timestamp,
        sender: Option<NodeKey>,
        updates: &[MemberUpdate],
    ) {
        let mut unknown = Vec::new();
        for update in updates {
            let known = self.merge_update(now, update);
            if !known && unknown.len() < MAX_IDENTITIES_PER_REQUEST {
                unknown.push(update.key);
            }
        }
        if unknown.is_empty() {
            return;
        }
        let peer = sender.and_then(|key| self.table.find(key));
        if let Some(member) = peer {
            let to = Destination::datagram(&member.identity);
            self.send(to, MembershipMessage::IdentityRequest(List(unknown)));
        }
    }

    /// Merges one update; returns false if it reports a live member whose identity is unknown.
    fn merge_update(&mut self, now: Timestamp, update: &MemberUpdate) -> bool {
        if update.key == self.key {
            self.refute_if_newer(update.state);
            return true;
        }
        if let Some(identity) = &update.identity
            && identity.key() != update.key
        {
            return true;
        }
        if self.table.find(update.key).is_some() {
            self.apply_state(now, update.key, update.state, update.identity.as_ref());
            return true;
        }
        self.merge_unknown_member(now, update)
    }

    fn merge_unknown_member(&mut self, now: Timestamp, update: &MemberUpdate) -> bool {
        let departed = self.table.departed(update.key);
        if departed.is_some_and(|state| state >= update.state) {
            return true;
        }
        if update.state.status.is_gone() {
            let forget_at = now + self.config.departed_retention;
            self.table
                .remember_departed(update.key, update.state, forget_at);
            return true;
        }
        let Some(identity) = &update.identity else {
            return false;
        };
        let slot = self.table.insert(identity.clone(), update.state);
        self.add_to_rotation(slot);
        if update.state.status.is_suspect() {
            self.start_suspicion(now, update.key, update.state);
        }
        self.queue.push(update.clone());
        let change = MemberChange::Joined(identity.clone());
        self.actions.push(MembershipAction::MemberChanged(change));
        true
    }

    /// Replaces the state of a known member if the new state is greater.
    pub(super) fn apply_state(
        &mut self,
        now: Timestamp,
        key: NodeKey,
        state: MemberState,
        identity: Option<&Arc<MemberIdentity>>,
    ) {
        let Some(member) = self.table.find(key) else {
            return;
        };
        let before = member.state();
        if state <= before {
            return;
        }
        let known = member.identity.clone();
        let replaced = identity.filter(|identity| ***identity != *known);
        if state.status.is_gone() {
            self.remove_member(now, key, state);
        } else if let Some(identity) = replaced {
            self.remove_member(now, key, before.with_status(MemberStatus::Left));
            let slot = self.table.insert(identity.clone(), state);
            self.add_to_rotation(slot);
            let change = MemberChange::Joined(identity.clone());
            self.actions.push(MembershipAction::MemberChanged(change));
        } else {
            self.table.set_state(key, state);
            let change = MemberChange::StateChanged {
                identity: known,
                before,
                after: state,
            };
            self.actions.push(MembershipAction::MemberChanged(change));
        }
        if state.status.is_suspect() {
            self.start_suspicion(now, key, state);
        }
        let identity = replaced.cloned();
        self.queue.push(MemberUpdate {
            key,
            state,
            identity,
        });
    }

    fn remove_member(&mut self, now: Timestamp, key: NodeKey, state: MemberState) {
        let Some(member) = self.table.remove(key) else {
            return;
        };
        let forget_at = now + self.config.departed_retention;
        self.table.forget_departed(now);
        self.table.remember_departed(key, state, forget_at);
        let change = MemberChange::Gone {
            identity: member.identity,
            status: state.status,
        };
        self.actions.push(MembershipAction::MemberChanged(change));
    }

    /// Refutes a newer state reported about this node with a higher incarnation.
    fn refute_if_newer(&mut self, reported: MemberState) {
        let stopped = self.state.status == MemberStatus::Left;
        if stopped || reported <= self.state {
            return;
        }
        self.state.incarnation = reported.incarnation.saturating_add(1);
        // Nodes that removed this one no longer have its identity; nodes that suspect it do.
        let identity = reported.status.is_gone().then(|| self.identity.clone());
        self.disseminate_own_state(identity);
    }

    /// Returns the updates to piggyback on a message to this peer, with the one that it has to
    /// refute, if any.
    pub(super) fn updates_for(&mut self, peer: NodeKey) -> Vec<MemberUpdate> {
        let adverse = self.adverse_update_about(peer);
        let send_limit = self.config.retransmit_factor * self.cluster_doublings() as usize;
        let mut updates = self.queue.take(self.config.max_update_bytes, send_limit);
        if let Some(adverse) = adverse {
            updates.retain(|update| update.key != peer);
            updates.push(adverse);
        }
        updates
    }

    /// Returns the update that a peer has to refute: that this node suspects it or recorded its
    /// departure.
    fn adverse_update_about(&self, peer: NodeKey) -> Option<MemberUpdate> {
        let suspected = self
            .table
            .find(peer)
            .map(|member| member.state())
            .filter(|state| state.status.is_suspect());
        let state = suspected.or_else(|| self.table.departed(peer))?;
        Some(MemberUpdate {
            key: peer,
            state,
            identity: None,
        })
    }
}
