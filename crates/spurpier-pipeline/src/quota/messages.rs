//! What nodes say to each other about leaves.

use std::time::Duration;

use nanoserde::{DeBin, SerBin};
use spurpier_core::quota::{AuthorityTimestamp, Grant, PermitDemand, QuotaRate};
use spurpier_core::time::Timestamp;
use spurpier_core::wire::List;

use super::Scope;
use crate::forward::{duration, millis};

/// A node's question to an authority, which is its vote as well.
#[derive(Debug, Clone, PartialEq, SerBin, DeBin)]
pub struct LeaveQuestion {
    /// For whom the authority counts.
    pub scope: Scope,
    /// The name of the node that asks.
    pub voter: String,
    sent_after: Option<CalledStamp>,
    wants: List<CalledWant>,
}

/// [`AuthorityTimestamp`] as a message carries it.
#[derive(Debug, Clone, Copy, PartialEq, SerBin, DeBin)]
struct CalledStamp {
    life: u64,
    at_micros: u64,
}

impl From<AuthorityTimestamp> for CalledStamp {
    fn from(stamp: AuthorityTimestamp) -> Self {
        CalledStamp {
            life: stamp.incarnation,
            at_micros: stamp.at.as_micros(),
        }
    }
}

impl From<CalledStamp> for AuthorityTimestamp {
    fn from(stamp: CalledStamp) -> Self {
        AuthorityTimestamp {
            incarnation: stamp.life,
            at: Timestamp::from_micros(stamp.at_micros),
        }
    }
}

#[derive(Debug, Clone, PartialEq, SerBin, DeBin)]
struct CalledWant {
    tenant: String,
    waiting: u32,
    per_second: f64,
    burst: f64,
    version: u64,
}

impl LeaveQuestion {
    /// A question for these tenants; without any it is a vote alone.
    pub fn new<'a>(
        scope: Scope,
        voter: &str,
        sent_after: Option<AuthorityTimestamp>,
        wants: impl Iterator<Item = (&'a str, PermitDemand)>,
    ) -> Self {
        let wants = wants.map(|(tenant, want)| CalledWant {
            tenant: tenant.to_owned(),
            waiting: want.waiting,
            per_second: want.rate.per_second,
            burst: want.rate.burst,
            version: want.version,
        });
        LeaveQuestion {
            scope,
            voter: voter.to_owned(),
            sent_after: sent_after.map(CalledStamp::from),
            wants: List(wants.collect()),
        }
    }

    /// A moment of the authority's clock after which it was sent.
    pub fn sent_after(&self) -> Option<AuthorityTimestamp> {
        self.sent_after.map(AuthorityTimestamp::from)
    }

    /// What is asked for each tenant.
    pub fn into_wants(self) -> impl Iterator<Item = (String, PermitDemand)> {
        self.wants.0.into_iter().map(|want| {
            let rate = QuotaRate {
                per_second: want.per_second,
                burst: want.burst,
            };
            let wanted = PermitDemand {
                waiting: want.waiting,
                rate,
                version: want.version,
            };
            (want.tenant, wanted)
        })
    }
}

/// An authority's answer: a grant for each tenant of the question, in its order.
#[derive(Debug, Clone, PartialEq, SerBin, DeBin)]
pub struct LeaveAnswer {
    /// Whether it has the votes of most nodes.
    pub has_majority: bool,
    stamp: CalledStamp,
    grants: List<CalledGrant>,
}

#[derive(Debug, Clone, PartialEq, SerBin, DeBin)]
struct CalledGrant {
    leaves: u32,
    pause_ms: u32,
}

impl LeaveAnswer {
    /// An answer with these grants.
    pub fn new(has_majority: bool, stamp: AuthorityTimestamp, grants: &[Grant]) -> Self {
        let grants = grants.iter().map(|grant| CalledGrant {
            leaves: grant.permits,
            pause_ms: millis(grant.retry_after),
        });
        LeaveAnswer {
            has_majority,
            stamp: CalledStamp::from(stamp),
            grants: List(grants.collect()),
        }
    }

    /// The moment of the authority's clock at which it answered.
    pub fn stamp(&self) -> AuthorityTimestamp {
        AuthorityTimestamp::from(self.stamp)
    }

    /// The grants.
    pub fn grants(&self) -> impl Iterator<Item = Grant> {
        self.grants.0.iter().map(|grant| {
            let retry_after: Duration = duration(grant.pause_ms);
            Grant {
                permits: grant.leaves,
                retry_after,
            }
        })
    }
}
