//! Starting the traffic between nodes, and the handle by which the node holds it.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use arc_swap::ArcSwap;
use kameo::prelude::*;
use spurpier_core::control::{ControlConfig, ControlEvent, ControlNode};
use spurpier_core::distribution::{DistributionConfig, OwnedDocument};
use spurpier_core::homes::HomeTable;
use spurpier_core::membership::{MemberAddresses, MemberIdentity, MembershipConfig};
use spurpier_protocol::gossip;
use tokio::net::{TcpListener, UdpSocket};
use tokio::sync::{mpsc, watch};
use tokio_util::sync::{CancellationToken, DropGuard};

use super::actor::{ControlActor, Happened, Synchronize};
use super::datagrams;
use super::platform_reads::PlatformReads;
use super::reach::Reach;
use super::timer::{self, Clock};
use super::view::{ClusterView, MemberHomes};
use crate::cluster::forwarding::{
    ControlMessage, ForwardingRunner, ForwardingServer, ForwardingTiming, NodeLife, Peers,
};
use crate::platform::PlatformClient;
use crate::platform::wire::MachineList;
use crate::policy::{PolicyHandle, PolicyStore};
use crate::settings::Settings;
use crate::unit_runner::UnitRunner;

/// Large control messages that may wait for the actor.
const QUEUED_CONTROL_MESSAGES: usize = 64;

/// What the traffic between nodes is built on.
pub struct ClusterParts {
    /// The node's settings.
    pub settings: Arc<Settings>,
    /// Where other nodes send datagrams.
    pub gossip: UdpSocket,
    /// Where other nodes connect.
    pub internal: TcpListener,
    /// Where this node's PostgreSQL clients connect, as other nodes are told.
    pub client_address: SocketAddr,
    /// The platform.
    pub platform: PlatformClient,
    /// Where policies come into force.
    pub policy: PolicyHandle,
    /// Runs the units of which this node is a home.
    pub local: Arc<dyn UnitRunner>,
}

/// The traffic between this node and the others; it ends when the last clone is dropped.
#[derive(Debug, Clone)]
pub struct Cluster {
    actor: ActorRef<ControlActor>,
    view: Arc<ArcSwap<ClusterView>>,
    machines: Arc<ArcSwap<MachineList>>,
    peers: Arc<Peers>,
    runner: ForwardingRunner,
    draining: CancellationToken,
    _stop: Arc<DropGuard>,
}

impl Cluster {
    /// Starts membership, the spread of policies and forwarding.
    ///
    /// # Errors
    ///
    /// When the address of a listener cannot be told.
    pub fn start(parts: ClusterParts) -> std::io::Result<Cluster> {
        let settings = &parts.settings;
        let identity = Arc::new(MemberIdentity {
            name: settings.node.name.clone(),
            zone: settings.node.zone.clone(),
            region: settings.node.region.clone(),
            addresses: MemberAddresses {
                gossip: parts.gossip.local_addr()?,
                internal: parts.internal.local_addr()?,
                postgres: parts.client_address,
            },
        });
        let life = NodeLife {
            node: identity.name.clone(),
            incarnation: incarnation(),
        };
        let timing = ForwardingTiming::default();
        let peers = Arc::new(Peers::new(life.clone(), timing));
        let stop = CancellationToken::new();
        let draining = CancellationToken::new();
        let (control, control_messages) = mpsc::channel(QUEUED_CONTROL_MESSAGES);
        let server = ForwardingServer::new(
            life.clone(),
            parts.local.clone(),
            control,
            timing,
            peers.counters().clone(),
            draining.clone(),
        );
        tokio::spawn(server.serve(parts.internal, stop.clone()));

        let clock = Clock::start();
        let node = control_node(settings, identity.clone(), life.incarnation, clock);
        let mut homes = HomeTable::new(
            settings
                .databases
                .iter()
                .map(|database| database.name.clone()),
            settings.homes.per_zone,
        );
        homes.add(&identity);
        let reach = Reach::new(&settings.membership.reach);
        let first_view = ClusterView::new(node.membership(), &homes, &reach, false, 0);
        let view = Arc::new(ArcSwap::from_pointee(first_view));
        let machines: Arc<ArcSwap<MachineList>> = Arc::default();
        let socket = Arc::new(parts.gossip);
        let (deadline, deadlines) = watch::channel(node.next_deadline());
        let actor = ControlActor::spawn(ControlActor {
            node,
            homes,
            clock,
            deadline,
            socket: socket.clone(),
            reach,
            peers: peers.clone(),
            reads: PlatformReads {
                store: PolicyStore::new(parts.platform.clone()),
                client: parts.platform,
                machines: machines.clone(),
            },
            policy: parts.policy,
            view: view.clone(),
        });
        spawn_until(&stop, datagrams::receive(socket, actor.clone()));
        spawn_until(&stop, receive_streams(control_messages, actor.clone()));
        spawn_until(&stop, run_timer(clock, deadlines, actor.clone()));
        let directory = MemberHomes { view: view.clone() };
        let runner = ForwardingRunner::new(parts.local, Arc::new(directory), peers.clone());
        let stop_actor = actor.clone();
        let stopped = stop.clone();
        tokio::spawn(async move {
            stopped.cancelled().await;
            stop_actor.kill();
        });
        Ok(Cluster {
            actor,
            view,
            machines,
            peers,
            runner,
            draining,
            _stop: Arc::new(stop.drop_guard()),
        })
    }

    /// Runs units at the homes of their databases.
    pub fn runner(&self) -> ForwardingRunner {
        self.runner.clone()
    }

    /// The members and homes as this node sees them now.
    pub fn view(&self) -> Arc<ClusterView> {
        self.view.load_full()
    }

    /// The cell that holds the view, for readers that load it again and again.
    pub fn view_cell(&self) -> Arc<ArcSwap<ClusterView>> {
        self.view.clone()
    }

    /// The newest list of machines that this node has read; empty unless it is a watcher.
    pub fn machines(&self) -> Arc<ArcSwap<MachineList>> {
        self.machines.clone()
    }

    /// The other nodes, with the counters of forwarded work.
    pub fn peers(&self) -> &Arc<Peers> {
        &self.peers
    }

    /// Tells the others that this node stops, and starts no more units for them.
    ///
    /// Units that run go on; new ones of this node's own clients go to other homes.
    pub async fn leave(&self) {
        self.draining.cancel();
        self.tell(ControlEvent::Leave).await;
    }

    /// Tells the others that this node has stopped; it takes no part any more.
    pub async fn stop(&self) {
        self.tell(ControlEvent::Stop).await;
    }

    /// Sends an event and waits until it has been handled and its messages have left.
    async fn tell(&self, event: ControlEvent) {
        // An actor that has ended has nothing to tell the others.
        let _ = self.actor.tell(Happened(event)).send().await;
        let _ = self.actor.ask(Synchronize).send().await;
    }
}

/// Higher than in any earlier life, as long as the clock is not set back across a restart.
fn incarnation() -> u64 {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
    let micros = since_epoch.unwrap_or_default().as_micros();
    u64::try_from(micros).unwrap_or(u64::MAX)
}

fn control_node(
    settings: &Settings,
    identity: Arc<MemberIdentity>,
    incarnation: u64,
    clock: Clock,
) -> ControlNode<OwnedDocument> {
    let membership = MembershipConfig {
        own_zone_probe_interval: Duration::from_millis(settings.membership.probe_ms),
        suspicion_timeout: Duration::from_millis(settings.membership.suspicion_ms),
        ..MembershipConfig::default()
    };
    let spread = DistributionConfig {
        poll_interval: Duration::from_millis(settings.platform.poll_ms),
        ..DistributionConfig::default()
    };
    let tuning = ControlConfig {
        membership: Arc::new(membership),
        distribution: Arc::new(spread),
        ..ControlConfig::default()
    };
    ControlNode::new(
        clock.now(),
        identity,
        incarnation,
        settings.membership.seeds.clone(),
        OwnedDocument::default(),
        &tuning,
        rand::random(),
    )
}

fn spawn_until(stop: &CancellationToken, task: impl Future<Output = ()> + Send + 'static) {
    tokio::spawn(stop.clone().run_until_cancelled_owned(task));
}

async fn receive_streams(
    mut messages: mpsc::Receiver<ControlMessage>,
    actor: ActorRef<ControlActor>,
) {
    while let Some(message) = messages.recv().await {
        let Ok(message) = gossip::decode(&message.bytes) else {
            continue;
        };
        let event = ControlEvent::Received {
            from: None,
            message,
        };
        if actor.tell(Happened(event)).send().await.is_err() {
            return;
        }
    }
}

async fn run_timer(
    clock: Clock,
    deadlines: watch::Receiver<spurpier_core::time::Timestamp>,
    actor: ActorRef<ControlActor>,
) {
    timer::run(clock, deadlines, || async {
        let tick = actor.tell(Happened(ControlEvent::Tick));
        tick.send().await.is_ok()
    })
    .await;
}
