//! What the home asks of the rest of the node.

use std::fmt;
use std::sync::Arc;

use spurpier_core::identity::DatabaseName;
use spurpier_core::policy::Placement;

use crate::settings::DatabaseSettings;

/// Gives the placement of a database under the policy in force; none before one is known.
pub type PlacementLookup = Arc<dyn Fn(&DatabaseName) -> Option<Placement> + Send + Sync>;

/// Tells whether this node is the home of first rank of a database.
pub type FirstHomeCheck = Arc<dyn Fn(&DatabaseName) -> bool + Send + Sync>;

/// Gives this node's share of a database's connections and slots.
pub type ConnectionShare = Arc<dyn Fn(&DatabaseSettings) -> NodeShare + Send + Sync>;

/// What one node may use of each server of a database.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct NodeShare {
    /// Connections to each server.
    pub connections: u32,
    /// Units that run on each server at the same time.
    pub slots: u32,
}

impl NodeShare {
    /// An equal share for each of `homes` nodes; every node has at least one.
    pub fn equal(settings: &DatabaseSettings, homes: u32) -> Self {
        let homes = homes.max(1);
        NodeShare {
            connections: (settings.connections / homes).max(1),
            slots: settings.slots.div_ceil(homes).max(1),
        }
    }
}

/// The seams between the home and the rest of the node.
#[derive(Clone)]
pub struct HomeSeams {
    /// Where a database's writes go.
    pub placement: PlacementLookup,
    /// Whether this node does a database's periodic work.
    pub is_first_home: FirstHomeCheck,
    /// What this node may use of a database's servers.
    pub connection_share: ConnectionShare,
}

impl Default for HomeSeams {
    /// A node that is alone: no policy, first home of every database, all of the connections.
    fn default() -> Self {
        HomeSeams {
            placement: Arc::new(|_| None),
            is_first_home: Arc::new(|_| true),
            connection_share: Arc::new(|settings| NodeShare::equal(settings, 1)),
        }
    }
}

impl fmt::Debug for HomeSeams {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("HomeSeams")
    }
}
