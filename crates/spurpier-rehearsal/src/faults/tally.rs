//! How often each kind of fault truly struck, and what the losses of primaries cost.

use std::collections::BTreeMap;
use std::sync::{Mutex, MutexGuard, PoisonError};

use super::kind::FaultKind;
use crate::report::FailoverSample;

/// What the faults of a run came to; shared by the tasks that strike.
#[derive(Debug, Default)]
pub struct FaultTally {
    counts: Mutex<Counts>,
}

#[derive(Debug, Default)]
struct Counts {
    struck: BTreeMap<FaultKind, u64>,
    samples: Vec<FailoverSample>,
    troubles: Vec<String>,
}

impl FaultTally {
    /// Counts a fault that struck.
    pub fn add(&self, kind: FaultKind) {
        *self.counts().struck.entry(kind).or_insert(0) += 1;
    }

    /// Adds what was measured after the loss of a primary.
    pub fn add_sample(&self, sample: FailoverSample) {
        self.counts().samples.push(sample);
    }

    /// Notes that a fault or a planned stop could not be carried out or healed.
    pub fn add_trouble(&self, trouble: String) {
        self.counts().troubles.push(trouble);
    }

    /// What could not be carried out or healed.
    pub fn troubles(&self) -> Vec<String> {
        self.counts().troubles.clone()
    }

    /// How often each kind struck, by its name; kinds that never struck are left out.
    pub fn by_name(&self) -> BTreeMap<String, u64> {
        let counts = self.counts();
        let named = counts.struck.iter();
        named
            .map(|(kind, count)| (kind.as_str().to_owned(), *count))
            .collect()
    }

    /// What was measured after each loss.
    pub fn samples(&self) -> Vec<FailoverSample> {
        self.counts().samples.clone()
    }

    fn counts(&self) -> MutexGuard<'_, Counts> {
        self.counts.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
