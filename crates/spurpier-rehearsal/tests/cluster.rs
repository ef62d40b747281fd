//! Nodes that find each other, agree on homes, pass policies on and forward units.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use spurpier::cluster::control::{Cluster, ClusterParts};
use spurpier::cluster::homes::HomePlace;
use spurpier::platform::PlatformClient;
use spurpier::policy::operator::publish;
use spurpier::policy::{PolicyHandle, PolicyStore};
use spurpier::settings::Settings;
use spurpier::unit_runner::{UnitHandle, UnitRunner};
use spurpier_core::identity::{DatabaseName, Side};
use spurpier_core::policy::INITIAL_PROGRAM;
use spurpier_core::position::Position;
use spurpier_protocol::unit::{
    Batch, BatchEffect, Freshness, ServedBy, UnitKind, UnitOutput, UnitRequest, UnitResult,
};
use spurpier_rehearsal::platform::{FaultKind, FaultSettings, PlatformOptions, PlatformServer};
use tokio::net::{TcpListener, UdpSocket};
use tokio::sync::mpsc;

const PATIENCE: Duration = Duration::from_secs(40);
const ON_NEW: &str = r#"fn write_side(d) { "new" } fn route(r) { #{} }"#;
const DATABASES: usize = 12;

fn databases() -> Vec<DatabaseName> {
    (0..DATABASES)
        .map(|number| format!("database-{number}").into())
        .collect()
}

/// Answers each unit with the name of its node.
#[derive(Debug, Clone)]
struct NamingRunner {
    node: String,
    started: Arc<AtomicU64>,
}

impl UnitRunner for NamingRunner {
    fn open(&self, _: UnitRequest, _: Batch) -> UnitHandle {
        self.started.fetch_add(1, Ordering::SeqCst);
        let (input, _) = mpsc::channel(1);
        let (sender, output) = mpsc::channel(2);
        let result = UnitResult::Completed {
            floor: Position::ZERO,
            served_by: ServedBy::Primary,
            repeated: false,
        };
        let answer = UnitOutput::Answer(self.node.clone().into_bytes());
        sender.try_send(answer).expect("room");
        sender.try_send(UnitOutput::Finished(result)).expect("room");
        UnitHandle { input, output }
    }
}

struct TestNode {
    cluster: Cluster,
    policy: PolicyHandle,
    name: String,
    gossip: std::net::SocketAddr,
    started: Arc<AtomicU64>,
}

impl TestNode {
    async fn start(name: &str, zone: &str, platform: &PlatformServer, seeds: &[&TestNode]) -> Self {
        let seeds: Vec<String> = seeds
            .iter()
            .map(|seed| format!("\"{}\"", seed.gossip))
            .collect();
        let text = format!(
            "[node]\nname = \"{name}\"\nzone = \"{zone}\"\nregion = \"north\"\n\
             [platform]\nurl = \"{}\"\npoll_ms = 50\n\
             [membership]\nseeds = [{}]\nprobe_ms = 50\nsuspicion_ms = 1500\n\
             [homes]\nper_zone = 1\n",
            platform.url(),
            seeds.join(",")
        );
        let mut settings: Settings = toml::from_str(&text).expect("sound settings");
        settings.databases = databases()
            .iter()
            .map(|database| {
                let text = format!("name = \"{database}\"\nconnections = 1\nslots = 1\nside = []");
                toml::from_str(&text).expect("sound settings")
            })
            .collect();
        let timeout = Duration::from_millis(500);
        let client = PlatformClient::new(&platform.url(), timeout).expect("address");
        let policy = PolicyHandle::start(PolicyStore::new(client.clone()));
        let gossip_socket = UdpSocket::bind(("127.0.0.1", 0)).await.expect("loopback");
        let gossip = gossip_socket.local_addr().expect("bound");
        let internal = TcpListener::bind(("127.0.0.1", 0)).await.expect("loopback");
        let started = Arc::new(AtomicU64::new(0));
        let cluster = Cluster::start(ClusterParts {
            settings: Arc::new(settings),
            gossip: gossip_socket,
            client_address: internal.local_addr().expect("bound"),
            internal,
            platform: client,
            policy: policy.clone(),
            local: Arc::new(NamingRunner {
                node: name.to_owned(),
                started: started.clone(),
            }),
        })
        .expect("bound");
        TestNode {
            cluster,
            policy,
            name: name.to_owned(),
            gossip,
            started,
        }
    }

    fn policy_version(&self) -> Option<u64> {
        self.policy.published().map(|policy| policy.head.version)
    }

    /// The name of the first home of a database as this node sees it.
    fn first_home(&self, database: &DatabaseName) -> Option<String> {
        match self.cluster.view().homes(database).into_iter().next()? {
            HomePlace::Local => Some(self.name.clone()),
            HomePlace::Remote(address) => Some(address.node.as_str().to_owned()),
        }
    }

    /// Runs a unit and gives the name of the node that ran it.
    async fn run(&self, database: &DatabaseName) -> Option<String> {
        let request = UnitRequest {
            session: "session".into(),
            number: 1,
            database: database.clone(),
            side: Side::Old,
            epoch: 0,
            kind: UnitKind::Read,
            freshness: Freshness::Session,
            replica_allowed: true,
            floor: None,
            upstream_floor: None,
            max_wait_ms: 10_000,
            request_key: None,
            statement_digest: 0,
            settings: Vec::new(),
        };
        let first = Batch {
            effect: BatchEffect::Read,
            prepared: Vec::new(),
            messages: b"SELECT 1".to_vec(),
        };
        let mut handle = self.cluster.runner().open(request, first);
        let output = tokio::time::timeout(PATIENCE, handle.output.recv()).await;
        match output.expect("answered in time") {
            Some(UnitOutput::Answer(answer)) => String::from_utf8(answer).ok(),
            _ => None,
        }
    }
}

async fn eventually(what: &str, condition: impl Fn() -> bool) {
    let wait = async {
        while !condition() {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    };
    let waited = tokio::time::timeout(PATIENCE, wait).await;
    assert!(waited.is_ok(), "in time: {what}");
}

/// Six nodes in two zones that know each other.
async fn start_nodes(platform: &PlatformServer) -> Vec<TestNode> {
    let mut nodes = vec![TestNode::start("node-0", "east", platform, &[]).await];
    for number in 1..6 {
        let zone = if number % 2 == 0 { "east" } else { "west" };
        let node = TestNode::start(&format!("node-{number}"), zone, platform, &[&nodes[0]]).await;
        nodes.push(node);
    }
    eventually("all members known and usable", || {
        nodes
            .iter()
            .all(|node| node.cluster.view().usable_members().count() == nodes.len() - 1)
    })
    .await;
    nodes
}

async fn start_platform() -> (PlatformServer, PlatformClient) {
    let server = PlatformServer::start(PlatformOptions::default())
        .await
        .expect("loopback");
    let client = PlatformClient::new(&server.url(), PATIENCE).expect("address");
    (server, client)
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn nodes_agree_on_homes_and_units_run_there() {
    let (platform, _) = start_platform().await;
    let nodes = start_nodes(&platform).await;
    for database in databases() {
        for zone in [0, 1] {
            let in_zone = nodes.iter().skip(zone).step_by(2);
            let homes: BTreeSet<Option<String>> =
                in_zone.map(|node| node.first_home(&database)).collect();
            assert_eq!(homes.len(), 1, "{database}: {homes:?}");
        }
        for node in &nodes {
            let home = node.first_home(&database);
            assert!(home.is_some());
            assert_eq!(node.run(&database).await, home);
        }
    }
    let forwarded: u64 = nodes
        .iter()
        .map(|node| node.cluster.peers().counters().counts().units_forwarded)
        .sum();
    // Each unit ran on one node, and two of the three nodes of a zone are no home of a database.
    assert_eq!(forwarded, (DATABASES * 4) as u64);
    let started: u64 = nodes
        .iter()
        .map(|node| node.started.load(Ordering::SeqCst))
        .sum();
    assert_eq!(started, (DATABASES * nodes.len()) as u64);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn policies_spread_also_to_a_node_that_finds_the_platform_down() {
    let (platform, client) = start_platform().await;
    let mut nodes = start_nodes(&platform).await;
    assert!(nodes.iter().all(|node| node.policy_version().is_none()));
    publish(&client, INITIAL_PROGRAM, 0, &databases())
        .await
        .expect("accepted");
    publish(&client, ON_NEW, 1, &databases())
        .await
        .expect("accepted");
    eventually("version 2 on all nodes", || {
        nodes.iter().all(|node| node.policy_version() == Some(2))
    })
    .await;

    platform.set_faults(FaultSettings::of(FaultKind::Down, 0));
    let late = TestNode::start("node-late", "west", &platform, &[&nodes[0]]).await;
    nodes.push(late);
    eventually("version 2 on the late node", || {
        nodes.iter().all(|node| node.policy_version() == Some(2))
    })
    .await;
    let late = nodes.last().expect("just added");
    let in_force = late.policy.in_force().load_full().expect("known");
    let placement = in_force.placement(&databases()[3]).expect("placed");
    assert_eq!((placement.side, placement.epoch), (Side::New, 2));

    platform.set_faults(FaultSettings::none());
    publish(&client, INITIAL_PROGRAM, 2, &databases())
        .await
        .expect("accepted");
    eventually("version 3 on all nodes", || {
        nodes.iter().all(|node| node.policy_version() == Some(3))
    })
    .await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_leaving_home_gets_no_new_units_and_a_dead_one_is_replaced() {
    let (platform, _) = start_platform().await;
    let mut nodes = start_nodes(&platform).await;
    let database = databases().swap_remove(0);
    let home = nodes[0].first_home(&database).expect("known");
    let index = nodes.iter().position(|node| node.name == home);
    let leaving = nodes.remove(index.expect("a node"));
    leaving.cluster.leave().await;
    eventually("the leaving node is no home", || {
        nodes
            .iter()
            .all(|node| node.first_home(&database).is_some_and(|name| name != home))
    })
    .await;
    let before = leaving.started.load(Ordering::SeqCst);
    for node in &nodes {
        assert_ne!(node.run(&database).await, Some(home.clone()));
    }
    // Its own clients' units go elsewhere too.
    assert_ne!(leaving.run(&database).await, Some(home.clone()));
    assert_eq!(leaving.started.load(Ordering::SeqCst), before);
    leaving.cluster.stop().await;
    drop(leaving);

    // The next home dies without a word. Units go on before its death is known.
    let home = nodes[0].first_home(&database).expect("known");
    let index = nodes.iter().position(|node| node.name == home);
    drop(nodes.remove(index.expect("a node")));
    eventually("the dead node is gone from all views", || {
        nodes.iter().all(|node| {
            let view = node.cluster.view();
            let mut members = view.members();
            members.all(|name| name.as_str() != home)
        })
    })
    .await;
    for node in &nodes {
        let ran_at = node.run(&database).await;
        assert!(ran_at.is_some_and(|name| name != home));
    }
}
