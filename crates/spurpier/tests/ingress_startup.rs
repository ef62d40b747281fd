//! Start-up of client connections, and who is turned away at it.

mod ingress_support;

use std::time::Duration;

use ingress_support::raw_client::{
    RawClient, error, kinds, message, packet, parameter, startup_packet,
};
use ingress_support::{PATIENCE, TestNode, wait_until};
use spurpier_core::reason::Reason;
use tokio::io::AsyncReadExt;

const VERSION_3_0: i32 = 3 << 16;
const VERSION_3_2: i32 = (3 << 16) | 2;
const SSL_REQUEST: i32 = 80_877_103;
const GSS_REQUEST: i32 = 80_877_104;
const USER: (&str, &str) = ("user", "counter");
const DATABASE: (&str, &str) = ("database", "shop");

#[tokio::test]
async fn encryption_is_declined_and_the_start_up_goes_on() {
    let node = TestNode::start().await;
    let mut client = RawClient::open(node.address).await;
    for request in [GSS_REQUEST, SSL_REQUEST] {
        client.send(&packet(&request.to_be_bytes())).await;
        assert_eq!(client.stream.read_u8().await.ok(), Some(b'N'));
    }
    client
        .send(&startup_packet(VERSION_3_0, &[USER, DATABASE]))
        .await;
    let greeting = client.read_until_ready().await;
    assert_eq!(kinds(&greeting).replace('S', ""), "RKZ");
    let encoding = parameter(&greeting, "client_encoding");
    assert_eq!(encoding.as_deref(), Some("UTF8"));
}

#[tokio::test]
async fn the_protocol_version_is_negotiated() {
    let node = TestNode::start().await;
    let cases = [
        (0, None, 8),
        (2, None, 36),
        (1, Some(0), 8),
        (9, Some(2), 36),
    ];
    for (asked, answered, key_length) in cases {
        let version = (3 << 16) | asked;
        let (client, greeting) =
            RawClient::start_with(node.address, version, &[USER, DATABASE]).await;
        let negotiated = greeting.iter().find(|reply| reply.kind == b'v');
        let minor = negotiated.map(|reply| reply.body[3]);
        assert_eq!(minor, answered, "asked for 3.{asked}");
        assert_eq!(client.cancel_key.len(), key_length);
    }
    let unknown = ("_pq_.compression", "on");
    let (_, greeting) =
        RawClient::start_with(node.address, VERSION_3_2, &[USER, DATABASE, unknown]).await;
    let negotiated = greeting.iter().find(|reply| reply.kind == b'v');
    let text = negotiated.map(|reply| reply.text()).unwrap_or_default();
    assert!(text.contains("_pq_.compression"));
}

#[tokio::test]
async fn who_cannot_be_served_is_told_why() {
    let node = TestNode::start().await;
    let cases: [(&[(&str, &str)], &str); 6] = [
        (&[USER, ("database", "nowhere")], "3D000"),
        (&[("user", "shop"), ("replication", "true")], "0A000"),
        (&[DATABASE], "28000"),
        (&[USER, DATABASE, ("client_encoding", "LATIN1")], "22023"),
        (&[USER, DATABASE, ("options", "-z")], "22023"),
        (&[USER, DATABASE, ("bad name", "1")], "42602"),
    ];
    for (parameters, sqlstate) in cases {
        let (mut client, replies) =
            RawClient::start_with(node.address, VERSION_3_0, parameters).await;
        assert_eq!(kinds(&replies), "E", "{parameters:?}");
        assert_eq!(error(&replies).field(b'C').as_deref(), Some(sqlstate));
        assert!(client.is_closed().await);
    }
    assert_eq!(node.counters.refusals(Reason::UnknownDatabase), 1);
}

#[tokio::test]
async fn settings_that_clients_must_not_set_are_refused_at_the_start_too() {
    let node = TestNode::start().await;
    let cases: [(&str, &str); 5] = [
        ("role", "admin"),
        ("Session_Authorization", "admin"),
        ("transaction_read_only", "off"),
        ("standard_conforming_strings", "off"),
        ("options", "-c role=admin"),
    ];
    for (name, value) in cases {
        let parameters = [USER, DATABASE, (name, value)];
        let (mut client, replies) =
            RawClient::start_with(node.address, VERSION_3_0, &parameters).await;
        assert_eq!(kinds(&replies), "E", "{parameters:?}");
        assert_eq!(error(&replies).field(b'C').as_deref(), Some("0A000"));
        assert!(client.is_closed().await);
    }
    let held = [USER, DATABASE, ("standard_conforming_strings", "on")];
    let (mut client, _) = RawClient::start_with(node.address, VERSION_3_0, &held).await;
    client.query("SELECT 1").await;
    assert_eq!(node.runner.last().request.settings, []);
}

#[tokio::test]
async fn a_user_without_a_database_means_the_one_of_that_name() {
    let node = TestNode::start().await;
    let (mut client, _) =
        RawClient::start_with(node.address, VERSION_3_0, &[("user", "count")]).await;
    client.query("SELECT 1").await;
    assert_eq!(node.runner.last().request.database.as_str(), "count");
}

#[tokio::test]
async fn a_full_node_refuses_and_recovers() {
    let node = TestNode::start_with(|settings| settings.limits.clients = 2).await;
    let (first, _) = RawClient::start(node.address, "").await;
    let (_second, _) = RawClient::start(node.address, "").await;
    let (_, refused) = RawClient::start(node.address, "").await;
    let detail = error(&refused).field(b'D').unwrap_or_default();
    assert!(detail.contains(Reason::TooManyClients.code()));
    drop(first);
    wait_until(|| node.counters.clients() == 1).await;
    let (_, greeting) = RawClient::start(node.address, "").await;
    assert_eq!(kinds(&greeting).chars().last(), Some('Z'));
}

#[tokio::test]
async fn a_half_open_start_up_is_closed_and_nobody_else_is_affected() {
    let node = TestNode::start_with(|settings| settings.limits.startup_ms = 1_000).await;
    let mut silent = RawClient::open(node.address).await;
    let mut half = RawClient::open(node.address).await;
    half.send(&startup_packet(VERSION_3_0, &[USER, DATABASE])[..9])
        .await;
    let (mut client, _) = RawClient::start(node.address, "").await;
    assert!(silent.is_closed().await);
    assert!(half.is_closed().await);
    assert_eq!(kinds(&client.query("SELECT 1").await), "TDCSZ");
}

#[tokio::test]
async fn bytes_that_are_no_start_up_are_answered_by_an_error() {
    let node = TestNode::start().await;
    let cases: [&[u8]; 4] = [
        b"GET / HTTP/1.1\r\n\r\n",
        &[0, 0, 0, 0, 0, 0, 0, 0],
        &[0xff; 64],
        &[0, 0, 0, 8, 0, 2, 0, 0],
    ];
    for bytes in cases {
        let mut client = RawClient::open(node.address).await;
        client.send(bytes).await;
        let reply = client.read().await.expect("an error");
        assert_eq!(reply.field(b'C').as_deref(), Some("08P01"));
        assert!(client.is_closed().await);
    }
}

#[tokio::test]
async fn a_cancel_reaches_the_running_statement_of_its_key_alone() {
    let node = TestNode::start().await;
    let (mut first, _) = RawClient::start(node.address, "").await;
    let (mut second, _) = RawClient::start_with(node.address, VERSION_3_2, &[USER, DATABASE]).await;
    let wrong_keys = {
        let mut wrong_secret = first.cancel_key.clone();
        wrong_secret[7] ^= 1;
        let mut swapped = first.cancel_key[..4].to_vec();
        swapped.extend_from_slice(&second.cancel_key[4..]);
        [wrong_secret, swapped, second.cancel_key[..12].to_vec()]
    };
    for client in [&mut first, &mut second] {
        client
            .send(&ingress_support::raw_client::query("SELECT 'wait'"))
            .await;
    }
    wait_until(|| {
        node.runner
            .units()
            .iter()
            .filter(|unit| !unit.batches.is_empty())
            .count()
            == 2
    })
    .await;
    for key in &wrong_keys {
        cancel(&node, key).await;
    }
    assert!(node.runner.units().iter().all(|unit| unit.cancels == 0));
    cancel(&node, &second.cancel_key).await;
    assert_eq!(kinds(&second.read_until_ready().await), "TDCSZ");
    let cancels: Vec<usize> = node
        .runner
        .units()
        .iter()
        .map(|unit| unit.cancels)
        .collect();
    assert_eq!(cancels, [0, 1]);
    cancel(&node, &second.cancel_key).await;
    assert_eq!(kinds(&second.query("SELECT 1").await), "TDCSZ");
    assert_eq!(node.runner.last().cancels, 0, "nothing ran");
    cancel(&node, &first.cancel_key).await;
    assert_eq!(kinds(&first.read_until_ready().await), "TDCSZ");
    assert_eq!(node.counters.cancels(), 2);
}

/// Sends a cancel request and waits until the node has dealt with it.
async fn cancel(node: &TestNode, key: &[u8]) {
    const CANCEL_REQUEST: i32 = 80_877_102;
    let mut client = RawClient::open(node.address).await;
    let body = [&CANCEL_REQUEST.to_be_bytes()[..], key].concat();
    client.send(&packet(&body)).await;
    assert!(client.is_closed().await);
}

#[tokio::test]
async fn a_goodbye_closes_the_connection() {
    let node = TestNode::start().await;
    let (mut client, _) = RawClient::start(node.address, "").await;
    client.send(&message(b'X', &[])).await;
    let closed = tokio::time::timeout(PATIENCE, client.is_closed()).await;
    assert_eq!(closed.ok(), Some(true));
    wait_until(|| node.counters.clients() == 0).await;
    tokio::time::timeout(Duration::from_secs(20), async {
        node.shutdown.cancel();
        node.serving.await.expect("it ends");
    })
    .await
    .expect("nothing is left to drain");
}
