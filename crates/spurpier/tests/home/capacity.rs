//! Slots, queues, connection limits, cancelling and draining.

use futures::future::join_all;
use spurpier::unit_runner::{UnitHandle, UnitRunner};
use spurpier_core::reason::Reason;
use spurpier_protocol::unit::{BatchEffect, UnitInput, UnitKind, UnitResult};

use crate::support::{Group, batch, read, request, run_unit, until, write};

#[tokio::test]
async fn many_units_stay_within_slots_and_connections() {
    let group = Group::start().await;
    let home = group.home("").await;
    let tallies: Vec<String> = (0..60).map(|number| format!("t{number}")).collect();
    let writes = tallies.iter().map(|tally| write(&home, tally, None));
    let reads = (0..60).map(|_| read(&home));
    let (written, read) = tokio::join!(join_all(writes), join_all(reads));
    for outcome in written.iter().chain(&read) {
        assert!(
            matches!(outcome.result, UnitResult::Completed { .. }),
            "{outcome:?}"
        );
    }
    let model = group.model();
    assert_eq!(model.nodes[0].tallies().len(), tallies.len());
    // Eight connections of the pool, and the probe's.
    let most = model.nodes.iter().map(|node| node.most_connections).max();
    assert!(most <= Some(9), "{most:?}");
}

#[tokio::test]
async fn a_full_queue_refuses_at_once_and_a_cancel_frees_the_slots() {
    let group = Group::start().await;
    let home = group.home("queue = 2").await;
    let hang = || home.open(request(UnitKind::Write), batch(BatchEffect::Write, "HANG"));
    let running: Vec<UnitHandle> = (0..4).map(|_| hang()).collect();
    until(|| group.ran("HANG") == 4).await;
    let waiting: Vec<UnitHandle> = (0..2).map(|_| hang()).collect();
    let pool = || {
        home.snapshot().databases[0].groups[0].servers[0]
            .pool
            .clone()
    };
    until(|| pool().waiting == 2).await;
    let refused = run_unit(hang()).await.result;
    let UnitResult::NotRun {
        reason,
        retry_after_ms,
    } = refused
    else {
        panic!("{refused:?}");
    };
    assert_eq!(reason, Reason::Overloaded);
    assert!(retry_after_ms > 0);
    for handle in running {
        handle.input.send(UnitInput::Cancel).await.unwrap();
        let cancelled = run_unit(handle).await;
        assert_eq!(cancelled.answer, ["E 57014"]);
    }
    assert_eq!(group.model().cancels, 4);
    until(|| group.ran("HANG") == 6).await;
    for handle in waiting {
        handle.input.send(UnitInput::Cancel).await.unwrap();
        run_unit(handle).await;
    }
    assert!(pool().running == 0 && pool().total <= 8, "{:?}", pool());
}

#[tokio::test]
async fn a_server_without_room_for_connections_means_not_run() {
    let group = Group::start().await;
    group.model().nodes[0].connection_limit = 1;
    let home = group.home("").await;
    let mut request = request(UnitKind::Write);
    request.max_wait_ms = 200;
    let insert = batch(BatchEffect::Write, "INSERT tally lake");
    let refused = run_unit(home.open(request, insert)).await.result;
    assert!(
        matches!(
            refused,
            UnitResult::NotRun {
                reason: Reason::Overloaded,
                ..
            }
        ),
        "{refused:?}"
    );
}

#[tokio::test]
async fn a_draining_home_ends_what_runs_and_takes_nothing_new() {
    let group = Group::start().await;
    let home = group.home("").await;
    let running = home.open(request(UnitKind::Write), batch(BatchEffect::Write, "HANG"));
    until(|| group.ran("HANG") == 1).await;
    let end = async {
        until(|| home.snapshot().draining).await;
        let refused = read(&home).await.result;
        let reason = Reason::Draining;
        assert!(matches!(refused, UnitResult::NotRun { reason: found, .. } if found == reason));
        running.input.send(UnitInput::Cancel).await.unwrap();
        run_unit(running).await
    };
    let (drained, ended) = tokio::join!(home.drain(), end);
    assert!(drained);
    assert_eq!(ended.answer, ["E 57014"]);
}

#[tokio::test]
async fn a_unit_that_waits_can_be_cancelled_before_it_is_sent() {
    let group = Group::start().await;
    let home = group.home("").await;
    let hang = || home.open(request(UnitKind::Write), batch(BatchEffect::Write, "HANG"));
    let running: Vec<UnitHandle> = (0..4).map(|_| hang()).collect();
    until(|| group.ran("HANG") == 4).await;
    let insert = batch(BatchEffect::Write, "INSERT tally lake");
    let waiting = home.open(request(UnitKind::Write), insert);
    waiting.input.send(UnitInput::Cancel).await.unwrap();
    let cancelled = run_unit(waiting).await.result;
    let reason = Reason::Cancelled;
    assert!(matches!(cancelled, UnitResult::NotRun { reason: found, .. } if found == reason));
    for handle in running {
        handle.input.send(UnitInput::Cancel).await.unwrap();
        run_unit(handle).await;
    }
    assert_eq!(group.ran("INSERT tally lake"), 0);
}

#[tokio::test]
async fn a_vanished_clients_statement_is_cancelled_and_its_connection_closed() {
    let group = Group::start().await;
    let home = group.home("").await;
    let reading = home.open(request(UnitKind::Read), batch(BatchEffect::Read, "HANG"));
    until(|| group.ran("HANG") == 1).await;
    drop(reading);
    until(|| group.model().cancels == 1 && home.snapshot().in_flight == 0).await;
    let servers = home.snapshot().databases.remove(0).groups.remove(0).servers;
    let discarded: u64 = servers.iter().map(|server| server.pool.discarded).sum();
    assert_eq!(discarded, 1);
}
