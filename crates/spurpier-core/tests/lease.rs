//! Leases to use a lead, and the rounds that wait for them, in a model with cuts, pauses, restarts
//! and late answers. The oracle: nobody believes a server that another one has replaced.
//!
//! Longer rounds by hand: `PROOF_SEED=7 PROOF_CASES=20000 cargo test -p spurpier-core --test lease`.

mod lease_model;

use std::time::Duration;

use lease_model::{Breakage, Step, World, steps};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed, TestRunner};
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest, prop_state_machine};
use spurpier_core::lead::{
    LEASE_MARGIN, LONGEST_LEASE, LeaseEvidence, ORDER_WINDOW, RoundState, STORE_LEASE, YieldRound,
    blocking, majority,
};
use spurpier_core::time::Timestamp;

const DEFAULT_SEED: u64 = 1;
const DEFAULT_CASES: u64 = 400;

fn number_from(variable: &str, default: u64) -> u64 {
    let text = std::env::var(variable).ok();
    text.map_or(default, |text| text.parse().expect("a number"))
}

fn config(cases: u64) -> Config {
    Config {
        cases: u32::try_from(cases).expect("few cases"),
        rng_seed: RngSeed::Fixed(number_from("PROOF_SEED", DEFAULT_SEED)),
        failure_persistence: None,
        max_shrink_iters: 2_000,
        ..Config::default()
    }
}

/// Any step may follow any other; the world passes over those that cannot happen.
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

struct Leases;

impl StateMachineTest for Leases {
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
    #![proptest_config(config(number_from("PROOF_CASES", DEFAULT_CASES)))]

    #[test]
    fn nobody_believes_a_replaced_primary(sequential 20..160 => Leases);
}

/// Whether the oracle notices a world in which one mechanism is taken out.
fn is_noticed(breakage: Breakage) -> bool {
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
fn each_mechanism_that_is_taken_out_is_noticed() {
    for breakage in Breakage::COMMON {
        assert!(is_noticed(breakage), "{breakage:?}");
    }
}

/// A user of the old primary that reaches neither the store nor the deciding node asks the one
/// voter that it reaches, which has yielded. Too rare a sequence for random steps.
fn play_renewal(breakage: Breakage, voter_starts_again: bool) -> World {
    const DECIDING: usize = 0;
    const VOTER: usize = 1;
    const USER: usize = 2;
    let mut steps = vec![
        Step::Pass(50),
        Step::StoreTells(VOTER),
        Step::ReadStore(VOTER),
        Step::StoreTells(USER),
        Step::ReadStore(USER),
        Step::StoreReachedBy(1 << DECIDING),
        Step::Cut(1 << USER),
        Step::Decide(DECIDING),
        Step::AskYields(DECIDING),
        Step::Cut(1 << DECIDING),
        Step::Pass(50),
    ];
    if voter_starts_again {
        steps.push(Step::Restart(VOTER, USER));
    }
    for pause in [2_500, 1_800] {
        steps.push(Step::Pass(pause));
        steps.push(Step::AskVoters(USER));
        steps.push(Step::ReadVoters(USER));
    }
    let order = [
        Step::Proceed(DECIDING),
        Step::Proceed(DECIDING),
        Step::CarryOut(DECIDING),
    ];
    steps.extend(order);
    let mut world = World::new(breakage);
    steps.iter().for_each(|step| world.apply(step));
    assert!(world.is_ordered(), "the steps lead to an order");
    world
}

#[test]
fn a_voter_renews_no_lease_of_a_node_that_lacks_what_it_has_yielded_to() {
    assert_eq!(play_renewal(Breakage::None, false).violation(), None);
    let broken = play_renewal(Breakage::BlindVoters, false);
    assert!(broken.violation().is_some());
}

#[test]
fn a_voter_that_started_again_renews_nothing_before_the_store_has_told_it() {
    assert_eq!(play_renewal(Breakage::None, true).violation(), None);
    let broken = play_renewal(Breakage::ForgetfulVoters, true);
    assert!(broken.violation().is_some());
}

fn at(millis: u64) -> Timestamp {
    Timestamp::from_millis(millis)
}

const SENT: Timestamp = Timestamp::from_millis(100_000);
const STORED: Timestamp = Timestamp::from_millis(100_010);

fn round(listed: &[&str], voters: &[&str]) -> YieldRound {
    let names = |names: &[&str]| -> Vec<String> { names.iter().map(|&name| name.into()).collect() };
    YieldRound::new(7, SENT, STORED, "a", names(listed), names(voters))
}

#[test]
fn a_round_in_which_all_have_yielded_orders_at_once() {
    let mut round = round(&["b", "c"], &["a", "b", "c"]);
    let soon = STORED + Duration::from_millis(30);
    assert_eq!(round.state(7, soon), RoundState::Await);
    round.note_yielded("b", 7, soon);
    round.note_yielded("c", 6, soon);
    assert_eq!(
        round.state(7, soon),
        RoundState::Await,
        "c knows only an older one"
    );
    round.note_yielded("c", 9, soon);
    assert_eq!(round.state(7, soon), RoundState::Order);
    assert_eq!(round.state(8, soon), RoundState::Void);
    let late = SENT + ORDER_WINDOW;
    assert_eq!(round.state(7, late), RoundState::Verify);
    round.note_verified(late);
    assert_eq!(round.state(7, late), RoundState::Order);
}

#[test]
fn a_silent_node_is_waited_for_until_its_lease_has_ended() {
    let mut with_majority = round(&["b", "c"], &["a", "b", "c"]);
    with_majority.note_yielded("b", 7, STORED);
    let end = STORED + STORE_LEASE + LEASE_MARGIN;
    let before = end.before(Duration::from_millis(1));
    assert_eq!(with_majority.state(7, before), RoundState::Await);
    assert_eq!(with_majority.state(7, end), RoundState::Verify);
    let alone = round(&["b", "c"], &["a", "b", "c"]);
    assert_eq!(alone.state(7, end), RoundState::Await, "b and c may renew");
    let longest = STORED + LONGEST_LEASE + LEASE_MARGIN;
    assert_eq!(alone.state(7, longest), RoundState::Verify);
}

#[test]
fn a_primary_that_stepped_down_is_waited_for_by_nobody() {
    let mut round = round(&["b", "c"], &["a", "b", "c"]);
    round.await_nobody();
    assert_eq!(round.state(7, STORED), RoundState::Order);
}

#[test]
fn a_lease_is_as_old_as_the_stores_news_or_a_majoritys_word() {
    let evidence = |told: Option<u64>, confirmed: Option<u64>| LeaseEvidence {
        told_at: told.map(at),
        confirmed_at: confirmed.map(at),
    };
    assert!(!evidence(None, Some(1_000)).holds(at(1_000)));
    assert!(evidence(Some(1_000), None).holds(at(3_999)));
    assert!(!evidence(Some(1_000), None).holds(at(4_000)));
    assert!(evidence(Some(1_000), Some(3_000)).holds(at(5_999)));
    assert!(!evidence(Some(1_000), Some(3_000)).holds(at(6_000)));
    assert!(evidence(Some(1_000), Some(10_500)).holds(at(10_999)));
    assert!(!evidence(Some(1_000), Some(10_500)).holds(at(11_000)));
}

#[test]
fn a_majority_and_those_that_block_it_always_meet() {
    for voters in 1..40 {
        assert!(majority(voters) * 2 > voters);
        assert_eq!(majority(voters) + blocking(voters), voters + 1);
    }
    assert_eq!(
        blocking(0),
        1,
        "without voters nobody can say that it blocks"
    );
}
