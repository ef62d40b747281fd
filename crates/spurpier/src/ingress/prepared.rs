//! Prepared statements and portals, which belong to the client's session.

use std::collections::HashMap;
use std::sync::Arc;

use spurpier_core::statement::{ClassifiedStatement, ClassifiedText, StatementClass};
use spurpier_protocol::unit::PreparedStatement;

/// Bytes of statement texts that one session may hold.
const STATEMENT_BYTES_PER_SESSION: usize = 2 << 20;

/// Portals that one session may hold.
const PORTALS_PER_SESSION: usize = 1_024;

/// A statement that a client has prepared.
#[derive(Debug)]
pub(super) struct Prepared {
    /// The statement as the back end is to know it.
    pub statement: PreparedStatement,
    /// What its text does.
    pub classified: Arc<ClassifiedText>,
}

impl Prepared {
    /// The command, when the proxy itself has a part in running the statement.
    pub fn command(&self) -> Option<&ClassifiedStatement> {
        match self.classified.statements.as_slice() {
            [statement] if statement.class.must_be_sent_alone() => Some(statement),
            _ => None,
        }
    }

    /// Whether it writes, or may write.
    pub fn writes(&self) -> bool {
        let is_read = |statement: &ClassifiedStatement| statement.class == StatementClass::Read;
        !self.classified.statements.iter().all(is_read)
    }
}

/// A session's prepared statements by the client's names; the unnamed one has the empty name.
#[derive(Debug, Default)]
pub(super) struct PreparedStatements {
    statements: HashMap<String, Arc<Prepared>>,
    bytes: usize,
}

impl PreparedStatements {
    /// The statement of this name.
    pub fn get(&self, name: &str) -> Option<&Arc<Prepared>> {
        self.statements.get(name)
    }

    /// Whether there is room for another statement with a text of `length` bytes.
    pub fn has_room(&self, length: usize) -> bool {
        self.bytes + length <= STATEMENT_BYTES_PER_SESSION
    }

    /// Sets or removes the statement of a name and gives back the former one.
    pub fn replace(
        &mut self,
        name: &str,
        prepared: Option<Arc<Prepared>>,
    ) -> Option<Arc<Prepared>> {
        let added = prepared.as_deref().map_or(0, size);
        let former = match prepared {
            Some(prepared) => self.statements.insert(name.to_owned(), prepared),
            None => self.statements.remove(name),
        };
        self.bytes = self.bytes + added - former.as_deref().map_or(0, size);
        former
    }

    /// Removes all statements.
    pub fn clear(&mut self) {
        *self = Self::default();
    }
}

/// What a statement counts for; a small one costs more than its text.
fn size(prepared: &Prepared) -> usize {
    const OVERHEAD: usize = 256;
    prepared.statement.text.len() + OVERHEAD
}

/// A portal: a prepared statement with its parameters.
#[derive(Debug, Clone)]
pub(super) struct Portal {
    /// The statement.
    pub prepared: Arc<Prepared>,
    /// The digest of its parameters.
    pub parameter_digest: u64,
}

/// A session's portals by name; they end with the transaction.
#[derive(Debug, Default)]
pub(super) struct Portals {
    portals: HashMap<String, Portal>,
}

impl Portals {
    /// The portal of this name.
    pub fn get(&self, name: &str) -> Option<&Portal> {
        self.portals.get(name)
    }

    /// Adds or replaces a portal; false when there is no room for it.
    pub fn insert(&mut self, name: &str, portal: Portal) -> bool {
        let is_known = self.portals.contains_key(name);
        if !is_known && self.portals.len() >= PORTALS_PER_SESSION {
            return false;
        }
        self.portals.insert(name.to_owned(), portal);
        true
    }

    /// Removes the portal of this name.
    pub fn remove(&mut self, name: &str) {
        self.portals.remove(name);
    }

    /// Removes all portals.
    pub fn clear(&mut self) {
        self.portals = HashMap::new();
    }
}
