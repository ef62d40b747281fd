//! Conversion of policies to and from entries of the distributed document.

use assert_matches::assert_matches;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use spurpier_core::distribution::{Document, difference};
use spurpier_core::identity::DatabaseName;
use spurpier_core::policy::{
    INITIAL_PROGRAM, InvalidDocument, MAX_ENTRY_BYTES, MAX_PROGRAM_BYTES, PolicyDocument,
    PolicyHead, PolicyProgram, next_placements, policy_entries, policy_from_entries,
};

const BY_LENGTH: &str =
    r#"fn write_side(d) { if d.len % 2 == 0 { "new" } else { "old" } } fn route(r) { #{} }"#;

fn published(
    version: u64,
    program: &str,
    databases: &[DatabaseName],
) -> (PolicyHead, PolicyDocument) {
    let compiled = PolicyProgram::compile(program).expect("valid program");
    let document = PolicyDocument {
        version,
        program: program.to_owned(),
        placements: next_placements(&[], &compiled, databases, version).expect("valid program"),
    };
    let head = PolicyHead {
        version,
        digest: document.digest(),
        publish_id: format!("publication-{version}"),
    };
    (head, document)
}

fn install(document: &mut Document, (head, policy): &(PolicyHead, PolicyDocument)) {
    let entries = policy_entries(head, policy);
    let delta = difference(document, head.version, &entries);
    document.apply(&delta, 100).expect("newer");
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 200,
        rng_seed: RngSeed::Fixed(3),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn policies_are_restored_from_their_entries(
        first in prop::collection::vec("[a-zA-Z0-9_./ é-]{1,12}", 0..20),
        second in prop::collection::vec("[a-zA-Z0-9_./ é-]{1,12}", 0..20),
    ) {
        let mut document = Document::default();
        for (version, names, program) in [(1, first, INITIAL_PROGRAM), (4, second, BY_LENGTH)] {
            let databases: Vec<DatabaseName> = names.into_iter().map(DatabaseName::from).collect();
            let policy = published(version, program, &databases);
            install(&mut document, &policy);
            prop_assert_eq!(policy_from_entries(&document).expect("complete"), policy);
        }
    }
}

#[test]
fn incomplete_entries_are_refused() {
    assert_matches!(
        policy_from_entries(&Document::default()),
        Err(InvalidDocument::Malformed(_))
    );
    let (head, document) = published(1, INITIAL_PROGRAM, &["orders".into(), "stock".into()]);
    let entries = policy_entries(&head, &document);
    for missing in 0..entries.len() {
        let mut partial = entries.clone();
        partial.remove(missing);
        let mut partial_document = Document::default();
        let delta = difference(&partial_document, 1, &partial);
        partial_document.apply(&delta, 100).expect("newer");
        assert!(policy_from_entries(&partial_document).is_err());
    }
}

#[test]
fn the_longest_program_fits_an_entry() {
    const { assert!(MAX_PROGRAM_BYTES <= MAX_ENTRY_BYTES) };
}
