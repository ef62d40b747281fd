//! Concurrent publications against a platform that refuses calls, loses answers and delays effects.

use std::collections::BTreeMap;

use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, RngSeed};
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest, prop_state_machine};
use spurpier_core::identity::DatabaseName;
use spurpier_core::policy::{
    HeadRow, PlatformFailure, PolicyDocument, PolicyHead, Publish, PublishAction, PublishConflict,
    PublishEvent, PublishOutcome, PublishRequest, TransactAnswer,
};

const OPERATORS: usize = 3;
const PROGRAMS: [&str; 3] = [
    r#"fn write_side(d) { "old" } fn route(r) { #{} }"#,
    r#"fn write_side(d) { "new" } fn route(r) { #{} }"#,
    r#"fn write_side(d) { if d == "orders" { "new" } else { "old" } } fn route(r) { #{} }"#,
];

/// The fault injected into one call to the platform.
#[derive(Debug, Clone, Copy)]
enum Fault {
    None,
    Refused,
    AnswerLost,
    EffectDelayed,
    EffectAndAnswerLost,
}

#[derive(Debug, Clone)]
enum Transition {
    Start {
        operator: usize,
        program: usize,
        behind: u64,
    },
    Step {
        operator: usize,
        fault: Fault,
    },
    DeliverDelayed(usize),
}

/// The reference model is stateless: each transition is valid at any time.
struct Races;

impl ReferenceStateMachine for Races {
    type State = ();
    type Transition = Transition;

    fn init_state() -> BoxedStrategy<()> {
        Just(()).boxed()
    }

    fn transitions(_: &()) -> BoxedStrategy<Transition> {
        let fault = prop_oneof![
            12 => Just(Fault::None),
            1 => Just(Fault::Refused),
            2 => Just(Fault::AnswerLost),
            2 => Just(Fault::EffectDelayed),
            1 => Just(Fault::EffectAndAnswerLost),
        ];
        prop_oneof![
            2 => (0..OPERATORS, 0..PROGRAMS.len(), prop_oneof![4 => Just(0), 1 => 1..3u64])
                .prop_map(|(operator, program, behind)| Transition::Start {
                    operator,
                    program,
                    behind
                }),
            12 => (0..OPERATORS, fault)
                .prop_map(|(operator, fault)| Transition::Step { operator, fault }),
            1 => any::<usize>().prop_map(Transition::DeliverDelayed),
        ]
        .boxed()
    }

    fn apply(state: (), _: &Transition) {
        state
    }
}

/// The platform's rows and objects, and the delayed transactions that can still be applied.
#[derive(Default)]
struct Platform {
    head: HeadRow,
    history: BTreeMap<u64, PolicyHead>,
    documents: BTreeMap<String, PolicyDocument>,
    delayed: Vec<(u64, PolicyHead)>,
}

impl Platform {
    fn transact(&mut self, row_version: u64, head: PolicyHead) -> TransactAnswer {
        if self.head.row_version != row_version || self.history.contains_key(&head.version) {
            return TransactAnswer::Conflict;
        }
        self.history.insert(head.version, head.clone());
        self.head = HeadRow {
            row_version: row_version + 1,
            head: Some(head),
        };
        TransactAnswer::Accepted
    }

    fn accept(&mut self, row_version: u64, head: PolicyHead, fault: Fault) -> TransactAnswer {
        match fault {
            Fault::None => self.transact(row_version, head),
            Fault::Refused => TransactAnswer::NotApplied,
            Fault::AnswerLost => {
                self.transact(row_version, head);
                TransactAnswer::Unknown
            }
            Fault::EffectDelayed => {
                self.delayed.push((row_version, head));
                TransactAnswer::Unknown
            }
            Fault::EffectAndAnswerLost => TransactAnswer::Unknown,
        }
    }

    fn answer(&mut self, action: &PublishAction, fault: Fault) -> Option<PublishEvent> {
        let failure = || PlatformFailure {
            why: "fault".to_owned(),
        };
        let succeeds = matches!(fault, Fault::None);
        let event = match action {
            PublishAction::ReadHead => {
                PublishEvent::Head(succeeds.then(|| self.head.clone()).ok_or_else(failure))
            }
            PublishAction::ReadHistory { version } => {
                let row = self.history.get(version).cloned();
                PublishEvent::History(succeeds.then_some(row).ok_or_else(failure))
            }
            PublishAction::ReadDocument { digest } => {
                let document = self.documents.get(digest).cloned().filter(|_| succeeds);
                PublishEvent::Document(document.ok_or_else(failure))
            }
            PublishAction::StoreDocument { document, digest } => {
                if !matches!(fault, Fault::Refused | Fault::EffectAndAnswerLost) {
                    self.documents.insert(digest.clone(), document.clone());
                }
                PublishEvent::Stored(succeeds.then_some(()).ok_or_else(failure))
            }
            PublishAction::Accept {
                head_row_version,
                head,
            } => PublishEvent::Transacted(self.accept(*head_row_version, head.clone(), fault)),
            PublishAction::Finish(_) => return None,
        };
        Some(event)
    }
}

struct Operator {
    request: PublishRequest,
    publish: Publish,
    action: PublishAction,
}

#[derive(Default)]
struct World {
    platform: Platform,
    operators: Vec<Option<Operator>>,
    finished: Vec<(PublishRequest, PublishOutcome)>,
    started: usize,
}

impl World {
    fn start(&mut self, operator: usize, program: usize, behind: u64) {
        let current = self.platform.head.head.as_ref();
        let expect_version = current.map_or(0, |head| head.version);
        self.started += 1;
        let request = PublishRequest {
            publish_id: format!("publication-{}", self.started),
            program: PROGRAMS[program].to_owned(),
            expect_version: expect_version.saturating_sub(behind),
            databases: vec!["orders".into(), "stock".into()],
        };
        let (publish, action) = Publish::start(request.clone());
        // An operator that starts a publication abandons its previous one.
        self.operators[operator] = Some(Operator {
            request,
            publish,
            action,
        });
    }

    fn step(&mut self, index: usize, fault: Fault) {
        let Some(mut operator) = self.operators[index].take() else {
            return;
        };
        if let Some(event) = self.platform.answer(&operator.action, fault) {
            operator.action = operator.publish.step(event);
        }
        match operator.action {
            PublishAction::Finish(outcome) => self.finished.push((operator.request, outcome)),
            _ => self.operators[index] = Some(operator),
        }
    }

    fn is_in_history(&self, publish_id: &str) -> bool {
        let mut heads = self.platform.history.values();
        heads.any(|head| head.publish_id == publish_id)
    }

    fn check_outcome(&self, request: &PublishRequest, outcome: &PublishOutcome) {
        match outcome {
            PublishOutcome::Accepted {
                head,
                document,
                repeated,
            } => {
                assert_eq!(self.platform.history.get(&head.version), Some(head));
                assert_eq!(head.version, request.expect_version + 1);
                assert_eq!(document.program, request.program);
                assert_eq!(document.digest(), head.digest);
                assert_eq!(*repeated, head.publish_id != request.publish_id);
            }
            PublishOutcome::Lost(PublishConflict::Winner(winner)) => {
                assert_eq!(self.platform.history.get(&winner.version), Some(winner));
                assert!(!self.is_in_history(&request.publish_id));
            }
            PublishOutcome::Lost(PublishConflict::NotReached { .. })
            | PublishOutcome::NotAccepted { .. } => {
                assert!(!self.is_in_history(&request.publish_id));
            }
            PublishOutcome::Unknown { .. } => {}
            PublishOutcome::Invalid(findings) => panic!("valid programs: {findings:?}"),
        }
    }

    fn check_history(&self) {
        let history = &self.platform.history;
        assert_eq!(
            history.keys().copied().collect::<Vec<u64>>(),
            (1..=history.len() as u64).collect::<Vec<u64>>()
        );
        assert_eq!(history.values().last(), self.platform.head.head.as_ref());
        let mut epochs: BTreeMap<DatabaseName, u64> = BTreeMap::new();
        for head in history.values() {
            let document = &self.platform.documents[&head.digest];
            assert_eq!(document.version, head.version);
            for placement in &document.placements {
                let before = epochs.insert(placement.database.clone(), placement.epoch);
                assert!(before.unwrap_or(0) <= placement.epoch);
            }
        }
    }
}

struct PublishTest;

impl StateMachineTest for PublishTest {
    type SystemUnderTest = World;
    type Reference = Races;

    fn init_test(_: &()) -> World {
        World {
            operators: (0..OPERATORS).map(|_| None).collect(),
            ..World::default()
        }
    }

    fn apply(mut world: World, _: &(), transition: Transition) -> World {
        match transition {
            Transition::Start {
                operator,
                program,
                behind,
            } => world.start(operator, program, behind),
            Transition::Step { operator, fault } => world.step(operator, fault),
            Transition::DeliverDelayed(index) => {
                if !world.platform.delayed.is_empty() {
                    let index = index % world.platform.delayed.len();
                    let (row_version, head) = world.platform.delayed.remove(index);
                    world.platform.transact(row_version, head);
                }
            }
        }
        world
    }

    fn check_invariants(world: &World, _: &()) {
        world.check_history();
        for (request, outcome) in &world.finished {
            world.check_outcome(request, outcome);
        }
    }
}

fn config_with_fixed_seed() -> Config {
    Config {
        cases: 400,
        rng_algorithm: RngAlgorithm::ChaCha,
        rng_seed: RngSeed::Fixed(0x5350_5552),
        failure_persistence: None,
        ..Config::default()
    }
}

prop_state_machine! {
    #![proptest_config(config_with_fixed_seed())]

    /// A publication never reports an outcome that contradicts the history, whatever calls the
    /// platform refuses, loses or delays.
    #[test]
    fn racing_publications_report_only_what_happened(sequential 1..120 => PublishTest);
}

/// Runs a publication to its outcome without faults.
fn run_to_completion(platform: &mut Platform, request: PublishRequest) -> PublishOutcome {
    let (mut publish, mut action) = Publish::start(request);
    while let Some(event) = platform.answer(&action, Fault::None) {
        action = publish.step(event);
    }
    match action {
        PublishAction::Finish(outcome) => outcome,
        other => panic!("not answered: {other:?}"),
    }
}

fn request(publish_id: &str, program: usize, expect_version: u64) -> PublishRequest {
    PublishRequest {
        publish_id: publish_id.to_owned(),
        program: PROGRAMS[program].to_owned(),
        expect_version,
        databases: vec!["orders".into()],
    }
}

#[test]
fn publishing_again_after_a_lost_answer_is_accepted() {
    let mut platform = Platform::default();
    let first = run_to_completion(&mut platform, request("first", 0, 0));
    let again = run_to_completion(&mut platform, request("again", 0, 0));
    assert!(matches!(
        first,
        PublishOutcome::Accepted {
            repeated: false,
            ..
        }
    ));
    assert!(matches!(
        again,
        PublishOutcome::Accepted { repeated: true, .. }
    ));
    // The same holds after later versions were accepted.
    run_to_completion(&mut platform, request("next", 1, 1));
    let late = run_to_completion(&mut platform, request("late", 0, 0));
    assert!(matches!(
        late,
        PublishOutcome::Accepted { repeated: true, .. }
    ));
    assert_eq!(platform.history.len(), 2);
}

#[test]
fn the_losing_publication_returns_the_winning_head() {
    let mut platform = Platform::default();
    run_to_completion(&mut platform, request("winner", 0, 0));
    let PublishOutcome::Lost(PublishConflict::Winner(winner)) =
        run_to_completion(&mut platform, request("loser", 1, 0))
    else {
        panic!("version 1 was taken");
    };
    assert_eq!(winner.publish_id, "winner");
    let ahead = run_to_completion(&mut platform, request("ahead", 1, 9));
    assert_eq!(
        ahead,
        PublishOutcome::Lost(PublishConflict::NotReached { current: 1 })
    );
}

#[test]
fn an_invalid_program_is_not_sent() {
    let mut faulty = request("faulty", 0, 0);
    faulty.program = "fn write_side(d) { 1 }".to_owned();
    let (_, action) = Publish::start(faulty);
    assert!(matches!(
        action,
        PublishAction::Finish(PublishOutcome::Invalid(_))
    ));
}
