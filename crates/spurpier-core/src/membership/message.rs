//! The messages by which nodes keep their views of each other.

use std::sync::Arc;

use nanoserde::{DeBin, DeBinErr, SerBin};

use super::identity::{MemberIdentity, NodeKey};
use super::status::MemberState;
use crate::wire::List;

/// A statement about one member, passed from node to node.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct MemberUpdate {
    /// The member.
    pub key: NodeKey,
    /// What is said of it.
    pub state: MemberState,
    /// Who it is, for receivers that do not know it yet.
    pub identity: Option<Arc<MemberIdentity>>,
}

impl MemberUpdate {
    /// The encoded size, in bytes.
    pub fn encoded_bytes(&self) -> usize {
        self.serialize_bin().len()
    }
}

impl SerBin for MemberUpdate {
    fn ser_bin(&self, output: &mut Vec<u8>) {
        self.key.ser_bin(output);
        self.state.ser_bin(output);
        self.identity.is_some().ser_bin(output);
        if let Some(identity) = &self.identity {
            identity.ser_bin(output);
        }
    }
}

impl DeBin for MemberUpdate {
    fn de_bin(offset: &mut usize, bytes: &[u8]) -> Result<Self, DeBinErr> {
        let key = NodeKey::de_bin(offset, bytes)?;
        let state = MemberState::de_bin(offset, bytes)?;
        let has_identity = bool::de_bin(offset, bytes)?;
        let identity = match has_identity {
            true => Some(Arc::new(MemberIdentity::de_bin(offset, bytes)?)),
            false => None,
        };
        Ok(MemberUpdate {
            key,
            state,
            identity,
        })
    }
}

/// A message of the membership protocol.
#[derive(Debug, Clone, PartialEq, Eq, SerBin, DeBin)]
pub enum MembershipMessage {
    /// Asks for an [`MembershipMessage::Ack`].
    Probe {
        /// The number of the probe at its sender.
        number: u32,
        /// The digest of the sender's view.
        view_digest: u64,
        /// Statements passed on.
        updates: List<MemberUpdate>,
    },
    /// Answers a probe.
    Ack {
        /// The number of the probe.
        number: u32,
        /// The digest of the sender's view.
        view_digest: u64,
        /// Statements passed on.
        updates: List<MemberUpdate>,
    },
    /// Asks the receiver to probe another node.
    IndirectProbe {
        /// The number of the asker's own probe.
        number: u32,
        /// The node to be probed.
        target: NodeKey,
    },
    /// Tells the asker that the target answered the receiver's probe.
    IndirectAck {
        /// The number in the indirect probe.
        number: u32,
        /// The node that answered.
        target: NodeKey,
    },
    /// Statements alone: a joining, refuting or stopping node, or an answer to a request.
    Updates(List<MemberUpdate>),
    /// A new node announces itself and asks for the whole view.
    Join(MemberUpdate),
    /// The whole view, as answer to a join.
    FullView(List<MemberUpdate>),
    /// Asks for the identities of these nodes; a node asked for its own key announces itself.
    IdentityRequest(List<NodeKey>),
    /// The sender's digest of each part of the view; asks for the parts that differ.
    BucketDigests(List<u64>),
    /// The sender's states in some parts of the view.
    BucketStates {
        /// The parts.
        buckets: List<u8>,
        /// All members that the sender knows in them.
        states: List<MemberUpdate>,
        /// Whether the receiver is asked for its own states of the same parts.
        reply_requested: bool,
    },
}
