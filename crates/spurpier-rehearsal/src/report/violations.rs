//! Counts of violated guarantees.

use std::collections::BTreeMap;

use serde::Serialize;

use crate::oracle::{self, Guarantee};

/// How often each guarantee was violated; every guarantee has an entry.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
#[serde(transparent)]
pub struct ViolationCounts {
    counts: BTreeMap<&'static str, u64>,
}

impl ViolationCounts {
    /// No violation of any guarantee.
    pub fn none() -> Self {
        let counts = Guarantee::ALL
            .iter()
            .map(|guarantee| (guarantee.as_str(), 0))
            .collect();
        ViolationCounts { counts }
    }

    /// Adds what the oracle found in one history.
    pub fn add(&mut self, found: &oracle::Violations) {
        for guarantee in Guarantee::ALL {
            *self.counts.entry(guarantee.as_str()).or_insert(0) += found.count(guarantee);
        }
    }

    /// How often `guarantee` was violated.
    pub fn count(&self, guarantee: Guarantee) -> u64 {
        self.counts.get(guarantee.as_str()).copied().unwrap_or(0)
    }

    /// All violations together.
    pub fn total(&self) -> u64 {
        self.counts.values().sum()
    }

    /// The guarantees with their counts, in the order of their names.
    pub fn iter(&self) -> impl Iterator<Item = (&'static str, u64)> {
        self.counts.iter().map(|(name, count)| (*name, *count))
    }
}

impl Default for ViolationCounts {
    fn default() -> Self {
        ViolationCounts::none()
    }
}
