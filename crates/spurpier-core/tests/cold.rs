//! Requests to a cold server, in a model with cuts, pauses, restarts, late, lost and doubled
//! messages, nodes that differ about who is there, and a server that turns cold again. The oracle
//! counts every sliding second.
//!
//! Longer rounds by hand: `PROOF_SEED=7 PROOF_CASES=20000 cargo test -p spurpier-core --test cold`.
//! The table of the ways: `cargo test -p spurpier-core --test cold ways -- --nocapture`.

mod cold_model;
mod proof;

use std::time::Duration;

use cold_model::{BOUND, Breakage, NODES, RATES, Step, Way, World, steps};
use proof::{cases, config};
use proptest::prelude::*;
use proptest::test_runner::TestRunner;
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest, prop_state_machine};
use spurpier_core::places::{ColdBound, Coldness, is_entry_outdated};
use spurpier_core::quota::{AcquireOutcome, Grant, PermitCache};
use spurpier_core::store_version::StoreVersion;
use spurpier_core::time::Timestamp;

const DEFAULT_CASES: u64 = 300;

/// Any step may follow any other.
struct AnyStep;

impl ReferenceStateMachine for AnyStep {
    type State = f64;
    type Transition = Step;

    fn init_state() -> BoxedStrategy<f64> {
        proptest::sample::select(RATES.to_vec()).boxed()
    }

    fn transitions(_: &f64) -> BoxedStrategy<Step> {
        steps().boxed()
    }

    fn apply(rate: f64, _: &Step) -> f64 {
        rate
    }
}

struct ColdServer;

impl StateMachineTest for ColdServer {
    type SystemUnderTest = World;
    type Reference = AnyStep;

    fn init_test(rate: &f64) -> World {
        World::new(Way::Leaves, *rate, Breakage::None)
    }

    fn apply(mut world: World, _: &f64, step: Step) -> World {
        world.apply(step);
        world
    }

    fn check_invariants(world: &World, _: &f64) {
        assert_eq!(world.broken_window(), None);
    }
}

prop_state_machine! {
    #![proptest_config(config(cases(DEFAULT_CASES)))]

    #[test]
    fn no_second_holds_more_than_its_bound(sequential 1..60 => ColdServer);
}

/// Whether random steps find a second that holds more than its bound.
fn is_noticed(way: Way, breakage: Breakage) -> bool {
    // With 300 cases of seed 11 leaves that do not end were not noticed.
    let mut runner = TestRunner::new(config(5_000));
    let cases = proptest::collection::vec(steps(), 1..60);
    let played = runner.run(&cases, |steps| {
        let mut world = World::new(way, RATES[1], breakage);
        steps.into_iter().for_each(|step| world.apply(step));
        prop_assert!(world.broken_window().is_none());
        Ok(())
    });
    played.is_err()
}

#[test]
fn the_model_notices_each_mechanism_that_is_taken_out() {
    for breakage in [
        Breakage::NoMajority,
        Breakage::OldEntries,
        Breakage::LastingLeaves,
    ] {
        assert!(is_noticed(Way::Leaves, breakage), "{breakage:?}");
    }
}

#[test]
fn the_other_ways_exceed_the_bound_when_lists_differ() {
    for way in [Way::FirstHome, Way::Shares] {
        assert!(is_noticed(way, Breakage::None), "{way:?}");
    }
}

/// Ten seconds of one situation: the fullest second, the share of the rate that was used, and how
/// long requests waited.
fn measure(way: Way, rate: f64, trouble: &[Step]) -> (usize, f64, Duration) {
    let mut world = World::new(way, rate, Breakage::None);
    world.apply(Step::Pass(50));
    trouble.iter().cloned().for_each(|step| world.apply(step));
    let before = world.sent();
    (0..10).for_each(|_| world.apply(Step::Pass(50)));
    let used = (world.sent() - before) as f64 / (rate * 10.0);
    (world.fullest_window(), used, world.mean_wait())
}

#[test]
fn ways_compared() {
    let half = [
        Step::Cut(0b0_0011),
        Step::Believe(0, 0b0_0011),
        Step::Believe(1, 0b0_0011),
        Step::Believe(2, 0b1_1100),
        Step::Believe(3, 0b1_1100),
        Step::Believe(4, 0b1_1100),
    ];
    let late = [Step::Believe(3, 0b1_1000), Step::Believe(4, 0b1_1000)];
    let lone = [Step::Freeze(1, true), Step::Freeze(2, true)];
    let situations: [(&str, &[Step]); 4] = [
        ("calm", &[]),
        ("cut", &half),
        ("lists differ", &late),
        ("two stand still", &lone),
    ];
    println!("| situation | rate | way | fullest second / bound | share of the rate | wait ms |");
    for (name, trouble) in situations {
        for rate in RATES {
            for way in [Way::Leaves, Way::FirstHome, Way::Shares] {
                let (fullest, used, wait) = measure(way, rate, trouble);
                let most = BOUND.most(rate);
                let wait = wait.as_millis();
                println!("| {name} | {rate} | {way:?} | {fullest} / {most} | {used:.2} | {wait} |");
                if way == Way::Leaves {
                    assert!(fullest as f64 <= most, "{name} {rate}");
                    assert!(used >= 0.75, "{name} {rate}: {used}");
                }
            }
        }
    }
}

#[test]
fn a_whole_cut_in_three_parts_serves_little_and_exceeds_nothing() {
    let mut world = World::new(Way::Leaves, RATES[1], Breakage::None);
    world.apply(Step::Pass(50));
    for node in 0..NODES {
        world.apply(Step::Believe(node, 1 << node));
    }
    world.apply(Step::Pass(250));
    assert_eq!(world.broken_window(), None);
}

#[test]
fn a_newer_entry_turns_a_server_cold_again_and_one_told_again_does_not() {
    let start = Timestamp::from_millis(10_000);
    let second = Duration::from_secs(1);
    let mut coldness = Coldness::default();
    assert!(!coldness.is_cold(start));
    coldness.note_entry(second * 3, StoreVersion::from_bits(5), start);
    assert!(coldness.is_cold(start + second * 2));
    coldness.note_entry(second * 3, StoreVersion::from_bits(5), start + second * 2);
    assert!(!coldness.is_cold(start + second * 3));
    coldness.note_entry(
        Duration::ZERO,
        StoreVersion::from_bits(6),
        start + second * 3,
    );
    coldness.note_entry(second * 3, StoreVersion::from_bits(4), start + second * 3);
    assert!(!coldness.is_cold(start + second * 3));
    coldness.note_entry(second * 3, StoreVersion::from_bits(7), start + second * 4);
    assert!(coldness.is_cold(start + second * 6));
    assert_eq!(coldness.until(), start + second * 7);
}

#[test]
fn servers_of_a_zone_taken_back_wait_for_entries_as_new_as_that() {
    assert!(!is_entry_outdated(None, StoreVersion::from_bits(0)));
    assert!(is_entry_outdated(
        Some(StoreVersion::from_bits(8)),
        StoreVersion::from_bits(7)
    ));
    assert!(!is_entry_outdated(
        Some(StoreVersion::from_bits(8)),
        StoreVersion::from_bits(8)
    ));
}

#[test]
fn a_pause_is_known_without_taking_a_leave() {
    let now = Timestamp::from_millis(10_000);
    let retry_after = Duration::from_millis(80);
    let mut ledger = PermitCache::default();
    assert_eq!(ledger.limited_for("server", now), None);
    let leaves = ledger.record_grant(
        "server",
        Grant {
            permits: 1,
            retry_after,
        },
        2,
        now,
        now,
    );
    assert_eq!(
        ledger.limited_for("server", now + retry_after / 2),
        Some(retry_after / 2)
    );
    ledger.return_unused("server", leaves[0], now);
    assert_eq!(ledger.limited_for("server", now), None);
    assert_eq!(
        ledger.acquire("server", now),
        AcquireOutcome::Permit(leaves[0])
    );
    assert_eq!(ledger.limited_for("server", now), Some(retry_after));
    assert_eq!(ledger.limited_for("server", now + retry_after), None);
}

#[test]
fn a_bound_below_one_request_lets_none_pass() {
    let bound = |overage, slack| ColdBound { overage, slack };
    assert_eq!(bound(1.5, 0.0).rate(0.5), None);
    let rate = bound(1.5, 5.0).rate(20.0).expect("allowed");
    assert!(rate.per_second >= 20.0 * 0.85);
    assert!(rate.per_second + rate.burst <= 33.0);
    // Never more than the bound, also where the factor is small.
    let rate = bound(0.5, 1.0).rate(20.0).expect("allowed");
    assert!(rate.per_second + rate.burst <= 11.0);
}
