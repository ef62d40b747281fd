//! What the membership machine takes in and gives out.

use std::net::SocketAddr;
use std::sync::Arc;

use super::identity::{MemberIdentity, NodeKey};
use super::message::MembershipMessage;
use super::status::{MemberState, MemberStatus};
use crate::identity::{NodeName, ZoneName};

/// A proxy machine in the platform's list.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ListedMachine {
    /// The node's name.
    pub name: NodeName,
    /// Its zone.
    pub zone: ZoneName,
    /// Its gossip address.
    pub gossip: SocketAddr,
}

/// What happens to the membership of a node.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum MembershipEvent {
    /// The time of [`super::Membership::next_deadline`] has come (or any other time).
    Tick,
    /// A message arrived.
    Received {
        /// The node that sent it, by its own word.
        sender: NodeKey,
        /// The gossip address that it came from; none when it came over a connection.
        from: Option<SocketAddr>,
        /// The message.
        message: MembershipMessage,
    },
    /// The platform's list of live proxies was read; it may be out of date.
    MachineList(Vec<ListedMachine>),
    /// This node will stop and takes no new work.
    Leave,
    /// This node stops now.
    Stop,
}

/// How a message travels.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Transport {
    /// One datagram to the gossip address; it may be lost.
    Datagram,
    /// The connection to the internal address, for messages too large for a datagram.
    Stream,
}

/// Where a message goes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Destination {
    /// The node; none when only its address is known.
    pub key: Option<NodeKey>,
    /// The gossip or the internal address, as the transport needs it.
    pub address: SocketAddr,
    /// How the message travels.
    pub transport: Transport,
}

impl Destination {
    /// The destination for a datagram to this member.
    pub fn datagram(identity: &MemberIdentity) -> Self {
        Destination {
            key: Some(identity.key()),
            address: identity.addresses.gossip,
            transport: Transport::Datagram,
        }
    }

    /// The destination for a large message to this member.
    pub fn stream(identity: &MemberIdentity) -> Self {
        Destination {
            key: Some(identity.key()),
            address: identity.addresses.internal,
            transport: Transport::Stream,
        }
    }
}

/// A change of the view.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum MemberChange {
    /// A member was added.
    Joined(Arc<MemberIdentity>),
    /// What is said of a member changed, and it has not gone.
    StateChanged {
        /// The member.
        identity: Arc<MemberIdentity>,
        /// What was said of it.
        before: MemberState,
        /// What is said of it now.
        after: MemberState,
    },
    /// A member was removed: dead, or stopped by its own word.
    Gone {
        /// The member.
        identity: Arc<MemberIdentity>,
        /// Why.
        status: MemberStatus,
    },
}

/// What the caller has to do.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum MembershipAction {
    /// Send a message.
    Send {
        /// Where to.
        to: Destination,
        /// The message.
        message: MembershipMessage,
    },
    /// The view has changed.
    MemberChanged(MemberChange),
    /// This node began to suspect a member after its own probes failed.
    SuspicionRaised(NodeKey),
}
