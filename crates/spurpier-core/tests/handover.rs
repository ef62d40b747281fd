//! The handover of a database's writes: each step waits until the previous one is confirmed.

use spurpier_core::group::{GroupView, ObservedStatus, ServerRole, ServerStatus, ServerView};
use spurpier_core::handover::{Handover, HandoverAction, HandoverEvent, HandoverStep};
use spurpier_core::identity::{ServerName, ZoneName};
use spurpier_core::position::Position;
use spurpier_core::time::Timestamp;

const EPOCH: u64 = 3;

/// Three servers of which the first is the primary and the first `holders` have received
/// `received`; the others lack the last record.
fn view(received: Position, holders: usize, upstream: Position) -> GroupView {
    let server = |index: usize| {
        let held = match index < holders {
            true => received,
            false => Position::new(received.term, received.offset - 1),
        };
        ServerView {
            name: ServerName::from(format!("s{index}")),
            zone: ZoneName::from("zone"),
            observed: Some(ObservedStatus {
                requested_at: Timestamp::from_millis(1),
                status: ServerStatus {
                    vote_term: received.term,
                    received: held,
                    term_parent: Position::ZERO,
                    applied: held,
                    upstream_applied: upstream,
                    role: match index {
                        0 => ServerRole::Primary,
                        _ => ServerRole::Replica,
                    },
                    leaving: false,
                },
            }),
            reachable: true,
            leaving_hint: false,
        }
    };
    GroupView {
        servers: (0..3).map(server).collect(),
    }
}

fn fence(epoch: u64, open: bool) -> HandoverEvent<'static> {
    HandoverEvent::FenceRead {
        epoch,
        open,
        position: Position::new(1, 5),
    }
}

#[test]
fn a_handover_advances_only_after_each_step_is_confirmed() {
    let mut handover = Handover::new(EPOCH);
    assert_eq!(handover.action(), HandoverAction::ReadFence);
    let action = handover.handle_event(&fence(0, true));
    assert_eq!(action, HandoverAction::RaiseFence(EPOCH));

    let raised = Position::new(2, 10);
    let action = handover.handle_event(&HandoverEvent::FenceRaised(raised));
    assert_eq!(action, HandoverAction::ProbeSource);
    let alone = view(raised, 1, Position::ZERO);
    assert_eq!(
        handover.handle_event(&HandoverEvent::SourceView(&alone)),
        action
    );
    let majority = view(raised, 2, Position::ZERO);
    let action = handover.handle_event(&HandoverEvent::SourceView(&majority));
    assert_eq!(action, HandoverAction::ProbeTarget);

    let applied = Position::new(1, 7);
    let behind = view(applied, 3, Position::new(2, 9));
    assert_eq!(
        handover.handle_event(&HandoverEvent::TargetView(&behind)),
        action
    );
    let unconfirmed = view(applied, 1, raised);
    assert_eq!(
        handover.handle_event(&HandoverEvent::TargetView(&unconfirmed)),
        action
    );
    let caught_up = view(applied, 2, raised);
    let action = handover.handle_event(&HandoverEvent::TargetView(&caught_up));
    assert_eq!(action, HandoverAction::OpenFence(EPOCH));

    let opened = Position::new(1, 8);
    handover.handle_event(&HandoverEvent::FenceOpened(opened));
    let alone = view(opened, 1, raised);
    handover.handle_event(&HandoverEvent::TargetView(&alone));
    assert_eq!(handover.step(), HandoverStep::ConfirmingOpen(opened));
    let majority = view(opened, 2, raised);
    let action = handover.handle_event(&HandoverEvent::TargetView(&majority));
    assert_eq!(action, HandoverAction::Done);
}

#[test]
fn a_completed_handover_is_only_confirmed() {
    let mut handover = Handover::new(EPOCH);
    let action = handover.handle_event(&fence(EPOCH, true));
    assert_eq!(action, HandoverAction::ProbeTarget);
    let confirmed = view(Position::new(1, 5), 2, Position::ZERO);
    let action = handover.handle_event(&HandoverEvent::TargetView(&confirmed));
    assert_eq!(action, HandoverAction::Done);
}

#[test]
fn a_newer_epoch_supersedes_a_handover() {
    let mut handover = Handover::new(EPOCH);
    let action = handover.handle_event(&fence(EPOCH + 1, false));
    assert_eq!(action, HandoverAction::Overtaken);

    let mut handover = Handover::new(EPOCH);
    handover.handle_event(&fence(0, true));
    let action = handover.handle_event(&HandoverEvent::FenceConflict);
    assert_eq!(action, HandoverAction::Overtaken);
}

#[test]
fn the_fence_is_raised_again_after_the_primary_is_replaced() {
    let mut handover = Handover::new(EPOCH);
    handover.handle_event(&fence(0, true));
    handover.handle_event(&HandoverEvent::FenceRaised(Position::new(2, 10)));
    let newer = view(Position::new(3, 10), 2, Position::ZERO);
    let action = handover.handle_event(&HandoverEvent::SourceView(&newer));
    assert_eq!(action, HandoverAction::RaiseFence(EPOCH));
}
