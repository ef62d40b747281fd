//! A session's own connection to the tables, opened anew when the tables are made anew.

use std::sync::Arc;

use tokio::task;

use super::executor::Executor;
use super::sql_error::{SqlError, SqlState};
use super::tables::TableConnection;

impl Executor {
    /// Runs work on the session's tables, opened anew if the tables were made anew.
    pub(super) async fn on_tables<T: Send + 'static>(
        &mut self,
        work: impl FnOnce(&mut TableConnection) -> Result<T, SqlError> + Send + 'static,
    ) -> Result<T, SqlError> {
        self.open_tables().await?;
        self.on_tables_open(work).await
    }

    /// As `on_tables`, but with the connection that the transaction already has.
    pub(super) async fn on_tables_open<T: Send + 'static>(
        &mut self,
        work: impl FnOnce(&mut TableConnection) -> Result<T, SqlError> + Send + 'static,
    ) -> Result<T, SqlError> {
        let Some(mut tables) = self.tables.take() else {
            return Err(replaced_tables());
        };
        let done = task::spawn_blocking(move || {
            let result = work(&mut tables);
            (tables, result)
        });
        let (tables, result) = done
            .await
            .map_err(|error| SqlError::new(SqlState::Internal, error.to_string()))?;
        self.tables = Some(tables);
        self.core.faults.thawed().await;
        result
    }

    async fn open_tables(&mut self) -> Result<(), SqlError> {
        let in_transaction = self
            .tables
            .as_ref()
            .is_some_and(|tables| !tables.connection.is_autocommit());
        if !in_transaction {
            self.core
                .wait_until(|consensus| !consensus.queue.is_rebuilding())
                .await;
        }
        let generation = self.core.consensus().queue.generation();
        match &self.tables {
            Some(tables) if tables.generation == generation => return Ok(()),
            Some(_) if in_transaction => {
                self.tables = None;
                return Err(replaced_tables());
            }
            _ => {}
        }
        let core = Arc::clone(&self.core);
        let cancelled = Arc::clone(&self.entry.cancelled);
        let opened = task::spawn_blocking(move || {
            let mut tables = core.tables.open(generation)?;
            tables.watch_cancellation(cancelled)?;
            Ok::<_, rusqlite::Error>(tables)
        });
        let opened = opened.await;
        let opened =
            opened.map_err(|error| SqlError::new(SqlState::Internal, error.to_string()))?;
        self.tables = Some(opened?);
        Ok(())
    }
}

/// The error where a session still relies on tables that were made anew.
pub(super) fn replaced_tables() -> SqlError {
    let message = "the server's tables were rebuilt under the session";
    SqlError::new(SqlState::SerializationFailure, message)
}
