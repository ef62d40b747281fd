//! Timeouts for following a table, and the maximum age of its updates.

use std::time::Duration;

use spurpier_core::locality::{DELIVERY_MARGIN, MAX_STORE_LAG};

use crate::ports::Table;
use crate::settings::BoundSettings;

/// Time beyond its wait that a call for changes may take until its answer starts to arrive.
pub const CHANGES_SLACK: Duration = Duration::from_millis(600);
/// Minimum wait for changes; every call to the store has a cost.
const MIN_WAIT: Duration = Duration::from_millis(600);
/// Time within which a change of the nodes, a succession or a server must be known.
///
/// Leases of ten seconds start with the updates of the nodes and must outlast a store outage of
/// five or six seconds. A gap in the updates of the servers shows a store outage, and must be
/// noticed before their entries expire, which takes three heartbeats.
const PROPAGATION_BOUND: Duration = Duration::from_millis(2_400);
/// Time beyond one wait and its slack after which updates count as stale.
const STALE_MARGIN: Duration = Duration::from_millis(100);
/// Time beyond one wait by which a gap between two updates shows that the store was unavailable.
const AWAY_MARGIN: Duration = Duration::from_millis(300);

/// Timeouts for following one table.
///
/// A connection that loses answers stays silent, so the wait and its slack together bound the delay
/// until a change is applied. A longer wait needs fewer calls.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct FollowTimeouts {
    /// Maximum duration of one wait for changes.
    pub wait: Duration,
    /// Time within which a change must be known.
    propagation_bound: Duration,
}

impl FollowTimeouts {
    /// Returns the timeouts of a table.
    ///
    /// A configuration is known within four fifths of the time within which it must be in effect.
    /// Evacuations are in the same table: where a bound was agreed for them, they are known before
    /// the evacuated zone is closed, even if an answer is lost. A reported change ends the wait at
    /// once, so a longer wait does not delay the replacement of primaries, and it saves calls: on a
    /// day with lost history, 87 nodes made 3,249 calls to the store if changes had to be known
    /// within 2.5 s (half of a bound of 5 s), and 2,639 within 3.5 s (one run each).
    pub fn of(table: Table, bounds: &BoundSettings) -> Self {
        let propagation_bound = match table {
            Table::Configuration => {
                let applied = Duration::from_millis(bounds.configuration_apply_ms) * 4 / 5;
                let evacuated = bounds.agreed_evacuation_bound();
                let closed =
                    evacuated.map(|bound| bound.saturating_sub(MAX_STORE_LAG + DELIVERY_MARGIN));
                closed.map_or(applied, |closed| applied.min(closed))
            }
            Table::Servers | Table::Cluster | Table::Duty | Table::ReplicaSets => PROPAGATION_BOUND,
        };
        let wait = propagation_bound.saturating_sub(CHANGES_SLACK);
        FollowTimeouts {
            wait: wait.max(MIN_WAIT),
            propagation_bound,
        }
    }

    /// Time beyond its wait that a call for another node's updates may take while that node shows
    /// progress. A node sends large updates to only a few nodes at a time, and enough time must
    /// remain to ask other nodes.
    pub fn peer_response_timeout(self) -> Duration {
        self.propagation_bound / 2
    }

    /// Age from which updates of another node are stale: the maximum age of the store's own
    /// updates.
    pub fn max_age(self) -> Duration {
        self.wait + CHANGES_SLACK + STALE_MARGIN
    }

    /// Gap between two updates above which the store must have been unavailable.
    pub fn outage_threshold(self) -> Duration {
        self.wait + AWAY_MARGIN
    }
}
