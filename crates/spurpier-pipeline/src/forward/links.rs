//! The connections to all other nodes, made when they are needed.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use spurpier_core::time::Timestamp;
use tokio::time::timeout_at;

use super::link::Link;
use crate::clock::Clock;

/// For how long a node that could not be reached is passed over.
const AVOIDANCE: Duration = Duration::from_millis(1_000);

/// The connections to other nodes, by their addresses.
#[derive(Debug, Default)]
pub struct Links(Mutex<HashMap<SocketAddr, Arc<Slot>>>);

/// The connection to one node.
#[derive(Debug, Default)]
struct Slot {
    link: Mutex<Option<Arc<Link>>>,
    /// Held while a connection is being made, so that one serves all that wait.
    connecting: tokio::sync::Mutex<()>,
    avoided_until: Mutex<Timestamp>,
}

impl Links {
    /// Whether a node has not just failed to answer.
    pub fn is_usable(&self, address: SocketAddr, now: Timestamp) -> bool {
        let Some(slot) = self.lock().get(&address).map(Arc::clone) else {
            return true;
        };
        let avoided_until = *locked(&slot.avoided_until);
        let is_suspect = slot.open_link().is_some_and(|link| link.is_suspect());
        avoided_until <= now && !is_suspect
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
        if link.is_none() {
            *locked(&slot.avoided_until) = clock.now() + AVOIDANCE;
        }
        link
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<SocketAddr, Arc<Slot>>> {
        locked(&self.0)
    }
}

impl Slot {
    fn open_link(&self) -> Option<Arc<Link>> {
        let link = locked(&self.link);
        link.as_ref().filter(|link| link.is_open()).map(Arc::clone)
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
