//! Leave to start tenants' operations, in a model with cuts, pauses, restarts, late and lost
//! messages, nodes that are wrong about whom they reach, and limits that change. The oracle counts
//! every sliding window.
//!
//! Longer rounds by hand: `PROOF_SEED=7 PROOF_CASES=20000 cargo test -p spurpier-core --test quota`.

mod proof;
mod quota_model;

use std::time::Duration;

use proof::{cases, config};
use proptest::prelude::*;
use proptest::test_runner::TestRunner;
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest, prop_state_machine};
use quota_model::{BOUND, Breakage, NODES, RATES, Step, World, ZONES, steps};
use spurpier_core::quota::{
    AuthorityChoice, Bucket, Budget, Grant, LEAVE_LIFE, Ledger, NodePlace, QuotaRate, Stamp, Taken,
    VOTE_LIFE, ZonePlace, choose_apart,
};
use spurpier_core::time::Timestamp;

const DEFAULT_CASES: u64 = 300;

/// Any step may follow any other.
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

struct Quotas;

impl StateMachineTest for Quotas {
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
        assert_eq!(world.broken_window(), None);
    }
}

prop_state_machine! {
    #![proptest_config(config(cases(DEFAULT_CASES)))]

    #[test]
    fn no_window_holds_more_than_its_bound(sequential 1..60 => Quotas);
}

/// Whether random steps find that a window holds more than its bound.
fn is_noticed(breakage: Breakage) -> bool {
    let mut runner = TestRunner::new(config(400));
    let cases = proptest::collection::vec(steps(), 1..60);
    let played = runner.run(&cases, |steps| {
        let mut world = World::new(breakage);
        steps.into_iter().for_each(|step| world.apply(step));
        prop_assert!(world.broken_window().is_none());
        Ok(())
    });
    played.is_err()
}

#[test]
fn the_model_notices_each_mechanism_that_is_taken_out() {
    for breakage in Breakage::COMMON {
        assert!(is_noticed(breakage), "{breakage:?}");
    }
}

/// All nodes go from one authority to another and back, faster than their votes end.
#[test]
fn two_authorities_in_turn_give_no_more_than_one() {
    let mut world = World::new(Breakage::None);
    world.apply(Step::Demand(12));
    for turn in 0..40 {
        for node in 0..NODES {
            world.apply(Step::Believe(node, 1 << (turn % 2)));
        }
        world.apply(Step::Pass(6));
    }
    assert_eq!(world.broken_window(), None);
}

#[test]
fn another_authority_is_asked_when_the_vote_for_the_former_one_is_over() {
    let asked_at = Timestamp::from_millis(10_000);
    let mut choice = AuthorityChoice::new(VOTE_LIFE);
    assert_eq!(choice.choose(&["n0", "n1"], asked_at), Some("n0"));
    choice.note_asked(asked_at);
    let before = (asked_at + VOTE_LIFE).saturating_sub(Duration::from_millis(1));
    assert_eq!(choice.choose(&["n1"], before), None);
    assert_eq!(choice.choose(&["n0", "n1"], before), Some("n0"));
    assert_eq!(choice.choose(&["n1"], asked_at + VOTE_LIFE), Some("n1"));
    // One that leaves gives nothing more, and votes for it are void.
    choice.note_asked(asked_at + VOTE_LIFE);
    choice.note_left("n1");
    assert_eq!(choice.choose(&["n2"], asked_at + VOTE_LIFE), Some("n2"));
}

#[test]
fn a_node_stays_with_a_majority_and_leaves_a_minority() {
    let start = Timestamp::from_millis(10_000);
    let stamp = Stamp { life: 1, at: start };
    let mut choice = AuthorityChoice::new(VOTE_LIFE);
    assert_eq!(choice.choose(&["n1"], start), Some("n1"));
    choice.note_answer("n1", true, stamp, start);
    let later = start + VOTE_LIFE;
    assert_eq!(choice.choose(&["n0", "n1"], later), Some("n1"));
    choice.note_answer("n1", false, stamp, later);
    assert_eq!(choice.choose(&["n0", "n1"], later), Some("n0"));
    // Most nodes may be with the second one.
    choice.note_answer("n0", false, stamp, later);
    assert_eq!(choice.choose(&["n0", "n1"], later), Some("n0"));
    let patient = later + Duration::from_secs(2);
    assert_eq!(choice.choose(&["n0", "n1"], patient), Some("n1"));
}

#[test]
fn leaves_that_come_late_are_not_used() {
    let asked_at = Timestamp::from_millis(10_000);
    let grant = Grant {
        leaves: 2,
        pause: Duration::from_millis(50),
    };
    let mut ledger = Ledger::default();
    let in_time = (asked_at + LEAVE_LIFE).saturating_sub(Duration::from_millis(1));
    let leaves = ledger.note_grant("t", grant, 2, asked_at, in_time);
    assert_eq!(leaves.len(), 2);
    let late = asked_at + LEAVE_LIFE;
    assert_eq!(ledger.note_grant("t", grant, 2, asked_at, late), []);
    // One whose operation has not run is used again while it lives.
    ledger.put_back("t", leaves[0], in_time);
    ledger.put_back("t", leaves[1], in_time);
    assert_eq!(ledger.take("t", in_time), Taken::Leave(leaves[0]));
    assert_eq!(ledger.take("t", late), Taken::Ask);
}

#[test]
fn a_refused_tenant_is_refused_without_a_question_until_the_pause_is_over() {
    let now = Timestamp::from_millis(10_000);
    let pause = Duration::from_millis(80);
    let grant = Grant { leaves: 1, pause };
    let mut ledger = Ledger::default();
    assert_eq!(ledger.take("t", now), Taken::Ask);
    assert_eq!(ledger.note_grant("t", grant, 3, now, now).len(), 1);
    let half = now + pause / 2;
    assert_eq!(ledger.take("t", half), Taken::Limited(pause / 2));
    assert_eq!(ledger.take("other", half), Taken::Ask);
    assert_eq!(ledger.take("t", now + pause), Taken::Ask);
}

/// Questions of three seconds meet an authority that stood still, while most nodes ask another one.
#[test]
fn questions_that_come_late_are_no_votes() {
    let play = |breakage| {
        let mut world = World::new(breakage);
        world.apply(Step::Demand(12));
        world.apply(Step::Pass(40));
        // Votes alone are on the way.
        world.apply(Step::Demand(0));
        world.apply(Step::Delay(3_000));
        world.apply(Step::Pass(59));
        world.apply(Step::Delay(20));
        world.apply(Step::Demand(12));
        for node in 2..NODES {
            world.apply(Step::Believe(node, 0b1_1110));
        }
        world.apply(Step::Pass(120));
        world.broken_window()
    };
    assert_eq!(play(Breakage::None), None);
    assert!(play(Breakage::OldVotes).is_some());
}

/// Operations that a tenant far beyond its limit is served in calm, beside its limit.
#[test]
fn a_hot_tenant_is_served_nearly_all_of_its_limit() {
    for (index, rate) in [(0, 200.0), (1, 40.0), (2, 8.0)] {
        let mut world = World::new(Breakage::None);
        world.apply(Step::Limit(index));
        world.apply(Step::Demand(12));
        let before = world.arrived();
        let seconds = 30;
        (0..seconds).for_each(|_| world.apply(Step::Pass(20)));
        let served = (world.arrived() - before) as f64;
        let limit = rate * f64::from(seconds);
        assert!(served >= limit * 0.95, "{served} of {limit}");
        assert_eq!(world.broken_window(), None);
    }
}

/// The nodes of the zone that is cut off.
const CUT_ZONE: u8 = ZONES[1];

/// The second zone and the others no longer reach each other, and know it.
fn cut_zone_off(world: &mut World) {
    world.apply(Step::Cut(CUT_ZONE));
    for node in 0..NODES {
        let is_cut = (CUT_ZONE >> node) & 1 == 1;
        world.apply(Step::Believe(
            node,
            if is_cut { CUT_ZONE } else { !CUT_ZONE },
        ));
    }
}

fn pass_seconds(world: &mut World, seconds: u8) {
    (0..seconds).for_each(|_| world.apply(Step::Pass(20)));
}

/// What the nodes of a zone serve of a tenant beyond its limit while they are cut off for 8 s: its
/// part of the slack in each of two windows. With the remainder that was shared by votes among all
/// authorities without a majority, 3 for the largest limit and none for the others.
#[test]
fn a_zone_that_is_cut_off_serves_its_part_of_the_slack() {
    for (limit, rate) in RATES.iter().enumerate() {
        let mut world = World::new(Breakage::None);
        world.apply(Step::Limit(limit));
        pass_seconds(&mut world, 10);
        let before = world.started_by(CUT_ZONE);
        cut_zone_off(&mut world);
        pass_seconds(&mut world, 8);
        let served = world.started_by(CUT_ZONE) - before;
        assert!(served >= 18, "{served} with {rate:?}");
        assert_eq!(world.broken_window(), None);
    }
}

/// Whether a window holds more than its bound once zones are cut off and `then` has happened.
fn is_broken_in_a_cut(breakage: Breakage, then: impl Fn(&mut World)) -> bool {
    let mut world = World::new(breakage);
    world.apply(Step::Limit(4));
    pass_seconds(&mut world, 10);
    cut_zone_off(&mut world);
    then(&mut world);
    pass_seconds(&mut world, 20);
    world.broken_window().is_some()
}

#[test]
fn nodes_that_are_alone_do_not_use_their_zones_part() {
    let isolate = |world: &mut World| {
        (0..NODES).for_each(|node| world.apply(Step::Believe(node, 1 << node)));
    };
    assert!(!is_broken_in_a_cut(Breakage::None, isolate));
    assert!(is_broken_in_a_cut(Breakage::ZoneMajority, isolate));
}

/// No zone has most of all nodes, and each uses its own part.
#[test]
fn zones_that_are_all_cut_off_use_no_more_than_their_parts() {
    let freeze = |world: &mut World| world.apply(Step::Freeze(2, true));
    assert!(!is_broken_in_a_cut(Breakage::None, freeze));
    assert!(is_broken_in_a_cut(Breakage::WholeSlack, freeze));
}

/// Most nodes are nowhere together, and the authority of each zone changes again and again.
#[test]
fn authorities_of_a_zone_in_turn_give_no_more_than_one() {
    let mut world = World::new(Breakage::None);
    world.apply(Step::Limit(4));
    pass_seconds(&mut world, 10);
    cut_zone_off(&mut world);
    world.apply(Step::Freeze(2, true));
    for turn in 0..8 {
        for (first, nodes) in [(0, 0..2), (3, 3..NODES)] {
            let authority = first + turn % 2;
            nodes.for_each(|node| world.apply(Step::Believe(node, 1 << authority)));
        }
        pass_seconds(&mut world, 4);
    }
    assert_eq!(world.broken_window(), None);
}

/// What is set aside for all zones is the same for each tenant, and never more than the slack.
#[test]
fn the_zones_parts_add_up_to_the_slack() {
    for count in 2..40 {
        for tenant in ["a", "b", "c", "tenant"] {
            let places = (0..count).map(|index| ZonePlace { index, count });
            let parts = places.map(|place| place.allowance(tenant, BOUND));
            assert_eq!(parts.sum::<usize>(), 19);
        }
    }
}

/// The loss of a region takes one of the three nodes ranked for a seat at most.
#[test]
fn authorities_of_a_seat_stand_in_different_regions() {
    let zones = [
        ("a1", "a"),
        ("a2", "a"),
        ("b1", "b"),
        ("b2", "b"),
        ("c1", "c"),
    ];
    let in_one_zone = |zone| place(zones[zone]);
    let ranked = [0, 0, 1, 1, 0, 2, 3, 4].map(in_one_zone);
    assert_eq!(choose_apart(&ranked, 3), [0, 5, 7]);
    // With two regions the third one stands in another zone.
    let ranked = [0, 0, 1, 2, 2].map(in_one_zone);
    assert_eq!(choose_apart(&ranked, 3), [0, 3, 2]);
    // Where all stand together the rank alone counts.
    let ranked = [0, 0].map(in_one_zone);
    assert_eq!(choose_apart(&ranked, 3), [0, 1]);
}

fn place((zone, region): (&'static str, &'static str)) -> NodePlace<'static> {
    NodePlace {
        zone,
        region: Some(region),
    }
}

#[test]
fn a_zone_that_is_unknown_or_alone_has_no_part() {
    let zones = ["b", "a", "c"];
    let place = ZonePlace::of("b", zones.into_iter());
    assert_eq!(place, Some(ZonePlace { index: 1, count: 3 }));
    assert_eq!(ZonePlace::of("d", zones.into_iter()), None);
    assert_eq!(ZonePlace::of("a", ["a"].into_iter()), None);
}

#[test]
fn the_second_authority_takes_over_when_the_first_stands_still() {
    let mut world = World::new(Breakage::None);
    world.apply(Step::Pass(100));
    world.apply(Step::Freeze(0, true));
    for node in 0..NODES {
        world.apply(Step::Believe(node, 0b1_1110));
    }
    world.apply(Step::Pass(40));
    let before = world.arrived();
    world.apply(Step::Pass(100));
    let served = (world.arrived() - before) as f64;
    assert!(served >= 40.0 * 5.0 * 0.95, "{served} operations in 5 s");
    assert_eq!(world.broken_window(), None);
}

/// A budget gives the whole rate, and together with all that may be added the bound.
#[test]
fn a_budget_stays_within_the_bound() {
    for (per_second, burst) in [(216.0, 216.0), (8.0, 8.0), (60.0, 10.0), (1_000.0, 1_000.0)] {
        let rate = QuotaRate { per_second, burst };
        let budget = Budget::of(rate, BOUND);
        assert!(budget.per_second >= per_second * 0.95);
        assert!(budget.capacity >= 1.0);
        let early = LEAVE_LIFE + Duration::from_millis(200);
        let used = per_second * (BOUND.window + early).as_secs_f64();
        let most = used + budget.capacity + budget.set_aside;
        assert!(most <= BOUND.most(rate) + 1e-6, "{per_second}: {most}");
    }
}

#[test]
fn a_bucket_gives_its_rate_and_no_more_than_its_capacity() {
    let rate = QuotaRate {
        per_second: 10.0,
        burst: 10.0,
    };
    let budget = Budget::of(rate, BOUND);
    let start = Timestamp::from_millis(1_000);
    let mut bucket = Bucket::begun_at(budget, start);
    assert_eq!(bucket.give(5, start), 1);
    assert_eq!(bucket.wait(start), Duration::from_millis(100));
    let later = start + Duration::from_millis(250);
    assert_eq!(bucket.give(5, later), 2);
    let long_after = later + Duration::from_secs(60);
    assert_eq!(
        f64::from(bucket.give(1_000, long_after)),
        budget.capacity.floor()
    );
}
