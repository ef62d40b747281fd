//! The operations that wait for leaves.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use spurpier_core::quota::{Grant, Permit, PermitDemand};
use spurpier_core::time::Timestamp;
use tokio::sync::oneshot;

use super::{LeaveAnswer, Quotas, Refused, Scope, TenantQuota};

/// What is asked for each tenant.
pub type Wants = Vec<(Arc<str>, PermitDemand)>;

/// Who waits for leaves of one tenant.
#[derive(Debug)]
struct Waiters {
    quota: TenantQuota,
    senders: Vec<oneshot::Sender<Result<Permit, Refused>>>,
    /// What those are told that get no leave.
    refused: Option<Refused>,
}

/// Whom to tell, by tenant.
#[derive(Debug, Default)]
pub struct Waiting {
    tenants: HashMap<Arc<str>, Waiters>,
}

/// What an authority has granted.
#[derive(Debug)]
pub struct Granted {
    /// For whom it counts.
    pub scope: Scope,
    /// Its answer.
    pub answer: LeaveAnswer,
    /// When it was asked.
    pub asked_at: Timestamp,
}

impl Waiting {
    /// Adds one operation of a tenant.
    pub fn add(
        &mut self,
        tenant: &Arc<str>,
        quota: TenantQuota,
    ) -> oneshot::Receiver<Result<Permit, Refused>> {
        let (sender, receiver) = oneshot::channel();
        let tenant = Arc::clone(tenant);
        let waiters = self.tenants.entry(tenant).or_insert_with(|| Waiters {
            quota,
            senders: Vec::new(),
            refused: None,
        });
        waiters.quota = quota;
        waiters.senders.push(sender);
        receiver
    }

    /// What to ask for those whose clients still wait.
    pub fn wants(&mut self) -> Wants {
        self.tenants.retain(|_, waiters| {
            waiters.senders.retain(|sender| !sender.is_closed());
            !waiters.senders.is_empty()
        });
        let tenants = self.tenants.iter();
        let wants = tenants.map(|(tenant, waiters)| {
            let want = PermitDemand {
                waiting: u32::try_from(waiters.senders.len()).unwrap_or(u32::MAX),
                rate: waiters.quota.rate(),
                version: waiters.quota.version,
            };
            (Arc::clone(tenant), want)
        });
        wants.collect()
    }

    /// Tells those of each tenant that were granted a leave, and keeps the others. A leave for
    /// which nobody waits any more is kept for the tenant's next operation.
    pub fn take_granted(
        &mut self,
        quotas: &Quotas,
        wants: &Wants,
        granted: &Granted,
        now: Timestamp,
    ) {
        for ((tenant, want), grant) in wants.iter().zip(granted.answer.grants()) {
            let (noted, refused) = match granted.scope {
                Scope::Seat(_) => (grant, Refused::OverQuota(grant.retry_after)),
                // A zone's part that is used up tells nothing of the tenant's limit, for which the
                // authority of all is asked again with the next operation.
                Scope::Zone => (
                    without_pause(grant),
                    Refused::NoAuthority(grant.retry_after),
                ),
            };
            let mut ledger = quotas.ledger();
            let leaves = ledger.record_grant(tenant, noted, want.waiting, granted.asked_at, now);
            for leave in self.hand_out(tenant, leaves, refused) {
                ledger.return_unused(tenant, leave, now);
            }
        }
    }

    /// Gives those that wait for a tenant their leaves; returns the leaves that nobody takes.
    fn hand_out(&mut self, tenant: &str, leaves: Vec<Permit>, refused: Refused) -> Vec<Permit> {
        let Some(waiters) = self.tenants.get_mut(tenant) else {
            return leaves;
        };
        waiters.refused = Some(refused);
        let mut left = leaves.into_iter();
        let mut untaken = Vec::new();
        let count = left.len().min(waiters.senders.len());
        for (sender, leave) in waiters.senders.drain(..count).zip(left.by_ref()) {
            if sender.send(Ok(leave)).is_err() {
                untaken.push(leave);
            }
        }
        untaken.extend(left);
        untaken
    }

    /// Tells all that still wait why they may not start: what the last authority said, or else this.
    pub fn refuse(self, unasked: Refused) {
        for waiters in self.tenants.into_values() {
            let refused = waiters.refused.unwrap_or(unasked);
            for sender in waiters.senders {
                // A client that is gone needs no answer.
                let _ = sender.send(Err(refused));
            }
        }
    }
}

fn without_pause(grant: Grant) -> Grant {
    Grant {
        retry_after: Duration::ZERO,
        ..grant
    }
}
