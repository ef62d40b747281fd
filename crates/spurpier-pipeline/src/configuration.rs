//! The configuration in force on this node; it only ever moves to a newer version.

use std::collections::HashMap;
use std::sync::Arc;

use spurpier_events::log_event;

use crate::context::Context;
use crate::events;
use crate::ports::{Configuration, Route};

/// A configuration, indexed.
#[derive(Debug)]
pub struct InForce {
    /// The configuration.
    pub configuration: Configuration,
    routes: HashMap<String, Arc<Route>>,
    connections: HashMap<String, usize>,
}

impl InForce {
    /// Indexes a configuration; of two routes for one database, the first one holds.
    pub fn new(configuration: Configuration) -> Self {
        let mut routes = HashMap::new();
        for route in &configuration.routes {
            let entry = routes.entry(route.database.clone());
            entry.or_insert_with(|| Arc::new(route.clone()));
        }
        let groups = configuration.groups.iter();
        let connections = groups.map(|group| (group.name.clone(), group.connections));
        InForce {
            connections: connections.collect(),
            routes,
            configuration,
        }
    }

    /// The route of a database.
    pub fn route(&self, database: &str) -> Option<Arc<Route>> {
        self.routes.get(database).map(Arc::clone)
    }

    /// The connections that each server of a group takes; none if the group is not known.
    pub fn connections(&self, group: &str) -> Option<usize> {
        self.connections.get(group).copied()
    }
}

/// Puts a configuration into force if it is newer than the one that is.
pub fn put_into_force(context: &Context, configuration: Configuration) {
    let version = configuration.version;
    for group in &configuration.groups {
        let replicas = group.synchronous_replicas;
        context
            .group(&group.name)
            .set_synchronous_replicas(replicas);
    }
    let newer = Arc::new(InForce::new(configuration));
    let changed = context.configuration.send_if_modified(|current| {
        let known = current.as_ref().map(|known| known.configuration.version);
        if known.is_some_and(|known| known >= version) {
            return false;
        }
        *current = Some(newer);
        true
    });
    if changed {
        log_event!(events::CONFIGURATION_IN_FORCE, version = version);
    }
}
