//! The state of a session that persists between statements.

use std::collections::HashMap;
use std::sync::Arc;

use spurpier_core::leader::SessionCommits;
use spurpier_protocol::frame::MAX_FRAME_BYTES;
use tokio::time::Instant;

use crate::context::Context;
use crate::forward::RoutedTransaction;
use crate::ports::{Effect, KeyDigest, TransactionState};
use crate::server::Values;

/// Maximum size of a session's values, in bytes. Each statement that another node runs carries all
/// of them in its frame, on a connection that sessions share.
const MAX_VALUES_BYTES: usize = MAX_FRAME_BYTES / 16;
/// What a value counts in addition to its name and its text, in bytes.
const VALUE_OVERHEAD_BYTES: usize = 64;

/// A prepared statement, stored by name in its session.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Prepared {
    /// Whether executing it changes data.
    pub effect: Effect,
    /// The statement's shape, which each execution combines with its arguments.
    pub shape: String,
}

/// The database and key that a client presented at start-up.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ClientCredentials {
    /// The requested database.
    pub database: String,
    /// The digest of its API key; `None` if it presented none.
    pub key: Option<KeyDigest>,
}

/// The state of a session that persists between statements.
pub struct SessionState {
    pub(super) context: Arc<Context>,
    pub(super) client: ClientCredentials,
    pub(super) values: Values,
    pub(super) prepared: HashMap<String, Prepared>,
    pub(super) own_commits: SessionCommits,
    pub(super) transaction: Option<RoutedTransaction>,
    /// When the last statement finished; the idle timeout of an open transaction starts here.
    pub(super) idle_since: Instant,
}

impl SessionState {
    /// Creates the state of a newly opened session.
    pub fn new(context: Arc<Context>, client: ClientCredentials) -> Self {
        SessionState {
            context,
            client,
            values: Values::new(),
            prepared: HashMap::new(),
            own_commits: SessionCommits::default(),
            transaction: None,
            idle_since: Instant::now(),
        }
    }

    /// Stores a session value. Returns false, without storing it, if the values would together be
    /// larger than [`MAX_VALUES_BYTES`].
    #[must_use]
    pub fn set_value(&mut self, name: String, value: String) -> bool {
        let others = self.values.iter().filter(|(known, _)| **known != name);
        let others: usize = others.map(|(name, value)| value_bytes(name, value)).sum();
        let fits = others + value_bytes(&name, &value) <= MAX_VALUES_BYTES;
        if fits {
            self.values.insert(name, value);
        }
        fits
    }

    /// The transaction state last reported to the client.
    pub fn transaction_state(&self) -> TransactionState {
        let transaction = self.transaction.as_ref();
        transaction.map_or(TransactionState::Idle, RoutedTransaction::state)
    }

    /// When the open transaction expires if it stays idle; `None` if none is open.
    pub fn transaction_expiry(&self) -> Option<Instant> {
        if self.transaction_state() != TransactionState::Open {
            return None;
        }
        let in_force = self.context.in_force()?;
        Some(self.idle_since + in_force.configuration.transaction_idle)
    }

    /// Ends the open transaction after its idle timeout; the session stays open.
    pub async fn expire_transaction(&mut self) {
        if let Some(transaction) = &mut self.transaction {
            transaction.expire().await;
        }
    }

    /// Ends the open transaction, if any, and discards it.
    pub async fn end(&mut self) {
        if let Some(mut transaction) = self.transaction.take() {
            transaction.expire().await;
        }
    }
}

fn value_bytes(name: &str, value: &str) -> usize {
    VALUE_OVERHEAD_BYTES + name.len() + value.len()
}
