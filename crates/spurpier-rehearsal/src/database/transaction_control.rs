//! Begins, commits, rolls back and breaks the transaction of a session.

use std::sync::Arc;

use super::executor::{Answer, Executor, failed_transaction};
use super::prepared::Prepared;
use super::role::NotWritable;
use super::sql_error::SqlError;
use super::sql_text::StatementKind;
use super::tables::TableConnection;
use super::transaction::Block;

impl Executor {
    /// Opens a transaction block.
    pub(super) fn begin(&mut self, read_only: bool) -> Result<(), SqlError> {
        match self.transaction.block {
            Block::None | Block::Implicit => {
                self.transaction.block = Block::Explicit;
                self.transaction.read_only = read_only;
                Ok(())
            }
            // PostgreSQL only warns of a transaction that is open already.
            Block::Explicit => Ok(()),
            Block::Failed => Err(failed_transaction()),
        }
    }

    /// Commits an implicit transaction; an explicit one goes on.
    pub(crate) async fn finish_implicit(&mut self) -> Result<(), SqlError> {
        match self.transaction.block {
            Block::Implicit => self.commit().await,
            Block::None | Block::Explicit | Block::Failed => Ok(()),
        }
    }

    /// Commits; after an error the transaction has had no effect.
    pub(super) async fn commit(&mut self) -> Result<(), SqlError> {
        let transaction = std::mem::take(&mut self.transaction);
        if !transaction.open {
            return Ok(());
        }
        let core = Arc::clone(&self.core);
        match transaction.write {
            Some(mut write) if !write.statements.is_empty() => {
                let statements = std::mem::take(&mut write.statements);
                let commit = move |tables: &mut TableConnection| {
                    core.commit(tables, write.term, statements, None)
                };
                self.last_commit = self.on_tables_open(commit).await?;
                self.core.faults.thawed().await;
                Ok(())
            }
            _ => {
                let end = |tables: &mut TableConnection| {
                    tables.roll_back();
                    Ok(())
                };
                self.on_tables_open(end).await
            }
        }
    }

    /// Rolls the transaction back and leaves its block.
    pub(crate) async fn roll_back(&mut self) {
        let transaction = std::mem::take(&mut self.transaction);
        if transaction.open && self.tables.is_some() {
            let end = |tables: &mut TableConnection| {
                tables.roll_back();
                Ok(())
            };
            // Without the tables there is nothing to roll back.
            let _ = self.on_tables_open(end).await;
        }
    }

    /// Rolls back after an error; an explicit block stays open as failed.
    pub(crate) async fn abort(&mut self) {
        let block = self.transaction.block;
        self.roll_back().await;
        if matches!(block, Block::Explicit | Block::Failed) {
            self.transaction.block = Block::Failed;
        }
    }

    /// Waits until the open write transaction can no longer commit here.
    pub(crate) fn write_broken(&self) -> impl Future<Output = ()> + Send + use<> {
        let core = Arc::clone(&self.core);
        let term = self.transaction.write.as_ref().map(|write| write.term);
        async move {
            let Some(term) = term else {
                return std::future::pending().await;
            };
            core.wait_until(|consensus| consensus.check_term(term).is_err())
                .await;
        }
    }

    /// Breaks the open transaction, because its term has ended.
    pub(crate) async fn break_write(&mut self) {
        self.abort().await;
        self.broken = Some(NotWritable::Replica.into());
    }

    /// A rollback still succeeds; a commit fails and ends the block, as any failed commit does.
    pub(super) async fn tell_broken(
        &mut self,
        prepared: &Prepared,
        error: SqlError,
    ) -> Result<Answer, SqlError> {
        match prepared.statement.kind {
            StatementKind::Rollback => {
                self.roll_back().await;
                Ok(Answer::tag(&prepared.statement.tag))
            }
            StatementKind::Commit => {
                self.roll_back().await;
                Err(error)
            }
            _ => Err(error),
        }
    }
}
