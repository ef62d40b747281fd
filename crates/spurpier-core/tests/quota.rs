//! Tests that tenants' operations stay within their bounds, in a model with partitions, frozen and
//! restarted nodes, late and lost messages, nodes that are wrong about which nodes they can reach,
//! and limits that change. The oracle checks every sliding window.
//!
//! Longer runs by hand: `PROOF_SEED=7 PROOF_CASES=20000 cargo test -p spurpier-core --test quota`.

mod proof;
mod quota_model;

use std::time::Duration;

use proof::{cases, config};
use proptest::prelude::*;
use proptest::test_runner::TestRunner;
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest, prop_state_machine};
use quota_model::{BOUND, Breakage, NODES, RATES, Step, World, ZONES, steps};
use spurpier_core::quota::{
    AcquireOutcome, AuthoritySelector, AuthorityTimestamp, Budget, Grant, NodeLocality, PERMIT_TTL,
    PermitCache, QuotaRate, TokenBucket, VOTE_TTL, ZonePosition, select_diverse_nodes,
};
use spurpier_core::time::Timestamp;

const DEFAULT_CASES: u64 = 300;

/// The reference of the state machine test: any step may follow any other.
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

struct QuotaTest;

impl StateMachineTest for QuotaTest {
    type SystemUnderTest = World;
    type Reference = AnyStep;

    fn init_test((): &()) -> World {
        World::new(Breakage::None)
    }

    fn apply(mut world: World, (): &(), step: Step) -> World {
        world.apply(step);
        world
    }

    fn check_invariants(world: &World, (): &()) {
        assert_eq!(world.violated_window(), None);
    }
}

prop_state_machine! {
    #![proptest_config(config(cases(DEFAULT_CASES)))]

    #[test]
    fn no_window_exceeds_its_bound(sequential 1..60 => QuotaTest);
}

/// Whether random steps find a window that exceeds its bound.
fn is_detected(breakage: Breakage) -> bool {
    let mut runner = TestRunner::new(config(400));
    let cases = proptest::collection::vec(steps(), 1..60);
    let result = runner.run(&cases, |steps| {
        let mut world = World::new(breakage);
        steps.into_iter().for_each(|step| world.apply(step));
        prop_assert!(world.violated_window().is_none());
        Ok(())
    });
    result.is_err()
}

#[test]
fn the_model_detects_each_disabled_mechanism() {
    for breakage in Breakage::FOUND_BY_RANDOM_STEPS {
        assert!(is_detected(breakage), "{breakage:?}");
    }
}

/// All nodes change between two authorities faster than their votes expire.
#[test]
fn alternating_authorities_grant_no_more_than_one() {
    let mut world = World::new(Breakage::None);
    world.apply(Step::Demand(12));
    for turn in 0..40 {
        for node in 0..NODES {
            world.apply(Step::SetReachable(node, 1 << (turn % 2)));
        }
        world.apply(Step::Advance(6));
    }
    assert_eq!(world.violated_window(), None);
}

#[test]
fn another_authority_is_selected_once_the_previous_vote_expires() {
    let requested_at = Timestamp::from_millis(10_000);
    let mut selector = AuthoritySelector::new(VOTE_TTL);
    assert_eq!(selector.select(&["n0", "n1"], requested_at), Some("n0"));
    selector.record_request(requested_at);
    let before = (requested_at + VOTE_TTL).saturating_sub(Duration::from_millis(1));
    assert_eq!(selector.select(&["n1"], before), None);
    assert_eq!(selector.select(&["n0", "n1"], before), Some("n0"));
    assert_eq!(
        selector.select(&["n1"], requested_at + VOTE_TTL),
        Some("n1")
    );
    // An authority that stops grants nothing more, so votes for it are void.
    selector.record_request(requested_at + VOTE_TTL);
    selector.record_departure("n1");
    assert_eq!(
        selector.select(&["n2"], requested_at + VOTE_TTL),
        Some("n2")
    );
}

#[test]
fn a_node_keeps_an_authority_with_a_majority_and_leaves_one_without() {
    let start = Timestamp::from_millis(10_000);
    let timestamp = AuthorityTimestamp {
        incarnation: 1,
        at: start,
    };
    let mut selector = AuthoritySelector::new(VOTE_TTL);
    assert_eq!(selector.select(&["n1"], start), Some("n1"));
    selector.record_response("n1", true, timestamp, start);
    let later = start + VOTE_TTL;
    assert_eq!(selector.select(&["n0", "n1"], later), Some("n1"));
    selector.record_response("n1", false, timestamp, later);
    assert_eq!(selector.select(&["n0", "n1"], later), Some("n0"));
    // A majority of the nodes may have kept the second one.
    selector.record_response("n0", false, timestamp, later);
    assert_eq!(selector.select(&["n0", "n1"], later), Some("n0"));
    let after_timeout = later + Duration::from_secs(2);
    assert_eq!(selector.select(&["n0", "n1"], after_timeout), Some("n1"));
}

#[test]
fn late_permits_are_not_used() {
    let requested_at = Timestamp::from_millis(10_000);
    let grant = Grant {
        permits: 2,
        retry_after: Duration::from_millis(50),
    };
    let mut permit_cache = PermitCache::default();
    let in_time = (requested_at + PERMIT_TTL).saturating_sub(Duration::from_millis(1));
    let permits = permit_cache.record_grant("t", grant, 2, requested_at, in_time);
    assert_eq!(permits.len(), 2);
    let late = requested_at + PERMIT_TTL;
    assert_eq!(
        permit_cache.record_grant("t", grant, 2, requested_at, late),
        []
    );
    // The permit of an operation that did not run is used again until it expires.
    permit_cache.return_unused("t", permits[0], in_time);
    permit_cache.return_unused("t", permits[1], in_time);
    assert_eq!(
        permit_cache.acquire("t", in_time),
        AcquireOutcome::Permit(permits[0])
    );
    assert_eq!(
        permit_cache.acquire("t", late),
        AcquireOutcome::AskAuthority
    );
}

#[test]
fn a_limited_tenant_is_refused_locally_until_the_retry_delay_ends() {
    let now = Timestamp::from_millis(10_000);
    let retry_after = Duration::from_millis(80);
    let grant = Grant {
        permits: 1,
        retry_after,
    };
    let mut permit_cache = PermitCache::default();
    assert_eq!(permit_cache.acquire("t", now), AcquireOutcome::AskAuthority);
    assert_eq!(permit_cache.record_grant("t", grant, 3, now, now).len(), 1);
    let half = now + retry_after / 2;
    assert_eq!(
        permit_cache.acquire("t", half),
        AcquireOutcome::Limited(retry_after / 2)
    );
    assert_eq!(
        permit_cache.acquire("other", half),
        AcquireOutcome::AskAuthority
    );
    assert_eq!(
        permit_cache.acquire("t", now + retry_after),
        AcquireOutcome::AskAuthority
    );
}

/// Requests take three seconds to reach one authority while a majority of the nodes votes for
/// another one. If votes counted from their arrival, both authorities would have a majority.
#[test]
fn delayed_requests_do_not_count_as_votes() {
    let run = |breakage| {
        let mut world = World::new(breakage);
        world.apply(Step::Demand(12));
        world.apply(Step::Advance(40));
        // Only votes are in transit.
        world.apply(Step::Demand(0));
        world.apply(Step::Delay(3_000));
        world.apply(Step::Advance(59));
        world.apply(Step::Delay(20));
        world.apply(Step::Demand(12));
        for node in 2..NODES {
            world.apply(Step::SetReachable(node, 0b1_1110));
        }
        world.apply(Step::Advance(120));
        world.violated_window()
    };
    assert_eq!(run(Breakage::None), None);
    assert!(run(Breakage::StaleVotes).is_some());
}

/// Without faults, a tenant with far more operations than its limit is served at least 95% of the
/// limit.
#[test]
fn an_overloaded_tenant_is_served_nearly_its_whole_limit() {
    for (index, rate) in [(0, 200.0), (1, 40.0), (2, 8.0)] {
        let mut world = World::new(Breakage::None);
        world.apply(Step::Limit(index));
        world.apply(Step::Demand(12));
        let before = world.arrived();
        let seconds = 30;
        (0..seconds).for_each(|_| world.apply(Step::Advance(20)));
        let served = (world.arrived() - before) as f64;
        let limit = rate * f64::from(seconds);
        assert!(served >= limit * 0.95, "{served} of {limit}");
        assert_eq!(world.violated_window(), None);
    }
}

/// The nodes of the zone that is partitioned from the others.
const ISOLATED_ZONE: u8 = ZONES[1];

/// Partitions the second zone from the others; all nodes know which ones they can still reach.
fn isolate_zone(world: &mut World) {
    world.apply(Step::Partition(ISOLATED_ZONE));
    for node in 0..NODES {
        let is_isolated = (ISOLATED_ZONE >> node) & 1 == 1;
        world.apply(Step::SetReachable(
            node,
            if is_isolated {
                ISOLATED_ZONE
            } else {
                !ISOLATED_ZONE
            },
        ));
    }
}

fn advance_seconds(world: &mut World, seconds: u8) {
    (0..seconds).for_each(|_| world.apply(Step::Advance(20)));
}

/// For a tenant beyond its limit, the nodes of a zone serve the zone's reserve in each of the two
/// windows that begin within 8 s of a partition. Dividing the slack by votes among all authorities
/// without a majority, instead of by zones, served only 3 operations with the largest limit and
/// none with the others.
#[test]
fn a_partitioned_zone_serves_its_reserve() {
    for (limit, rate) in RATES.iter().enumerate() {
        let mut world = World::new(Breakage::None);
        world.apply(Step::Limit(limit));
        advance_seconds(&mut world, 10);
        let before = world.started_by(ISOLATED_ZONE);
        isolate_zone(&mut world);
        advance_seconds(&mut world, 8);
        let served = world.started_by(ISOLATED_ZONE) - before;
        assert!(served >= 18, "{served} with {rate:?}");
        assert_eq!(world.violated_window(), None);
    }
}

/// Whether a window exceeds its bound after a partition of the zones followed by `then`.
fn is_violated_in_partition(breakage: Breakage, then: impl Fn(&mut World)) -> bool {
    let mut world = World::new(breakage);
    world.apply(Step::Limit(4));
    advance_seconds(&mut world, 10);
    isolate_zone(&mut world);
    then(&mut world);
    advance_seconds(&mut world, 20);
    world.violated_window().is_some()
}

#[test]
fn isolated_nodes_do_not_use_their_zones_reserve() {
    let isolate = |world: &mut World| {
        (0..NODES).for_each(|node| world.apply(Step::SetReachable(node, 1 << node)));
    };
    assert!(!is_violated_in_partition(Breakage::None, isolate));
    assert!(is_violated_in_partition(Breakage::ZoneMajority, isolate));
}

/// No authority has the votes of a majority of all nodes, and each zone uses its own reserve.
#[test]
fn partitioned_zones_use_no_more_than_their_reserves() {
    let freeze = |world: &mut World| world.apply(Step::Freeze(2, true));
    assert!(!is_violated_in_partition(Breakage::None, freeze));
    assert!(is_violated_in_partition(Breakage::UndividedSlack, freeze));
}

/// No authority has the votes of a majority of all nodes, and the authority of each zone keeps
/// changing.
#[test]
fn alternating_zone_authorities_grant_no_more_than_one() {
    let mut world = World::new(Breakage::None);
    world.apply(Step::Limit(4));
    advance_seconds(&mut world, 10);
    isolate_zone(&mut world);
    world.apply(Step::Freeze(2, true));
    for turn in 0..8 {
        for (first, nodes) in [(0, 0..2), (3, 3..NODES)] {
            let authority = first + turn % 2;
            nodes.for_each(|node| world.apply(Step::SetReachable(node, 1 << authority)));
        }
        advance_seconds(&mut world, 4);
    }
    assert_eq!(world.violated_window(), None);
}

/// The reserves of all zones add up to the same number for each tenant: the slack of 20 less the
/// one permit of the global authority.
#[test]
fn zone_reserves_add_up_to_the_slack() {
    for count in 2..40 {
        for tenant in ["a", "b", "c", "tenant"] {
            let positions = (0..count).map(|index| ZonePosition { index, count });
            let reserves = positions.map(|position| position.reserved_permits(tenant, BOUND));
            assert_eq!(reserves.sum::<usize>(), 19);
        }
    }
}

/// The loss of a region stops at most one of the three authorities ranked for a quota shard.
#[test]
fn authorities_of_a_shard_are_in_different_regions() {
    let zones = [
        ("a1", "a"),
        ("a2", "a"),
        ("b1", "b"),
        ("b2", "b"),
        ("c1", "c"),
    ];
    let locality_of = |zone| locality(zones[zone]);
    let ranked = [0, 0, 1, 1, 0, 2, 3, 4].map(locality_of);
    assert_eq!(select_diverse_nodes(&ranked, 3), [0, 5, 7]);
    // With two regions, the third one is in another zone.
    let ranked = [0, 0, 1, 2, 2].map(locality_of);
    assert_eq!(select_diverse_nodes(&ranked, 3), [0, 3, 2]);
    // If all are in the same zone, the rank alone decides.
    let ranked = [0, 0].map(locality_of);
    assert_eq!(select_diverse_nodes(&ranked, 3), [0, 1]);
}

fn locality((zone, region): (&'static str, &'static str)) -> NodeLocality<'static> {
    NodeLocality {
        zone,
        region: Some(region),
    }
}

#[test]
fn an_unknown_or_only_zone_has_no_position() {
    let zones = ["b", "a", "c"];
    let position = ZonePosition::of("b", zones.into_iter());
    assert_eq!(position, Some(ZonePosition { index: 1, count: 3 }));
    assert_eq!(ZonePosition::of("d", zones.into_iter()), None);
    assert_eq!(ZonePosition::of("a", ["a"].into_iter()), None);
}

#[test]
fn the_second_authority_takes_over_when_the_first_freezes() {
    let mut world = World::new(Breakage::None);
    world.apply(Step::Advance(100));
    world.apply(Step::Freeze(0, true));
    for node in 0..NODES {
        world.apply(Step::SetReachable(node, 0b1_1110));
    }
    world.apply(Step::Advance(40));
    let before = world.arrived();
    world.apply(Step::Advance(100));
    let served = (world.arrived() - before) as f64;
    assert!(served >= 40.0 * 5.0 * 0.95, "{served} operations in 5 s");
    assert_eq!(world.violated_window(), None);
}

/// A budget grants at least 95% of the rate. With the burst, the zones' reserve and the permits
/// that are granted before a window and used in it, it stays within the bound.
#[test]
fn a_budget_stays_within_the_bound() {
    for (per_second, burst) in [(216.0, 216.0), (8.0, 8.0), (60.0, 10.0), (1_000.0, 1_000.0)] {
        let rate = QuotaRate { per_second, burst };
        let budget = Budget::for_rate(rate, BOUND);
        assert!(budget.per_second >= per_second * 0.95);
        assert!(budget.capacity >= 1.0);
        let dispatch = PERMIT_TTL + Duration::from_millis(200);
        let used = per_second * (BOUND.window + dispatch).as_secs_f64();
        let max_operations = used + budget.capacity + budget.zone_reserve;
        assert!(
            max_operations <= BOUND.max_operations(rate) + 1e-6,
            "{per_second}: {max_operations}"
        );
    }
}

#[test]
fn a_token_bucket_grants_its_rate_and_no_more_than_its_capacity() {
    let rate = QuotaRate {
        per_second: 10.0,
        burst: 10.0,
    };
    let budget = Budget::for_rate(rate, BOUND);
    let start = Timestamp::from_millis(1_000);
    let mut bucket = TokenBucket::started_at(budget, start);
    assert_eq!(bucket.take_up_to(5, start), 1);
    assert_eq!(
        bucket.time_until_available(start),
        Duration::from_millis(100)
    );
    let later = start + Duration::from_millis(250);
    assert_eq!(bucket.take_up_to(5, later), 2);
    let long_after = later + Duration::from_secs(60);
    assert_eq!(
        f64::from(bucket.take_up_to(1_000, long_after)),
        budget.capacity.floor()
    );
}
