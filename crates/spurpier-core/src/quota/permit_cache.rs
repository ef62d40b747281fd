//! The permits and refusals that a node knows for its own clients.

use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use super::authority::Grant;
use super::budget::PERMIT_TTL;
use crate::time::Timestamp;

/// Permission to start one operation.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Permit {
    /// The time from which the permit can no longer be used.
    pub expires_at: Timestamp,
}

/// The result of [`PermitCache::acquire`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AcquireOutcome {
    /// The operation may start.
    Permit(Permit),
    /// The tenant is at its limit; the authority may be asked again after this time.
    Limited(Duration),
    /// Nothing is known: the authority must be asked.
    AskAuthority,
}

#[derive(Debug, Default)]
struct TenantState {
    /// Unused permits of operations that did not run, in the order of their expiry.
    permits: VecDeque<Permit>,
    limited_until: Timestamp,
}

/// A node's unused permits, and the tenants that it knows to be at their limits.
#[derive(Debug, Default)]
pub struct PermitCache {
    tenants: HashMap<String, TenantState>,
}

impl PermitCache {
    /// Takes an unused permit for an operation that a client requests at `now`.
    pub fn acquire(&mut self, tenant: &str, now: Timestamp) -> AcquireOutcome {
        let Some(state) = self.tenants.get_mut(tenant) else {
            return AcquireOutcome::AskAuthority;
        };
        while let Some(permit) = state.permits.pop_front() {
            if permit.expires_at > now {
                return AcquireOutcome::Permit(permit);
            }
        }
        if state.limited_until > now {
            return AcquireOutcome::Limited(state.limited_until.since(now));
        }
        self.tenants.remove(tenant);
        AcquireOutcome::AskAuthority
    }

    /// How long the tenant is known to stay at its limit; none if a permit may be available.
    pub fn limited_for(&self, tenant: &str, now: Timestamp) -> Option<Duration> {
        let state = self.tenants.get(tenant)?;
        let has_permit = state.permits.iter().any(|permit| permit.expires_at > now);
        let is_limited = state.limited_until > now && !has_permit;
        is_limited.then(|| state.limited_until.since(now))
    }

    /// Records the grant for a request for `waiting` operations that was sent at `requested_at`.
    ///
    /// Returns the permits of the operations that may start; none if they have expired by now. If
    /// there are too few, the tenant is limited until the grant's `retry_after` has passed.
    pub fn record_grant(
        &mut self,
        tenant: &str,
        grant: Grant,
        waiting: u32,
        requested_at: Timestamp,
        now: Timestamp,
    ) -> Vec<Permit> {
        if grant.permits < waiting {
            self.state(tenant).limited_until = now + grant.retry_after;
        }
        let permit = Permit {
            expires_at: requested_at + PERMIT_TTL,
        };
        if permit.expires_at <= now {
            return Vec::new();
        }
        vec![permit; grant.permits.min(waiting) as usize]
    }

    /// Returns the permit of an operation that did not run, for use by the tenant's next one.
    pub fn return_unused(&mut self, tenant: &str, permit: Permit, now: Timestamp) {
        if permit.expires_at <= now {
            return;
        }
        let permits = &mut self.state(tenant).permits;
        let index = permits.partition_point(|known| known.expires_at <= permit.expires_at);
        permits.insert(index, permit);
    }

    fn state(&mut self, tenant: &str) -> &mut TenantState {
        self.tenants.entry(tenant.to_owned()).or_default()
    }
}
