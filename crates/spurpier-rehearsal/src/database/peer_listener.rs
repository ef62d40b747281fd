//! Answers the calls of the other servers of the group.

use std::sync::Arc;
use std::time::Instant;

use bytes::Bytes;
use futures::{SinkExt, StreamExt};
use nanoserde::{DeBin, SerBin};
use tokio::net::{TcpListener, TcpStream};

use super::election;
use super::peer_connection::framed;
use super::peer_message::{PeerAnswer, PeerEnvelope, PeerRequest};
use super::server_core::ServerCore;

/// Takes connections of other servers until the server shuts down.
pub(crate) async fn run(core: Arc<ServerCore>, listener: TcpListener) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            continue;
        };
        let shutdown = core.shutdown.clone();
        let connection = serve(Arc::clone(&core), stream);
        tokio::spawn(shutdown.run_until_cancelled_owned(connection));
    }
}

async fn serve(core: Arc<ServerCore>, stream: TcpStream) {
    let _ = stream.set_nodelay(true);
    let mut stream = framed(stream);
    while let Some(Ok(frame)) = stream.next().await {
        core.faults.thawed().await;
        let Ok(envelope) = PeerEnvelope::deserialize_bin(&frame) else {
            return;
        };
        if core.faults.is_cut(&envelope.from) {
            return;
        }
        let Some(answer) = answer(&core, envelope).await else {
            return;
        };
        core.faults.thawed().await;
        if stream
            .send(Bytes::from(answer.serialize_bin()))
            .await
            .is_err()
        {
            return;
        }
    }
}

/// The answer to a request; none where the connection is to be closed.
async fn answer(core: &Arc<ServerCore>, envelope: PeerEnvelope) -> Option<PeerAnswer> {
    let now = Instant::now();
    match envelope.request {
        PeerRequest::Vote(request) => {
            let answer = core.change(|consensus| consensus.handle_vote(&request, now))?;
            Some(PeerAnswer::Vote(answer))
        }
        PeerRequest::Append(request) => {
            let answer = core.change(|consensus| consensus.handle_append(request, now))?;
            Some(PeerAnswer::Append(answer))
        }
        PeerRequest::TakeOver(term) => {
            let asked_term = term + 1;
            tokio::spawn(election::campaign(Arc::clone(core), asked_term));
            Some(PeerAnswer::TakingOver)
        }
    }
}
