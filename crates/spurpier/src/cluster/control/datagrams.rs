//! Control messages over UDP.

use std::net::SocketAddr;
use std::sync::Arc;

use kameo::prelude::*;
use spurpier_core::control::{ControlEvent, GossipMessage};
use spurpier_protocol::gossip;
use tokio::net::UdpSocket;

use super::actor::{ControlActor, Happened};
use crate::events::cluster::GOSSIP_SOCKET_FAILED;
use crate::log_event;

/// The longest datagram that UDP can carry.
const RECEIVE_BYTES: usize = 65_536;

/// Sends a message; one that the system does not take now is lost, as on the network.
pub(super) fn send(socket: &UdpSocket, to: SocketAddr, message: &GossipMessage) {
    // The protocol repeats what is lost, and notices peers that answer nothing.
    let _ = socket.try_send_to(&gossip::encode(message), to);
}

/// Hands datagrams to the actor until it ends; what is no message is dropped.
pub(super) async fn receive(socket: Arc<UdpSocket>, actor: ActorRef<ControlActor>) {
    let mut buffer = vec![0; RECEIVE_BYTES];
    let mut has_failed = false;
    while actor.is_alive() {
        let (length, from) = match socket.recv_from(&mut buffer).await {
            Ok(received) => received,
            // A peer that has closed its socket, as the system reports it on some platforms.
            Err(error) => {
                if !has_failed {
                    has_failed = true;
                    log_event!(GOSSIP_SOCKET_FAILED, error = error);
                }
                tokio::task::yield_now().await;
                continue;
            }
        };
        let Ok(message) = gossip::decode(&buffer[..length]) else {
            continue;
        };
        let event = ControlEvent::Received {
            from: Some(from),
            message,
        };
        // A full mailbox drops datagrams, as a full socket does.
        let _ = actor.tell(Happened(event)).try_send();
    }
}
