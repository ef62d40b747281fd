//! Leader leases, and the rounds that wait for their release, in a model with partitions, delays,
//! restarts and late answers. The oracle checks that no node believes a server that another one has
//! replaced.
//!
//! Longer runs: `PROOF_SEED=7 PROOF_CASES=20000 cargo test -p spurpier-core --test lease`.

mod lease_model;
mod proof;

use std::time::Duration;

use lease_model::{Breakage, Step, World, steps};
use proof::{cases, config};
use proptest::prelude::*;
use proptest::test_runner::{Config, TestRunner};
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest, prop_state_machine};
use spurpier_core::leader::{
    LEADER_LEASE, LEADER_LEASE_MARGIN, LeaseReleaseRound, PROMOTION_WINDOW, RoundState,
    holds_leader_lease,
};
use spurpier_core::time::Timestamp;

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

struct LeaseModel;

impl StateMachineTest for LeaseModel {
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
    fn no_node_believes_a_replaced_primary(sequential 20..160 => LeaseModel);
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
fn each_common_breakage_is_detected() {
    for breakage in Breakage::COMMON {
        assert!(is_detected(breakage), "{breakage:?}");
    }
}

/// A sequence too rare for random steps: a node releases its lease, restarts, and copies the table
/// from another node, which does not yet know the succession and releases its own lease later.
#[test]
fn a_restarted_node_uses_no_leader_before_the_store_reports_to_it() {
    const DECIDING: usize = 0;
    const RESTARTED: usize = 1;
    const REPORTING: usize = 2;
    let steps = [
        Step::Advance(50),
        Step::Partition(1 << REPORTING),
        Step::Decide(DECIDING),
        Step::RequestReleases(DECIDING),
        Step::Partition(0),
        Step::Restart(RESTARTED, REPORTING),
        Step::Partition(1 << RESTARTED),
        Step::RequestReleases(DECIDING),
        Step::Proceed(DECIDING),
        Step::CompletePromotion(DECIDING),
    ];
    let run = |breakage| {
        let mut world = World::new(breakage);
        steps.iter().for_each(|step| world.apply(step));
        assert!(world.is_promoted(), "the steps lead to a promotion");
        world.violation().is_some()
    };
    assert!(!run(Breakage::None));
    assert!(run(Breakage::LeaseFromPeer));
}

/// Another sequence too rare for random steps: a node registers again after the deciding node has
/// read the list.
#[test]
fn a_decision_waits_for_a_node_that_has_just_registered() {
    const DECIDING: usize = 0;
    const REGISTERED: usize = 1;
    const NO_HOLDER: usize = 2;
    let steps = [
        Step::Unregister(NO_HOLDER),
        Step::Unregister(REGISTERED),
        Step::StoreReports(DECIDING),
        Step::ReadStore(DECIDING),
        Step::StoreReports(REGISTERED),
        Step::ReadStore(REGISTERED),
        Step::Register(REGISTERED),
        Step::StoreReports(REGISTERED),
        Step::ReadStore(REGISTERED),
        Step::Decide(DECIDING),
        Step::Proceed(DECIDING),
        Step::CompletePromotion(DECIDING),
    ];
    let run = |breakage| {
        let mut world = World::new(breakage);
        steps.iter().for_each(|step| world.apply(step));
        world.violation().is_some()
    };
    assert!(!run(Breakage::None));
    assert!(run(Breakage::StaleHolders));
}

fn at(millis: u64) -> Timestamp {
    Timestamp::from_millis(millis)
}

const SENT: Timestamp = Timestamp::from_millis(100_000);
const STORED: Timestamp = Timestamp::from_millis(100_010);

fn round(others: &[&str]) -> LeaseReleaseRound {
    let others = others.iter().map(|&name| name.to_owned());
    LeaseReleaseRound::new(7, SENT, STORED, others)
}

#[test]
fn a_round_in_which_all_nodes_have_released_promotes_immediately() {
    let mut round = round(&["b", "c"]);
    let soon = STORED + Duration::from_millis(30);
    assert_eq!(round.state(7, soon), RoundState::Wait);
    round.record_release("b", 7);
    round.record_release("c", 6);
    assert_eq!(
        round.state(7, soon),
        RoundState::Wait,
        "c knows only an older one"
    );
    round.record_release("c", 9);
    assert_eq!(round.state(7, soon), RoundState::Promote);
    assert_eq!(round.state(8, soon), RoundState::Superseded);
    let late = SENT + PROMOTION_WINDOW;
    assert_eq!(round.state(7, late), RoundState::Verify);
    round.record_verification(late);
    assert_eq!(round.state(7, late), RoundState::Promote);
}

#[test]
fn a_round_waits_for_an_unresponsive_node_until_its_lease_has_expired() {
    let mut round = round(&["b", "c"]);
    round.record_release("b", 7);
    let end = STORED + LEADER_LEASE + LEADER_LEASE_MARGIN;
    let before = end.saturating_sub(Duration::from_millis(1));
    assert_eq!(round.state(7, before), RoundState::Wait);
    assert_eq!(round.state(7, end), RoundState::Verify);
}

#[test]
fn a_round_does_not_wait_after_the_primary_has_stepped_down() {
    let mut round = round(&["b", "c"]);
    round.clear_pending();
    assert_eq!(round.state(7, STORED), RoundState::Promote);
}

#[test]
fn a_lease_expires_with_the_stores_last_report() {
    assert!(!holds_leader_lease(None, at(1_000)));
    assert!(holds_leader_lease(Some(at(1_000)), at(10_999)));
    assert!(!holds_leader_lease(Some(at(1_000)), at(11_000)));
}
