//! Addresses that replace the announced ones, as behind a relay.

use std::collections::HashMap;
use std::net::SocketAddr;

use spurpier_core::membership::{MemberIdentity, NodeKey};

use crate::settings::ReachSettings;

/// Addresses that replace the announced ones.
#[derive(Debug, Clone, Default)]
pub(super) struct Reach {
    overrides: HashMap<NodeKey, ReachSettings>,
}

impl Reach {
    pub fn new(settings: &[ReachSettings]) -> Self {
        let overrides = settings
            .iter()
            .map(|reach| (NodeKey::of(&reach.node), reach.clone()))
            .collect();
        Reach { overrides }
    }

    /// Where a node takes connections of other nodes.
    pub fn internal(&self, identity: &MemberIdentity) -> SocketAddr {
        self.overrides
            .get(&identity.key())
            .map_or(identity.addresses.internal, |reach| reach.internal)
    }

    /// Where a datagram to this node and announced address goes.
    pub fn gossip(&self, key: Option<NodeKey>, announced: SocketAddr) -> SocketAddr {
        key.and_then(|key| self.overrides.get(&key))
            .map_or(announced, |reach| reach.gossip)
    }
}
