//! A bounded cache of policy decisions, shared between tasks.

use std::collections::HashMap;
use std::hash::{BuildHasher, RandomState};
use std::sync::{PoisonError, RwLock};

use super::{Decision, RequestAttributes};

const SHARDS: usize = 16;
const ENTRIES_PER_SHARD: usize = 256;

/// Requests whose user and class are longer than this together are not cached, so that the cache
/// is also bounded in bytes.
const MAX_KEY_TEXT_BYTES: usize = 256;

type Shard = RwLock<HashMap<RequestAttributes, Decision>>;

/// Caches decisions by request attributes.
///
/// A full shard is cleared instead of evicting in LRU order: decisions are cheap to evaluate
/// again, and clients that vary their class or user can neither grow the cache nor cause work for
/// tracking the order of use.
#[derive(Debug)]
pub(super) struct DecisionCache {
    hasher: RandomState,
    shards: Vec<Shard>,
}

impl DecisionCache {
    pub(super) fn new() -> Self {
        DecisionCache {
            hasher: RandomState::new(),
            shards: (0..SHARDS).map(|_| Shard::default()).collect(),
        }
    }

    fn shard(&self, attributes: &RequestAttributes) -> &Shard {
        let hash = self.hasher.hash_one(attributes);
        &self.shards[hash as usize % SHARDS]
    }

    pub(super) fn get(&self, attributes: &RequestAttributes) -> Option<Decision> {
        let shard = self.shard(attributes);
        let entries = shard.read().unwrap_or_else(PoisonError::into_inner);
        entries.get(attributes).cloned()
    }

    pub(super) fn insert(&self, attributes: RequestAttributes, decision: Decision) {
        if attributes.user.len() + attributes.class.len() > MAX_KEY_TEXT_BYTES {
            return;
        }
        let shard = self.shard(&attributes);
        let mut entries = shard.write().unwrap_or_else(PoisonError::into_inner);
        if entries.len() >= ENTRIES_PER_SHARD {
            entries.clear();
        }
        entries.insert(attributes, decision);
    }

    pub(super) fn len(&self) -> usize {
        let length = |shard: &Shard| shard.read().unwrap_or_else(PoisonError::into_inner).len();
        self.shards.iter().map(length).sum()
    }
}
