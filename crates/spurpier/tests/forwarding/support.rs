//! Nodes for the tests: homes with a runner that follows simple commands, and an ingress node.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, AtomicU64, Ordering};
use std::time::Duration;

use spurpier::cluster::forwarding::{
    ForwardingCounters, ForwardingCounts, ForwardingRunner, ForwardingServer, ForwardingTiming,
    NodeLife, Peers,
};
use spurpier::cluster::homes::{HomeAddress, HomeDirectory, HomePlace};
use spurpier::unit_runner::{UNIT_CHANNEL_CAPACITY, UnitHandle, UnitRunner};
use spurpier_core::identity::{DatabaseName, Side};
use spurpier_core::position::Position;
use spurpier_core::reason::Reason;
use spurpier_protocol::unit::{
    Batch, BatchEffect, Freshness, ServedBy, TransactionStatus, UnitInput, UnitKind, UnitOutput,
    UnitRequest, UnitResult,
};
use tokio::net::TcpListener;
use tokio::sync::mpsc;
use tokio_util::sync::{CancellationToken, DropGuard};

/// How long a test waits for what must come.
pub const PATIENCE: Duration = Duration::from_secs(30);

pub const TIMING: ForwardingTiming = ForwardingTiming {
    connect: Duration::from_secs(2),
    ping: Duration::from_millis(50),
    silence: Duration::from_secs(3),
    idle: Duration::from_secs(60),
    pause: Duration::from_secs(2),
};

pub fn batch(text: &str) -> Batch {
    Batch {
        effect: BatchEffect::Read,
        prepared: Vec::new(),
        messages: text.as_bytes().to_vec(),
    }
}

pub fn request(max_wait_ms: u32) -> UnitRequest {
    UnitRequest {
        session: "session".into(),
        number: 1,
        database: "orders".into(),
        side: Side::Old,
        epoch: 0,
        kind: UnitKind::Read,
        freshness: Freshness::Session,
        replica_allowed: true,
        floor: None,
        upstream_floor: None,
        max_wait_ms,
        request_key: None,
        statement_digest: 0,
        settings: Vec::new(),
    }
}

pub fn open(runner: &ForwardingRunner, request: UnitRequest, text: &str) -> UnitHandle {
    runner.open(request, batch(text))
}

/// All that came of a unit.
#[derive(Debug, Default)]
pub struct Collected {
    pub answers: Vec<Vec<u8>>,
    /// How it ended; none when its channel closed without a result.
    pub result: Option<UnitResult>,
}

impl Collected {
    pub fn not_run_reason(&self) -> Option<Reason> {
        match self.result {
            Some(UnitResult::NotRun { reason, .. }) => Some(reason),
            _ => None,
        }
    }
}

pub fn is_completed(collected: &Collected) -> bool {
    matches!(collected.result, Some(UnitResult::Completed { .. }))
}

pub async fn collect(mut handle: UnitHandle) -> Collected {
    let mut collected = Collected::default();
    let gather = async {
        while let Some(output) = handle.output.recv().await {
            match output {
                UnitOutput::Answer(answer) => collected.answers.push(answer),
                UnitOutput::BatchEnd(_) => {}
                UnitOutput::Finished(result) => collected.result = Some(result),
            }
        }
    };
    tokio::time::timeout(PATIENCE, gather)
        .await
        .expect("the unit ends");
    collected
}

pub async fn eventually(condition: impl Fn() -> bool) {
    let wait = async {
        while !condition() {
            tokio::time::sleep(Duration::from_millis(2)).await;
        }
    };
    tokio::time::timeout(PATIENCE, wait)
        .await
        .expect("the condition comes true");
}

/// Follows the command in a unit's first batch.
///
/// `echo …` answers with the text and ends; `flood N` gives N answers and ends; `transaction`
/// answers each batch until a cancel; `hang` does nothing until it is abandoned.
#[derive(Debug, Default)]
pub struct CommandRunner {
    started: AtomicU64,
    abandoned: AtomicU64,
    produced: AtomicU64,
    last_patience_ms: AtomicU32,
}

struct Unit {
    runner: Arc<CommandRunner>,
    input: mpsc::Receiver<UnitInput>,
    output: mpsc::Sender<UnitOutput>,
}

/// The runner of one home, shared with its test.
#[derive(Debug, Clone, Default)]
pub struct SharedRunner(pub Arc<CommandRunner>);

impl UnitRunner for SharedRunner {
    fn open(&self, request: UnitRequest, first: Batch) -> UnitHandle {
        let (input, unit_input) = mpsc::channel(UNIT_CHANNEL_CAPACITY);
        let (unit_output, output) = mpsc::channel(UNIT_CHANNEL_CAPACITY);
        self.0.started.fetch_add(1, Ordering::SeqCst);
        self.0
            .last_patience_ms
            .store(request.max_wait_ms, Ordering::SeqCst);
        let unit = Unit {
            runner: self.0.clone(),
            input: unit_input,
            output: unit_output,
        };
        tokio::spawn(unit.run(String::from_utf8(first.messages).expect("text")));
        UnitHandle { input, output }
    }
}

impl Unit {
    async fn run(mut self, command: String) {
        let words: Vec<&str> = command.split(' ').collect();
        match words.as_slice() {
            ["flood", count] => {
                let count: u64 = count.parse().expect("a number");
                for number in 0..count {
                    let answer = number.to_be_bytes().to_vec();
                    if self.output.send(UnitOutput::Answer(answer)).await.is_err() {
                        return;
                    }
                    self.runner.produced.fetch_add(1, Ordering::SeqCst);
                }
            }
            ["transaction"] => {
                if !self.run_transaction().await {
                    self.runner.abandoned.fetch_add(1, Ordering::SeqCst);
                    return;
                }
            }
            ["hang"] => {
                while self.input.recv().await.is_some() {}
                self.runner.abandoned.fetch_add(1, Ordering::SeqCst);
                return;
            }
            _ => self.answer(command.into_bytes()).await,
        }
        self.finish().await;
    }

    /// Answers batches until a cancel; false when the unit was abandoned.
    async fn run_transaction(&mut self) -> bool {
        loop {
            match self.input.recv().await {
                Some(UnitInput::Batch(batch)) => self.answer(batch.messages).await,
                Some(UnitInput::Cancel) => return true,
                Some(UnitInput::Abandon) | None => return false,
            }
        }
    }

    async fn answer(&self, answer: Vec<u8>) {
        // A caller that has gone needs no answer.
        let _ = self.output.send(UnitOutput::Answer(answer)).await;
    }

    async fn finish(&self) {
        let end = UnitOutput::BatchEnd(TransactionStatus::Idle);
        let _ = self.output.send(end).await;
        let result = UnitResult::Completed {
            floor: Position::new(1, 1),
            served_by: ServedBy::Replica,
            repeated: false,
        };
        let _ = self.output.send(UnitOutput::Finished(result)).await;
    }
}

/// A home node.
#[derive(Debug)]
pub struct HomeNode {
    pub address: HomeAddress,
    pub counters: Arc<ForwardingCounters>,
    pub draining: CancellationToken,
    runner: SharedRunner,
    stop: CancellationToken,
    _stop_on_drop: DropGuard,
}

impl HomeNode {
    pub async fn start(name: &str) -> HomeNode {
        let listener = TcpListener::bind(("127.0.0.1", 0)).await.expect("loopback");
        let internal = listener.local_addr().expect("bound");
        let runner = SharedRunner::default();
        let (control, _) = mpsc::channel(1);
        let stop = CancellationToken::new();
        let draining = CancellationToken::new();
        let counters = Arc::new(ForwardingCounters::default());
        let server = ForwardingServer::new(
            life(name),
            Arc::new(runner.clone()),
            control,
            TIMING,
            counters.clone(),
            draining.clone(),
        );
        tokio::spawn(server.serve(listener, stop.clone()));
        HomeNode {
            address: HomeAddress {
                node: name.into(),
                internal,
            },
            counters,
            draining,
            runner,
            _stop_on_drop: stop.clone().drop_guard(),
            stop,
        }
    }

    /// Closes all connections and the listener.
    pub fn stop(&self) {
        self.stop.cancel();
    }

    pub fn units_started(&self) -> u64 {
        self.runner.0.started.load(Ordering::SeqCst)
    }

    pub fn units_abandoned(&self) -> u64 {
        self.runner.0.abandoned.load(Ordering::SeqCst)
    }

    pub fn answers_produced(&self) -> u64 {
        self.runner.0.produced.load(Ordering::SeqCst)
    }

    pub fn last_patience_ms(&self) -> u32 {
        self.runner.0.last_patience_ms.load(Ordering::SeqCst)
    }
}

pub fn life(name: &str) -> NodeLife {
    NodeLife {
        node: name.into(),
        incarnation: 1,
    }
}

/// Homes in a fixed order, the same for every database.
#[derive(Debug, Clone)]
pub struct FixedHomes(pub Vec<HomePlace>);

impl HomeDirectory for FixedHomes {
    fn homes(&self, _: &DatabaseName) -> Vec<HomePlace> {
        self.0.clone()
    }
}

/// An ingress node whose units go to these homes.
#[derive(Debug)]
pub struct Ingress {
    pub peers: Arc<Peers>,
    pub local: SharedRunner,
    homes: FixedHomes,
}

impl Ingress {
    pub fn new(homes: Vec<HomePlace>) -> Ingress {
        Ingress {
            peers: Arc::new(Peers::new(life("ingress"), TIMING)),
            local: SharedRunner::default(),
            homes: FixedHomes(homes),
        }
    }

    pub fn to(addresses: &[&HomeAddress]) -> Ingress {
        let homes = addresses
            .iter()
            .map(|address| HomePlace::Remote((*address).clone()));
        Ingress::new(homes.collect())
    }

    pub fn runner(&self) -> ForwardingRunner {
        ForwardingRunner::new(
            Arc::new(self.local.clone()),
            Arc::new(self.homes.clone()),
            self.peers.clone(),
        )
    }

    pub fn counts(&self) -> ForwardingCounts {
        self.peers.counters().counts()
    }
}

/// An ingress node and its homes, the first one to be tried first.
#[derive(Debug)]
pub struct Cluster {
    pub homes: Vec<HomeNode>,
    ingress: Ingress,
}

impl Cluster {
    pub async fn start(homes: usize) -> Cluster {
        let mut started = Vec::new();
        for number in 0..homes {
            started.push(HomeNode::start(&format!("home-{number}")).await);
        }
        let addresses: Vec<&HomeAddress> = started.iter().map(|home| &home.address).collect();
        let ingress = Ingress::to(&addresses);
        Cluster {
            homes: started,
            ingress,
        }
    }

    pub fn runner(&self) -> ForwardingRunner {
        self.ingress.runner()
    }

    pub fn counts(&self) -> ForwardingCounts {
        self.ingress.counts()
    }
}

/// An address at which nothing listens.
pub async fn dead_address(name: &str) -> HomeAddress {
    let listener = TcpListener::bind(("127.0.0.1", 0)).await.expect("loopback");
    let internal: SocketAddr = listener.local_addr().expect("bound");
    HomeAddress {
        node: name.into(),
        internal,
    }
}
