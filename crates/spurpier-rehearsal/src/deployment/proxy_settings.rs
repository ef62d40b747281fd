//! The settings file of each proxy of a deployment.

use std::fmt::{self, Write};
use std::net::SocketAddr;

use spurpier_core::identity::{DatabaseName, NodeName, RegionName, ServerName, ZoneName};

use super::topology::ProxyPlace;

/// Another proxy as reached from one proxy.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ReachableProxy {
    /// Its name.
    pub name: NodeName,
    /// Its gossip address.
    pub gossip: SocketAddr,
    /// Its internal address.
    pub internal: SocketAddr,
}

/// A database server as reached from one proxy.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ReachableServer {
    /// Its name.
    pub name: ServerName,
    /// Its zone.
    pub zone: ZoneName,
    /// Its PostgreSQL address.
    pub address: SocketAddr,
}

/// A database as a proxy's settings give it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ReachableDatabase {
    /// Its name.
    pub name: DatabaseName,
    /// Connections that all proxies together hold to each server.
    pub connections: u32,
    /// Units that one server runs at the same time.
    pub slots: u32,
    /// The servers of its old side.
    pub servers: Vec<ReachableServer>,
}

/// What a proxy's settings are made of.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ProxyOutlook {
    /// The proxy.
    pub place: ProxyPlace,
    /// Its region.
    pub region: RegionName,
    /// The platform's address as reached from it.
    pub platform: SocketAddr,
    /// The other proxies.
    pub proxies: Vec<ReachableProxy>,
    /// The databases.
    pub databases: Vec<ReachableDatabase>,
    /// The least level of its log.
    pub log_level: &'static str,
}

impl ProxyOutlook {
    /// The settings file.
    pub fn to_settings(&self) -> String {
        let mut text = String::new();
        // Writing to a string cannot fail.
        let _ = self.write(&mut text);
        text
    }

    fn write(&self, text: &mut String) -> fmt::Result {
        let place = &self.place;
        writeln!(text, "[node]")?;
        writeln!(text, "name = \"{}\"", place.name)?;
        writeln!(text, "zone = \"{}\"", place.zone)?;
        writeln!(text, "region = \"{}\"", self.region)?;
        writeln!(text, "\n[listen]")?;
        writeln!(text, "client = \"{}\"", place.client)?;
        writeln!(text, "admin = \"{}\"", place.admin)?;
        writeln!(text, "internal = \"{}\"", place.internal)?;
        writeln!(text, "gossip = \"{}\"", place.gossip)?;
        writeln!(text, "\n[platform]")?;
        writeln!(text, "url = \"http://{}\"", self.platform)?;
        writeln!(text, "\n[log]")?;
        writeln!(text, "level = \"{}\"", self.log_level)?;
        self.write_membership(text)?;
        for database in &self.databases {
            write_database(text, database)?;
        }
        Ok(())
    }

    fn write_membership(&self, text: &mut String) -> fmt::Result {
        let seeds: Vec<String> = self
            .proxies
            .iter()
            .map(|proxy| format!("\"{}\"", proxy.gossip))
            .collect();
        writeln!(text, "\n[membership]")?;
        writeln!(text, "seeds = [{}]", seeds.join(", "))?;
        for proxy in &self.proxies {
            writeln!(text, "\n[[membership.reach]]")?;
            writeln!(text, "node = \"{}\"", proxy.name)?;
            writeln!(text, "gossip = \"{}\"", proxy.gossip)?;
            writeln!(text, "internal = \"{}\"", proxy.internal)?;
        }
        Ok(())
    }
}

fn write_database(text: &mut String, database: &ReachableDatabase) -> fmt::Result {
    writeln!(text, "\n[[database]]")?;
    writeln!(text, "name = \"{}\"", database.name)?;
    writeln!(text, "connections = {}", database.connections)?;
    writeln!(text, "slots = {}", database.slots)?;
    writeln!(text, "\n[[database.side]]")?;
    writeln!(text, "side = \"old\"")?;
    for server in &database.servers {
        writeln!(text, "\n[[database.side.server]]")?;
        writeln!(text, "name = \"{}\"", server.name)?;
        writeln!(text, "address = \"{}\"", server.address)?;
        writeln!(text, "zone = \"{}\"", server.zone)?;
    }
    Ok(())
}
