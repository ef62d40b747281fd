//! The messages of the membership protocol.

use std::sync::Arc;

use nanoserde::{DeBin, DeBinErr, SerBin};

use super::identity::{MemberIdentity, NodeKey};
use super::status::MemberState;
use crate::wire::List;

/// The state of one member, passed from node to node.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct MemberUpdate {
    /// The key of the member.
    pub key: NodeKey,
    /// The reported state.
    pub state: MemberState,
    /// The member's identity, for receivers that do not know it yet.
    pub identity: Option<Arc<MemberIdentity>>,
}

impl MemberUpdate {
    /// Returns the encoded size, in bytes.
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
    /// Asks the receiver for a [`MembershipMessage::Ack`].
    Probe {
        /// The sequence number of the probe at its sender.
        number: u32,
        /// The digest of the sender's view.
        view_digest: u64,
        /// Updates that the sender disseminates.
        updates: List<MemberUpdate>,
    },
    /// Answers a probe.
    Ack {
        /// The sequence number of the probe.
        number: u32,
        /// The digest of the sender's view.
        view_digest: u64,
        /// Updates that the sender disseminates.
        updates: List<MemberUpdate>,
    },
    /// Asks the receiver to probe another node on behalf of the sender.
    IndirectProbe {
        /// The sequence number of the sender's own probe to the target.
        number: u32,
        /// The node to probe.
        target: NodeKey,
    },
    /// Reports to the requester of an indirect probe that the target answered.
    IndirectAck {
        /// The sequence number from the indirect probe.
        number: u32,
        /// The node that answered.
        target: NodeKey,
    },
    /// Updates alone: sent by a node that has joined, refutes a report, leaves or stops, or as the
    /// answer to a [`MembershipMessage::IdentityRequest`].
    Updates(List<MemberUpdate>),
    /// Announces a new node and asks for the whole view.
    Join(MemberUpdate),
    /// The whole view, in answer to [`MembershipMessage::Join`].
    FullView(List<MemberUpdate>),
    /// Asks for the identities of these nodes, the receiver itself or members that it knows;
    /// answered with [`MembershipMessage::Updates`].
    IdentityRequest(List<NodeKey>),
    /// The sender's digest of each bucket of the view, in order; asks for the states in the
    /// buckets that differ.
    BucketDigests(List<u64>),
    /// The sender's states in some buckets of the view.
    BucketStates {
        /// The indexes of the buckets.
        buckets: List<u8>,
        /// All members in these buckets that the sender knows, departed ones included.
        states: List<MemberUpdate>,
        /// Whether the receiver is to reply with its own states in the same buckets.
        reply_requested: bool,
    },
}
