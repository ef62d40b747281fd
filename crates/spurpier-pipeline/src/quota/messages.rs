//! The messages by which nodes request and grant operation permits.

use std::time::Duration;

use nanoserde::{DeBin, SerBin};
use spurpier_core::quota::{AuthorityTimestamp, Grant, PermitDemand, QuotaRate};
use spurpier_core::time::Timestamp;
use spurpier_core::wire::{List, Text};

use super::Scope;
use crate::forward::{duration, millis};

/// A node's permit request to an authority. It also counts as the node's vote for that authority.
#[derive(Debug, Clone, PartialEq, SerBin, DeBin)]
pub struct PermitRequest {
    /// The scope whose operations the authority counts.
    pub scope: Scope,
    /// The name of the requesting node.
    pub voter: Text,
    sent_after: Option<EncodedTimestamp>,
    demands: List<EncodedDemand>,
}

/// [`AuthorityTimestamp`] as encoded in a message.
#[derive(Debug, Clone, Copy, PartialEq, SerBin, DeBin)]
struct EncodedTimestamp {
    incarnation: u64,
    at_micros: u64,
}

impl From<AuthorityTimestamp> for EncodedTimestamp {
    fn from(stamp: AuthorityTimestamp) -> Self {
        EncodedTimestamp {
            incarnation: stamp.incarnation,
            at_micros: stamp.at.as_micros(),
        }
    }
}

impl From<EncodedTimestamp> for AuthorityTimestamp {
    fn from(stamp: EncodedTimestamp) -> Self {
        AuthorityTimestamp {
            incarnation: stamp.incarnation,
            at: Timestamp::from_micros(stamp.at_micros),
        }
    }
}

#[derive(Debug, Clone, PartialEq, SerBin, DeBin)]
struct EncodedDemand {
    tenant: Text,
    waiting: u32,
    per_second: f64,
    burst: f64,
    version: u64,
}

impl PermitRequest {
    /// Creates a request for these tenants. Without tenants it is only a vote.
    pub fn new<'a>(
        scope: Scope,
        voter: &str,
        sent_after: Option<AuthorityTimestamp>,
        demands: impl Iterator<Item = (&'a str, PermitDemand)>,
    ) -> Self {
        let demands = demands.map(|(tenant, demand)| EncodedDemand {
            tenant: Text::from(tenant),
            waiting: demand.waiting,
            per_second: demand.rate.per_second,
            burst: demand.rate.burst,
            version: demand.version,
        });
        PermitRequest {
            scope,
            voter: Text::from(voter),
            sent_after: sent_after.map(EncodedTimestamp::from),
            demands: List(demands.collect()),
        }
    }

    /// A time on the authority's clock after which the request was sent.
    pub fn sent_after(&self) -> Option<AuthorityTimestamp> {
        self.sent_after.map(AuthorityTimestamp::from)
    }

    /// The permit demand of each tenant.
    pub fn into_demands(self) -> impl Iterator<Item = (String, PermitDemand)> {
        self.demands.0.into_iter().map(|demand| {
            let rate = QuotaRate {
                per_second: demand.per_second,
                burst: demand.burst,
            };
            let wanted = PermitDemand {
                waiting: demand.waiting,
                rate,
                version: demand.version,
            };
            (demand.tenant.0, wanted)
        })
    }
}

/// An authority's response: one grant per tenant of the request, in the same order.
#[derive(Debug, Clone, PartialEq, SerBin, DeBin)]
pub struct PermitResponse {
    /// Whether the authority has the votes of a majority of the nodes.
    pub has_majority: bool,
    stamp: EncodedTimestamp,
    grants: List<EncodedGrant>,
}

#[derive(Debug, Clone, PartialEq, SerBin, DeBin)]
struct EncodedGrant {
    permits: u32,
    retry_after_ms: u32,
}

impl PermitResponse {
    /// Creates a response with these grants.
    pub fn new(has_majority: bool, stamp: AuthorityTimestamp, grants: &[Grant]) -> Self {
        let grants = grants.iter().map(|grant| EncodedGrant {
            permits: grant.permits,
            retry_after_ms: millis(grant.retry_after),
        });
        PermitResponse {
            has_majority,
            stamp: EncodedTimestamp::from(stamp),
            grants: List(grants.collect()),
        }
    }

    /// The time on the authority's clock at which it responded.
    pub fn stamp(&self) -> AuthorityTimestamp {
        AuthorityTimestamp::from(self.stamp)
    }

    /// The grants, in the order of the requested tenants.
    pub fn grants(&self) -> impl Iterator<Item = Grant> {
        self.grants.0.iter().map(|grant| {
            let retry_after: Duration = duration(grant.retry_after_ms);
            Grant {
                permits: grant.permits,
                retry_after,
            }
        })
    }
}
