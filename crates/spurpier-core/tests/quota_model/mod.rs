//! A model of nodes that request permits for one tenant's operations from each other, over links
//! that fail.

use std::time::Duration;

use proptest::prelude::*;
use spurpier_core::quota::{
    AcquireOutcome, Authority, AuthoritySelector, AuthorityTimestamp, Grant, Permit, PermitCache,
    PermitDemand, QuotaBound, QuotaRate, VOTE_TTL, ZONE_VOTE_TTL, ZoneAuthority, ZonePosition,
};
use spurpier_core::time::Timestamp;

/// The number of nodes. All are candidate authorities, ranked by their numbers.
pub const NODES: usize = 5;
/// The nodes of each zone, as bit sets.
pub const ZONES: [u8; 2] = [0b0_0111, 0b1_1000];
/// The virtual time of one tick.
const TICK: Duration = Duration::from_millis(50);
/// How often a node votes if it requests no permits.
const VOTE_INTERVAL: Duration = Duration::from_millis(300);
/// How often a node votes for the authority of its zone.
const ZONE_VOTE_INTERVAL: Duration = Duration::from_millis(1_200);
/// The most time between the start of an operation and its arrival at a server, in milliseconds.
const MAX_DISPATCH_DELAY_MS: u64 = 200;

const TENANT: &str = "tenant";
const NAMES: [&str; NODES] = ["n0", "n1", "n2", "n3", "n4"];

/// The bound that every window must keep.
pub const BOUND: QuotaBound = QuotaBound {
    window: Duration::from_secs(5),
    overage: 0.1,
    slack: 20.0,
};

/// The rate limits that a configuration may set.
pub const RATES: [QuotaRate; 5] = [
    rate(200.0, 200.0),
    rate(40.0, 40.0),
    rate(8.0, 8.0),
    rate(60.0, 10.0),
    rate(1.0, 1.0),
];

const fn rate(per_second: f64, burst: f64) -> QuotaRate {
    QuotaRate { per_second, burst }
}

/// A mechanism that the model disables, to show that the oracle detects its absence.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Breakage {
    None,
    /// An authority grants the whole rate without a majority.
    NoMajority,
    /// A vote counts from its arrival.
    StaleVotes,
    /// The authority of a zone grants the zone's reserve without a majority of the zone.
    ZoneMajority,
    /// Each zone reserves the whole slack, as if it were the only zone.
    UndividedSlack,
}

impl Breakage {
    /// Those whose absence random steps detect.
    pub const FOUND_BY_RANDOM_STEPS: [Breakage; 1] = [Breakage::NoMajority];
}

/// One step of a schedule. Sets of nodes are bit sets.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Step {
    /// The given number of ticks passes.
    Advance(u8),
    /// Partitions the nodes of a set from the others; an empty set heals the partition.
    Partition(u8),
    /// Sets which nodes a node considers reachable, whether they are or not.
    SetReachable(usize, u8),
    /// Freezes a node or resumes it.
    Freeze(usize, bool),
    /// Restarts a node's process.
    Restart(usize),
    /// Sets the delay of messages sent from now on, in milliseconds.
    Delay(u64),
    /// Sets how many operations clients request at each node and tick.
    Demand(u8),
    /// Changes the rate limit to an entry of [`RATES`].
    Limit(usize),
}

/// A random step.
pub fn steps() -> impl Strategy<Value = Step> {
    let node = 0..NODES;
    let set = 0_u8..(1 << NODES);
    prop_oneof![
        6 => (1_u8..30).prop_map(Step::Advance),
        2 => set.clone().prop_map(Step::Partition),
        1 => Just(Step::Partition(0)),
        3 => (node.clone(), set).prop_map(|(node, set)| Step::SetReachable(node, set)),
        2 => (node.clone(), any::<bool>()).prop_map(|(node, is)| Step::Freeze(node, is)),
        1 => node.prop_map(Step::Restart),
        2 => (0_u64..700).prop_map(Step::Delay),
        1 => Just(Step::Delay(3_000)),
        1 => (0_u8..12).prop_map(Step::Demand),
        1 => (0..RATES.len()).prop_map(Step::Limit),
    ]
}

/// The nodes that an authority grants permits to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Scope {
    All,
    Zone,
}

#[derive(Debug)]
enum Message {
    Request {
        waiting: u32,
        version: u64,
        rate: QuotaRate,
        sent_after: Option<AuthorityTimestamp>,
    },
    Response {
        grant: Grant,
        waiting: u32,
        has_majority: bool,
        timestamp: AuthorityTimestamp,
    },
}

#[derive(Debug)]
struct Envelope {
    from: usize,
    to: usize,
    arrives_at: Timestamp,
    requested_at: Timestamp,
    /// The incarnation of the process that sent the request.
    incarnation: u32,
    scope: Scope,
    message: Message,
}

#[derive(Debug)]
struct Node {
    permit_cache: PermitCache,
    authority: Authority,
    zone_authority: ZoneAuthority,
    selector: AuthoritySelector,
    zone_selector: AuthoritySelector,
    reachable: u8,
    is_frozen: bool,
    incarnation: u32,
}

impl Node {
    fn selector(&mut self, scope: Scope) -> &mut AuthoritySelector {
        match scope {
            Scope::All => &mut self.selector,
            Scope::Zone => &mut self.zone_selector,
        }
    }

    fn new(incarnation: u32, position: ZonePosition) -> Self {
        let process_incarnation = u64::from(incarnation);
        Node {
            permit_cache: PermitCache::default(),
            authority: Authority::new(BOUND, process_incarnation),
            zone_authority: ZoneAuthority::new(BOUND, position, process_incarnation),
            selector: AuthoritySelector::new(VOTE_TTL),
            zone_selector: AuthoritySelector::new(ZONE_VOTE_TTL),
            reachable: u8::MAX,
            is_frozen: false,
            incarnation,
        }
    }
}

/// The nodes, the messages in transit between them, and the operations that reached a server.
#[derive(Debug)]
pub struct World {
    breakage: Breakage,
    now: Timestamp,
    nodes: Vec<Node>,
    in_flight: Vec<Envelope>,
    partition: u8,
    delay: Duration,
    demand: u8,
    version: u64,
    rate: QuotaRate,
    /// The rate limits, each with the time at which it was set.
    rate_history: Vec<(Timestamp, QuotaRate)>,
    /// When each operation reached a server.
    arrivals: Vec<Timestamp>,
    /// The number of operations that each node has started.
    started: [usize; NODES],
    /// The ticks so far, which also vary the dispatch delay of operations.
    ticks: u64,
}

impl World {
    pub fn new(breakage: Breakage) -> Self {
        let start = Timestamp::from_millis(100_000);
        World {
            breakage,
            now: start,
            nodes: (0..NODES)
                .map(|node| Node::new(0, position_of(node, breakage)))
                .collect(),
            in_flight: Vec::new(),
            partition: 0,
            delay: Duration::from_millis(20),
            demand: 4,
            version: 1,
            rate: RATES[1],
            rate_history: vec![(start, RATES[1])],
            arrivals: Vec::new(),
            started: [0; NODES],
            ticks: 0,
        }
    }

    pub fn apply(&mut self, step: Step) {
        match step {
            Step::Advance(ticks) => (0..ticks).for_each(|_| self.tick()),
            Step::Partition(set) => self.partition = set,
            Step::SetReachable(node, set) => self.nodes[node].reachable = set,
            Step::Freeze(node, is_frozen) => self.nodes[node].is_frozen = is_frozen,
            Step::Restart(node) => {
                let incarnation = self.nodes[node].incarnation + 1;
                self.nodes[node] = Node::new(incarnation, position_of(node, self.breakage));
            }
            Step::Delay(millis) => self.delay = Duration::from_millis(millis),
            Step::Demand(demand) => self.demand = demand,
            Step::Limit(index) => {
                self.version += 1;
                self.rate = RATES[index];
                self.rate_history.push((self.now, self.rate));
            }
        }
    }

    /// The operations in the first window that exceeds its bound, and that bound; none if every
    /// window keeps its bound.
    pub fn violated_window(&self) -> Option<(usize, f64)> {
        let mut arrivals = self.arrivals.clone();
        arrivals.sort_unstable();
        let mut first = 0;
        for (last, end) in arrivals.iter().enumerate() {
            while end.since(arrivals[first]) > BOUND.window {
                first += 1;
            }
            let count = last + 1 - first;
            let max_operations = self.max_operations_until(*end);
            if count as f64 > max_operations {
                return Some((count, max_operations));
            }
        }
        None
    }

    /// The number of operations that reached a server.
    pub fn arrived(&self) -> usize {
        self.arrivals.len()
    }

    /// The number of operations that the nodes of a set have started.
    pub fn started_by(&self, set: u8) -> usize {
        let is_in_set = |node: &usize| (set >> node) & 1 == 1;
        let nodes = (0..NODES).filter(is_in_set);
        nodes.map(|node| self.started[node]).sum()
    }

    /// The most operations in a window that ends at `end`: the bound of the highest limit in force
    /// during the two window lengths before it, because a lower limit binds one window later.
    fn max_operations_until(&self, end: Timestamp) -> f64 {
        let since = end.saturating_sub(BOUND.window * 2);
        let mut max_operations: f64 = 0.0;
        for (index, (_, rate)) in self.rate_history.iter().enumerate() {
            let next = self.rate_history.get(index + 1);
            if next.is_none_or(|(from, _)| *from >= since) {
                max_operations = max_operations.max(BOUND.max_operations(*rate));
            }
        }
        max_operations
    }

    fn tick(&mut self) {
        self.now = self.now + TICK;
        self.ticks += 1;
        self.deliver();
        for node in 0..NODES {
            if !self.nodes[node].is_frozen {
                self.serve_clients(node);
            }
        }
    }

    fn is_partitioned(&self, one: usize, other: usize) -> bool {
        (self.partition >> one) & 1 != (self.partition >> other) & 1
    }

    fn deliver(&mut self) {
        let in_flight = std::mem::take(&mut self.in_flight);
        for envelope in in_flight {
            if envelope.arrives_at > self.now || self.nodes[envelope.to].is_frozen {
                self.in_flight.push(envelope);
            } else if !self.is_partitioned(envelope.from, envelope.to) {
                self.receive(envelope);
            }
        }
    }

    fn receive(&mut self, envelope: Envelope) {
        match envelope.message {
            Message::Request {
                waiting,
                version,
                rate,
                sent_after,
            } => {
                let permit_demand = PermitDemand {
                    waiting,
                    rate,
                    version,
                };
                let message = match envelope.scope {
                    Scope::All => self.respond_as_authority(&envelope, permit_demand, sent_after),
                    Scope::Zone => {
                        self.respond_as_zone_authority(&envelope, permit_demand, sent_after)
                    }
                };
                self.in_flight.push(Envelope {
                    from: envelope.to,
                    to: envelope.from,
                    arrives_at: self.now + self.delay,
                    message,
                    ..envelope
                });
            }
            Message::Response {
                grant,
                waiting,
                has_majority,
                timestamp,
            } => {
                let now = self.now;
                let node = &mut self.nodes[envelope.to];
                if node.incarnation != envelope.incarnation {
                    return;
                }
                let name = NAMES[envelope.from];
                let selector = node.selector(envelope.scope);
                selector.record_response(name, has_majority, timestamp, now);
                let permits = node.permit_cache.record_grant(
                    TENANT,
                    grant,
                    waiting,
                    envelope.requested_at,
                    now,
                );
                permits
                    .into_iter()
                    .for_each(|permit| self.start(envelope.to, permit));
                if envelope.scope == Scope::All && !has_majority {
                    self.send_request(envelope.to, Scope::Zone, waiting);
                }
            }
        }
    }

    fn respond_as_authority(
        &mut self,
        envelope: &Envelope,
        permit_demand: PermitDemand,
        sent_after: Option<AuthorityTimestamp>,
    ) -> Message {
        let nodes = match self.breakage {
            Breakage::NoMajority => 1,
            _ => NODES,
        };
        let authority = &mut self.nodes[envelope.to].authority;
        let timestamp = authority.timestamp(self.now);
        let sent_after = match self.breakage {
            Breakage::StaleVotes => Some(timestamp),
            _ => sent_after,
        };
        authority.record_vote(NAMES[envelope.from], sent_after, nodes, self.now);
        Message::Response {
            grant: authority.grant(TENANT, permit_demand, 0.5, self.now),
            waiting: permit_demand.waiting,
            has_majority: authority.has_majority(),
            timestamp,
        }
    }

    fn respond_as_zone_authority(
        &mut self,
        envelope: &Envelope,
        permit_demand: PermitDemand,
        sent_after: Option<AuthorityTimestamp>,
    ) -> Message {
        let nodes = match self.breakage {
            Breakage::ZoneMajority => 1,
            _ => zone_of(envelope.to).count_ones() as usize,
        };
        let authority = &mut self.nodes[envelope.to].zone_authority;
        let timestamp = authority.timestamp(self.now);
        authority.record_vote(NAMES[envelope.from], sent_after, nodes, self.now);
        Message::Response {
            grant: authority.grant(TENANT, permit_demand.waiting, 0.5, self.now),
            waiting: permit_demand.waiting,
            has_majority: authority.has_majority(),
            timestamp,
        }
    }

    fn start(&mut self, node: usize, permit: Permit) {
        assert!(permit.expires_at > self.now);
        self.started[node] += 1;
        let dispatch_delay =
            (self.ticks * 67 + self.arrivals.len() as u64 * 31) % MAX_DISPATCH_DELAY_MS;
        let arrives_at = self.now + Duration::from_millis(dispatch_delay);
        self.arrivals.push(arrives_at);
    }

    fn serve_clients(&mut self, node: usize) {
        let mut waiting = 0;
        for _ in 0..self.demand {
            match self.nodes[node].permit_cache.acquire(TENANT, self.now) {
                AcquireOutcome::Permit(permit) => self.start(node, permit),
                AcquireOutcome::Limited(_) => {}
                AcquireOutcome::AskAuthority => waiting += 1,
            }
        }
        if waiting > 0 || self.is_vote_due(node, Scope::All, VOTE_INTERVAL) {
            let is_sent = self.send_request(node, Scope::All, waiting);
            if !is_sent && waiting > 0 {
                self.send_request(node, Scope::Zone, waiting);
            }
        }
        if self.is_vote_due(node, Scope::Zone, ZONE_VOTE_INTERVAL) {
            self.send_request(node, Scope::Zone, 0);
        }
    }

    fn is_vote_due(&mut self, node: usize, scope: Scope, interval: Duration) -> bool {
        let now = self.now;
        let time_since_request = self.nodes[node].selector(scope).time_since_request(now);
        time_since_request.is_none_or(|time| time >= interval)
    }

    /// Sends a request to an authority; returns whether there is one to send it to.
    fn send_request(&mut self, node: usize, scope: Scope, waiting: u32) -> bool {
        let Some(authority) = self.select_authority(node, scope) else {
            return false;
        };
        let now = self.now;
        let selector = self.nodes[node].selector(scope);
        selector.record_request(now);
        let sent_after = selector.authority_time(now);
        self.in_flight.push(Envelope {
            from: node,
            to: authority,
            arrives_at: now + self.delay,
            requested_at: now,
            incarnation: self.nodes[node].incarnation,
            scope,
            message: Message::Request {
                waiting,
                version: self.version,
                rate: self.rate,
                sent_after,
            },
        });
        true
    }

    fn select_authority(&mut self, node: usize, scope: Scope) -> Option<usize> {
        let now = self.now;
        let ranked = match scope {
            Scope::All => u8::MAX,
            Scope::Zone => zone_of(node),
        };
        let reachable_set = self.nodes[node].reachable & ranked;
        let reachable: Vec<&str> = (0..NODES)
            .filter(|other| (reachable_set >> other) & 1 == 1)
            .map(|other| NAMES[other])
            .collect();
        let selector = self.nodes[node].selector(scope);
        let selected = selector.select(&reachable, now)?;
        NAMES.iter().position(|name| *name == selected)
    }
}

/// The nodes of a node's zone.
fn zone_of(node: usize) -> u8 {
    let zone = ZONES.iter().find(|zone| (*zone >> node) & 1 == 1);
    *zone.expect("each node has a zone")
}

fn position_of(node: usize, breakage: Breakage) -> ZonePosition {
    let index = ZONES.iter().position(|zone| *zone == zone_of(node));
    let count = match breakage {
        Breakage::UndividedSlack => 1,
        _ => ZONES.len(),
    };
    ZonePosition {
        index: index.expect("each node has a zone"),
        count,
    }
}
