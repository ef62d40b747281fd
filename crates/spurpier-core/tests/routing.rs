//! Routing: whatever the state of the group, no read runs below its floor.

use std::time::Duration;

use proptest::prelude::*;
use spurpier_core::group::{
    GroupView, ObservedStatus, STATUS_VALIDITY, ServerRole, ServerStatus, ServerView,
};
use spurpier_core::identity::{ServerName, ZoneName};
use spurpier_core::position::Position;
use spurpier_core::routing::{
    PlannedTransfer, ReadDemand, Route, ServerLoad, planned_transfer, route_read, route_write,
};
use spurpier_core::time::Timestamp;

/// The time of the routing decisions; statuses may be too old by then.
const NOW: Timestamp = Timestamp::from_millis(3_000);

prop_compose! {
    fn position()(term in 1_u64..4, offset in 1_u64..12) -> Position {
        Position::new(term, offset)
    }
}

prop_compose! {
    fn server()(
        received in position(),
        behind in 0_u64..4,
        newer_vote in 0_u64..2,
        primary in any::<bool>(),
        leaving in proptest::bool::weighted(0.2),
        reachable in proptest::bool::weighted(0.8),
        upstream in position(),
        zone in 0_u8..3,
        requested_at in 0_u64..3_000,
    ) -> ServerView {
        ServerView {
            name: ServerName::from("server"),
            zone: ZoneName::from(format!("zone-{zone}")),
            observed: Some(ObservedStatus {
                requested_at: Timestamp::from_millis(requested_at),
                status: ServerStatus {
                    vote_term: received.term + newer_vote,
                    received,
                    term_parent: Position::ZERO,
                    applied: Position::new(received.term, received.offset.saturating_sub(behind)),
                    upstream_applied: upstream,
                    role: if primary { ServerRole::Primary } else { ServerRole::Replica },
                    leaving,
                },
            }),
            reachable,
            leaving_hint: false,
        }
    }
}

prop_compose! {
    fn load()(
        running in 0_usize..4,
        waiting in 0_usize..3,
        lag in 0_u64..100,
        avoided in any::<bool>(),
    ) -> ServerLoad {
        ServerLoad { running, waiting, slots: 3, lag: Duration::from_millis(lag), avoided }
    }
}

proptest! {
    #[test]
    fn a_read_goes_only_to_a_server_that_meets_its_demand(
        servers in proptest::collection::vec(server(), 3..6),
        loads in proptest::collection::vec(load(), 6),
        floor in position(),
        upstream_floor in position(),
        replica_allowed in any::<bool>(),
        wait in 0_u64..60,
    ) {
        let view = GroupView { servers };
        let demand = ReadDemand { floor, upstream_floor, replica_allowed };
        let zone = ZoneName::from("zone-1");
        let wait = Duration::from_millis(wait);
        let route = route_read(&view, &demand, &loads, &zone, wait, NOW);
        if let Route::Server(index) = route {
            let server = &view.servers[index];
            let status = &server.observed.as_ref().unwrap().status;
            prop_assert!(server.reachable && !server.is_leaving() && is_current(server));
            prop_assert!(status.applied >= floor);
            prop_assert!(status.upstream_applied >= upstream_floor);
            prop_assert!(replica_allowed || view.primary() == Some(index));
            let deposed = status.role == ServerRole::Primary
                && status.received.term < view.newest_term();
            prop_assert!(!deposed);
        }
        if route == Route::AwaitReplica {
            prop_assert!(replica_allowed && !wait.is_zero());
        }
        let no_server_qualifies = view.servers.iter().all(|server| {
            let status = &server.observed.as_ref().unwrap().status;
            !server.reachable
                || server.is_leaving()
                || !is_current(server)
                || !demand.is_met_by(status, view.newest_term())
        });
        prop_assert!(!no_server_qualifies || !matches!(route, Route::Server(_)));
    }

    #[test]
    fn a_write_goes_only_to_the_primary_of_the_newest_term(
        servers in proptest::collection::vec(server(), 3..6),
    ) {
        let view = GroupView { servers };
        if let Route::Server(index) = route_write(&view, NOW) {
            let server = &view.servers[index];
            let status = &server.observed.as_ref().unwrap().status;
            prop_assert_eq!(status.role, ServerRole::Primary);
            prop_assert_eq!(status.vote_term, view.newest_term());
            prop_assert!(server.reachable && !server.is_leaving() && is_current(server));
        }
        if let Some(PlannedTransfer { from, to }) = planned_transfer(&view, NOW) {
            prop_assert_eq!(view.primary(), Some(from));
            prop_assert!(view.servers[from].is_leaving());
            prop_assert!(from != to);
            prop_assert!(view.servers[to].reachable && !view.servers[to].is_leaving());
            prop_assert!(is_current(&view.servers[to]));
        }
    }
}

/// Whether the server's status is recent enough to send work to it.
fn is_current(server: &ServerView) -> bool {
    let observed = server.observed.as_ref();
    observed.is_some_and(|observed| NOW.since(observed.requested_at) < STATUS_VALIDITY)
}

/// Three servers at the same position, of which the first is the primary.
fn caught_up_group() -> GroupView {
    let position = Position::new(1, 5);
    let server = |number: usize| ServerView {
        name: ServerName::from(format!("s{number}")),
        zone: ZoneName::from(format!("zone-{number}")),
        observed: Some(ObservedStatus {
            requested_at: NOW,
            status: ServerStatus {
                vote_term: 1,
                received: position,
                term_parent: Position::ZERO,
                applied: position,
                upstream_applied: Position::ZERO,
                role: if number == 0 {
                    ServerRole::Primary
                } else {
                    ServerRole::Replica
                },
                leaving: false,
            },
        }),
        reachable: true,
        leaving_hint: false,
    };
    GroupView {
        servers: (0..3).map(server).collect(),
    }
}

fn idle() -> ServerLoad {
    ServerLoad {
        slots: 2,
        ..ServerLoad::default()
    }
}

#[test]
fn the_nearest_replica_is_preferred_until_its_queue_is_long() {
    let view = caught_up_group();
    let demand = ReadDemand {
        floor: Position::new(1, 5),
        upstream_floor: Position::ZERO,
        replica_allowed: true,
    };
    let zone = ZoneName::from("zone-2");
    let route =
        |loads: &[ServerLoad]| route_read(&view, &demand, loads, &zone, Duration::ZERO, NOW);
    assert_eq!(route(&[idle(), idle(), idle()]), Route::Server(2));
    let queue = |waiting| ServerLoad {
        running: 2,
        waiting,
        ..idle()
    };
    let (full, short, long) = (queue(0), queue(2), queue(3));
    assert_eq!(route(&[idle(), idle(), full]), Route::Server(2));
    assert_eq!(route(&[idle(), idle(), short]), Route::Server(2));
    assert_eq!(route(&[idle(), idle(), long]), Route::Server(1));
    assert_eq!(route(&[idle(), long, long]), Route::Server(0));
    assert_eq!(route(&[full, long, long]), Route::Server(2));
    assert_eq!(route(&[long, long, long]), Route::Server(2));
}

#[test]
fn a_read_waits_only_for_a_replica_that_catches_up_in_time() {
    let view = caught_up_group();
    let demand = ReadDemand {
        floor: Position::new(1, 5),
        upstream_floor: Position::ZERO,
        replica_allowed: true,
    };
    let mut behind = view.clone();
    for server in &mut behind.servers[1..] {
        let observed = server.observed.as_mut().unwrap();
        observed.status.applied = Position::new(1, 4);
    }
    let lagging = ServerLoad {
        lag: Duration::from_millis(10),
        ..idle()
    };
    let loads = [idle(), lagging, lagging];
    let zone = ZoneName::from("zone-2");
    let route = |wait| {
        route_read(
            &behind,
            &demand,
            &loads,
            &zone,
            Duration::from_millis(wait),
            NOW,
        )
    };
    assert_eq!(route(20), Route::AwaitReplica);
    assert_eq!(route(5), Route::Server(0));
    assert_eq!(route(0), Route::Server(0));
}
