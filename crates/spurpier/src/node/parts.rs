//! The parts of one node and the wires between them.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use arc_swap::ArcSwapOption;
use error_stack::{Report, ResultExt};
use prometheus_client::registry::Registry;
use spurpier_core::identity::DatabaseName;
use spurpier_core::policy::PolicyInForce;
use tokio::net::{TcpListener, UdpSocket};
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use super::cluster::{LateView, MemberSource, follow_machine_list};
use super::metrics::{ForwardingCollector, HomeCollector, IngressCollector};
use super::status::{HomeSource, IngressSource, PolicySource};
use super::{BoundAddresses, NodeError};
use crate::admin::health::Health;
use crate::admin::metrics::PREFIX;
use crate::admin::server::{Admin, serve};
use crate::admin::status::StatusSource;
use crate::cluster::control::{Cluster, ClusterParts};
use crate::events;
use crate::home::{Home, HomeSeams};
use crate::ingress::{Ingress, IngressContext, IngressCounters};
use crate::log_event;
use crate::platform::PlatformClient;
use crate::policy::{PolicyHandle, PolicyStore};
use crate::settings::{DatabaseSettings, NodeSettings, Settings};

/// The parts of a node that its owner must reach.
#[derive(Debug)]
pub(super) struct Parts {
    addresses: BoundAddresses,
    health: Arc<Health>,
    /// Cancelled when the node takes no new clients.
    draining: CancellationToken,
    /// The ingress side's task, which ends with its drain.
    ingress: TaskTracker,
    home: Home,
    cluster: Cluster,
}

impl Parts {
    /// Binds the listeners and starts all parts.
    pub(super) async fn start(settings: Settings) -> Result<Self, Report<NodeError>> {
        let client_listener = bind("client", settings.listen.client).await?;
        let admin_listener = bind("admin", settings.listen.admin).await?;
        let internal_listener = bind("internal", settings.listen.internal).await?;
        let gossip_socket = bind_gossip(settings.listen.gossip).await?;
        let addresses = BoundAddresses {
            client: local_address("client", &client_listener, settings.listen.client)?,
            admin: local_address("admin", &admin_listener, settings.listen.admin)?,
            internal: local_address("internal", &internal_listener, settings.listen.internal)?,
            gossip: gossip_socket
                .local_addr()
                .change_context(bind_error("gossip", settings.listen.gossip))?,
        };
        let settings = Arc::new(settings);
        let platform = platform_client(&settings)?;
        let policy_handle = PolicyHandle::start(PolicyStore::new(platform.clone()));
        let policy = policy_handle.in_force();
        let late_view = LateView::default();
        let home = Home::start(&settings, home_seams(&policy, &late_view));
        let cluster = Cluster::start(ClusterParts {
            settings: Arc::clone(&settings),
            gossip: gossip_socket,
            internal: internal_listener,
            client_address: addresses.client,
            platform,
            policy: policy_handle,
            local: Arc::new(home.clone()),
        })
        .change_context(bind_error("internal", addresses.internal))?;
        late_view.set(&cluster);
        tokio::spawn(follow_machine_list(home.clone(), cluster.machines()));
        let counters = Arc::new(IngressCounters::new());
        let health = Arc::new(Health::default());
        let admin = Admin {
            node: settings.node.clone(),
            started_at: Instant::now(),
            health: Arc::clone(&health),
            sources: status_sources(&settings, &policy, &counters, &home, &cluster),
            registry: registry(&counters, &home, &cluster),
        };
        tokio::spawn(serve(
            admin_listener,
            Arc::new(admin),
            CancellationToken::new(),
        ));
        let draining = CancellationToken::new();
        let context = IngressContext {
            settings: Arc::clone(&settings),
            runner: Arc::new(cluster.runner()),
            policy,
            counters,
        };
        let ingress = start_ingress(client_listener, context, &draining);
        health.set_listening();
        log_started(&settings.node, addresses);
        Ok(Parts {
            addresses,
            health,
            draining,
            ingress,
            home,
            cluster,
        })
    }

    pub(super) fn addresses(&self) -> BoundAddresses {
        self.addresses
    }

    /// Tells the other nodes first, then ends the clients, since their work in flight needs the
    /// home.
    pub(super) async fn drain(&self) {
        self.health.set_draining();
        log_event!(events::node::DRAINING);
        self.cluster.leave().await;
        self.draining.cancel();
        self.ingress.wait().await;
        if self.home.drain().await {
            log_event!(events::node::DRAINED);
        } else {
            log_event!(events::node::DRAIN_TIMED_OUT);
        }
        self.cluster.stop().await;
    }
}

fn platform_client(settings: &Settings) -> Result<PlatformClient, Report<NodeError>> {
    let timeout = Duration::from_millis(settings.platform.timeout_ms);
    PlatformClient::new(&settings.platform.url, timeout).change_context(NodeError::Platform)
}

/// Lets the home see the policy in force, and the ranks of the cluster, at each look.
fn home_seams(policy: &Arc<ArcSwapOption<PolicyInForce>>, view: &LateView) -> HomeSeams {
    let policy = Arc::clone(policy);
    let (ranks, shares) = (view.clone(), view.clone());
    HomeSeams {
        placement: Arc::new(move |database: &DatabaseName| {
            let policy = policy.load();
            policy.as_ref()?.placement(database).cloned()
        }),
        is_first_home: Arc::new(move |database: &DatabaseName| ranks.is_first_home(database)),
        connection_share: Arc::new(move |database: &DatabaseSettings| {
            shares.connection_share(database)
        }),
    }
}

fn status_sources(
    settings: &Settings,
    policy: &Arc<ArcSwapOption<PolicyInForce>>,
    counters: &Arc<IngressCounters>,
    home: &Home,
    cluster: &Cluster,
) -> Vec<Arc<dyn StatusSource>> {
    let members = MemberSource {
        own: settings.node.clone(),
        cluster: cluster.clone(),
    };
    vec![
        Arc::new(members),
        Arc::new(PolicySource::new(Arc::clone(policy))),
        Arc::new(IngressSource(Arc::clone(counters))),
        Arc::new(HomeSource(home.clone())),
    ]
}

fn registry(counters: &Arc<IngressCounters>, home: &Home, cluster: &Cluster) -> Registry {
    let mut registry = Registry::with_prefix(PREFIX);
    registry.register_collector(Box::new(IngressCollector(Arc::clone(counters))));
    registry.register_collector(Box::new(HomeCollector(home.clone())));
    let forwarding = Arc::clone(cluster.peers().counters());
    registry.register_collector(Box::new(ForwardingCollector(forwarding)));
    registry
}

fn start_ingress(
    listener: TcpListener,
    context: IngressContext,
    draining: &CancellationToken,
) -> TaskTracker {
    let ingress = TaskTracker::new();
    let draining = draining.clone();
    ingress.spawn(async move {
        if let Err(report) = Ingress::serve(listener, context, draining).await {
            log_event!(
                events::node::INGRESS_FAILED,
                error = report.current_context()
            );
        }
    });
    ingress.close();
    ingress
}

fn log_started(node: &NodeSettings, addresses: BoundAddresses) {
    log_event!(
        events::node::STARTED,
        node = node.name,
        zone = node.zone,
        client = addresses.client,
        admin = addresses.admin,
        internal = addresses.internal,
        gossip = addresses.gossip
    );
}

async fn bind(
    listener: &'static str,
    address: SocketAddr,
) -> Result<TcpListener, Report<NodeError>> {
    TcpListener::bind(address)
        .await
        .change_context(bind_error(listener, address))
}

async fn bind_gossip(address: SocketAddr) -> Result<UdpSocket, Report<NodeError>> {
    UdpSocket::bind(address)
        .await
        .change_context(bind_error("gossip", address))
}

fn bind_error(listener: &'static str, address: SocketAddr) -> NodeError {
    NodeError::Bind { listener, address }
}

fn local_address(
    listener: &'static str,
    bound: &TcpListener,
    address: SocketAddr,
) -> Result<SocketAddr, Report<NodeError>> {
    bound
        .local_addr()
        .change_context(bind_error(listener, address))
}
