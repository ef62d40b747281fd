//! The envelope of every control message between nodes.

use nanoserde::{DeBin, SerBin};

use crate::membership::{MembershipMessage, NodeKey};
use crate::spread::SpreadMessage;

/// A control message from one node to another.
#[derive(Debug, Clone, PartialEq, Eq, SerBin, DeBin)]
pub struct GossipMessage {
    /// The node that sends it.
    pub sender: NodeKey,
    /// The version of the document that is in force there.
    pub version: u64,
    /// What it says.
    pub body: GossipBody,
}

/// What a control message says.
#[derive(Debug, Clone, PartialEq, Eq, SerBin, DeBin)]
pub enum GossipBody {
    /// About members.
    Membership(MembershipMessage),
    /// About the document.
    Distribution(SpreadMessage),
}
