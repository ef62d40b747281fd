//! Cost of one changed row in the list of nodes for a node that ranks all nodes for eight groups:
//! rankings updated incrementally, and recomputed.

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

/// One node leaves and rejoins, which changes two rows.
fn update_incrementally(criterion: &mut Criterion) {
    let mut benches = criterion.benchmark_group("two rows, rankings updated");
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

/// Computes the rankings of all zones twice from all nodes, once for each changed row.
fn recompute(criterion: &mut Criterion) {
    let mut benches = criterion.benchmark_group("two rows, rankings recomputed");
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
