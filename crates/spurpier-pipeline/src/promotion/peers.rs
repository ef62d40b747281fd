//! Requests to other nodes and answers to theirs, over UDP.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use spurpier_core::leader::{PrimaryObservation, Succession};
use spurpier_core::position::Position;
use spurpier_core::wire::Text;
use tokio::net::UdpSocket;
use tokio::sync::mpsc;
use tokio::time::{Instant, timeout_at};

use super::messages::{NamedSuccession, PeerMessage, decode_age, encode_age};
use super::requests::{Answers, Datagram, Origin, Requests};
use super::round::accept_succession;
use crate::context::Context;
use crate::group::Group;
use crate::unit::renew_proof;

/// The greatest datagram that is received. Reports of demand are cut to fit into it.
pub(super) const MAX_DATAGRAM_BYTES: usize = 1_200;
/// A leadership proof younger than this is reported without asking the leader again.
const MAX_FRESH_PROOF_AGE: Duration = Duration::from_millis(250);
/// How long a node that is asked for its observation may wait for the leader.
const PROOF_TIMEOUT: Duration = Duration::from_millis(300);
/// How long answers are awaited.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(420);
/// How often a request is sent again within that time, since datagrams may be lost.
const RESEND_INTERVAL: Duration = Duration::from_millis(140);
/// How long a connection attempt to a node that does not answer may take.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);

/// The connection to the other nodes.
pub struct Peers {
    context: Arc<Context>,
    socket: UdpSocket,
    requests: Requests,
    /// Names of groups for which other nodes request a decision.
    requested_groups: mpsc::Sender<String>,
}

impl Peers {
    /// Uses a bound socket. Groups for which other nodes request a decision go to
    /// `requested_groups`.
    pub fn new(
        context: Arc<Context>,
        socket: UdpSocket,
        requested_groups: mpsc::Sender<String>,
    ) -> Arc<Self> {
        Arc::new(Peers {
            context,
            socket,
            requests: Requests::new(),
            requested_groups,
        })
    }

    /// The state that this node's tasks share.
    pub(super) fn context(&self) -> &Context {
        &self.context
    }

    /// Receives and handles messages. Never returns.
    pub async fn receive(self: Arc<Self>) {
        let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
        loop {
            let Ok((length, from)) = self.socket.recv_from(&mut buffer).await else {
                // The error reports that an earlier datagram could not be delivered.
                tokio::task::yield_now().await;
                continue;
            };
            if let Ok(datagram) = Datagram::decode(&buffer[..length]) {
                self.handle(datagram, from).await;
            }
        }
    }

    async fn handle(self: &Arc<Self>, datagram: Datagram, from: SocketAddr) {
        let Datagram { message, origin } = datagram;
        match message {
            PeerMessage::AskPrimaryObservation { request_id, group } => {
                let peers = Arc::clone(self);
                let answer = async move {
                    let observation = peers.observe_primary(request_id, &group.0).await;
                    peers.answer(observation, origin, from).await;
                };
                tokio::spawn(answer);
            }
            PeerMessage::AskDecision {
                request_id,
                group,
                region,
            } => {
                if let Some(region) = region {
                    self.record_move_request(&group.0, region.0);
                }
                if self.context.can_hold_promotion_lease()
                    && self.requested_groups.try_send(group.0).is_ok()
                {
                    let answer = PeerMessage::Acknowledged { request_id };
                    self.answer(answer, origin, from).await;
                }
            }
            PeerMessage::AskLeaseRelease {
                request_id,
                group,
                succession,
                version,
                details,
            } => {
                let NamedSuccession { token, successor } = succession;
                let succession = Succession::from_parts(token, &successor, details);
                let group = self.context.group(&group.0);
                if accept_succession(&self.context, &group, &succession, version) {
                    let token = group.token();
                    let answer = PeerMessage::LeaseReleased { request_id, token };
                    self.answer(answer, origin, from).await;
                }
            }
            PeerMessage::Demand {
                request_id,
                group,
                demand,
            } => {
                if self.record_demand(&group.0, demand) {
                    let answer = PeerMessage::Acknowledged { request_id };
                    self.answer(answer, origin, from).await;
                }
            }
            PeerMessage::Ping { request_id } => {
                self.answer(PeerMessage::Pong { request_id }, origin, from)
                    .await;
            }
            PeerMessage::PrimaryObservation { request_id, .. }
            | PeerMessage::Acknowledged { request_id }
            | PeerMessage::LeaseReleased { request_id, .. }
            | PeerMessage::Pong { request_id } => {
                if !self
                    .requests
                    .accept(request_id, message, origin.as_ref(), from)
                {
                    self.context.metrics.count_unmatched_answer();
                }
            }
        }
    }

    /// This node's observation of a group's primary, as the answer to a request.
    async fn observe_primary(&self, request_id: u64, group: &str) -> PeerMessage {
        let group = self.context.group(group);
        let clock = &self.context.clock;
        let asked_at = clock.now();
        let fresh_since = asked_at.saturating_sub(MAX_FRESH_PROOF_AGE);
        let until = asked_at + PROOF_TIMEOUT;
        // If the leader gives no proof, the older one is reported.
        let _ = renew_proof(&self.context, &group, fresh_since, until).await;
        let now = clock.now();
        let proof = group.own_proof();
        let proof_age = proof.map(|proof| now.since(proof.sent_at));
        PeerMessage::PrimaryObservation {
            request_id,
            proof_age_ms: encode_age(proof_age),
            position: proof.map_or(Position::ZERO, |proof| proof.position),
        }
    }

    /// Answers a request with its own origin.
    async fn answer(&self, message: PeerMessage, origin: Option<Origin>, to: SocketAddr) {
        self.send(&Datagram { message, origin }.encode(), to).await;
    }

    async fn send(&self, datagram: &[u8], to: SocketAddr) {
        // A datagram that cannot be sent counts as lost.
        let _ = self.socket.send_to(datagram, to).await;
    }

    /// What the other homes of a group observe of its primary, and how many were asked.
    ///
    /// Records their proofs: a server that proved its leadership to one node leads for all. Relays
    /// to the primary go through the first home that observes it.
    pub async fn primary_observations(&self, group: &Group) -> (Vec<PrimaryObservation>, usize) {
        let homes = &self.context.homes_of(&group.name).others;
        let addresses: Vec<SocketAddr> = homes.iter().map(|home| home.address).collect();
        let request = |request_id| PeerMessage::AskPrimaryObservation {
            request_id,
            group: Text::from(&group.name),
        };
        let asked_at = self.context.clock.now();
        let answers = self.request(&group.name, request, &addresses).await;
        let mut primary_observations = Vec::new();
        let mut relay = None;
        for home in homes {
            let Some(PeerMessage::PrimaryObservation {
                proof_age_ms,
                position,
                ..
            }) = answers.get(&home.address)
            else {
                continue;
            };
            let last_proof_age = decode_age(*proof_age_ms);
            let observation = PrimaryObservation { last_proof_age };
            if let Some(age) = last_proof_age {
                // The answer was created after the request was sent, so this is not later than the
                // proof.
                group.record_reported_proof(asked_at.saturating_sub(age), *position);
            }
            if relay.is_none() && observation.observes_primary() {
                relay = Some(home.clone());
            }
            primary_observations.push(observation);
        }
        if let Some(relay) = relay {
            group.set_relay(relay, self.context.clock.now());
        }
        (primary_observations, addresses.len())
    }

    /// Asks the holder of the promotion lease for a decision on a group, whose primary is to move
    /// to `region` if one is given. Returns whether the holder has accepted the request.
    pub async fn ask_for_decision(
        &self,
        holder: &str,
        group: &str,
        region: Option<String>,
    ) -> bool {
        let address = self.context.homes.address(holder);
        let request = |request_id| PeerMessage::AskDecision {
            request_id,
            group: Text::from(group),
            region: region.map(Text),
        };
        match address {
            Some(address) => !self.request(group, request, &[address]).await.is_empty(),
            None => false,
        }
    }

    /// Whether all other nodes answer that may hold the leader lease of a group. For those that do
    /// not, connections are attempted in the background; a node that stays unreachable is removed
    /// from the list of nodes.
    pub async fn reaches_all_lease_holders(&self, group: &Group) -> bool {
        let clock = &self.context.clock;
        let holders = self.context.homes.lease_holders(&group.name, clock.now());
        let addresses: Vec<SocketAddr> = holders.iter().map(|holder| holder.address).collect();
        let request = |request_id| PeerMessage::Ping { request_id };
        let answers = self.request(&group.name, request, &addresses).await;
        for address in &addresses {
            if !answers.contains_key(address) {
                let (context, address) = (Arc::clone(&self.context), *address);
                tokio::spawn(async move {
                    let until = context.clock.now() + CONNECT_TIMEOUT;
                    context.links.link(address, &context.clock, until).await;
                });
            }
        }
        answers.len() == addresses.len()
    }

    /// Sends a request about a group again and again until all nodes have answered or the timeout has passed.
    pub async fn request(
        &self,
        group: &str,
        request: impl FnOnce(u64) -> PeerMessage,
        addresses: &[SocketAddr],
    ) -> HashMap<SocketAddr, PeerMessage> {
        let (started, mut receiver) = self.requests.start(group);
        let datagram = Datagram {
            message: request(started.id),
            origin: Some(started.origin.clone()),
        };
        let request = datagram.encode();
        let mut answers = HashMap::new();
        let end = Instant::now() + ANSWER_TIMEOUT;
        while answers.len() < addresses.len() && Instant::now() < end {
            for address in addresses {
                if !answers.contains_key(address) {
                    self.send(&request, *address).await;
                }
            }
            let round_end = end.min(Instant::now() + RESEND_INTERVAL);
            collect(&mut receiver, &mut answers, addresses.len(), round_end).await;
        }
        answers
    }
}

async fn collect(
    receiver: &mut Answers,
    answers: &mut HashMap<SocketAddr, PeerMessage>,
    expected: usize,
    end: Instant,
) {
    while answers.len() < expected {
        match timeout_at(end, receiver.recv()).await {
            Ok(Some((from, answer))) => {
                answers.insert(from, answer);
            }
            Ok(None) | Err(_) => return,
        }
    }
}
