//! A model of nodes that send requests to one cold server, under one of three methods of limiting
//! them.

use std::time::Duration;

use proptest::prelude::*;
use spurpier_core::locality::{COLD_WINDOW, ColdBound, ColdState, is_entry_outdated};
use spurpier_core::quota::{
    AcquireOutcome, Authority, AuthoritySelector, AuthorityTimestamp, Budget, Grant, PermitCache,
    PermitDemand, QuotaRate, TokenBucket, VOTE_TTL,
};
use spurpier_core::store_version::StoreVersion;
use spurpier_core::time::Timestamp;

/// Number of nodes. They are ranked by their numbers.
pub const NODES: usize = 5;
/// Duration of one turn of the model.
const TURN: Duration = Duration::from_millis(20);
/// Interval at which a node votes that requests no permits.
const VOTE_INTERVAL: Duration = Duration::from_millis(300);
/// How long the server is cold after each time that it turns cold.
const COLD_FOR: Duration = Duration::from_secs(8);

const NAMES: [&str; NODES] = ["n0", "n1", "n2", "n3", "n4"];
const SERVER: &str = "server";

/// The limit that is checked.
pub const BOUND: ColdBound = ColdBound {
    overage: 1.5,
    slack: 5.0,
};
/// The rates of the server's group that are tested, in requests per second.
pub const RATES: [f64; 3] = [4.0, 20.0, 100.0];

/// How the requests of all nodes are limited.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LimitMethod {
    /// One authority grants permits; nodes vote for it with their permit requests.
    Permits,
    /// The first-ranked node of each node's list sends all requests; the others forward to it.
    Forwarding,
    /// Each node sends an equal share of the rate, by the number of nodes on its list.
    EqualShares,
}

/// A mechanism that is disabled.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Breakage {
    /// All mechanisms work.
    None,
    /// An authority grants the whole rate without the votes of a majority.
    NoMajority,
    /// A server of a reopened zone is used although only an outdated entry of it is known.
    OutdatedEntries,
    /// Permits do not expire.
    NonExpiringPermits,
}

/// A step of the model.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Step {
    /// This number of turns pass.
    Advance(u8),
    /// A partition between the nodes of a set and the others; an empty set ends it.
    Cut(u8),
    /// The set of nodes that a node lists as reachable, whether or not they are.
    SetReachable(usize, u8),
    /// Whether a node's list has one additional node.
    SetExtraListed(usize, bool),
    /// Whether a node is frozen.
    Freeze(usize, bool),
    /// A node's process restarts.
    Restart(usize),
    /// The transit time of messages from now on, in milliseconds.
    SetDelay(u64),
    /// Every n-th message is alternately duplicated and lost; 0 for none.
    SetDisturbance(u8),
    /// Number of client requests per node and turn.
    SetDemand(u8),
    /// The server's zone reopens after an evacuation, during which the server has turned cold. The
    /// node receives the reopening after the first number of turns and the server's entry after the
    /// second; other nodes receive both later.
    TurnCold(usize, u8, u8),
}

/// Random steps, of which some kinds are more frequent.
pub fn steps() -> impl Strategy<Value = Step> {
    let node = 0..NODES;
    let set = 0_u8..(1 << NODES);
    prop_oneof![
        8 => (1_u8..50).prop_map(Step::Advance),
        2 => set.clone().prop_map(Step::Cut),
        1 => Just(Step::Cut(0)),
        3 => (node.clone(), set).prop_map(|(node, set)| Step::SetReachable(node, set)),
        1 => (node.clone(), any::<bool>()).prop_map(|(node, is)| Step::SetExtraListed(node, is)),
        2 => (node.clone(), any::<bool>()).prop_map(|(node, is)| Step::Freeze(node, is)),
        1 => node.clone().prop_map(Step::Restart),
        2 => (0_u64..700).prop_map(Step::SetDelay),
        1 => (0_u8..6).prop_map(Step::SetDisturbance),
        1 => (0_u8..12).prop_map(Step::SetDemand),
        1 => (node, 0_u8..60, 0_u8..60).prop_map(|(n, one, two)| Step::TurnCold(n, one, two)),
    ]
}

#[derive(Debug, Clone, Copy)]
enum Message {
    PermitRequest {
        waiting: u32,
        sent_after: Option<AuthorityTimestamp>,
    },
    PermitReply {
        grant: Grant,
        waiting: u32,
        has_majority: bool,
        authority_time: AuthorityTimestamp,
    },
    /// A request that another node forwards to the node that sends.
    Forwarded { asked_at: Timestamp },
}

#[derive(Debug, Clone, Copy)]
struct Envelope {
    from: usize,
    to: usize,
    arrives_at: Timestamp,
    asked_at: Timestamp,
    /// The incarnation of the process that sent the request.
    incarnation: u64,
    message: Message,
}

#[derive(Debug)]
struct Node {
    permit_cache: PermitCache,
    authority: Authority,
    selector: AuthoritySelector,
    bucket: TokenBucket,
    reachable: u8,
    /// Number of nodes on its list that are not in the model.
    extra_listed: usize,
    is_frozen: bool,
    incarnation: u64,
    coldness: ColdState,
    entries_known_to: u64,
    reopened_at: Option<u64>,
    /// Updates in transit: arrival time, whether it is a directory entry, and store version.
    updates: Vec<(Timestamp, bool, u64)>,
}

/// All nodes, the messages between them, and all requests that were sent to the server.
#[derive(Debug)]
pub struct World {
    method: LimitMethod,
    breakage: Breakage,
    per_second: f64,
    now: Timestamp,
    nodes: Vec<Node>,
    in_transit: Vec<Envelope>,
    cut: u8,
    delay: Duration,
    disturb_every: u8,
    demand: u8,
    version: u64,
    messages: usize,
    /// The requests: when each was sent, and when it was received from the client.
    sent: Vec<(Timestamp, Timestamp)>,
}

impl World {
    pub fn new(method: LimitMethod, per_second: f64, breakage: Breakage) -> Self {
        let now = Timestamp::from_millis(100_000);
        let nodes = (0..NODES).map(|_| new_node(0, 1, now, per_second));
        World {
            method,
            breakage,
            per_second,
            now,
            nodes: nodes.collect(),
            in_transit: Vec::new(),
            cut: 0,
            delay: Duration::from_millis(20),
            disturb_every: 0,
            demand: 4,
            version: 1,
            messages: 0,
            sent: Vec::new(),
        }
    }

    pub fn apply(&mut self, step: Step) {
        match step {
            Step::Advance(turns) => (0..turns).for_each(|_| self.run_turn()),
            Step::Cut(set) => self.cut = set,
            Step::SetReachable(node, set) => self.nodes[node].reachable = set,
            Step::SetExtraListed(node, one_more) => {
                self.nodes[node].extra_listed = usize::from(one_more)
            }
            Step::Freeze(node, is_frozen) => self.nodes[node].is_frozen = is_frozen,
            Step::Restart(node) => {
                let incarnation = self.nodes[node].incarnation + 1;
                self.nodes[node] = new_node(incarnation, self.version, self.now, self.per_second);
            }
            Step::SetDelay(millis) => self.delay = Duration::from_millis(millis),
            Step::SetDisturbance(every) => self.disturb_every = every,
            Step::SetDemand(demand) => self.demand = demand,
            Step::TurnCold(first, removal, entry) => self.turn_cold(first, removal, entry),
        }
    }

    /// The highest number of requests in a window, if it exceeds the limit.
    pub fn violated_window(&self) -> Option<usize> {
        let max_requests = BOUND.max_requests(self.per_second);
        let highest_count = self.max_window_requests();
        (highest_count as f64 > max_requests).then_some(highest_count)
    }

    /// The highest number of requests in any window.
    pub fn max_window_requests(&self) -> usize {
        let mut moments: Vec<Timestamp> = self.sent.iter().map(|(sent_at, _)| *sent_at).collect();
        moments.sort_unstable();
        let mut first = 0;
        let mut highest_count = 0;
        for (last, end) in moments.iter().enumerate() {
            while end.since(moments[first]) >= COLD_WINDOW {
                first += 1;
            }
            highest_count = highest_count.max(last + 1 - first);
        }
        highest_count
    }

    /// Number of requests that were sent.
    pub fn sent(&self) -> usize {
        self.sent.len()
    }

    /// The mean time that requests waited to be sent.
    pub fn mean_wait(&self) -> Duration {
        let waits = self.sent.iter().map(|(sent_at, from)| sent_at.since(*from));
        let count = u32::try_from(self.sent.len().max(1)).expect("fits into 32 bits");
        waits.sum::<Duration>() / count
    }

    fn rate(&self) -> QuotaRate {
        BOUND
            .authority_rate(self.per_second)
            .expect("the limit allows a request")
    }

    fn turn_cold(&mut self, first: usize, removal: u8, entry: u8) {
        self.version += 2;
        let (entry_version, removal_version) = (self.version - 1, self.version);
        for (index, node) in self.nodes.iter_mut().enumerate() {
            // The updates reach each node at a different time.
            let shift = u32::try_from(index.abs_diff(first)).expect("fits into 32 bits");
            let removal_at = self.now + TURN * (u32::from(removal) + shift);
            let entry_at = self.now + TURN * (u32::from(entry) + shift * 3);
            // The server was last known as warm, during the evacuation.
            node.coldness = ColdState::default();
            node.entries_known_to = entry_version - 1;
            node.reopened_at = Some(u64::MAX);
            node.updates = vec![
                (removal_at, false, removal_version),
                (entry_at, true, removal_version),
            ];
        }
    }

    fn run_turn(&mut self) {
        self.now = self.now + TURN;
        self.deliver_due();
        for node in 0..NODES {
            if !self.nodes[node].is_frozen {
                self.nodes[node].apply_due_updates(self.now);
                self.serve_clients(node);
            }
        }
    }

    fn is_cut(&self, one: usize, other: usize) -> bool {
        (self.cut >> one) & 1 != (self.cut >> other) & 1
    }

    fn send(&mut self, envelope: Envelope) {
        self.messages += 1;
        let every = usize::from(self.disturb_every);
        if every > 0 && self.messages.is_multiple_of(2 * every) {
            return;
        }
        self.in_transit.push(envelope);
        if every > 0 && self.messages.is_multiple_of(every) {
            let arrives_at = envelope.arrives_at + self.delay;
            self.in_transit.push(Envelope {
                arrives_at,
                ..envelope
            });
        }
    }

    fn deliver_due(&mut self) {
        for envelope in std::mem::take(&mut self.in_transit) {
            if envelope.arrives_at > self.now || self.nodes[envelope.to].is_frozen {
                self.in_transit.push(envelope);
            } else if !self.is_cut(envelope.from, envelope.to) {
                self.receive(envelope);
            }
        }
    }

    fn receive(&mut self, envelope: Envelope) {
        match envelope.message {
            Message::PermitRequest {
                waiting,
                sent_after,
            } => self.reply(envelope, waiting, sent_after),
            Message::PermitReply {
                grant,
                waiting,
                has_majority,
                authority_time,
            } => {
                let node = &mut self.nodes[envelope.to];
                if node.incarnation != envelope.incarnation {
                    return;
                }
                let name = NAMES[envelope.from];
                node.selector
                    .record_response(name, has_majority, authority_time, self.now);
                let asked_at = match self.breakage {
                    Breakage::NonExpiringPermits => self.now,
                    _ => envelope.asked_at,
                };
                let permits = node
                    .permit_cache
                    .record_grant(SERVER, grant, waiting, asked_at, self.now);
                for _ in permits {
                    self.sent.push((self.now, envelope.asked_at));
                }
            }
            Message::Forwarded { asked_at } => self.send_by_bucket(envelope.to, asked_at),
        }
    }

    fn reply(&mut self, envelope: Envelope, waiting: u32, sent_after: Option<AuthorityTimestamp>) {
        let want = PermitDemand {
            waiting,
            rate: self.rate(),
            version: 1,
        };
        let node = &mut self.nodes[envelope.to];
        let listed = match self.breakage {
            Breakage::NoMajority => 1,
            _ => NODES + node.extra_listed,
        };
        let authority = &mut node.authority;
        let authority_time = authority.timestamp(self.now);
        authority.record_vote(NAMES[envelope.from], sent_after, listed, self.now);
        let grant = authority.grant(SERVER, want, 0.5, self.now);
        let message = Message::PermitReply {
            grant,
            waiting,
            has_majority: authority.has_majority(),
            authority_time,
        };
        let reply = Envelope {
            from: envelope.to,
            to: envelope.from,
            arrives_at: self.now + self.delay,
            message,
            ..envelope
        };
        self.send(reply);
    }

    fn serve_clients(&mut self, node: usize) {
        let known = &self.nodes[node];
        let is_outdated = self.breakage != Breakage::OutdatedEntries
            && is_entry_outdated(
                known.reopened_at.map(StoreVersion::from_bits),
                StoreVersion::from_bits(known.entries_known_to),
            );
        if is_outdated || known.reopened_at == Some(u64::MAX) {
            return;
        }
        if !known.coldness.is_cold(self.now) {
            // The oracle counts these requests only if the server is actually cold.
            self.send_freely(node);
            return;
        }
        match self.method {
            LimitMethod::Permits => self.request_permits(node),
            LimitMethod::Forwarding => self.forward(node),
            LimitMethod::EqualShares => {
                for _ in 0..self.demand {
                    self.send_by_bucket(node, self.now);
                }
            }
        }
    }

    fn send_freely(&mut self, node: usize) {
        let is_cold = self.nodes[node].coldness.until() == Timestamp::ZERO;
        for _ in 0..self.demand {
            if is_cold {
                self.sent.push((self.now, self.now));
            }
        }
    }

    /// Sends a request if this node's own bucket allows it.
    fn send_by_bucket(&mut self, node: usize, asked_at: Timestamp) {
        let (now, rate, method) = (self.now, self.rate(), self.method);
        let node = &mut self.nodes[node];
        let parts = match method {
            LimitMethod::EqualShares => node.reachable.count_ones().max(1),
            LimitMethod::Permits | LimitMethod::Forwarding => 1,
        };
        let per_second = (rate.per_second + rate.burst) / f64::from(parts);
        let budget = Budget {
            // Without messages, only the accumulated permits are deducted from the rate.
            per_second: (per_second - 1.0).max(per_second / 2.0),
            capacity: 1.0,
            zone_reserve: 0.0,
            window: COLD_WINDOW,
        };
        node.bucket.set_budget(budget, now);
        if node.bucket.take_up_to(1, now) == 1 {
            self.sent.push((now, asked_at));
        }
    }

    fn forward(&mut self, node: usize) {
        let reachable = self.nodes[node].reachable;
        let first = (0..NODES).find(|other| (reachable >> other) & 1 == 1);
        let Some(first) = first else {
            return;
        };
        for _ in 0..self.demand {
            if first == node {
                self.send_by_bucket(node, self.now);
                continue;
            }
            let envelope = Envelope {
                from: node,
                to: first,
                arrives_at: self.now + self.delay,
                asked_at: self.now,
                incarnation: self.nodes[node].incarnation,
                message: Message::Forwarded { asked_at: self.now },
            };
            self.send(envelope);
        }
    }

    fn request_permits(&mut self, node: usize) {
        let mut waiting = 0;
        for _ in 0..self.demand {
            match self.nodes[node].permit_cache.acquire(SERVER, self.now) {
                AcquireOutcome::Permit(_) => self.sent.push((self.now, self.now)),
                AcquireOutcome::Limited(_) => {}
                AcquireOutcome::AskAuthority => waiting += 1,
            }
        }
        let since_request = self.nodes[node].selector.time_since_request(self.now);
        let is_vote_due = since_request.is_none_or(|time| time >= VOTE_INTERVAL);
        if waiting > 0 || is_vote_due {
            self.send_permit_request(node, waiting);
        }
    }

    fn send_permit_request(&mut self, node: usize, waiting: u32) {
        let Some(authority) = self.choose_authority(node) else {
            return;
        };
        self.nodes[node].selector.record_request(self.now);
        let sent_after = self.nodes[node].selector.authority_time(self.now);
        let request = Envelope {
            from: node,
            to: authority,
            arrives_at: self.now + self.delay,
            asked_at: self.now,
            incarnation: self.nodes[node].incarnation,
            message: Message::PermitRequest {
                waiting,
                sent_after,
            },
        };
        self.send(request);
    }

    fn choose_authority(&mut self, node: usize) -> Option<usize> {
        let now = self.now;
        let reachable = self.nodes[node].reachable;
        let names = NAMES.iter().enumerate();
        let reachable: Vec<&str> = names
            .filter(|(other, _)| (reachable >> other) & 1 == 1)
            .map(|(_, name)| *name)
            .collect();
        let chosen = self.nodes[node].selector.select(&reachable, now)?;
        NAMES.iter().position(|name| *name == chosen)
    }
}

impl Node {
    fn apply_due_updates(&mut self, now: Timestamp) {
        let (due, later) = self.updates.iter().partition(|(at, ..)| *at <= now);
        self.updates = later;
        let due: Vec<(Timestamp, bool, u64)> = due;
        for (_, is_entry, version) in due {
            if is_entry {
                self.entries_known_to = version;
                self.coldness
                    .record_entry(COLD_FOR, StoreVersion::from_bits(version - 1), now);
            } else {
                self.reopened_at = Some(version);
            }
        }
    }
}

/// A node that knows the server to be cold.
fn new_node(incarnation: u64, version: u64, now: Timestamp, per_second: f64) -> Node {
    let mut coldness = ColdState::default();
    coldness.record_entry(
        Duration::from_secs(3_600),
        StoreVersion::from_bits(version),
        now,
    );
    let rate = BOUND
        .authority_rate(per_second)
        .expect("the limit allows a request");
    Node {
        permit_cache: PermitCache::default(),
        authority: Authority::new(ColdBound::AUTHORITY_BOUND, incarnation),
        selector: AuthoritySelector::new(VOTE_TTL),
        bucket: TokenBucket::started_at(Budget::for_rate(rate, ColdBound::AUTHORITY_BOUND), now),
        reachable: (1 << NODES) - 1,
        extra_listed: 0,
        is_frozen: false,
        incarnation,
        coldness,
        entries_known_to: version,
        reopened_at: None,
        updates: Vec::new(),
    }
}
