//! The events and actions of the membership state machine.

use std::net::SocketAddr;
use std::sync::Arc;

use super::identity::{MemberIdentity, NodeKey};
use super::message::MembershipMessage;
use super::status::{MemberState, MemberStatus};
use crate::identity::{NodeName, ZoneName};

/// An entry of the platform's list of live proxies.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ListedMachine {
    /// The name of the node.
    pub name: NodeName,
    /// The zone in which it runs.
    pub zone: ZoneName,
    /// The address at which it receives gossip datagrams.
    pub gossip: SocketAddr,
}

/// An input of the membership state machine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum MembershipEvent {
    /// Time has passed; due at [`super::Membership::next_deadline`] at the latest, allowed earlier.
    Tick,
    /// A message arrived from another node.
    Received {
        /// The key of the sender as the message states it; not verified.
        sender: NodeKey,
        /// The address that the datagram came from; `None` if it came over a connection.
        from: Option<SocketAddr>,
        /// The decoded message.
        message: MembershipMessage,
    },
    /// The platform's list of live proxies was read; it may be out of date.
    MachineList(Vec<ListedMachine>),
    /// This node will stop and accepts no new work.
    Leave,
    /// This node stops now.
    Stop,
}

/// The transport of a message.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Transport {
    /// A single datagram to the gossip address; it may be lost.
    Datagram,
    /// The TCP connection to the internal address, for messages too large for a datagram.
    Stream,
}

/// The destination of a message.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Destination {
    /// The key of the receiver; `None` if only its address is known.
    pub key: Option<NodeKey>,
    /// The gossip address for a datagram, the internal address for a stream.
    pub address: SocketAddr,
    /// The transport to use.
    pub transport: Transport,
}

impl Destination {
    /// Returns the destination of a datagram to this member.
    pub fn datagram(identity: &MemberIdentity) -> Self {
        Destination {
            key: Some(identity.key()),
            address: identity.addresses.gossip,
            transport: Transport::Datagram,
        }
    }

    /// Returns the destination of a message over a connection to this member.
    pub fn stream(identity: &MemberIdentity) -> Self {
        Destination {
            key: Some(identity.key()),
            address: identity.addresses.internal,
            transport: Transport::Stream,
        }
    }
}

/// A change of this node's view of the cluster.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum MemberChange {
    /// A member was added to the view.
    Joined(Arc<MemberIdentity>),
    /// The state of a member changed, and the member stays in the view.
    StateChanged {
        /// The member whose state changed.
        identity: Arc<MemberIdentity>,
        /// Its previous state.
        before: MemberState,
        /// Its new state.
        after: MemberState,
    },
    /// A member was removed from the view because it died or stopped.
    Gone {
        /// The member that was removed.
        identity: Arc<MemberIdentity>,
        /// [`MemberStatus::Dead`] or [`MemberStatus::Left`].
        status: MemberStatus,
    },
}

/// An output of the membership state machine, to be carried out by the caller.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum MembershipAction {
    /// Send a message.
    Send {
        /// The receiver and the transport.
        to: Destination,
        /// The message to send.
        message: MembershipMessage,
    },
    /// Report a change of the view to other parts of the node.
    MemberChanged(MemberChange),
    /// Report that this node's own probes made it suspect a member. A suspicion that another node
    /// raised is reported as [`MembershipAction::MemberChanged`] only.
    SuspicionRaised(NodeKey),
}
