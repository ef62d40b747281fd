//! Classification of SQL texts: what each statement does, before anything of it is sent.
//!
//! The rule is one-sided. A statement is a read only when its whole syntax tree is known to have
//! no effect; everything else, and everything that cannot be parsed, counts as a write.

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
pub use session_command::{LocalCommand, ProxySetting, SettingChange, quote_literal};

use control::classify_control;
use query::classify_query;
use session_command::classify_session_command;
use split::{TokenizedStatement, split_statements};

/// What one statement does.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StatementClass {
    /// It reads only.
    Read,
    /// It writes, or may write.
    Write,
    /// It opens a transaction block.
    Begin {
        /// Whether the client declared the block read-only.
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
    /// It changes a setting of the session.
    Setting(SettingChange),
    /// The proxy answers it from what it knows of the session.
    Local(LocalCommand),
    /// It cannot be carried; the text says what it is.
    Unsupported(&'static str),
}

impl StatementClass {
    /// Whether the statement opens or ends a transaction block.
    pub fn is_transaction_control(&self) -> bool {
        use StatementClass::{Begin, Commit, Rollback};
        matches!(self, Begin { .. } | Commit | Rollback)
    }

    /// Whether the statement must stand alone in what is sent to a back end.
    pub fn must_be_sent_alone(&self) -> bool {
        !matches!(self, StatementClass::Read | StatementClass::Write)
    }
}

/// One statement of a text.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ClassifiedStatement {
    /// Where it stands in the text, in bytes, without its semicolon.
    pub range: Range<usize>,
    /// What it does.
    pub class: StatementClass,
}

/// All statements of a text and what the text's comments say.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct ClassifiedText {
    /// The statements in order; empty statements are left out.
    pub statements: Vec<ClassifiedStatement>,
    /// What the client says of the request in comments.
    pub hints: CommentHints,
    /// A digest of the text's tokens; white space and comments do not count.
    pub token_digest: u64,
}

/// Classifies all statements of `text`.
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

/// A text that has no valid tokens may hide transaction control behind a semicolon; such a text
/// is refused, and any other counts as one write.
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
