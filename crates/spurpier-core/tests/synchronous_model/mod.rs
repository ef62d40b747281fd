//! One group with synchronous replicas, the store's record of it, a node that decides and another
//! one that may still use the former primary.
//!
//! The choice, the counted servers, and the removal of members run the code of the product. What
//! design 0027 lists as its limits does not happen here: a new incarnation is listed before it
//! receives, a member that is removed does not return before the call is executed, and a promotion
//! meets the incarnation that it was sent for. A case is shorter than the time after which a missing
//! server is no longer waited for.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

use proptest::prelude::*;
use spurpier_core::directory::Incarnation;
use spurpier_core::leader::{
    FormerPrimary, MissingReplicas, Reachability, ReplicaLocation, ReplicaSet, SuccessorCandidate,
    choose_successor, counted_servers, may_remove_ended,
};
use spurpier_core::position::Position;
use spurpier_core::time::Timestamp;

/// The greatest number of servers of a group.
const MAX_SERVERS: usize = 5;
/// How far the clock moves in a step.
const WAIT: Duration = Duration::from_secs(6);
/// The clock stands still from then on, so that no missing server is given up.
const LAST_MOMENT: Duration = Duration::from_secs(20);

/// A mechanism that is taken out to show that the oracle notices.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Breakage {
    /// All mechanisms are in place.
    None,
    /// The replica that has received least is chosen.
    ChoosesLeast,
    /// Servers that do not report are not counted.
    IgnoresUnreported,
    /// Only servers that are listed are counted.
    CountsListedOnly,
    /// Nothing is compared after the wait for leases.
    NoSecondComparison,
    /// As before, and replicas are not paused. The second comparison alone notices what replicas
    /// that are not paused receive.
    NeitherPauseNorSecondComparison,
    /// Members that have ended are removed although the others may lack their commits.
    RemovesUncovered,
    /// The new incarnation of a server takes its former one's place in the record.
    MergedIncarnations,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Commit {
    term: u64,
    id: u64,
}

#[derive(Debug, Clone)]
struct Server {
    name: String,
    life: u64,
    log: Vec<Commit>,
    is_up: bool,
    is_listed: bool,
    is_deaf: bool,
    is_paused: bool,
    /// Whether the deciding node reaches it.
    is_reached: bool,
}

impl Server {
    fn incarnation(&self) -> Incarnation {
        Incarnation::new(&self.name, Some(self.life))
    }

    fn position(&self) -> Position {
        let last = self.log.last();
        last.map_or(Position::ZERO, |last| {
            Position::new(last.term, self.log.len() as u64)
        })
    }

    fn receives(&self) -> bool {
        self.is_up && !self.is_deaf && !self.is_paused
    }

    fn answers(&self) -> bool {
        self.is_up && self.is_reached
    }
}

/// What the node has decided and not ordered yet.
#[derive(Debug, Clone)]
struct Decision {
    successor: Incarnation,
    counted: BTreeSet<Incarnation>,
    former: FormerPrimary,
    is_confirmed: bool,
    has_round_ended: bool,
    is_confirmed_again: bool,
}

/// A removal of members that has not been written yet.
#[derive(Debug, Clone)]
struct Removal {
    record_version: u64,
    token: u64,
    ended: BTreeSet<Incarnation>,
}

/// The deciding node; a restart forgets all of it.
#[derive(Debug, Clone, Default)]
struct Node {
    known_primary: Option<Incarnation>,
    missing: MissingReplicas,
    decision: Option<Decision>,
    removal: Option<Removal>,
}

#[derive(Debug, Clone)]
struct Call {
    token: u64,
    successor: Incarnation,
}

/// Something that happens; impossible steps are ignored.
#[derive(Debug, Clone, Copy)]
pub enum Step {
    Write,
    Replicate(usize),
    Deafen(usize),
    Hear(usize),
    Crash(usize),
    Return {
        server: usize,
        keeps_log: bool,
    },
    /// A crash and the return with the log.
    Restart(usize),
    /// A crash, and the entry goes.
    Lose(usize),
    Unlist(usize),
    List(usize),
    UnlistAll,
    Cut(usize),
    Reach(usize),
    RestartNode,
    Wait,
    /// The primary crashes, or only the deciding node is cut off from it.
    LosePrimary {
        crashes: bool,
    },
    /// The next part of the decision that is under way.
    Advance,
    CheckEnded,
    RemoveEnded,
    Decide,
    Confirm,
    EndRound,
    ConfirmAgain,
    Promote,
    Execute(usize),
}

/// Steps of all kinds, the parts of a decision more often.
pub fn steps() -> impl Strategy<Value = Step> {
    let server = || 0..MAX_SERVERS;
    prop_oneof![
        6 => Just(Step::Write),
        3 => server().prop_map(Step::Replicate),
        2 => server().prop_map(Step::Deafen),
        1 => server().prop_map(Step::Hear),
        2 => server().prop_map(Step::Crash),
        2 => (server(), any::<bool>())
            .prop_map(|(server, keeps_log)| Step::Return { server, keeps_log }),
        3 => server().prop_map(Step::Restart),
        3 => server().prop_map(Step::Lose),
        2 => server().prop_map(Step::Unlist),
        2 => server().prop_map(Step::List),
        1 => Just(Step::UnlistAll),
        1 => server().prop_map(Step::Cut),
        1 => server().prop_map(Step::Reach),
        1 => Just(Step::RestartNode),
        4 => Just(Step::Wait),
        4 => Just(Step::CheckEnded),
        4 => Just(Step::RemoveEnded),
        2 => any::<bool>().prop_map(|crashes| Step::LosePrimary { crashes }),
        10 => Just(Step::Advance),
        2 => Just(Step::Decide),
        1 => Just(Step::Confirm),
        1 => Just(Step::EndRound),
        1 => Just(Step::ConfirmAgain),
        1 => Just(Step::Promote),
        3 => server().prop_map(Step::Execute),
    ]
}

/// The world of one case.
#[derive(Debug, Clone)]
pub struct World {
    breakage: Breakage,
    synchronous: usize,
    servers: Vec<Server>,
    primary: usize,
    term: u64,
    next_commit: u64,
    acknowledged: BTreeSet<u64>,
    record: ReplicaSet,
    record_version: u64,
    /// The newest decision in the store.
    succession: Option<Incarnation>,
    token: u64,
    /// The newest decision for which the other node has released its lease.
    known_to_other: Option<Incarnation>,
    /// Whether the primary was told to step down and no server has led since.
    has_stepped_down: bool,
    node: Node,
    calls: Vec<Call>,
    /// The greatest token that the platform has seen.
    fence: u64,
    now: Timestamp,
    violation: Option<String>,
}

impl World {
    /// A group whose first server leads; all are listed and recorded.
    pub fn new(servers: usize, synchronous: usize, breakage: Breakage) -> Self {
        let servers = (0..servers).map(|number| Server {
            name: format!("i-{number}"),
            life: 0,
            log: Vec::new(),
            is_up: true,
            is_listed: true,
            is_deaf: false,
            is_paused: false,
            is_reached: true,
        });
        let mut world = World {
            breakage,
            synchronous,
            servers: servers.collect(),
            primary: 0,
            term: 1,
            next_commit: 1,
            acknowledged: BTreeSet::new(),
            record: ReplicaSet::default(),
            record_version: 0,
            succession: None,
            token: 0,
            known_to_other: None,
            has_stepped_down: false,
            node: Node::default(),
            calls: Vec::new(),
            fence: 0,
            now: Timestamp::ZERO,
            violation: None,
        };
        world.record_listed();
        world
    }

    /// What the oracle has found.
    pub fn violation(&self) -> Option<&str> {
        self.violation.as_deref()
    }

    /// Carries a step out.
    pub fn apply(&mut self, step: &Step) {
        match *step {
            Step::Write => self.write(),
            Step::Replicate(server) => self.replicate(server),
            Step::Deafen(server) => self.change(server, |server| server.is_deaf = true),
            Step::Hear(server) => self.change(server, |server| server.is_deaf = false),
            Step::Crash(server) => self.change(server, |server| server.is_up = false),
            Step::Return { server, keeps_log } => self.return_server(server, keeps_log),
            Step::Restart(server) => {
                self.change(server, |server| server.is_up = false);
                self.return_server(server, true);
            }
            Step::Lose(server) => self.change(server, |server| {
                server.is_up = false;
                server.is_listed = false;
            }),
            Step::Unlist(server) => self.change(server, |server| server.is_listed = false),
            Step::List(server) => {
                self.change(server, |server| server.is_listed |= server.is_up);
                self.record_listed();
            }
            Step::UnlistAll => {
                for server in &mut self.servers {
                    server.is_listed = false;
                }
            }
            Step::Cut(server) => self.change(server, |server| server.is_reached = false),
            Step::Reach(server) => self.change(server, |server| server.is_reached = true),
            Step::RestartNode => self.node = Node::default(),
            Step::Wait if self.now < Timestamp::ZERO + LAST_MOMENT => self.now = self.now + WAIT,
            Step::Wait => {}
            Step::LosePrimary { crashes: true } => {
                self.change(self.primary, |server| server.is_up = false);
            }
            Step::LosePrimary { crashes: false } => {
                self.change(self.primary, |server| server.is_reached = false);
            }
            Step::Advance => self.advance(),
            Step::CheckEnded => self.check_ended(),
            Step::RemoveEnded => self.remove_ended(),
            Step::Decide => self.decide(),
            Step::Confirm => self.confirm(false),
            Step::EndRound => self.end_round(),
            Step::ConfirmAgain => self.confirm(true),
            Step::Promote => self.promote(),
            Step::Execute(call) => self.execute(call),
        }
        self.update_missing();
    }

    fn change(&mut self, server: usize, change: impl FnOnce(&mut Server)) {
        if let Some(server) = self.servers.get_mut(server) {
            change(server);
        }
    }

    // Commits and replication.

    /// Whether some node uses the primary.
    fn is_primary_used(&self) -> bool {
        let primary = self.servers[self.primary].incarnation();
        let mut known = [&self.succession, &self.known_to_other].into_iter();
        known.any(|known| known.as_ref().is_none_or(|named| *named == primary))
    }

    fn write(&mut self) {
        if !self.servers[self.primary].is_up || !self.is_primary_used() || self.has_stepped_down {
            return;
        }
        let commit = Commit {
            term: self.term,
            id: self.next_commit,
        };
        self.next_commit += 1;
        self.servers[self.primary].log.push(commit);
        for server in 0..self.servers.len() {
            self.replicate(server);
        }
        let primary = &self.servers[self.primary];
        let incarnation = primary.incarnation();
        let is_known = self
            .succession
            .as_ref()
            .is_none_or(|named| *named == incarnation);
        if primary.answers() && is_known && self.node.decision.is_none() {
            self.node.known_primary = Some(incarnation);
        }
    }

    fn replicate(&mut self, replica: usize) {
        let primary = &self.servers[self.primary];
        let log = primary.log.clone();
        if replica == self.primary || !primary.is_up || self.has_stepped_down {
            return;
        }
        self.change(replica, |server| {
            if server.receives() {
                server.log = log;
            }
        });
        self.acknowledge();
    }

    /// Acknowledges what enough replicas have received, while some node uses the primary.
    fn acknowledge(&mut self) {
        if !self.is_primary_used() {
            return;
        }
        let replicas = self.servers.iter().enumerate();
        let replicas: Vec<&Server> = replicas
            .filter(|(number, _)| *number != self.primary)
            .map(|(_, server)| server)
            .collect();
        for commit in &self.servers[self.primary].log {
            let holders = replicas.iter().filter(|server| server.log.contains(commit));
            if holders.count() >= self.synchronous {
                self.acknowledged.insert(commit.id);
            }
        }
    }

    /// A server comes back with its log, or without it as another incarnation. The primary has its
    /// log unless another server was promoted.
    fn return_server(&mut self, number: usize, keeps_log: bool) {
        let Some(server) = self.servers.get_mut(number).filter(|server| !server.is_up) else {
            return;
        };
        let incarnation = server.incarnation();
        if let Some(removal) = &self.node.removal
            && removal.ended.contains(&incarnation)
        {
            self.node.removal = None;
        }
        server.is_up = true;
        server.is_paused = false;
        if keeps_log || number == self.primary {
            return;
        }
        server.life += 1;
        server.log.clear();
        server.is_listed = true;
        if self.breakage == Breakage::MergedIncarnations {
            self.record = self.record.without(&BTreeSet::from([incarnation]));
        }
        self.record_listed();
    }

    // The record.

    fn listed(&self) -> BTreeSet<Incarnation> {
        let listed = self.servers.iter().filter(|server| server.is_listed);
        listed.map(Server::incarnation).collect()
    }

    fn record_listed(&mut self) {
        let location = ReplicaLocation {
            address: SocketAddr::from(([127, 0, 0, 1], 1)),
            zone: "near".to_owned(),
        };
        let listed = self.listed().into_iter();
        self.record = self
            .record
            .with(listed.map(|server| (server, location.clone())));
        // Also where it was recorded already: a removal that is under way must fail.
        self.record_version += 1;
    }

    fn update_missing(&mut self) {
        let listed = self.listed();
        self.node.missing.update(&self.record, &listed, self.now);
    }

    fn server(&self, incarnation: &Incarnation) -> Option<&Server> {
        let mut servers = self.servers.iter();
        servers.find(|server| server.incarnation() == *incarnation)
    }

    fn received(&self, incarnation: &Incarnation) -> Option<Position> {
        let server = self.server(incarnation).filter(|server| server.answers());
        server.map(Server::position)
    }

    /// How a server answers the deciding node; a former incarnation refuses.
    fn reachability(&self, incarnation: &Incarnation) -> Reachability {
        match self.server(incarnation) {
            Some(server) if !server.is_reached => Reachability::Silent,
            Some(server) if server.is_up => Reachability::Answers,
            Some(_) | None => Reachability::Refuses,
        }
    }

    /// Looks for members that have ended, while the primary serves.
    fn check_ended(&mut self) {
        let primary = &self.servers[self.primary];
        let incarnation = primary.incarnation();
        let is_used = !self.has_stepped_down
            && self.node.known_primary.as_ref() == Some(&incarnation)
            && self
                .succession
                .as_ref()
                .is_none_or(|named| *named == incarnation);
        if !is_used || !primary.answers() || self.node.decision.is_some() {
            return;
        }
        let missing = &self.node.missing;
        let candidates = missing.may_have_ended(self.now);
        let ended = candidates
            .filter(|server| missing.has_ended(server, self.reachability(server), self.now));
        let ended: BTreeSet<Incarnation> = ended.cloned().collect();
        let others = self.listed();
        let others = others.iter().filter(|server| **server != incarnation);
        let received: Vec<Option<Position>> = others.map(|server| self.received(server)).collect();
        let is_covered = may_remove_ended(primary.position(), &received, self.synchronous);
        if ended.is_empty() || !(is_covered || self.breakage == Breakage::RemovesUncovered) {
            return;
        }
        self.node.removal = Some(Removal {
            record_version: self.record_version,
            token: self.token,
            ended,
        });
    }

    fn remove_ended(&mut self) {
        let Some(removal) = self.node.removal.take() else {
            return;
        };
        if removal.record_version == self.record_version && removal.token == self.token {
            self.record = self.record.without(&removal.ended);
            self.record_version += 1;
        }
    }

    // Decisions.

    fn advance(&mut self) {
        match &self.node.decision {
            None => self.decide(),
            Some(decision) if !decision.is_confirmed => self.confirm(false),
            Some(decision) if !decision.has_round_ended => self.end_round(),
            Some(decision) if !decision.is_confirmed_again => self.confirm(true),
            Some(_) => self.promote(),
        }
    }

    fn decide(&mut self) {
        let primary = &self.servers[self.primary];
        let incarnation = primary.incarnation();
        let may_lead = self
            .succession
            .as_ref()
            .is_none_or(|named| *named == incarnation);
        if primary.answers() && may_lead {
            return;
        }
        let is_counted = primary.is_listed || self.record.contains(&incarnation);
        if primary.answers() && is_counted && !self.has_stepped_down {
            // It leads against the newest decision and is told to step down.
            self.has_stepped_down = true;
            return;
        }
        let former = self.node.known_primary.clone();
        let set = match self.breakage {
            Breakage::CountsListedOnly => ReplicaSet::default(),
            _ => self.record.clone(),
        };
        let listed = self.listed();
        let missing = &self.node.missing;
        let counted = counted_servers(&set, missing, &listed, former.as_ref(), self.now);
        let former = match former {
            Some(_) => FormerPrimary::Excluded,
            None => FormerPrimary::Unknown,
        };
        let Some(successor) = self.choose(&counted, former) else {
            return;
        };
        self.token += 1;
        self.succession = Some(successor.clone());
        self.node.decision = Some(Decision {
            successor,
            counted,
            former,
            is_confirmed: false,
            has_round_ended: false,
            is_confirmed_again: false,
        });
    }

    fn choose(
        &self,
        counted: &BTreeSet<Incarnation>,
        former: FormerPrimary,
    ) -> Option<Incarnation> {
        let mut counted: Vec<&Incarnation> = counted.iter().collect();
        if self.breakage == Breakage::IgnoresUnreported {
            counted.retain(|server| self.received(server).is_some());
        }
        let candidates: Vec<SuccessorCandidate> = counted
            .iter()
            .map(|server| SuccessorCandidate {
                received: self.received(server),
                eligible: self.server(server).is_some_and(|server| server.is_listed),
                placement_score: 0,
            })
            .collect();
        let chosen = choose_successor(&candidates, self.synchronous, former)?;
        let eligible = counted.iter().zip(&candidates);
        let eligible = eligible.filter(|(_, candidate)| candidate.eligible);
        let reporting = eligible.filter(|(_, candidate)| candidate.received.is_some());
        let least = reporting.min_by_key(|(_, candidate)| candidate.received);
        if self.breakage == Breakage::ChoosesLeast {
            return least.map(|(server, _)| (*server).clone());
        }
        Some(counted[chosen].clone())
    }

    /// Pauses the counted servers and compares what they have received.
    fn confirm(&mut self, is_second: bool) {
        let Some(mut decision) = self.node.decision.take() else {
            return;
        };
        let is_due = if is_second {
            decision.has_round_ended
        } else {
            !decision.is_confirmed
        };
        let is_left_out = is_second
            && matches!(
                self.breakage,
                Breakage::NoSecondComparison | Breakage::NeitherPauseNorSecondComparison
            );
        if !is_due || is_left_out {
            decision.is_confirmed_again |= is_due;
            self.node.decision = Some(decision);
            return;
        }
        self.set_paused(&decision.counted, true);
        let best = self.choose(&decision.counted, decision.former);
        let best = best.and_then(|best| self.received(&best));
        if best.is_none() || best != self.received(&decision.successor) {
            self.set_paused(&decision.counted, false);
            return;
        }
        decision.is_confirmed = true;
        decision.is_confirmed_again = is_second;
        self.node.decision = Some(decision);
    }

    fn set_paused(&mut self, counted: &BTreeSet<Incarnation>, is_paused: bool) {
        if self.breakage == Breakage::NeitherPauseNorSecondComparison {
            return;
        }
        for server in &mut self.servers {
            if server.answers() && counted.contains(&server.incarnation()) {
                server.is_paused = is_paused;
            }
        }
    }

    fn end_round(&mut self) {
        if let Some(decision) = &mut self.node.decision
            && decision.is_confirmed
        {
            decision.has_round_ended = true;
            self.known_to_other = self.succession.clone();
        }
    }

    fn promote(&mut self) {
        let Some(decision) = self.node.decision.take() else {
            return;
        };
        if !decision.is_confirmed_again {
            self.node.decision = Some(decision);
            return;
        }
        self.calls.push(Call {
            token: self.token,
            successor: decision.successor,
        });
        self.set_paused(&decision.counted, false);
    }

    /// The platform executes a call, at any time after it was sent.
    fn execute(&mut self, call: usize) {
        if call >= self.calls.len() {
            return;
        }
        let call = self.calls.remove(call);
        let mut servers = self.servers.iter();
        let successor = servers.position(|server| server.incarnation() == call.successor);
        let Some(successor) = successor.filter(|server| self.servers[*server].is_up) else {
            return;
        };
        if call.token < self.fence {
            return;
        }
        self.fence = call.token;
        if successor == self.primary && !self.has_stepped_down {
            return;
        }
        self.has_stepped_down = false;
        self.primary = successor;
        self.term += 1;
        self.servers[successor].is_paused = false;
        self.check_promoted();
    }

    /// The oracle: the promoted server's log holds every acknowledged commit.
    fn check_promoted(&mut self) {
        let promoted = &self.servers[self.primary];
        let held: BTreeSet<u64> = promoted.log.iter().map(|commit| commit.id).collect();
        let lost: Vec<&u64> = self.acknowledged.difference(&held).collect();
        if !lost.is_empty() {
            let text = format!("{} lacks the acknowledged commits {lost:?}", promoted.name);
            self.violation.get_or_insert(text);
        }
    }
}
