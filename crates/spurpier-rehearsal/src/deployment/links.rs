//! The network of a deployment: a relay for each way that crosses it, with latency and cuts.

use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use spurpier_core::identity::{NodeName, ServerName, ZoneName};

use super::settings::DeploymentSettings;
use super::topology::Topology;
use crate::network::{Direction, TcpRelay, UdpRelay};

/// What a link connects.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum LinkUse {
    /// Proxies of a zone to a database server.
    Server(ZoneName, ServerName),
    /// A database server to another one of its group.
    Peer(ServerName, ServerName),
    /// Proxies of a zone to the platform.
    Platform(ZoneName),
    /// Proxies of a zone to a proxy, for forwarded work.
    Internal(ZoneName, NodeName),
    /// Proxies of a zone to a proxy, for gossip.
    Gossip(ZoneName, NodeName),
    /// Clients to a proxy.
    Client(NodeName),
}

/// One relay and the zones at its ends.
#[derive(Debug)]
struct Link {
    used_for: LinkUse,
    /// The zones at both ends; none where an end lies in no zone.
    zones: Option<(ZoneName, ZoneName)>,
    relay: AnyRelay,
}

#[derive(Debug)]
enum AnyRelay {
    Tcp(TcpRelay),
    Udp(UdpRelay),
}

impl AnyRelay {
    fn address(&self) -> SocketAddr {
        match self {
            AnyRelay::Tcp(relay) => relay.address(),
            AnyRelay::Udp(relay) => relay.address(),
        }
    }

    fn set_cut(&self, direction: Direction, cut: bool) {
        match self {
            AnyRelay::Tcp(relay) => relay.set_cut(direction, cut),
            AnyRelay::Udp(relay) => relay.set_cut(direction, cut),
        }
    }
}

/// Ways that are cut together; given back to heal them.
#[derive(Debug)]
#[must_use = "a cut lasts until it is healed"]
pub struct Cut {
    ways: Vec<(usize, Direction)>,
}

impl Cut {
    /// Whether nothing was cut.
    pub fn is_empty(&self) -> bool {
        self.ways.is_empty()
    }
}

/// All links of a deployment.
#[derive(Debug)]
pub struct Links {
    links: Vec<Link>,
    /// How many cuts hold each way; a way is open again when the last of them heals.
    held: Mutex<HashMap<(usize, Direction), u32>>,
}

impl Links {
    /// Starts the relays of a deployment.
    ///
    /// # Errors
    ///
    /// When a relay cannot listen.
    pub async fn start(
        settings: &DeploymentSettings,
        topology: &Topology,
    ) -> io::Result<Arc<Self>> {
        let mut builder = LinkBuilder {
            settings,
            links: Vec::new(),
        };
        builder.add_servers(topology).await?;
        builder.add_peers(topology).await?;
        builder.add_platform(topology).await?;
        builder.add_proxies(topology).await?;
        Ok(Arc::new(Links {
            links: builder.links,
            held: Mutex::new(HashMap::new()),
        }))
    }

    /// The address of the relay for a use; none if the deployment has no such link.
    pub fn address(&self, used_for: &LinkUse) -> Option<SocketAddr> {
        let link = self.links.iter().find(|link| link.used_for == *used_for);
        link.map(|link| link.relay.address())
    }

    /// Cuts a zone off from the others, in both directions or only outbound.
    pub fn cut_zone(&self, zone: &ZoneName, only_outbound: bool) -> Cut {
        self.cut(|link| {
            let (from, to) = link.zones.as_ref()?;
            if from == to {
                return None;
            }
            if from == zone {
                Some(ways(Direction::Forward, only_outbound))
            } else if to == zone {
                Some(ways(Direction::Backward, only_outbound))
            } else {
                None
            }
        })
    }

    /// Cuts a database server off from the other servers of its group.
    pub fn isolate_server(&self, server: &ServerName) -> Cut {
        self.cut(|link| match &link.used_for {
            LinkUse::Peer(from, to) if from == server || to == server => {
                Some(ways(Direction::Forward, false))
            }
            _ => None,
        })
    }

    /// Cuts two database servers off from each other.
    pub fn separate_servers(&self, one: &ServerName, other: &ServerName) -> Cut {
        self.cut(|link| match &link.used_for {
            LinkUse::Peer(from, to)
                if (from == one && to == other) || (from == other && to == one) =>
            {
                Some(ways(Direction::Forward, false))
            }
            _ => None,
        })
    }

    /// Heals a cut.
    pub fn heal(&self, cut: Cut) {
        let mut held = self.held.lock().unwrap_or_else(PoisonError::into_inner);
        for way in cut.ways {
            let count = held.entry(way).or_insert(1);
            *count -= 1;
            if *count == 0 {
                held.remove(&way);
                self.links[way.0].relay.set_cut(way.1, false);
            }
        }
    }

    fn cut(&self, ways_of: impl Fn(&Link) -> Option<Vec<Direction>>) -> Cut {
        let mut held = self.held.lock().unwrap_or_else(PoisonError::into_inner);
        let mut ways = Vec::new();
        for (index, link) in self.links.iter().enumerate() {
            for direction in ways_of(link).unwrap_or_default() {
                *held.entry((index, direction)).or_insert(0) += 1;
                link.relay.set_cut(direction, true);
                ways.push((index, direction));
            }
        }
        Cut { ways }
    }
}

/// The directions that are cut when `outbound` leads out of the zone.
fn ways(outbound: Direction, only_outbound: bool) -> Vec<Direction> {
    if only_outbound {
        vec![outbound]
    } else {
        vec![Direction::Forward, Direction::Backward]
    }
}

struct LinkBuilder<'settings> {
    settings: &'settings DeploymentSettings,
    links: Vec<Link>,
}

impl LinkBuilder<'_> {
    async fn add_servers(&mut self, topology: &Topology) -> io::Result<()> {
        for zone in &self.settings.zones {
            for server in &topology.servers {
                let used_for = LinkUse::Server(zone.name.clone(), server.name.clone());
                let zones = (zone.name.clone(), server.zone.clone());
                self.add_tcp(used_for, zones, server.postgres).await?;
            }
        }
        Ok(())
    }

    async fn add_peers(&mut self, topology: &Topology) -> io::Result<()> {
        for from in &topology.servers {
            let others = topology.group(&from.database);
            for to in others.filter(|to| to.name != from.name) {
                let used_for = LinkUse::Peer(from.name.clone(), to.name.clone());
                let zones = (from.zone.clone(), to.zone.clone());
                self.add_tcp(used_for, zones, to.peer).await?;
            }
        }
        Ok(())
    }

    /// The platform lies in no zone, as near to each zone as another zone of its region.
    async fn add_platform(&mut self, topology: &Topology) -> io::Result<()> {
        let latency = self.settings.zone_latency();
        for zone in &self.settings.zones {
            let relay = TcpRelay::start(topology.platform, latency).await?;
            self.links.push(Link {
                used_for: LinkUse::Platform(zone.name.clone()),
                zones: None,
                relay: AnyRelay::Tcp(relay),
            });
        }
        Ok(())
    }

    async fn add_proxies(&mut self, topology: &Topology) -> io::Result<()> {
        for proxy in &topology.proxies {
            for zone in &self.settings.zones {
                let zones = (zone.name.clone(), proxy.zone.clone());
                let used_for = LinkUse::Internal(zone.name.clone(), proxy.name.clone());
                self.add_tcp(used_for, zones.clone(), proxy.internal)
                    .await?;
                let used_for = LinkUse::Gossip(zone.name.clone(), proxy.name.clone());
                self.add_udp(used_for, zones, proxy.gossip).await?;
            }
            let latency = self.settings.client_latency();
            let relay = TcpRelay::start(proxy.client, latency).await?;
            self.links.push(Link {
                used_for: LinkUse::Client(proxy.name.clone()),
                zones: None,
                relay: AnyRelay::Tcp(relay),
            });
        }
        Ok(())
    }

    async fn add_tcp(
        &mut self,
        used_for: LinkUse,
        zones: (ZoneName, ZoneName),
        target: SocketAddr,
    ) -> io::Result<()> {
        let relay = TcpRelay::start(target, self.latency(&zones)).await?;
        self.push(used_for, zones, AnyRelay::Tcp(relay));
        Ok(())
    }

    async fn add_udp(
        &mut self,
        used_for: LinkUse,
        zones: (ZoneName, ZoneName),
        target: SocketAddr,
    ) -> io::Result<()> {
        let relay = UdpRelay::start(target, self.latency(&zones)).await?;
        self.push(used_for, zones, AnyRelay::Udp(relay));
        Ok(())
    }

    fn push(&mut self, used_for: LinkUse, zones: (ZoneName, ZoneName), relay: AnyRelay) {
        self.links.push(Link {
            used_for,
            zones: Some(zones),
            relay,
        });
    }

    fn latency(&self, zones: &(ZoneName, ZoneName)) -> Duration {
        self.settings.latency_between(&zones.0, &zones.1)
    }
}
