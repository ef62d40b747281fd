//! Permits to start operations of tenants whose rate is bounded.
//!
//! The decisions are [`spurpier_core::quota`]'s. Tenants are spread over a few seats; for each seat
//! every node ranks the same nodes, and asks the first one that it reaches. Where none of them
//! answers for most nodes, the authority of the node's own zone is asked.

mod asker;
mod messages;
mod seat;
mod waiting;

use std::collections::HashMap;
use std::ops::Range;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use nanoserde::{DeBin, SerBin};
use rand::RngExt;
use spurpier_core::homes::subject_digest;
use spurpier_core::locality::ColdBound;
use spurpier_core::quota::{
    AcquireOutcome, Authority, Grant, Permit, PermitCache, PermitDemand, QuotaBound, QuotaRate,
    ZoneAuthority, ZonePosition,
};
use spurpier_core::time::Timestamp;
use tokio::sync::oneshot;

use self::asker::Asker;
pub use self::messages::{LeaveAnswer, LeaveQuestion};
use self::seat::Seat;
use crate::clock::Clock;
use crate::context::Context;
use crate::ports::Quota;
use crate::settings::PipelineSettings;

/// Seats over which tenants are spread: as many nodes count operations. Each question of a node
/// goes to one of them, so that of 59 nodes with 1,200 operations a second each of four answers 300
/// questions a second.
const SEATS: u8 = 4;
/// Seats of cold servers, behind those of tenants: they are few, and cold for seconds.
const COLD_SEATS: u8 = 1;
/// What a client is told to wait when no authority can be asked.
const UNREACHED_PAUSE: Duration = Duration::from_millis(300);

/// Whom an authority counts for.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, SerBin, DeBin)]
pub enum Scope {
    /// All nodes, for the tenants of a seat.
    Seat(u8),
    /// The nodes of its zone, for all tenants.
    Zone,
}

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

/// The leaves of this node's clients, and what it counts for others: the operations of tenants, or
/// what is sent to cold servers, which stand in the place of tenants then.
#[derive(Debug)]
pub struct Quotas {
    ledger: Mutex<PermitCache>,
    seats: Vec<Arc<Seat>>,
    authorities: Mutex<HashMap<u8, Authority>>,
    /// The zone's own part, which is used while most nodes cannot be asked.
    zone: Option<ZonePart>,
    bound: QuotaBound,
    /// Tells this process's life from others of the node.
    life: u64,
}

/// What a zone counts by itself.
#[derive(Debug)]
struct ZonePart {
    asker: Arc<Asker>,
    authority: Mutex<ZoneAuthority>,
}

impl Quotas {
    /// No leaves of tenants, and nothing counted.
    pub fn new(settings: &PipelineSettings) -> Self {
        let bounds = &settings.bounds;
        let bound = QuotaBound {
            window: Duration::from_secs_f64(bounds.quota_window_s),
            overage: bounds.quota_overage,
            slack: bounds.quota_slack,
        };
        let mut quotas = Self::of_seats(0..SEATS, bound);
        let zones = settings.zones.keys().map(String::as_str);
        let place = ZonePosition::of(&settings.node.zone, zones);
        quotas.zone = place.map(|place| ZonePart {
            asker: Arc::new(Asker::new(Scope::Zone)),
            authority: Mutex::new(ZoneAuthority::new(bound, place, quotas.life)),
        });
        quotas
    }

    /// As [`Quotas::new`], for what is sent to cold servers. Their bound has no slack that zones
    /// could divide.
    pub fn of_cold_servers() -> Self {
        Self::of_seats(SEATS..SEATS + COLD_SEATS, ColdBound::AUTHORITY_BOUND)
    }

    fn of_seats(seats: Range<u8>, bound: QuotaBound) -> Self {
        Quotas {
            ledger: Mutex::default(),
            seats: seats.map(|index| Arc::new(Seat::new(index))).collect(),
            authorities: Mutex::default(),
            zone: None,
            bound,
            life: rand::rng().random(),
        }
    }

    /// What counts for a scope.
    fn of_scope(context: &Context, scope: Scope) -> &Self {
        match scope {
            Scope::Seat(seat) if seat >= SEATS => &context.cold.leaves,
            Scope::Seat(_) | Scope::Zone => &context.quotas,
        }
    }

    /// Whether there is anything to count for a scope.
    fn is_used(context: &Context, scope: Scope) -> bool {
        match scope {
            Scope::Seat(seat) if seat >= SEATS => context.cold.are_counted(context.clock.now()),
            Scope::Seat(_) | Scope::Zone => {
                context.in_force().is_some_and(|known| known.has_quotas())
            }
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
    ) -> Result<Permit, Refused> {
        let taken = self.ledger().acquire(subject, clock.now());
        match taken {
            AcquireOutcome::Permit(leave) => Ok(leave),
            AcquireOutcome::Limited(pause) => Err(Refused::OverQuota(pause)),
            AcquireOutcome::AskAuthority => {
                let asked = self.seat(subject).ask(subject, quota);
                await_leave(clock, asked, until).await
            }
        }
    }

    fn ledger(&self) -> MutexGuard<'_, PermitCache> {
        self.ledger.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn seat(&self, tenant: &str) -> &Arc<Seat> {
        let digest = subject_digest(tenant);
        &self.seats[(digest % self.seats.len() as u64) as usize]
    }

    /// Answers a node's question, when so many nodes are listed that may ask; none if this node
    /// does not count for the scope.
    fn answer(&self, question: LeaveQuestion, nodes: usize, now: Timestamp) -> Option<LeaveAnswer> {
        match question.scope {
            Scope::Seat(seat) => Some(self.answer_seat(seat, question, nodes, now)),
            Scope::Zone => self.answer_zone(question, nodes, now),
        }
    }

    fn answer_seat(
        &self,
        seat: u8,
        question: LeaveQuestion,
        nodes: usize,
        now: Timestamp,
    ) -> LeaveAnswer {
        let authorities = self.authorities.lock();
        let mut authorities = authorities.unwrap_or_else(PoisonError::into_inner);
        let authority = authorities
            .entry(seat)
            .or_insert_with(|| Authority::new(self.bound, self.life));
        authority.record_vote(&question.voter, question.sent_after(), nodes, now);
        let mut grant = |tenant: &str, want: PermitDemand| {
            let spread = rand::rng().random();
            authority.grant(tenant, want, spread, now)
        };
        let wants = question.into_wants();
        let grants: Vec<Grant> = wants.map(|(tenant, want)| grant(&tenant, want)).collect();
        LeaveAnswer::new(authority.has_majority(), authority.timestamp(now), &grants)
    }

    fn answer_zone(
        &self,
        question: LeaveQuestion,
        nodes: usize,
        now: Timestamp,
    ) -> Option<LeaveAnswer> {
        let authority = self.zone.as_ref()?.authority.lock();
        let mut authority = authority.unwrap_or_else(PoisonError::into_inner);
        authority.record_vote(&question.voter, question.sent_after(), nodes, now);
        let mut grant = |tenant: &str, want: PermitDemand| {
            let spread = rand::rng().random();
            authority.grant(tenant, want.waiting, spread, now)
        };
        let wants = question.into_wants();
        let grants: Vec<Grant> = wants.map(|(tenant, want)| grant(&tenant, want)).collect();
        let answer = LeaveAnswer::new(authority.has_majority(), authority.timestamp(now), &grants);
        Some(answer)
    }
}

/// The leave of an operation; given back if the operation has not run.
#[derive(Debug)]
pub struct OperationLeave {
    tenant: Arc<str>,
    leave: Permit,
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
    asked: oneshot::Receiver<Result<Permit, Refused>>,
    until: Timestamp,
) -> Result<Permit, Refused> {
    let unreached = Refused::NoAuthority(UNREACHED_PAUSE);
    let limit = clock.instant(until);
    let answered = tokio::time::timeout_at(limit, asked).await;
    answered.map_err(|_| unreached)?.map_err(|_| unreached)?
}

/// Takes back the leave of an operation that has not run.
pub fn put_back(context: &Context, leave: OperationLeave) {
    let now = context.clock.now();
    let mut ledger = context.quotas.ledger();
    ledger.return_unused(&leave.tenant, leave.leave, now);
}

/// Answers another node's question; none if this node is about to end, so that votes for it are
/// void, or does not count for the scope.
pub fn answer_question(context: &Context, question: LeaveQuestion) -> Option<LeaveAnswer> {
    if context.draining.is_cancelled() {
        return None;
    }
    let nodes = context.homes.voter_count(question.scope);
    let quotas = Quotas::of_scope(context, question.scope);
    quotas.answer(question, nodes, context.clock.now())
}

/// Starts asking the authorities of all seats for what clients wait for, and voting in the zone.
pub fn start_seats(context: &Arc<Context>) {
    if let Some(zone) = &context.quotas.zone {
        tokio::spawn(Arc::clone(&zone.asker).vote(Arc::clone(context)));
    }
    let cold_seats = &context.cold.leaves.seats;
    for seat in context.quotas.seats.iter().chain(cold_seats) {
        tokio::spawn(Arc::clone(seat).run(Arc::clone(context)));
    }
}
