//! The connections to all other nodes, made when they are needed.

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

/// How often a node that could not be reached is tried again, beside the units' way.
const PROBE_INTERVAL: Duration = Duration::from_millis(300);
/// For how long a node that cannot be reached is tried; then it counts as lost.
const PROBE_TIMEOUT: Duration = Duration::from_secs(10);
/// Lost nodes that may wait to be taken off the list.
const LOST_QUEUE_CAPACITY: usize = 64;

/// The connections to other nodes, by their addresses.
#[derive(Debug)]
pub struct Links {
    slots: Mutex<HashMap<SocketAddr, Arc<Slot>>>,
    lost: mpsc::Sender<SocketAddr>,
}

/// The addresses of nodes that could not be reached for long.
pub type LostNodes = mpsc::Receiver<SocketAddr>;

/// The connection to one node.
#[derive(Debug, Default)]
struct Slot {
    link: Mutex<Option<Arc<Link>>>,
    /// Held while a connection is being made, so that one serves all that wait.
    connecting: tokio::sync::Mutex<()>,
    /// Whether it could not be reached and is being tried beside the units' way.
    unreachable: AtomicBool,
}

impl Links {
    /// No connections yet, and where nodes are told that cannot be reached.
    pub fn new() -> (Self, LostNodes) {
        let (lost, receiver) = mpsc::channel(LOST_QUEUE_CAPACITY);
        let slots = Mutex::default();
        (Links { slots, lost }, receiver)
    }

    /// Whether a node has not just failed to answer.
    pub fn is_usable(&self, address: SocketAddr) -> bool {
        let Some(slot) = self.lock().get(&address).map(Arc::clone) else {
            return true;
        };
        let is_suspect = slot.open_link().is_some_and(|link| link.is_suspect());
        !slot.unreachable.load(Ordering::Relaxed) && !is_suspect
    }

    /// The connection to a node, made if there is none; none if it cannot be reached by `until`.
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

    /// Tries to reach the node, so that no unit has to find out that it is back.
    async fn probe(self: Arc<Self>, address: SocketAddr, lost: mpsc::Sender<SocketAddr>) {
        let probing = async {
            while self.connect(address).await.is_none() {
                tokio::time::sleep(PROBE_INTERVAL).await;
            }
        };
        if timeout(PROBE_TIMEOUT, probing).await.is_err() {
            // If it cannot be told now, the next probe tells.
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
