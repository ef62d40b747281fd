//! Servers that restart under their names, in a model of crashes, lost logs, moved addresses and
//! rows that arrive late, twice or corrupted. The oracle checks that no write runs on a log that
//! lacks an acknowledged write, that no read observes less than its floor, and that no incarnation
//! is promoted that has ended.
//!
//! Longer runs: `PROOF_SEED=7 PROOF_CASES=20000 cargo test -p spurpier-core --test incarnations`.

mod incarnation_model;
mod proof;

use std::net::SocketAddr;

use assert_matches::assert_matches;
use incarnation_model::{Breakage, Step, World, steps};
use nanoserde::{DeBin, SerBin};
use proof::{cases, config};
use proptest::prelude::*;
use proptest::test_runner::{Config, TestRunner};
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest, prop_state_machine};
use spurpier_core::directory::{
    Incarnation, Roster, RosterChange, RosterRow, RowContent, ServerEndpoint,
};
use spurpier_core::leader::Succession;
use spurpier_core::position::Position;
use spurpier_core::store_version::StoreVersion;
use spurpier_core::wire::encode_text;

const DEFAULT_CASES: u64 = 400;

/// Any step may follow any other; the world ignores steps that are impossible in its state.
struct AnyStep;

impl ReferenceStateMachine for AnyStep {
    type State = ();
    type Transition = Step;

    fn init_state() -> BoxedStrategy<()> {
        Just(()).boxed()
    }

    fn transitions((): &()) -> BoxedStrategy<Step> {
        steps().boxed()
    }

    fn apply((): (), _: &Step) {}
}

struct IncarnationModel;

impl StateMachineTest for IncarnationModel {
    type SystemUnderTest = World;
    type Reference = AnyStep;

    fn init_test((): &()) -> World {
        World::new(Breakage::None)
    }

    fn apply(mut world: World, (): &(), step: Step) -> World {
        world.apply(&step);
        assert_eq!(world.violation(), None);
        world
    }
}

prop_state_machine! {
    #![proptest_config(config(cases(DEFAULT_CASES)))]

    #[test]
    fn nothing_of_a_former_incarnation_is_believed(sequential 20..160 => IncarnationModel);
}

/// Whether the oracle detects that one mechanism is disabled.
fn is_detected(breakage: Breakage) -> bool {
    let mut runner = TestRunner::new(Config {
        max_shrink_iters: 0,
        ..config(20_000)
    });
    let cases = proptest::collection::vec(steps(), 20..160);
    let outcome = runner.run(&cases, |steps| {
        let mut world = World::new(breakage);
        for step in &steps {
            world.apply(step);
        }
        prop_assert!(world.violation().is_none());
        Ok(())
    });
    outcome.is_err()
}

#[test]
fn the_model_without_a_breakage_holds() {
    assert!(!is_detected(Breakage::None));
}

#[test]
fn merged_incarnations_are_detected() {
    assert!(is_detected(Breakage::MergedIncarnations));
}

#[test]
fn a_lost_log_without_a_position_check_is_detected() {
    assert!(is_detected(Breakage::NoPositionCheck));
}

#[test]
fn rows_without_versions_are_detected() {
    assert!(is_detected(Breakage::NoVersions));
}

#[test]
fn a_promotion_of_a_former_incarnation_is_detected() {
    assert!(is_detected(Breakage::PromotesFormerIncarnation));
}

fn endpoint(name: &str, started_ms: Option<u64>, port: u16) -> ServerEndpoint {
    ServerEndpoint {
        incarnation: Incarnation::new(name, started_ms),
        group: "group".to_owned(),
        address: SocketAddr::from(([10, 0, 0, 1], port)),
    }
}

fn row(version: u64, content: RowContent) -> RosterRow {
    RosterRow {
        key: "i-1".to_owned(),
        version: StoreVersion::from_bits(version),
        content,
    }
}

#[test]
fn another_start_or_address_replaces_the_former_endpoint() {
    let mut roster = Roster::default();
    let first = endpoint("i-1", Some(10), 1);
    let joined = roster.apply(row(1, RowContent::Server(first.clone())));
    assert_eq!(joined, RosterChange::Join(first.clone()));
    let unchanged = roster.apply(row(2, RowContent::Server(first.clone())));
    assert_eq!(unchanged, RosterChange::Update(first.clone()));
    // An earlier start time is another start too, since the clocks of servers may step.
    let second = endpoint("i-1", Some(9), 1);
    let restarted = roster.apply(row(3, RowContent::Server(second.clone())));
    assert_eq!(
        restarted,
        RosterChange::Restart {
            former: first,
            present: second.clone(),
        }
    );
    let moved = roster.apply(row(4, RowContent::Server(endpoint("i-1", Some(9), 2))));
    assert_matches!(moved, RosterChange::Restart { former, .. } => assert_eq!(former, second));
}

#[test]
fn a_late_row_does_not_restore_a_former_incarnation() {
    let mut roster = Roster::default();
    let first = endpoint("i-1", Some(10), 1);
    let second = endpoint("i-1", Some(20), 2);
    roster.apply(row(1, RowContent::Server(first.clone())));
    roster.apply(row(5, RowContent::Server(second.clone())));
    let late = roster.apply(row(1, RowContent::Server(first.clone())));
    assert_eq!(late, RosterChange::Nothing);
    roster.apply(row(6, RowContent::Removed));
    let late = roster.apply(row(5, RowContent::Server(second)));
    assert_eq!(late, RosterChange::Nothing, "also not after its removal");
}

#[test]
fn an_unusable_row_removes_only_its_own_server() {
    let mut roster = Roster::default();
    let other = endpoint("i-2", Some(10), 2);
    let other_row = RosterRow {
        key: "i-2".to_owned(),
        ..row(1, RowContent::Server(other.clone()))
    };
    roster.apply(other_row);
    let server = endpoint("i-1", Some(10), 1);
    roster.apply(row(2, RowContent::Server(server.clone())));
    let corrupted = roster.apply(row(3, RowContent::Unusable));
    assert_eq!(corrupted, RosterChange::Invalidate(server.clone()));
    assert_eq!(roster.endpoint("i-1"), None);
    assert_eq!(roster.endpoint("i-2"), Some(&other));
    let restored = roster.apply(row(4, RowContent::Server(server.clone())));
    assert_eq!(restored, RosterChange::Join(server));
}

#[test]
fn a_succession_names_one_incarnation_and_is_read_without_its_details() {
    let succession = Succession {
        token: 7,
        successor: Incarnation::new("i-1", Some(1_776_308_701_290)),
        received: Position::new(3, 1_207),
        deposed: Some(Incarnation::new("i-2", None)),
    };
    let read = Succession::deserialize_bin(&succession.serialize_bin());
    assert_eq!(read.expect("it is read"), succession);
    let mut without_details = 7_u64.serialize_bin();
    encode_text("i-1", &mut without_details);
    let read = Succession::deserialize_bin(&without_details).expect("it is read");
    assert_eq!(read.successor, Incarnation::new("i-1", None));
    assert_eq!(read.received, Position::ZERO);
    assert_eq!(read.deposed, None);
}
