//! A group: its servers, which of them leads, and what is known of its log.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use spurpier_core::directory::Incarnation;
use spurpier_core::leader::{
    LeaderCandidate, LeaderView, LeadershipProof, ObservedPosition, ProofError, SessionCommit,
    Succession, choose_leader_candidate, read_floor,
};
use spurpier_core::position::Position;
use spurpier_core::time::Timestamp;
use tokio::sync::watch;

use crate::events;
use crate::homes::PeerNode;
use crate::ports::ServerRole;
use crate::server::Server;
use spurpier_events::log_event;

/// For how long a node that reaches the lead is used in the place of this one.
const RELAY_DURATION: Duration = Duration::from_millis(900);
/// For how long a node that stood in for the homes looks after the group as they do.
const STAND_IN_DURATION: Duration = Duration::from_secs(3);

#[derive(Debug, Default)]
struct GroupInner {
    servers: BTreeMap<Incarnation, Arc<Server>>,
    leading: LeaderView,
    proving: bool,
    synchronous_replicas: usize,
    /// The token of the newest succession that its deciding node has asked this one to yield to.
    asked_token: u64,
    /// Whether this node's order of a successor is under way.
    ordering: bool,
    /// A node that reaches the lead while this one does not, and until when it is used.
    relay: Option<(PeerNode, Timestamp)>,
    /// Until when this node, which is no home, stands in for homes that it cannot reach.
    stands_in_until: Timestamp,
    /// Whether this node is seeing to the group's primary.
    attended: bool,
}

/// One group as this node knows it.
#[derive(Debug)]
pub struct Group {
    /// Its name.
    pub name: String,
    inner: Mutex<GroupInner>,
    changed: watch::Sender<u64>,
}

impl Group {
    /// A group without servers.
    pub fn new(name: &str) -> Self {
        Group {
            name: name.to_owned(),
            inner: Mutex::default(),
            changed: watch::Sender::new(0),
        }
    }

    /// A receiver that is told of changes.
    pub fn changes(&self) -> watch::Receiver<u64> {
        self.changed.subscribe()
    }

    fn notify(&self) {
        self.changed.send_modify(|version| *version += 1);
    }

    /// All servers, also those that are leaving, in the order of their names.
    pub fn servers(&self) -> Vec<Arc<Server>> {
        self.lock().servers.values().map(Arc::clone).collect()
    }

    /// The server of this name.
    pub fn server(&self, incarnation: &Incarnation) -> Option<Arc<Server>> {
        self.lock().servers.get(incarnation).map(Arc::clone)
    }

    /// Adds a server.
    pub fn add(&self, server: Arc<Server>) {
        let incarnation = server.incarnation.clone();
        {
            let mut inner = self.lock();
            inner.leading.add_incarnation(incarnation.clone());
            inner.servers.insert(incarnation, server);
        }
        self.notify();
    }

    /// Forgets a server whose life is over, or that left long ago.
    pub fn remove(&self, incarnation: &Incarnation) {
        let removed = {
            let mut inner = self.lock();
            inner.leading.remove_incarnation(incarnation);
            inner.servers.remove(incarnation)
        };
        if let Some(server) = removed {
            server.pool.retire();
        }
        self.notify();
    }

    /// Forgets all other lives of a server that are known.
    pub fn remove_other_lives(&self, present: &Incarnation) {
        let others = self.lock().leading.other_incarnations_of(present);
        for other in &others {
            self.remove(other);
        }
    }

    /// Takes in that a server's entry changed: it may be asked for the lead again.
    pub fn note_entry(&self, incarnation: &Incarnation, role: ServerRole) {
        let claims_lead = role == ServerRole::Primary;
        self.lock()
            .leading
            .record_entry_change(incarnation, claims_lead);
        self.notify();
    }

    /// The replicas that must have received a commit before it is acknowledged.
    pub fn synchronous_replicas(&self) -> usize {
        self.lock().synchronous_replicas
    }

    /// Takes in how many replicas must have received a commit.
    pub fn set_synchronous_replicas(&self, count: usize) {
        self.lock().synchronous_replicas = count;
    }

    /// The server that proved the lead last, unless it has lost it since.
    pub fn lead(&self) -> Option<Arc<Server>> {
        let inner = self.lock();
        inner.servers.get(inner.leading.leader()?).map(Arc::clone)
    }

    /// Whether this server was the last one that proved the lead to this node.
    pub fn led_last(&self, incarnation: &Incarnation) -> bool {
        self.lock().leading.was_last_leader(incarnation)
    }

    /// The server to ask for the lead next; none while all have just refused.
    ///
    /// [`choose_leader_candidate`] chooses among those that have not just refused. A server that leaves may lead for `leaving_use` at most.
    pub fn lead_candidate(&self, now: Timestamp, leaving_use: Duration) -> Option<Arc<Server>> {
        let inner = self.lock();
        let may_lead = |server: &&Arc<Server>| {
            let leaving_for = server.leaving_for(now).unwrap_or_default();
            inner.leading.is_leader_candidate(&server.incarnation, now) && leaving_for < leaving_use
        };
        let servers: Vec<&Arc<Server>> = inner.servers.values().filter(may_lead).collect();
        let candidates: Vec<LeaderCandidate> = servers
            .iter()
            .map(|server| lead_candidate(server, inner.leading.leader()))
            .collect();
        choose_leader_candidate(&candidates).map(|index| Arc::clone(servers[index]))
    }

    /// The newest succession; none if there was none.
    pub fn succession(&self) -> Option<Succession> {
        self.lock().leading.succession().cloned()
    }

    /// The token of the newest succession; 0 if there was none.
    pub fn token(&self) -> u64 {
        self.lock().leading.token()
    }

    /// Whether the newest succession, if there is one, names this server.
    pub fn is_successor(&self, incarnation: &Incarnation) -> bool {
        self.lock().leading.is_successor(incarnation)
    }

    /// Whether a server is another life of the one that the newest succession names: it is no
    /// successor, and may hold all that its former life did.
    pub fn is_restarted_successor(&self, incarnation: &Incarnation) -> bool {
        self.lock().leading.is_restarted_successor(incarnation)
    }

    /// Whether a server that holds a position lacks what it has shown as the lead.
    pub fn has_lost_log(&self, server: &Server, position: Position) -> bool {
        let inner = self.lock();
        inner.leading.has_lost_log(&server.incarnation, position)
    }

    /// Takes in that a server takes over: from now on no other is used as the lead. Tells whether
    /// that is new.
    pub fn record_succession(&self, succession: &Succession, now: Timestamp) -> bool {
        {
            let mut inner = self.lock();
            if !inner.leading.apply_succession(succession, now) {
                return false;
            }
            if inner.leading.leader().is_none() {
                inner.relay = None;
            }
        }
        self.notify();
        true
    }

    /// Takes in that a deciding node has asked this one to yield.
    pub fn note_asked(&self, token: u64) {
        let mut inner = self.lock();
        inner.asked_token = inner.asked_token.max(token);
    }

    /// The token of the newest succession that its deciding node has asked this one to yield to.
    pub fn asked_token(&self) -> u64 {
        self.lock().asked_token
    }

    /// Whether this node's order of a successor is under way: until it has its answer, this node
    /// must not yield to another decision.
    pub fn is_ordering(&self) -> bool {
        self.lock().ordering
    }

    /// Notes that an order is about to be sent, until the result is dropped.
    pub fn start_ordering(&self) -> OrderUnderWay<'_> {
        self.lock().ordering = true;
        OrderUnderWay(self)
    }

    /// Takes in that a server accepted a message which only the lead accepts; `now` is the moment
    /// of its answer.
    ///
    /// # Errors
    ///
    /// [`ProofError`] if that says nothing of the group's log.
    pub fn note_proof(
        &self,
        server: &Server,
        proof: LeadershipProof,
        now: Timestamp,
    ) -> Result<(), ProofError> {
        let is_new = {
            let mut inner = self.lock();
            let is_new = inner
                .leading
                .record_proof(&server.incarnation, proof, now)?;
            inner.relay = None;
            is_new
        };
        if is_new {
            log_event!(
                events::LEAD_FOUND,
                group = self.name,
                server = server.incarnation,
                position = proof.position
            );
        }
        self.notify();
        Ok(())
    }

    /// Checks what a server that is taken for the lead has shown of its log.
    ///
    /// # Errors
    ///
    /// [`ProofError`] if it cannot be the lead that was known.
    pub fn check_shown(&self, server: &Server, shown: LeadershipProof) -> Result<(), ProofError> {
        self.lock()
            .leading
            .check_position(&server.incarnation, shown)
    }

    /// Takes in a proof that another node has told of.
    pub fn note_told_proof(&self, sent_at: Timestamp, position: Position) {
        let proof = LeadershipProof { sent_at, position };
        self.lock().leading.record_reported_proof(proof);
        self.notify();
    }

    /// The newest proof that this node had itself.
    pub fn own_proof(&self) -> Option<LeadershipProof> {
        self.lock().leading.own_proof()
    }

    /// Takes in the position that a server has shown.
    pub fn note_shown(&self, server: &Server, position: Position, now: Timestamp) {
        let lag = self.lock().leading.proofs().replication_lag(position, now);
        server.health().shown = Some(ObservedPosition {
            position,
            observed_at: now,
            lag,
        });
    }

    /// Takes in that a server refused as one that does not lead.
    pub fn note_denial(&self, server: &Server, now: Timestamp) {
        let lost = self.lock().leading.record_refusal(&server.incarnation, now);
        if lost {
            log_event!(
                events::LEAD_LOST,
                group = self.name,
                server = server.incarnation
            );
        }
    }

    /// The position that a read must find; none while no proof is new enough.
    pub fn read_floor(&self, since: Timestamp, own: Option<SessionCommit>) -> Option<Position> {
        read_floor(self.lock().leading.proofs(), since, own)
    }

    /// Notes a node that reaches the lead while this one does not.
    pub fn set_relay(&self, relay: PeerNode, now: Timestamp) {
        self.lock().relay = Some((relay, now + RELAY_DURATION));
    }

    /// The node that reaches the lead while this one does not.
    pub fn relay(&self, now: Timestamp) -> Option<PeerNode> {
        let inner = self.lock();
        let (relay, until) = inner.relay.as_ref()?;
        (*until > now).then(|| relay.clone())
    }

    /// Takes in that this node runs units in the place of homes that it cannot reach.
    pub fn stand_in(&self, now: Timestamp) {
        self.lock().stands_in_until = now + STAND_IN_DURATION;
    }

    /// Whether this node has just run units in the place of homes that it cannot reach.
    pub fn stands_in(&self, now: Timestamp) -> bool {
        self.lock().stands_in_until > now
    }

    /// Notes whether this node is seeing to the group's primary.
    pub fn set_attended(&self, attended: bool) {
        self.lock().attended = attended;
    }

    /// Whether this node is seeing to the group's primary.
    pub fn is_attended(&self) -> bool {
        self.lock().attended
    }

    /// When the message of the newest proof left.
    pub fn proven_at(&self) -> Option<Timestamp> {
        let newest = self.lock().leading.proofs().newest();
        newest.map(|proof| proof.sent_at)
    }

    /// Whether a unit asks for a proof.
    pub fn is_proving(&self) -> bool {
        self.lock().proving
    }

    /// Takes the turn to ask for a proof; none while another unit asks.
    pub fn start_proving(&self) -> Option<Proving<'_>> {
        let mut inner = self.lock();
        if inner.proving {
            return None;
        }
        inner.proving = true;
        Some(Proving(self))
    }

    fn lock(&self) -> MutexGuard<'_, GroupInner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn lead_candidate(server: &Server, lead: Option<&Incarnation>) -> LeaderCandidate {
    let unresponsive = server.health().is_silent();
    let listing = server.listing();
    LeaderCandidate {
        proved: lead == Some(&server.incarnation),
        claims_leadership: listing.entry.role == ServerRole::Primary && !listing.gone,
        unresponsive,
        version: listing.version,
    }
}

/// An order that is under way; it has its answer when this is dropped.
pub struct OrderUnderWay<'a>(&'a Group);

impl Drop for OrderUnderWay<'_> {
    fn drop(&mut self) {
        self.0.lock().ordering = false;
    }
}

/// The turn to ask for a proof; ends when dropped.
pub struct Proving<'a>(&'a Group);

impl Drop for Proving<'_> {
    fn drop(&mut self) {
        self.0.lock().proving = false;
        self.0.notify();
    }
}
