//! A group: its servers, which of them leads, and what is known of its log.

use std::collections::{BTreeMap, HashMap};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use spurpier_core::lead::{
    LeadCandidate, LeadEvidence, OwnCommit, Proof, Shown, Succession, choose_lead, read_floor,
};
use spurpier_core::position::Position;
use spurpier_core::time::Timestamp;
use tokio::sync::watch;

use crate::events;
use crate::homes::PeerNode;
use crate::ports::ServerRole;
use crate::server::Server;
use spurpier_events::log_event;

/// For how long a server that refused the lead is not asked again, unless its entry changes.
const DENIAL: Duration = Duration::from_millis(150);

/// For how long a node that reaches the lead is used in the place of this one.
const RELAY_USE: Duration = Duration::from_millis(900);
/// For how long a node that stood in for the homes looks after the group as they do.
const STAND_IN: Duration = Duration::from_secs(3);

#[derive(Debug, Default)]
struct GroupInner {
    servers: BTreeMap<String, Arc<Server>>,
    lead: Option<String>,
    /// The server that proved the lead last, also if it has lost it since.
    led_last: Option<String>,
    denied: HashMap<String, Timestamp>,
    evidence: LeadEvidence,
    /// The newest proof that this node had itself.
    own_proof: Option<Proof>,
    proving: bool,
    synchronous_replicas: usize,
    /// The newest decision on who leads.
    succession: Option<Succession>,
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
    pub fn server(&self, instance: &str) -> Option<Arc<Server>> {
        self.lock().servers.get(instance).map(Arc::clone)
    }

    /// Adds a server.
    pub fn add(&self, server: Arc<Server>) {
        let instance = server.instance.clone();
        self.lock().servers.insert(instance, server);
        self.notify();
    }

    /// Forgets a server.
    pub fn remove(&self, instance: &str) {
        let removed = self.lock().servers.remove(instance);
        if let Some(server) = removed {
            server.pool.close_idle();
        }
        self.notify();
    }

    /// Takes in that a server's entry changed: it may be asked for the lead again.
    pub fn note_entry(&self, instance: &str, role: ServerRole) {
        {
            let mut inner = self.lock();
            inner.denied.remove(instance);
            let led = inner.lead.as_deref() == Some(instance);
            if led && role == ServerRole::Replica {
                inner.lead = None;
            }
        }
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
        inner.servers.get(inner.lead.as_ref()?).map(Arc::clone)
    }

    /// Whether this server was the last one that proved the lead to this node.
    pub fn led_last(&self, instance: &str) -> bool {
        self.lock().led_last.as_deref() == Some(instance)
    }

    /// The server to ask for the lead next; none while all have just refused.
    ///
    /// [`choose_lead`] chooses among those that have not just refused. A server that leaves may lead for `leaving_use` at most.
    pub fn lead_candidate(&self, now: Timestamp, leaving_use: Duration) -> Option<Arc<Server>> {
        let inner = self.lock();
        let may_lead = |server: &&Arc<Server>| {
            if !inner.is_successor(&server.instance) {
                return false;
            }
            let denied = inner.denied.get(&server.instance);
            let is_denied = denied.is_some_and(|until| *until > now);
            let leaving_for = server.leaving_for(now).unwrap_or_default();
            !is_denied && leaving_for < leaving_use
        };
        let servers: Vec<&Arc<Server>> = inner.servers.values().filter(may_lead).collect();
        let candidates: Vec<LeadCandidate> = servers
            .iter()
            .map(|server| lead_candidate(server, inner.lead.as_deref()))
            .collect();
        choose_lead(&candidates).map(|index| Arc::clone(servers[index]))
    }

    /// The token of the newest succession; 0 if there was none.
    pub fn token(&self) -> u64 {
        self.lock().token()
    }

    /// Whether the newest succession, if there is one, names this server.
    pub fn is_successor(&self, instance: &str) -> bool {
        self.lock().is_successor(instance)
    }

    /// Takes in that a server takes over: from now on no other is used as the lead. Tells whether
    /// that is new.
    pub fn take_succession(&self, succession: &Succession) -> bool {
        {
            let mut inner = self.lock();
            if succession.token <= inner.token() {
                return false;
            }
            inner.succession = Some(succession.clone());
            inner.denied.remove(&succession.successor);
            if inner.lead.as_deref() != Some(succession.successor.as_str()) {
                inner.lead = None;
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

    /// Takes in that a server accepted a message which only the lead accepts.
    pub fn note_proof(&self, server: &Server, sent_at: Timestamp, position: Option<Position>) {
        let position = position.unwrap_or(Position::ZERO);
        let is_new = {
            let mut inner = self.lock();
            let proof = Proof { sent_at, position };
            inner.evidence.record(proof);
            let is_newest = inner.own_proof.is_none_or(|known| known.sent_at <= sent_at);
            if is_newest {
                inner.own_proof = Some(proof);
            }
            inner.denied.remove(&server.instance);
            inner.relay = None;
            let is_new = inner.lead.as_deref() != Some(server.instance.as_str());
            if is_new {
                inner.lead = Some(server.instance.clone());
                inner.led_last = Some(server.instance.clone());
            }
            is_new
        };
        if is_new {
            log_event!(
                events::LEAD_FOUND,
                group = self.name,
                server = server.instance,
                position = position
            );
        }
        self.notify();
    }

    /// Takes in a proof that another node has told of.
    pub fn note_told_proof(&self, sent_at: Timestamp, position: Position) {
        self.lock().evidence.record(Proof { sent_at, position });
        self.notify();
    }

    /// The newest proof that this node had itself.
    pub fn own_proof(&self) -> Option<Proof> {
        self.lock().own_proof
    }

    /// Takes in the position that a server has shown.
    pub fn note_shown(&self, server: &Server, position: Position, now: Timestamp) {
        let lag = self.lock().evidence.lag_behind(position, now);
        server.health().shown = Some(Shown {
            position,
            at: now,
            lag,
        });
    }

    /// Takes in that a server refused as one that does not lead.
    pub fn note_denial(&self, server: &Server, now: Timestamp) {
        let lost = {
            let mut inner = self.lock();
            inner.denied.insert(server.instance.clone(), now + DENIAL);
            let lost = inner.lead.as_deref() == Some(server.instance.as_str());
            if lost {
                inner.lead = None;
            }
            lost
        };
        if lost {
            log_event!(
                events::LEAD_LOST,
                group = self.name,
                server = server.instance
            );
        }
    }

    /// The position that a read must find; none while no proof is new enough.
    pub fn read_floor(&self, since: Timestamp, own: Option<OwnCommit>) -> Option<Position> {
        read_floor(&self.lock().evidence, since, own)
    }

    /// Notes a node that reaches the lead while this one does not.
    pub fn set_relay(&self, relay: PeerNode, now: Timestamp) {
        self.lock().relay = Some((relay, now + RELAY_USE));
    }

    /// The node that reaches the lead while this one does not.
    pub fn relay(&self, now: Timestamp) -> Option<PeerNode> {
        let inner = self.lock();
        let (relay, until) = inner.relay.as_ref()?;
        (*until > now).then(|| relay.clone())
    }

    /// Takes in that this node runs units in the place of homes that it cannot reach.
    pub fn stand_in(&self, now: Timestamp) {
        self.lock().stands_in_until = now + STAND_IN;
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
        self.lock().evidence.newest().map(|proof| proof.sent_at)
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

fn lead_candidate(server: &Server, lead: Option<&str>) -> LeadCandidate {
    let silent = server.health().is_silent();
    let listing = server.listing();
    LeadCandidate {
        proved: lead == Some(server.instance.as_str()),
        claims: listing.entry.role == ServerRole::Primary && !listing.gone,
        silent,
        version: listing.version,
    }
}

impl GroupInner {
    fn token(&self) -> u64 {
        self.succession.as_ref().map_or(0, |newest| newest.token)
    }

    fn is_successor(&self, instance: &str) -> bool {
        let newest = self.succession.as_ref();
        newest.is_none_or(|newest| newest.successor == instance)
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
