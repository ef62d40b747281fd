//! How long one wait for a table's changes may last, and how old its news may get.

use std::time::Duration;

use spurpier_core::locality::{DELIVERY_MARGIN, MAX_STORE_LAG};

use crate::ports::Table;
use crate::settings::BoundSettings;

/// How much longer than its wait a call for changes may take until its answer begins to come.
pub const CHANGES_SLACK: Duration = Duration::from_millis(600);
/// The shortest wait: each call is paid for.
const MIN_WAIT: Duration = Duration::from_millis(600);
/// Within what a change of the nodes, a succession or a server must be known. Leases of ten seconds
/// begin with the news of the nodes, and must outlast a store that is away for five or six. A leap
/// in the news of the servers tells that the store was away, and must be seen before their entries
/// lapse, which takes three heartbeats.
const PROPAGATION_BOUND: Duration = Duration::from_millis(2_400);
/// How much older than one wait and its slack news may be before they count as stale.
const STALE_MARGIN: Duration = Duration::from_millis(100);
/// News that are so much younger than those before them than one wait explains tell that the store
/// was away.
const AWAY_MARGIN: Duration = Duration::from_millis(300);

/// The limits in time of following one table.
///
/// A connection whose answers are lost stays silent, so that a wait and its slack together bound how
/// late a change is taken in. A longer wait costs fewer calls.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct FollowTimeouts {
    /// How long one wait for changes lasts at most.
    pub wait: Duration,
    /// Within what a change must be known.
    propagation_bound: Duration,
}

impl FollowTimeouts {
    /// The limits of a table: a configuration is known within four fifths of the time within which
    /// it must be in force. Evacuations stand beside it: where a bound was agreed for them, they are
    /// known before the evacuated zone is closed, also if an answer is lost. A change that is told
    /// ends the wait at once, so that a longer one takes nothing from the replacement of primaries.
    /// Known within half of a bound of 5 s, all nodes made 3,249 calls to the store on a day with
    /// lost history; known within 3.5 s they made 2,639 (one play each, 87 nodes).
    pub fn of(table: Table, bounds: &BoundSettings) -> Self {
        let propagation_bound = match table {
            Table::Configuration => {
                let applied = Duration::from_millis(bounds.configuration_apply_ms) * 4 / 5;
                let evacuated = bounds.agreed_evacuation_bound();
                let closed =
                    evacuated.map(|bound| bound.saturating_sub(MAX_STORE_LAG + DELIVERY_MARGIN));
                closed.map_or(applied, |closed| applied.min(closed))
            }
            Table::Servers | Table::Cluster | Table::Duty => PROPAGATION_BOUND,
        };
        let wait = propagation_bound.saturating_sub(CHANGES_SLACK);
        FollowTimeouts {
            wait: wait.max(MIN_WAIT),
            propagation_bound,
        }
    }

    /// How much longer than its wait a call for another node's news may take, if that node shows
    /// that it runs: it tells much to a few nodes at a time, and others are to be asked while
    /// there is time.
    pub fn peer_response_timeout(self) -> Duration {
        self.propagation_bound / 2
    }

    /// The age from which on what another node tells is too old: as old as the store's own news get.
    pub fn max_age(self) -> Duration {
        self.wait + CHANGES_SLACK + STALE_MARGIN
    }

    /// News that are so much younger than those before tell that the store was away.
    pub fn outage_threshold(self) -> Duration {
        self.wait + AWAY_MARGIN
    }
}
