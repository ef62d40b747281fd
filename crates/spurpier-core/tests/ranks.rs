//! Rankings that are updated one node at a time equal recomputed ones, at a cost that does not grow
//! with the cluster.

use std::cell::Cell;
use std::collections::BTreeMap;

use proptest::prelude::*;
use spurpier_core::homes::subject_digest;
use spurpier_core::leader::{MAX_HOMES, RankedNode, WeightedScore, rank_homes};
use spurpier_core::membership::NodeKey;
use spurpier_core::ranks::{RankTable, Rankable};

const ZONES: u64 = 6;
const SUBJECTS: usize = 8;

fn subject(number: usize) -> String {
    format!("group-{number}")
}

fn node(number: u64, weight: f64) -> RankedNode {
    RankedNode {
        key: NodeKey(subject_digest(&format!("node-{number}"))),
        weight,
    }
}

/// One change of the table.
#[derive(Debug, Clone, Copy)]
enum Change {
    /// A node joins, or rejoins in another zone or with another weight.
    Put { number: u64, zone: u64, weight: f64 },
    /// A node leaves.
    Remove { number: u64 },
    /// Nodes are ranked for another subject.
    AddSubject,
}

fn change() -> impl Strategy<Value = Change> {
    let weight = prop::sample::select(vec![0.01, 0.12, 0.5, 1.0, 4.0]);
    prop_oneof![
        6 => (0u64..60, 0u64..3, weight)
            .prop_map(|(number, zone, weight)| Change::Put { number, zone, weight }),
        3 => (0u64..60).prop_map(|number| Change::Remove { number }),
        1 => Just(Change::AddSubject),
    ]
}

/// The highest-ranked nodes of each zone, computed from all nodes.
fn recomputed(
    nodes: &BTreeMap<u64, (u64, RankedNode)>,
    subject: &str,
    ranks_per_zone: usize,
) -> BTreeMap<u64, Vec<RankedNode>> {
    let mut zones: BTreeMap<u64, Vec<RankedNode>> = BTreeMap::new();
    for (zone, node) in nodes.values() {
        zones.entry(*zone).or_default().push(*node);
    }
    for members in zones.values_mut() {
        let order = rank_homes(subject, members)
            .into_iter()
            .take(ranks_per_zone);
        *members = order.map(|index| members[index]).collect();
    }
    zones
}

proptest! {
    #[test]
    fn incremental_rankings_match_recomputation(
        changes in prop::collection::vec(change(), 0..150),
        ranks_per_zone in 1usize..=MAX_HOMES,
    ) {
        let mut table: RankTable<RankedNode, u64> = RankTable::new(ranks_per_zone);
        let mut nodes = BTreeMap::new();
        let mut before: Vec<BTreeMap<u64, Vec<RankedNode>>> = Vec::new();
        for change in changes {
            let changed = match change {
                Change::Put { number, zone, weight } => {
                    let newcomer = node(number, weight);
                    let mut changed = table.remove(newcomer.key);
                    changed.extend(table.add(&zone, newcomer));
                    nodes.insert(number, (zone, newcomer));
                    changed
                }
                Change::Remove { number } => {
                    nodes.remove(&number);
                    table.remove(node(number, 1.0).key)
                }
                Change::AddSubject => {
                    let number = before.len();
                    prop_assert_eq!(table.add_subject(subject_digest(&subject(number))), number);
                    before.push(recomputed(&nodes, &subject(number), ranks_per_zone));
                    Vec::new()
                }
            };
            for (number, before) in before.iter_mut().enumerate() {
                let after = recomputed(&nodes, &subject(number), ranks_per_zone);
                let ranked = table.ranked_nodes(number);
                let ranked: BTreeMap<u64, Vec<RankedNode>> =
                    ranked.map(|(zone, nodes)| (*zone, nodes)).collect();
                prop_assert_eq!(&ranked, &after);
                if *before != after {
                    prop_assert!(changed.iter().any(|changed| changed.subject == number));
                }
                *before = after;
            }
            prop_assert_eq!(table.node_count(), nodes.len());
        }
    }
}

thread_local! {
    static SCORED: Cell<u64> = const { Cell::new(0) };
}

/// A node that counts how often nodes are scored.
#[derive(Debug, Clone, Copy)]
struct CountedNode(RankedNode);

impl Rankable for CountedNode {
    type Score = WeightedScore;

    fn key(&self) -> NodeKey {
        self.0.key
    }

    fn score(&self, subject_digest: u64) -> WeightedScore {
        SCORED.set(SCORED.get() + 1);
        self.0.score(subject_digest)
    }
}

/// Average number of scored nodes per change, while each node leaves and rejoins once.
fn scores_per_change(nodes: u64) -> f64 {
    let mut table = RankTable::new(MAX_HOMES);
    for number in 0..SUBJECTS {
        table.add_subject(subject_digest(&subject(number)));
    }
    for number in 0..nodes {
        table.add(&(number % ZONES), CountedNode(node(number, 1.0)));
    }
    SCORED.set(0);
    for number in 0..nodes {
        let moving = CountedNode(node(number, 1.0));
        table.remove(moving.0.key);
        table.add(&(number % ZONES), moving);
    }
    SCORED.get() as f64 / (2 * nodes) as f64
}

/// Maximum number of nodes scored per change and subject, in a cluster of any size.
///
/// A node that joins without being ranked costs two. In each zone 12 nodes are ranked, and when
/// one of them leaves, the zone's other nodes are scored once, with one more: on average over the
/// zone's nodes 12 or fewer, and as many again when the node takes back its position.
const MAX_SCORED: f64 = 24.0;

#[test]
fn the_cost_of_one_change_does_not_grow_with_the_cluster() {
    for nodes in [30, 300, 6_100] {
        let scored = scores_per_change(nodes) / SUBJECTS as f64;
        println!("{nodes} nodes: {scored:.1} scored per change and subject");
        assert!(scored <= MAX_SCORED, "{nodes} nodes: {scored}");
    }
}
