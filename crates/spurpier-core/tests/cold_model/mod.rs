//! Nodes that send requests to one cold server, in one of three ways to bound them.

use std::time::Duration;

use proptest::prelude::*;
use spurpier_core::places::{COLD_WINDOW, ColdBound, Coldness, is_entry_outdated};
use spurpier_core::quota::{
    AcquireOutcome, Authority, AuthoritySelector, AuthorityTimestamp, Budget, Grant, PermitCache,
    PermitDemand, QuotaRate, TokenBucket, VOTE_TTL,
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
pub enum Way {
    /// One authority gives leaves; nodes vote for it by asking.
    Leaves,
    /// The first-ranked node of each node's list sends, and the others hand on to it.
    FirstHome,
    /// Each node sends an equal part, by the number of nodes on its list.
    Shares,
}

/// A mechanism that is taken out.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Breakage {
    None,
    /// An authority gives the whole rate whoever asks.
    NoMajority,
    /// A server that comes back is used whatever entry is known of it.
    OldEntries,
    /// Leaves do not end.
    LastingLeaves,
}

/// What happens next.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Step {
    /// So many turns pass.
    Pass(u8),
    /// The nodes of a set and the others no longer reach each other; an empty set heals it.
    Cut(u8),
    /// Which nodes a node lists and takes to be reachable, whether they are or not.
    Believe(usize, u8),
    /// A node's list holds one more node, or not any more.
    Listed(usize, bool),
    /// A node stands still, or goes on.
    Freeze(usize, bool),
    /// A node's process ends and starts again.
    Restart(usize),
    /// How long messages take from now on, in milliseconds.
    Delay(u64),
    /// Every n-th message is doubled, and every other n-th lost; 0 for none.
    Disturb(u8),
    /// How many requests clients ask for at each node and turn.
    Demand(u8),
    /// The server's zone was evacuated and is taken back, and it has turned cold meanwhile. A node
    /// learns of the first after one number of turns and of its entry after another.
    TurnCold(usize, u8, u8),
}

/// Steps in any order.
pub fn steps() -> impl Strategy<Value = Step> {
    let node = 0..NODES;
    let set = 0_u8..(1 << NODES);
    prop_oneof![
        8 => (1_u8..50).prop_map(Step::Pass),
        2 => set.clone().prop_map(Step::Cut),
        1 => Just(Step::Cut(0)),
        3 => (node.clone(), set).prop_map(|(node, set)| Step::Believe(node, set)),
        1 => (node.clone(), any::<bool>()).prop_map(|(node, is)| Step::Listed(node, is)),
        2 => (node.clone(), any::<bool>()).prop_map(|(node, is)| Step::Freeze(node, is)),
        1 => node.clone().prop_map(Step::Restart),
        2 => (0_u64..700).prop_map(Step::Delay),
        1 => (0_u8..6).prop_map(Step::Disturb),
        1 => (0_u8..12).prop_map(Step::Demand),
        1 => (node, 0_u8..60, 0_u8..60).prop_map(|(n, one, two)| Step::TurnCold(n, one, two)),
    ]
}

#[derive(Debug, Clone, Copy)]
enum Message {
    Question {
        waiting: u32,
        sent_after: Option<AuthorityTimestamp>,
    },
    Answer {
        grant: Grant,
        waiting: u32,
        has_majority: bool,
        stamp: AuthorityTimestamp,
    },
    /// A request that another node is to send.
    HandedOn { asked_at: Timestamp },
}

#[derive(Debug, Clone, Copy)]
struct Mail {
    from: usize,
    to: usize,
    arrives_at: Timestamp,
    asked_at: Timestamp,
    /// The life of the process that asked.
    life: u64,
    message: Message,
}

#[derive(Debug)]
struct Node {
    ledger: PermitCache,
    authority: Authority,
    choice: AuthoritySelector,
    bucket: TokenBucket,
    reachable: u8,
    /// How many nodes its list holds beside those of the model.
    more_listed: usize,
    is_frozen: bool,
    life: u64,
    coldness: Coldness,
    entries_known_to: u64,
    taken_back_at: Option<u64>,
    /// News on the way: when they come, and whether they are entries.
    news: Vec<(Timestamp, bool, u64)>,
}

/// All nodes, what is on the way between them, and all requests that were sent to the server.
#[derive(Debug)]
pub struct World {
    way: Way,
    breakage: Breakage,
    per_second: f64,
    now: Timestamp,
    nodes: Vec<Node>,
    mail: Vec<Mail>,
    cut: u8,
    delay: Duration,
    disturbed: u8,
    demand: u8,
    version: u64,
    messages: usize,
    /// When requests were sent, and since when they waited for that.
    sent: Vec<(Timestamp, Timestamp)>,
}

impl World {
    pub fn new(way: Way, per_second: f64, breakage: Breakage) -> Self {
        let now = Timestamp::from_millis(100_000);
        let nodes = (0..NODES).map(|_| new_node(0, 1, now, per_second));
        World {
            way,
            breakage,
            per_second,
            now,
            nodes: nodes.collect(),
            mail: Vec::new(),
            cut: 0,
            delay: Duration::from_millis(20),
            disturbed: 0,
            demand: 4,
            version: 1,
            messages: 0,
            sent: Vec::new(),
        }
    }

    pub fn apply(&mut self, step: Step) {
        match step {
            Step::Pass(turns) => (0..turns).for_each(|_| self.turn()),
            Step::Cut(set) => self.cut = set,
            Step::Believe(node, set) => self.nodes[node].reachable = set,
            Step::Listed(node, one_more) => self.nodes[node].more_listed = usize::from(one_more),
            Step::Freeze(node, is_frozen) => self.nodes[node].is_frozen = is_frozen,
            Step::Restart(node) => {
                let life = self.nodes[node].life + 1;
                self.nodes[node] = new_node(life, self.version, self.now, self.per_second);
            }
            Step::Delay(millis) => self.delay = Duration::from_millis(millis),
            Step::Disturb(every) => self.disturbed = every,
            Step::Demand(demand) => self.demand = demand,
            Step::TurnCold(first, removal, entry) => self.turn_cold(first, removal, entry),
        }
    }

    /// The requests of the first span that holds more than its bound; none if there is none.
    pub fn broken_window(&self) -> Option<usize> {
        let most = BOUND.most(self.per_second);
        let fullest = self.fullest_window();
        (fullest as f64 > most).then_some(fullest)
    }

    /// The most requests in any span.
    pub fn fullest_window(&self) -> usize {
        let mut moments: Vec<Timestamp> = self.sent.iter().map(|(sent_at, _)| *sent_at).collect();
        moments.sort_unstable();
        let mut first = 0;
        let mut fullest = 0;
        for (last, end) in moments.iter().enumerate() {
            while end.since(moments[first]) >= COLD_WINDOW {
                first += 1;
            }
            fullest = fullest.max(last + 1 - first);
        }
        fullest
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
        BOUND.rate(self.per_second).expect("more than one request")
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
            node.coldness = Coldness::default();
            node.entries_known_to = entry_version - 1;
            node.taken_back_at = Some(u64::MAX);
            node.news = vec![
                (removal_at, false, removal_version),
                (entry_at, true, removal_version),
            ];
        }
    }

    fn turn(&mut self) {
        self.now = self.now + TURN;
        self.deliver();
        for node in 0..NODES {
            if !self.nodes[node].is_frozen {
                self.nodes[node].take_news(self.now);
                self.serve_clients(node);
            }
        }
    }

    fn is_cut(&self, one: usize, other: usize) -> bool {
        (self.cut >> one) & 1 != (self.cut >> other) & 1
    }

    fn post(&mut self, mail: Mail) {
        self.messages += 1;
        let every = usize::from(self.disturbed);
        if every > 0 && self.messages.is_multiple_of(2 * every) {
            return;
        }
        self.mail.push(mail);
        if every > 0 && self.messages.is_multiple_of(every) {
            let arrives_at = mail.arrives_at + self.delay;
            self.mail.push(Mail { arrives_at, ..mail });
        }
    }

    fn deliver(&mut self) {
        for letter in std::mem::take(&mut self.mail) {
            if letter.arrives_at > self.now || self.nodes[letter.to].is_frozen {
                self.mail.push(letter);
            } else if !self.is_cut(letter.from, letter.to) {
                self.take(letter);
            }
        }
    }

    fn take(&mut self, letter: Mail) {
        match letter.message {
            Message::Question {
                waiting,
                sent_after,
            } => self.answer(letter, waiting, sent_after),
            Message::Answer {
                grant,
                waiting,
                has_majority,
                stamp,
            } => {
                let node = &mut self.nodes[letter.to];
                if node.life != letter.life {
                    return;
                }
                let name = NAMES[letter.from];
                node.choice
                    .record_response(name, has_majority, stamp, self.now);
                let asked_at = match self.breakage {
                    Breakage::LastingLeaves => self.now,
                    _ => letter.asked_at,
                };
                let leaves = node
                    .ledger
                    .record_grant(SERVER, grant, waiting, asked_at, self.now);
                for _ in leaves {
                    self.sent.push((self.now, letter.asked_at));
                }
            }
            Message::HandedOn { asked_at } => self.send_by_bucket(letter.to, asked_at),
        }
    }

    fn answer(&mut self, letter: Mail, waiting: u32, sent_after: Option<AuthorityTimestamp>) {
        let want = PermitDemand {
            waiting,
            rate: self.rate(),
            version: 1,
        };
        let node = &mut self.nodes[letter.to];
        let listed = match self.breakage {
            Breakage::NoMajority => 1,
            _ => NODES + node.more_listed,
        };
        let authority = &mut node.authority;
        let stamp = authority.timestamp(self.now);
        authority.record_vote(NAMES[letter.from], sent_after, listed, self.now);
        let grant = authority.grant(SERVER, want, 0.5, self.now);
        let message = Message::Answer {
            grant,
            waiting,
            has_majority: authority.has_majority(),
            stamp,
        };
        let answer = Mail {
            from: letter.to,
            to: letter.from,
            arrives_at: self.now + self.delay,
            message,
            ..letter
        };
        self.post(answer);
    }

    fn serve_clients(&mut self, node: usize) {
        let known = &self.nodes[node];
        let is_outdated = self.breakage != Breakage::OldEntries
            && is_entry_outdated(
                known.taken_back_at.map(StoreVersion::from_bits),
                StoreVersion::from_bits(known.entries_known_to),
            );
        if is_outdated || known.taken_back_at == Some(u64::MAX) {
            return;
        }
        if !known.coldness.is_cold(self.now) {
            // The oracle counts these only if the server is cold in truth.
            self.send_freely(node);
            return;
        }
        match self.way {
            Way::Leaves => self.ask_for_leaves(node),
            Way::FirstHome => self.hand_on(node),
            Way::Shares => {
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
        let (now, rate, way) = (self.now, self.rate(), self.way);
        let node = &mut self.nodes[node];
        let parts = match way {
            Way::Shares => node.reachable.count_ones().max(1),
            Way::Leaves | Way::FirstHome => 1,
        };
        let per_second = (rate.per_second + rate.burst) / f64::from(parts);
        let budget = Budget {
            // Without messages, what is saved up comes off the rate and nothing else does.
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

    fn hand_on(&mut self, node: usize) {
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
            let mail = Mail {
                from: node,
                to: first,
                arrives_at: self.now + self.delay,
                asked_at: self.now,
                life: self.nodes[node].life,
                message: Message::HandedOn { asked_at: self.now },
            };
            self.post(mail);
        }
    }

    fn ask_for_leaves(&mut self, node: usize) {
        let mut waiting = 0;
        for _ in 0..self.demand {
            match self.nodes[node].ledger.acquire(SERVER, self.now) {
                AcquireOutcome::Permit(_) => self.sent.push((self.now, self.now)),
                AcquireOutcome::Limited(_) => {}
                AcquireOutcome::AskAuthority => waiting += 1,
            }
        }
        let asked_for = self.nodes[node].choice.time_since_request(self.now);
        let is_vote_due = asked_for.is_none_or(|time| time >= VOTE_INTERVAL);
        if waiting > 0 || is_vote_due {
            self.ask(node, waiting);
        }
    }

    fn ask(&mut self, node: usize, waiting: u32) {
        let Some(authority) = self.choose(node) else {
            return;
        };
        self.nodes[node].choice.record_request(self.now);
        let sent_after = self.nodes[node].choice.authority_time(self.now);
        let question = Mail {
            from: node,
            to: authority,
            arrives_at: self.now + self.delay,
            asked_at: self.now,
            life: self.nodes[node].life,
            message: Message::Question {
                waiting,
                sent_after,
            },
        };
        self.post(question);
    }

    fn choose(&mut self, node: usize) -> Option<usize> {
        let now = self.now;
        let reachable = self.nodes[node].reachable;
        let names = NAMES.iter().enumerate();
        let reachable: Vec<&str> = names
            .filter(|(other, _)| (reachable >> other) & 1 == 1)
            .map(|(_, name)| *name)
            .collect();
        let chosen = self.nodes[node].choice.select(&reachable, now)?;
        NAMES.iter().position(|name| *name == chosen)
    }
}

impl Node {
    fn take_news(&mut self, now: Timestamp) {
        let (come, on_the_way) = self.news.iter().partition(|(at, ..)| *at <= now);
        self.news = on_the_way;
        let come: Vec<(Timestamp, bool, u64)> = come;
        for (_, is_entry, version) in come {
            if is_entry {
                self.entries_known_to = version;
                self.coldness
                    .note_entry(COLD_FOR, StoreVersion::from_bits(version - 1), now);
            } else {
                self.taken_back_at = Some(version);
            }
        }
    }
}

/// A node that knows the server to be cold.
fn new_node(life: u64, version: u64, now: Timestamp, per_second: f64) -> Node {
    let mut coldness = Coldness::default();
    coldness.note_entry(
        Duration::from_secs(3_600),
        StoreVersion::from_bits(version),
        now,
    );
    let rate = BOUND.rate(per_second).expect("more than one request");
    Node {
        ledger: PermitCache::default(),
        authority: Authority::new(ColdBound::COUNTED, life),
        choice: AuthoritySelector::new(VOTE_TTL),
        bucket: TokenBucket::started_at(Budget::for_rate(rate, ColdBound::COUNTED), now),
        reachable: (1 << NODES) - 1,
        more_listed: 0,
        is_frozen: false,
        life,
        coldness,
        entries_known_to: version,
        taken_back_at: None,
        news: Vec::new(),
    }
}
