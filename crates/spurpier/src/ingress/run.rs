//! A run: extended messages that go to the back end as one batch.

use std::sync::Arc;

use bytes::BytesMut;
use pgwire::messages::PgWireFrontendMessage;
use pgwire::messages::extendedquery::{
    Bind, Close, Describe, Execute, Parse, Sync, TARGET_TYPE_BYTE_PORTAL,
    TARGET_TYPE_BYTE_STATEMENT,
};
use spurpier_core::statement::RequestDigest;
use spurpier_protocol::unit::PreparedStatement;

use super::answer::AnswerMode;
use super::connection::StepOutcome;
use super::prepared::{Portal, Prepared, PreparedStatements};
use super::work::{RequestNotes, Work, encode};

/// A portal name that no client uses: closing it is answered by CloseComplete and does nothing.
const NO_PORTAL: &str = "spurpier_no_portal";

/// A client's Parse within a run, until it is known to have worked.
struct Registration {
    client_name: String,
    former: Option<Arc<Prepared>>,
}

/// Messages gathered for one batch.
pub(super) struct ExtendedRun {
    messages: BytesMut,
    prepared: Vec<PreparedStatement>,
    parsed: Vec<String>,
    registrations: Vec<Registration>,
    closed: Vec<String>,
    writes: bool,
    notes: RequestNotes,
    digest: RequestDigest,
    unfinished_portals: Vec<String>,
}

impl ExtendedRun {
    /// An empty run.
    pub fn new() -> Self {
        ExtendedRun {
            messages: BytesMut::new(),
            prepared: Vec::new(),
            parsed: Vec::new(),
            registrations: Vec::new(),
            closed: Vec::new(),
            writes: false,
            notes: RequestNotes::default(),
            digest: RequestDigest::new(),
            unfinished_portals: Vec::new(),
        }
    }

    /// Whether nothing has been gathered.
    pub fn is_empty(&self) -> bool {
        self.messages.is_empty()
    }

    /// Whether any executed statement writes, or may write.
    pub fn writes(&self) -> bool {
        self.writes
    }

    /// Whether a portal was bound and not executed to its end.
    pub fn has_unfinished_portals(&self) -> bool {
        !self.unfinished_portals.is_empty()
    }

    /// Whether the run closes the client's statement of this name.
    pub fn has_closed(&self, client_name: &str) -> bool {
        self.closed.iter().any(|closed| closed == client_name)
    }

    /// Adds a Parse under the back-end name.
    pub fn add_parse(
        &mut self,
        client_name: String,
        prepared: &Prepared,
        former: Option<Arc<Prepared>>,
    ) {
        let statement = &prepared.statement;
        let message = Parse::new(
            Some(statement.name.clone()),
            statement.text.clone(),
            statement.parameter_types.clone(),
        );
        self.add(PgWireFrontendMessage::Parse(message));
        self.parsed.push(statement.name.clone());
        self.closed.retain(|closed| *closed != client_name);
        self.registrations.push(Registration {
            client_name,
            former,
        });
    }

    /// Adds a Bind of the back-end name.
    pub fn add_bind(&mut self, mut bind: Bind, prepared: &Prepared) {
        self.need(prepared);
        bind.statement_name = Some(prepared.statement.name.clone());
        let portal_name = bind.portal_name.clone().unwrap_or_default();
        self.unfinished_portals.push(portal_name);
        self.add(PgWireFrontendMessage::Bind(bind));
    }

    /// Adds a Describe, of the back-end name when it is of a statement.
    pub fn add_describe(&mut self, mut describe: Describe, prepared: &Prepared) {
        if describe.target_type == TARGET_TYPE_BYTE_STATEMENT {
            self.need(prepared);
            describe.name = Some(prepared.statement.name.clone());
        }
        self.add(PgWireFrontendMessage::Describe(describe));
    }

    /// Adds an Execute and takes note of what it does.
    pub fn add_execute(&mut self, execute: Execute, portal: &Portal) {
        let classified = &portal.prepared.classified;
        let hints = &classified.hints;
        self.writes |= portal.prepared.writes();
        self.digest.add(&classified.token_digest.to_le_bytes());
        self.digest.add(&portal.parameter_digest.to_le_bytes());
        let notes = &mut self.notes;
        notes.request_key = notes.request_key.take().or(hints.request_key.clone());
        notes.class = notes.class.take().or(hints.class.clone());
        if execute.max_rows == 0 {
            let name = execute.name.as_deref().unwrap_or_default();
            self.unfinished_portals.retain(|portal| portal != name);
        }
        self.add(PgWireFrontendMessage::Execute(execute));
    }

    /// Adds the Close of a client's statement, which at the back end stays.
    pub fn add_closed_statement(&mut self, client_name: String) {
        self.closed.push(client_name);
        let message = Close::new(TARGET_TYPE_BYTE_PORTAL, Some(NO_PORTAL.to_owned()));
        self.add(PgWireFrontendMessage::Close(message));
    }

    /// Adds the Close of a portal.
    pub fn add_closed_portal(&mut self, close: Close) {
        let name = close.name.as_deref().unwrap_or_default();
        self.unfinished_portals.retain(|portal| portal != name);
        self.add(PgWireFrontendMessage::Close(close));
    }

    /// The work that the messages are, ended by a Sync.
    pub fn take_work(&mut self) -> Work {
        self.add(PgWireFrontendMessage::Sync(Sync::new()));
        let mut notes = std::mem::take(&mut self.notes);
        notes.digest = self.digest.finish();
        Work {
            writes: self.writes,
            prepared: std::mem::take(&mut self.prepared),
            messages: std::mem::take(&mut self.messages).to_vec(),
            notes,
            mode: AnswerMode::Forward,
        }
    }

    /// Takes back the registration of statements whose Parse was not completed, and frees the
    /// closed names if the run has worked.
    pub fn settle(
        self,
        statements: &mut PreparedStatements,
        parses_completed: usize,
        outcome: StepOutcome,
    ) {
        let failed = self.registrations.into_iter().skip(parses_completed);
        // The last one first, so that a name prepared twice goes back to its first state.
        for registration in failed.collect::<Vec<_>>().into_iter().rev() {
            statements.replace(&registration.client_name, registration.former);
        }
        if outcome == StepOutcome::Done {
            for client_name in self.closed {
                statements.replace(&client_name, None);
            }
        }
    }

    /// Takes note of a statement that the back end must know, unless the run itself parses it.
    fn need(&mut self, prepared: &Prepared) {
        let statement = &prepared.statement;
        let is_known = self.parsed.contains(&statement.name)
            || self
                .prepared
                .iter()
                .any(|known| known.name == statement.name);
        if !is_known {
            self.prepared.push(statement.clone());
        }
    }

    fn add(&mut self, message: PgWireFrontendMessage) {
        encode(&mut self.messages, &message);
    }
}

/// The digest of a Bind's parameters with their formats.
pub(super) fn digest_parameters(bind: &Bind) -> u64 {
    let mut digest = RequestDigest::new();
    for format in &bind.parameter_format_codes {
        digest.add(&format.to_le_bytes());
    }
    for parameter in &bind.parameters {
        match parameter {
            Some(value) => digest.add(value),
            None => digest.add_null(),
        }
    }
    digest.finish()
}
