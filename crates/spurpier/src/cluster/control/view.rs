//! What a node knows of the others, as an immutable snapshot for readers.

use std::collections::HashMap;
use std::sync::Arc;

use arc_swap::ArcSwap;
use spurpier_core::homes::HomeTable;
use spurpier_core::identity::{DatabaseName, NodeName, ZoneName};
use spurpier_core::membership::{MemberIdentity, MemberStatus, Membership, NodeKey};

use super::reach::Reach;
use crate::cluster::homes::{HomeAddress, HomeDirectory, HomePlace};

/// How far a node is from this one; nearer ones are tried first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Distance {
    OwnZone,
    OwnRegion,
    OtherRegion,
}

/// Another node that may be a home.
#[derive(Debug, Clone)]
struct KnownNode {
    address: HomeAddress,
    distance: Distance,
    is_usable: bool,
    seen: SeenMember,
}

/// What this node says of another one.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SeenMember {
    /// The node.
    pub name: NodeName,
    /// Its zone.
    pub zone: ZoneName,
    /// What is said of it.
    pub status: MemberStatus,
}

/// The members and the homes of databases as this node sees them at one moment.
#[derive(Debug, Clone)]
pub struct ClusterView {
    own: NodeKey,
    homes: HomeTable,
    nodes: HashMap<NodeKey, KnownNode>,
    /// Whether this node will stop and takes no new work.
    pub is_leaving: bool,
    /// Whether this node has received a whole view from a peer.
    pub is_joined: bool,
    /// Whether this node reads the platform for its zone.
    pub is_watcher: bool,
    /// The version of the policy that this node passes on; 0 for none.
    pub policy_version: u64,
}

impl ClusterView {
    pub(super) fn new(
        membership: &Membership,
        homes: &HomeTable,
        reach: &Reach,
        is_watcher: bool,
        policy_version: u64,
    ) -> Self {
        let own = membership.identity();
        let nodes = membership
            .members()
            .iter()
            .map(|member| {
                let node = KnownNode {
                    address: HomeAddress {
                        node: member.identity.name.clone(),
                        internal: reach.internal(&member.identity),
                    },
                    distance: distance(own, &member.identity),
                    is_usable: member.usable,
                    seen: SeenMember {
                        name: member.identity.name.clone(),
                        zone: member.identity.zone.clone(),
                        status: member.state.status,
                    },
                };
                (member.identity.key(), node)
            })
            .collect();
        ClusterView {
            own: membership.key(),
            homes: homes.clone(),
            nodes,
            is_leaving: membership.state().status != MemberStatus::Alive,
            is_joined: membership.is_joined(),
            is_watcher,
            policy_version,
        }
    }

    /// Whether this node is the first-ranked home of the database.
    pub fn is_own_first_home(&self, database: &DatabaseName) -> bool {
        self.homes.is_first_home(database, self.own)
    }

    /// The other members, in no particular order.
    pub fn seen_members(&self) -> impl Iterator<Item = &SeenMember> {
        self.nodes.values().map(|node| &node.seen)
    }

    /// The other members by name, in no particular order.
    pub fn members(&self) -> impl Iterator<Item = &NodeName> {
        self.nodes.values().map(|node| &node.address.node)
    }

    /// The other members that take new work.
    pub fn usable_members(&self) -> impl Iterator<Item = &NodeName> {
        self.nodes
            .values()
            .filter(|node| node.is_usable)
            .map(|node| &node.address.node)
    }

    /// Whether this node is a home of the database.
    pub fn is_own_home(&self, database: &DatabaseName) -> bool {
        self.homes.is_home(database, self.own)
    }

    /// How many nodes are homes of the database; at least one is counted.
    pub fn home_count(&self, database: &DatabaseName) -> usize {
        let ranked = self.homes.homes_of(database).unwrap_or_default();
        let count: usize = ranked.zones.iter().map(|zone| zone.nodes.len()).sum();
        count.max(1)
    }

    /// The homes of a database: this node, or else nodes that take new work by their distance and
    /// rank, then those in doubt.
    ///
    /// A node that is leaving is no home, but still finishes what its clients have begun when it
    /// finds no other home.
    pub fn homes(&self, database: &DatabaseName) -> Vec<HomePlace> {
        if self.is_own_home(database) {
            return vec![HomePlace::Local];
        }
        let ranked = self.homes.homes_of(database).unwrap_or_default();
        let keys = ranked.zones.iter().flat_map(|zone| &zone.nodes);
        let mut nodes: Vec<&KnownNode> = keys.filter_map(|key| self.nodes.get(key)).collect();
        // Stable, so that the rank decides among the nodes of a zone.
        nodes.sort_by_key(|node| (!node.is_usable, node.distance));
        let remote = nodes
            .into_iter()
            .map(|node| HomePlace::Remote(node.address.clone()));
        let last = self.is_leaving.then_some(HomePlace::Local);
        remote.chain(last).collect()
    }
}

fn distance(own: &MemberIdentity, other: &MemberIdentity) -> Distance {
    if own.zone == other.zone {
        Distance::OwnZone
    } else if own.region == other.region {
        Distance::OwnRegion
    } else {
        Distance::OtherRegion
    }
}

/// The homes by the present view.
#[derive(Debug, Clone)]
pub struct MemberHomes {
    pub(super) view: Arc<ArcSwap<ClusterView>>,
}

impl HomeDirectory for MemberHomes {
    fn homes(&self, database: &DatabaseName) -> Vec<HomePlace> {
        self.view.load().homes(database)
    }
}
