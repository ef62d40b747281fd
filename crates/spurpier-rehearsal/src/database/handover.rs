//! The planned hand-over from a primary to another server of its group.

use std::fmt;
use std::sync::Arc;
use std::time::Duration;

use spurpier_core::identity::ServerName;
use tokio::time::timeout;

use super::consensus::Consensus;
use super::peer_connection::PeerConnection;
use super::peer_message::PeerRequest;
use super::server_core::ServerCore;

/// For how long open write transactions and the other server's catching up are waited for.
const PATIENCE: Duration = Duration::from_secs(5);

/// Why a hand-over did not happen.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum HandoverError {
    /// The server is not the primary.
    NotPrimary,
    /// A hand-over is under way already.
    UnderWay,
    /// The group has no other server of that name.
    UnknownServer,
    /// Write transactions did not end in time.
    Busy,
    /// The other server did not catch up in time.
    Behind,
    /// The other server did not become primary in time.
    NotTakenOver,
    /// Yet another server has become primary.
    AnotherTookOver,
}

impl fmt::Display for HandoverError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            HandoverError::NotPrimary => "the server is not the primary",
            HandoverError::UnderWay => "a hand-over is under way already",
            HandoverError::UnknownServer => "the group has no such server",
            HandoverError::Busy => "write transactions did not end in time",
            HandoverError::Behind => "the other server did not catch up in time",
            HandoverError::AnotherTookOver => "another server has become primary instead",
            HandoverError::NotTakenOver => "the other server did not take over in time",
        })
    }
}

/// Takes new write transactions again if the hand-over fails.
struct HandingOver {
    core: Arc<ServerCore>,
}

impl HandingOver {
    fn start(core: Arc<ServerCore>) -> Result<Self, HandoverError> {
        core.change(|consensus| {
            let promoted = consensus.is_promoted();
            let primary = consensus.primary_mut().filter(|_| promoted);
            let primary = primary.ok_or(HandoverError::NotPrimary)?;
            if primary.handing_over {
                return Err(HandoverError::UnderWay);
            }
            primary.handing_over = true;
            Ok(())
        })?;
        Ok(HandingOver { core })
    }
}

impl Drop for HandingOver {
    fn drop(&mut self) {
        self.core.change(|consensus| {
            if let Some(primary) = consensus.primary_mut() {
                primary.handing_over = false;
            }
        });
    }
}

/// Makes `server` the primary: waits for open write transactions, then for it to catch up.
pub(crate) async fn transfer(
    core: Arc<ServerCore>,
    server: ServerName,
) -> Result<(), HandoverError> {
    if server == core.config.name {
        let primary = core.consensus().is_promoted();
        return primary.then_some(()).ok_or(HandoverError::NotPrimary);
    }
    let peer = core
        .peers
        .borrow()
        .iter()
        .find(|peer| peer.name == server)
        .cloned();
    let peer = peer.ok_or(HandoverError::UnknownServer)?;
    let _handing_over = HandingOver::start(Arc::clone(&core))?;
    let writer = timeout(PATIENCE, core.writer.lock()).await;
    let _writer = writer.map_err(|_| HandoverError::Busy)?;
    let term = core.consensus().term();
    let caught_up = core.wait_until(|consensus| {
        let last = consensus.log().last().offset;
        consensus
            .primary()
            .is_none_or(|primary| primary.matched(&server) == last)
    });
    timeout(PATIENCE, caught_up)
        .await
        .map_err(|_| HandoverError::Behind)?;
    let connection = PeerConnection::connect(peer.address, PATIENCE).await;
    let mut connection = connection.map_err(|_| HandoverError::NotTakenOver)?;
    connection
        .call(&core.config.name, PeerRequest::TakeOver(term))
        .await
        .map_err(|_| HandoverError::NotTakenOver)?;
    let heard_newer = |consensus: &Consensus| {
        let heard = consensus.heard();
        heard.is_some_and(|heard| heard.term > term)
    };
    timeout(PATIENCE, core.wait_until(heard_newer))
        .await
        .map_err(|_| HandoverError::NotTakenOver)?;
    let consensus = core.consensus();
    let successor = consensus.heard().map(|heard| &heard.name);
    let expected = successor == Some(&server);
    expected.then_some(()).ok_or(HandoverError::AnotherTookOver)
}

/// The other server whose log is the longest known to agree; none if this one is not primary.
pub(crate) fn best_successor(core: &ServerCore) -> Option<ServerName> {
    let peers = core.peers.borrow().clone();
    let consensus = core.consensus();
    let primary = consensus.primary()?;
    let best = peers
        .into_iter()
        .filter(|peer| !core.faults.is_cut(&peer.name))
        .max_by_key(|peer| primary.matched(&peer.name));
    best.map(|peer| peer.name)
}
