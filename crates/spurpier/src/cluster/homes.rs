//! Where the homes of databases are, as the forwarding side asks for them.

use std::net::SocketAddr;

use spurpier_core::identity::{DatabaseName, NodeName};

/// Where a home node is reached.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct HomeAddress {
    /// The node.
    pub node: NodeName,
    /// Its internal address.
    pub internal: SocketAddr,
}

/// A home of a database.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum HomePlace {
    /// This node.
    Local,
    /// Another node.
    Remote(HomeAddress),
}

/// Knows the homes of databases at any moment.
pub trait HomeDirectory: Send + Sync + 'static {
    /// The homes of a database, the one to be tried first first; empty when none is known.
    fn homes(&self, database: &DatabaseName) -> Vec<HomePlace>;
}
