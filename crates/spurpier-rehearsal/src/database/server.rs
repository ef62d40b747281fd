//! Starts a server and gives the handle for its faults and its end.

use std::fmt;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use error_stack::{Report, ResultExt};
use spurpier_core::group::ServerStatus;
use spurpier_core::identity::{ServerName, ZoneName};
use tokio::net::TcpListener;
use tokio::sync::oneshot;

use super::config::{PeerAddress, ServerConfig};
use super::consensus::Consensus;
use super::durable::Durable;
use super::server_core::{ServerCore, lock};
use super::tables::Tables;
use super::{applier, election, follower, handover, listener, peer_listener, replicator};

/// How long a leaving server waits for running transactions at most.
const DRAIN_LIMIT: Duration = Duration::from_secs(10);
/// How often a leaving server looks whether it is idle.
const DRAIN_CHECK: Duration = Duration::from_millis(10);
/// How long a leaving server waits for its closed connections to end.
const CLOSE_LIMIT: Duration = Duration::from_secs(1);

/// A server could not be started.
#[derive(Debug)]
pub struct ServerError {
    /// The server.
    pub name: ServerName,
}

impl fmt::Display for ServerError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "the database server {} did not start", self.name)
    }
}

impl std::error::Error for ServerError {}

/// A database server that can be started.
#[derive(Debug)]
pub struct DatabaseServer;

impl DatabaseServer {
    /// Starts a server; it listens when this returns.
    pub async fn start(config: ServerConfig) -> Result<RunningServer, Report<ServerError>> {
        let failure = || ServerError {
            name: config.name.clone(),
        };
        let durable = match &config.data_dir {
            Some(directory) => Durable::in_directory(directory).change_context_lazy(failure)?,
            None => Durable::in_memory(),
        };
        start_with(config, durable).await
    }
}

async fn start_with(
    config: ServerConfig,
    durable: Durable,
) -> Result<RunningServer, Report<ServerError>> {
    let failure = || ServerError {
        name: config.name.clone(),
    };
    let bound = TcpListener::bind(config.listen).await;
    let postgres = bound.change_context_lazy(failure)?;
    let bound = TcpListener::bind(config.peer_listen).await;
    let peer = bound.change_context_lazy(failure)?;
    let postgres_address = postgres.local_addr().change_context_lazy(failure)?;
    let peer_address = peer.local_addr().change_context_lazy(failure)?;
    let tables = Tables::new().change_context_lazy(failure)?;
    let consensus = Consensus::new(
        config.name.clone(),
        config.group_size,
        config.election_timeout,
        config.seed,
        durable,
        Instant::now(),
    );
    let core = Arc::new(ServerCore::new(config.clone(), consensus, tables));
    spawn_applier(&core).await.change_context_lazy(failure)?;
    spawn(&core, listener::run(Arc::clone(&core), postgres));
    spawn(&core, peer_listener::run(Arc::clone(&core), peer));
    spawn(&core, election::run(Arc::clone(&core)));
    spawn(&core, replicator::run(Arc::clone(&core)));
    spawn(&core, follower::run(Arc::clone(&core)));
    Ok(RunningServer {
        core: Mutex::new(core),
        postgres_address,
        peer_address,
    })
}

fn spawn(core: &ServerCore, task: impl Future<Output = ()> + Send + 'static) {
    let task = core.shutdown.clone().run_until_cancelled_owned(task);
    core.tasks.spawn(task);
}

/// Starts the applier and waits until the tables exist.
async fn spawn_applier(core: &Arc<ServerCore>) -> Result<(), oneshot::error::RecvError> {
    let (ready, created) = oneshot::channel();
    let shared = Arc::clone(core);
    spawn(core, async move {
        let server = shared.config.name.clone();
        if let Err(report) = applier::run(Arc::clone(&shared), ready).await {
            log::error!(server = server.as_str(); "the server stops: {report:?}");
            shared.halt();
        }
    });
    created.await
}

/// A running server: its addresses, its faults and its end. Dropping it does not stop the server.
#[derive(Debug)]
pub struct RunningServer {
    core: Mutex<Arc<ServerCore>>,
    postgres_address: SocketAddr,
    peer_address: SocketAddr,
}

impl RunningServer {
    fn core(&self) -> Arc<ServerCore> {
        Arc::clone(&lock(&self.core))
    }

    /// The server's name.
    pub fn name(&self) -> ServerName {
        self.core().config.name.clone()
    }

    /// The server's zone.
    pub fn zone(&self) -> ZoneName {
        self.core().config.zone.clone()
    }

    /// Where PostgreSQL clients connect; the same after a restart.
    pub fn postgres_address(&self) -> SocketAddr {
        self.postgres_address
    }

    /// Where the other servers connect; the same after a restart.
    pub fn peer_address(&self) -> SocketAddr {
        self.peer_address
    }

    /// Replaces the addresses of the other servers.
    pub fn set_peers(&self, peers: Vec<PeerAddress>) {
        self.core().peers.send_replace(peers);
    }

    /// What the server reports of itself.
    pub fn status(&self) -> ServerStatus {
        self.core().status()
    }

    /// Sets how long after its receipt a record is applied on a replica.
    pub fn set_apply_delay(&self, delay: Duration) {
        self.core().faults.set_apply_delay(delay);
    }

    /// Stops everything that the server does until `thaw`, as if its process were paused.
    ///
    /// A statement that runs in SQLite at the moment still runs to its end, unseen.
    pub fn freeze(&self) {
        self.core().faults.set_frozen(true);
    }

    /// Ends a freeze.
    pub fn thaw(&self) {
        self.core().faults.set_frozen(false);
    }

    /// Cuts the replication connections with one other server, in both directions.
    pub fn cut_peer(&self, peer: &ServerName) {
        self.core().faults.set_cut(peer, true);
    }

    /// Heals what `cut_peer` cut.
    pub fn heal_peer(&self, peer: &ServerName) {
        self.core().faults.set_cut(peer, false);
    }

    /// Cuts the replication connections with all other servers.
    pub fn cut_peers(&self) {
        self.set_all_cut(true);
    }

    /// Heals the replication connections with all other servers.
    pub fn heal_peers(&self) {
        self.set_all_cut(false);
    }

    fn set_all_cut(&self, cut: bool) {
        let core = self.core();
        for peer in core.peers.borrow().iter() {
            core.faults.set_cut(&peer.name, cut);
        }
    }

    /// Stops the server as planned: tells that it leaves, hands over, lets transactions end.
    pub async fn stop(&self) {
        let core = self.core();
        core.set_leaving();
        hand_over(&core).await;
        let drained = wait_until_idle(&core);
        let _ = tokio::time::timeout(DRAIN_LIMIT, drained).await;
        core.draining.cancel();
        let closed = async {
            while !core.sessions.is_empty() {
                tokio::time::sleep(DRAIN_CHECK).await;
            }
        };
        let _ = tokio::time::timeout(CLOSE_LIMIT, closed).await;
        self.kill();
    }

    /// Ends the server at once: its connections break and nothing more of it happens.
    pub fn kill(&self) {
        self.core().halt();
    }

    /// Starts the server again at its addresses, with its log and vote, after `kill` or `stop`.
    pub async fn restart(&self) -> Result<(), Report<ServerError>> {
        let old = self.core();
        self.kill();
        old.tasks.close();
        // The ports are free once the listening tasks have ended.
        old.tasks.wait().await;
        let mut config = old.config.clone();
        config.listen = self.postgres_address;
        config.peer_listen = self.peer_address;
        config.peers = old.peers.borrow().clone();
        config.apply_delay = old.faults.apply_delay();
        let durable = lock(&old.kept).take().unwrap_or_default();
        let restarted = start_with(config, durable).await?;
        *lock(&self.core) = restarted.core();
        Ok(())
    }

    /// Waits until the server has ended.
    pub async fn ended(&self) {
        let core = self.core();
        core.shutdown.cancelled().await;
    }
}

/// Hands over if this server is primary and another one has caught up in time.
async fn hand_over(core: &Arc<ServerCore>) {
    let Some(successor) = handover::best_successor(core) else {
        return;
    };
    if let Err(reason) = handover::transfer(Arc::clone(core), successor).await {
        log::warn!(server = core.config.name.as_str(); "leaving without a hand-over: {reason}");
    }
}

/// Waits until no session has been busy for the leaving grace.
async fn wait_until_idle(core: &ServerCore) {
    let mut idle_since = Instant::now();
    while idle_since.elapsed() < core.config.leaving_grace {
        tokio::time::sleep(DRAIN_CHECK).await;
        if core.sessions.any_busy() {
            idle_since = Instant::now();
        }
    }
}
