//! The statements that are prepared on a server connection, and their names there.

use std::collections::HashMap;

use crate::ports::{ShapeDigest, StatementName};

/// The statements that are prepared on one server connection.
///
/// Names are numbers in the order of preparation, and are never reused on a connection.
#[derive(Debug, Default)]
pub struct PreparedStatements {
    entries: HashMap<ShapeDigest, StatementName>,
    names: u64,
}

impl PreparedStatements {
    /// Returns the name of a prepared statement; `None` if it is not prepared.
    pub fn find(&self, shape: &ShapeDigest) -> Option<StatementName> {
        self.entries.get(shape).copied()
    }

    /// Returns a name that no statement of the connection has had.
    pub fn new_name(&mut self) -> StatementName {
        self.names += 1;
        StatementName(self.names)
    }

    /// Records that a statement is prepared under this name.
    pub fn insert(&mut self, shape: ShapeDigest, name: StatementName) {
        self.entries.insert(shape, name);
    }

    /// Removes all statements; the server has none of them any more.
    pub fn clear(&mut self) {
        self.entries.clear();
    }
}
