//! What a node tells of itself in the store.

use std::collections::BTreeSet;
use std::net::SocketAddr;

use nanoserde::{DeBin, DeBinErr, SerBin};
use spurpier_core::leader::RankedNode;
use spurpier_core::membership::NodeKey;
use spurpier_core::store_version::StoreVersion;
use spurpier_core::wire::{
    List, LongText, decode_address, decode_text, encode_address, encode_text,
};

use crate::settings::PipelineSettings;

/// The least weight that a node can have: every node can be a home.
const LEAST_WEIGHT: f64 = 0.01;

/// What a node tells of itself in the store.
#[derive(Debug, Clone, PartialEq)]
pub struct NodeEntry {
    /// Where other nodes reach it: datagrams and forwarded units.
    pub address: SocketAddr,
    /// Its zone.
    pub zone: String,
    /// How much it can do beside the others.
    pub weight: f64,
    /// How much its link takes, in megabits a second.
    pub link_mbps: f64,
    /// Whether it is about to end: it is given no work, but may still do what it has.
    pub leaving: bool,
    /// The groups whose primary it may use under a lease; a decision on a group's primary asks
    /// the nodes whose entries have the group here, and no others.
    pub leases: LeaseScope,
}

/// The groups whose primary a node may use under a lease.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct LeaseScope {
    /// Those that are named.
    pub groups: BTreeSet<String>,
    /// Whether all others are meant too, as for the holder of the promotion duty: naming them would
    /// take a row of 12 bytes a group, and the store takes rows of 64 KB at most.
    pub is_all: bool,
}

impl LeaseScope {
    /// Whether a group is meant.
    pub fn contains(&self, group: &str) -> bool {
        self.is_all || self.groups.contains(group)
    }

    /// Whether all groups of another scope are meant.
    pub fn covers(&self, other: &LeaseScope) -> bool {
        self.is_all || (!other.is_all && other.groups.is_subset(&self.groups))
    }
}

/// An entry as the store lists it.
#[derive(Debug, Clone, PartialEq)]
pub struct ListedNode {
    /// The entry.
    pub entry: NodeEntry,
    /// The version of its row.
    pub version: StoreVersion,
}

impl NodeEntry {
    /// What the node with these settings tells of itself.
    pub fn own(settings: &PipelineSettings) -> Self {
        NodeEntry {
            address: settings.listen.internal,
            zone: settings.node.zone.clone(),
            weight: settings.node.weight,
            link_mbps: settings.node.link_mbps,
            leaving: false,
            leases: LeaseScope::default(),
        }
    }

    /// The node as it is ranked under the digest of its name.
    pub fn ranked(&self, key: NodeKey) -> RankedNode {
        RankedNode {
            key,
            weight: self.weight.max(LEAST_WEIGHT),
        }
    }

    /// Whether two entries of a node differ at most in the groups whose primary it may use: ranks
    /// do not hang on these.
    pub fn is_ranked_as(&self, other: &NodeEntry) -> bool {
        self.address == other.address
            && self.zone == other.zone
            && self.weight.to_bits() == other.weight.to_bits()
            && self.link_mbps.to_bits() == other.link_mbps.to_bits()
            && self.leaving == other.leaving
    }
}

impl SerBin for NodeEntry {
    fn ser_bin(&self, output: &mut Vec<u8>) {
        encode_address(self.address, output);
        encode_text(&self.zone, output);
        self.weight.ser_bin(output);
        self.link_mbps.ser_bin(output);
        self.leaving.ser_bin(output);
        let groups = self.leases.groups.iter().cloned().map(LongText);
        List(groups.collect()).ser_bin(output);
        self.leases.is_all.ser_bin(output);
    }
}

impl DeBin for NodeEntry {
    fn de_bin(offset: &mut usize, bytes: &[u8]) -> Result<Self, DeBinErr> {
        Ok(NodeEntry {
            address: decode_address(offset, bytes)?,
            zone: decode_text(offset, bytes)?.to_owned(),
            weight: f64::de_bin(offset, bytes)?,
            link_mbps: f64::de_bin(offset, bytes)?,
            leaving: bool::de_bin(offset, bytes)?,
            leases: LeaseScope {
                groups: List::<LongText>::de_bin(offset, bytes)?
                    .0
                    .into_iter()
                    .map(|name| name.0)
                    .collect(),
                // Entries of nodes that always name all their groups end before.
                is_all: *offset < bytes.len() && bool::de_bin(offset, bytes)?,
            },
        })
    }
}
