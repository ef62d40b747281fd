//! Changes of the session's settings.
//!
//! No back-end connection ever keeps a setting by a client's statement: in a transaction block
//! it is made as `SET LOCAL`, outside of one it is tried out in a block that is rolled back.
//! The home side sets what a unit needs from the settings that the unit carries.

use spurpier_core::statement::SettingChange;
use spurpier_protocol::unit::{BatchEffect, UnitInput};

use super::answer::AnswerMode;
use super::client_stream::Ended;
use super::connection::{Connection, StepOutcome, Transaction};
use super::reply::{self, SqlError};
use super::unit::{BatchEnding, OpenUnit};
use super::work::{RequestNotes, Work, query_batch};

/// The transaction block in which the proxy tries a setting out.
const TRIAL_BEGIN: &str = "BEGIN READ ONLY";

/// Settings that one session may hold, changes of an open block included.
const SETTINGS_PER_SESSION: usize = 256;

/// Bytes of one setting's value.
const SETTING_BYTES: usize = 8 * 1024;

impl Connection {
    /// Makes a change of settings, and records it once it has worked.
    pub(super) async fn change_setting(
        &mut self,
        change: SettingChange,
        notes: &RequestNotes,
    ) -> Result<StepOutcome, Ended> {
        let tag = match &change {
            SettingChange::Set { .. } => "SET",
            SettingChange::Reset { .. } | SettingChange::ResetAll => "RESET",
        };
        if !self.has_room_for(&change) {
            let error = SqlError::new("53400", "too many or too large settings in this session");
            return Ok(self.give_error(&error));
        }
        let outcome = match (&self.transaction, &change) {
            (_, SettingChange::Set { name, value }) if name == "application_name" => {
                let value = value.trim_matches('\'').to_owned();
                reply::append_parameter(&mut self.client.output, "application_name", &value);
                StepOutcome::Done
            }
            (Transaction::Idle, SettingChange::Set { .. }) => {
                let outcome = self.try_setting(&change, notes).await?;
                if outcome == StepOutcome::Done {
                    self.session.settings.apply(change);
                }
                outcome
            }
            (Transaction::Idle, _) => {
                self.session.settings.apply(change);
                StepOutcome::Done
            }
            _ => {
                let outcome = self.set_in_block(&change, notes).await?;
                if outcome == StepOutcome::Done {
                    self.session.settings.apply_in_transaction(change);
                }
                outcome
            }
        };
        if outcome == StepOutcome::Done {
            reply::append_command_complete(&mut self.client.output, tag);
        }
        Ok(outcome)
    }

    fn has_room_for(&self, change: &SettingChange) -> bool {
        let settings = &self.session.settings;
        let value_length = match change {
            SettingChange::Set { value, .. } => value.len(),
            SettingChange::Reset { .. } | SettingChange::ResetAll => 0,
        };
        settings.change_count() < SETTINGS_PER_SESSION && value_length <= SETTING_BYTES
    }

    /// Has a server judge a setting, in a transaction block of the proxy's own that is then
    /// abandoned: no back-end connection keeps the setting by this.
    async fn try_setting(
        &mut self,
        change: &SettingChange,
        notes: &RequestNotes,
    ) -> Result<StepOutcome, Ended> {
        self.transaction = Transaction::Begun {
            text: TRIAL_BEGIN.to_owned(),
            read_only: true,
        };
        let outcome = self.set_in_block(change, notes).await;
        let unit = std::mem::take(&mut self.transaction);
        if let Transaction::Open(unit) = unit {
            self.end_trial(unit).await?;
        }
        outcome
    }

    /// Rolls a trial block back; how that goes does not matter to the client.
    async fn end_trial(&mut self, mut unit: OpenUnit) -> Result<(), Ended> {
        let batch = query_batch(BatchEffect::Rollback, "ROLLBACK");
        let sent = unit.handle.input.send(UnitInput::Batch(batch)).await;
        if sent.is_err() {
            return Ok(());
        }
        let length = self.client.output.len();
        let (ending, _) = self.relay_answer(&mut unit, AnswerMode::ErrorsOnly).await?;
        let result = match ending {
            BatchEnding::Answered(_) => self.await_result(&mut unit).await?,
            BatchEnding::Finished(result) => Some(result),
            BatchEnding::Lost => None,
        };
        unit.has_ended = result.is_some();
        self.client.output.truncate(length);
        Ok(())
    }

    /// Makes a change of settings within the block, in the form that ends with the block.
    async fn set_in_block(
        &mut self,
        change: &SettingChange,
        notes: &RequestNotes,
    ) -> Result<StepOutcome, Ended> {
        let text = self.local_form(change);
        if text.is_empty() {
            return Ok(StepOutcome::Done);
        }
        let mut work = Work::query(&text, false, notes.clone());
        work.mode = AnswerMode::ErrorsOnly;
        self.run_in_block(work).await
    }

    /// `SET LOCAL` for a change, so that the back-end connection is left as it was.
    fn local_form(&self, change: &SettingChange) -> String {
        let settings = &self.session.settings;
        let reset = |name: &str| {
            let value = settings.default_value(name).unwrap_or("DEFAULT");
            format!("SET LOCAL {name} TO {value}")
        };
        match change {
            SettingChange::Set { name, value } => format!("SET LOCAL {name} TO {value}"),
            SettingChange::Reset { name } => reset(name),
            SettingChange::ResetAll => {
                let resets: Vec<String> = settings.names().iter().map(|name| reset(name)).collect();
                resets.join("; ")
            }
        }
    }
}
