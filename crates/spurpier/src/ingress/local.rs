//! Commands that the proxy answers itself, from what it knows of the session.

use spurpier_core::identity::{RequestKey, SessionId};
use spurpier_core::reason::Reason;
use spurpier_core::session::PositionToken;
use spurpier_core::statement::{LocalCommand, ProxySetting};

use super::connection::{Connection, StepOutcome, Transaction};
use super::reply::{self, Refusal, SqlError};
use super::session::LONGEST_NAME;

impl Connection {
    /// Runs a command that needs no back end.
    pub(super) fn run_local(&mut self, command: &LocalCommand) -> StepOutcome {
        let tag = match command {
            LocalCommand::Set { setting, value } => {
                if self.set_own(*setting, value) == StepOutcome::Failed {
                    return StepOutcome::Failed;
                }
                "SET"
            }
            LocalCommand::Show(setting) => {
                let value = self.show_own(*setting);
                reply::append_text_row(&mut self.client.output, &value);
                "SHOW"
            }
            LocalCommand::Deallocate(Some(name)) => {
                if self.session.statements.replace(name, None).is_none() {
                    let message = format!("prepared statement \"{name}\" does not exist");
                    return self.give_error(&SqlError::new("26000", message));
                }
                "DEALLOCATE"
            }
            LocalCommand::Deallocate(None) => {
                self.session.statements.clear();
                "DEALLOCATE ALL"
            }
            LocalCommand::DiscardAll => {
                if !matches!(self.transaction, Transaction::Idle) {
                    let message = "DISCARD ALL cannot run inside a transaction block";
                    return self.give_error(&SqlError::new("25001", message));
                }
                self.discard_all();
                "DISCARD ALL"
            }
        };
        reply::append_command_complete(&mut self.client.output, tag);
        StepOutcome::Done
    }

    fn set_own(&mut self, setting: ProxySetting, value: &str) -> StepOutcome {
        if setting != ProxySetting::Position && value.len() > LONGEST_NAME {
            let message = format!("{} is longer than {LONGEST_NAME} bytes", setting.name());
            return self.give_error(&SqlError::new("22023", message));
        }
        match setting {
            ProxySetting::Session if value.is_empty() => {
                let message = "spurpier.session cannot be empty";
                return self.give_error(&SqlError::new("22023", message));
            }
            ProxySetting::Session => self.session.id = SessionId::from(value),
            ProxySetting::Class => self.session.class = value.to_owned(),
            ProxySetting::RequestKey => return self.set_request_key(value),
            ProxySetting::Position => match value.parse::<PositionToken>() {
                Ok(token) => {
                    if self.session.raise_floors(&token) {
                        self.report_position();
                    }
                }
                Err(error) => {
                    return self.give_error(&SqlError::new("22023", error.to_string()));
                }
            },
        }
        StepOutcome::Done
    }

    fn set_request_key(&mut self, value: &str) -> StepOutcome {
        if let Transaction::Open(unit) = &self.transaction
            && !unit.is_read()
        {
            let detail = "the request key must be known at the transaction's first statement";
            return self.refuse(&Refusal::with_detail(Reason::Unsupported, detail));
        }
        self.session.request_key = (!value.is_empty()).then(|| RequestKey::from(value));
        StepOutcome::Done
    }

    fn show_own(&self, setting: ProxySetting) -> String {
        let session = &self.session;
        match setting {
            ProxySetting::Session => session.id.as_str().to_owned(),
            ProxySetting::Position => session.position(),
            ProxySetting::Class => session.class.clone(),
            ProxySetting::RequestKey => {
                let key = session.request_key.as_ref();
                key.map_or_else(String::new, |key| key.as_str().to_owned())
            }
        }
    }

    /// Forgets what the client has set; the floors stay, since what was read was read.
    fn discard_all(&mut self) {
        let session = &mut self.session;
        session
            .settings
            .apply(spurpier_core::statement::SettingChange::ResetAll);
        session.statements.clear();
        session.portals.clear();
        session.class.clear();
        session.request_key = None;
    }
}
