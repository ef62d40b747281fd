//! The leaves of a node where clients ask.

use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use super::authority::Grant;
use super::budget::LEAVE_LIFE;
use crate::time::Timestamp;

/// A leave to start an operation.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Leave {
    /// Until when it may be used.
    pub ends_at: Timestamp,
}

/// Whether an operation may start.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Taken {
    /// It may.
    Leave(Leave),
    /// The tenant is at its limit, and may be asked for again after this time.
    Limited(Duration),
    /// The authority must be asked.
    Ask,
}

#[derive(Debug, Default)]
struct Held {
    /// Leaves of operations that were not run, the one that ends first in front.
    leaves: VecDeque<Leave>,
    limited_until: Timestamp,
}

/// What a node knows of its tenants' limits.
#[derive(Debug, Default)]
pub struct Ledger {
    tenants: HashMap<String, Held>,
}

impl Ledger {
    /// Takes a leave for an operation that a client asks for now.
    pub fn take(&mut self, tenant: &str, now: Timestamp) -> Taken {
        let Some(held) = self.tenants.get_mut(tenant) else {
            return Taken::Ask;
        };
        while let Some(leave) = held.leaves.pop_front() {
            if leave.ends_at > now {
                return Taken::Leave(leave);
            }
        }
        if held.limited_until > now {
            return Taken::Limited(held.limited_until.since(now));
        }
        self.tenants.remove(tenant);
        Taken::Ask
    }

    /// For how long the tenant is known to be at its limit; none if a leave may be had.
    pub fn limited_for(&self, tenant: &str, now: Timestamp) -> Option<Duration> {
        let held = self.tenants.get(tenant)?;
        let has_leave = held.leaves.iter().any(|leave| leave.ends_at > now);
        let is_limited = held.limited_until > now && !has_leave;
        is_limited.then(|| held.limited_until.since(now))
    }

    /// Takes in the answer to a question for `waiting` operations that was sent at `asked_at`:
    /// the leaves of those that may start. The others may ask again after the grant's pause.
    pub fn note_grant(
        &mut self,
        tenant: &str,
        grant: Grant,
        waiting: u32,
        asked_at: Timestamp,
        now: Timestamp,
    ) -> Vec<Leave> {
        if grant.leaves < waiting {
            self.held(tenant).limited_until = now + grant.pause;
        }
        let leave = Leave {
            ends_at: asked_at + LEAVE_LIFE,
        };
        if leave.ends_at <= now {
            return Vec::new();
        }
        vec![leave; grant.leaves.min(waiting) as usize]
    }

    /// Takes back the leave of an operation that has not run.
    pub fn put_back(&mut self, tenant: &str, leave: Leave, now: Timestamp) {
        if leave.ends_at <= now {
            return;
        }
        let leaves = &mut self.held(tenant).leaves;
        let place = leaves.partition_point(|known| known.ends_at <= leave.ends_at);
        leaves.insert(place, leave);
    }

    fn held(&mut self, tenant: &str) -> &mut Held {
        self.tenants.entry(tenant.to_owned()).or_default()
    }
}
