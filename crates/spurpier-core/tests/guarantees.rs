//! Property tests of the core's state machines in a simulated cluster with faults; the oracle
//! checks the guarantees on the recorded history.
//!
//! The seeds are fixed. For more cases: `PROOF_SEED=7 PROOF_CASES=2000 cargo test -p spurpier-core
//! --test guarantees`.

mod model;

use model::Breakage;
use model::transition::{Case, Transition};
use model::world::World;
use proptest::test_runner::{Config, RngSeed};
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest, prop_state_machine};

const DEFAULT_SEED: u64 = 1;
/// Generates cases that stop a primary just after a partition has healed. Replicas may still depose
/// that primary then, because they missed its heartbeats.
const SEED_WITH_STOPS_AFTER_PARTITIONS: u64 = 3;
const DEFAULT_CASES: u64 = 256;

struct Guarantees;

impl StateMachineTest for Guarantees {
    type SystemUnderTest = World;
    type Reference = Case;

    fn init_test(case: &Case) -> World {
        World::new(case.seed, Breakage::None)
    }

    fn apply(mut world: World, _: &Case, transition: Transition) -> World {
        world.apply(&transition);
        world
    }

    fn teardown(mut world: World, _: <Case as ReferenceStateMachine>::State) {
        let violations = world.finish_and_check();
        assert!(violations.is_empty(), "{violations:#?}");
    }
}

fn env_number(variable: &str, default: u64) -> u64 {
    let text = std::env::var(variable).ok();
    text.map_or(default, |text| text.parse().expect("a number"))
}

fn config(default_seed: u64) -> Config {
    Config {
        cases: env_number("PROOF_CASES", DEFAULT_CASES) as u32,
        rng_seed: RngSeed::Fixed(env_number("PROOF_SEED", default_seed)),
        failure_persistence: None,
        max_shrink_iters: 3_000,
        ..Config::default()
    }
}

prop_state_machine! {
    #![proptest_config(config(DEFAULT_SEED))]

    #[test]
    fn all_guarantees_hold_under_faults(sequential 40..160 => Guarantees);
}

prop_state_machine! {
    #![proptest_config(config(SEED_WITH_STOPS_AFTER_PARTITIONS))]

    #[test]
    fn planned_stops_cut_nothing_after_two_failovers(sequential 40..160 => Guarantees);
}
