//! Starts elections when the primary has been silent for too long.

use std::sync::Arc;
use std::time::{Duration, Instant};

use futures::StreamExt;
use futures::stream::FuturesUnordered;

use super::config::PeerAddress;
use super::peer_connection::PeerConnection;
use super::peer_message::{PeerAnswer, PeerRequest, VoteAnswer, VoteRequest};
use super::server_core::ServerCore;

/// How often the server looks whether an election is due.
const CHECK_INTERVAL: Duration = Duration::from_millis(5);

/// Watches the primary until the server shuts down.
pub(crate) async fn run(core: Arc<ServerCore>) {
    loop {
        tokio::time::sleep(CHECK_INTERVAL).await;
        core.faults.thawed().await;
        let due = core.consensus().election_due(Instant::now());
        if due && !core.is_leaving() {
            stand_for_election(&core).await;
        }
    }
}

/// Asks whether a majority would vote for this server, and if so holds the election.
async fn stand_for_election(core: &Arc<ServerCore>) {
    let request = core.consensus().pre_vote_request();
    let asked_term = request.term;
    core.consensus().reset_deadline(Instant::now());
    if collect_votes(core, request).await {
        campaign(Arc::clone(core), asked_term).await;
    }
}

/// Holds the election of `asked_term`, without asking first.
pub(crate) async fn campaign(core: Arc<ServerCore>, asked_term: u64) {
    let request = core.change(|consensus| consensus.start_election(asked_term, Instant::now()));
    let Some(request) = request else {
        return;
    };
    if collect_votes(&core, request).await {
        core.change(|consensus| consensus.become_primary(asked_term, Instant::now()));
    }
}

/// Whether a majority votes for the request, this server's own vote included.
async fn collect_votes(core: &ServerCore, request: VoteRequest) -> bool {
    let peers = core.peers.borrow().clone();
    let calls = peers.iter().map(|peer| ask(core, peer, request.clone()));
    let mut answers: FuturesUnordered<_> = calls.collect();
    let mut votes = 1;
    while !core.consensus().is_majority(votes) {
        let Some(answer) = answers.next().await else {
            return false;
        };
        let Some(answer) = answer else {
            continue;
        };
        core.faults.thawed().await;
        if !request.pre_vote || answer.term >= request.term {
            core.change(|consensus| consensus.observe_term(answer.term, Instant::now()));
        }
        votes += usize::from(answer.granted);
    }
    true
}

async fn ask(core: &ServerCore, peer: &PeerAddress, request: VoteRequest) -> Option<VoteAnswer> {
    if core.faults.is_cut(&peer.name) {
        return None;
    }
    let patience = core.config.election_timeout;
    let connection = PeerConnection::connect(peer.address, patience).await;
    let call = connection
        .ok()?
        .call(&core.config.name, PeerRequest::Vote(request))
        .await
        .ok();
    match call? {
        PeerAnswer::Vote(answer) => Some(answer),
        PeerAnswer::Append(_) | PeerAnswer::TakingOver => None,
    }
}
