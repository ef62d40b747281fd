//! The settings of a session, which are applied to each back-end connection that it uses.

use crate::statement::SettingChange;

/// A session's settings. Changes made in the open transaction block are kept apart until its
/// commit.
#[derive(Debug, Clone, Default)]
pub struct SessionSettings {
    defaults: Vec<(String, String)>,
    committed: Vec<(String, String)>,
    pending: Vec<SettingChange>,
    savepoints: Vec<Savepoint>,
}

#[derive(Debug, Clone)]
struct Savepoint {
    name: String,
    pending_before: usize,
}

impl SessionSettings {
    /// A session with the settings of the client's startup message, which a reset restores.
    pub fn new(defaults: Vec<(String, String)>) -> Self {
        SessionSettings {
            committed: defaults.clone(),
            defaults,
            ..SessionSettings::default()
        }
    }

    /// The SQL value that a reset restores; `None` if it restores the server's own default.
    pub fn default_value(&self, name: &str) -> Option<&str> {
        let default = self.defaults.iter().find(|(known, _)| known == name);
        default.map(|(_, value)| value.as_str())
    }

    /// The settings that apply outside the open transaction block: names and SQL values, in the
    /// order in which they were set.
    pub fn committed(&self) -> &[(String, String)] {
        &self.committed
    }

    /// Records a change that took effect outside a transaction block.
    pub fn apply(&mut self, change: SettingChange) {
        match change {
            SettingChange::Set { name, value } => {
                self.remove(&name);
                self.committed.push((name, value));
            }
            SettingChange::Reset { name } => {
                self.remove(&name);
                let default = self.default_value(&name).map(str::to_owned);
                self.committed.extend(default.map(|value| (name, value)));
            }
            SettingChange::ResetAll => self.committed = self.defaults.clone(),
        }
    }

    /// Records a change that took effect inside the open transaction block.
    pub fn apply_in_transaction(&mut self, change: SettingChange) {
        self.pending.push(change);
    }

    /// The names of all settings that are set now, including pending ones.
    pub fn names(&self) -> Vec<String> {
        let mut names: Vec<String> = self
            .committed
            .iter()
            .map(|(name, _)| name.clone())
            .collect();
        for change in &self.pending {
            if let SettingChange::Set { name, .. } = change
                && !names.contains(name)
            {
                names.push(name.clone());
            }
        }
        names
    }

    /// Number of committed settings and pending changes that are stored.
    pub fn change_count(&self) -> usize {
        self.committed.len() + self.pending.len()
    }

    /// Number of savepoints in the open transaction block.
    pub fn savepoint_count(&self) -> usize {
        self.savepoints.len()
    }

    /// Records a new savepoint of the open transaction block.
    pub fn add_savepoint(&mut self, name: &str) {
        self.savepoints.push(Savepoint {
            name: name.to_owned(),
            pending_before: self.pending.len(),
        });
    }

    /// Records the release of a savepoint and of all later ones. An unknown name changes nothing.
    pub fn release_savepoint(&mut self, name: &str) {
        if let Some(index) = self.find_savepoint(name) {
            self.savepoints.truncate(index);
        }
    }

    /// Drops the changes made since a savepoint, which itself stays. An unknown name changes
    /// nothing.
    pub fn rollback_to_savepoint(&mut self, name: &str) {
        if let Some(index) = self.find_savepoint(name) {
            self.pending.truncate(self.savepoints[index].pending_before);
            self.savepoints.truncate(index + 1);
        }
    }

    /// Records the commit of the transaction block: its changes now apply to the session.
    pub fn commit(&mut self) {
        self.savepoints.clear();
        for change in std::mem::take(&mut self.pending) {
            self.apply(change);
        }
    }

    /// Records the rollback of the transaction block: its changes are discarded.
    pub fn rollback(&mut self) {
        self.savepoints.clear();
        self.pending.clear();
    }

    fn remove(&mut self, name: &str) {
        self.committed.retain(|(existing, _)| existing != name);
    }

    fn find_savepoint(&self, name: &str) -> Option<usize> {
        self.savepoints
            .iter()
            .rposition(|savepoint| savepoint.name == name)
    }
}
