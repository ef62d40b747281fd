//! The connections to the other nodes, opened on demand.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use spurpier_core::time::Timestamp;
use tokio::sync::mpsc;
use tokio::time::{timeout, timeout_at};

use super::link::Link;
use crate::clock::Clock;

/// The delay between attempts to reach an unreachable node, made in the background.
const PROBE_INTERVAL: Duration = Duration::from_millis(300);
/// How long an unreachable node is probed before it is reported as lost.
const PROBE_TIMEOUT: Duration = Duration::from_secs(10);
/// The capacity of the queue of lost nodes.
const LOST_QUEUE_CAPACITY: usize = 64;

/// The connections to other nodes, by their addresses.
#[derive(Debug)]
pub struct Links {
    slots: Mutex<HashMap<SocketAddr, Arc<Slot>>>,
    lost: mpsc::Sender<SocketAddr>,
}

/// Receives the addresses of nodes that stayed unreachable while they were probed (10 s).
pub type LostNodes = mpsc::Receiver<SocketAddr>;

/// The connection to one node.
#[derive(Debug, Default)]
struct Slot {
    link: Mutex<Option<Arc<Link>>>,
    /// Held while a connection is being opened, so that all waiting callers share one attempt.
    connecting: tokio::sync::Mutex<()>,
    /// Whether the node could not be reached and is being probed in the background.
    unreachable: AtomicBool,
}

impl Links {
    /// Creates an empty set of connections, and the receiver of the nodes that are lost.
    pub fn new() -> (Self, LostNodes) {
        let (lost, receiver) = mpsc::channel(LOST_QUEUE_CAPACITY);
        let slots = Mutex::default();
        (Links { slots, lost }, receiver)
    }

    /// Whether a node is neither unreachable nor suspected to have stopped.
    pub fn is_usable(&self, address: SocketAddr) -> bool {
        let Some(slot) = self.lock().get(&address).map(Arc::clone) else {
            return true;
        };
        let is_suspect = slot.open_link().is_some_and(|link| link.is_suspect());
        !slot.unreachable.load(Ordering::Relaxed) && !is_suspect
    }

    /// The connection to a node, opened if there is none; none if the node cannot be reached by
    /// `until`. An unreachable node is then probed in the background.
    pub async fn link(
        &self,
        address: SocketAddr,
        clock: &Clock,
        until: Timestamp,
    ) -> Option<Arc<Link>> {
        let slot = Arc::clone(self.lock().entry(address).or_default());
        if let Some(link) = slot.open_link() {
            return Some(link);
        }
        let connecting = slot.connect(address);
        let link = timeout_at(clock.instant(until), connecting).await;
        let link = link.ok().flatten();
        if link.is_none() && !slot.unreachable.swap(true, Ordering::Relaxed) {
            tokio::spawn(slot.probe(address, self.lost.clone()));
        }
        link
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<SocketAddr, Arc<Slot>>> {
        locked(&self.slots)
    }
}

impl Slot {
    fn open_link(&self) -> Option<Arc<Link>> {
        let link = locked(&self.link);
        link.as_ref().filter(|link| link.is_open()).map(Arc::clone)
    }

    /// Tries to reach the node until it is back, so that no unit spends its time on finding out.
    /// Reports the node as lost if it stays unreachable.
    async fn probe(self: Arc<Self>, address: SocketAddr, lost: mpsc::Sender<SocketAddr>) {
        let probing = async {
            while self.connect(address).await.is_none() {
                tokio::time::sleep(PROBE_INTERVAL).await;
            }
        };
        if timeout(PROBE_TIMEOUT, probing).await.is_err() {
            // If the queue is full, the next probe reports the node.
            let _ = lost.try_send(address);
        }
        self.unreachable.store(false, Ordering::Relaxed);
    }

    async fn connect(&self, address: SocketAddr) -> Option<Arc<Link>> {
        let _turn = self.connecting.lock().await;
        if let Some(link) = self.open_link() {
            return Some(link);
        }
        let link = Link::connect(address).await?;
        *locked(&self.link) = Some(Arc::clone(&link));
        Some(link)
    }
}

fn locked<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
