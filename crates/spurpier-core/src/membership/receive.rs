//! Dispatches received messages.

use std::net::SocketAddr;

use super::event::{Destination, Transport};
use super::identity::NodeKey;
use super::machine::Membership;
use super::message::MembershipMessage;
use super::status::MemberStatus;
use crate::time::Timestamp;
use crate::wire::List;

impl Membership {
    /// Handles a message from another node; ignored once this node has stopped.
    pub(super) fn handle_message(
        &mut self,
        now: Timestamp,
        sender: NodeKey,
        from: Option<SocketAddr>,
        message: MembershipMessage,
    ) {
        if self.state.status == MemberStatus::Left || sender == self.key {
            return;
        }
        self.record_contact(sender);
        match message {
            MembershipMessage::Probe {
                number,
                view_digest,
                updates,
            } => {
                self.merge(now, Some(sender), &updates.0);
                self.answer_probe(sender, from, number);
                self.compare_views(now, sender, view_digest);
            }
            MembershipMessage::Ack {
                number,
                view_digest,
                updates,
            } => {
                self.record_probe_answer(now, sender, number);
                self.merge(now, Some(sender), &updates.0);
                self.compare_views(now, sender, view_digest);
            }
            MembershipMessage::IndirectProbe { number, target } => {
                self.probe_on_behalf(now, sender, number, target);
            }
            MembershipMessage::IndirectAck { number, target } => {
                self.record_indirect_answer(number, target);
            }
            MembershipMessage::Updates(updates) => self.merge(now, Some(sender), &updates.0),
            MembershipMessage::Join(update) => self.admit(now, update),
            MembershipMessage::FullView(updates) => self.handle_full_view(now, &updates.0),
            MembershipMessage::IdentityRequest(keys) => self.send_identities(sender, from, &keys.0),
            MembershipMessage::BucketDigests(digests) => {
                self.send_differing_buckets(sender, &digests.0)
            }
            MembershipMessage::BucketStates {
                buckets,
                states,
                reply_requested,
            } => self.handle_bucket_states(now, sender, &buckets.0, &states.0, reply_requested),
        }
    }

    fn answer_probe(&mut self, sender: NodeKey, from: Option<SocketAddr>, number: u32) {
        let updates = self.updates_for(sender);
        let message = MembershipMessage::Ack {
            number,
            view_digest: self.view_digest(),
            updates: List(updates),
        };
        let known = self.table.find(sender).map(|member| &member.identity);
        let to = known.map(|identity| Destination::datagram(identity));
        if let Some(to) = to {
            self.send(to, message);
            return;
        }
        let Some(address) = from else {
            return;
        };
        let to = Destination {
            key: Some(sender),
            address,
            transport: Transport::Datagram,
        };
        self.send(to, message);
        let request = MembershipMessage::IdentityRequest(List(vec![sender]));
        self.send(to, request);
    }
}
