//! What one row of the list of nodes costs a node that ranks the fleet for eight groups: the ranks
//! moved by that node alone, and computed anew.

use std::collections::BTreeMap;
use std::hint::black_box;

use criterion::{BenchmarkId, Criterion, criterion_group, criterion_main};
use spurpier_core::homes::subject_digest;
use spurpier_core::leader::{MAX_HOMES, RankedNode, rank_homes};
use spurpier_core::membership::NodeKey;
use spurpier_core::ranks::{RankTable, Rankable};

const CLUSTER_SIZES: [u64; 3] = [30, 300, 6_100];
const ZONES: u64 = 6;
const GROUPS: usize = 8;

fn group(number: usize) -> String {
    format!("group-{number}")
}

fn node(number: u64) -> RankedNode {
    RankedNode {
        key: NodeKey(subject_digest(&format!("node-{number}"))),
        weight: 1.0,
    }
}

/// One node goes and comes back: two rows.
fn update_incrementally(criterion: &mut Criterion) {
    let mut benches = criterion.benchmark_group("two rows, ranks moved");
    for size in CLUSTER_SIZES {
        let mut table = RankTable::new(MAX_HOMES);
        for number in 0..GROUPS {
            table.add_subject(subject_digest(&group(number)));
        }
        for number in 0..size {
            table.add(&(number % ZONES), node(number));
        }
        let mut next = 0;
        benches.bench_function(BenchmarkId::from_parameter(size), |bencher| {
            bencher.iter(|| {
                let moving = node(next);
                black_box(table.remove(moving.key()));
                black_box(table.add(&(next % ZONES), moving));
                next = (next + 1) % size;
            });
        });
    }
}

/// The ranks of all zones computed twice from all nodes.
fn recompute(criterion: &mut Criterion) {
    let mut benches = criterion.benchmark_group("two rows, ranks computed anew");
    for size in CLUSTER_SIZES {
        let mut zones: BTreeMap<u64, Vec<RankedNode>> = BTreeMap::new();
        for number in 0..size {
            zones.entry(number % ZONES).or_default().push(node(number));
        }
        benches.bench_function(BenchmarkId::from_parameter(size), |bencher| {
            bencher.iter(|| {
                for number in 0..2 * GROUPS {
                    let name = group(number % GROUPS);
                    for members in zones.values() {
                        black_box(rank_homes(&name, members));
                    }
                }
            });
        });
    }
}

criterion_group!(ranks, update_incrementally, recompute);
criterion_main!(ranks);
