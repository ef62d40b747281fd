//! The commit state machine's outcomes when a primary or a connection is lost.

use std::time::Duration;

use spurpier_core::commit::{
    CommitAction, CommitEvent, CommitMachine, CommitOutcome, TermStarts, WriteKind,
};
use spurpier_core::group::{GroupView, ObservedStatus, ServerRole, ServerStatus, ServerView};
use spurpier_core::identity::{ServerName, ZoneName};
use spurpier_core::position::Position;
use spurpier_core::reason::Reason;
use spurpier_core::time::Timestamp;

const START_DEADLINE: Timestamp = Timestamp::from_millis(1_000);
const CONFIRM_TIMEOUT: Duration = Duration::from_millis(5_000);

fn at_ms(millis: u64) -> Timestamp {
    Timestamp::from_millis(millis)
}

fn server(number: usize, position: Position, role: ServerRole, probed_at: Timestamp) -> ServerView {
    ServerView {
        name: ServerName::from(format!("server-{number}")),
        zone: ZoneName::from("zone"),
        observed: Some(ObservedStatus {
            requested_at: probed_at,
            status: ServerStatus {
                vote_term: position.term,
                received: position,
                term_parent: Position::ZERO,
                applied: position,
                upstream_applied: Position::ZERO,
                role,
                leaving: false,
            },
        }),
        reachable: true,
        leaving_hint: false,
    }
}

/// A view of three servers. The first one with the newest term among `positions` is the primary.
fn view(positions: [Position; 3], probed_at: Timestamp) -> GroupView {
    let newest = positions.iter().map(|position| position.term).max();
    let primary = positions
        .iter()
        .position(|position| Some(position.term) == newest);
    let servers = positions
        .iter()
        .enumerate()
        .map(|(number, position)| {
            let role = if Some(number) == primary {
                ServerRole::Primary
            } else {
                ServerRole::Replica
            };
            server(number, *position, role, probed_at)
        })
        .collect();
    GroupView { servers }
}

fn machine(kind: WriteKind) -> CommitMachine {
    CommitMachine::new(kind, START_DEADLINE, CONFIRM_TIMEOUT, TermStarts::default())
}

fn committed(kind: WriteKind, position: Position) -> CommitMachine {
    let mut machine = machine(kind);
    machine.step(CommitEvent::Started, at_ms(1));
    machine.step(CommitEvent::CommitSent, at_ms(2));
    let action = machine.step(CommitEvent::Committed { position }, at_ms(3));
    assert_eq!(action, CommitAction::Probe);
    machine
}

#[test]
fn a_commit_is_done_only_once_a_majority_holds_it() {
    let position = Position::new(1, 10);
    let mut machine = committed(WriteKind::Unkeyed, position);
    let behind = Position::new(1, 9);
    let alone = view([position, behind, behind], at_ms(4));
    assert_eq!(
        machine.step(CommitEvent::View(&alone), at_ms(4)),
        CommitAction::Wait
    );
    let majority = view([position, position, behind], at_ms(5));
    let action = machine.step(CommitEvent::View(&majority), at_ms(5));
    assert_eq!(
        action,
        CommitAction::Finish(CommitOutcome::Done { position })
    );
}

#[test]
fn a_commit_that_a_confirmed_newer_term_lacks_did_not_run() {
    let mut machine = committed(WriteKind::Unkeyed, Position::new(1, 10));
    let term_start = Position::new(2, 10);
    let newer_term = view([Position::new(1, 10), term_start, term_start], at_ms(4));
    let action = machine.step(CommitEvent::View(&newer_term), at_ms(4));
    let outcome = CommitOutcome::NotRun(Reason::LostWithDeposedPrimary);
    assert_eq!(action, CommitAction::Finish(outcome));
}

#[test]
fn a_newer_term_that_may_hold_the_commit_leaves_it_unknown() {
    let mut machine = committed(WriteKind::Unkeyed, Position::new(1, 10));
    let term_start = Position::new(2, 11);
    let newer_term = view([Position::new(1, 10), term_start, term_start], at_ms(4));
    assert_eq!(
        machine.step(CommitEvent::View(&newer_term), at_ms(4)),
        CommitAction::Wait
    );
    let action = machine.step(CommitEvent::Tick, at_ms(5_003));
    let outcome = CommitOutcome::Unknown(Reason::CommitUnknown);
    assert_eq!(action, CommitAction::Finish(outcome));
}

#[test]
fn an_unconfirmed_newer_term_proves_nothing() {
    let mut machine = committed(WriteKind::Unkeyed, Position::new(1, 10));
    let term_start = Position::new(2, 10);
    let unconfirmed = view(
        [Position::new(1, 10), term_start, Position::new(1, 9)],
        at_ms(4),
    );
    assert_eq!(
        machine.step(CommitEvent::View(&unconfirmed), at_ms(4)),
        CommitAction::Wait
    );
}

#[test]
fn a_term_start_observed_before_the_commit_proves_a_deposed_primary() {
    let term_start = Position::new(2, 10);
    let mut starts = TermStarts::default();
    starts.observe(&view(
        [Position::new(1, 9), term_start, term_start],
        at_ms(1),
    ));
    let mut machine =
        CommitMachine::new(WriteKind::Unkeyed, START_DEADLINE, CONFIRM_TIMEOUT, starts);
    machine.step(CommitEvent::Started, at_ms(1));
    machine.step(CommitEvent::CommitSent, at_ms(2));
    let position = Position::new(1, 12);
    machine.step(CommitEvent::Committed { position }, at_ms(3));
    let later = Position::new(2, 500);
    let action = machine.step(
        CommitEvent::View(&view([position, later, later], at_ms(4))),
        at_ms(4),
    );
    let outcome = CommitOutcome::NotRun(Reason::LostWithDeposedPrimary);
    assert_eq!(action, CommitAction::Finish(outcome));
}

#[test]
fn an_unkeyed_write_is_never_attempted_twice() {
    for sent in [false, true] {
        let mut machine = machine(WriteKind::Unkeyed);
        machine.step(CommitEvent::Started, at_ms(1));
        if sent {
            machine.step(CommitEvent::CommitSent, at_ms(1));
        }
        let action = machine.step(CommitEvent::ConnectionLost, at_ms(2));
        let outcome = CommitOutcome::Unknown(Reason::ConnectionLost);
        assert_eq!(action, CommitAction::Finish(outcome));
    }
}

#[test]
fn an_unkeyed_write_that_the_server_rejects_is_attempted_again() {
    let mut machine = machine(WriteKind::Unkeyed);
    machine.step(CommitEvent::Started, at_ms(1));
    let reason = Reason::NoPrimary;
    let action = machine.step(CommitEvent::Rejected { reason }, at_ms(2));
    assert_eq!(action, CommitAction::Attempt);
    let action = machine.step(CommitEvent::Tick, START_DEADLINE);
    let outcome = CommitOutcome::NotRun(Reason::NoPrimary);
    assert_eq!(action, CommitAction::Finish(outcome));
}

#[test]
fn a_keyed_write_finds_the_row_of_its_earlier_attempt() {
    let mut machine = machine(WriteKind::Keyed);
    machine.step(CommitEvent::Started, at_ms(1));
    machine.step(CommitEvent::CommitSent, at_ms(2));
    let action = machine.step(CommitEvent::ConnectionLost, at_ms(3));
    assert_eq!(action, CommitAction::Attempt);
    let position = Position::new(2, 12);
    let found = CommitEvent::RecordFound {
        position,
        same_statement: true,
    };
    assert_eq!(machine.step(found, at_ms(4)), CommitAction::Probe);
    let confirmed = view([position, position, position], at_ms(5));
    let action = machine.step(CommitEvent::View(&confirmed), at_ms(5));
    assert_eq!(
        action,
        CommitAction::Finish(CommitOutcome::Recorded { position })
    );
}

#[test]
fn a_keyed_write_is_attempted_in_the_log_of_a_newer_term() {
    let mut machine = committed(WriteKind::Keyed, Position::new(1, 10));
    let term_start = Position::new(2, 11);
    let newer_term = view([Position::new(1, 10), term_start, term_start], at_ms(4));
    let action = machine.step(CommitEvent::View(&newer_term), at_ms(4));
    assert_eq!(action, CommitAction::Attempt);
    // The rejection by the fence proves nothing about the first attempt.
    let action = machine.step(CommitEvent::Fenced, at_ms(5));
    let outcome = CommitOutcome::Unknown(Reason::CommitUnknown);
    assert_eq!(action, CommitAction::Finish(outcome));
}

#[test]
fn a_keyed_transaction_is_settled_after_its_commit_was_lost() {
    let mut machine = machine(WriteKind::KeyedTransaction);
    machine.step(CommitEvent::Started, at_ms(1));
    machine.step(CommitEvent::CommitSent, at_ms(2));
    let action = machine.step(CommitEvent::ConnectionLost, at_ms(3));
    assert_eq!(action, CommitAction::Settle);
    let position = Position::new(1, 20);
    machine.step(CommitEvent::KeyAbsent { position }, at_ms(4));
    let confirmed = view([position, position, position], at_ms(5));
    let action = machine.step(CommitEvent::View(&confirmed), at_ms(5));
    let outcome = CommitOutcome::NotRun(Reason::TransactionLost);
    assert_eq!(action, CommitAction::Finish(outcome));
}

#[test]
fn a_transaction_lost_before_its_commit_did_not_run() {
    let mut machine = machine(WriteKind::Transaction);
    machine.step(CommitEvent::Started, at_ms(1));
    let action = machine.step(CommitEvent::ConnectionLost, at_ms(2));
    let outcome = CommitOutcome::NotRun(Reason::TransactionLost);
    assert_eq!(action, CommitAction::Finish(outcome));
}

#[test]
fn a_write_without_records_needs_proof_that_the_server_was_the_primary() {
    let position = Position::new(1, 10);
    let mut current = machine(WriteKind::Unkeyed);
    current.step(CommitEvent::Started, at_ms(1));
    current.step(CommitEvent::CommittedWithoutWrite { position }, at_ms(3));
    let mut deposed = current.clone();

    let old = view([position; 3], at_ms(2));
    assert_eq!(
        current.step(CommitEvent::View(&old), at_ms(4)),
        CommitAction::Wait
    );
    let fresh = view([Position::new(1, 14); 3], at_ms(4));
    let action = current.step(CommitEvent::View(&fresh), at_ms(5));
    assert_eq!(
        action,
        CommitAction::Finish(CommitOutcome::Done { position })
    );

    let newer = view(
        [position, Position::new(2, 11), Position::new(2, 11)],
        at_ms(4),
    );
    let action = deposed.step(CommitEvent::View(&newer), at_ms(5));
    let outcome = CommitOutcome::NotRun(Reason::LostWithDeposedPrimary);
    assert_eq!(action, CommitAction::Finish(outcome));
}
