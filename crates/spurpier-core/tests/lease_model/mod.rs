//! A model of nodes that register for the leader lease, use a leader, decide and promote, with a
//! store and links that fail.

use std::time::Duration;

use proptest::prelude::*;
use spurpier_core::leader::{LeaseReleaseRound, RoundState, holds_leader_lease};
use spurpier_core::time::Timestamp;

/// The number of nodes.
const NODES: usize = 3;
/// How long a promotion in flight may take to be carried out, in milliseconds.
const MAX_PROMOTION_MS: u64 = 1_500;

/// A mechanism that is disabled.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Breakage {
    None,
    /// Answers are believed without a lease.
    NoLease,
    /// The successor is promoted without waiting for any node.
    NoWait,
    /// The successor is promoted without a check for a newer decision.
    NoVerification,
    /// A node that starts takes the lease from the report that another node copies to it.
    LeaseFromPeer,
    /// A node releases its lease while its own promotion is in flight.
    ReleasesWhilePromoting,
    /// A report of the store counts from when it was read, not from when the store sent it.
    LeaseFromReadTime,
    /// A node that removes its registration goes on using the leader.
    UsesUnregistered,
    /// A decision waits only for the nodes that were registered when its node last read the store.
    StaleHolders,
    /// A node decides without being registered, so that a newer decision does not wait for its
    /// promotion.
    DecidesUnregistered,
}

impl Breakage {
    /// Those that random steps detect.
    pub const COMMON: [Breakage; 7] = [
        Breakage::NoLease,
        Breakage::NoWait,
        Breakage::NoVerification,
        Breakage::ReleasesWhilePromoting,
        Breakage::LeaseFromReadTime,
        Breakage::UsesUnregistered,
        Breakage::DecidesUnregistered,
    ];
}

/// What happens next in the world.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Step {
    /// Time passes, in milliseconds.
    Advance(u64),
    /// The nodes of a set (a bit each) and the others no longer reach each other; an empty set
    /// heals the partition.
    Partition(u8),
    /// Which nodes reach the store, a bit each.
    StoreReachedBy(u8),
    /// The store answers a node, which reads the answer later.
    StoreReports(usize),
    /// The node reads what the store has answered.
    ReadStore(usize),
    /// A node registers, so that it may hold the lease.
    Register(usize),
    /// A node removes its registration.
    Unregister(usize),
    /// A node decides.
    Decide(usize),
    /// A deciding node asks the others to release their leases.
    RequestReleases(usize),
    /// A deciding node does what its round requires.
    Proceed(usize),
    /// A promotion in flight is carried out and answered.
    CompletePromotion(usize),
    /// The first node restarts, and copies what the second one knows if it reaches that one.
    Restart(usize, usize),
}

pub fn steps() -> impl Strategy<Value = Step> {
    let node = || 0..NODES;
    prop_oneof![
        6 => prop_oneof![5_u64..60, 60_u64..900, 900_u64..5_000].prop_map(Step::Advance),
        1 => any::<u8>().prop_map(Step::Partition),
        1 => any::<u8>().prop_map(Step::StoreReachedBy),
        4 => node().prop_map(Step::StoreReports),
        4 => node().prop_map(Step::ReadStore),
        1 => node().prop_map(Step::Register),
        1 => node().prop_map(Step::Unregister),
        2 => node().prop_map(Step::Decide),
        4 => node().prop_map(Step::RequestReleases),
        4 => node().prop_map(Step::Proceed),
        3 => node().prop_map(Step::CompletePromotion),
        2 => (node(), node()).prop_map(|(node, from)| Step::Restart(node, from)),
    ]
}

#[derive(Debug, Clone, Default)]
struct Node {
    started_at: Timestamp,
    /// The token of the newest succession that it knows; it represents the named server.
    token: u64,
    reported_at: Option<Timestamp>,
    /// Which nodes are registered, as the store last reported.
    holders: [bool; NODES],
    /// Writes of its own registration that may still take effect: the version that each replaces,
    /// and whether it registers.
    own_writes: Vec<(u64, bool)>,
    /// The version of its own registration, as the store last reported.
    own_version: u64,
    /// An answer of the store that it has not read yet.
    unread: Option<StoreAnswer>,
    round: Option<LeaseReleaseRound>,
    /// A promotion in flight: its token, and when it was sent.
    promotion: Option<(u64, Timestamp)>,
}

/// What the store contained, and when it sent that.
#[derive(Debug, Clone, Copy)]
struct StoreAnswer {
    reported_at: Timestamp,
    /// The newest token.
    token: u64,
    /// Which nodes are registered.
    holders: [bool; NODES],
    /// The version of the asking node's registration.
    own_version: u64,
}

impl Node {
    fn holds_lease(&self, own: usize, breakage: Breakage, now: Timestamp) -> bool {
        let keeps_using = breakage == Breakage::UsesUnregistered;
        let keeps = self.own_writes.iter().all(|(_, registers)| *registers);
        if !self.holders[own] || !(keeps || keeps_using) {
            return false;
        }
        let counts = |reported_at: &Timestamp| {
            *reported_at > self.started_at || breakage == Breakage::LeaseFromPeer
        };
        holds_leader_lease(self.reported_at.filter(counts), now)
    }
}

pub struct World {
    breakage: Breakage,
    now: Timestamp,
    nodes: Vec<Node>,
    partition: u8,
    store_reached_by: u8,
    /// The newest token in the store.
    stored_token: u64,
    /// Which nodes are registered in the store.
    holders: [bool; NODES],
    /// The versions of their registrations.
    versions: [u64; NODES],
    /// The token with which the present leader was promoted.
    promoted_token: u64,
    violation: Option<String>,
}

fn name(node: usize) -> String {
    format!("n{node}")
}

impl World {
    pub fn new(breakage: Breakage) -> Self {
        let now = Timestamp::from_millis(1_000_000);
        let node = Node {
            started_at: now.saturating_sub(Duration::from_millis(1)),
            reported_at: Some(now),
            holders: [true; NODES],
            ..Node::default()
        };
        World {
            breakage,
            now,
            nodes: vec![node; NODES],
            partition: 0,
            store_reached_by: u8::MAX,
            stored_token: 0,
            holders: [true; NODES],
            versions: [0; NODES],
            promoted_token: 0,
            violation: None,
        }
    }

    pub fn violation(&self) -> Option<&str> {
        self.violation.as_deref()
    }

    /// Whether a promotion has been carried out.
    pub fn is_promoted(&self) -> bool {
        self.promoted_token > 0
    }

    pub fn apply(&mut self, step: &Step) {
        match *step {
            Step::Advance(millis) => self.advance(millis),
            Step::Partition(set) => self.partition = set,
            Step::StoreReachedBy(set) => self.store_reached_by = set,
            Step::StoreReports(node) if self.reaches_store(node) => {
                self.nodes[node].unread = Some(StoreAnswer {
                    reported_at: self.now,
                    token: self.stored_token,
                    holders: self.holders,
                    own_version: self.versions[node],
                });
            }
            Step::ReadStore(node) => self.read_store(node),
            Step::Register(node) if self.reaches_store(node) => self.register(node, true),
            Step::Unregister(node) if self.reaches_store(node) && !self.is_deciding(node) => {
                self.register(node, false);
            }
            Step::Decide(node) if self.reaches_store(node) => self.decide(node),
            Step::RequestReleases(node) => self.request_releases(node),
            Step::Proceed(node) => self.proceed(node),
            Step::CompletePromotion(node) => self.complete_promotion(node),
            Step::Restart(node, from) => self.restart(node, from),
            Step::StoreReports(_) | Step::Register(_) | Step::Unregister(_) | Step::Decide(_) => {}
        }
        self.check();
    }

    /// Promotions do not stay in flight forever: those that reach the limit are carried out.
    fn advance(&mut self, millis: u64) {
        self.now = self.now + Duration::from_millis(millis);
        for node in 0..NODES {
            let promotion = self.nodes[node].promotion;
            let limit = Duration::from_millis(MAX_PROMOTION_MS);
            if promotion.is_some_and(|(_, sent_at)| self.now.since(sent_at) >= limit) {
                self.complete_promotion(node);
            }
        }
    }

    fn reaches(&self, one: usize, other: usize) -> bool {
        (self.partition >> one) & 1 == (self.partition >> other) & 1
    }

    fn reaches_store(&self, node: usize) -> bool {
        (self.store_reached_by >> node) & 1 == 1
    }

    fn read_store(&mut self, node: usize) {
        let Some(answer) = self.nodes[node].unread.take() else {
            return;
        };
        let reported_at = if self.breakage == Breakage::LeaseFromReadTime {
            self.now
        } else {
            answer.reported_at
        };
        let node = &mut self.nodes[node];
        node.reported_at = node.reported_at.max(Some(reported_at));
        node.token = node.token.max(answer.token);
        node.holders = answer.holders;
        node.own_version = answer.own_version;
        let own_version = node.own_version;
        node.own_writes
            .retain(|(replaced, _)| *replaced >= own_version);
    }

    /// The decision is stored on the condition that it is the next one, and acknowledged
    /// immediately.
    fn decide(&mut self, node: usize) {
        let deciding = &self.nodes[node];
        let may_decide = deciding.holds_lease(node, self.breakage, self.now)
            || self.breakage == Breakage::DecidesUnregistered;
        if deciding.promotion.is_some() || !may_decide {
            return;
        }
        self.stored_token += 1;
        let token = self.stored_token;
        // The deciding node learns of the registrations up to its decision before it promotes.
        let holders = match self.breakage {
            Breakage::StaleHolders => self.nodes[node].holders,
            _ => self.holders,
        };
        let others = (0..NODES).filter(|other| *other != node && holders[*other]);
        let others = others.map(name);
        let round = LeaseReleaseRound::new(token, self.now, self.now, others);
        self.nodes[node].token = token;
        self.nodes[node].round = Some(round);
    }

    /// Writes a node's registration, on the condition that the version known to the node is the
    /// stored one.
    fn register(&mut self, node: usize, registers: bool) {
        let writing = &mut self.nodes[node];
        writing.own_writes.push((writing.own_version, registers));
        if writing.own_version == self.versions[node] {
            self.versions[node] += 1;
            self.holders[node] = registers;
        }
    }

    /// Whether a node has decided and has not finished.
    fn is_deciding(&self, node: usize) -> bool {
        let is_under_way = self.nodes[node].round.is_some() || self.nodes[node].promotion.is_some();
        is_under_way && self.breakage != Breakage::DecidesUnregistered
    }

    fn request_releases(&mut self, node: usize) {
        let Some(mut round) = self.nodes[node].round.take() else {
            return;
        };
        for other in (0..NODES).filter(|other| *other != node) {
            if !self.reaches(node, other) {
                continue;
            }
            let keeps = self.breakage != Breakage::ReleasesWhilePromoting;
            if keeps && self.nodes[other].promotion.is_some() {
                continue;
            }
            let releasing = &mut self.nodes[other];
            releasing.token = releasing.token.max(round.token());
            round.record_release(&name(other), releasing.token);
        }
        self.nodes[node].round = Some(round);
    }

    fn proceed(&mut self, node: usize) {
        let Some(mut round) = self.nodes[node].round.take() else {
            return;
        };
        let mut newest = self.nodes[node].token;
        if self.breakage == Breakage::NoWait {
            round.clear_pending();
        }
        if self.breakage == Breakage::NoVerification {
            round.record_verification(self.now);
            newest = round.token();
        }
        match round.state(newest, self.now) {
            RoundState::Superseded => {}
            RoundState::Promote => {
                self.nodes[node].promotion = Some((round.token(), self.now));
            }
            RoundState::Verify => {
                let is_newest = self.stored_token == round.token();
                if self.reaches_store(node) && is_newest {
                    round.record_verification(self.now);
                }
                if !self.reaches_store(node) || is_newest {
                    self.nodes[node].round = Some(round);
                }
            }
            RoundState::Wait => self.nodes[node].round = Some(round),
        }
    }

    /// The promotion service does not check tokens.
    fn complete_promotion(&mut self, node: usize) {
        if let Some((token, _)) = self.nodes[node].promotion.take() {
            if token < self.promoted_token {
                self.violation = Some(format!(
                    "n{node} promoted {token} after {}",
                    self.promoted_token
                ));
            }
            self.promoted_token = token;
        }
    }

    /// The process ends; its promotion in flight is carried out.
    fn restart(&mut self, node: usize, from: usize) {
        self.complete_promotion(node);
        let known = (node != from && self.reaches(node, from)).then(|| self.nodes[from].clone());
        self.nodes[node] = Node {
            started_at: self.now,
            token: known.as_ref().map_or(0, |known| known.token),
            holders: known.as_ref().map_or([false; NODES], |known| known.holders),
            reported_at: known.and_then(|known| known.reported_at),
            ..Node::default()
        };
    }

    fn check(&mut self) {
        for (index, node) in self.nodes.iter().enumerate() {
            let believes = node.holds_lease(index, self.breakage, self.now)
                || self.breakage == Breakage::NoLease;
            if believes && node.token < self.promoted_token {
                let promoted_token = self.promoted_token;
                let text = format!(
                    "n{index} believes the leader of {}, not {promoted_token}",
                    node.token
                );
                self.violation.get_or_insert(text);
            }
        }
    }
}
