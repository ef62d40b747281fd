//! Units as the ingress side holds them: asking for one, and judging how it ended.

use spurpier_core::identity::{GroupId, RequestKey, Side};
use spurpier_core::policy::{FreshnessDemand, RequestAttributes, StatementKind};
use spurpier_core::reason::Reason;
use spurpier_protocol::unit::{
    Batch, BatchEffect, Freshness, TransactionStatus, UnitInput, UnitKind, UnitRequest, UnitResult,
};

use super::Shared;
use super::reply::Refusal;
use super::session::{ClientSession, LONGEST_NAME};
use super::work::RequestNotes;
use crate::unit_runner::UnitHandle;

/// An open unit. Dropping it before its end abandons it.
#[derive(Debug)]
pub(super) struct OpenUnit {
    /// The channels to and from the home.
    pub handle: UnitHandle,
    /// What kind of work it is.
    pub kind: UnitKind,
    /// The group on which it runs.
    pub group: GroupId,
    /// The state of the transaction block.
    pub status: TransactionStatus,
    /// The key with which it was opened.
    pub request_key: Option<RequestKey>,
    /// Whether the home has said how it ended.
    pub has_ended: bool,
}

impl OpenUnit {
    /// Whether the unit only reads.
    pub fn is_read(&self) -> bool {
        matches!(self.kind, UnitKind::Read | UnitKind::ReadTransaction)
    }
}

impl Drop for OpenUnit {
    fn drop(&mut self) {
        if !self.has_ended {
            // With a full channel the closing of it says the same.
            let _ = self.handle.input.try_send(UnitInput::Abandon);
        }
    }
}

/// How the answer of a batch ended.
#[derive(Debug)]
pub(super) enum BatchEnding {
    /// The batch was answered whole.
    Answered(TransactionStatus),
    /// The unit ended before the batch was answered whole.
    Finished(UnitResult),
    /// The home was lost.
    Lost,
}

/// Asks the policy and opens a unit with its first batch.
///
/// # Errors
///
/// When no policy is known, or it refuses the request; nothing has been sent then.
pub(super) fn open_unit(
    shared: &Shared,
    session: &mut ClientSession,
    kind: UnitKind,
    notes: &RequestNotes,
    first: Batch,
) -> Result<OpenUnit, Refusal> {
    let is_write = matches!(kind, UnitKind::Write | UnitKind::WriteTransaction);
    let is_too_long =
        |name: &Option<String>| name.as_ref().is_some_and(|name| name.len() > LONGEST_NAME);
    if is_too_long(&notes.request_key) || is_too_long(&notes.class) {
        let detail = "a request key or class is too long";
        return Err(Refusal::with_detail(Reason::TooLarge, detail));
    }
    let mut request = decide(shared, session, kind, is_write, notes)?;
    if is_write {
        let from_comment = notes.request_key.as_deref().map(RequestKey::from);
        request.request_key = from_comment.or_else(|| session.request_key.take());
        request.statement_digest = request.request_key.as_ref().map_or(0, |_| notes.digest);
    }
    request.number = session.next_unit_number();
    let group = group_of(session, request.side);
    let request_key = request.request_key.clone();
    let handle = shared.context.runner.open(request, first);
    Ok(OpenUnit {
        handle,
        kind,
        group,
        status: TransactionStatus::Idle,
        request_key,
        has_ended: false,
    })
}

/// The request that the policy's decision makes of what the client asks for.
fn decide(
    shared: &Shared,
    session: &ClientSession,
    kind: UnitKind,
    is_write: bool,
    notes: &RequestNotes,
) -> Result<UnitRequest, Refusal> {
    let Some(policy) = shared.context.policy.load_full() else {
        return Err(Refusal::new(Reason::NoPolicy));
    };
    let settings = &shared.context.settings;
    let facts = RequestAttributes {
        database: session.database.clone(),
        user: session.user.clone(),
        statement: if is_write {
            StatementKind::Write
        } else {
            StatementKind::Read
        },
        zone: settings.node.zone.as_str().to_owned(),
        class: notes.class.clone().unwrap_or_else(|| session.class.clone()),
    };
    let decision = policy.decide(&facts);
    if let Some(text) = decision.refusal {
        return Err(Refusal::with_detail(Reason::RefusedByPolicy, text));
    }
    let placement = policy.placement(&session.database);
    Ok(UnitRequest {
        session: session.id.clone(),
        number: 0,
        database: session.database.clone(),
        side: decision.side,
        epoch: placement.map_or(0, |placement| placement.epoch),
        kind,
        freshness: unit_freshness(session, decision.side, decision.freshness),
        replica_allowed: decision.replica_allowed && !is_write,
        floor: session.floor(&group_of(session, decision.side)),
        upstream_floor: session.floor(&group_of(session, other_side(decision.side))),
        max_wait_ms: decision.max_wait_ms.min(settings.limits.queue_wait_ms),
        request_key: None,
        statement_digest: 0,
        settings: session.unit_settings(),
    })
}

/// How fresh the reads must be, as the policy asks and as the session's past demands.
///
/// A session that has been on the new side may have been moved by a newer policy than this
/// node's. Its floor on the old side is not enough then: the read index is needed, which covers
/// the fence that tells of the move.
fn unit_freshness(session: &ClientSession, side: Side, demand: FreshnessDemand) -> Freshness {
    let has_been_on_new_side = session.floor(&group_of(session, Side::New)).is_some();
    if side == Side::Old && has_been_on_new_side {
        return Freshness::Fresh;
    }
    freshness(demand)
}

fn freshness(demand: FreshnessDemand) -> Freshness {
    match demand {
        FreshnessDemand::Session => Freshness::Session,
        FreshnessDemand::Fresh => Freshness::Fresh,
        FreshnessDemand::Bounded(milliseconds) => Freshness::Bounded { milliseconds },
    }
}

fn group_of(session: &ClientSession, side: Side) -> GroupId {
    GroupId {
        database: session.database.clone(),
        side,
    }
}

fn other_side(side: Side) -> Side {
    match side {
        Side::Old => Side::New,
        Side::New => Side::Old,
    }
}

/// What is known of a unit of which the home was lost while it ran a batch of this effect.
///
/// A transaction block commits only by a COMMIT that the client sent, so before that one has
/// left nothing of it stays.
pub(super) fn reason_of_loss(kind: UnitKind, effect: BatchEffect) -> Reason {
    match (kind, effect) {
        (UnitKind::Read | UnitKind::ReadTransaction, _) => Reason::ReadInterrupted,
        (UnitKind::Write, _) => Reason::ConnectionLost,
        (UnitKind::WriteTransaction, BatchEffect::Commit) => Reason::CommitUnknown,
        (UnitKind::WriteTransaction, BatchEffect::Begin) => Reason::HomeUnreachable,
        (UnitKind::WriteTransaction, _) => Reason::TransactionLost,
    }
}
