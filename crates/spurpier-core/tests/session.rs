//! Read floors, position tokens and settings of a session.

use std::collections::BTreeMap;

use proptest::collection::{btree_map, vec};
use proptest::prelude::*;
use proptest::test_runner::{RngSeed, TestRunner};
use spurpier_core::identity::{DatabaseName, GroupId, Side};
use spurpier_core::position::Position;
use spurpier_core::session::{PositionToken, ReadFloors, SessionSettings};
use spurpier_core::statement::SettingChange;

const SEED: u64 = 20_261_202;

fn runner(cases: u32) -> TestRunner {
    TestRunner::new(ProptestConfig {
        cases,
        rng_seed: RngSeed::Fixed(SEED),
        failure_persistence: None,
        ..ProptestConfig::default()
    })
}

fn group() -> impl Strategy<Value = GroupId> {
    let database = "[a-z.,=%/ 2C5é]{1,8}";
    (database, any::<bool>()).prop_map(|(database, is_old)| GroupId {
        database: DatabaseName::from(database),
        side: if is_old { Side::Old } else { Side::New },
    })
}

fn position() -> impl Strategy<Value = Position> {
    (any::<u64>(), any::<u64>()).prop_map(|(term, offset)| Position::new(term, offset))
}

#[test]
fn a_token_round_trips_through_its_text() {
    let positions = btree_map(group(), position(), 0..5);
    let checked = runner(1_000).run(&positions, |positions| {
        let token = PositionToken::new(positions);
        let text = token.to_string();
        let parsed = text.parse::<PositionToken>();
        prop_assert_eq!(parsed, Ok(token), "{}", text);
        Ok(())
    });
    checked.expect("tokens round-trip");
}

#[test]
fn invalid_text_is_rejected_without_a_panic() {
    for text in [
        "a",
        "a=1/1",
        "a.old",
        "a.old=1",
        "a.mid=1/1",
        ".old=1/1",
        "a.old=-1/2",
        "a.old=1/1;",
    ] {
        assert!(text.parse::<PositionToken>().is_err(), "{text}");
    }
    let endless = "a.old=1/1,".repeat(100_000);
    assert!(endless.parse::<PositionToken>().is_err());
    let checked = runner(1_000).run(&any::<String>(), |text| {
        let _ = text.parse::<PositionToken>();
        Ok(())
    });
    checked.expect("no text panics");
}

#[test]
fn floors_never_fall() {
    #[derive(Debug, Clone)]
    enum Step {
        Raise(usize, Position),
        Token(BTreeMap<usize, Position>),
    }
    let small = (0_u64..5, 0_u64..5).prop_map(|(term, offset)| Position::new(term, offset));
    let steps = prop_oneof![
        (0_usize..4, small.clone()).prop_map(|(group, position)| Step::Raise(group, position)),
        btree_map(0_usize..4, small, 0..4).prop_map(Step::Token),
    ];
    let groups: Vec<GroupId> = (0..4)
        .map(|number| GroupId {
            database: DatabaseName::from(format!("d{}", number / 2)),
            side: if number % 2 == 0 {
                Side::Old
            } else {
                Side::New
            },
        })
        .collect();
    let checked = runner(1_000).run(&vec(steps, 0..30), |steps| {
        let mut floors = ReadFloors::new();
        let mut highest: BTreeMap<usize, Position> = BTreeMap::new();
        for step in steps {
            let raises: Vec<(usize, Position)> = match &step {
                Step::Raise(group, position) => vec![(*group, *position)],
                Step::Token(positions) => positions.clone().into_iter().collect(),
            };
            let before = highest.clone();
            for (group, position) in &raises {
                let known = highest.entry(*group).or_insert(*position);
                *known = (*known).max(*position);
            }
            let rose = match step {
                Step::Raise(group, position) => floors.raise(&groups[group], position),
                Step::Token(positions) => {
                    let positions = positions.into_iter();
                    let positions =
                        positions.map(|(group, position)| (groups[group].clone(), position));
                    floors.raise_to(&PositionToken::new(positions.collect()))
                }
            };
            prop_assert_eq!(rose, before != highest);
            for (number, group) in groups.iter().enumerate() {
                prop_assert_eq!(floors.floor(group), highest.get(&number).copied());
            }
        }
        Ok(())
    });
    checked.expect("floors never fall");
}

fn set(name: &str, value: &str) -> SettingChange {
    SettingChange::Set {
        name: name.to_owned(),
        value: value.to_owned(),
    }
}

fn pairs(settings: &SessionSettings) -> Vec<(&str, &str)> {
    let committed = settings.committed().iter();
    committed
        .map(|(name, value)| (name.as_str(), value.as_str()))
        .collect()
}

#[test]
fn settings_follow_commits_and_savepoints() {
    let mut settings = SessionSettings::new(vec![("a".to_owned(), "1".to_owned())]);
    settings.apply_in_transaction(set("a", "2"));
    assert_eq!(pairs(&settings), [("a", "1")]);
    settings.rollback();
    settings.commit();
    assert_eq!(pairs(&settings), [("a", "1")]);
    settings.apply_in_transaction(set("b", "1"));
    settings.add_savepoint("s");
    settings.apply_in_transaction(set("c", "1"));
    settings.add_savepoint("t");
    settings.apply_in_transaction(set("d", "1"));
    settings.release_savepoint("t");
    settings.rollback_to_savepoint("s");
    settings.apply_in_transaction(set("e", "1"));
    settings.rollback_to_savepoint("unknown");
    assert_eq!(settings.names(), ["a", "b", "e"]);
    settings.commit();
    assert_eq!(pairs(&settings), [("a", "1"), ("b", "1"), ("e", "1")]);
}

#[test]
fn a_reset_restores_the_startup_value() {
    let mut settings = SessionSettings::new(vec![("a".to_owned(), "1".to_owned())]);
    settings.apply(set("a", "2"));
    settings.apply(set("b", "2"));
    assert_eq!(pairs(&settings), [("a", "2"), ("b", "2")]);
    let reset = |name: &str| SettingChange::Reset {
        name: name.to_owned(),
    };
    settings.apply(reset("a"));
    settings.apply(reset("b"));
    assert_eq!(pairs(&settings), [("a", "1")]);
    settings.apply(set("c", "3"));
    settings.apply(SettingChange::ResetAll);
    assert_eq!(pairs(&settings), [("a", "1")]);
}
