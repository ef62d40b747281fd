//! The statements that are prepared on a server connection, and their names there.

use std::collections::HashMap;
use std::fmt;

use sha2::{Digest, Sha256};

use crate::ports::{Effect, StatementName};

/// Maximum number of statements that stay prepared on a connection.
const MAX_PREPARED_STATEMENTS: usize = 256;

/// Length of a shape's digest in bytes.
const SHAPE_DIGEST_BYTES: usize = 32;
/// Number of bytes of a shape's digest that logs show.
const SHOWN_DIGEST_BYTES: usize = 8;

/// The digest of a prepared statement's shape and effect, by which sessions share the statement on a
/// server connection.
///
/// It takes the place of the shape, which may be as long as a message. Clients choose shapes, so it
/// has to resist a deliberate search for collisions.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct ShapeDigest([u8; SHAPE_DIGEST_BYTES]);

impl ShapeDigest {
    /// Computes the digest.
    pub fn of(effect: Effect, shape: &str) -> Self {
        let tag = match effect {
            Effect::Read => b'r',
            Effect::Write => b'w',
        };
        let hasher = Sha256::new_with_prefix([tag]);
        ShapeDigest(hasher.chain_update(shape).finalize().into())
    }
}

/// The first bytes in hexadecimal, which tell shapes apart in logs.
impl fmt::Display for ShapeDigest {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let mut shown = self.0[..SHOWN_DIGEST_BYTES].iter();
        shown.try_for_each(|byte| write!(formatter, "{byte:02x}"))
    }
}

/// A statement that is prepared on the connection.
#[derive(Debug, Clone, Copy)]
struct Entry {
    name: StatementName,
    /// The number of the lookup that used it last.
    last_use: u64,
}

/// The statements that are prepared on one server connection.
///
/// Names are numbers in the order of preparation. They are never reused on a connection, so that a
/// statement that the server still has under a former name cannot be taken for another.
#[derive(Debug, Default)]
pub struct PreparedStatements {
    entries: HashMap<ShapeDigest, Entry>,
    names: u64,
    uses: u64,
}

impl PreparedStatements {
    /// Returns the name of a prepared statement, and marks it as used; `None` if it is not prepared.
    pub fn find(&mut self, shape: &ShapeDigest) -> Option<StatementName> {
        let entry = self.entries.get_mut(shape)?;
        self.uses += 1;
        entry.last_use = self.uses;
        Some(entry.name)
    }

    /// Returns a name that no statement of the connection has had.
    pub fn new_name(&mut self) -> StatementName {
        self.names += 1;
        StatementName(self.names)
    }

    /// Records that a statement is prepared under this name.
    pub fn insert(&mut self, shape: ShapeDigest, name: StatementName) {
        self.uses += 1;
        let last_use = self.uses;
        self.entries.insert(shape, Entry { name, last_use });
    }

    /// The least recently used statement if the connection has [`MAX_PREPARED_STATEMENTS`]: it has to
    /// be deallocated before another one is prepared.
    pub fn surplus(&self) -> Option<StatementName> {
        if self.entries.len() < MAX_PREPARED_STATEMENTS {
            return None;
        }
        let oldest = self.entries.values().min_by_key(|entry| entry.last_use);
        oldest.map(|entry| entry.name)
    }

    /// Removes a statement, which the server no longer has.
    pub fn remove(&mut self, name: StatementName) {
        self.entries.retain(|_, entry| entry.name != name);
    }

    /// Removes all statements.
    pub fn clear(&mut self) {
        self.entries.clear();
    }
}
