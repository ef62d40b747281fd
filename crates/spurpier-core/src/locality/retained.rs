//! Evacuated zones whose rows the store has lost.

use std::collections::BTreeSet;
use std::time::Duration;

use crate::store_version::StoreEra;
use crate::time::Timestamp;

/// Time for the operator to write lost evacuation rows again. Retained zones reopen after it.
pub const REWRITE_GRACE_PERIOD: Duration = Duration::from_secs(10);

/// Zones that stay evacuated although the store, restored from an older copy, has lost their rows.
///
/// The operator writes the rows again. Until then a lost row cannot be distinguished from one that
/// was deleted, and a zone that is used too early violates the operator's evacuation bound.
#[derive(Debug, Clone, Default)]
pub struct RetainedZones {
    /// The store era of the last reported rows; `None` before any.
    era: Option<StoreEra>,
    zones: BTreeSet<String>,
    until: Timestamp,
}

impl RetainedZones {
    /// The zones that count as evacuated when the store reports `reported` in an era; `known` are
    /// the zones that counted as evacuated before. When the era changes, all `known` zones are
    /// retained for [`REWRITE_GRACE_PERIOD`].
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
        // A zone that is reported again reopens like any other when its row is deleted.
        self.zones.retain(|zone| !reported.contains(zone));
        if now >= self.until {
            self.zones.clear();
        }
        reported.union(&self.zones).cloned().collect()
    }

    /// Until when zones are retained; `None` if none is.
    pub fn retained_until(&self) -> Option<Timestamp> {
        (!self.zones.is_empty()).then_some(self.until)
    }
}
