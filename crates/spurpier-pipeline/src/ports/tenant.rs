//! Tenants: who clients are, and how much each may ask for.

use std::fmt;

use nanoserde::{DeBin, SerBin};
use sha2::{Digest, Sha256};
use spurpier_core::locality::AllowedRegions;

/// Bytes of a key's digest: two keys of one deployment do not share one by chance or by search.
const DIGEST_BYTES: usize = 16;

/// The digest of a client's key, which stands for the key everywhere behind the dialect: a key
/// itself is in no message between nodes, log, metric or error.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, SerBin, DeBin)]
pub struct KeyDigest([u8; DIGEST_BYTES]);

impl KeyDigest {
    /// The digest of a key.
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

/// How many operations a tenant may start, over all nodes together.
#[derive(Debug, Clone, Copy, PartialEq, SerBin, DeBin)]
pub struct Quota {
    /// Operations a second.
    pub per_second: f64,
    /// Operations beyond the rate that may come at once.
    pub burst: f64,
}

/// A tenant: the holder of keys.
#[derive(Debug, Clone, PartialEq)]
pub struct Tenant {
    /// Its name, which servers are told.
    pub name: String,
    /// The digests of its keys.
    pub keys: Vec<KeyDigest>,
    /// How much it may ask for; none if that is not bounded.
    pub quota: Option<Quota>,
    /// Where its statements may run.
    pub allowed_regions: AllowedRegions,
}
