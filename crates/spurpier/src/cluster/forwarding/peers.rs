//! All other nodes that this node has forwarded to.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use spurpier_core::identity::NodeName;
use spurpier_protocol::frame::{ControlBytes, Frame};

use super::counters::ForwardingCounters;
use super::handshake::{HandshakeError, NodeLife};
use super::peer::Peer;
use super::timing::ForwardingTiming;
use crate::cluster::homes::HomeAddress;

/// All other nodes that this node has called; connections are made when they are needed.
#[derive(Debug)]
pub struct Peers {
    own: NodeLife,
    timing: ForwardingTiming,
    counters: Arc<ForwardingCounters>,
    peers: Mutex<HashMap<NodeName, Arc<Peer>>>,
}

impl Peers {
    /// No other nodes yet.
    pub fn new(own: NodeLife, timing: ForwardingTiming) -> Peers {
        Peers {
            own,
            timing,
            counters: Arc::default(),
            peers: Mutex::default(),
        }
    }

    /// The counters of forwarded work.
    pub fn counters(&self) -> &Arc<ForwardingCounters> {
        &self.counters
    }

    /// The node at this address; a node that has moved is a new one.
    pub(super) fn peer(&self, address: &HomeAddress) -> Arc<Peer> {
        let mut peers = self.peers.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(peer) = peers.get(&address.node)
            && peer.address() == address
        {
            return peer.clone();
        }
        let peer = Arc::new(Peer::new(
            address.clone(),
            self.own.clone(),
            self.timing,
            self.counters.clone(),
        ));
        peers.insert(address.node.clone(), peer.clone());
        peer
    }

    /// Forgets a node that has gone, so that the table does not grow with every replacement.
    pub fn forget(&self, node: &NodeName) {
        let mut peers = self.peers.lock().unwrap_or_else(PoisonError::into_inner);
        peers.remove(node);
    }

    /// Sends a control message over the connection to a node; it may be lost on the way.
    ///
    /// # Errors
    ///
    /// When no connection can be made within `patience`.
    pub async fn send_control(
        &self,
        address: &HomeAddress,
        message: Vec<u8>,
        patience: Duration,
    ) -> Result<(), HandshakeError> {
        let connection = self.peer(address).connection(patience).await?;
        let frame = Frame::Control(ControlBytes(message));
        let sent = connection.sender().send(frame).await;
        sent.map_err(|_| HandshakeError::Connection)
    }
}
