//! Nodes that ask each other for leave to start a tenant's operations, over links that fail.

use std::time::Duration;

use proptest::prelude::*;
use spurpier_core::quota::{
    Authority, AuthorityChoice, Grant, Leave, Ledger, QuotaBound, QuotaRate, Stamp, Taken,
    VOTE_LIFE, Want, ZONE_VOTE_LIFE, ZoneAuthority, ZonePlace,
};
use spurpier_core::time::Timestamp;

/// How many nodes there are; all are ranked as authorities, in the order of their numbers.
pub const NODES: usize = 5;
/// The nodes of each zone.
pub const ZONES: [u8; 2] = [0b0_0111, 0b1_1000];
/// How long a turn of the model takes.
const TURN: Duration = Duration::from_millis(50);
/// How often a node votes that asks for nothing.
const VOTE_INTERVAL: Duration = Duration::from_millis(300);
/// How often a node votes for the authority of its zone.
const ZONE_VOTE_INTERVAL: Duration = Duration::from_millis(1_200);
/// The most time between the start of an operation and its arrival at a server.
const LONGEST_RUN: u64 = 200;

const TENANT: &str = "tenant";
const NAMES: [&str; NODES] = ["n0", "n1", "n2", "n3", "n4"];

/// What is judged.
pub const BOUND: QuotaBound = QuotaBound {
    window: Duration::from_secs(5),
    overage: 0.1,
    slack: 20.0,
};

/// The limits that a configuration may set.
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

/// A mechanism that is taken out.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Breakage {
    None,
    /// An authority gives the whole rate whoever asks.
    NoMajority,
    /// A vote counts from when it arrives.
    OldVotes,
    /// The authority of a zone gives the zone's part whoever asks.
    ZoneMajority,
    /// Each zone takes itself for the only one.
    WholeSlack,
}

impl Breakage {
    /// Those that random steps find.
    pub const COMMON: [Breakage; 1] = [Breakage::NoMajority];
}

/// What happens next.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Step {
    /// So many turns pass.
    Pass(u8),
    /// The nodes of a set and the others no longer reach each other; an empty set heals it.
    Cut(u8),
    /// Which nodes a node takes to be reachable, whether they are or not.
    Believe(usize, u8),
    /// A node stands still, or goes on.
    Freeze(usize, bool),
    /// A node's process ends and starts again.
    Restart(usize),
    /// How long messages take from now on, in milliseconds.
    Delay(u64),
    /// How many operations clients ask for at each node and turn.
    Demand(u8),
    /// The limit changes.
    Limit(usize),
}

/// Steps in any order.
pub fn steps() -> impl Strategy<Value = Step> {
    let node = 0..NODES;
    let set = 0_u8..(1 << NODES);
    prop_oneof![
        6 => (1_u8..30).prop_map(Step::Pass),
        2 => set.clone().prop_map(Step::Cut),
        1 => Just(Step::Cut(0)),
        3 => (node.clone(), set).prop_map(|(node, set)| Step::Believe(node, set)),
        2 => (node.clone(), any::<bool>()).prop_map(|(node, is)| Step::Freeze(node, is)),
        1 => node.prop_map(Step::Restart),
        2 => (0_u64..700).prop_map(Step::Delay),
        1 => Just(Step::Delay(3_000)),
        1 => (0_u8..12).prop_map(Step::Demand),
        1 => (0..RATES.len()).prop_map(Step::Limit),
    ]
}

/// Whom an authority counts for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Scope {
    All,
    Zone,
}

#[derive(Debug)]
enum Message {
    Question {
        waiting: u32,
        version: u64,
        rate: QuotaRate,
        sent_after: Option<Stamp>,
    },
    Answer {
        grant: Grant,
        waiting: u32,
        has_majority: bool,
        stamp: Stamp,
    },
}

#[derive(Debug)]
struct Mail {
    from: usize,
    to: usize,
    arrives_at: Timestamp,
    asked_at: Timestamp,
    /// The life of the process that asked.
    life: u32,
    scope: Scope,
    message: Message,
}

#[derive(Debug)]
struct Node {
    ledger: Ledger,
    authority: Authority,
    zone_authority: ZoneAuthority,
    choice: AuthorityChoice,
    zone_choice: AuthorityChoice,
    reachable: u8,
    is_frozen: bool,
    life: u32,
}

impl Node {
    fn choice(&mut self, scope: Scope) -> &mut AuthorityChoice {
        match scope {
            Scope::All => &mut self.choice,
            Scope::Zone => &mut self.zone_choice,
        }
    }

    fn new(life: u32, place: ZonePlace) -> Self {
        let life_of_process = u64::from(life);
        Node {
            ledger: Ledger::default(),
            authority: Authority::new(BOUND, life_of_process),
            zone_authority: ZoneAuthority::new(BOUND, place, life_of_process),
            choice: AuthorityChoice::new(VOTE_LIFE),
            zone_choice: AuthorityChoice::new(ZONE_VOTE_LIFE),
            reachable: u8::MAX,
            is_frozen: false,
            life,
        }
    }
}

/// All nodes and what is on the way between them, and all operations that reached a server.
#[derive(Debug)]
pub struct World {
    breakage: Breakage,
    now: Timestamp,
    nodes: Vec<Node>,
    mail: Vec<Mail>,
    cut: u8,
    delay: Duration,
    demand: u8,
    version: u64,
    rate: QuotaRate,
    /// The limits and since when they hold.
    limits: Vec<(Timestamp, QuotaRate)>,
    arrivals: Vec<Timestamp>,
    /// How many operations each node has started.
    started: [usize; NODES],
    /// Tells apart the times that operations take.
    turns: u64,
}

impl World {
    pub fn new(breakage: Breakage) -> Self {
        let start = Timestamp::from_millis(100_000);
        World {
            breakage,
            now: start,
            nodes: (0..NODES)
                .map(|node| Node::new(0, place_of(node, breakage)))
                .collect(),
            mail: Vec::new(),
            cut: 0,
            delay: Duration::from_millis(20),
            demand: 4,
            version: 1,
            rate: RATES[1],
            limits: vec![(start, RATES[1])],
            arrivals: Vec::new(),
            started: [0; NODES],
            turns: 0,
        }
    }

    pub fn apply(&mut self, step: Step) {
        match step {
            Step::Pass(turns) => (0..turns).for_each(|_| self.turn()),
            Step::Cut(set) => self.cut = set,
            Step::Believe(node, set) => self.nodes[node].reachable = set,
            Step::Freeze(node, is_frozen) => self.nodes[node].is_frozen = is_frozen,
            Step::Restart(node) => {
                let life = self.nodes[node].life + 1;
                self.nodes[node] = Node::new(life, place_of(node, self.breakage));
            }
            Step::Delay(millis) => self.delay = Duration::from_millis(millis),
            Step::Demand(demand) => self.demand = demand,
            Step::Limit(index) => {
                self.version += 1;
                self.rate = RATES[index];
                self.limits.push((self.now, self.rate));
            }
        }
    }

    /// The fewest and the most operations that any window held beside its bound; none if the bound
    /// was kept.
    pub fn broken_window(&self) -> Option<(usize, f64)> {
        let mut arrivals = self.arrivals.clone();
        arrivals.sort_unstable();
        let mut first = 0;
        for (last, end) in arrivals.iter().enumerate() {
            while end.since(arrivals[first]) > BOUND.window {
                first += 1;
            }
            let count = last + 1 - first;
            let most = self.most_until(*end);
            if count as f64 > most {
                return Some((count, most));
            }
        }
        None
    }

    /// How many operations reached a server.
    pub fn arrived(&self) -> usize {
        self.arrivals.len()
    }

    /// How many operations the nodes of a set have started.
    pub fn started_by(&self, set: u8) -> usize {
        let is_in_set = |node: &usize| (set >> node) & 1 == 1;
        let nodes = (0..NODES).filter(is_in_set);
        nodes.map(|node| self.started[node]).sum()
    }

    /// What a window that ends at a moment may hold: a lower limit binds a window later.
    fn most_until(&self, end: Timestamp) -> f64 {
        let since = end.saturating_sub(BOUND.window * 2);
        let mut most: f64 = 0.0;
        for (index, (_, rate)) in self.limits.iter().enumerate() {
            let next = self.limits.get(index + 1);
            if next.is_none_or(|(from, _)| *from >= since) {
                most = most.max(BOUND.most(*rate));
            }
        }
        most
    }

    fn turn(&mut self) {
        self.now = self.now + TURN;
        self.turns += 1;
        self.deliver();
        for node in 0..NODES {
            if !self.nodes[node].is_frozen {
                self.ask_for_clients(node);
            }
        }
    }

    fn is_cut(&self, one: usize, other: usize) -> bool {
        (self.cut >> one) & 1 != (self.cut >> other) & 1
    }

    fn deliver(&mut self) {
        let mail = std::mem::take(&mut self.mail);
        for letter in mail {
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
                version,
                rate,
                sent_after,
            } => {
                let want = Want {
                    waiting,
                    rate,
                    version,
                };
                let message = match letter.scope {
                    Scope::All => self.answer_all(&letter, want, sent_after),
                    Scope::Zone => self.answer_zone(&letter, want, sent_after),
                };
                self.mail.push(Mail {
                    from: letter.to,
                    to: letter.from,
                    arrives_at: self.now + self.delay,
                    message,
                    ..letter
                });
            }
            Message::Answer {
                grant,
                waiting,
                has_majority,
                stamp,
            } => {
                let now = self.now;
                let node = &mut self.nodes[letter.to];
                if node.life != letter.life {
                    return;
                }
                let name = NAMES[letter.from];
                let choice = node.choice(letter.scope);
                choice.note_answer(name, has_majority, stamp, now);
                let leaves = node
                    .ledger
                    .note_grant(TENANT, grant, waiting, letter.asked_at, now);
                leaves
                    .into_iter()
                    .for_each(|leave| self.start(letter.to, leave));
                if letter.scope == Scope::All && !has_majority {
                    self.ask(letter.to, Scope::Zone, waiting);
                }
            }
        }
    }

    fn answer_all(&mut self, letter: &Mail, want: Want, sent_after: Option<Stamp>) -> Message {
        let nodes = match self.breakage {
            Breakage::NoMajority => 1,
            _ => NODES,
        };
        let authority = &mut self.nodes[letter.to].authority;
        let stamp = authority.stamp(self.now);
        let sent_after = match self.breakage {
            Breakage::OldVotes => Some(stamp),
            _ => sent_after,
        };
        authority.note_vote(NAMES[letter.from], sent_after, nodes, self.now);
        Message::Answer {
            grant: authority.grant(TENANT, want, 0.5, self.now),
            waiting: want.waiting,
            has_majority: authority.has_majority(),
            stamp,
        }
    }

    fn answer_zone(&mut self, letter: &Mail, want: Want, sent_after: Option<Stamp>) -> Message {
        let nodes = match self.breakage {
            Breakage::ZoneMajority => 1,
            _ => zone_of(letter.to).count_ones() as usize,
        };
        let authority = &mut self.nodes[letter.to].zone_authority;
        let stamp = authority.stamp(self.now);
        authority.note_vote(NAMES[letter.from], sent_after, nodes, self.now);
        Message::Answer {
            grant: authority.grant(TENANT, want.waiting, 0.5, self.now),
            waiting: want.waiting,
            has_majority: authority.has_majority(),
            stamp,
        }
    }

    fn start(&mut self, node: usize, leave: Leave) {
        assert!(leave.ends_at > self.now);
        self.started[node] += 1;
        let takes = (self.turns * 67 + self.arrivals.len() as u64 * 31) % LONGEST_RUN;
        let arrives_at = self.now + Duration::from_millis(takes);
        self.arrivals.push(arrives_at);
    }

    fn ask_for_clients(&mut self, node: usize) {
        let mut waiting = 0;
        for _ in 0..self.demand {
            match self.nodes[node].ledger.take(TENANT, self.now) {
                Taken::Leave(leave) => self.start(node, leave),
                Taken::Limited(_) => {}
                Taken::Ask => waiting += 1,
            }
        }
        if waiting > 0 || self.is_vote_due(node, Scope::All, VOTE_INTERVAL) {
            let is_asked = self.ask(node, Scope::All, waiting);
            if !is_asked && waiting > 0 {
                self.ask(node, Scope::Zone, waiting);
            }
        }
        if self.is_vote_due(node, Scope::Zone, ZONE_VOTE_INTERVAL) {
            self.ask(node, Scope::Zone, 0);
        }
    }

    fn is_vote_due(&mut self, node: usize, scope: Scope, interval: Duration) -> bool {
        let now = self.now;
        let asked_for = self.nodes[node].choice(scope).asked_for(now);
        asked_for.is_none_or(|time| time >= interval)
    }

    /// Asks an authority; tells whether there is one to ask.
    fn ask(&mut self, node: usize, scope: Scope, waiting: u32) -> bool {
        let Some(authority) = self.choose(node, scope) else {
            return false;
        };
        let now = self.now;
        let choice = self.nodes[node].choice(scope);
        choice.note_asked(now);
        let sent_after = choice.sent_after(now);
        self.mail.push(Mail {
            from: node,
            to: authority,
            arrives_at: now + self.delay,
            asked_at: now,
            life: self.nodes[node].life,
            scope,
            message: Message::Question {
                waiting,
                version: self.version,
                rate: self.rate,
                sent_after,
            },
        });
        true
    }

    fn choose(&mut self, node: usize, scope: Scope) -> Option<usize> {
        let now = self.now;
        let ranked = match scope {
            Scope::All => u8::MAX,
            Scope::Zone => zone_of(node),
        };
        let reached = self.nodes[node].reachable & ranked;
        let reachable: Vec<&str> = (0..NODES)
            .filter(|other| (reached >> other) & 1 == 1)
            .map(|other| NAMES[other])
            .collect();
        let choice = self.nodes[node].choice(scope);
        let chosen = choice.choose(&reachable, now)?;
        NAMES.iter().position(|name| *name == chosen)
    }
}

/// The nodes of a node's zone.
fn zone_of(node: usize) -> u8 {
    let zone = ZONES.iter().find(|zone| (*zone >> node) & 1 == 1);
    *zone.expect("each node has a zone")
}

fn place_of(node: usize, breakage: Breakage) -> ZonePlace {
    let index = ZONES.iter().position(|zone| *zone == zone_of(node));
    let count = match breakage {
        Breakage::WholeSlack => 1,
        _ => ZONES.len(),
    };
    ZonePlace {
        index: index.expect("each node has a zone"),
        count,
    }
}
