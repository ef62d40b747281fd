//! Messages between hollow nodes: encoded, counted, delayed or lost.

use std::time::Instant;

use spurpier_core::control::{ControlEvent, GossipMessage};
use spurpier_core::membership::{Destination, Transport};
use spurpier_protocol::gossip;

use super::cluster::Cluster;
use super::measurements::Role;
use super::network::{datagram_bytes, stream_bytes};
use super::node::MachineNumber;
use super::simulation::{Event, Simulation};

/// A message on its way.
#[derive(Debug)]
pub(super) struct Delivery {
    from: MachineNumber,
    to: MachineNumber,
    transport: Transport,
    wire_bytes: u64,
    message: GossipMessage,
}

impl Simulation {
    /// Hands an arrived message to its receiver.
    pub(super) fn deliver(&mut self, delivery: Delivery) {
        let measuring = self.measurements.measuring;
        let Some(sender) = self.cluster.node(delivery.from).map(|node| &node.identity) else {
            return;
        };
        let from = match delivery.transport {
            Transport::Datagram => Some(sender.addresses.gossip),
            Transport::Stream => None,
        };
        let Some(node) = self.cluster.node_mut(delivery.to) else {
            return;
        };
        if measuring {
            node.wire_bytes += delivery.wire_bytes;
        }
        let message = delivery.message;
        self.dispatch(delivery.to, ControlEvent::Received { from, message });
    }

    /// Encodes a message, counts it, and puts it on its way unless the network loses it.
    pub(super) fn send(&mut self, from: MachineNumber, to: Destination, message: GossipMessage) {
        let payload = self.encode_and_check(&message);
        let wire_bytes = match to.transport {
            Transport::Datagram => datagram_bytes(payload),
            Transport::Stream => stream_bytes(payload),
        };
        let measuring = self.measurements.measuring;
        let Some(sender) = self.cluster.node_mut(from) else {
            return;
        };
        if measuring {
            sender.wire_bytes += wire_bytes;
            self.measurements.messages += 1;
        }
        let from_zone = sender.zone;
        let target = Cluster::machine_at(to.address)
            .and_then(|number| Some((number, self.cluster.node(number)?.zone)));
        let Some((target, to_zone)) = target else {
            return;
        };
        let delay = match to.transport {
            Transport::Datagram => self.network.datagram_delay(from_zone, to_zone),
            Transport::Stream => self.network.stream_delay(from_zone, to_zone, wire_bytes),
        };
        let Some(delay) = delay else {
            return;
        };
        let delivery = Delivery {
            from,
            to: target,
            transport: to.transport,
            wire_bytes,
            message,
        };
        let arrival = self.now + delay;
        self.queue.push(arrival, Event::Deliver(Box::new(delivery)));
    }

    /// Encodes a message, decodes it again, and gives its size in bytes.
    fn encode_and_check(&mut self, message: &GossipMessage) -> usize {
        self.buffer.clear();
        let begin = Instant::now();
        gossip::encode_into(message, &mut self.buffer);
        let encoded = Instant::now();
        let decoded = gossip::decode(&self.buffer);
        let end = Instant::now();
        self.measurements
            .add_processor(Role::Encoding, encoded.duration_since(begin));
        self.measurements
            .add_processor(Role::Decoding, end.duration_since(encoded));
        if decoded.as_ref() != Ok(message) {
            self.measurements
                .violation(|| "a message changed between encoding and decoding".to_owned());
        }
        self.buffer.len()
    }
}
