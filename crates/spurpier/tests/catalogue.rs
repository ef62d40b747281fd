//! The catalogues of events and reasons, and `docs/EVENTS.md`, say the same.

use std::collections::HashSet;
use std::ops::RangeInclusive;

use spurpier::events::{self, Event};
use spurpier_core::reason::{OutcomeClass, Reason};

/// The page, as it stands in the repository.
const PAGE: &str = include_str!("../../../docs/EVENTS.md");

/// The events of each part and the numbers that they may have.
const PARTS: &[(&str, &[Event], RangeInclusive<u16>)] = &[
    ("node", events::node::EVENTS, 1000..=1999),
    ("ingress", events::ingress::EVENTS, 2000..=2999),
    ("home", events::home::EVENTS, 3000..=3999),
    ("policy", events::policy::EVENTS, 4000..=4999),
    ("cluster", events::cluster::EVENTS, 5000..=5999),
    ("pipeline", spurpier_pipeline::events::EVENTS, 6000..=6999),
];

/// The table of the events as the page must have it.
fn event_table() -> String {
    let mut table = String::from("| number | name | level | what has happened | what to do |\n");
    table.push_str("|---|---|---|---|---|\n");
    for event in events::catalogue() {
        let Event {
            number,
            name,
            level,
            summary,
            action,
        } = event;
        let level = level.as_str().to_lowercase();
        table.push_str(&format!(
            "| {number} | `{name}` | {level} | {summary} | {action} |\n"
        ));
    }
    table
}

/// The table of the reasons as the page must have it.
fn reason_table() -> String {
    let mut table = String::from("| code | SQLSTATE | outcome | message |\n|---|---|---|---|\n");
    for reason in Reason::ALL {
        let outcome = match reason.class() {
            OutcomeClass::Done => "done",
            OutcomeClass::NotRun => "not run",
            OutcomeClass::Unknown => "unknown",
        };
        let (code, sqlstate, text) = (reason.code(), reason.sqlstate(), reason.text());
        table.push_str(&format!(
            "| `{code}` | `{sqlstate}` | {outcome} | {text} |\n"
        ));
    }
    table
}

/// The text between the page's markers `<!-- begin NAME -->` and `<!-- end NAME -->`.
fn section(name: &str) -> &'static str {
    let begin = format!("<!-- begin {name} -->\n");
    let end = format!("<!-- end {name} -->");
    let start = PAGE.find(&begin).expect("the begin marker") + begin.len();
    let length = PAGE[start..].find(&end).expect("the end marker");
    &PAGE[start..start + length]
}

#[test]
fn the_page_lists_every_event() {
    let expected = event_table();
    assert_eq!(
        section("events"),
        expected,
        "docs/EVENTS.md must hold:\n{expected}"
    );
}

#[test]
fn the_page_lists_every_reason() {
    let expected = reason_table();
    assert_eq!(
        section("reasons"),
        expected,
        "docs/EVENTS.md must hold:\n{expected}"
    );
}

#[test]
fn event_numbers_lie_in_the_range_of_their_part_in_order() {
    for (part, events, range) in PARTS {
        let numbers: Vec<u16> = events.iter().map(|event| event.number).collect();
        assert!(
            numbers.iter().all(|number| range.contains(number)),
            "{part}: {numbers:?}"
        );
        assert!(
            numbers.is_sorted_by(|left, right| left < right),
            "{part}: {numbers:?}"
        );
    }
}

#[test]
fn every_part_is_in_the_catalogue() {
    let of_parts: usize = PARTS.iter().map(|(_, events, _)| events.len()).sum();
    assert_eq!(events::catalogue().len(), of_parts);
}

#[test]
fn names_and_codes_are_unique() {
    let catalogue = events::catalogue();
    let names: HashSet<&str> = catalogue.iter().map(|event| event.name).collect();
    assert_eq!(names.len(), catalogue.len());
    let codes: HashSet<&str> = Reason::ALL.iter().map(|reason| reason.code()).collect();
    assert_eq!(codes.len(), Reason::ALL.len());
}

#[test]
fn the_first_digit_of_a_reason_tells_its_outcome() {
    for reason in Reason::ALL {
        let prefix = match reason.class() {
            OutcomeClass::NotRun => "SP1",
            OutcomeClass::Unknown => "SP2",
            OutcomeClass::Done => "SP3",
        };
        assert!(reason.code().starts_with(prefix), "{reason:?}");
        assert_eq!(reason.sqlstate().len(), 5, "{reason:?}");
    }
}
