//! One client session: answers its messages until it ends.

use std::collections::HashMap;
use std::io;
use std::sync::Arc;

use pgwire::messages::response::{CommandComplete, EmptyQueryResponse, ReadyForQuery};
use pgwire::messages::{PgWireBackendMessage, PgWireFrontendMessage};

use super::connection::ClientConnection;
use super::executor::Executor;
use super::portal::{self, Portal};
use super::prepared::Prepared;
use super::server_core::ServerCore;
use super::session_registry::SessionEntry;
use super::settings::{SettingCommand, Settings};
use super::sql_error::{SqlError, SqlState};
use super::sql_text::{self, StatementKind, StatementText};
use super::sql_type::Format;

/// One client session.
pub(crate) struct Session {
    pub(crate) connection: ClientConnection,
    pub(crate) executor: Executor,
    /// Prepared statements by name; the unnamed one under the empty name.
    pub(crate) statements: HashMap<String, Option<Arc<Prepared>>>,
    /// Portals by name; the unnamed one under the empty name.
    pub(crate) portals: HashMap<String, Portal>,
    /// Whether messages are ignored up to the next Sync, because one of them has failed.
    skipping: bool,
}

/// What an idle session woke up for.
enum Wake {
    Message(io::Result<Option<PgWireFrontendMessage>>),
    WriteBroken,
    Draining,
}

impl Session {
    /// A session whose client has been greeted.
    pub(crate) fn new(
        core: Arc<ServerCore>,
        entry: Arc<SessionEntry>,
        connection: ClientConnection,
        settings: Settings,
    ) -> Self {
        Session {
            connection,
            executor: Executor::new(core, entry, settings),
            statements: HashMap::new(),
            portals: HashMap::new(),
            skipping: false,
        }
    }

    /// Answers messages until the client leaves or the connection breaks.
    pub(crate) async fn run(mut self) -> io::Result<()> {
        let result = self.answer_messages().await;
        self.executor.roll_back().await;
        result
    }

    async fn answer_messages(&mut self) -> io::Result<()> {
        loop {
            let core = Arc::clone(&self.executor.core);
            let idle = self.executor.transaction.is_idle();
            let write_broken = self.executor.write_broken();
            let wake = tokio::select! {
                biased;
                message = self.connection.read() => Wake::Message(message),
                () = write_broken => Wake::WriteBroken,
                () = core.draining.cancelled(), if idle => Wake::Draining,
            };
            core.faults.thawed().await;
            match wake {
                Wake::Message(message) => {
                    let Some(message) = message? else {
                        return Ok(());
                    };
                    if matches!(message, PgWireFrontendMessage::Terminate(_)) {
                        return Ok(());
                    }
                    self.executor.entry.start_statement();
                    self.answer(message).await?;
                    self.note_busy();
                }
                Wake::WriteBroken => self.executor.break_write().await,
                Wake::Draining => {
                    let error = SqlError::fatal(SqlState::AdminShutdown, "the server stops");
                    self.send_error(&error).await?;
                    return self.connection.flush().await;
                }
            }
        }
    }

    fn note_busy(&self) {
        let idle = self.executor.transaction.is_idle() && !self.connection.has_input();
        self.executor.entry.set_busy(!idle);
    }

    async fn answer(&mut self, message: PgWireFrontendMessage) -> io::Result<()> {
        match message {
            PgWireFrontendMessage::Query(query) => {
                self.skipping = false;
                self.simple_query(&query.query).await
            }
            PgWireFrontendMessage::Sync(_) => self.sync().await,
            PgWireFrontendMessage::Flush(_) => self.flush().await,
            _ if self.skipping => Ok(()),
            message => {
                let Err(error) = self.extended(message).await? else {
                    return Ok(());
                };
                self.skipping = true;
                self.fail(&error).await
            }
        }
    }

    async fn extended(
        &mut self,
        message: PgWireFrontendMessage,
    ) -> io::Result<Result<(), SqlError>> {
        match message {
            PgWireFrontendMessage::Parse(parse) => self.parse(parse).await,
            PgWireFrontendMessage::Bind(bind) => self.bind(bind).await,
            PgWireFrontendMessage::Describe(describe) => self.describe(describe).await,
            PgWireFrontendMessage::Execute(execute) => self.execute(execute).await,
            PgWireFrontendMessage::Close(close) => self.close(close).await,
            _ => {
                let message = "the message is not supported";
                Ok(Err(SqlError::new(SqlState::ProtocolViolation, message)))
            }
        }
    }

    /// Tells the client of an error and ends or fails the transaction.
    async fn fail(&mut self, error: &SqlError) -> io::Result<()> {
        self.executor.abort().await;
        self.portals.clear();
        self.send_error(error).await
    }

    async fn send_error(&mut self, error: &SqlError) -> io::Result<()> {
        let response = PgWireBackendMessage::ErrorResponse(error.response());
        self.connection.send(response).await
    }

    async fn sync(&mut self) -> io::Result<()> {
        self.skipping = false;
        if let Err(error) = self.executor.finish_implicit().await {
            self.fail(&error).await?;
        }
        self.ready().await
    }

    async fn ready(&mut self) -> io::Result<()> {
        if self.executor.transaction.is_idle() {
            self.portals.clear();
        }
        let status = self.executor.transaction.status();
        let ready = PgWireBackendMessage::ReadyForQuery(ReadyForQuery::new(status));
        self.connection.send(ready).await?;
        self.note_busy();
        self.flush().await
    }

    async fn flush(&mut self) -> io::Result<()> {
        self.executor.core.faults.thawed().await;
        self.connection.flush().await
    }

    async fn simple_query(&mut self, text: &str) -> io::Result<()> {
        self.portals.remove("");
        let result = match sql_text::split(text) {
            Ok(statements) if statements.is_empty() => {
                let empty = PgWireBackendMessage::EmptyQueryResponse(EmptyQueryResponse::new());
                self.connection.send(empty).await.map(Ok)
            }
            Ok(statements) => self.run_statements(statements).await,
            Err(error) => Ok(Err(error)),
        };
        if let Err(error) = result? {
            self.fail(&error).await?;
        }
        self.ready().await
    }

    async fn run_statements(
        &mut self,
        statements: Vec<StatementText>,
    ) -> io::Result<Result<(), SqlError>> {
        let count = statements.len();
        for (index, statement) in statements.into_iter().enumerate() {
            let is_last = index + 1 == count;
            if let Err(error) = self.run_statement(statement, is_last).await? {
                return Ok(Err(error));
            }
        }
        Ok(Ok(()))
    }

    /// Runs one statement of a simple query; an implicit transaction ends before the last tag.
    async fn run_statement(
        &mut self,
        statement: StatementText,
        is_last: bool,
    ) -> io::Result<Result<(), SqlError>> {
        let prepared = match self.executor.prepare(statement, Vec::new()).await {
            Ok(prepared) => prepared,
            Err(error) => return Ok(Err(error)),
        };
        let answer = match self.executor.execute(&prepared, Vec::new()).await {
            Ok(answer) => answer,
            Err(error) => return Ok(Err(error)),
        };
        self.forget_statements(&prepared);
        if is_last && let Err(error) = self.executor.finish_implicit().await {
            return Ok(Err(error));
        }
        if !prepared.columns.is_empty() {
            let formats = vec![Format::Text; prepared.columns.len()];
            let description = portal::row_description(&prepared.columns, &formats);
            self.connection.send(description).await?;
            for row in &answer.rows {
                match portal::data_row(&prepared.columns, &formats, row) {
                    Ok(row) => self.connection.send(row).await?,
                    Err(error) => return Ok(Err(error)),
                }
            }
        }
        let tag = portal::command_tag(&answer.tag, answer.rows.len());
        self.complete(tag).await.map(Ok)
    }

    /// Sends the tag of a statement that has run to its end.
    pub(crate) async fn complete(&mut self, tag: String) -> io::Result<()> {
        let complete = PgWireBackendMessage::CommandComplete(CommandComplete::new(tag));
        self.connection.send(complete).await
    }

    /// Does the part of `DISCARD ALL` and `DEALLOCATE` that concerns prepared statements.
    pub(crate) fn forget_statements(&mut self, prepared: &Prepared) {
        match &prepared.statement.kind {
            StatementKind::Setting(
                SettingCommand::DiscardAll | SettingCommand::Deallocate(None),
            ) => self.statements.clear(),
            StatementKind::Setting(SettingCommand::Deallocate(Some(name))) => {
                self.statements.remove(name);
            }
            _ => {}
        }
    }
}
