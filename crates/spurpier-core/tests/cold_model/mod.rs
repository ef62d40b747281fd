//! Nodes that send requests to one cold server, in one of three ways to bound them.

use std::time::Duration;

use proptest::prelude::*;
use spurpier_core::locality::{COLD_WINDOW, ColdBound, ColdState, is_entry_outdated};
use spurpier_core::quota::{
    Authority, AuthorityChoice, Bucket, Budget, Grant, Ledger, QuotaRate, Stamp, Taken, VOTE_LIFE,
    Want,
};
use spurpier_core::store_version::StoreVersion;
use spurpier_core::time::Timestamp;

/// How many nodes there are, ranked in the order of their numbers.
pub const NODES: usize = 5;
/// How long a turn of the model takes.
const TURN: Duration = Duration::from_millis(20);
/// How often a node votes that asks for nothing.
const VOTE_INTERVAL: Duration = Duration::from_millis(300);
/// How long the server is cold after each time that it turns cold.
const COLD_FOR: Duration = Duration::from_secs(8);

const NAMES: [&str; NODES] = ["n0", "n1", "n2", "n3", "n4"];
const SERVER: &str = "server";

/// What is judged.
pub const BOUND: ColdBound = ColdBound {
    overage: 1.5,
    slack: 5.0,
};
/// The rate of the server's group, in requests a second.
pub const RATES: [f64; 3] = [4.0, 20.0, 100.0];

/// How requests are bounded.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LimitMethod {
    /// One authority gives leaves; nodes vote for it by asking.
    Permits,
    /// The first-ranked node of each node's list sends, and the others hand on to it.
    Forwarding,
    /// Each node sends an equal part, by the number of nodes on its list.
    EqualShares,
}

/// A mechanism that is taken out.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Breakage {
    None,
    /// An authority gives the whole rate whoever asks.
    NoMajority,
    /// A server that comes back is used whatever entry is known of it.
    OutdatedEntries,
    /// Permits do not end.
    NonExpiringPermits,
}

/// What happens next.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Step {
    /// So many turns pass.
    Advance(u8),
    /// The nodes of a set and the others no longer reach each other; an empty set heals it.
    Cut(u8),
    /// Which nodes a node lists and takes to be reachable, whether they are or not.
    SetReachable(usize, u8),
    /// A node's list holds one more node, or not any more.
    SetExtraListed(usize, bool),
    /// A node stands still, or goes on.
    Freeze(usize, bool),
    /// A node's process ends and starts again.
    Restart(usize),
    /// How long messages take from now on, in milliseconds.
    SetDelay(u64),
    /// Every n-th message is doubled, and every other n-th lost; 0 for none.
    SetDisturbance(u8),
    /// How many requests clients ask for at each node and turn.
    SetDemand(u8),
    /// The server's zone was evacuated and is taken back, and it has turned cold meanwhile. A node
    /// learns of the first after one number of turns and of its entry after another.
    TurnCold(usize, u8, u8),
}

/// Steps in any order.
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
        sent_after: Option<Stamp>,
    },
    PermitReply {
        grant: Grant,
        waiting: u32,
        has_majority: bool,
        stamp: Stamp,
    },
    /// A request that another node is to send.
    Forwarded { asked_at: Timestamp },
}

#[derive(Debug, Clone, Copy)]
struct Envelope {
    from: usize,
    to: usize,
    arrives_at: Timestamp,
    asked_at: Timestamp,
    /// The incarnation of the process that asked.
    incarnation: u64,
    message: Message,
}

#[derive(Debug)]
struct Node {
    ledger: Ledger,
    authority: Authority,
    choice: AuthorityChoice,
    bucket: Bucket,
    reachable: u8,
    /// How many nodes its list holds beside those of the model.
    extra_listed: usize,
    is_frozen: bool,
    incarnation: u64,
    coldness: ColdState,
    entries_known_to: u64,
    reopened_at: Option<u64>,
    /// News on the way: when they come, and whether they are entries.
    updates: Vec<(Timestamp, bool, u64)>,
}

/// All nodes, what is on the way between them, and all requests that were sent to the server.
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
    /// When requests were sent, and since when they waited for that.
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

    /// The requests of the first span that holds more than its bound; none if there is none.
    pub fn violated_window(&self) -> Option<usize> {
        let max_requests = BOUND.max_requests(self.per_second);
        let highest_count = self.max_window_requests();
        (highest_count as f64 > max_requests).then_some(highest_count)
    }

    /// The most requests in any span.
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

    /// How many requests were sent.
    pub fn sent(&self) -> usize {
        self.sent.len()
    }

    /// How long requests waited to be sent, on average.
    pub fn mean_wait(&self) -> Duration {
        let waits = self.sent.iter().map(|(sent_at, from)| sent_at.since(*from));
        let count = u32::try_from(self.sent.len().max(1)).expect("few requests");
        waits.sum::<Duration>() / count
    }

    fn rate(&self) -> QuotaRate {
        BOUND
            .authority_rate(self.per_second)
            .expect("more than one request")
    }

    fn turn_cold(&mut self, first: usize, removal: u8, entry: u8) {
        self.version += 2;
        let (entry_version, removal_version) = (self.version - 1, self.version);
        for (index, node) in self.nodes.iter_mut().enumerate() {
            // Each node learns both at moments of its own.
            let shift = u32::try_from(index.abs_diff(first)).expect("small");
            let removal_at = self.now + TURN * (u32::from(removal) + shift);
            let entry_at = self.now + TURN * (u32::from(entry) + shift * 3);
            // It was warm while it was evacuated.
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
                stamp,
            } => {
                let node = &mut self.nodes[envelope.to];
                if node.incarnation != envelope.incarnation {
                    return;
                }
                let name = NAMES[envelope.from];
                node.choice.note_answer(name, has_majority, stamp, self.now);
                let asked_at = match self.breakage {
                    Breakage::NonExpiringPermits => self.now,
                    _ => envelope.asked_at,
                };
                let leaves = node
                    .ledger
                    .note_grant(SERVER, grant, waiting, asked_at, self.now);
                for _ in leaves {
                    self.sent.push((self.now, envelope.asked_at));
                }
            }
            Message::Forwarded { asked_at } => self.send_by_bucket(envelope.to, asked_at),
        }
    }

    fn reply(&mut self, envelope: Envelope, waiting: u32, sent_after: Option<Stamp>) {
        let want = Want {
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
        let stamp = authority.stamp(self.now);
        authority.note_vote(NAMES[envelope.from], sent_after, listed, self.now);
        let grant = authority.grant(SERVER, want, 0.5, self.now);
        let message = Message::PermitReply {
            grant,
            waiting,
            has_majority: authority.has_majority(),
            stamp,
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
            // The oracle counts these only if the server is cold in truth.
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
            // Without messages, what is saved up comes off the rate and nothing else does.
            per_second: (per_second - 1.0).max(per_second / 2.0),
            capacity: 1.0,
            set_aside: 0.0,
            window: COLD_WINDOW,
        };
        node.bucket.set_budget(budget, now);
        if node.bucket.give(1, now) == 1 {
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
            match self.nodes[node].ledger.take(SERVER, self.now) {
                Taken::Leave(_) => self.sent.push((self.now, self.now)),
                Taken::Limited(_) => {}
                Taken::Ask => waiting += 1,
            }
        }
        let asked_for = self.nodes[node].choice.asked_for(self.now);
        let is_vote_due = asked_for.is_none_or(|time| time >= VOTE_INTERVAL);
        if waiting > 0 || is_vote_due {
            self.send_permit_request(node, waiting);
        }
    }

    fn send_permit_request(&mut self, node: usize, waiting: u32) {
        let Some(authority) = self.choose_authority(node) else {
            return;
        };
        self.nodes[node].choice.note_asked(self.now);
        let sent_after = self.nodes[node].choice.sent_after(self.now);
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
        let chosen = self.nodes[node].choice.choose(&reachable, now)?;
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
        .expect("more than one request");
    Node {
        ledger: Ledger::default(),
        authority: Authority::new(ColdBound::AUTHORITY_BOUND, incarnation),
        choice: AuthorityChoice::new(VOTE_LIFE),
        bucket: Bucket::begun_at(Budget::of(rate, ColdBound::AUTHORITY_BOUND), now),
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
