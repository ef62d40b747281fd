//! The view of the members does not depend on the order in which updates arrive.

use std::net::SocketAddr;
use std::sync::Arc;

use proptest::prelude::*;
use spurpier_core::identity::{NodeName, RegionName, ZoneName};
use spurpier_core::membership::{
    MemberAddresses, MemberIdentity, MemberState, MemberStatus, MemberUpdate, Membership,
    MembershipAction, MembershipConfig, MembershipEvent, MembershipMessage, NodeKey,
};
use spurpier_core::time::Timestamp;
use spurpier_core::wire::List;

fn identity(number: u16) -> Arc<MemberIdentity> {
    let address = |port| SocketAddr::from(([127, 0, (number >> 8) as u8, number as u8], port));
    Arc::new(MemberIdentity {
        name: NodeName::from(format!("node-{number}")),
        zone: ZoneName::from(format!("zone-{}", number % 3)),
        region: RegionName::from("region"),
        addresses: MemberAddresses {
            gossip: address(1),
            internal: address(2),
            postgres: address(3),
        },
    })
}

fn node() -> Membership {
    let config = Arc::new(MembershipConfig::default());
    Membership::new(identity(999), 1, Vec::new(), config, 1)
}

fn status() -> impl Strategy<Value = MemberStatus> {
    prop_oneof![
        Just(MemberStatus::Alive),
        Just(MemberStatus::Suspect),
        Just(MemberStatus::Leaving),
        Just(MemberStatus::SuspectLeaving),
        Just(MemberStatus::Dead),
        Just(MemberStatus::Left),
    ]
}

fn update() -> impl Strategy<Value = MemberUpdate> {
    (0u16..6, 1u64..4, status()).prop_map(|(number, incarnation, status)| {
        let identity = identity(number);
        MemberUpdate {
            key: identity.key(),
            state: MemberState {
                incarnation,
                status,
            },
            identity: Some(identity),
        }
    })
}

fn apply(node: &mut Membership, updates: &[MemberUpdate]) -> Vec<MembershipAction> {
    let mut actions = Vec::new();
    for update in updates {
        let event = MembershipEvent::Received {
            sender: NodeKey(7),
            from: None,
            message: MembershipMessage::Updates(List(vec![update.clone()])),
        };
        actions.extend(node.handle(Timestamp::from_millis(1), event));
    }
    actions
}

fn known(node: &Membership) -> Vec<(NodeKey, MemberState)> {
    let mut known: Vec<_> = node
        .members()
        .iter()
        .map(|member| (member.identity.key(), member.state))
        .collect();
    known.sort();
    known
}

proptest! {
    #[test]
    fn the_order_of_updates_does_not_matter(
        updates in prop::collection::vec(update(), 0..24),
        seed in any::<u64>(),
    ) {
        let mut shuffled = updates.clone();
        // A permutation that depends on the seed only, with every update twice.
        shuffled.sort_by_key(|update| update.key.0.rotate_left((seed % 64) as u32) ^ seed);
        shuffled.extend(updates.iter().rev().cloned());
        let mut first = node();
        let mut second = node();
        apply(&mut first, &updates);
        apply(&mut second, &shuffled);
        prop_assert_eq!(known(&first), known(&second));
        prop_assert_eq!(first.view_digest(), second.view_digest());
    }

    #[test]
    fn a_member_is_known_unless_its_newest_update_says_that_it_is_gone(
        updates in prop::collection::vec(update(), 0..24),
    ) {
        let mut node = node();
        apply(&mut node, &updates);
        for number in 0..6 {
            let key = identity(number).key();
            let newest = updates
                .iter()
                .filter(|update| update.key == key)
                .map(|update| update.state)
                .max();
            let expected = newest.filter(|state| !state.status.is_gone());
            prop_assert_eq!(node.member(key).map(|member| member.state), expected);
        }
    }

    #[test]
    fn a_living_node_refutes_every_update_about_itself(
        incarnation in prop_oneof![1u64..100, Just(u64::MAX - 1)],
        status in status(),
    ) {
        let mut node = node();
        let reported = MemberState { incarnation, status };
        let update = MemberUpdate { key: node.key(), state: reported, identity: None };
        let before = node.state();
        apply(&mut node, &[update]);
        prop_assert!(node.state() >= reported);
        prop_assert!(node.state() >= before);
        prop_assert_eq!(node.state().status, MemberStatus::Alive);
    }
}

#[test]
fn a_stopped_node_does_not_refute_its_departure() {
    let mut node = node();
    node.handle(Timestamp::ZERO, MembershipEvent::Stop);
    let reported = MemberState {
        incarnation: 5,
        status: MemberStatus::Dead,
    };
    let update = MemberUpdate {
        key: node.key(),
        state: reported,
        identity: None,
    };
    apply(&mut node, &[update]);
    assert_eq!(node.state().status, MemberStatus::Left);
    assert_eq!(node.state().incarnation, 1);
}

#[test]
fn an_identity_that_does_not_belong_to_its_key_is_refused() {
    let mut node = node();
    let update = MemberUpdate {
        key: identity(1).key(),
        state: MemberState::alive(1),
        identity: Some(identity(2)),
    };
    apply(&mut node, &[update]);
    assert!(node.members().is_empty());
}
