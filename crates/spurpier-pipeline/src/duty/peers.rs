//! Questions to other nodes and the answers to theirs, over UDP.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use nanoserde::{DeBin, SerBin};
use spurpier_core::leader::{PrimaryObservation, Succession};
use spurpier_core::position::Position;
use tokio::net::UdpSocket;
use tokio::sync::mpsc;
use tokio::time::{Instant, timeout_at};

use super::messages::{NamedSuccession, PeerMessage, decode_ago, encode_ago};
use super::round::yield_to;
use crate::context::Context;
use crate::group::Group;
use crate::unit::renew_proof;

/// The greatest datagram that is taken, in bytes.
pub(super) const MAX_DATAGRAM: usize = 1_200;
/// A proof younger than this is told without asking the lead again.
const FRESH_PROOF: Duration = Duration::from_millis(250);
/// How long a node that is asked may ask the lead.
const PROVING_LIMIT: Duration = Duration::from_millis(300);
/// How long answers are awaited.
const ANSWER_LIMIT: Duration = Duration::from_millis(420);
/// How often a question is sent within that time: datagrams are lost now and then.
const ASK_AGAIN: Duration = Duration::from_millis(140);
/// How long connecting to a node that does not answer may take.
const CONNECT_LIMIT: Duration = Duration::from_millis(300);
/// Answers of one question that may wait to be read.
const ANSWER_CAPACITY: usize = 1_024;

type Answers = mpsc::Receiver<(SocketAddr, PeerMessage)>;

/// The way to the other nodes.
pub struct Peers {
    context: Arc<Context>,
    socket: UdpSocket,
    next_number: AtomicU64,
    awaited: Mutex<HashMap<u64, mpsc::Sender<(SocketAddr, PeerMessage)>>>,
    /// Groups that other nodes want this node to see to.
    wanted: mpsc::Sender<String>,
}

impl Peers {
    /// Speaks over a bound socket; groups that others want seen to go to `wanted`.
    pub fn new(
        context: Arc<Context>,
        socket: UdpSocket,
        wanted: mpsc::Sender<String>,
    ) -> Arc<Self> {
        Arc::new(Peers {
            context,
            socket,
            next_number: AtomicU64::new(1),
            awaited: Mutex::default(),
            wanted,
        })
    }

    /// What this node's tasks share.
    pub(super) fn context(&self) -> &Context {
        &self.context
    }

    /// Takes messages; never returns.
    pub async fn receive(self: Arc<Self>) {
        let mut buffer = vec![0; MAX_DATAGRAM];
        loop {
            let Ok((length, from)) = self.socket.recv_from(&mut buffer).await else {
                // The socket tells that an earlier datagram could not be delivered.
                tokio::task::yield_now().await;
                continue;
            };
            if let Ok(message) = PeerMessage::deserialize_bin(&buffer[..length]) {
                self.take(message, from).await;
            }
        }
    }

    async fn take(self: &Arc<Self>, message: PeerMessage, from: SocketAddr) {
        match message {
            PeerMessage::AskSight { number, group } => {
                tokio::spawn(Arc::clone(self).answer_sight(number, group, from));
            }
            PeerMessage::Wanted {
                number,
                group,
                region,
            } => {
                if let Some(region) = region {
                    self.note_wish(&group, region);
                }
                if self.context.can_hold_duty() && self.wanted.try_send(group).is_ok() {
                    self.send(&PeerMessage::Heard { number }, from).await;
                }
            }
            PeerMessage::AskYield {
                number,
                group,
                succession,
                version,
                details,
            } => {
                let NamedSuccession { token, successor } = succession;
                let succession = Succession::from_parts(token, &successor, details);
                let group = self.context.group(&group);
                if yield_to(&self.context, &group, &succession, version) {
                    let token = group.token();
                    self.send(&PeerMessage::Yielded { number, token }, from)
                        .await;
                }
            }
            PeerMessage::Demand {
                number,
                group,
                demand,
            } => {
                if self.take_demand(&group, demand) {
                    self.send(&PeerMessage::Heard { number }, from).await;
                }
            }
            PeerMessage::AskPresence { number } => {
                self.send(&PeerMessage::Present { number }, from).await;
            }
            PeerMessage::Sight { number, .. }
            | PeerMessage::Heard { number }
            | PeerMessage::Yielded { number, .. }
            | PeerMessage::Present { number } => {
                let awaited = self.awaited.lock().unwrap_or_else(PoisonError::into_inner);
                if let Some(sender) = awaited.get(&number) {
                    // An answer beyond the capacity is a repeated one.
                    let _ = sender.try_send((from, message));
                }
            }
        }
    }

    async fn answer_sight(self: Arc<Self>, number: u64, group: String, from: SocketAddr) {
        let group = self.context.group(&group);
        let clock = &self.context.clock;
        let asked_at = clock.now();
        let fresh_since = asked_at.saturating_sub(FRESH_PROOF);
        let until = asked_at + PROVING_LIMIT;
        // Without a proof the older one is told.
        let _ = renew_proof(&self.context, &group, fresh_since, until).await;
        let now = clock.now();
        let proof = group.own_proof();
        let proven_ago = proof.map(|proof| now.since(proof.sent_at));
        let answer = PeerMessage::Sight {
            number,
            proven_ago_ms: encode_ago(proven_ago),
            position: proof.map_or(Position::ZERO, |proof| proof.position),
        };
        self.send(&answer, from).await;
    }

    async fn send(&self, message: &PeerMessage, to: SocketAddr) {
        // A datagram that cannot be sent is as good as a lost one.
        let _ = self.socket.send_to(&message.serialize_bin(), to).await;
    }

    /// What the other homes of a group see of its primary, and how many were asked.
    ///
    /// Their proofs are taken in: what proved the lead to one node holds for all. A home that sees
    /// the primary becomes this node's way to it.
    pub async fn sights(&self, group: &Group) -> (Vec<PrimaryObservation>, usize) {
        let homes = &self.context.homes_of(&group.name).others;
        let addresses: Vec<SocketAddr> = homes.iter().map(|home| home.address).collect();
        let question = |number| PeerMessage::AskSight {
            number,
            group: group.name.clone(),
        };
        let asked_at = self.context.clock.now();
        let answers = self.ask(question, &addresses).await;
        let mut sights = Vec::new();
        let mut relay = None;
        for home in homes {
            let Some(PeerMessage::Sight {
                proven_ago_ms,
                position,
                ..
            }) = answers.get(&home.address)
            else {
                continue;
            };
            let last_proof_age = decode_ago(*proven_ago_ms);
            let observation = PrimaryObservation { last_proof_age };
            if let Some(ago) = last_proof_age {
                // The answer was given after the question was sent.
                group.note_told_proof(asked_at.saturating_sub(ago), *position);
            }
            if relay.is_none() && observation.observes_primary() {
                relay = Some(home.clone());
            }
            sights.push(observation);
        }
        if let Some(relay) = relay {
            group.set_relay(relay, self.context.clock.now());
        }
        (sights, addresses.len())
    }

    /// Whether the holder of the duty answers that it sees to a group, whose primary is to move to
    /// a region if one is given.
    pub async fn tell_holder(&self, holder: &str, group: &str, region: Option<String>) -> bool {
        let address = self.context.homes.address(holder);
        let question = |number| PeerMessage::Wanted {
            number,
            group: group.to_owned(),
            region,
        };
        match address {
            Some(address) => !self.ask(question, &[address]).await.is_empty(),
            None => false,
        }
    }

    /// Whether all other nodes answer that may hold the lease of a group's primary. Those that do not are tried on, and taken
    /// off the list in the end.
    pub async fn reaches_all(&self, group: &Group) -> bool {
        let clock = &self.context.clock;
        let users = self.context.homes.lease_holders(&group.name, clock.now());
        let addresses: Vec<SocketAddr> = users.iter().map(|user| user.address).collect();
        let question = |number| PeerMessage::AskPresence { number };
        let answers = self.ask(question, &addresses).await;
        for address in &addresses {
            if !answers.contains_key(address) {
                let (context, address) = (Arc::clone(&self.context), *address);
                tokio::spawn(async move {
                    let until = context.clock.now() + CONNECT_LIMIT;
                    context.links.link(address, &context.clock, until).await;
                });
            }
        }
        answers.len() == addresses.len()
    }

    /// Sends a question until all have answered or the time is over.
    pub async fn ask(
        &self,
        question: impl FnOnce(u64) -> PeerMessage,
        addresses: &[SocketAddr],
    ) -> HashMap<SocketAddr, PeerMessage> {
        let number = self.next_number.fetch_add(1, Ordering::Relaxed);
        let question = question(number);
        let (sender, mut receiver) = mpsc::channel(ANSWER_CAPACITY);
        let _awaited = Awaited::new(self, number, sender);
        let mut answers = HashMap::new();
        let end = Instant::now() + ANSWER_LIMIT;
        while answers.len() < addresses.len() && Instant::now() < end {
            for address in addresses {
                if !answers.contains_key(address) {
                    self.send(&question, *address).await;
                }
            }
            let round_end = end.min(Instant::now() + ASK_AGAIN);
            collect(&mut receiver, &mut answers, addresses.len(), round_end).await;
        }
        answers
    }
}

async fn collect(
    receiver: &mut Answers,
    answers: &mut HashMap<SocketAddr, PeerMessage>,
    wanted: usize,
    end: Instant,
) {
    while answers.len() < wanted {
        match timeout_at(end, receiver.recv()).await {
            Ok(Some((from, answer))) => {
                answers.insert(from, answer);
            }
            Ok(None) | Err(_) => return,
        }
    }
}

/// A question whose answers are awaited; forgotten when dropped.
struct Awaited<'a> {
    peers: &'a Peers,
    number: u64,
}

impl<'a> Awaited<'a> {
    fn new(peers: &'a Peers, number: u64, sender: mpsc::Sender<(SocketAddr, PeerMessage)>) -> Self {
        let awaited = &peers.awaited;
        let mut awaited = awaited.lock().unwrap_or_else(PoisonError::into_inner);
        awaited.insert(number, sender);
        Awaited { peers, number }
    }
}

impl Drop for Awaited<'_> {
    fn drop(&mut self) {
        let awaited = &self.peers.awaited;
        let mut awaited = awaited.lock().unwrap_or_else(PoisonError::into_inner);
        awaited.remove(&self.number);
    }
}
