//! The identity of a member: its name, locality and addresses.

use std::fmt;
use std::net::SocketAddr;

use nanoserde::{DeBin, DeBinErr, SerBin};
use xxhash_rust::xxh3::xxh3_64;

use crate::identity::{NodeName, RegionName, ZoneName};
use crate::wire::{decode_address, decode_text, encode_address, encode_text};

/// A short key of a node: the xxh3-64 hash of its name.
///
/// Messages and tables carry keys in place of names. Among 10,000 names the chance that any two
/// share a key is below one in 10^11; two such nodes would be taken for incarnations of one.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, SerBin, DeBin)]
pub struct NodeKey(pub u64);

impl NodeKey {
    /// Returns the key of the node with this name.
    pub fn of(name: &NodeName) -> Self {
        NodeKey(xxh3_64(name.as_str().as_bytes()))
    }
}

impl fmt::Display for NodeKey {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{:016x}", self.0)
    }
}

/// The addresses at which a node is reached.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct MemberAddresses {
    /// Receives gossip datagrams (UDP).
    pub gossip: SocketAddr,
    /// Receives forwarded requests and large control messages (TCP).
    pub internal: SocketAddr,
    /// Accepts PostgreSQL clients (TCP).
    pub postgres: SocketAddr,
}

/// The properties of a node that stay the same for one incarnation.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct MemberIdentity {
    /// The node's name, unique among live nodes.
    pub name: NodeName,
    /// The zone in which the node runs.
    pub zone: ZoneName,
    /// The region that contains the zone.
    pub region: RegionName,
    /// The addresses at which other nodes and clients reach it.
    pub addresses: MemberAddresses,
}

impl MemberIdentity {
    /// Returns the key derived from the node's name.
    pub fn key(&self) -> NodeKey {
        NodeKey::of(&self.name)
    }

    /// Estimates the memory that this value takes behind an [`Arc`](std::sync::Arc), in bytes: the
    /// struct and its three shared strings, each with its reference counts.
    pub fn memory_bytes(&self) -> usize {
        /// The strong and the weak count in front of a shared value.
        const REFERENCE_COUNT_BYTES: usize = 2 * size_of::<usize>();
        let texts =
            self.name.as_str().len() + self.zone.as_str().len() + self.region.as_str().len();
        REFERENCE_COUNT_BYTES + size_of::<Self>() + 3 * REFERENCE_COUNT_BYTES + texts
    }
}

impl SerBin for MemberIdentity {
    fn ser_bin(&self, output: &mut Vec<u8>) {
        encode_text(self.name.as_str(), output);
        encode_text(self.zone.as_str(), output);
        encode_text(self.region.as_str(), output);
        encode_address(self.addresses.gossip, output);
        encode_address(self.addresses.internal, output);
        encode_address(self.addresses.postgres, output);
    }
}

impl DeBin for MemberIdentity {
    fn de_bin(offset: &mut usize, bytes: &[u8]) -> Result<Self, DeBinErr> {
        let name = NodeName::from(decode_text(offset, bytes)?);
        let zone = ZoneName::from(decode_text(offset, bytes)?);
        let region = RegionName::from(decode_text(offset, bytes)?);
        let addresses = MemberAddresses {
            gossip: decode_address(offset, bytes)?,
            internal: decode_address(offset, bytes)?,
            postgres: decode_address(offset, bytes)?,
        };
        Ok(MemberIdentity {
            name,
            zone,
            region,
            addresses,
        })
    }
}
