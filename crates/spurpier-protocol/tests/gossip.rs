//! Control messages are unchanged by encoding and decoding, and invalid input is rejected.

use std::net::SocketAddr;
use std::sync::Arc;

use assert_matches::assert_matches;
use proptest::prelude::*;
use spurpier_core::control::{GossipBody, GossipMessage};
use spurpier_core::distribution::{Delta, DistributionMessage, EntryChange, Snapshot};
use spurpier_core::identity::{NodeName, RegionName, ZoneName};
use spurpier_core::membership::{
    MemberAddresses, MemberIdentity, MemberState, MemberUpdate, MembershipMessage, NodeKey,
};
use spurpier_core::wire::List;
use spurpier_protocol::gossip::{GOSSIP_VERSION, InvalidGossip, decode, encode};

fn address() -> impl Strategy<Value = SocketAddr> {
    any::<(std::net::IpAddr, u16)>().prop_map(SocketAddr::from)
}

fn update() -> impl Strategy<Value = MemberUpdate> {
    let identity = (any::<[String; 3]>(), [address(), address(), address()]);
    (any::<u64>(), any::<u64>(), prop::option::of(identity)).prop_map(
        |(key, incarnation, identity)| MemberUpdate {
            key: NodeKey(key),
            state: MemberState::alive(incarnation),
            identity: identity.map(|([name, zone, region], [gossip, internal, postgres])| {
                Arc::new(MemberIdentity {
                    name: NodeName::from(name),
                    zone: ZoneName::from(zone),
                    region: RegionName::from(region),
                    addresses: MemberAddresses {
                        gossip,
                        internal,
                        postgres,
                    },
                })
            }),
        },
    )
}

fn entries() -> impl Strategy<Value = List<EntryChange>> {
    let entry = (any::<String>(), any::<Option<String>>(), any::<u64>()).prop_map(
        |(key, value, changed_in)| EntryChange {
            key: key.into(),
            value: value.map(Into::into),
            changed_in,
        },
    );
    prop::collection::vec(entry, 0..6).prop_map(List)
}

fn body() -> impl Strategy<Value = GossipBody> {
    let updates = || prop::collection::vec(update(), 0..5).prop_map(List);
    let membership = prop_oneof![
        (any::<u32>(), any::<u64>(), updates()).prop_map(|(number, view_digest, updates)| {
            MembershipMessage::Probe {
                number,
                view_digest,
                updates,
            }
        }),
        updates().prop_map(MembershipMessage::FullView),
        update().prop_map(MembershipMessage::Join),
        prop::collection::vec(any::<u64>(), 0..128)
            .prop_map(|digests| MembershipMessage::BucketDigests(List(digests))),
        (any::<Vec<u8>>(), updates(), any::<bool>()).prop_map(
            |(buckets, states, reply_requested)| {
                MembershipMessage::BucketStates {
                    buckets: List(buckets),
                    states,
                    reply_requested,
                }
            }
        ),
    ];
    let spread = prop_oneof![
        any::<u64>().prop_map(|since| DistributionMessage::Request { since }),
        (any::<[u64; 3]>(), entries()).prop_map(|([base, version, digest], changes)| {
            DistributionMessage::Changes(Delta {
                base,
                version,
                digest,
                changes,
            })
        }),
        (any::<[u64; 2]>(), entries()).prop_map(|([version, digest], entries)| {
            DistributionMessage::Snapshot(Snapshot {
                version,
                digest,
                entries,
            })
        }),
    ];
    prop_oneof![
        membership.prop_map(GossipBody::Membership),
        spread.prop_map(GossipBody::Distribution),
    ]
}

fn message() -> impl Strategy<Value = GossipMessage> {
    (any::<u64>(), any::<u64>(), body()).prop_map(|(sender, version, body)| GossipMessage {
        sender: NodeKey(sender),
        version,
        body,
    })
}

proptest! {
    #[test]
    fn decoding_an_encoded_message_returns_it(message in message()) {
        prop_assert_eq!(decode(&encode(&message)), Ok(message));
    }

    #[test]
    fn a_truncated_message_is_rejected(message in message(), cut in any::<prop::sample::Index>()) {
        let bytes = encode(&message);
        let kept = cut.index(bytes.len());
        prop_assert!(decode(&bytes[..kept]).is_err());
    }

    #[test]
    fn random_bytes_never_panic(mut bytes in prop::collection::vec(any::<u8>(), 1..400)) {
        bytes[0] = GOSSIP_VERSION;
        let _ = decode(&bytes);
    }

    #[test]
    fn a_changed_byte_never_panics(
        message in message(),
        position in any::<prop::sample::Index>(),
        value in any::<u8>(),
    ) {
        let mut bytes = encode(&message);
        let index = position.index(bytes.len());
        bytes[index] = value;
        let _ = decode(&bytes);
    }
}

#[test]
fn a_forged_length_allocates_no_memory() {
    let message = GossipMessage {
        sender: NodeKey(1),
        version: 1,
        body: GossipBody::Membership(MembershipMessage::BucketDigests(List(Vec::new()))),
    };
    let mut bytes = encode(&message);
    let length_at = bytes.len() - 4;
    bytes[length_at..].copy_from_slice(&u32::MAX.to_le_bytes());
    assert_eq!(decode(&bytes), Err(InvalidGossip::Malformed));
}

#[test]
fn other_versions_and_trailing_bytes_are_rejected() {
    let message = GossipMessage {
        sender: NodeKey(1),
        version: 1,
        body: GossipBody::Distribution(DistributionMessage::Request { since: 1 }),
    };
    let mut bytes = encode(&message);
    bytes.push(0);
    assert_matches!(decode(&bytes), Err(InvalidGossip::TrailingBytes(1)));
    bytes[0] = GOSSIP_VERSION + 1;
    assert_matches!(decode(&bytes), Err(InvalidGossip::OtherVersion(_)));
    assert_matches!(decode(&[]), Err(InvalidGossip::Empty));
}

#[test]
fn a_program_longer_than_65535_bytes_is_not_truncated() {
    let change = EntryChange {
        key: "program".into(),
        value: Some("x".repeat(100_000).into()),
        changed_in: 1,
    };
    let message = GossipMessage {
        sender: NodeKey(1),
        version: 1,
        body: GossipBody::Distribution(DistributionMessage::Changes(Delta {
            base: 0,
            version: 1,
            digest: 1,
            changes: List(vec![change]),
        })),
    };
    assert_eq!(decode(&encode(&message)), Ok(message));
}
