//! The leaves of a node where clients ask.

use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use super::authority::Grant;
use super::budget::PERMIT_TTL;
use crate::time::Timestamp;

/// A leave to start an operation.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Permit {
    /// Until when it may be used.
    pub expires_at: Timestamp,
}

/// Whether an operation may start.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AcquireOutcome {
    /// It may.
    Permit(Permit),
    /// The tenant is at its limit, and may be asked for again after this time.
    Limited(Duration),
    /// The authority must be asked.
    AskAuthority,
}

#[derive(Debug, Default)]
struct TenantState {
    /// Leaves of operations that were not run, the one that ends first in front.
    permits: VecDeque<Permit>,
    limited_until: Timestamp,
}

/// What a node knows of its tenants' limits.
#[derive(Debug, Default)]
pub struct PermitCache {
    tenants: HashMap<String, TenantState>,
}

impl PermitCache {
    /// Takes a leave for an operation that a client asks for now.
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

    /// For how long the tenant is known to be at its limit; none if a leave may be had.
    pub fn limited_for(&self, tenant: &str, now: Timestamp) -> Option<Duration> {
        let state = self.tenants.get(tenant)?;
        let has_permit = state.permits.iter().any(|permit| permit.expires_at > now);
        let is_limited = state.limited_until > now && !has_permit;
        is_limited.then(|| state.limited_until.since(now))
    }

    /// Takes in the answer to a question for `waiting` operations that was sent at `requested_at`:
    /// the leaves of those that may start. The others may ask again after the grant's pause.
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

    /// Takes back the leave of an operation that has not run.
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
