//! Benchmarks of the decisions on the statement path, with the inputs that a node has: a cached
//! policy, a cached classification and a snapshot of the group.

use std::hint::black_box;
use std::time::Duration;

use criterion::{Criterion, criterion_group, criterion_main};
use spurpier_core::group::{GroupView, ObservedStatus, ServerRole, ServerStatus, ServerView};
use spurpier_core::identity::{DatabaseName, ServerName, ZoneName};
use spurpier_core::policy::{PolicyInForce, RequestAttributes, StatementKind};
use spurpier_core::position::Position;
use spurpier_core::routing::{ReadDemand, ServerLoad, route_read, route_write};
use spurpier_core::statement::ClassificationCache;
use spurpier_core::time::Timestamp;

const STATEMENT: &str = "SELECT title FROM catalogue WHERE id >= 10 AND id < 20 ORDER BY id";
const CACHED_TEXTS: usize = 1_000;
const SERVERS: usize = 3;

fn group() -> GroupView {
    let server = |index: usize| {
        let role = if index == 0 {
            ServerRole::Primary
        } else {
            ServerRole::Replica
        };
        let position = Position::new(4, 1_000);
        ServerView {
            name: ServerName::from(format!("server-{index}")),
            zone: ZoneName::from(format!("zone-{index}")),
            observed: Some(ObservedStatus {
                requested_at: Timestamp::from_millis(1),
                status: ServerStatus {
                    vote_term: 4,
                    received: position,
                    term_parent: Position::ZERO,
                    applied: position,
                    upstream_applied: Position::ZERO,
                    role,
                    leaving: false,
                },
            }),
            reachable: true,
            leaving_hint: false,
        }
    };
    GroupView {
        servers: (0..SERVERS).map(server).collect(),
    }
}

fn decide(criterion: &mut Criterion) {
    let database = DatabaseName::from("members");
    let policy = PolicyInForce::initial(std::slice::from_ref(&database));
    let facts = RequestAttributes {
        database,
        user: "shop".to_owned(),
        statement: StatementKind::Read,
        zone: "gent-hal".to_owned(),
        class: String::new(),
    };
    criterion.bench_function("policy decision, cached", |bencher| {
        bencher.iter(|| policy.decide(black_box(&facts)));
    });
}

fn classify(criterion: &mut Criterion) {
    let cache = ClassificationCache::new(CACHED_TEXTS);
    criterion.bench_function("classification, cached", |bencher| {
        bencher.iter(|| cache.classify(black_box(STATEMENT)));
    });
}

fn route(criterion: &mut Criterion) {
    let view = group();
    let zone = ZoneName::from("zone-1");
    let loads = [ServerLoad {
        slots: 10,
        ..ServerLoad::default()
    }; SERVERS];
    let demand = ReadDemand {
        floor: Position::new(4, 900),
        upstream_floor: Position::ZERO,
        replica_allowed: true,
    };
    let replica_wait = Duration::from_millis(100);
    let now = Timestamp::from_millis(2);
    criterion.bench_function("route of a read", |bencher| {
        bencher.iter(|| route_read(black_box(&view), &demand, &loads, &zone, replica_wait, now));
    });
    criterion.bench_function("route of a write", |bencher| {
        bencher.iter(|| route_write(black_box(&view), now));
    });
}

fn confirm(criterion: &mut Criterion) {
    let view = group();
    let position = Position::new(4, 1_000);
    criterion.bench_function("confirmation of a commit", |bencher| {
        bencher.iter(|| view.is_confirmed(black_box(position)));
    });
    criterion.bench_function("read index", |bencher| {
        bencher.iter(|| view.read_index(black_box(Timestamp::ZERO)));
    });
}

criterion_group!(decisions, decide, classify, route, confirm);
criterion_main!(decisions);
