//! The machines of a deployment as tasks of this process.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use error_stack::{Report, ResultExt};
use spurpier::node::{Node, RunningNode};
use spurpier::settings::Settings;

use super::machines::{MachineError, MachineResult, Machines, PlatformPlan, ProxyPlan, ServerPlan};
use crate::database::{DatabaseServer, PeerAddress, RunningServer, ServerConfig};
use crate::platform::{PlatformOptions, PlatformServer};

/// Threads of each proxy.
const PROXY_THREADS: usize = 2;

/// All machines, each a set of tasks on the present runtime.
#[derive(Debug, Default)]
pub struct InProcess {
    state: Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    platform: Option<PlatformServer>,
    servers: HashMap<String, Arc<RunningServer>>,
    proxies: HashMap<String, RunningNode>,
}

impl InProcess {
    /// No machines yet.
    pub fn new() -> Arc<Self> {
        Arc::new(InProcess::default())
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn server(&self, name: &str) -> Option<Arc<RunningServer>> {
        self.state().servers.get(name).cloned()
    }

    fn take_proxy(&self, name: &str) -> MachineResult<RunningNode> {
        let proxy = self.state().proxies.remove(name);
        proxy.ok_or_else(|| Report::new(MachineError::new(name, "find")))
    }
}

impl Machines for InProcess {
    async fn start_platform(&self, plan: &PlatformPlan) -> MachineResult<()> {
        let options = PlatformOptions {
            listen: plan.listen,
            rate: plan.rate,
            list_lag: plan.list_lag,
        };
        let platform = PlatformServer::start(options)
            .await
            .change_context_lazy(|| MachineError::new("platform", "start"))?;
        self.state().platform = Some(platform);
        Ok(())
    }

    async fn start_server(&self, plan: &ServerPlan) -> MachineResult<()> {
        let name = plan.name.as_str();
        let failure = || MachineError::new(name, "start");
        if let Some(server) = self.server(name) {
            return server.restart().await.change_context_lazy(failure);
        }
        let server = DatabaseServer::start(server_config(plan))
            .await
            .change_context_lazy(failure)?;
        self.state()
            .servers
            .insert(name.to_owned(), Arc::new(server));
        Ok(())
    }

    async fn start_proxy(&self, plan: &ProxyPlan) -> MachineResult<()> {
        let failure = || MachineError::new(plan.name.as_str(), "start");
        let settings: Settings = toml::from_str(&plan.settings).change_context_lazy(failure)?;
        let node = Node::start_with_threads(settings, PROXY_THREADS)
            .await
            .change_context_lazy(failure)?;
        let name = plan.name.as_str().to_owned();
        self.state().proxies.insert(name, node);
        Ok(())
    }

    async fn kill(&self, name: &str) -> MachineResult<()> {
        match self.server(name) {
            Some(server) => server.kill(),
            None => self.take_proxy(name)?.kill(),
        }
        Ok(())
    }

    async fn stop(&self, name: &str) -> MachineResult<()> {
        match self.server(name) {
            Some(server) => server.stop().await,
            None => self.take_proxy(name)?.drain().await,
        }
        Ok(())
    }

    async fn freeze(&self, name: &str) -> MachineResult<()> {
        let server = self.server(name);
        let server = server.ok_or_else(|| Report::new(MachineError::new(name, "freeze")))?;
        server.freeze();
        Ok(())
    }

    async fn thaw(&self, name: &str) -> MachineResult<()> {
        let server = self.server(name);
        let server = server.ok_or_else(|| Report::new(MachineError::new(name, "thaw")))?;
        server.thaw();
        Ok(())
    }

    async fn end_all(&self) {
        let state = std::mem::take(&mut *self.state());
        for proxy in state.proxies.into_values() {
            proxy.kill();
        }
        for server in state.servers.values() {
            server.kill();
        }
    }
}

fn server_config(plan: &ServerPlan) -> ServerConfig {
    let peers = plan.peers.iter().map(|peer| PeerAddress {
        name: peer.name.clone(),
        address: peer.address,
    });
    ServerConfig {
        listen: plan.postgres,
        peer_listen: plan.peer,
        group_size: plan.peers.len() + 1,
        peers: peers.collect(),
        slots: plan.slots as usize,
        connections: plan.connections as usize,
        connect_cost: plan.connection_cost,
        seed: plan.seed,
        election_timeout: plan.election_timeout,
        ..ServerConfig::new(plan.name.as_str(), plan.zone.as_str())
    }
}
