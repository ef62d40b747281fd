//! The regions in which a unit of work may run.

use std::collections::BTreeSet;
use std::sync::Arc;

/// The regions in which a unit may run: all regions, or only some of them. The set is empty if a
/// route and a tenant have no region in common.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct AllowedRegions {
    /// The allowed regions; `None` if they are not restricted.
    only: Option<Arc<BTreeSet<String>>>,
}

impl AllowedRegions {
    /// All regions, including unknown ones.
    pub const ANYWHERE: AllowedRegions = AllowedRegions { only: None };

    /// Only these regions.
    pub fn only(regions: impl IntoIterator<Item = String>) -> Self {
        AllowedRegions {
            only: Some(Arc::new(regions.into_iter().collect())),
        }
    }

    /// The regions that both `self` and `other` allow.
    pub fn intersection(&self, other: &Self) -> Self {
        match (&self.only, &other.only) {
            (None, _) => other.clone(),
            (_, None) => self.clone(),
            (Some(one), Some(two)) => Self::only(one.intersection(two).cloned()),
        }
    }

    /// Whether the regions are not restricted.
    pub fn is_anywhere(&self) -> bool {
        self.only.is_none()
    }

    /// Whether no region is allowed.
    pub fn is_nowhere(&self) -> bool {
        self.only.as_ref().is_some_and(|only| only.is_empty())
    }

    /// Whether a region is allowed. An unknown region (`None`) is allowed only without a
    /// restriction.
    pub fn allows(&self, region: Option<&str>) -> bool {
        match &self.only {
            None => true,
            Some(only) => region.is_some_and(|region| only.contains(region)),
        }
    }

    /// The names of the allowed regions; `None` if they are not restricted.
    pub fn names(&self) -> Option<&BTreeSet<String>> {
        self.only.as_deref()
    }
}
