//! Which servers and proxies a deployment has, where they stand and where they listen.

use std::io;
use std::net::SocketAddr;

use spurpier_core::identity::{DatabaseName, NodeName, ServerName, ZoneName};

use super::ports::PortReservation;
use super::settings::DeploymentSettings;

/// One database server.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServerPlace {
    /// Its name, unique in the deployment.
    pub name: ServerName,
    /// Its database.
    pub database: DatabaseName,
    /// Its zone.
    pub zone: ZoneName,
    /// Where it listens for PostgreSQL clients.
    pub postgres: SocketAddr,
    /// Where it listens for the other servers of its group.
    pub peer: SocketAddr,
}

impl ServerPlace {
    /// All its addresses.
    pub fn addresses(&self) -> [SocketAddr; 2] {
        [self.postgres, self.peer]
    }
}

/// One proxy.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ProxyPlace {
    /// Its name, unique in the deployment.
    pub name: NodeName,
    /// Its zone.
    pub zone: ZoneName,
    /// Where it listens for PostgreSQL clients.
    pub client: SocketAddr,
    /// Its admin endpoint.
    pub admin: SocketAddr,
    /// Where it listens for other proxies' work.
    pub internal: SocketAddr,
    /// Where it listens for gossip (UDP).
    pub gossip: SocketAddr,
}

impl ProxyPlace {
    /// All its addresses.
    pub fn addresses(&self) -> [SocketAddr; 4] {
        [self.client, self.admin, self.internal, self.gossip]
    }
}

/// All machines of a deployment.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Topology {
    /// Where the platform listens.
    pub platform: SocketAddr,
    /// The database servers, group by group.
    pub servers: Vec<ServerPlace>,
    /// The proxies, zone by zone.
    pub proxies: Vec<ProxyPlace>,
}

impl Topology {
    /// Places one server of each database and the deployment's number of proxies in each zone.
    ///
    /// The addresses stay reserved in `ports` until they are released.
    ///
    /// # Errors
    ///
    /// When the system has no free ports.
    pub async fn plan(
        settings: &DeploymentSettings,
        ports: &mut PortReservation,
    ) -> io::Result<Self> {
        Ok(Topology {
            platform: ports.tcp()?,
            servers: plan_servers(settings, ports)?,
            proxies: plan_proxies(settings, ports).await?,
        })
    }

    /// The servers of one database, in the order of the zones.
    pub fn group<'topology>(
        &'topology self,
        database: &DatabaseName,
    ) -> impl Iterator<Item = &'topology ServerPlace> {
        self.servers
            .iter()
            .filter(move |server| server.database == *database)
    }

    /// A server by its name.
    pub fn server(&self, name: &ServerName) -> Option<&ServerPlace> {
        self.servers.iter().find(|server| server.name == *name)
    }

    /// A proxy by its name.
    pub fn proxy(&self, name: &NodeName) -> Option<&ProxyPlace> {
        self.proxies.iter().find(|proxy| proxy.name == *name)
    }
}

fn plan_servers(
    settings: &DeploymentSettings,
    ports: &mut PortReservation,
) -> io::Result<Vec<ServerPlace>> {
    let mut servers = Vec::new();
    for database in &settings.databases.names {
        for zone in &settings.zones {
            servers.push(ServerPlace {
                name: ServerName::from(format!("{database}-{}", zone.name)),
                database: database.clone(),
                zone: zone.name.clone(),
                postgres: ports.tcp()?,
                peer: ports.tcp()?,
            });
        }
    }
    Ok(servers)
}

async fn plan_proxies(
    settings: &DeploymentSettings,
    ports: &mut PortReservation,
) -> io::Result<Vec<ProxyPlace>> {
    let mut proxies = Vec::new();
    for zone in &settings.zones {
        for number in 1..=settings.proxies.per_zone {
            proxies.push(ProxyPlace {
                name: NodeName::from(format!("proxy-{}-{number}", zone.name)),
                zone: zone.name.clone(),
                client: ports.tcp()?,
                admin: ports.tcp()?,
                internal: ports.tcp()?,
                gossip: ports.udp().await?,
            });
        }
    }
    Ok(proxies)
}
