//! Runs the statements of one session and keeps its transaction.

use std::sync::Arc;

use rusqlite::types::Value;
use spurpier_core::position::Position;
use tokio::sync::OwnedSemaphorePermit;

use super::prepared::{self, Prepared};
use super::record::{LoggedStatement, LoggedValue};
use super::role::NotWritable;
use super::server_core::ServerCore;
use super::session_registry::SessionEntry;
use super::settings::{SettingCommand, Settings};
use super::sql_error::{SqlError, SqlState};
use super::sql_text::{StatementKind, StatementText};
use super::tables::{StatementResult, TableConnection};
use super::transaction::{Block, Transaction, WriteTransaction};

/// What a statement gave.
#[derive(Debug, Default)]
pub(crate) struct Answer {
    /// Its rows.
    pub rows: Vec<Vec<Value>>,
    /// Its command tag; for a `SELECT` without the number of rows.
    pub tag: String,
}

impl Answer {
    /// An answer without rows.
    pub(crate) fn tag(tag: &str) -> Self {
        Answer {
            rows: Vec::new(),
            tag: tag.to_owned(),
        }
    }
}

/// Runs the statements of one session.
pub(crate) struct Executor {
    /// The server.
    pub core: Arc<ServerCore>,
    /// The session as others see it.
    pub entry: Arc<SessionEntry>,
    /// The session's settings.
    pub settings: Settings,
    /// The session's transaction.
    pub transaction: Transaction,
    /// Where the session's last write transaction stands in the log.
    pub last_commit: Position,
    /// The session's connection to the tables; none before the first use.
    pub(super) tables: Option<TableConnection>,
    /// Set when the open transaction was broken between two messages; told at the next statement.
    pub(super) broken: Option<SqlError>,
    /// The generation of the tables that the session has read since it last asked for the status.
    pub(super) read_generation: Option<u64>,
}

impl Executor {
    /// The executor of a new session.
    pub(crate) fn new(core: Arc<ServerCore>, entry: Arc<SessionEntry>, settings: Settings) -> Self {
        Executor {
            core,
            entry,
            settings,
            transaction: Transaction::default(),
            last_commit: Position::ZERO,
            tables: None,
            broken: None,
            read_generation: None,
        }
    }

    /// Describes a statement.
    pub(crate) async fn prepare(
        &mut self,
        statement: StatementText,
        declared: Vec<u32>,
    ) -> Result<Prepared, SqlError> {
        if !prepared::needs_tables(&statement.kind) {
            return Ok(prepared::describe_without_tables(statement));
        }
        if let Some(error) = self.broken.take() {
            return Err(error);
        }
        if self.transaction.block == Block::Failed {
            return Err(failed_transaction());
        }
        self.on_tables(move |tables| Prepared::new(statement, &declared, tables))
            .await
    }

    /// Runs a statement; after an error the caller aborts the transaction.
    pub(crate) async fn execute(
        &mut self,
        prepared: &Prepared,
        parameters: Vec<Value>,
    ) -> Result<Answer, SqlError> {
        self.core.faults.thawed().await;
        if let Some(error) = self.broken.take() {
            return self.tell_broken(prepared, error).await;
        }
        let tag = &prepared.statement.tag;
        match &prepared.statement.kind {
            StatementKind::Begin { read_only } => {
                self.begin(*read_only)?;
                Ok(Answer::tag(tag))
            }
            StatementKind::Commit if self.transaction.block == Block::Failed => {
                self.roll_back().await;
                Ok(Answer::tag("ROLLBACK"))
            }
            StatementKind::Commit => {
                self.commit().await?;
                Ok(Answer::tag(tag))
            }
            StatementKind::Rollback => {
                self.roll_back().await;
                Ok(Answer::tag(tag))
            }
            _ if self.transaction.block == Block::Failed => Err(failed_transaction()),
            _ => {
                if self.transaction.is_idle() {
                    self.transaction.block = Block::Implicit;
                }
                self.execute_in_block(prepared, parameters).await
            }
        }
    }

    async fn execute_in_block(
        &mut self,
        prepared: &Prepared,
        parameters: Vec<Value>,
    ) -> Result<Answer, SqlError> {
        match &prepared.statement.kind {
            StatementKind::Setting(command) => self.run_setting(command, &prepared.statement.tag),
            StatementKind::Call(call) => self.call(call, &parameters).await,
            StatementKind::Read { locking } => {
                if *locking && !self.transaction.read_only {
                    self.begin_write().await?;
                }
                let sql = prepared.statement.sql.clone();
                let result = self.run(sql, parameters).await?;
                Ok(Answer {
                    rows: result.rows,
                    tag: prepared.statement.tag.clone(),
                })
            }
            _ => self.write(prepared, parameters).await,
        }
    }

    async fn write(
        &mut self,
        prepared: &Prepared,
        parameters: Vec<Value>,
    ) -> Result<Answer, SqlError> {
        let sql = prepared.statement.sql.clone();
        let result = self.run_logged(sql, parameters, prepared.local).await?;
        let count = result.changes.max(result.rows.len() as u64);
        let tag = match prepared.statement.tag.as_str() {
            "INSERT" => format!("INSERT 0 {count}"),
            tag @ ("UPDATE" | "DELETE") => format!("{tag} {count}"),
            other => other.to_owned(),
        };
        Ok(Answer {
            rows: result.rows,
            tag,
        })
    }

    /// Runs a write statement and notes it for the log.
    pub(crate) async fn run_logged(
        &mut self,
        sql: String,
        parameters: Vec<Value>,
        local: bool,
    ) -> Result<StatementResult, SqlError> {
        self.begin_write().await?;
        let _slot = self.slot().await?;
        let context = self.core.statement_context();
        let logged = LoggedStatement {
            sql,
            parameters: parameters.iter().map(LoggedValue::from).collect(),
            context,
            local,
        };
        let run = move |tables: &mut TableConnection| {
            let result = tables.run(&logged.sql, &parameters, context)?;
            Ok((result, logged))
        };
        let (result, logged) = self.on_tables(run).await?;
        if let Some(write) = &mut self.transaction.write {
            write.statements.push(logged);
        }
        Ok(result)
    }

    /// Runs a statement that is not logged, in the transaction's snapshot.
    pub(crate) async fn run(
        &mut self,
        sql: String,
        parameters: Vec<Value>,
    ) -> Result<StatementResult, SqlError> {
        let _slot = self.slot().await?;
        let context = self.core.statement_context();
        let in_recovery = !self.core.consensus().is_promoted();
        self.transaction.open = true;
        let run = move |tables: &mut TableConnection| {
            tables.set_in_recovery(in_recovery);
            if tables.connection.is_autocommit() {
                tables.connection.execute_batch("BEGIN")?;
            }
            let result = tables.run(&sql, &parameters, context)?;
            Ok((result, tables.generation))
        };
        let (result, generation) = self.on_tables(run).await?;
        // The oldest one counts: what was read of it must not be taken for a newer one's.
        self.read_generation.get_or_insert(generation);
        Ok(result)
    }

    async fn slot(&mut self) -> Result<OwnedSemaphorePermit, SqlError> {
        let slots = Arc::clone(&self.core.slots);
        tokio::select! {
            slot = slots.acquire_owned() => {
                slot.map_err(|_| SqlError::fatal(SqlState::AdminShutdown, "the server stops"))
            }
            () = self.entry.cancelled() => Err(cancelled()),
        }
    }

    /// Sleeps in a slot, as `pg_sleep` does.
    pub(crate) async fn sleep(&mut self, seconds: f64) -> Result<(), SqlError> {
        let duration = std::time::Duration::try_from_secs_f64(seconds.max(0.0));
        let duration = duration
            .map_err(|error| SqlError::new(SqlState::NumericValueOutOfRange, error.to_string()))?;
        let _slot = self.slot().await?;
        let broken = self.write_broken();
        tokio::select! {
            () = tokio::time::sleep(duration) => Ok(()),
            () = self.entry.cancelled() => Err(cancelled()),
            () = broken => Err(NotWritable::Replica.into()),
        }
    }

    /// Gets the right to write for the transaction, or checks that it still has it.
    pub(crate) async fn begin_write(&mut self) -> Result<(), SqlError> {
        if let Some(write) = &self.transaction.write {
            return Ok(self.core.check_term(write.term)?);
        }
        if self.transaction.read_only {
            let message = "cannot write in a read-only transaction";
            return Err(SqlError::new(SqlState::ReadOnlyTransaction, message));
        }
        self.core.consensus().writable_term()?;
        let writer = tokio::select! {
            writer = Arc::clone(&self.core.writer).lock_owned() => writer,
            () = self.entry.cancelled() => return Err(cancelled()),
        };
        let term = self.core.consensus().writable_term()?;
        self.transaction.write = Some(WriteTransaction {
            _writer: writer,
            term,
            statements: Vec::new(),
        });
        if self.transaction.open {
            return Ok(());
        }
        self.transaction.open = true;
        self.on_tables(|tables| Ok(tables.connection.execute_batch("BEGIN IMMEDIATE")?))
            .await
    }

    fn run_setting(&mut self, command: &SettingCommand, tag: &str) -> Result<Answer, SqlError> {
        let mut answer = Answer::tag(tag);
        match command {
            SettingCommand::Set { name, value } => self.settings.set(name, value.as_deref()),
            SettingCommand::SetTransaction { read_only } => {
                self.transaction.read_only |= *read_only;
            }
            SettingCommand::Show(name) => {
                answer
                    .rows
                    .push(vec![Value::Text(self.settings.show(name)?)]);
            }
            SettingCommand::Reset(Some(name)) => self.settings.set(name, None),
            SettingCommand::Reset(None) => self.settings.reset_all(),
            SettingCommand::DiscardAll if self.transaction.block == Block::Explicit => {
                let message = "DISCARD ALL cannot run inside a transaction block";
                return Err(SqlError::new(SqlState::ActiveTransaction, message));
            }
            SettingCommand::DiscardAll => self.settings.reset_all(),
            // The session forgets its statements itself.
            SettingCommand::Deallocate(_) => {}
        }
        Ok(answer)
    }
}

/// The error of a statement in a block that has failed.
pub(super) fn failed_transaction() -> SqlError {
    let message = "current transaction is aborted, commands ignored until end of transaction block";
    SqlError::new(SqlState::FailedTransaction, message)
}

fn cancelled() -> SqlError {
    SqlError::new(SqlState::QueryCanceled, "the statement was cancelled")
}
