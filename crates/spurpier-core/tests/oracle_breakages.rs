//! The oracle detects each disabled mechanism, and reports no violation while all are enabled.
//!
//! This guards against checks that pass because the oracle overlooks violations.

mod model;

use model::Breakage;
use model::client::Work;
use model::platform::PlatformFault;
use model::transition::{Case, Transition};
use model::world::World;
use proptest::strategy::{Strategy, ValueTree};
use proptest::test_runner::{Config, RngSeed, TestRunner};
use proptest_state_machine::ReferenceStateMachine;
use spurpier_core::identity::Side;
use spurpier_rehearsal::oracle::{Guarantee, Violations};

/// The breakages to test, one at a time.
const BREAKAGES: [Breakage; 16] = [
    Breakage::ConfirmationSkipped,
    Breakage::FloorIgnored,
    Breakage::ReadConfirmationSkipped,
    Breakage::KeyNotInTransaction,
    Breakage::UnkeyedResent,
    Breakage::NotRunAfterLostConnection,
    Breakage::ReusedWithAnswerOutstanding,
    Breakage::ReusedInTransaction,
    Breakage::SettingsNotReset,
    Breakage::FenceIgnored,
    Breakage::PolicyVersionMayDecrease,
    Breakage::ReadsIgnoreFence,
    Breakage::StartNotGated,
    Breakage::TermParentIgnored,
    Breakage::LeavingIgnored,
    Breakage::StopDoesNotDrain,
];

/// The seed of the cases, and how many are run before a breakage counts as undetected.
const SEED: u64 = 4;
const CASES: usize = 400;

/// The guarantee whose violation the oracle must report; `None` without a breakage.
fn violated_guarantee(breakage: Breakage) -> Option<Guarantee> {
    Some(match breakage {
        Breakage::None => return None,
        Breakage::ConfirmationSkipped => Guarantee::NoDeposedAcknowledgement,
        Breakage::FloorIgnored | Breakage::ReadConfirmationSkipped | Breakage::ReadsIgnoreFence => {
            Guarantee::ReadYourWrites
        }
        Breakage::KeyNotInTransaction | Breakage::UnkeyedResent => Guarantee::AtMostOnce,
        Breakage::NotRunAfterLostConnection => Guarantee::NotRunIsTrue,
        Breakage::ReusedWithAnswerOutstanding => Guarantee::WholeOwnAnswer,
        Breakage::ReusedInTransaction | Breakage::SettingsNotReset => {
            Guarantee::TransactionSeparation
        }
        Breakage::FenceIgnored | Breakage::PolicyVersionMayDecrease | Breakage::StartNotGated => {
            Guarantee::PolicyNeverReverts
        }
        Breakage::LeavingIgnored => Guarantee::LeavingBackEndDrained,
        Breakage::StopDoesNotDrain | Breakage::TermParentIgnored => {
            Guarantee::PlannedStopCutsNothing
        }
    })
}

fn run(case: &Case, transitions: &[Transition], breakage: Breakage) -> Violations {
    let mut world = World::new(case.seed, breakage);
    for transition in transitions {
        world.apply(transition);
    }
    world.finish_and_check()
}

/// A scenario for a breakage that is visible only in a rare order of events, which random
/// transitions seldom produce; `None` for the other breakages. The seed of a case varies the
/// network delays.
fn scenario(breakage: Breakage) -> Option<Vec<Transition>> {
    use Transition as T;
    let request = |client, node, work| T::Request { client, node, work };
    let read = Work::Read {
        row: 0,
        fresh: false,
    };
    let write = Work::Write {
        row: 0,
        keyed: false,
    };
    let transaction = Work::Transaction {
        row: 0,
        keyed: false,
    };
    let wait = |millis| T::Advance { millis };
    Some(match breakage {
        Breakage::TermParentIgnored => vec![request(3, 2, transaction), wait(58), T::StopPrimary],
        Breakage::StartNotGated => vec![
            T::FreezeNode { node: 0 },
            T::CutZone { zone: 0 },
            T::Publish {
                side: Side::New,
                versions_behind: 0,
            },
            wait(900),
            request(5, 1, read),
            wait(50),
            T::KillNode { node: 1 },
            T::KillNode { node: 2 },
            T::HealLinks,
            T::ThawNodes,
            T::PlatformFault {
                fault: PlatformFault::Down,
            },
            T::RestartNodes,
            wait(400),
            request(5, 1, read),
            wait(50),
        ],
        Breakage::ReadsIgnoreFence => vec![
            T::FreezeNode { node: 0 },
            T::CutZone { zone: 0 },
            T::Publish {
                side: Side::New,
                versions_behind: 0,
            },
            wait(900),
            wait(900),
            wait(900),
            wait(900),
            request(3, 1, write),
            wait(200),
            T::HealLinks,
            T::ThawNodes,
            wait(20),
            request(3, 0, read),
            wait(50),
        ],
        _ => return None,
    })
}

#[test]
fn each_rare_breakage_is_detected() {
    let mut undetected = Vec::new();
    for breakage in BREAKAGES {
        let Some(transitions) = scenario(breakage) else {
            continue;
        };
        let guarantee = violated_guarantee(breakage).expect("a mechanism is disabled");
        let detected = (0..CASES as u64).map(|seed| Case { seed }).find(|case| {
            let intact = run(case, &transitions, Breakage::None);
            assert!(
                intact.is_empty(),
                "{breakage:?}, seed {}: {intact:#?}",
                case.seed
            );
            run(case, &transitions, breakage).count(guarantee) > 0
        });
        println!(
            "{breakage:?}: {} violated in {detected:?}",
            guarantee.as_str()
        );
        if detected.is_none() {
            undetected.push(breakage);
        }
    }
    assert!(undetected.is_empty(), "not detected: {undetected:?}");
}

#[test]
fn each_breakage_is_detected() {
    let mut undetected = Vec::new();
    for breakage in BREAKAGES {
        if scenario(breakage).is_some() {
            continue;
        }
        let guarantee = violated_guarantee(breakage).expect("a mechanism is disabled");
        let config = Config {
            rng_seed: RngSeed::Fixed(SEED),
            ..Config::default()
        };
        let mut runner = TestRunner::new(config);
        let strategy = Case::sequential_strategy(40..160);
        let detected = (0..CASES).find_map(|number| {
            let tree = strategy
                .new_tree(&mut runner)
                .expect("cases can be generated");
            let (case, transitions, _) = tree.current();
            let violations = run(&case, &transitions, breakage);
            (violations.count(guarantee) > 0).then_some((number, case, transitions))
        });
        let Some((number, case, transitions)) = detected else {
            undetected.push(breakage);
            continue;
        };
        let step = (1..=transitions.len())
            .find(|steps| run(&case, &transitions[..*steps], breakage).count(guarantee) > 0);
        println!(
            "{breakage:?}: {} violated in case {number} of seed {SEED} at step {step:?}",
            guarantee.as_str()
        );
        let intact = run(&case, &transitions, Breakage::None);
        assert!(intact.is_empty(), "{intact:#?}\n{transitions:?}");
    }
    assert!(undetected.is_empty(), "not detected: {undetected:?}");
}
