//! Detection of regions that a configuration names but that contain no zone.
//!
//! Such regions are logged, not rejected: a route or tenant that is restricted to one runs nowhere
//! in it, as the configuration says, and a configuration that the operator's store has accepted
//! must take effect.

use std::collections::BTreeSet;
use std::fmt;

use spurpier_core::locality::AllowedRegions;

use crate::ports::Configuration;

/// The entry of a configuration that names a region.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReferencedBy {
    /// The route at this zero-based index.
    Route(usize),
    /// The tenant at this zero-based index.
    Tenant(usize),
}

/// A region without zones that a configuration names.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct UnknownRegion {
    /// The route or tenant that names the region.
    pub referenced_by: ReferencedBy,
    /// The name of the region.
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

/// Returns all regions that a configuration names and that are not in `known`: first those of the
/// routes, then those of the tenants, each in list order.
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
