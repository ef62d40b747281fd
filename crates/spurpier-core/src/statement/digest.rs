//! Digests of statements: for request keys and for names on back-end connections.

use xxhash_rust::xxh3::{Xxh3, xxh3_128};

use super::split::TokenizedStatement;

/// The digest of a request's statements and parameters, built up piece by piece.
///
/// Each piece is hashed with its length, so that no two sequences of pieces run together.
#[derive(Default)]
pub struct RequestDigest {
    hasher: Xxh3,
}

impl RequestDigest {
    /// A digest of nothing yet.
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds a piece: a statement's text or a parameter's value.
    pub fn add(&mut self, piece: &[u8]) {
        let length = piece.len() as u64;
        self.hasher.update(&length.to_le_bytes());
        self.hasher.update(piece);
    }

    /// Adds a parameter that is null, which differs from every value.
    pub fn add_null(&mut self) {
        self.hasher.update(&u64::MAX.to_le_bytes());
    }

    /// The digest; never zero, which stands for a request without a key.
    pub fn finish(&self) -> u64 {
        self.hasher.digest().max(1)
    }
}

/// The name under which a statement is prepared on back-end connections: the same for the same
/// text and parameter types, whichever session prepares it.
pub fn back_end_statement_name(text: &str, parameter_types: &[u32]) -> String {
    let mut input = Vec::with_capacity(text.len() + 4 * parameter_types.len() + 8);
    for type_oid in parameter_types {
        input.extend_from_slice(&type_oid.to_le_bytes());
    }
    let type_count = parameter_types.len() as u64;
    input.extend_from_slice(&type_count.to_le_bytes());
    input.extend_from_slice(text.as_bytes());
    format!("spurpier_{:032x}", xxh3_128(&input))
}

/// The digest of the statements' tokens, so that comments and white space do not count.
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
