//! Checks that the version of a document never decreases, that equal versions have equal content,
//! and when a node requests versions from peers and polls the platform.

use std::sync::Arc;

use proptest::prelude::*;
use spurpier_core::distribution::{
    ApplyError, Delta, Distribution, DistributionAction, DistributionConfig, DistributionEvent,
    DistributionMessage, Document, EntryChange, FetchedChanges, OwnedDocument, ReadFailure,
    difference,
};
use spurpier_core::membership::NodeKey;
use spurpier_core::time::Timestamp;
use spurpier_core::wire::List;

/// Retained changes in these tests: few, so that some requests are for changes no longer retained.
const RETAINED_CHANGES: usize = 4;

fn change(key: u8, value: Option<u8>, version: u64) -> EntryChange {
    EntryChange {
        key: Arc::from(format!("key-{key}")),
        value: value.map(|value| Arc::from(format!("value-{value}"))),
        changed_in: version,
    }
}

/// Applies one change per version; returns each version of the document with its delta.
fn history(changes: &[(u8, Option<u8>)]) -> Vec<(Document, Delta)> {
    let mut document = Document::default();
    let mut versions = Vec::new();
    for (index, (key, value)) in changes.iter().enumerate() {
        let version = index as u64 + 1;
        let delta = document.delta_with(version, vec![change(*key, *value, version)]);
        document
            .apply(&delta, RETAINED_CHANGES)
            .expect("the next version applies");
        versions.push((document.clone(), delta));
    }
    versions
}

fn contents(document: &Document) -> Vec<(String, String)> {
    document
        .iter()
        .map(|(key, value)| (key.to_string(), value.to_string()))
        .collect()
}

fn changes() -> impl Strategy<Value = Vec<(u8, Option<u8>)>> {
    prop::collection::vec((0u8..5, prop::option::of(0u8..4)), 1..20)
}

proptest! {
    #[test]
    fn versions_never_decrease_and_reach_the_newest(
        changes in changes(),
        order in prop::collection::vec(
            (any::<prop::sample::Index>(), any::<prop::sample::Index>()),
            0..60,
        ),
    ) {
        let versions = history(&changes);
        let newest = &versions.last().expect("there is a version").0;
        let mut node = Document::default();
        for (from, to) in order {
            let before = node.version();
            let (source, direct) = to.get(&versions);
            let since = from.get(&versions).0.version();
            // Apply the delta of one version, and then a peer's response to a request.
            let _ = node.apply(direct, RETAINED_CHANGES);
            match source.delta_since(since) {
                Some(delta) => { let _ = node.apply(&delta, RETAINED_CHANGES); }
                None => { let _ = node.replace(&source.snapshot()); }
            }
            prop_assert!(node.version() >= before);
            if node.version() > 0 {
                let expected = &versions[node.version() as usize - 1].0;
                prop_assert_eq!(contents(&node), contents(expected));
                prop_assert_eq!(node.digest(), expected.digest());
            }
        }
        match newest.delta_since(node.version()) {
            Some(delta) if delta.version > node.version() => {
                prop_assert_eq!(node.apply(&delta, RETAINED_CHANGES), Ok(()));
            }
            Some(_) => {}
            None => { let _ = node.replace(&newest.snapshot()); }
        }
        prop_assert_eq!(contents(&node), contents(newest));
    }

    #[test]
    fn applying_a_difference_produces_the_target_document(
        changes in changes(),
        from in any::<prop::sample::Index>(),
    ) {
        let versions = history(&changes);
        let mut document = from.get(&versions).0.clone();
        let target = &versions.last().expect("there is a version").0;
        let entries: Vec<_> = target
            .iter()
            .map(|(key, value)| (key.clone(), value.clone()))
            .collect();
        let delta = difference(&document, target.version() + 1, &entries);
        prop_assert_eq!(document.apply(&delta, RETAINED_CHANGES), Ok(()));
        prop_assert_eq!(contents(&document), contents(target));
        prop_assert_eq!(document.digest(), target.digest());
    }
}

#[test]
fn a_delta_with_a_wrong_digest_changes_nothing() {
    let mut document = Document::default();
    let mut delta = document.delta_with(1, vec![change(1, Some(1), 1)]);
    delta.changes = List(vec![change(1, Some(2), 1)]);
    assert_eq!(
        document.apply(&delta, RETAINED_CHANGES),
        Err(ApplyError::DigestMismatch)
    );
    assert_eq!(document, Document::default());
}

fn distribution() -> Distribution<OwnedDocument> {
    Distribution::new(
        OwnedDocument::default(),
        Arc::new(DistributionConfig::default()),
        1,
    )
}

#[test]
fn a_new_node_immediately_requests_the_document_from_a_peer() {
    let mut node = distribution();
    let peer = NodeKey(3);
    let event = DistributionEvent::PeerVersion { peer, version: 9 };
    let actions = node.handle(Timestamp::ZERO, event);
    let requested = actions.iter().any(|action| {
        matches!(
            action,
            DistributionAction::Send {
                to,
                message: DistributionMessage::Request { since: 0 },
                ..
            } if *to == peer
        )
    });
    assert!(requested, "{actions:?}");
}

#[test]
fn an_outdated_platform_answer_changes_nothing() {
    let versions = history(&[(1, Some(1)), (1, Some(2))]);
    let mut node = distribution();
    let deltas = versions.iter().map(|(_, delta)| delta.clone()).collect();
    let now = Timestamp::ZERO;
    node.handle(
        now,
        DistributionEvent::ChangesFetched(Ok(FetchedChanges::Deltas(deltas))),
    );
    assert_eq!(node.version(), 2);
    let old = FetchedChanges::FullDocument {
        version: 1,
        entries: Vec::new(),
    };
    let actions = node.handle(now, DistributionEvent::ChangesFetched(Ok(old)));
    assert_eq!(node.version(), 2);
    assert_eq!(actions, Vec::new());
}

#[test]
fn a_watcher_backs_off_after_failures_up_to_the_maximum() {
    let config = DistributionConfig::default();
    let mut node = distribution();
    let mut now = Timestamp::ZERO;
    node.handle(now, DistributionEvent::Watching(true));
    let mut delays = Vec::new();
    for _ in 0..12 {
        now = node.next_deadline();
        let actions = node.handle(now, DistributionEvent::Tick);
        assert_eq!(actions, vec![DistributionAction::ReadHead]);
        node.handle(
            now,
            DistributionEvent::HeadRead(Err(ReadFailure::default())),
        );
        delays.push(node.next_deadline().since(now));
    }
    assert!(delays.iter().all(|delay| *delay <= config.poll_backoff_max));
    assert!(delays[11] >= config.poll_backoff_max / 2);
    assert!(delays[0] < config.poll_backoff_max / 2);
}
