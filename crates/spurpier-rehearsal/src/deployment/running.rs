//! A deployment that runs: its machines, its network and the ways to act on them.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use error_stack::{Report, ResultExt};
use futures::future::try_join_all;
use spurpier::platform::wire::{Machine, MachineAddresses, MachineKind, MachineState};
use spurpier_core::identity::DatabaseName;

use super::direct::GroupAccess;
use super::error::DeploymentError;
use super::links::{LinkUse, Links};
use super::machines::{MachineResult, Machines, PeerPlan, PlatformPlan, ProxyPlan, ServerPlan};
use super::platform_control::PlatformControl;
use super::policy::PolicyOperator;
use super::ports::PortReservation;
use super::proxy_settings::{ProxyOutlook, ReachableDatabase, ReachableProxy, ReachableServer};
use super::settings::DeploymentSettings;
use super::tables::{create_tables, read_survivors};
use super::topology::{ProxyPlace, ServerPlace, Topology};
use crate::load::{ProxyEndpoint, Recorder, SessionEnvironment};

/// The least silence of a primary before the others hold an election.
const ELECTION_TIMEOUT: Duration = Duration::from_millis(300);
/// Calls a second that the platform takes.
const PLATFORM_RATE: u32 = 200;
/// How long a change of the platform's machine list stays unseen.
const MACHINE_LIST_LAG: Duration = Duration::from_millis(1_500);
/// How long the proxies may take until they are ready.
const READY_PATIENCE: Duration = Duration::from_secs(30);
const READY_LOOK_INTERVAL: Duration = Duration::from_millis(50);
const LOG_LEVEL: &str = "warn";

/// A deployment that runs.
#[derive(Debug)]
pub struct Deployment<M> {
    /// Its settings.
    pub settings: DeploymentSettings,
    /// Its machines' names and addresses.
    pub topology: Topology,
    /// Its machines.
    pub machines: Arc<M>,
    /// Its network.
    pub links: Arc<Links>,
    /// Control of the platform's faults and machine list.
    pub platform: PlatformControl,
    /// Who publishes its policies.
    pub operator: PolicyOperator,
    /// Where its history is recorded.
    pub recorder: Recorder,
    /// Addresses of machines that have not been started yet.
    ports: Mutex<PortReservation>,
    seed: u64,
}

type DeploymentResult<T> = Result<T, Report<DeploymentError>>;

impl<M: Machines> Deployment<M> {
    /// Starts everything and returns when all proxies are ready.
    ///
    /// # Errors
    ///
    /// See [`DeploymentError`]; what was started is ended again.
    pub async fn start(
        settings: DeploymentSettings,
        machines: Arc<M>,
        recorder: Recorder,
        seed: u64,
    ) -> DeploymentResult<Self> {
        let mut ports = PortReservation::default();
        let topology = Topology::plan(&settings, &mut ports)
            .await
            .change_context(DeploymentError::Network)?;
        let links = Links::start(&settings, &topology)
            .await
            .change_context(DeploymentError::Network)?;
        let platform =
            PlatformControl::new(topology.platform).change_context(DeploymentError::Network)?;
        let operator = PolicyOperator::new(
            topology.platform,
            settings.databases.names.clone(),
            recorder.clone(),
        )
        .change_context(DeploymentError::Network)?;
        let deployment = Deployment {
            settings,
            topology,
            machines,
            links,
            platform,
            operator,
            recorder,
            ports: Mutex::new(ports),
            seed,
        };
        if let Err(report) = deployment.bring_up().await {
            deployment.machines.end_all().await;
            return Err(report);
        }
        Ok(deployment)
    }

    async fn bring_up(&self) -> DeploymentResult<()> {
        let plan = PlatformPlan {
            listen: self.topology.platform,
            rate: PLATFORM_RATE,
            list_lag: MACHINE_LIST_LAG,
        };
        self.release(&[self.topology.platform]);
        self.machines
            .start_platform(&plan)
            .await
            .change_context(DeploymentError::Machines)?;
        let servers = self.topology.servers.iter();
        try_join_all(servers.map(|server| self.start_server(server)))
            .await
            .change_context(DeploymentError::Machines)?;
        let databases = self.settings.databases.names.iter();
        try_join_all(databases.map(|database| self.create_tables(database)))
            .await
            .change_context(DeploymentError::Tables)?;
        self.operator
            .publish_first()
            .await
            .change_context(DeploymentError::Policy)?;
        let proxies = self.topology.proxies.iter();
        try_join_all(proxies.map(|proxy| self.start_proxy(proxy)))
            .await
            .change_context(DeploymentError::Machines)?;
        self.wait_until_ready().await
    }

    async fn create_tables(&self, database: &DatabaseName) -> DeploymentResult<()> {
        create_tables(database.as_str(), &self.group(database))
            .await
            .change_context(DeploymentError::Tables)
    }

    /// Starts a database server, or starts it again, and puts it on the platform's list.
    ///
    /// # Errors
    ///
    /// When it does not start or the platform cannot be told.
    pub async fn start_server(&self, server: &ServerPlace) -> MachineResult<()> {
        self.release(&server.addresses());
        self.machines
            .start_server(&self.server_plan(server))
            .await?;
        let machine = server_machine(server, MachineState::Live);
        self.platform.put_machine(&machine).await
    }

    /// Starts a proxy, or a new one in its place, and puts it on the platform's list.
    ///
    /// # Errors
    ///
    /// When it does not start or the platform cannot be told.
    pub async fn start_proxy(&self, proxy: &ProxyPlace) -> MachineResult<()> {
        self.release(&proxy.addresses());
        self.machines.start_proxy(&self.proxy_plan(proxy)).await?;
        let machine = proxy_machine(proxy, MachineState::Live);
        self.platform.put_machine(&machine).await
    }

    /// Tells the platform that a server or proxy is about to stop.
    ///
    /// # Errors
    ///
    /// When the platform cannot be told.
    pub async fn announce_leaving(&self, machine: &Machine) -> MachineResult<()> {
        let leaving = Machine {
            state: MachineState::Leaving,
            ..machine.clone()
        };
        self.platform.put_machine(&leaving).await
    }

    fn release(&self, addresses: &[SocketAddr]) {
        let mut ports = self.ports.lock().unwrap_or_else(PoisonError::into_inner);
        ports.release(addresses);
    }

    /// The proxies as clients reach them.
    pub fn endpoints(&self) -> Vec<ProxyEndpoint> {
        let proxies = self.topology.proxies.iter();
        proxies
            .map(|proxy| ProxyEndpoint {
                name: proxy.name.as_str().to_owned(),
                address: self.via(LinkUse::Client(proxy.name.clone()), proxy.client),
            })
            .collect()
    }

    /// What client sessions of this deployment share.
    pub fn session_environment(&self) -> SessionEnvironment {
        SessionEnvironment {
            proxies: self.endpoints(),
            roam_share: self.settings.load.roam_share,
            retry_for: Duration::from_millis(self.settings.load.retry_for_ms),
            recorder: self.recorder.clone(),
        }
    }

    /// Direct access to the servers of a database.
    pub fn group(&self, database: &DatabaseName) -> GroupAccess {
        let servers = self.topology.group(database).cloned().collect();
        GroupAccess::new(database.as_str(), servers)
    }

    /// Reads what every database holds, once its servers agree, into the history.
    ///
    /// # Errors
    ///
    /// `Tables` when the servers of a database do not come to agree.
    pub async fn record_survivors(&self) -> DeploymentResult<()> {
        for database in &self.settings.databases.names {
            let survivors = read_survivors(database.as_str(), &self.group(database))
                .await
                .change_context(DeploymentError::Tables)?;
            self.recorder.survivor(survivors);
        }
        Ok(())
    }

    async fn wait_until_ready(&self) -> DeploymentResult<()> {
        let deadline = Instant::now() + READY_PATIENCE;
        for proxy in &self.topology.proxies {
            let url = format!("http://{}/ready", proxy.admin);
            while !answers_ok(&url).await {
                if Instant::now() > deadline {
                    let report = Report::new(DeploymentError::NotReady);
                    return Err(report.attach(format!("{} is not ready", proxy.name)));
                }
                tokio::time::sleep(READY_LOOK_INTERVAL).await;
            }
        }
        Ok(())
    }

    fn server_plan(&self, server: &ServerPlace) -> ServerPlan {
        let sizes = &self.settings.databases;
        let others = self.topology.group(&server.database);
        let peers = others.filter(|other| other.name != server.name);
        let peers = peers.map(|other| PeerPlan {
            name: other.name.clone(),
            address: self.via(
                LinkUse::Peer(server.name.clone(), other.name.clone()),
                other.peer,
            ),
        });
        let index = self.topology.servers.iter().position(|one| one == server);
        ServerPlan {
            name: server.name.clone(),
            zone: server.zone.clone(),
            database: server.database.clone(),
            postgres: server.postgres,
            peer: server.peer,
            peers: peers.collect(),
            slots: sizes.slots,
            connections: sizes.connections,
            connection_cost: Duration::from_millis(sizes.connection_cost_ms),
            election_timeout: ELECTION_TIMEOUT,
            seed: self.seed.wrapping_add(index.unwrap_or(0) as u64),
        }
    }

    fn proxy_plan(&self, proxy: &ProxyPlace) -> ProxyPlan {
        let zone = &proxy.zone;
        let others = self.topology.proxies.iter();
        let others = others.filter(|other| other.name != proxy.name);
        let proxies = others.map(|other| ReachableProxy {
            name: other.name.clone(),
            gossip: self.via(
                LinkUse::Gossip(zone.clone(), other.name.clone()),
                other.gossip,
            ),
            internal: self.via(
                LinkUse::Internal(zone.clone(), other.name.clone()),
                other.internal,
            ),
        });
        let databases = self.settings.databases.names.iter();
        let outlook = ProxyOutlook {
            place: proxy.clone(),
            region: self.settings.region_of(zone),
            platform: self.via(LinkUse::Platform(zone.clone()), self.topology.platform),
            proxies: proxies.collect(),
            databases: databases
                .map(|database| self.reachable_database(proxy, database))
                .collect(),
            log_level: LOG_LEVEL,
        };
        ProxyPlan {
            name: proxy.name.clone(),
            settings: outlook.to_settings(),
            client: proxy.client,
        }
    }

    fn reachable_database(&self, proxy: &ProxyPlace, database: &DatabaseName) -> ReachableDatabase {
        let servers = self.topology.group(database);
        let servers = servers.map(|server| ReachableServer {
            name: server.name.clone(),
            zone: server.zone.clone(),
            address: self.via(
                LinkUse::Server(proxy.zone.clone(), server.name.clone()),
                server.postgres,
            ),
        });
        ReachableDatabase {
            name: database.clone(),
            connections: self.settings.databases.connections,
            slots: self.settings.databases.slots,
            servers: servers.collect(),
        }
    }

    /// The relay's address for a use; the target itself where the network has no such link.
    fn via(&self, used_for: LinkUse, target: SocketAddr) -> SocketAddr {
        self.links.address(&used_for).unwrap_or(target)
    }
}

async fn answers_ok(url: &str) -> bool {
    let response = reqwest::get(url).await;
    response.is_ok_and(|response| response.status().is_success())
}

/// A server as the platform lists it.
pub fn server_machine(server: &ServerPlace, state: MachineState) -> Machine {
    Machine {
        name: server.name.as_str().to_owned(),
        kind: MachineKind::Server,
        zone: server.zone.as_str().to_owned(),
        state,
        addresses: MachineAddresses {
            postgres: Some(server.postgres),
            ..MachineAddresses::default()
        },
    }
}

/// A proxy as the platform lists it.
pub fn proxy_machine(proxy: &ProxyPlace, state: MachineState) -> Machine {
    Machine {
        name: proxy.name.as_str().to_owned(),
        kind: MachineKind::Proxy,
        zone: proxy.zone.as_str().to_owned(),
        state,
        addresses: MachineAddresses {
            gossip: Some(proxy.gossip),
            internal: Some(proxy.internal),
            postgres: None,
        },
    }
}
