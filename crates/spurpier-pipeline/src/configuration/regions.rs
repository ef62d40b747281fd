//! Regions that a configuration names and no zone has.
//!
//! They are told of and not refused: what is bound to such a region runs nowhere there, which is
//! what the configuration says, and a configuration that the operator's store has taken must come
//! into force.

use std::collections::BTreeSet;
use std::fmt;

use spurpier_core::locality::AllowedRegions;

use crate::ports::Configuration;

/// What names a region.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReferencedBy {
    /// The route at this place in the list, from 0.
    Route(usize),
    /// The tenant at this place in the list, from 0.
    Tenant(usize),
}

/// A region that no zone has, and what names it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct UnknownRegion {
    /// What names it.
    pub referenced_by: ReferencedBy,
    /// Its name.
    pub region: String,
}

impl fmt::Display for UnknownRegion {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.referenced_by {
            ReferencedBy::Route(index) => write!(formatter, "routes[{index}]: ")?,
            ReferencedBy::Tenant(index) => write!(formatter, "tenants[{index}]: ")?,
        }
        write!(formatter, "no zone is in region {}", self.region)
    }
}

/// All regions that a configuration names and that are not among those of the zones, in the order
/// of the routes and then of the tenants.
pub fn unknown_regions(
    configuration: &Configuration,
    known: &BTreeSet<&str>,
) -> Vec<UnknownRegion> {
    let routes = configuration.routes.iter().enumerate();
    let routes = routes.map(|(index, route)| (ReferencedBy::Route(index), &route.allowed_regions));
    let tenants = configuration.tenants.iter().flatten().enumerate();
    let tenants =
        tenants.map(|(index, tenant)| (ReferencedBy::Tenant(index), &tenant.allowed_regions));
    let named = routes.chain(tenants);
    named
        .flat_map(|(referenced_by, allowed)| unknown_names(referenced_by, allowed, known))
        .collect()
}

fn unknown_names(
    referenced_by: ReferencedBy,
    allowed: &AllowedRegions,
    known: &BTreeSet<&str>,
) -> Vec<UnknownRegion> {
    let names = allowed.names().into_iter().flatten();
    let unknown = names.filter(|name| !known.contains(name.as_str()));
    let found = unknown.map(|name| UnknownRegion {
        referenced_by,
        region: name.clone(),
    });
    found.collect()
}
