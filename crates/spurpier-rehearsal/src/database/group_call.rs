//! Calls of the functions that the server offers beside SQL, as statements of their own.

use rusqlite::types::Value;
use sqlparser::tokenizer::Token;

use super::result_types::ResultColumn;
use super::sql_error::{SqlError, SqlState};
use super::sql_text::{identifier, is_word, parameter_index, type_end, word};
use super::sql_type::SqlType;

/// A function of the group.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum GroupFunction {
    /// `group_status()`.
    Status,
    /// `group_last_commit()`.
    LastCommit,
    /// `require_epoch(epoch)`.
    RequireEpoch,
    /// `raise_fence(epoch)`.
    RaiseFence,
    /// `open_fence(epoch)`.
    OpenFence,
    /// `group_transfer(server)`.
    Transfer,
    /// `group_follow(addresses)`.
    Follow,
    /// `group_log(after_offset, limit)`.
    Log,
    /// `pg_sleep(seconds)`.
    Sleep,
}

const FUNCTIONS: [(&str, GroupFunction, &[SqlType]); 9] = [
    ("group_status", GroupFunction::Status, &[]),
    ("group_last_commit", GroupFunction::LastCommit, &[]),
    (
        "require_epoch",
        GroupFunction::RequireEpoch,
        &[SqlType::Int8],
    ),
    ("raise_fence", GroupFunction::RaiseFence, &[SqlType::Int8]),
    ("open_fence", GroupFunction::OpenFence, &[SqlType::Int8]),
    ("group_transfer", GroupFunction::Transfer, &[SqlType::Text]),
    ("group_follow", GroupFunction::Follow, &[SqlType::Text]),
    (
        "group_log",
        GroupFunction::Log,
        &[SqlType::Int8, SqlType::Int8],
    ),
    ("pg_sleep", GroupFunction::Sleep, &[SqlType::Float8]),
];

const STATUS_COLUMNS: &[(&str, SqlType)] = &[
    ("vote_term", SqlType::Int8),
    ("received_term", SqlType::Int8),
    ("received_offset", SqlType::Int8),
    ("applied_term", SqlType::Int8),
    ("applied_offset", SqlType::Int8),
    ("upstream_term", SqlType::Int8),
    ("upstream_offset", SqlType::Int8),
    ("role", SqlType::Text),
    ("leaving", SqlType::Bool),
    ("parent_term", SqlType::Int8),
    ("parent_offset", SqlType::Int8),
];
const LAST_COMMIT_COLUMNS: &[(&str, SqlType)] =
    &[("term", SqlType::Int8), ("offset", SqlType::Int8)];
const LOG_COLUMNS: &[(&str, SqlType)] = &[
    ("term", SqlType::Int8),
    ("offset", SqlType::Int8),
    ("record", SqlType::Bytea),
];

impl GroupFunction {
    /// The names and types of all columns of the result.
    pub(crate) fn columns(self) -> Vec<ResultColumn> {
        let columns = match self {
            GroupFunction::Status => STATUS_COLUMNS,
            GroupFunction::LastCommit => LAST_COMMIT_COLUMNS,
            GroupFunction::Log => LOG_COLUMNS,
            GroupFunction::RequireEpoch => &[("require_epoch", SqlType::Text)],
            GroupFunction::RaiseFence => &[("raise_fence", SqlType::Text)],
            GroupFunction::OpenFence => &[("open_fence", SqlType::Text)],
            GroupFunction::Transfer => &[("group_transfer", SqlType::Text)],
            GroupFunction::Follow => &[("group_follow", SqlType::Text)],
            GroupFunction::Sleep => &[("pg_sleep", SqlType::Text)],
        };
        let columns = columns.iter().map(|(name, kind)| ResultColumn {
            name: (*name).to_owned(),
            kind: *kind,
        });
        columns.collect()
    }

    /// The types of its arguments.
    pub(crate) fn argument_types(self) -> &'static [SqlType] {
        let found = FUNCTIONS.iter().find(|(_, function, _)| *function == self);
        found.map_or(&[], |(_, _, types)| types)
    }
}

/// An argument of a call.
#[derive(Debug, Clone, PartialEq)]
pub(crate) enum Argument {
    /// A parameter of the statement, counted from 0.
    Parameter(usize),
    /// A literal.
    Literal(String),
}

/// A call: `SELECT function(…)` or `SELECT columns FROM function(…)`.
#[derive(Debug, Clone, PartialEq)]
pub(crate) struct GroupCall {
    /// The function.
    pub function: GroupFunction,
    /// Its arguments.
    pub arguments: Vec<Argument>,
    /// The columns asked for, as indexes into the function's columns.
    pub projection: Vec<usize>,
}

impl GroupCall {
    /// Reads a call; none where the statement is another one.
    pub(crate) fn parse(tokens: &[Token]) -> Result<Option<Self>, SqlError> {
        let Some(open) = tokens.iter().position(|token| *token == Token::LParen) else {
            return Ok(None);
        };
        let Some(name) = open.checked_sub(1).and_then(|index| word(&tokens[index])) else {
            return Ok(None);
        };
        let Some((_, function, types)) = FUNCTIONS.iter().find(|(known, _, _)| *known == name)
        else {
            return Ok(None);
        };
        let close = tokens.iter().position(|token| *token == Token::RParen);
        let arguments = parse_arguments(&tokens[open + 1..close.unwrap_or(tokens.len())])?;
        if arguments.len() != types.len() {
            return Err(SqlError::new(
                SqlState::UndefinedFunction,
                format!("{name} takes {} arguments", types.len()),
            ));
        }
        Ok(Some(GroupCall {
            function: *function,
            arguments,
            projection: parse_projection(*function, &tokens[1..open - 1])?,
        }))
    }

    /// The columns of the result.
    pub(crate) fn columns(&self) -> Vec<ResultColumn> {
        let all = self.function.columns();
        let chosen = self.projection.iter().map(|index| all[*index].clone());
        chosen.collect()
    }

    /// The type that each parameter has by its place among the arguments.
    pub(crate) fn parameter_types(&self) -> impl Iterator<Item = (usize, SqlType)> {
        let places = self.arguments.iter().zip(self.function.argument_types());
        places.filter_map(|(argument, kind)| match argument {
            Argument::Parameter(index) => Some((*index, *kind)),
            Argument::Literal(_) => None,
        })
    }

    /// The value of an argument as a text.
    pub(crate) fn text(&self, place: usize, parameters: &[Value]) -> Result<String, SqlError> {
        let argument = self.arguments.get(place);
        let value = match argument {
            Some(Argument::Literal(text)) => return Ok(text.clone()),
            Some(Argument::Parameter(index)) => parameters.get(*index),
            None => None,
        };
        match value {
            Some(Value::Text(text)) => Ok(text.clone()),
            Some(Value::Integer(number)) => Ok(number.to_string()),
            Some(Value::Real(number)) => Ok(number.to_string()),
            Some(Value::Null | Value::Blob(_)) | None => Err(invalid_argument("")),
        }
    }

    /// The value of an argument as a number.
    pub(crate) fn number<T: std::str::FromStr>(
        &self,
        place: usize,
        parameters: &[Value],
    ) -> Result<T, SqlError> {
        let text = self.text(place, parameters)?;
        text.parse().map_err(|_| invalid_argument(&text))
    }
}

fn invalid_argument(text: &str) -> SqlError {
    let message = format!("\"{text}\" is not a value for the argument");
    SqlError::new(SqlState::InvalidTextRepresentation, message)
}

fn parse_arguments(tokens: &[Token]) -> Result<Vec<Argument>, SqlError> {
    if tokens.is_empty() {
        return Ok(Vec::new());
    }
    tokens
        .split(|token| *token == Token::Comma)
        .map(parse_argument)
        .collect()
}

fn parse_argument(tokens: &[Token]) -> Result<Argument, SqlError> {
    let negative = tokens.first() == Some(&Token::Minus);
    let tokens = &tokens[usize::from(negative)..];
    let sign = if negative { "-" } else { "" };
    let argument = match tokens.first() {
        Some(Token::Number(digits, _)) => Some(Argument::Literal(format!("{sign}{digits}"))),
        Some(Token::SingleQuotedString(text)) => Some(Argument::Literal(text.replace("''", "'"))),
        Some(token) => parameter_index(token).map(Argument::Parameter),
        None => None,
    };
    let end = match tokens.get(1) {
        Some(Token::DoubleColon) => type_end(tokens, 2),
        _ => 1,
    };
    argument
        .filter(|_| end == tokens.len())
        .ok_or_else(|| SqlError::new(SqlState::SyntaxError, "the argument must be a value"))
}

/// The columns asked for: the tokens between `SELECT` and the function's name.
fn parse_projection(function: GroupFunction, tokens: &[Token]) -> Result<Vec<usize>, SqlError> {
    let columns = function.columns();
    let all = || (0..columns.len()).collect();
    let Some((last, list)) = tokens.split_last() else {
        return Ok(all());
    };
    if !is_word(Some(last), "from") {
        let message = "a function of the group must stand alone";
        return Err(SqlError::new(SqlState::FeatureNotSupported, message));
    }
    if list == [Token::Mul] {
        return Ok(all());
    }
    let names = list.iter().filter_map(identifier);
    let indexes = names.map(|name| {
        let index = columns.iter().position(|column| column.name == name);
        let message = format!("column \"{name}\" does not exist");
        index.ok_or_else(|| SqlError::new(SqlState::UndefinedColumn, message))
    });
    indexes.collect()
}
