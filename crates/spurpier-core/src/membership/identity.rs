//! Who a member is: its name, its place and its addresses.

use std::fmt;
use std::net::SocketAddr;

use nanoserde::{DeBin, DeBinErr, SerBin};
use xxhash_rust::xxh3::xxh3_64;

use crate::identity::{NodeName, RegionName, ZoneName};
use crate::wire::{decode_address, decode_text, encode_address, encode_text};

/// A short key of a node: the xxh3-64 of its name.
///
/// Messages and tables carry keys in place of names. Among 10,000 names the chance that any two
/// share a key is below one in 10^11; the node that joins later is then refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, SerBin, DeBin)]
pub struct NodeKey(pub u64);

impl NodeKey {
    /// The key of the node with this name.
    pub fn of(name: &NodeName) -> Self {
        NodeKey(xxh3_64(name.as_str().as_bytes()))
    }
}

impl fmt::Display for NodeKey {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{:016x}", self.0)
    }
}

/// Where a node is reached.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct MemberAddresses {
    /// Gossip datagrams (UDP).
    pub gossip: SocketAddr,
    /// Forwarded work and large control messages (TCP).
    pub internal: SocketAddr,
    /// PostgreSQL clients (TCP).
    pub postgres: SocketAddr,
}

/// What never changes while a node lives.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct MemberIdentity {
    /// The name, unique among living nodes.
    pub name: NodeName,
    /// The zone.
    pub zone: ZoneName,
    /// The region of the zone.
    pub region: RegionName,
    /// The addresses.
    pub addresses: MemberAddresses,
}

impl MemberIdentity {
    /// The node's key.
    pub fn key(&self) -> NodeKey {
        NodeKey::of(&self.name)
    }

    /// The bytes that this value holds in a real node: itself and its texts with their headers.
    pub fn memory_bytes(&self) -> usize {
        /// The reference counts in front of a shared value.
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
