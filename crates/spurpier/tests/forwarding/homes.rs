//! Which home a unit goes to, and when another one is tried.

use std::time::Duration;

use spurpier::cluster::homes::{HomeAddress, HomePlace};
use spurpier_core::reason::Reason;
use tokio::net::TcpListener;

use crate::support::{
    Cluster, HomeNode, Ingress, TIMING, collect, dead_address, is_completed, open, request,
};

#[tokio::test]
async fn an_unreachable_home_is_passed_over() {
    let home = HomeNode::start("home").await;
    let dead = dead_address("dead").await;
    let ingress = Ingress::to(&[&dead, &home.address]);
    for _ in 0..50 {
        let collected = collect(open(&ingress.runner(), request(5_000), "echo")).await;
        assert!(is_completed(&collected));
    }
    assert_eq!(home.units_started(), 50);
    let counts = ingress.counts();
    assert_eq!(counts.units_retried, 50);
    // The dead address was left alone for a while after each failure.
    assert!(counts.connections_failed < 50);
}

#[tokio::test]
async fn a_draining_home_starts_nothing_and_another_one_does() {
    let cluster = Cluster::start(2).await;
    let running = open(&cluster.runner(), request(5_000), "transaction");
    crate::support::eventually(|| cluster.homes[0].units_started() == 1).await;
    cluster.homes[0].draining.cancel();
    let collected = collect(open(&cluster.runner(), request(5_000), "echo")).await;
    assert!(is_completed(&collected));
    assert_eq!(cluster.homes[0].units_started(), 1);
    assert_eq!(cluster.homes[1].units_started(), 1);
    assert_eq!(cluster.homes[0].counters.counts().units_refused, 1);
    // What ran goes on to its end.
    running
        .input
        .send(spurpier_protocol::unit::UnitInput::Cancel)
        .await
        .expect("open");
    assert!(is_completed(&collect(running).await));
}

#[tokio::test]
async fn another_node_at_the_address_gets_no_unit() {
    let home = HomeNode::start("home").await;
    let other = HomeNode::start("other").await;
    let renamed = HomeAddress {
        node: "gone".into(),
        internal: other.address.internal,
    };
    let ingress = Ingress::to(&[&renamed, &home.address]);
    let collected = collect(open(&ingress.runner(), request(5_000), "echo")).await;
    assert!(is_completed(&collected));
    assert_eq!(other.units_started(), 0);
}

#[tokio::test]
async fn patience_shrinks_by_the_time_spent() {
    // Accepts connections and never says a word.
    let silent = TcpListener::bind(("127.0.0.1", 0)).await.expect("loopback");
    let address = HomeAddress {
        node: "silent".into(),
        internal: silent.local_addr().expect("bound"),
    };
    let home = HomeNode::start("home").await;
    let ingress = Ingress::to(&[&address, &home.address]);
    let max_wait_ms = 60_000;
    let collected = collect(open(&ingress.runner(), request(max_wait_ms), "echo")).await;
    assert!(is_completed(&collected));
    let spent = u32::try_from(TIMING.connect.as_millis()).expect("short");
    assert!(home.last_patience_ms() <= max_wait_ms - spent);

    let impatient = Ingress::to(&[&address, &home.address]);
    let collected = collect(open(&impatient.runner(), request(20), "echo")).await;
    assert_eq!(collected.not_run_reason(), Some(Reason::HomeUnreachable));
    assert_eq!(home.units_started(), 1);
}

#[tokio::test]
async fn without_a_home_nothing_runs() {
    let none = Ingress::new(Vec::new());
    let collected = collect(open(&none.runner(), request(5_000), "echo")).await;
    assert_eq!(collected.not_run_reason(), Some(Reason::HomeUnreachable));
    let dead = Ingress::to(&[&dead_address("dead").await]);
    let collected = collect(open(&dead.runner(), request(5_000), "echo")).await;
    assert_eq!(collected.not_run_reason(), Some(Reason::HomeUnreachable));
}

#[tokio::test]
async fn the_own_node_runs_what_it_is_a_home_of() {
    let dead = HomePlace::Remote(dead_address("dead").await);
    for homes in [
        vec![HomePlace::Local, dead.clone()],
        vec![dead, HomePlace::Local],
    ] {
        let ingress = Ingress::new(homes);
        let collected = collect(open(&ingress.runner(), request(5_000), "echo")).await;
        assert!(is_completed(&collected));
        let handle = open(&ingress.runner(), request(5_000), "transaction");
        handle
            .input
            .send(spurpier_protocol::unit::UnitInput::Cancel)
            .await
            .expect("open");
        assert!(is_completed(&collect(handle).await));
    }
}

#[tokio::test]
async fn a_home_that_comes_back_is_used_again() {
    let dead = dead_address("home").await;
    let ingress = Ingress::to(&[&dead]);
    let collected = collect(open(&ingress.runner(), request(5_000), "echo")).await;
    assert_eq!(collected.not_run_reason(), Some(Reason::HomeUnreachable));
    let home = HomeNode::start("home").await;
    // The node lives at a new address now, as a replaced machine does.
    let mut moved = Ingress::to(&[&home.address]);
    moved.peers = ingress.peers.clone();
    let collected = collect(open(&moved.runner(), request(5_000), "echo")).await;
    assert!(is_completed(&collected));
    assert!(TIMING.pause > Duration::ZERO);
}
