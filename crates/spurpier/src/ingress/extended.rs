//! The extended query protocol: Parse, Bind, Describe, Execute and Close up to a Sync or Flush.
//!
//! Ordinary messages are gathered into a run, with statements renamed to their back-end names,
//! and sent as one batch. Messages on commands (transaction control, settings, what the proxy
//! answers itself) are answered here; before each of them the run so far is sent.

use std::sync::Arc;

use bytes::BytesMut;
use pgwire::messages::PgWireFrontendMessage;
use pgwire::messages::extendedquery::{
    Bind, Close, Describe, Execute, Parse, TARGET_TYPE_BYTE_STATEMENT,
};
use spurpier_core::reason::Reason;
use spurpier_core::statement::{LocalCommand, StatementClass, back_end_statement_name};
use spurpier_protocol::unit::PreparedStatement;

use super::answer::AnswerRelay;
use super::client_stream::Ended;
use super::connection::{Connection, StepOutcome, Transaction};
use super::prepared::{Portal, Prepared};
use super::reply::{self, Refusal, SqlError};
use super::run::ExtendedRun;
use super::work::RequestNotes;

impl Connection {
    /// Answers extended messages, all but the ReadyForQuery of a Sync.
    pub(super) async fn answer_extended(
        &mut self,
        messages: Vec<PgWireFrontendMessage>,
        has_sync: bool,
    ) -> Result<(), Ended> {
        let outcome = self.run_messages(messages, has_sync).await?;
        if outcome == StepOutcome::Failed {
            self.skips_to_sync = !has_sync;
        }
        if matches!(self.transaction, Transaction::Idle) {
            self.session.portals.clear();
        }
        Ok(())
    }

    async fn run_messages(
        &mut self,
        messages: Vec<PgWireFrontendMessage>,
        has_sync: bool,
    ) -> Result<StepOutcome, Ended> {
        let mut run = ExtendedRun::new();
        for message in messages {
            let outcome = match message {
                PgWireFrontendMessage::Parse(parse) => self.parse(&mut run, parse).await?,
                PgWireFrontendMessage::Bind(bind) => self.bind(&mut run, bind).await?,
                PgWireFrontendMessage::Describe(describe) => {
                    self.describe(&mut run, describe).await?
                }
                PgWireFrontendMessage::Execute(execute) => self.execute(&mut run, execute).await?,
                PgWireFrontendMessage::Close(close) => self.close(&mut run, close),
                _ => StepOutcome::Done,
            };
            if outcome == StepOutcome::Failed {
                // What was gathered before the error is answered before it; see `give_in_order`.
                return Ok(outcome);
            }
        }
        if !has_sync && self.would_split_a_portal(&run) {
            self.drop_run(&mut run);
            let detail = "Flush within an unfinished batch outside a transaction block";
            return Ok(self.refuse(&Refusal::with_detail(Reason::Unsupported, detail)));
        }
        self.send_run(&mut run).await
    }

    /// Outside a transaction block a batch ends with what is sent: a portal would not outlive
    /// it, and writes before and after a Flush would no longer be one transaction.
    fn would_split_a_portal(&self, run: &ExtendedRun) -> bool {
        let is_outside = matches!(self.transaction, Transaction::Idle);
        is_outside && (run.writes() || run.has_unfinished_portals())
    }

    /// Sends what has been gathered, if anything, and settles which statements are prepared.
    async fn send_run(&mut self, run: &mut ExtendedRun) -> Result<StepOutcome, Ended> {
        if run.is_empty() {
            return Ok(StepOutcome::Done);
        }
        let mut run = std::mem::replace(run, ExtendedRun::new());
        self.parses_completed = 0;
        let work = run.take_work();
        let outcome = self.run_work(work).await?;
        let statements = &mut self.session.statements;
        run.settle(statements, self.parses_completed, outcome);
        Ok(outcome)
    }

    /// Takes note of the ParseComplete messages in an answer.
    pub(super) fn note_parses(&mut self, relay: &AnswerRelay) {
        self.parses_completed += relay.parses_completed();
    }

    /// Sends what was gathered before a command. Writes outside a transaction block are not cut
    /// from the rest of their batch: the batch is refused, and nothing of them has run.
    async fn send_before_command(&mut self, run: &mut ExtendedRun) -> Result<StepOutcome, Ended> {
        if run.writes() && matches!(self.transaction, Transaction::Idle) {
            let detail = "a write before a command in one batch, outside a transaction block";
            self.drop_run(run);
            return Ok(self.refuse(&Refusal::with_detail(Reason::Unsupported, detail)));
        }
        self.send_run(run).await
    }

    /// Gives an error after the answers to what was gathered before it. Writes that the error
    /// would have rolled back at a server are not sent at all.
    async fn give_in_order(
        &mut self,
        run: &mut ExtendedRun,
        error: &SqlError,
    ) -> Result<StepOutcome, Ended> {
        if run.writes() && matches!(self.transaction, Transaction::Idle) {
            self.drop_run(run);
            return Ok(self.give_error(error));
        }
        if self.send_run(run).await? == StepOutcome::Done {
            self.give_error(error);
            self.fail_block();
        }
        Ok(StepOutcome::Failed)
    }

    fn drop_run(&mut self, run: &mut ExtendedRun) {
        let run = std::mem::replace(run, ExtendedRun::new());
        run.settle(&mut self.session.statements, 0, StepOutcome::Failed);
    }

    async fn parse(&mut self, run: &mut ExtendedRun, parse: Parse) -> Result<StepOutcome, Ended> {
        let client_name = parse.name.unwrap_or_default();
        let is_known = self.session.statements.get(&client_name).is_some();
        if !client_name.is_empty() && is_known && !run.has_closed(&client_name) {
            let message = format!("prepared statement \"{client_name}\" already exists");
            return self
                .give_in_order(run, &SqlError::new("42P05", message))
                .await;
        }
        if !self.session.statements.has_room(parse.query.len()) {
            let message = "too many prepared statements in this session";
            return self
                .give_in_order(run, &SqlError::new("53400", message))
                .await;
        }
        let classified = self.shared.classifications.classify(&parse.query);
        if classified.statements.len() > 1 {
            let message = "cannot insert multiple commands into a prepared statement";
            return self
                .give_in_order(run, &SqlError::new("42601", message))
                .await;
        }
        let prepared = Arc::new(Prepared {
            statement: PreparedStatement {
                name: back_end_statement_name(&parse.query, &parse.type_oids),
                text: parse.query,
                parameter_types: parse.type_oids,
            },
            classified,
        });
        if prepared.command().is_some() {
            return self.parse_command(run, &client_name, prepared).await;
        }
        let former = self
            .session
            .statements
            .replace(&client_name, Some(Arc::clone(&prepared)));
        run.add_parse(client_name, &prepared, former);
        Ok(StepOutcome::Done)
    }

    async fn parse_command(
        &mut self,
        run: &mut ExtendedRun,
        client_name: &str,
        prepared: Arc<Prepared>,
    ) -> Result<StepOutcome, Ended> {
        if self.send_before_command(run).await? == StepOutcome::Failed {
            return Ok(StepOutcome::Failed);
        }
        if let Some(StatementClass::Unsupported(what)) =
            prepared.command().map(|command| &command.class)
        {
            let outcome = self.refuse(&Refusal::with_detail(Reason::Unsupported, *what));
            self.fail_block();
            return Ok(outcome);
        }
        self.session.statements.replace(client_name, Some(prepared));
        reply::append_parse_complete(&mut self.client.output);
        Ok(StepOutcome::Done)
    }

    async fn bind(&mut self, run: &mut ExtendedRun, bind: Bind) -> Result<StepOutcome, Ended> {
        let statement_name = bind.statement_name.clone().unwrap_or_default();
        let Some(prepared) = self.find_statement(run, &statement_name) else {
            return self
                .give_in_order(run, &unknown_statement(&statement_name))
                .await;
        };
        let portal_name = bind.portal_name.clone().unwrap_or_default();
        let portal = Portal {
            prepared: Arc::clone(&prepared),
            parameter_digest: super::run::digest_parameters(&bind),
        };
        if !self.session.portals.insert(&portal_name, portal) {
            let error = SqlError::new("53400", "too many portals in this session");
            return self.give_in_order(run, &error).await;
        }
        if prepared.command().is_some() {
            if self.send_before_command(run).await? == StepOutcome::Failed {
                return Ok(StepOutcome::Failed);
            }
            reply::append_bind_complete(&mut self.client.output);
            return Ok(StepOutcome::Done);
        }
        run.add_bind(bind, &prepared);
        Ok(StepOutcome::Done)
    }

    async fn describe(
        &mut self,
        run: &mut ExtendedRun,
        describe: Describe,
    ) -> Result<StepOutcome, Ended> {
        let name = describe.name.clone().unwrap_or_default();
        let is_statement = describe.target_type == TARGET_TYPE_BYTE_STATEMENT;
        let prepared = if is_statement {
            self.find_statement(run, &name)
        } else {
            let portal = self.session.portals.get(&name);
            portal.map(|portal| Arc::clone(&portal.prepared))
        };
        let Some(prepared) = prepared else {
            let error = match is_statement {
                true => unknown_statement(&name),
                false => unknown_portal(&name),
            };
            return self.give_in_order(run, &error).await;
        };
        let Some(command) = prepared.command() else {
            run.add_describe(describe, &prepared);
            return Ok(StepOutcome::Done);
        };
        if self.send_before_command(run).await? == StepOutcome::Failed {
            return Ok(StepOutcome::Failed);
        }
        describe_command(&mut self.client.output, &command.class, is_statement);
        Ok(StepOutcome::Done)
    }

    async fn execute(
        &mut self,
        run: &mut ExtendedRun,
        execute: Execute,
    ) -> Result<StepOutcome, Ended> {
        let name = execute.name.clone().unwrap_or_default();
        let Some(portal) = self.session.portals.get(&name).cloned() else {
            return self.give_in_order(run, &unknown_portal(&name)).await;
        };
        let Some(command) = portal.prepared.command() else {
            run.add_execute(execute, &portal);
            return Ok(StepOutcome::Done);
        };
        if self.send_before_command(run).await? == StepOutcome::Failed {
            return Ok(StepOutcome::Failed);
        }
        let classified = &portal.prepared.classified;
        let notes = RequestNotes {
            request_key: classified.hints.request_key.clone(),
            class: classified.hints.class.clone(),
            digest: classified.token_digest,
        };
        let text = &portal.prepared.statement.text[command.range.clone()];
        self.run_command(&command.class, text, &notes).await
    }

    /// A statement's name is freed once the run has worked. Nothing is closed at the back end:
    /// other sessions may use the same statement there.
    fn close(&mut self, run: &mut ExtendedRun, close: Close) -> StepOutcome {
        let name = close.name.clone().unwrap_or_default();
        let is_statement = close.target_type == TARGET_TYPE_BYTE_STATEMENT;
        if run.is_empty() && (is_statement || !self.has_back_end_portal(&name)) {
            match is_statement {
                true => drop(self.session.statements.replace(&name, None)),
                false => self.session.portals.remove(&name),
            }
            reply::append_close_complete(&mut self.client.output);
        } else if is_statement {
            run.add_closed_statement(name);
        } else {
            self.session.portals.remove(&name);
            run.add_closed_portal(close);
        }
        StepOutcome::Done
    }

    fn has_back_end_portal(&self, name: &str) -> bool {
        let portal = self.session.portals.get(name);
        portal.is_some_and(|portal| portal.prepared.command().is_none())
    }

    fn find_statement(&self, run: &ExtendedRun, name: &str) -> Option<Arc<Prepared>> {
        match run.has_closed(name) {
            true => None,
            false => self.session.statements.get(name).cloned(),
        }
    }
}

fn describe_command(output: &mut BytesMut, class: &StatementClass, is_statement: bool) {
    if is_statement {
        reply::append_no_parameters(output);
    }
    match class {
        StatementClass::Local(LocalCommand::Show(setting)) => {
            reply::append_text_column(output, setting.name());
        }
        _ => reply::append_no_data(output),
    }
}

fn unknown_statement(name: &str) -> SqlError {
    let message = format!("prepared statement \"{name}\" does not exist");
    SqlError::new("26000", message)
}

fn unknown_portal(name: &str) -> SqlError {
    SqlError::new("34000", format!("portal \"{name}\" does not exist"))
}
