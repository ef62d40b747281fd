//! A group: its servers, its leader, and the known positions of its log.

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

/// How long a node that reaches the leader is used as a relay.
const RELAY_DURATION: Duration = Duration::from_millis(900);
/// How long a node that ran units in place of the homes keeps handling the group as a home does.
const SUBSTITUTE_HOME_DURATION: Duration = Duration::from_secs(3);

#[derive(Debug, Default)]
struct GroupInner {
    servers: BTreeMap<Incarnation, Arc<Server>>,
    leading: LeaderView,
    proving: bool,
    synchronous_replicas: usize,
    /// Token of the newest succession for which this node was asked to release its leader lease.
    release_request_token: u64,
    /// Whether a promotion sent by this node is in progress.
    promoting: bool,
    /// A node that reaches the leader while this one does not, and until when it is used.
    relay: Option<(PeerNode, Timestamp)>,
    /// Until when this node, which is not a home, substitutes for homes that it cannot reach.
    substitute_home_until: Timestamp,
    /// Whether this node monitors the group's primary.
    monitored: bool,
}

/// This node's view of one group.
#[derive(Debug)]
pub struct Group {
    /// Name of the group.
    pub name: String,
    inner: Mutex<GroupInner>,
    changed: watch::Sender<u64>,
}

impl Group {
    /// Creates a group without servers.
    pub fn new(name: &str) -> Self {
        Group {
            name: name.to_owned(),
            inner: Mutex::default(),
            changed: watch::Sender::new(0),
        }
    }

    /// A receiver that is notified of every change of the group.
    pub fn changes(&self) -> watch::Receiver<u64> {
        self.changed.subscribe()
    }

    fn notify(&self) {
        self.changed.send_modify(|version| *version += 1);
    }

    /// All servers, including those that are leaving, ordered by name.
    pub fn servers(&self) -> Vec<Arc<Server>> {
        self.lock().servers.values().map(Arc::clone).collect()
    }

    /// The server of this incarnation, if it is known.
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

    /// Removes a server whose incarnation has ended, or that left long ago, and retires its pool.
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

    /// Removes all other known incarnations of a server.
    pub fn remove_other_incarnations(&self, present: &Incarnation) {
        let others = self.lock().leading.other_incarnations_of(present);
        for other in &others {
            self.remove(other);
        }
    }

    /// Records that a server's entry changed: it may again be asked whether it leads.
    pub fn record_entry_change(&self, incarnation: &Incarnation, role: ServerRole) {
        let claims_lead = role == ServerRole::Primary;
        self.lock()
            .leading
            .record_entry_change(incarnation, claims_lead);
        self.notify();
    }

    /// Number of replicas that must have received a commit before it is acknowledged.
    pub fn synchronous_replicas(&self) -> usize {
        self.lock().synchronous_replicas
    }

    /// Sets the number of replicas that must have received a commit.
    pub fn set_synchronous_replicas(&self, count: usize) {
        self.lock().synchronous_replicas = count;
    }

    /// The server that last proved to be the leader, unless it has lost the role since.
    pub fn leader(&self) -> Option<Arc<Server>> {
        let inner = self.lock();
        inner.servers.get(inner.leading.leader()?).map(Arc::clone)
    }

    /// Whether this server was the last one that proved to this node to be the leader.
    pub fn was_last_leader(&self, incarnation: &Incarnation) -> bool {
        self.lock().leading.was_last_leader(incarnation)
    }

    /// The server to ask next whether it leads; `None` while all have recently refused.
    ///
    /// [`choose_leader_candidate`] selects among those that have not recently refused. A leaving
    /// server is a candidate for at most `leaving_use`.
    pub fn leader_candidate(&self, now: Timestamp, leaving_use: Duration) -> Option<Arc<Server>> {
        let inner = self.lock();
        let may_be_leader = |server: &&Arc<Server>| {
            let leaving_for = server.leaving_for(now).unwrap_or_default();
            inner.leading.is_leader_candidate(&server.incarnation, now) && leaving_for < leaving_use
        };
        let servers: Vec<&Arc<Server>> = inner.servers.values().filter(may_be_leader).collect();
        let candidates: Vec<LeaderCandidate> = servers
            .iter()
            .map(|server| leader_candidate(server, inner.leading.leader()))
            .collect();
        choose_leader_candidate(&candidates).map(|index| Arc::clone(servers[index]))
    }

    /// The newest succession; `None` if there was none.
    pub fn succession(&self) -> Option<Succession> {
        self.lock().leading.succession().cloned()
    }

    /// The token of the newest succession; 0 if there was none.
    pub fn token(&self) -> u64 {
        self.lock().leading.token()
    }

    /// Whether there is no succession, or the newest one names this server.
    pub fn is_successor(&self, incarnation: &Incarnation) -> bool {
        self.lock().leading.is_successor(incarnation)
    }

    /// Whether a server is another incarnation of the one that the newest succession names. It is
    /// not the successor, but may hold everything that the earlier incarnation held.
    pub fn is_restarted_successor(&self, incarnation: &Incarnation) -> bool {
        self.lock().leading.is_restarted_successor(incarnation)
    }

    /// Whether a server's position is behind the one that it reported as the leader.
    pub fn has_lost_log(&self, server: &Server, position: Position) -> bool {
        let inner = self.lock();
        inner.leading.has_lost_log(&server.incarnation, position)
    }

    /// Records that a server takes over: from now on no other is used as the leader. Returns
    /// whether the succession was unknown.
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

    /// Records that a deciding node has asked this one to release its leader lease.
    pub fn record_release_request(&self, token: u64) {
        let mut inner = self.lock();
        inner.release_request_token = inner.release_request_token.max(token);
    }

    /// Token of the newest succession for which this node was asked to release its leader lease.
    pub fn release_request_token(&self) -> u64 {
        self.lock().release_request_token
    }

    /// Whether a promotion sent by this node is in progress. Until it is answered, this node must
    /// not release its leader lease for another decision.
    pub fn is_promoting(&self) -> bool {
        self.lock().promoting
    }

    /// Marks a promotion as in progress until the returned guard is dropped.
    pub fn start_promoting(&self) -> PromotionInProgress<'_> {
        self.lock().promoting = true;
        PromotionInProgress(self)
    }

    /// Records that a server accepted a message that only the leader accepts; `now` is the time of
    /// its answer.
    ///
    /// # Errors
    ///
    /// [`ProofError`] if the answer proves nothing about the group's log.
    pub fn record_proof(
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
                events::LEADER_FOUND,
                group = self.name,
                server = server.incarnation,
                position = proof.position
            );
        }
        self.notify();
        Ok(())
    }

    /// Checks the log position reported by a server that is assumed to be the leader.
    ///
    /// # Errors
    ///
    /// [`ProofError`] if it cannot be the known leader.
    pub fn check_position(
        &self,
        server: &Server,
        shown: LeadershipProof,
    ) -> Result<(), ProofError> {
        self.lock()
            .leading
            .check_position(&server.incarnation, shown)
    }

    /// Records a leadership proof reported by another node.
    pub fn record_reported_proof(&self, sent_at: Timestamp, position: Position) {
        let proof = LeadershipProof { sent_at, position };
        self.lock().leading.record_reported_proof(proof);
        self.notify();
    }

    /// The newest leadership proof that this node obtained itself.
    pub fn own_proof(&self) -> Option<LeadershipProof> {
        self.lock().leading.own_proof()
    }

    /// Records the position that a server has reported.
    pub fn record_position(&self, server: &Server, position: Position, now: Timestamp) {
        let lag = self.lock().leading.proofs().replication_lag(position, now);
        server.health().observed = Some(ObservedPosition {
            position,
            observed_at: now,
            lag,
        });
    }

    /// Records that a server refused a message because it is not the leader.
    pub fn record_refusal(&self, server: &Server, now: Timestamp) {
        let lost = self.lock().leading.record_refusal(&server.incarnation, now);
        if lost {
            log_event!(
                events::LEADER_LOST,
                group = self.name,
                server = server.incarnation
            );
        }
    }

    /// The position that a read must reflect; `None` while no proof is recent enough.
    pub fn read_floor(&self, since: Timestamp, own: Option<SessionCommit>) -> Option<Position> {
        read_floor(self.lock().leading.proofs(), since, own)
    }

    /// Records a node that reaches the leader while this one does not.
    pub fn set_relay(&self, relay: PeerNode, now: Timestamp) {
        self.lock().relay = Some((relay, now + RELAY_DURATION));
    }

    /// The node that reaches the leader while this one does not.
    pub fn relay(&self, now: Timestamp) -> Option<PeerNode> {
        let inner = self.lock();
        let (relay, until) = inner.relay.as_ref()?;
        (*until > now).then(|| relay.clone())
    }

    /// Records that this node runs units in place of homes that it cannot reach.
    pub fn record_substitution(&self, now: Timestamp) {
        self.lock().substitute_home_until = now + SUBSTITUTE_HOME_DURATION;
    }

    /// Whether this node recently ran units in place of homes that it cannot reach.
    pub fn is_substitute_home(&self, now: Timestamp) -> bool {
        self.lock().substitute_home_until > now
    }

    /// Sets whether this node monitors the group's primary.
    pub fn set_monitored(&self, monitored: bool) {
        self.lock().monitored = monitored;
    }

    /// Whether this node monitors the group's primary.
    pub fn is_monitored(&self) -> bool {
        self.lock().monitored
    }

    /// When the message that led to the newest proof was sent.
    pub fn proven_at(&self) -> Option<Timestamp> {
        let newest = self.lock().leading.proofs().newest();
        newest.map(|proof| proof.sent_at)
    }

    /// Whether a unit is requesting a leadership proof.
    pub fn is_proving(&self) -> bool {
        self.lock().proving
    }

    /// Acquires the right to request a leadership proof; `None` while another unit requests one.
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

fn leader_candidate(server: &Server, lead: Option<&Incarnation>) -> LeaderCandidate {
    let unresponsive = server.health().is_unresponsive();
    let listing = server.listing();
    LeaderCandidate {
        proved: lead == Some(&server.incarnation),
        claims_leadership: listing.entry.role == ServerRole::Primary && !listing.gone,
        unresponsive,
        version: listing.version,
    }
}

/// Guard of a promotion in progress; dropped when the promotion is answered.
pub struct PromotionInProgress<'a>(&'a Group);

impl Drop for PromotionInProgress<'_> {
    fn drop(&mut self) {
        self.0.lock().promoting = false;
    }
}

/// Guard of the right to request a leadership proof; released on drop.
pub struct Proving<'a>(&'a Group);

impl Drop for Proving<'_> {
    fn drop(&mut self) {
        self.0.lock().proving = false;
        self.0.notify();
    }
}
