//! What is known of a client between its statements.

use std::collections::HashMap;
use std::sync::Arc;

use spurpier_core::leader::SessionCommit;
use tokio::time::Instant;

use crate::context::Context;
use crate::forward::RoutedTransaction;
use crate::ports::{Effect, KeyDigest, TransactionState};
use crate::server::Values;

/// A prepared statement of a session.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Prepared {
    /// What executing it does.
    pub effect: Effect,
    /// Its shape.
    pub shape: String,
}

/// What a client said of itself when it opened its session.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ClientCredentials {
    /// The database that it named.
    pub database: String,
    /// The digest of its key; none if it named none.
    pub key: Option<KeyDigest>,
}

/// What is known of a client between its statements.
pub struct SessionState {
    pub(super) context: Arc<Context>,
    pub(super) client: ClientCredentials,
    pub(super) values: Values,
    pub(super) prepared: HashMap<String, Prepared>,
    /// The last commit, and the group in whose log it stands.
    pub(super) own_commit: Option<(String, SessionCommit)>,
    pub(super) transaction: Option<RoutedTransaction>,
    /// When the last statement of the open transaction was answered.
    pub(super) idle_since: Instant,
}

impl SessionState {
    /// A session that has just been opened.
    pub fn new(context: Arc<Context>, client: ClientCredentials) -> Self {
        SessionState {
            context,
            client,
            values: Values::new(),
            prepared: HashMap::new(),
            own_commit: None,
            transaction: None,
            idle_since: Instant::now(),
        }
    }

    /// The state that the client was told last.
    pub fn transaction_state(&self) -> TransactionState {
        let transaction = self.transaction.as_ref();
        transaction.map_or(TransactionState::Idle, RoutedTransaction::state)
    }

    /// When the open transaction is ended if it goes on resting.
    pub fn transaction_expiry(&self) -> Option<Instant> {
        if self.transaction_state() != TransactionState::Open {
            return None;
        }
        let in_force = self.context.in_force()?;
        Some(self.idle_since + in_force.configuration.transaction_idle)
    }

    /// Ends the open transaction, which has rested too long.
    pub async fn expire_transaction(&mut self) {
        if let Some(transaction) = &mut self.transaction {
            transaction.expire().await;
        }
    }

    /// Drops what is open when the session ends.
    pub async fn end(&mut self) {
        if let Some(mut transaction) = self.transaction.take() {
            transaction.expire().await;
        }
    }
}
