//! Tenants: the identity of clients and their quotas.

use std::fmt;

use nanoserde::{DeBin, SerBin};
use sha2::{Digest, Sha256};
use spurpier_core::locality::AllowedRegions;

/// Length of a key's digest in bytes, enough that two keys of one deployment do not collide by
/// chance or by a deliberate search.
const DIGEST_BYTES: usize = 16;

/// The digest of a client's API key. It replaces the key everywhere behind the dialect, so the key
/// never appears in messages between nodes, logs, metrics or errors.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, SerBin, DeBin)]
pub struct KeyDigest([u8; DIGEST_BYTES]);

impl KeyDigest {
    /// Computes the digest of a key.
    pub fn of(key: &str) -> Self {
        let whole = Sha256::digest(key.as_bytes());
        let mut digest = [0; DIGEST_BYTES];
        digest.copy_from_slice(&whole[..DIGEST_BYTES]);
        KeyDigest(digest)
    }
}

impl fmt::Debug for KeyDigest {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("KeyDigest(..)")
    }
}

/// The rate at which a tenant may start operations, across all nodes.
#[derive(Debug, Clone, Copy, PartialEq, SerBin, DeBin)]
pub struct Quota {
    /// Operations per second.
    pub per_second: f64,
    /// Number of operations beyond the rate that may start at once.
    pub burst: f64,
}

/// A tenant, identified by the API keys that it holds.
#[derive(Debug, Clone, PartialEq)]
pub struct Tenant {
    /// Its name, which is sent to servers.
    pub name: String,
    /// The digests of its keys.
    pub keys: Vec<KeyDigest>,
    /// Its quota; `None` if unlimited.
    pub quota: Option<Quota>,
    /// The regions in which its statements may run.
    pub allowed_regions: AllowedRegions,
}
