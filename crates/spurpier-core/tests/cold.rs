//! Requests to a cold server, in a model with network partitions, frozen nodes, restarts, delayed,
//! lost and duplicated messages, differing node lists, and a server that turns cold again. The
//! oracle counts the requests in every sliding window of one second.
//!
//! Longer runs: `PROOF_SEED=7 PROOF_CASES=20000 cargo test -p spurpier-core --test cold`.
//! Comparison: `cargo test -p spurpier-core --test cold limit_methods -- --nocapture`.

mod cold_model;
mod proof;

use std::time::Duration;

use cold_model::{BOUND, Breakage, LimitMethod, NODES, RATES, Step, World, steps};
use proof::{cases, config};
use proptest::prelude::*;
use proptest::test_runner::TestRunner;
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest, prop_state_machine};
use spurpier_core::locality::{ColdBound, ColdState, is_entry_outdated};
use spurpier_core::quota::{AcquireOutcome, Grant, PermitCache};
use spurpier_core::store_version::StoreVersion;
use spurpier_core::time::Timestamp;

const DEFAULT_CASES: u64 = 300;

/// A reference model in which any step may follow any other; its state is the group's rate.
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
        World::new(LimitMethod::Permits, *rate, Breakage::None)
    }

    fn apply(mut world: World, _: &f64, step: Step) -> World {
        world.apply(step);
        world
    }

    fn check_invariants(world: &World, _: &f64) {
        assert_eq!(world.violated_window(), None);
    }
}

prop_state_machine! {
    #![proptest_config(config(cases(DEFAULT_CASES)))]

    #[test]
    fn no_window_exceeds_the_request_limit(sequential 1..60 => ColdServer);
}

/// Whether random steps find a window with more requests than the limit.
fn finds_violation(method: LimitMethod, breakage: Breakage) -> bool {
    // 300 cases with seed 11 did not detect permits that never expire.
    let mut runner = TestRunner::new(config(5_000));
    let cases = proptest::collection::vec(steps(), 1..60);
    let played = runner.run(&cases, |steps| {
        let mut world = World::new(method, RATES[1], breakage);
        steps.into_iter().for_each(|step| world.apply(step));
        prop_assert!(world.violated_window().is_none());
        Ok(())
    });
    played.is_err()
}

#[test]
fn removing_any_mechanism_is_detected() {
    for breakage in [
        Breakage::NoMajority,
        Breakage::OutdatedEntries,
        Breakage::NonExpiringPermits,
    ] {
        assert!(
            finds_violation(LimitMethod::Permits, breakage),
            "{breakage:?}"
        );
    }
}

#[test]
fn other_methods_exceed_the_limit_when_node_lists_differ() {
    for method in [LimitMethod::Forwarding, LimitMethod::EqualShares] {
        assert!(finds_violation(method, Breakage::None), "{method:?}");
    }
}

/// Runs one scenario for ten seconds. Returns the highest number of requests in a window, the share
/// of the rate that was used, and the mean waiting time of requests.
fn measure(method: LimitMethod, rate: f64, disruptions: &[Step]) -> (usize, f64, Duration) {
    let mut world = World::new(method, rate, Breakage::None);
    world.apply(Step::Advance(50));
    disruptions
        .iter()
        .cloned()
        .for_each(|step| world.apply(step));
    let before = world.sent();
    (0..10).for_each(|_| world.apply(Step::Advance(50)));
    let used = (world.sent() - before) as f64 / (rate * 10.0);
    (world.max_window_requests(), used, world.mean_wait())
}

#[test]
fn limit_methods_compared() {
    let partition = [
        Step::Cut(0b0_0011),
        Step::SetReachable(0, 0b0_0011),
        Step::SetReachable(1, 0b0_0011),
        Step::SetReachable(2, 0b1_1100),
        Step::SetReachable(3, 0b1_1100),
        Step::SetReachable(4, 0b1_1100),
    ];
    let differing_lists = [
        Step::SetReachable(3, 0b1_1000),
        Step::SetReachable(4, 0b1_1000),
    ];
    let two_frozen = [Step::Freeze(1, true), Step::Freeze(2, true)];
    let scenarios: [(&str, &[Step]); 4] = [
        ("calm", &[]),
        ("partition", &partition),
        ("lists differ", &differing_lists),
        ("two frozen", &two_frozen),
    ];
    println!("| scenario | rate | method | highest count / limit | share of the rate | wait ms |");
    for (name, disruptions) in scenarios {
        for rate in RATES {
            for method in [
                LimitMethod::Permits,
                LimitMethod::Forwarding,
                LimitMethod::EqualShares,
            ] {
                let (highest, used, wait) = measure(method, rate, disruptions);
                let limit = BOUND.max_requests(rate);
                let wait = wait.as_millis();
                println!(
                    "| {name} | {rate} | {method:?} | {highest} / {limit} | {used:.2} | {wait} |"
                );
                if method == LimitMethod::Permits {
                    assert!(highest as f64 <= limit, "{name} {rate}");
                    assert!(used >= 0.75, "{name} {rate}: {used}");
                }
            }
        }
    }
}

#[test]
fn isolated_nodes_do_not_exceed_the_limit() {
    let mut world = World::new(LimitMethod::Permits, RATES[1], Breakage::None);
    world.apply(Step::Advance(50));
    for node in 0..NODES {
        world.apply(Step::SetReachable(node, 1 << node));
    }
    world.apply(Step::Advance(250));
    assert_eq!(world.violated_window(), None);
}

#[test]
fn only_a_newer_entry_turns_a_server_cold_again() {
    let start = Timestamp::from_millis(10_000);
    let second = Duration::from_secs(1);
    let mut coldness = ColdState::default();
    assert!(!coldness.is_cold(start));
    coldness.record_entry(second * 3, StoreVersion::from_bits(5), start);
    assert!(coldness.is_cold(start + second * 2));
    coldness.record_entry(second * 3, StoreVersion::from_bits(5), start + second * 2);
    assert!(!coldness.is_cold(start + second * 3));
    coldness.record_entry(
        Duration::ZERO,
        StoreVersion::from_bits(6),
        start + second * 3,
    );
    coldness.record_entry(second * 3, StoreVersion::from_bits(4), start + second * 3);
    assert!(!coldness.is_cold(start + second * 3));
    coldness.record_entry(second * 3, StoreVersion::from_bits(7), start + second * 4);
    assert!(coldness.is_cold(start + second * 6));
    assert_eq!(coldness.until(), start + second * 7);
}

#[test]
fn servers_of_a_reopened_zone_wait_for_entries_as_new_as_the_reopening() {
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
fn a_retry_delay_is_known_without_acquiring_a_permit() {
    let now = Timestamp::from_millis(10_000);
    let retry_after = Duration::from_millis(80);
    let mut permit_cache = PermitCache::default();
    assert_eq!(permit_cache.limited_for("server", now), None);
    let permits = permit_cache.record_grant(
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
        permit_cache.limited_for("server", now + retry_after / 2),
        Some(retry_after / 2)
    );
    permit_cache.return_unused("server", permits[0], now);
    assert_eq!(permit_cache.limited_for("server", now), None);
    assert_eq!(
        permit_cache.acquire("server", now),
        AcquireOutcome::Permit(permits[0])
    );
    assert_eq!(permit_cache.limited_for("server", now), Some(retry_after));
    assert_eq!(permit_cache.limited_for("server", now + retry_after), None);
}

#[test]
fn a_limit_below_one_request_allows_none() {
    let bound = |overage, slack| ColdBound { overage, slack };
    assert_eq!(bound(1.5, 0.0).authority_rate(0.5), None);
    let rate = bound(1.5, 5.0).authority_rate(20.0).expect("allowed");
    assert!(rate.per_second >= 20.0 * 0.85);
    assert!(rate.per_second + rate.burst <= 33.0);
    // The limit also applies with a small factor.
    let rate = bound(0.5, 1.0).authority_rate(20.0).expect("allowed");
    assert!(rate.per_second + rate.burst <= 11.0);
}
