//! The object store: bytes that never change once written.

use std::collections::HashMap;

use bytes::Bytes;

/// How a write of an object ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum PutOutcome {
    /// The object holds these bytes now, or did already.
    Stored,
    /// The object holds other bytes.
    HeldByOther,
}

/// All objects.
#[derive(Debug, Default)]
pub(super) struct Objects {
    objects: HashMap<String, Bytes>,
}

impl Objects {
    pub fn put(&mut self, name: String, bytes: Bytes) -> PutOutcome {
        let held = self.objects.entry(name).or_insert_with(|| bytes.clone());
        if *held == bytes {
            PutOutcome::Stored
        } else {
            PutOutcome::HeldByOther
        }
    }

    pub fn get(&self, name: &str) -> Option<Bytes> {
        self.objects.get(name).cloned()
    }
}
