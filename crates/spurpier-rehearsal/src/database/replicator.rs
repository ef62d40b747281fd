//! Sends the primary's records to the other servers, one task for each.

use std::sync::Arc;
use std::time::Instant;

use tokio::time::timeout;
use tokio_util::sync::CancellationToken;

use super::config::PeerAddress;
use super::peer_connection::PeerConnection;
use super::peer_message::{AppendAnswer, AppendRequest, PeerAnswer, PeerRequest};
use super::server_core::ServerCore;

/// How many heartbeats fall into one election timeout.
const HEARTBEATS_PER_TIMEOUT: u32 = 5;

/// Keeps one sending task for each of the other servers, also when their addresses change.
pub(crate) async fn run(core: Arc<ServerCore>) {
    let mut peers = core.peers.subscribe();
    loop {
        let generation = CancellationToken::new();
        let _stop_on_drop = generation.clone().drop_guard();
        let addresses = peers.borrow_and_update().clone();
        for peer in addresses {
            let sender = Sender::new(Arc::clone(&core), peer);
            tokio::spawn(generation.clone().run_until_cancelled_owned(sender.run()));
        }
        if peers.changed().await.is_err() {
            return;
        }
    }
}

/// Sends records to one server while this one is primary.
struct Sender {
    core: Arc<ServerCore>,
    peer: PeerAddress,
    connection: Option<PeerConnection>,
    /// The term in which `matched` was learnt.
    term: u64,
    /// Up to where the other log is thought to agree with this one.
    matched: u64,
}

impl Sender {
    fn new(core: Arc<ServerCore>, peer: PeerAddress) -> Self {
        Sender {
            core,
            peer,
            connection: None,
            term: 0,
            matched: 0,
        }
    }

    async fn run(mut self) {
        loop {
            self.core.faults.thawed().await;
            self.core
                .wait_until(|consensus| consensus.primary().is_some())
                .await;
            let mut changes = self.core.subscribe();
            let Some(request) = self.next_request() else {
                continue;
            };
            let sent = request.previous.offset + request.records.len() as u64;
            let answered = self.send(request).await;
            let up_to_date = self.matched >= sent && self.matched >= self.last_offset();
            if !answered || up_to_date {
                let heartbeat = self.core.config.election_timeout / HEARTBEATS_PER_TIMEOUT;
                let _ = timeout(heartbeat, self.wait_for_records(&mut changes, answered)).await;
            }
        }
    }

    /// Waits until the log has grown; without an answer to the last request, for ever.
    async fn wait_for_records(
        &self,
        changes: &mut tokio::sync::watch::Receiver<u64>,
        answered: bool,
    ) {
        if !answered {
            return std::future::pending().await;
        }
        while self.last_offset() <= self.matched {
            if changes.changed().await.is_err() {
                return;
            }
        }
    }

    fn last_offset(&self) -> u64 {
        self.core.consensus().log().last().offset
    }

    fn next_request(&mut self) -> Option<AppendRequest> {
        let consensus = self.core.consensus();
        if consensus.term() != self.term {
            self.term = consensus.term();
            // The record before the term's first one is where the logs most likely agree.
            self.matched = consensus.log().last().offset.saturating_sub(1);
        }
        consensus.append_request(self.matched)
    }

    /// Sends a request; false if no answer came.
    async fn send(&mut self, request: AppendRequest) -> bool {
        if self.core.faults.is_cut(&self.peer.name) {
            self.connection = None;
            return false;
        }
        let Some(answer) = self.call(request).await else {
            self.connection = None;
            return false;
        };
        self.core.faults.thawed().await;
        self.take_answer(answer);
        true
    }

    async fn call(&mut self, request: AppendRequest) -> Option<AppendAnswer> {
        let patience = self.core.config.election_timeout;
        if self.connection.is_none() {
            let connected = PeerConnection::connect(self.peer.address, patience).await;
            self.connection = connected.ok();
        }
        let connection = self.connection.as_mut()?;
        let request = PeerRequest::Append(request);
        let answer = connection.call(&self.core.config.name, request).await;
        match answer.ok()? {
            PeerAnswer::Append(answer) => Some(answer),
            PeerAnswer::Vote(_) | PeerAnswer::TakingOver => None,
        }
    }

    fn take_answer(&mut self, answer: AppendAnswer) {
        let now = Instant::now();
        self.matched = answer.matched;
        self.core.change(|consensus| {
            if !consensus.observe_term(answer.term, now) && answer.accepted {
                consensus.note_matched(&self.peer.name, self.term, answer.matched);
            }
        });
    }
}
