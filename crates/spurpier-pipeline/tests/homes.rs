//! Tests of the homes of groups: incremental updates give the same homes as a computation from the
//! whole node list, and lease holders are known across removals and restores of the store.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

use proptest::prelude::*;
use spurpier_core::homes::subject_digest;
use spurpier_core::leader::{
    Distance, LEADER_LEASE, LEADER_LEASE_MARGIN, RankedNode, homes_per_zone, rank_homes,
};
use spurpier_core::membership::NodeKey;
use spurpier_core::store_version::{StoreEra, StoreVersion};
use spurpier_core::time::Timestamp;
use spurpier_pipeline::homes::{ChosenNodes, Homes, PeerNode};
use spurpier_pipeline::node_entry::{LeaseScope, ListedNode, NodeEntry};
use spurpier_pipeline::settings::PipelineSettings;

const OWN: &str = "node-0";
const OWN_ZONE: &str = "zone-0";
const GROUPS: usize = 6;
const ZONES: u8 = 4;

fn settings() -> PipelineSettings {
    let text = r#"
        [node]
        name = "node-0"
        zone = "zone-0"
        region = "region-0"
        [listen]
        client = "127.0.0.1:1"
        ready = "127.0.0.1:2"
        internal = "127.0.0.1:3"
        control = "127.0.0.1:4"
        [zones]
        zone-0 = "region-0"
        zone-1 = "region-0"
        zone-2 = "region-1"
        [platform]
        store = "127.0.0.1:5"
        promotion = "127.0.0.1:6"
    "#;
    PipelineSettings::parse(text).expect("whole settings")
}

fn group(number: usize) -> String {
    format!("group-{number}")
}

fn distance(zone: &str) -> Distance {
    match zone {
        OWN_ZONE => Distance::Zone,
        "zone-1" => Distance::Region,
        _ => Distance::Remote,
    }
}

/// The varying fields of a node's entry in one row.
#[derive(Debug, Clone)]
struct Entry {
    zone: u8,
    weight: f64,
    port: u16,
    leaving: bool,
    lease_group: usize,
}

impl Entry {
    fn listed(&self) -> ListedNode {
        let entry = NodeEntry {
            address: SocketAddr::from(([127, 0, 0, 1], self.port)),
            zone: format!("zone-{}", self.zone),
            weight: self.weight,
            link_mbps: 100.0,
            leaving: self.leaving,
            leases: LeaseScope {
                groups: BTreeSet::from([group(self.lease_group)]),
                is_all: false,
            },
        };
        ListedNode {
            entry,
            version: StoreVersion::from_bits(1),
        }
    }
}

/// An update of the node list.
#[derive(Debug, Clone)]
enum ListUpdate {
    /// Changed rows; `None` removes a node.
    Rows(Vec<(u8, Option<Entry>)>),
    /// A full read of the list, from which these nodes were removed.
    Whole(Vec<u8>),
}

fn entry() -> impl Strategy<Value = Entry> {
    let weight = prop::sample::select(vec![0.12, 0.5, 1.0]);
    (
        0..ZONES,
        weight,
        1_000u16..1_003,
        prop::bool::weighted(0.1),
        0..GROUPS,
    )
        .prop_map(|(zone, weight, port, leaving, lease_group)| Entry {
            zone,
            weight,
            port,
            leaving,
            lease_group,
        })
}

fn list_update() -> impl Strategy<Value = ListUpdate> {
    let row = (0u8..40, prop::option::weighted(0.7, entry()));
    prop_oneof![
        9 => prop::collection::vec(row, 1..8).prop_map(ListUpdate::Rows),
        1 => prop::collection::vec(0u8..40, 0..20).prop_map(ListUpdate::Whole),
    ]
}

fn name(number: u8) -> String {
    format!("node-{number}")
}

fn key(name: &str) -> NodeKey {
    NodeKey(subject_digest(name))
}

/// Computes the homes of a group from the whole list.
fn recompute_homes(
    list: &BTreeMap<String, ListedNode>,
    group: &str,
    connections: usize,
) -> ChosenNodes {
    let staying = list.iter().filter(|(_, node)| !node.entry.leaving);
    let staying = staying.map(|(name, node)| (name.clone(), node.entry.clone()));
    let mut nodes: BTreeMap<String, NodeEntry> = staying.collect();
    let own = || NodeEntry::own(&settings());
    nodes.entry(OWN.to_owned()).or_insert_with(own);
    let zones: BTreeSet<&str> = nodes.values().map(|node| node.zone.as_str()).collect();
    let per_zone = homes_per_zone(connections, nodes.len(), zones.len());
    let mut chosen = Vec::new();
    for zone in zones {
        let members: Vec<_> = nodes.iter().filter(|(_, node)| node.zone == zone).collect();
        let ranked = members.iter().map(|(name, node)| RankedNode {
            key: key(name),
            weight: node.weight,
        });
        let order = rank_homes(group, &ranked.collect::<Vec<_>>());
        let first = order.into_iter().take(per_zone);
        chosen.extend(first.map(|index| {
            let (name, node) = members[index];
            PeerNode {
                name: name.clone(),
                address: node.address,
                zone: node.zone.clone(),
            }
        }));
    }
    chosen.sort_by_key(|node| distance(&node.zone));
    let others = chosen.iter().filter(|node| node.name != OWN);
    let others: Vec<PeerNode> = others.cloned().collect();
    let near = others.iter();
    let near = near.filter(|node| distance(&node.zone) != Distance::Remote);
    ChosenNodes {
        is_own: others.len() < chosen.len(),
        count: chosen.len(),
        near: near.count(),
        others,
    }
}

proptest! {
    #[test]
    fn incrementally_updated_homes_equal_recomputed_homes(
        updates in prop::collection::vec(list_update(), 1..25),
        connections in prop::collection::vec(
            prop::sample::select(vec![5usize, 30, 36, 69, 400]),
            GROUPS,
        ),
    ) {
        let homes = Homes::new(&settings());
        let mut list: BTreeMap<String, ListedNode> = BTreeMap::new();
        prop_assert!(homes.of(&group(0), connections[0]).is_own, "nothing is known yet");
        prop_assert_eq!(homes.served(), None);
        homes.replace(BTreeMap::new(), StoreEra::UNREPORTED, Timestamp::ZERO);
        let homes_of_all = |homes: &Homes| -> Vec<ChosenNodes> {
            let groups = connections.iter().enumerate();
            groups.map(|(number, count)| (*homes.of(&group(number), *count)).clone()).collect()
        };
        let mut before = homes_of_all(&homes);
        for update in updates {
            let changed = match update {
                ListUpdate::Rows(rows) => {
                    let rows = rows.into_iter();
                    let rows: Vec<(String, Option<ListedNode>)> = rows
                        .map(|(number, entry)| (name(number), entry.map(|entry| entry.listed())))
                        .collect();
                    for (name, node) in &rows {
                        match node {
                            Some(node) => list.insert(name.clone(), node.clone()),
                            None => list.remove(name),
                        };
                    }
                    Some(homes.change(rows, Timestamp::ZERO))
                }
                ListUpdate::Whole(missing) => {
                    for number in missing {
                        list.remove(&name(number));
                    }
                    homes.replace(list.clone(), StoreEra::UNREPORTED, Timestamp::ZERO);
                    None
                }
            };
            let after = homes_of_all(&homes);
            for (number, homes) in after.iter().enumerate() {
                let group = group(number);
                let recomputed = recompute_homes(&list, &group, connections[number]);
                prop_assert_eq!(homes, &recomputed);
                if let Some(changed) = &changed {
                    prop_assert_eq!(changed.contains(&group), *homes != before[number]);
                }
            }
            let own = after.iter().enumerate().filter(|(_, homes)| homes.is_own);
            let own: BTreeSet<String> = own.map(|(number, _)| group(number)).collect();
            let served = homes.served().expect("the list is known");
            prop_assert_eq!(served.iter().cloned().collect::<BTreeSet<_>>(), own);
            before = after;
        }
    }
}

#[test]
fn lease_scope_update_changes_no_homes_and_notifies_only_own_node() {
    let homes = Homes::new(&settings());
    let node = |lease_group| Entry {
        zone: 0,
        weight: 1.0,
        port: 1_000,
        leaving: false,
        lease_group,
    };
    let list = (0..20).map(|number| (name(number), node(0).listed()));
    homes.replace(list.collect(), StoreEra::UNREPORTED, Timestamp::ZERO);
    let before = homes.of(&group(0), 36);
    let mut own_changes = homes.own_changes();
    own_changes.mark_unchanged();
    let other = (name(7), Some(node(1).listed()));
    assert!(homes.change(vec![other], Timestamp::ZERO).is_empty());
    assert!(!own_changes.has_changed().expect("the sender lives"));
    assert!(std::sync::Arc::ptr_eq(&before, &homes.of(&group(0), 36)));
    let own = (name(0), Some(node(1).listed()));
    assert!(homes.change(vec![own], Timestamp::ZERO).is_empty());
    assert!(own_changes.has_changed().expect("the sender lives"));
}

/// An entry listed in an era of the store.
fn listed_in(era: u64, entry: &Entry) -> ListedNode {
    let era = StoreEra::new(era).expect("a small number");
    let version = StoreVersion::new(era, 1).expect("a small number");
    let listed = entry.listed();
    ListedNode { version, ..listed }
}

#[test]
fn node_lost_by_store_rollback_is_lease_holder_until_its_lease_expires() {
    let node = |lease_group| Entry {
        zone: 0,
        weight: 1.0,
        port: 1_000,
        leaving: false,
        lease_group,
    };
    let era = |number| StoreEra::new(number).expect("a small number");
    let homes = Homes::new(&settings());
    let list = (1..4).map(|number| (name(number), listed_in(1, &node(1))));
    homes.replace(list.collect(), era(1), Timestamp::ZERO);
    // The restored copy lacks node 1 and holds an older entry of node 2 that names another group.
    let older = [(2, 0), (3, 1)];
    let older = older.map(|(number, group)| (name(number), listed_in(2, &node(group))));
    let returned_at = Timestamp::ZERO + Duration::from_secs(1);
    homes.replace(BTreeMap::from(older), era(2), returned_at);
    let holders = |now| {
        let holders = homes.lease_holders(&group(1), now).into_iter();
        holders.map(|node| node.name).collect::<Vec<_>>()
    };
    assert_eq!(holders(returned_at), [name(1), name(2), name(3)]);
    // Updates in the new era do not show what the nodes registered for in the lost era.
    let later = vec![(name(2), Some(listed_in(2, &node(0)))), (name(2), None)];
    homes.change(later, returned_at);
    let ended = returned_at + LEADER_LEASE + LEADER_LEASE_MARGIN;
    let last = Timestamp::from_micros(ended.as_micros() - 1);
    assert_eq!(holders(last), [name(1), name(2), name(3)]);
    assert_eq!(holders(ended), [name(3)]);
}
