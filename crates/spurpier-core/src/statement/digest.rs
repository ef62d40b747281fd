//! Statement digests, used for request keys and for prepared statement names on back ends.

use sha2::{Digest, Sha256};
use xxhash_rust::xxh3::Xxh3;

use super::split::TokenizedStatement;

/// An incremental digest of a request's statements and parameters.
///
/// Each part is hashed together with its length, so that parts with different boundaries but the
/// same concatenation have different digests.
#[derive(Default)]
pub struct RequestDigest {
    hasher: Xxh3,
}

impl RequestDigest {
    /// Creates an empty digest.
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds a part: a statement's text or a parameter's value.
    pub fn add(&mut self, part: &[u8]) {
        let length = part.len() as u64;
        self.hasher.update(&length.to_le_bytes());
        self.hasher.update(part);
    }

    /// Adds a null parameter, which is distinct from every value.
    pub fn add_null(&mut self) {
        self.hasher.update(&u64::MAX.to_le_bytes());
    }

    /// The digest. It is never zero, because zero represents a request without a key.
    pub fn finish(&self) -> u64 {
        self.hasher.digest().max(1)
    }
}

/// Number of hexadecimal digits of a statement's digest that its name holds: with all of them,
/// PostgreSQL would truncate the name.
const NAME_DIGITS: usize = 48;

/// The name under which a statement is prepared on back-end connections.
///
/// It depends only on the text and the parameter types (as OIDs), so that sessions which prepare
/// the same statement share it on a connection. Clients choose both, so the digest has to resist a
/// deliberate search for collisions.
pub fn back_end_statement_name(text: &str, parameter_types: &[u32]) -> String {
    let type_count = parameter_types.len() as u64;
    let mut hasher = Sha256::new_with_prefix(type_count.to_le_bytes());
    for type_oid in parameter_types {
        hasher.update(type_oid.to_le_bytes());
    }
    hasher.update(text);
    format!("spurpier_{:.NAME_DIGITS$x}", hasher.finalize())
}

/// The digest of the statements' tokens, which ignores comments and white space.
pub(super) fn digest_of_tokens(statements: &[TokenizedStatement]) -> u64 {
    let mut digest = RequestDigest::new();
    for statement in statements {
        for token in statement.significant_tokens() {
            digest.add(token.to_string().as_bytes());
        }
        digest.add(b";");
    }
    digest.finish()
}
