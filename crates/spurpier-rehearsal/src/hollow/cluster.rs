//! The hollow nodes of a run: names, addresses, starts and stops.

use std::cell::RefCell;
use std::collections::HashMap;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::rc::Rc;
use std::sync::Arc;

use rand::RngExt;
use rand::rngs::SmallRng;
use spurpier_core::control::{ControlConfig, ControlNode};
use spurpier_core::distribution::{Document, OwnedDocument};
use spurpier_core::identity::{NodeName, RegionName, ZoneName};
use spurpier_core::membership::{ListedMachine, MemberAddresses, MemberIdentity, NodeKey};
use spurpier_core::time::Timestamp;

use super::network::region_of;
use super::node::{HollowNode, MachineNumber};
use super::store::{DocumentCache, HollowStore};

const GOSSIP_PORT: u16 = 6_435;
const INTERNAL_PORT: u16 = 6_434;
const POSTGRES_PORT: u16 = 6_432;
/// Gossip addresses that a starting node is given.
const SEEDS: usize = 3;
/// Every so many nodes owns its document, as a real node does, in place of sharing it.
const OWNED_DOCUMENT_EVERY: u32 = 500;

/// A machine of the past or present.
struct Machine {
    node: Option<Box<HollowNode>>,
    identity: Arc<MemberIdentity>,
    started_at: Timestamp,
    stopped_at: Option<Timestamp>,
}

/// All machines.
pub(super) struct Cluster {
    machines: Vec<Machine>,
    live: Vec<MachineNumber>,
    by_key: HashMap<NodeKey, MachineNumber>,
    zones: usize,
    tuning: ControlConfig,
    cache: Rc<RefCell<DocumentCache>>,
    random: SmallRng,
}

impl Cluster {
    /// No machines.
    pub(super) fn new(zones: usize, tuning: ControlConfig, random: SmallRng) -> Self {
        Cluster {
            machines: Vec::new(),
            live: Vec::new(),
            by_key: HashMap::new(),
            zones,
            tuning,
            cache: Rc::default(),
            random,
        }
    }

    /// Starts nodes that know each other and a document already.
    pub(super) fn start_together(&mut self, count: usize, document: &Document) {
        let shared = Rc::new(document.clone());
        for index in 0..count {
            let store = self.store(index as u32, &shared);
            self.start(Timestamp::ZERO, index % self.zones, store, Vec::new());
        }
        let identities: Vec<(Arc<MemberIdentity>, u64)> = self
            .machines
            .iter()
            .map(|machine| (machine.identity.clone(), 1))
            .collect();
        for machine in &mut self.machines {
            if let Some(node) = machine.node.as_mut() {
                node.control
                    .preload(Timestamp::ZERO, identities.iter().cloned());
            }
        }
    }

    /// Starts a node that knows nothing but a few addresses.
    pub(super) fn start_joining(&mut self, now: Timestamp, zone: usize) -> MachineNumber {
        let chosen: Vec<MachineNumber> = (0..SEEDS).filter_map(|_| self.random_live()).collect();
        let seeds = chosen
            .into_iter()
            .map(|number| self.machines[number as usize].identity.addresses.gossip)
            .collect();
        let store = self.store(self.machines.len() as u32, &Rc::default());
        self.start(now, zone, store, seeds)
    }

    /// Takes a machine out; its node is gone for good.
    pub(super) fn stop(&mut self, now: Timestamp, number: MachineNumber) {
        let machine = &mut self.machines[number as usize];
        machine.node = None;
        machine.stopped_at.get_or_insert(now);
        self.live.retain(|live| *live != number);
    }

    /// A live machine at random.
    pub(super) fn random_live(&mut self) -> Option<MachineNumber> {
        if self.live.is_empty() {
            return None;
        }
        let index = self.random.random_range(0..self.live.len());
        Some(self.live[index])
    }

    /// The numbers of the live machines, in the order of their starts.
    pub(super) fn live(&self) -> &[MachineNumber] {
        &self.live
    }

    /// The live machines of a zone.
    pub(super) fn live_in(&self, zone: usize) -> Vec<MachineNumber> {
        let in_zone =
            |number: &MachineNumber| self.node(*number).is_some_and(|node| node.zone == zone);
        self.live.iter().copied().filter(in_zone).collect()
    }

    /// The node on a machine, if it lives.
    pub(super) fn node(&self, number: MachineNumber) -> Option<&HollowNode> {
        self.machines.get(number as usize)?.node.as_deref()
    }

    /// The node on a machine, if it lives.
    pub(super) fn node_mut(&mut self, number: MachineNumber) -> Option<&mut HollowNode> {
        self.machines.get_mut(number as usize)?.node.as_deref_mut()
    }

    /// All live nodes.
    pub(super) fn nodes(&self) -> impl Iterator<Item = &HollowNode> {
        self.live.iter().filter_map(|number| self.node(*number))
    }

    /// The live node with this key.
    pub(super) fn find(&self, key: NodeKey) -> Option<&HollowNode> {
        self.node(*self.by_key.get(&key)?)
    }

    /// The machine at a gossip or internal address.
    pub(super) fn machine_at(address: SocketAddr) -> Option<MachineNumber> {
        match address.ip() {
            IpAddr::V4(ip) => Some(u32::from(ip) - u32::from(FIRST_ADDRESS)),
            IpAddr::V6(_) => None,
        }
    }

    /// The platform's list as it was at `as_of`.
    pub(super) fn machine_list(&self, as_of: Timestamp) -> Vec<ListedMachine> {
        self.machines
            .iter()
            .filter(|machine| machine.started_at <= as_of)
            .filter(|machine| machine.stopped_at.is_none_or(|stopped| stopped > as_of))
            .map(|machine| ListedMachine {
                name: machine.identity.name.clone(),
                zone: machine.identity.zone.clone(),
                gossip: machine.identity.addresses.gossip,
            })
            .collect()
    }

    /// Who the live nodes are.
    pub(super) fn identities(&self) -> Vec<Arc<MemberIdentity>> {
        self.nodes().map(|node| node.identity.clone()).collect()
    }

    fn store(&self, number: u32, document: &Rc<Document>) -> HollowStore {
        if number.is_multiple_of(OWNED_DOCUMENT_EVERY) {
            return HollowStore::Owned(OwnedDocument(Document::clone(document)));
        }
        HollowStore::Shared {
            document: document.clone(),
            cache: self.cache.clone(),
        }
    }

    fn start(
        &mut self,
        now: Timestamp,
        zone: usize,
        store: HollowStore,
        seeds: Vec<SocketAddr>,
    ) -> MachineNumber {
        let number = self.machines.len() as MachineNumber;
        let identity = Arc::new(identity(number, zone, self.zones));
        let seed = self.random.random();
        let control = ControlNode::new(now, identity.clone(), 1, seeds, store, &self.tuning, seed);
        self.by_key.insert(identity.key(), number);
        self.live.push(number);
        self.machines.push(Machine {
            node: Some(Box::new(HollowNode::new(control, zone, now))),
            identity,
            started_at: now,
            stopped_at: None,
        });
        number
    }
}

/// The address of machine 0; the others follow.
const FIRST_ADDRESS: Ipv4Addr = Ipv4Addr::new(10, 0, 0, 0);

fn identity(number: MachineNumber, zone: usize, zones: usize) -> MemberIdentity {
    let ip = IpAddr::V4(Ipv4Addr::from(u32::from(FIRST_ADDRESS) + number));
    MemberIdentity {
        name: NodeName::from(format!("proxy-{number:06}")),
        zone: ZoneName::from(zone_name(zone)),
        region: RegionName::from(format!("region-{}", region_of(zone, zones))),
        addresses: MemberAddresses {
            gossip: SocketAddr::new(ip, GOSSIP_PORT),
            internal: SocketAddr::new(ip, INTERNAL_PORT),
            postgres: SocketAddr::new(ip, POSTGRES_PORT),
        },
    }
}

/// The name of a zone by number.
pub(super) fn zone_name(zone: usize) -> String {
    format!("zone-{zone:02}")
}
