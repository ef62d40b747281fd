//! Evacuated zones whose rows the store has lost.

use std::collections::BTreeSet;
use std::time::Duration;

use crate::store_version::StoreEra;
use crate::time::Timestamp;

/// How long the operator may take to write again what the store has lost.
pub const REWRITE_GRACE_PERIOD: Duration = Duration::from_secs(10);

/// Zones that stay evacuated although the store, back from an older copy, does not tell so.
///
/// The operator writes their rows again. Until then nothing tells a row that is missing from one
/// that was taken away, and a zone that is used too early breaks the operator's bound.
#[derive(Debug, Clone, Default)]
pub struct RetainedZones {
    /// The era in which rows were last told; none before any.
    era: Option<StoreEra>,
    zones: BTreeSet<String>,
    until: Timestamp,
}

impl RetainedZones {
    /// The zones that count as evacuated when the store tells some in an era; `known` are those that
    /// counted so before.
    pub fn with_retained(
        &mut self,
        known: impl IntoIterator<Item = String>,
        reported: &BTreeSet<String>,
        era: StoreEra,
        now: Timestamp,
    ) -> BTreeSet<String> {
        let previous = self.era.replace(era);
        if previous.is_some_and(|previous| previous != era) {
            self.zones = known.into_iter().collect();
            self.until = now + REWRITE_GRACE_PERIOD;
        }
        // A zone that is told again is taken back as any other.
        self.zones.retain(|zone| !reported.contains(zone));
        if now >= self.until {
            self.zones.clear();
        }
        reported.union(&self.zones).cloned().collect()
    }

    /// Until when zones are held; none if none is.
    pub fn retained_until(&self) -> Option<Timestamp> {
        (!self.zones.is_empty()).then_some(self.until)
    }
}
