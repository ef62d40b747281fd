//! A node: starts all parts of the pipeline and drains them at shutdown.

use std::fmt;
use std::io;
use std::net::SocketAddr;
use std::sync::atomic::AtomicBool;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use error_stack::{Report, ResultExt};
use spurpier_core::retry::RetryBudget;
use spurpier_core::store_version::StoreEra;
use spurpier_events::log_event;
use tokio::net::{TcpListener, UdpSocket};
use tokio::sync::{Notify, Semaphore, mpsc, watch};
use tokio::time::{Instant, timeout, timeout_at};
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use crate::clock::Clock;
use crate::configuration::ConfigurationSink;
use crate::context::{Context, RETRY_BUDGET};
use crate::directory::{
    Directory, ServerSink, close_unused, follow_named_groups, forget_gone, share_after_start,
};
use crate::events;
use crate::follow::follow;
use crate::forward::{self, Links, LostNodes};
use crate::homes::Homes;
use crate::known_tables::KnownTables;
use crate::locality::{ColdServers, Locality, close_evacuated};
use crate::log_budget::LogBudget;
use crate::membership::{ClusterSink, keep_listed, list_leaving, unlist_lost, unlist_self};
use crate::metrics::Metrics;
use crate::ports::{
    ClientDialect, EntryFormat, MetadataStore, PromotionService, ServerDialect, Table,
};
use crate::promotion::{Peers, report_demand_and_decide_moves, watch_groups};
use crate::quota::{Quotas, start_quota_shards};
use crate::readiness;
use crate::replica_sets::{ReplicaSets, keep_replica_sets};
use crate::session::serve_client;
use crate::settings::{ListenSettings, PipelineSettings};

/// Delay after a failed accept, for example when file descriptors have run out.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);
/// Maximum time for which a draining node still accepts clients from the load balancer.
const MAX_DRAIN_ACCEPT: Duration = Duration::from_millis(2_600);

/// Maximum concurrent large transfers of one table to other nodes. 1,400 routes take 69 KB each
/// time, so three transfers take 0.17 s of a link of 10 Mbit/s and no node considers this one
/// silent.
const MAX_LARGE_TRANSFERS: usize = 3;
/// Capacity of the queue of groups that other nodes have asked this one to attend to.
const WANTED_CAPACITY: usize = 64;

/// Errors that prevent a node from starting.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NodeError {
    /// An address could not be bound.
    Bind(SocketAddr),
}

impl fmt::Display for NodeError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            NodeError::Bind(address) => write!(formatter, "{address} cannot be bound"),
        }
    }
}

impl std::error::Error for NodeError {}

/// The sockets on which a node listens.
pub struct Listeners {
    client: TcpListener,
    ready: TcpListener,
    internal: UdpSocket,
    forwarded: TcpListener,
    control: TcpListener,
}

impl Listeners {
    /// Binds the addresses of the settings, and replaces each port 0 in them by the port that the
    /// system assigned.
    ///
    /// # Errors
    ///
    /// `Bind` for the first address that cannot be bound.
    pub async fn bind(listen: &mut ListenSettings) -> Result<Self, Report<NodeError>> {
        let (internal, forwarded) = bind_internal(listen.internal).await?;
        let listeners = Listeners {
            client: bind(listen.client).await?,
            ready: bind(listen.ready).await?,
            internal,
            forwarded,
            control: bind(listen.control).await?,
        };
        listen.client = local(listeners.client.local_addr(), listen.client)?;
        listen.ready = local(listeners.ready.local_addr(), listen.ready)?;
        listen.internal = local(listeners.internal.local_addr(), listen.internal)?;
        listen.control = local(listeners.control.local_addr(), listen.control)?;
        Ok(listeners)
    }
}

fn local(
    bound: io::Result<SocketAddr>,
    wanted: SocketAddr,
) -> Result<SocketAddr, Report<NodeError>> {
    bound.change_context(NodeError::Bind(wanted))
}

/// The settings, sockets and port implementations from which a node is built.
pub struct NodeParts {
    /// The settings.
    pub settings: PipelineSettings,
    /// The sockets, bound to the settings' addresses.
    pub listeners: Listeners,
    /// Wire protocol of clients.
    pub client_dialect: Arc<dyn ClientDialect>,
    /// Wire protocol of servers.
    pub server_dialect: Arc<dyn ServerDialect>,
    /// The platform's metadata store.
    pub store: Arc<dyn MetadataStore>,
    /// Decodes the store's rows.
    pub entries: Arc<dyn EntryFormat>,
    /// Promotes the server that takes over a group.
    pub promotions: Arc<dyn PromotionService>,
}

/// Cancelled to stop a node.
pub type Stop = CancellationToken;

/// Runs nodes.
#[derive(Debug)]
pub struct Node;

impl Node {
    /// Runs a node until `stop` is cancelled and its sessions have ended.
    pub async fn run(parts: NodeParts, stop: Stop) {
        let (context, listeners, lost) = Context::new(parts);
        let context = Arc::new(context);
        start_tasks(&context, listeners.ready);
        start_promotion(&context, listeners.internal);
        tokio::spawn(unlist_lost(Arc::clone(&context), lost));
        tokio::spawn(forward::serve(Arc::clone(&context), listeners.forwarded));
        // Starting nodes send their requests to the seeds' control addresses.
        tokio::spawn(forward::serve(Arc::clone(&context), listeners.control));
        log_event!(
            events::NODE_STARTED,
            node = context.settings.node.name,
            zone = context.settings.node.zone,
            client = context.settings.listen.client
        );
        let sessions = TaskTracker::new();
        tokio::select! {
            () = accept(&context, &listeners.client, &sessions) => {}
            () = stop.cancelled() => {}
        }
        drain(&context, listeners.client, &sessions).await;
    }
}

async fn bind(address: SocketAddr) -> Result<TcpListener, Report<NodeError>> {
    let bound = TcpListener::bind(address).await;
    bound.change_context(NodeError::Bind(address))
}

/// Binds the internal address twice on the same port: UDP for datagrams, TCP for forwarded units.
async fn bind_internal(address: SocketAddr) -> Result<(UdpSocket, TcpListener), Report<NodeError>> {
    let listener = bind(address).await?;
    let port = local(listener.local_addr(), address)?;
    let bound = UdpSocket::bind(port).await;
    let datagrams = bound.change_context(NodeError::Bind(address))?;
    Ok((datagrams, listener))
}

impl Context {
    fn new(parts: NodeParts) -> (Self, Listeners, LostNodes) {
        let clock = Clock::new();
        let (links, lost) = Links::new();
        let configuration = watch::Sender::new(None);
        let bounds = &parts.settings.bounds;
        let cold = ColdServers::new(bounds, clock.clone(), configuration.subscribe());
        let context = Context {
            retry_budget: Mutex::new(RetryBudget::new(RETRY_BUDGET, clock.now())),
            homes: Homes::new(&parts.settings),
            locality: Locality::new(&parts.settings, &clock),
            replica_sets: ReplicaSets::default(),
            quotas: Quotas::new(&parts.settings),
            cold,
            settings: parts.settings,
            clock,
            client_dialect: parts.client_dialect,
            server_dialect: parts.server_dialect,
            store: parts.store,
            entries: parts.entries,
            promotions: parts.promotions,
            configuration,
            groups: Mutex::default(),
            visited: Mutex::default(),
            served_groups: Mutex::default(),
            groups_with_gone: Mutex::default(),
            open_pools: Arc::default(),
            links,
            store_lost: AtomicBool::new(false),
            store_regained_at: Mutex::default(),
            store_era: watch::Sender::new(StoreEra::UNREPORTED),
            directory_known: watch::Sender::new(false),
            holds_promotion_lease: AtomicBool::new(false),
            lease_wanted: Notify::new(),
            known_tables: KnownTables::new(),
            large_transfer_slots: std::array::from_fn(|_| {
                Arc::new(Semaphore::new(MAX_LARGE_TRANSFERS))
            }),
            metrics: Metrics::default(),
            log_budget: LogBudget::default(),
            forwarded: TaskTracker::new(),
            draining: CancellationToken::new(),
            closing: CancellationToken::new(),
        };
        (context, parts.listeners, lost)
    }
}

fn start_tasks(context: &Arc<Context>, ready_listener: TcpListener) {
    let shared = || Arc::clone(context);
    tokio::spawn(context.clock.clone().watch_for_stalls());
    tokio::spawn(readiness::serve(shared(), ready_listener));
    let configuration = ConfigurationSink(shared());
    tokio::spawn(follow(shared(), Table::Configuration, configuration));
    let directory = Directory::new(shared());
    let servers = ServerSink(Arc::clone(&directory));
    tokio::spawn(follow(shared(), Table::Servers, servers));
    tokio::spawn(follow_named_groups(directory));
    tokio::spawn(follow(shared(), Table::Cluster, ClusterSink(shared())));
    tokio::spawn(forget_gone(shared()));
    tokio::spawn(share_after_start(shared()));
    tokio::spawn(close_unused(shared()));
    tokio::spawn(close_evacuated(shared()));
    tokio::spawn(keep_listed(shared()));
    start_quota_shards(context);
}

fn start_promotion(context: &Arc<Context>, socket: UdpSocket) {
    let (sender, wanted) = mpsc::channel(WANTED_CAPACITY);
    let peers = Peers::new(Arc::clone(context), socket, sender);
    tokio::spawn(Arc::clone(&peers).receive());
    tokio::spawn(report_demand_and_decide_moves(
        Arc::clone(context),
        Arc::clone(&peers),
    ));
    tokio::spawn(keep_replica_sets(Arc::clone(context)));
    tokio::spawn(watch_groups(Arc::clone(context), peers, wanted));
}

/// Accepts clients; never returns.
async fn accept(context: &Arc<Context>, listener: &TcpListener, sessions: &TaskTracker) {
    loop {
        match listener.accept().await {
            Ok((stream, peer)) => {
                sessions.spawn(serve_client(Arc::clone(context), stream, peer));
            }
            Err(_) => tokio::time::sleep(ACCEPT_RETRY_DELAY).await,
        }
    }
}

/// Drains the node: it stops being ready, accepts clients until the load balancer has noticed, and
/// lets sessions end.
///
/// In the first half of the grace period, idle sessions are closed and the others continue. At the
/// half, no further statement is accepted and open transactions are ended; running statements have
/// most of the second half to complete.
async fn drain(context: &Arc<Context>, listener: TcpListener, sessions: &TaskTracker) {
    log_event!(events::NODE_DRAINING, sessions = sessions.len());
    context.draining.cancel();
    // Other nodes remove this one from the homes, and are served until they have done so.
    let leaving = Arc::clone(context);
    tokio::spawn(async move { list_leaving(&leaving).await });
    let started = Instant::now();
    let grace = Duration::from_millis(context.settings.bounds.grace_ms);
    let accept_on = MAX_DRAIN_ACCEPT.min(grace * 2 / 5);
    // `accept` never returns, so this always ends by the timeout.
    let _ = timeout(accept_on, accept(context, &listener, sessions)).await;
    drop(listener);
    sessions.close();
    context.forwarded.close();
    let work_ends = || async {
        sessions.wait().await;
        context.forwarded.wait().await;
    };
    let half = timeout_at(started + grace / 2, work_ends()).await;
    if half.is_err() {
        context.closing.cancel();
        // Work that is still running after this is cut off when the process exits.
        let _ = timeout_at(started + grace * 9 / 10, work_ends()).await;
    }
    // From here on, this node uses no leader any more.
    unlist_self(context).await;
    log_event!(events::NODE_DRAINED, cut = sessions.len());
}
