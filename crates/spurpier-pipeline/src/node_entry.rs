//! The entry that a node publishes about itself in the store.

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

/// Lower bound of a node's weight; above zero so that every node can become a home.
const MIN_WEIGHT: f64 = 0.01;

/// The entry that a node publishes about itself in the store.
#[derive(Debug, Clone, PartialEq)]
pub struct NodeEntry {
    /// Address at which other nodes reach it, for datagrams and forwarded units.
    pub address: SocketAddr,
    /// Its zone.
    pub zone: String,
    /// Capacity relative to other nodes.
    pub weight: f64,
    /// Bandwidth of its network link, in megabits per second.
    pub link_mbps: f64,
    /// Whether it is shutting down: it receives no new work, but may finish what it has.
    pub leaving: bool,
    /// The groups whose primary it may use under a leader lease. A promotion of a group asks only
    /// the nodes whose entries contain the group here.
    pub leases: LeaseScope,
}

/// The groups whose primary a node may use under a leader lease.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct LeaseScope {
    /// The groups listed by name.
    pub groups: BTreeSet<String>,
    /// Whether all other groups are included too, as for the holder of the promotion lease. Listing
    /// them would take 12 bytes per group, and the store limits rows to 64 KB.
    pub is_all: bool,
}

impl LeaseScope {
    /// Whether the scope includes a group.
    pub fn contains(&self, group: &str) -> bool {
        self.is_all || self.groups.contains(group)
    }

    /// Whether the scope includes all groups of another scope.
    pub fn covers(&self, other: &LeaseScope) -> bool {
        self.is_all || (!other.is_all && other.groups.is_subset(&self.groups))
    }
}

/// An entry as listed by the store.
#[derive(Debug, Clone, PartialEq)]
pub struct ListedNode {
    /// The entry.
    pub entry: NodeEntry,
    /// Version of the entry's row.
    pub version: StoreVersion,
}

impl NodeEntry {
    /// The entry of the node with these settings.
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

    /// The node's key, the digest of its name, and weight for ranking.
    pub fn ranked(&self, key: NodeKey) -> RankedNode {
        RankedNode {
            key,
            weight: self.weight.max(MIN_WEIGHT),
        }
    }

    /// Whether two entries of a node differ at most in the groups whose primary it may use, which
    /// do not affect its rank.
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
                // Absent in entries of nodes that always list all their groups.
                is_all: *offset < bytes.len() && bool::de_bin(offset, bytes)?,
            },
        })
    }
}
