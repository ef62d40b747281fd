//! Cancel requests: each reaches only the statement that runs on its own connection.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, PoisonError};

use bytes::Bytes;
use spurpier_protocol::unit::UnitInput;
use tokio::sync::mpsc;

/// Length of the secret under protocol 3.0, in bytes.
const SHORT_SECRET_LENGTH: usize = 4;

/// Length of the secret under protocol 3.2, in bytes.
const LONG_SECRET_LENGTH: usize = 32;

/// The key with which a client may cancel its running statement.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct CancelKey {
    /// The number that stands for a process id in the protocol; random.
    pub process_id: i32,
    /// The secret.
    pub secret: Bytes,
}

/// The statement that runs on a connection now, if any.
#[derive(Debug, Default)]
pub(super) struct CancelSlot {
    running: Mutex<Option<mpsc::Sender<UnitInput>>>,
}

impl CancelSlot {
    /// A statement starts: cancel requests go to its unit until [`CancelSlot::disarm`].
    pub fn arm(&self, input: mpsc::Sender<UnitInput>) {
        *self.lock() = Some(input);
    }

    /// The statement has been answered: cancel requests do nothing.
    pub fn disarm(&self) {
        *self.lock() = None;
    }

    /// Passes a cancel request on and says whether a statement was running.
    fn cancel(&self) -> bool {
        // The lock is held while sending, so the request cannot reach a later statement.
        match self.lock().as_ref() {
            Some(input) => input.try_send(UnitInput::Cancel).is_ok(),
            None => false,
        }
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, Option<mpsc::Sender<UnitInput>>> {
        self.running.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// The cancel keys of all client connections of the node.
#[derive(Debug, Default)]
pub(super) struct CancelRegistry {
    entries: Mutex<HashMap<i32, Entry>>,
}

#[derive(Debug)]
struct Entry {
    secret: Bytes,
    slot: Arc<CancelSlot>,
}

impl CancelRegistry {
    /// Makes up a key that no other connection has and registers the slot under it.
    pub fn register(&self, slot: &Arc<CancelSlot>, long_secret: bool) -> CancelKey {
        let secret_length = if long_secret {
            LONG_SECRET_LENGTH
        } else {
            SHORT_SECRET_LENGTH
        };
        let mut secret = vec![0; secret_length];
        rand::fill(&mut secret[..]);
        let secret = Bytes::from(secret);
        let entry = Entry {
            secret: secret.clone(),
            slot: Arc::clone(slot),
        };
        let mut entries = self.lock();
        let process_id = loop {
            let candidate = rand::random_range(1..i32::MAX);
            if !entries.contains_key(&candidate) {
                break candidate;
            }
        };
        entries.insert(process_id, entry);
        CancelKey { process_id, secret }
    }

    /// The connection has ended.
    pub fn remove(&self, process_id: i32) {
        self.lock().remove(&process_id);
    }

    /// Cancels what runs on the connection of this key and says whether anything did.
    pub fn cancel(&self, key: &CancelKey) -> bool {
        let slot = match self.lock().get(&key.process_id) {
            Some(entry) if is_same_secret(&entry.secret, &key.secret) => Arc::clone(&entry.slot),
            _ => return false,
        };
        slot.cancel()
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, HashMap<i32, Entry>> {
        self.entries.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Compares whole secrets in a time that does not depend on where they differ.
fn is_same_secret(left: &[u8], right: &[u8]) -> bool {
    let difference = left
        .iter()
        .zip(right)
        .fold(0, |difference, (a, b)| difference | (a ^ b));
    left.len() == right.len() && difference == 0
}
