//! Classification of SQL statements as reads, writes, transaction control and session commands.
//!
//! Statements are classified before any part of them is sent to a back end. The classification is
//! conservative: a statement is a read only if its whole syntax tree is known to have no side
//! effects; everything else, including text that cannot be parsed, counts as a write.

mod cache;
mod comment;
mod control;
mod digest;
mod functions;
mod query;
mod session_command;
mod split;

use std::ops::Range;

pub use cache::ClassificationCache;
pub use comment::CommentHints;
pub use digest::{RequestDigest, back_end_statement_name};
pub use session_command::{
    LocalCommand, ProxySetting, SettingChange, is_fixed_setting, quote_literal,
};

use control::classify_control;
use query::classify_query;
use session_command::classify_session_command;
use split::{TokenizedStatement, split_statements};

/// The kind of a statement, which determines how the proxy handles it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StatementClass {
    /// It has no side effects.
    Read,
    /// It writes or may write.
    Write,
    /// It opens a transaction block.
    Begin {
        /// Whether the statement declares the block read-only.
        read_only: bool,
    },
    /// It commits the transaction block.
    Commit,
    /// It rolls the transaction block back.
    Rollback,
    /// It sets a savepoint of this name.
    Savepoint(String),
    /// It releases the savepoint of this name.
    ReleaseSavepoint(String),
    /// It rolls back to the savepoint of this name.
    RollbackToSavepoint(String),
    /// It changes session settings of the database.
    Setting(SettingChange),
    /// The proxy answers it from its own session state.
    Local(LocalCommand),
    /// The proxy cannot forward it; the text names the unsupported feature for the client.
    Unsupported(&'static str),
}

impl StatementClass {
    /// Whether the statement opens or ends a transaction block.
    pub fn is_transaction_control(&self) -> bool {
        use StatementClass::{Begin, Commit, Rollback};
        matches!(self, Begin { .. } | Commit | Rollback)
    }

    /// Whether the statement must not be combined with others in one batch for a back end.
    pub fn must_be_sent_alone(&self) -> bool {
        !matches!(self, StatementClass::Read | StatementClass::Write)
    }
}

/// One statement of a text.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ClassifiedStatement {
    /// Its byte range in the text, without the semicolon.
    pub range: Range<usize>,
    /// The kind of the statement.
    pub class: StatementClass,
}

/// The statements of a text, and the hints in its comments.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct ClassifiedText {
    /// The statements in order, without empty ones.
    pub statements: Vec<ClassifiedStatement>,
    /// Hints about the request that the client put in comments.
    pub hints: CommentHints,
    /// A digest of the text's tokens, which ignores white space and comments.
    pub token_digest: u64,
}

/// Classifies all statements of `text`; a text without valid tokens counts as one statement.
pub fn classify(text: &str) -> ClassifiedText {
    let Some(tokenized) = split_statements(text) else {
        return classify_untokenizable(text);
    };
    let statements = tokenized.iter().map(|statement| ClassifiedStatement {
        range: statement.range.clone(),
        class: classify_tokenized(text, statement),
    });
    ClassifiedText {
        statements: statements.collect(),
        hints: comment::find_hints(&tokenized),
        token_digest: digest::digest_of_tokens(&tokenized),
    }
}

/// Classifies a text that cannot be tokenized. Such a text may contain transaction control after a
/// semicolon and is then unsupported; without a semicolon it counts as one write.
fn classify_untokenizable(text: &str) -> ClassifiedText {
    let trimmed = text.trim_end().trim_end_matches(';');
    let class = if trimmed.contains(';') {
        StatementClass::Unsupported("several statements of which one cannot be read")
    } else {
        StatementClass::Write
    };
    let statement = ClassifiedStatement {
        range: 0..text.len(),
        class,
    };
    ClassifiedText {
        statements: vec![statement],
        hints: CommentHints::default(),
        token_digest: xxhash_rust::xxh3::xxh3_64(text.as_bytes()),
    }
}

fn classify_tokenized(text: &str, statement: &TokenizedStatement) -> StatementClass {
    let words = statement.significant_tokens();
    if let Some(class) = classify_control(&words) {
        return class;
    }
    let statement_text = &text[statement.range.clone()];
    if let Some(class) = classify_session_command(statement_text, &words) {
        return class;
    }
    classify_query(statement_text, &words)
}
