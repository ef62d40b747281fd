//! Leave to start operations of tenants whose rate is bounded.
//!
//! The decisions are [`spurpier_core::quota`]'s. Tenants are spread over a few seats; for each seat
//! every node ranks the same nodes, and asks the first one that it reaches.

mod messages;
mod seat;

use std::collections::HashMap;
use std::ops::Range;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use rand::RngExt;
use spurpier_core::homes::subject_digest;
use spurpier_core::places::ColdBound;
use spurpier_core::quota::{Authority, Grant, Leave, Ledger, QuotaBound, QuotaRate, Taken, Want};
use spurpier_core::time::Timestamp;
use tokio::sync::oneshot;

pub use self::messages::{LeaveAnswer, LeaveQuestion};
use self::seat::Seat;
use crate::clock::Clock;
use crate::context::Context;
use crate::ports::Quota;
use crate::settings::BoundSettings;

/// Seats over which tenants are spread: as many nodes count operations. Each question of a node
/// goes to one of them, so that of 59 nodes with 1,200 operations a second each of four answers 300
/// questions a second.
const SEATS: u8 = 4;
/// Seats of cold servers, behind those of tenants: they are few, and cold for seconds.
const COLD_SEATS: u8 = 1;
/// What a client is told to wait when no authority can be asked.
const UNREACHED_PAUSE: Duration = Duration::from_millis(300);

/// Why an operation may not start.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Refused {
    /// The tenant is at its limit for so long.
    OverQuota(Duration),
    /// No authority has answered; one may within this time.
    NoAuthority(Duration),
}

/// A tenant's bound, as a configuration has it.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct TenantQuota {
    /// The bound.
    pub quota: Quota,
    /// The version of the configuration.
    pub version: u64,
}

impl TenantQuota {
    fn rate(&self) -> QuotaRate {
        QuotaRate {
            per_second: self.quota.per_second,
            burst: self.quota.burst,
        }
    }
}

/// The leaves of this node's clients, and what it counts for others.
#[derive(Debug)]
pub struct Quotas {
    ledger: Mutex<Ledger>,
    seats: Vec<Arc<Seat>>,
    authorities: Mutex<HashMap<u8, Authority>>,
    bound: QuotaBound,
    /// Tells this process's life from others of the node.
    life: u64,
}

impl Quotas {
    /// No leaves, and nothing counted.
    pub fn new(bounds: &BoundSettings) -> Self {
        let bound = QuotaBound {
            window: Duration::from_secs_f64(bounds.quota_window_s),
            overage: bounds.quota_overage,
            slack: bounds.quota_slack,
        };
        Self::of_seats(0..SEATS, bound)
    }

    /// As [`Quotas::new`], for what is sent to cold servers, which stand in the place of tenants.
    pub fn of_cold_servers() -> Self {
        Self::of_seats(SEATS..SEATS + COLD_SEATS, ColdBound::COUNTED)
    }

    fn of_seats(seats: Range<u8>, bound: QuotaBound) -> Self {
        Quotas {
            ledger: Mutex::default(),
            seats: seats.map(|index| Arc::new(Seat::new(index))).collect(),
            authorities: Mutex::default(),
            life: rand::rng().random(),
            bound,
        }
    }

    /// What counts the subjects of a seat.
    fn of_seat(context: &Context, seat: u8) -> &Self {
        if seat < SEATS {
            &context.quotas
        } else {
            &context.cold.leaves
        }
    }

    /// Whether there is anything to count in a seat.
    fn is_used(context: &Context, seat: u8) -> bool {
        if seat < SEATS {
            context.in_force().is_some_and(|known| known.has_quotas())
        } else {
            context.cold.are_counted(context.clock.now())
        }
    }

    /// For how long it is known that no leave is to be had; none if one may be.
    pub fn limited_for(&self, subject: &str, now: Timestamp) -> Option<Duration> {
        self.ledger().limited_for(subject, now)
    }

    /// Takes a leave for an operation on a subject, at most until `until`.
    ///
    /// # Errors
    ///
    /// [`Refused`], at once where that is known already.
    pub async fn take(
        &self,
        clock: &Clock,
        subject: &Arc<str>,
        quota: TenantQuota,
        until: Timestamp,
    ) -> Result<Leave, Refused> {
        let taken = self.ledger().take(subject, clock.now());
        match taken {
            Taken::Leave(leave) => Ok(leave),
            Taken::Limited(pause) => Err(Refused::OverQuota(pause)),
            Taken::Ask => {
                let asked = self.seat(subject).ask(subject, quota);
                await_leave(clock, asked, until).await
            }
        }
    }

    fn ledger(&self) -> MutexGuard<'_, Ledger> {
        self.ledger.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn seat(&self, tenant: &str) -> &Arc<Seat> {
        let digest = subject_digest(tenant);
        &self.seats[(digest % self.seats.len() as u64) as usize]
    }

    /// Answers a node's question, when so many nodes are listed.
    fn answer(&self, question: LeaveQuestion, nodes: usize, now: Timestamp) -> LeaveAnswer {
        let authorities = self.authorities.lock();
        let mut authorities = authorities.unwrap_or_else(PoisonError::into_inner);
        let authority = authorities
            .entry(question.seat)
            .or_insert_with(|| Authority::new(self.bound, self.life));
        let sent_after = question.sent_after();
        authority.note_vote(&question.voter, sent_after, nodes, now);
        let mut grant = |tenant: &str, want: Want| {
            let spread = rand::rng().random();
            authority.grant(tenant, want, nodes, spread, now)
        };
        let wants = question.into_wants();
        let grants: Vec<Grant> = wants.map(|(tenant, want)| grant(&tenant, want)).collect();
        LeaveAnswer::new(authority.has_majority(), authority.stamp(now), &grants)
    }
}

/// The leave of an operation; given back if the operation has not run.
#[derive(Debug)]
pub struct OperationLeave {
    tenant: Arc<str>,
    leave: Leave,
}

/// Takes a leave for an operation of a tenant, at most until `until`.
///
/// # Errors
///
/// [`Refused`], at once where that is known already.
pub async fn take_leave(
    context: &Context,
    tenant: &Arc<str>,
    quota: TenantQuota,
    until: Timestamp,
) -> Result<OperationLeave, Refused> {
    let taken = context.quotas.take(&context.clock, tenant, quota, until);
    let leave = taken.await?;
    let tenant = Arc::clone(tenant);
    Ok(OperationLeave { tenant, leave })
}

async fn await_leave(
    clock: &Clock,
    asked: oneshot::Receiver<Result<Leave, Refused>>,
    until: Timestamp,
) -> Result<Leave, Refused> {
    let unreached = Refused::NoAuthority(UNREACHED_PAUSE);
    let limit = clock.instant(until);
    let answered = tokio::time::timeout_at(limit, asked).await;
    answered.map_err(|_| unreached)?.map_err(|_| unreached)?
}

/// Takes back the leave of an operation that has not run.
pub fn put_back(context: &Context, leave: OperationLeave) {
    let now = context.clock.now();
    let mut ledger = context.quotas.ledger();
    ledger.put_back(&leave.tenant, leave.leave, now);
}

/// Answers another node's question; none if this node is about to end, so that votes for it are
/// void.
pub fn answer_question(context: &Context, question: LeaveQuestion) -> Option<LeaveAnswer> {
    if context.draining.is_cancelled() {
        return None;
    }
    let nodes = context.homes.listed_count();
    let quotas = Quotas::of_seat(context, question.seat);
    let answer = quotas.answer(question, nodes, context.clock.now());
    Some(answer)
}

/// Starts asking the authorities of all seats for what clients wait for.
pub fn start_seats(context: &Arc<Context>) {
    let cold_seats = &context.cold.leaves.seats;
    for seat in context.quotas.seats.iter().chain(cold_seats) {
        tokio::spawn(Arc::clone(seat).run(Arc::clone(context)));
    }
}
