//! Splits and classifies PostgreSQL statements and rewrites them for SQLite, token by token.

use sqlparser::dialect::PostgreSqlDialect;
use sqlparser::tokenizer::{Token, Tokenizer};

use super::group_call::GroupCall;
use super::settings::{self, SettingCommand};
use super::sql_error::{SqlError, SqlState};
use super::sql_type::SqlType;

/// What a statement is.
#[derive(Debug, Clone, PartialEq)]
pub(crate) enum StatementKind {
    /// Opens a transaction block.
    Begin {
        /// Whether it takes no writes.
        read_only: bool,
    },
    /// Commits the transaction block.
    Commit,
    /// Rolls the transaction block back.
    Rollback,
    /// Concerns the session's settings or prepared statements.
    Setting(SettingCommand),
    /// Calls a function of the group.
    Call(GroupCall),
    /// Reads from the tables.
    Read {
        /// Whether it ends in `FOR UPDATE` or `FOR SHARE`.
        locking: bool,
    },
    /// Writes to the tables or changes their definitions.
    Write,
}

/// One statement.
#[derive(Debug, Clone, PartialEq)]
pub(crate) struct StatementText {
    /// What it is.
    pub kind: StatementKind,
    /// Its tokens as written, without white space and comments.
    pub tokens: Vec<Token>,
    /// Its text for SQLite; empty where SQLite does not run it.
    pub sql: String,
    /// The command tag without the number of rows.
    pub tag: String,
}

/// The text of an unquoted word in lower case; none for other tokens.
pub(crate) fn word(token: &Token) -> Option<String> {
    match token {
        Token::Word(word) if word.quote_style.is_none() => Some(word.value.to_ascii_lowercase()),
        _ => None,
    }
}

/// Whether a token is the given unquoted word, in lower case.
pub(crate) fn is_word(token: Option<&Token>, expected: &str) -> bool {
    token.and_then(word).is_some_and(|found| found == expected)
}

/// The number of a parameter, counted from 0, as in `$1`.
pub(crate) fn parameter_index(token: &Token) -> Option<usize> {
    let Token::Placeholder(text) = token else {
        return None;
    };
    let number: usize = text.strip_prefix('$')?.parse().ok()?;
    number.checked_sub(1)
}

/// The name of a table or column as a token gives it, in lower case.
pub(crate) fn identifier(token: &Token) -> Option<String> {
    match token {
        Token::Word(word) => Some(word.value.to_ascii_lowercase()),
        _ => None,
    }
}

/// Splits a text into its statements, leaving out empty ones.
pub(crate) fn split(text: &str) -> Result<Vec<StatementText>, SqlError> {
    let dialect = PostgreSqlDialect {};
    let tokens = Tokenizer::new(&dialect, text)
        .with_unescape(false)
        .tokenize()
        .map_err(|error| SqlError::new(SqlState::SyntaxError, error.to_string()))?;
    let tokens: Vec<Token> = tokens
        .into_iter()
        .filter(|token| !matches!(token, Token::Whitespace(_) | Token::EOF))
        .collect();
    tokens
        .split(|token| *token == Token::SemiColon)
        .filter(|tokens| !tokens.is_empty())
        .map(|tokens| StatementText::new(tokens.to_vec()))
        .collect()
}

impl StatementText {
    fn new(tokens: Vec<Token>) -> Result<Self, SqlError> {
        let (kind, tag) = classify(&tokens)?;
        let sql = match kind {
            StatementKind::Read { .. } | StatementKind::Write => rewrite(&tokens),
            _ => String::new(),
        };
        Ok(StatementText {
            kind,
            tokens,
            sql,
            tag,
        })
    }
}

fn classify(tokens: &[Token]) -> Result<(StatementKind, String), SqlError> {
    let words: Vec<String> = tokens.iter().map_while(word).collect();
    let first = words.first().map(String::as_str).unwrap_or_default();
    let tag = first.to_ascii_uppercase();
    let read_only = words.windows(2).any(|pair| pair == ["read", "only"]);
    let kind = match first {
        "begin" => StatementKind::Begin { read_only },
        "start" => {
            return Ok((
                StatementKind::Begin { read_only },
                "START TRANSACTION".into(),
            ));
        }
        "commit" | "end" => return Ok((StatementKind::Commit, "COMMIT".into())),
        "rollback" | "abort" if words.iter().any(|word| word == "to") => {
            return Err(savepoints_unsupported());
        }
        "rollback" | "abort" => return Ok((StatementKind::Rollback, "ROLLBACK".into())),
        "savepoint" | "release" => return Err(savepoints_unsupported()),
        "set" | "show" | "reset" | "discard" | "deallocate" => {
            let (command, tag) = settings::parse(tokens)?;
            return Ok((StatementKind::Setting(command), tag));
        }
        "select" => match GroupCall::parse(tokens)? {
            Some(call) => StatementKind::Call(call),
            None => read(tokens),
        },
        "values" | "explain" | "pragma" => return Ok((read(tokens), "SELECT".into())),
        "with" => return Ok(classify_with(tokens)),
        "create" | "drop" | "alter" => {
            let object = words.get(1).map(|word| word.to_ascii_uppercase());
            let tag = format!("{tag} {}", object.unwrap_or_default());
            return Ok((StatementKind::Write, tag));
        }
        "truncate" => return Ok((StatementKind::Write, "TRUNCATE TABLE".into())),
        "insert" | "update" | "delete" => StatementKind::Write,
        other => {
            let message = format!("syntax error at or near \"{other}\"");
            return Err(SqlError::new(SqlState::SyntaxError, message));
        }
    };
    Ok((kind, tag))
}

fn savepoints_unsupported() -> SqlError {
    SqlError::new(
        SqlState::FeatureNotSupported,
        "savepoints are not supported",
    )
}

fn read(tokens: &[Token]) -> StatementKind {
    let locking = locking_clause(tokens).is_some();
    StatementKind::Read { locking }
}

/// A `WITH` statement is what the first verb outside its parentheses makes it.
fn classify_with(tokens: &[Token]) -> (StatementKind, String) {
    let mut depth = 0_usize;
    for token in tokens {
        match token {
            Token::LParen => depth += 1,
            Token::RParen => depth = depth.saturating_sub(1),
            other if depth == 0 => match word(other).as_deref() {
                Some(verb @ ("insert" | "update" | "delete")) => {
                    return (StatementKind::Write, verb.to_ascii_uppercase());
                }
                Some("select") => break,
                _ => {}
            },
            _ => {}
        }
    }
    (read(tokens), "SELECT".into())
}

/// Where a `FOR UPDATE` or `FOR SHARE` at the end of the statement begins.
fn locking_clause(tokens: &[Token]) -> Option<usize> {
    let start = tokens
        .iter()
        .rposition(|token| is_word(Some(token), "for"))?;
    let strength = tokens.get(start + 1).and_then(word)?;
    let known = ["update", "share", "no", "key"].contains(&strength.as_str());
    known.then_some(start)
}

/// Where the type that begins at `start` ends, as in `double precision` or `varchar(20)`.
pub(crate) fn type_end(tokens: &[Token], start: usize) -> usize {
    const CONTINUATIONS: [&str; 6] = ["precision", "varying", "with", "without", "time", "zone"];
    let mut end = start + 1;
    while tokens
        .get(end)
        .and_then(word)
        .is_some_and(|word| CONTINUATIONS.contains(&word.as_str()))
    {
        end += 1;
    }
    if tokens.get(end) == Some(&Token::LParen) {
        let close = tokens[end..]
            .iter()
            .position(|token| *token == Token::RParen);
        end += close.map_or(0, |length| length + 1);
    }
    while tokens.get(end) == Some(&Token::LBracket) {
        end += 2;
    }
    end.min(tokens.len())
}

/// The text of a statement for SQLite.
fn rewrite(tokens: &[Token]) -> String {
    let end = locking_clause(tokens).unwrap_or(tokens.len());
    let tokens = &tokens[..end];
    let mut parts: Vec<String> = Vec::with_capacity(tokens.len());
    let mut index = 0;
    if is_word(tokens.first(), "truncate") {
        parts.push("DELETE FROM".into());
        index = if is_word(tokens.get(1), "table") {
            2
        } else {
            1
        };
    }
    while index < tokens.len() {
        index = rewrite_token(tokens, index, &mut parts);
    }
    parts.join(" ")
}

/// Rewrites the token at `index` and gives the index of the next one.
fn rewrite_token(tokens: &[Token], index: usize, parts: &mut Vec<String>) -> usize {
    let token = &tokens[index];
    let next = tokens.get(index + 1);
    let previous = index.checked_sub(1).and_then(|index| tokens.get(index));
    match token {
        Token::DoubleColon => return rewrite_cast(tokens, index, parts),
        Token::Placeholder(text) => parts.push(text.replacen('$', "?", 1)),
        Token::EscapedStringLiteral(text) => parts.push(format!("'{text}'")),
        Token::Word(_) => match word(token).as_deref() {
            Some("public") if next == Some(&Token::Period) => return index + 2,
            Some("current_timestamp") => parts.push("(now())".into()),
            Some("now") if is_word(previous, "default") => {
                parts.push("(now())".into());
                return index + 3;
            }
            Some("serial" | "bigserial" | "smallserial") => parts.push("INTEGER".into()),
            Some("bytea") if is_word(previous, "as") => parts.push("BLOB".into()),
            _ => parts.push(token.to_string()),
        },
        other => parts.push(other.to_string()),
    }
    index + 1
}

/// Leaves a cast out, but makes a literal of bytes one for SQLite.
fn rewrite_cast(tokens: &[Token], index: usize, parts: &mut Vec<String>) -> usize {
    let end = type_end(tokens, index + 1);
    let kind = tokens
        .get(index + 1)
        .map(|token| SqlType::from_declared(&token.to_string()));
    if kind == Some(SqlType::Bytea)
        && let Some(digits) = parts
            .last()
            .and_then(|literal| literal.strip_prefix("'\\x")?.strip_suffix('\''))
    {
        let literal = format!("X'{digits}'");
        parts.pop();
        parts.push(literal);
    }
    end
}
