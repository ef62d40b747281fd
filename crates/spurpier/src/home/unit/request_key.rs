//! The statements that record a request key and look it up.

use std::time::{SystemTime, UNIX_EPOCH};

use spurpier_core::identity::RequestKey;
use spurpier_protocol::unit::UnitRequest;

use crate::home::backend::QueryAnswer;

/// What is recorded of a keyed request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct RecordedRequest {
    /// The digest of its statement.
    pub(super) digest: u64,
    /// Its answer; none if it was too large to be kept.
    pub(super) answer: Option<Vec<u8>>,
}

/// Opens the transaction, checks the fence, and inserts the key if there is one.
///
/// All in one query: an error in one statement keeps the following ones from running.
pub(super) fn begin_query(request: &UnitRequest) -> String {
    format!("BEGIN; {}", guard_query(request))
}

/// Checks the fence and inserts the key if there is one, within an open transaction.
pub(super) fn guard_query(request: &UnitRequest) -> String {
    let fence = format!("SELECT require_epoch({})", request.epoch);
    match &request.request_key {
        Some(key) => format!("{fence}; {}", insert_query(key, request.statement_digest)),
        None => fence,
    }
}

fn insert_query(key: &RequestKey, digest: u64) -> String {
    format!(
        "INSERT INTO spurpier_request (request_key, statement_digest, created_at_ms) \
         VALUES ({}, {}, {})",
        quoted(key),
        signed(digest),
        wall_clock_millis()
    )
}

/// Records the answer and commits; the whole fails if the key's row is gone.
pub(super) fn record_and_commit_query(
    key: &RequestKey,
    command_tag: &str,
    answer: Option<&[u8]>,
) -> String {
    let answer = answer.map_or_else(|| "NULL".to_owned(), byte_literal);
    format!(
        "UPDATE spurpier_request SET command_tag = '{}', answer = {answer} \
         WHERE request_key = {}; COMMIT",
        command_tag.replace('\'', "''"),
        quoted(key)
    )
}

/// Asks for what is recorded under a key.
pub(super) fn lookup_query(key: &RequestKey) -> String {
    format!(
        "SELECT statement_digest, answer FROM spurpier_request WHERE request_key = {}",
        quoted(key)
    )
}

/// Shows that no earlier copy holds the key: it inserts the key and takes it away again.
pub(super) fn settle_query(key: &RequestKey, digest: u64) -> String {
    format!(
        "BEGIN; {}; DELETE FROM spurpier_request WHERE request_key = {}; COMMIT",
        insert_query(key, digest),
        quoted(key)
    )
}

/// Reads the answer of [`lookup_query`]; none if the key is not recorded.
pub(super) fn read_record(answer: &QueryAnswer) -> Option<RecordedRequest> {
    let digest: i64 = answer.first(0)?.parse().ok()?;
    Some(RecordedRequest {
        digest: digest.cast_unsigned(),
        answer: answer.first(1).and_then(read_bytes),
    })
}

/// SQL's integers are signed; the bits stay the same.
fn signed(digest: u64) -> i64 {
    digest.cast_signed()
}

fn quoted(key: &RequestKey) -> String {
    format!("'{}'", key.as_str().replace('\'', "''"))
}

fn byte_literal(bytes: &[u8]) -> String {
    let mut text = String::with_capacity(bytes.len() * 2 + 4);
    text.push_str("'\\x");
    for byte in bytes {
        text.push_str(&format!("{byte:02x}"));
    }
    text.push('\'');
    text
}

fn read_bytes(text: &str) -> Option<Vec<u8>> {
    let digits = text.strip_prefix("\\x")?.as_bytes();
    let pairs = digits.chunks_exact(2);
    if !pairs.remainder().is_empty() {
        return None;
    }
    pairs
        .map(|pair| u8::from_str_radix(std::str::from_utf8(pair).ok()?, 16).ok())
        .collect()
}

/// Milliseconds since the Unix epoch; the age of a key needs no exact clock.
pub(in crate::home) fn wall_clock_millis() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, |since| {
        u64::try_from(since.as_millis()).unwrap_or(u64::MAX)
    })
}
