//! The envelope of control messages between nodes.

use nanoserde::{DeBin, SerBin};

use crate::distribution::DistributionMessage;
use crate::membership::{MembershipMessage, NodeKey};

/// A control message from one node to another.
#[derive(Debug, Clone, PartialEq, Eq, SerBin, DeBin)]
pub struct GossipMessage {
    /// The key of the sending node.
    pub sender: NodeKey,
    /// The version of the document that is in force on the sender.
    pub version: u64,
    /// The message itself.
    pub body: GossipBody,
}

/// The body of a control message.
#[derive(Debug, Clone, PartialEq, Eq, SerBin, DeBin)]
pub enum GossipBody {
    /// A message of the membership protocol.
    Membership(MembershipMessage),
    /// A message of the protocol that distributes the document.
    Distribution(DistributionMessage),
}
