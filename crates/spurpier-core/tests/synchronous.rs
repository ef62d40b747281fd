//! Replacement of primaries in groups with synchronous replicas, in a model of crashes, servers that
//! receive nothing or are not listed, nodes that restart, and promotions that are executed late. The
//! oracle knows what was acknowledged and checks the log of each promoted server.
//!
//! Longer runs: `PROOF_SEED=7 PROOF_CASES=20000 cargo test -p spurpier-core --test synchronous`.

mod proof;
mod synchronous_model;

use proof::{cases, config};
use proptest::prelude::*;
use proptest::test_runner::{Config, TestRunner};
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest, prop_state_machine};
use synchronous_model::{Breakage, Step, World, steps};

const DEFAULT_CASES: u64 = 2_000;
/// Within how many cases a mechanism that is taken out must be noticed.
const DETECTION_CASES: u64 = 20_000;

/// The numbers of servers and of synchronous replicas.
type Size = (usize, usize);

fn sizes() -> impl Strategy<Value = Size> {
    (3..=5_usize, 1..=2_usize)
}

/// Any step may follow any other; the world ignores steps that are impossible in its state.
struct AnyStep;

impl ReferenceStateMachine for AnyStep {
    type State = Size;
    type Transition = Step;

    fn init_state() -> BoxedStrategy<Size> {
        sizes().boxed()
    }

    fn transitions(_: &Size) -> BoxedStrategy<Step> {
        steps().boxed()
    }

    fn apply(size: Size, _: &Step) -> Size {
        size
    }
}

struct SynchronousModel;

impl StateMachineTest for SynchronousModel {
    type SystemUnderTest = World;
    type Reference = AnyStep;

    fn init_test(&(servers, synchronous): &Size) -> World {
        World::new(servers, synchronous, Breakage::None)
    }

    fn apply(mut world: World, _: &Size, step: Step) -> World {
        world.apply(&step);
        assert_eq!(world.violation(), None);
        world
    }
}

prop_state_machine! {
    #![proptest_config(config(cases(DEFAULT_CASES)))]

    #[test]
    fn a_promoted_server_holds_every_acknowledged_commit(sequential 20..160 => SynchronousModel);
}

/// The number of the case in which the oracle notices that a mechanism is taken out; `None` if it
/// does not within [`DETECTION_CASES`].
fn detected_in(breakage: Breakage) -> Option<usize> {
    let mut runner = TestRunner::new(Config {
        max_shrink_iters: 0,
        ..config(DETECTION_CASES)
    });
    let count = std::cell::Cell::new(0);
    let case = (sizes(), proptest::collection::vec(steps(), 20..160));
    let outcome = runner.run(&case, |((servers, synchronous), steps)| {
        count.set(count.get() + 1);
        let mut world = World::new(servers, synchronous, breakage);
        for step in &steps {
            world.apply(step);
        }
        prop_assert!(world.violation().is_none());
        Ok(())
    });
    println!("{breakage:?}: {} cases", count.get());
    outcome.is_err().then(|| count.get())
}

fn assert_detected(breakage: Breakage) {
    assert!(detected_in(breakage).is_some());
}

#[test]
fn the_model_without_a_breakage_holds() {
    assert_eq!(detected_in(Breakage::None), None);
}

#[test]
fn the_choice_of_the_replica_that_received_least_is_detected() {
    assert_detected(Breakage::ChoosesLeast);
}

#[test]
fn uncounted_servers_that_do_not_report_are_detected() {
    assert_detected(Breakage::IgnoresUnreported);
}

#[test]
fn a_count_over_listed_servers_only_is_detected() {
    assert_detected(Breakage::CountsListedOnly);
}

#[test]
fn replicas_that_are_neither_paused_nor_compared_again_are_detected() {
    assert_detected(Breakage::NeitherPauseNorSecondComparison);
}

#[test]
fn a_missing_second_comparison_is_detected() {
    assert_detected(Breakage::NoSecondComparison);
}

#[test]
fn a_removal_of_members_whose_commits_others_lack_is_detected() {
    assert_detected(Breakage::RemovesUncovered);
}

#[test]
fn a_restarted_server_in_its_former_ones_place_is_detected() {
    assert_detected(Breakage::MergedIncarnations);
}
