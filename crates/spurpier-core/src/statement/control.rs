//! Recognition of transaction control: BEGIN, COMMIT, ROLLBACK and savepoints in all spellings.

use sqlparser::tokenizer::Token;

use super::StatementClass;

/// Classifies a transaction control statement; `None` for any other statement.
///
/// `words` holds the statement's tokens without white space and comments.
pub(super) fn classify_control(words: &[&Token]) -> Option<StatementClass> {
    let texts: Vec<String> = words.iter().map(|token| keyword(token)).collect();
    let keywords: Vec<&str> = texts.iter().map(String::as_str).collect();
    let class = match keywords.as_slice() {
        ["BEGIN", "TRANSACTION" | "WORK", modes @ ..] | ["BEGIN", modes @ ..] => {
            classify_begin(modes)
        }
        ["START", "TRANSACTION", modes @ ..] => classify_begin(modes),
        ["COMMIT" | "END" | "ABORT" | "ROLLBACK", "PREPARED", ..] => {
            StatementClass::Unsupported("two-phase commit")
        }
        ["PREPARE", "TRANSACTION", ..] => StatementClass::Unsupported("two-phase commit"),
        ["COMMIT" | "END", rest @ ..] => classify_end(rest, StatementClass::Commit),
        ["ROLLBACK" | "ABORT", rest @ ..] => classify_rollback(rest, words),
        ["SAVEPOINT", _] => StatementClass::Savepoint(identifier(words[1])),
        ["RELEASE", "SAVEPOINT", _] => StatementClass::ReleaseSavepoint(identifier(words[2])),
        ["RELEASE", _] => StatementClass::ReleaseSavepoint(identifier(words[1])),
        ["SAVEPOINT" | "RELEASE" | "START", ..] => {
            StatementClass::Unsupported("an unknown form of transaction control")
        }
        _ => return None,
    };
    Some(class)
}

fn classify_begin(modes: &[&str]) -> StatementClass {
    let mut read_only = false;
    let mut rest = modes;
    loop {
        rest = match rest {
            [] => return StatementClass::Begin { read_only },
            [",", tail @ ..] => tail,
            ["READ", "ONLY", tail @ ..] => {
                read_only = true;
                tail
            }
            ["READ", "WRITE", tail @ ..] => {
                read_only = false;
                tail
            }
            [
                "ISOLATION",
                "LEVEL",
                "READ",
                "COMMITTED" | "UNCOMMITTED",
                tail @ ..,
            ] => tail,
            ["ISOLATION", "LEVEL", "REPEATABLE", "READ", tail @ ..] => tail,
            ["ISOLATION", "LEVEL", "SERIALIZABLE", tail @ ..] => tail,
            ["NOT", "DEFERRABLE", tail @ ..] | ["DEFERRABLE", tail @ ..] => tail,
            _ => return StatementClass::Unsupported("an unknown transaction mode"),
        };
    }
}

fn classify_end(rest: &[&str], class: StatementClass) -> StatementClass {
    match rest {
        [] | ["WORK" | "TRANSACTION"] => class,
        ["AND", "NO", "CHAIN"] | ["WORK" | "TRANSACTION", "AND", "NO", "CHAIN"] => class,
        _ => StatementClass::Unsupported("an unknown form of transaction control"),
    }
}

fn classify_rollback(rest: &[&str], words: &[&Token]) -> StatementClass {
    match rest {
        ["TO", "SAVEPOINT", _]
        | ["TO", _]
        | ["WORK" | "TRANSACTION", "TO", "SAVEPOINT", _]
        | ["WORK" | "TRANSACTION", "TO", _] => {
            let name = words.last().map(|token| identifier(token));
            StatementClass::RollbackToSavepoint(name.unwrap_or_default())
        }
        _ => classify_end(rest, StatementClass::Rollback),
    }
}

/// The token in upper case if it can be a keyword, and otherwise unchanged. A quoted identifier is
/// never a keyword.
pub(super) fn keyword(token: &Token) -> String {
    match token {
        Token::Word(word) if word.quote_style.is_none() => word.value.to_ascii_uppercase(),
        other => other.to_string(),
    }
}

/// The token as an identifier, folded to lower case unless quoted.
pub(super) fn identifier(token: &Token) -> String {
    match token {
        Token::Word(word) if word.quote_style.is_none() => word.value.to_lowercase(),
        Token::Word(word) => word.value.clone(),
        other => other.to_string(),
    }
}
