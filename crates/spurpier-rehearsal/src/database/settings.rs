//! Session settings: `SET`, `SHOW`, `RESET`, `DISCARD` and `DEALLOCATE`.

use std::collections::BTreeMap;

use sqlparser::tokenizer::Token;

use super::sql_error::{SqlError, SqlState};
use super::sql_text::{is_word, word};

const DEFAULTS: [(&str, &str); 11] = [
    ("server_version", "16.0"),
    ("server_encoding", "UTF8"),
    ("client_encoding", "UTF8"),
    ("datestyle", "ISO, MDY"),
    ("timezone", "UTC"),
    ("integer_datetimes", "on"),
    ("standard_conforming_strings", "on"),
    ("application_name", ""),
    ("search_path", "\"$user\", public"),
    ("transaction_isolation", "repeatable read"),
    ("statement_timeout", "0"),
];

/// The settings that are reported to the client at the start, as the client spells them.
pub(crate) const REPORTED: [&str; 7] = [
    "server_version",
    "server_encoding",
    "client_encoding",
    "DateStyle",
    "TimeZone",
    "integer_datetimes",
    "standard_conforming_strings",
];

/// A command on the session's settings or prepared statements.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum SettingCommand {
    /// Sets a value.
    Set {
        /// The setting.
        name: String,
        /// Its value; none for the default.
        value: Option<String>,
    },
    /// Makes the open transaction read only, or not.
    SetTransaction {
        /// Whether it takes no writes from here on.
        read_only: bool,
    },
    /// Shows a value.
    Show(String),
    /// Sets one setting, or all, back to the default.
    Reset(Option<String>),
    /// Forgets settings and prepared statements.
    DiscardAll,
    /// Forgets one prepared statement, or all.
    Deallocate(Option<String>),
}

/// Reads a command and its tag.
pub(crate) fn parse(tokens: &[Token]) -> Result<(SettingCommand, String), SqlError> {
    let first = tokens.first().and_then(word).unwrap_or_default();
    let tag = first.to_ascii_uppercase();
    let rest = &tokens[1..];
    let command = match first.as_str() {
        "set" => parse_set(rest)?,
        "show" => SettingCommand::Show(setting_name(rest)),
        "reset" => SettingCommand::Reset(all_or_name(rest)),
        "discard" => return Ok((SettingCommand::DiscardAll, "DISCARD ALL".into())),
        _ => {
            let skip = usize::from(is_word(rest.first(), "prepare"));
            SettingCommand::Deallocate(all_or_name(&rest[skip..]))
        }
    };
    Ok((command, tag))
}

fn parse_set(tokens: &[Token]) -> Result<SettingCommand, SqlError> {
    let scoped = is_word(tokens.first(), "session") || is_word(tokens.first(), "local");
    let tokens = &tokens[usize::from(scoped)..];
    if is_word(tokens.first(), "transaction") || is_word(tokens.first(), "characteristics") {
        let words: Vec<String> = tokens.iter().filter_map(word).collect();
        let read_only = words.windows(2).any(|pair| pair == ["read", "only"]);
        return Ok(SettingCommand::SetTransaction { read_only });
    }
    let equals = |token: &Token| *token == Token::Eq || is_word(Some(token), "to");
    let Some(split) = tokens.iter().position(equals) else {
        return Err(SqlError::new(
            SqlState::SyntaxError,
            "SET needs a name and a value",
        ));
    };
    let values = &tokens[split + 1..];
    let value = (!is_word(values.first(), "default")).then(|| value_text(values));
    Ok(SettingCommand::Set {
        name: setting_name(&tokens[..split]),
        value,
    })
}

fn all_or_name(tokens: &[Token]) -> Option<String> {
    (!is_word(tokens.first(), "all")).then(|| setting_name(tokens))
}

fn setting_name(tokens: &[Token]) -> String {
    let parts = tokens.iter().map(|token| match token {
        Token::Word(word) => word.value.clone(),
        other => other.to_string(),
    });
    parts.collect::<String>().to_ascii_lowercase()
}

fn value_text(tokens: &[Token]) -> String {
    let parts = tokens.iter().map(|token| match token {
        Token::SingleQuotedString(text) => text.replace("''", "'"),
        Token::Word(word) => word.value.clone(),
        other => other.to_string(),
    });
    parts.collect()
}

/// The settings of one session.
#[derive(Debug, Default)]
pub(crate) struct Settings {
    values: BTreeMap<String, String>,
    /// What the client gave at the start, to which a reset goes back.
    initial: BTreeMap<String, String>,
}

impl Settings {
    /// Settings given by a client's start-up message, with `-c name=value` in `options`.
    pub(crate) fn from_startup(parameters: &BTreeMap<String, String>) -> Self {
        const NO_SETTINGS: [&str; 4] = ["user", "database", "replication", "options"];
        let mut initial: BTreeMap<String, String> = parameters
            .iter()
            .filter(|(name, _)| !NO_SETTINGS.contains(&name.as_str()))
            .map(|(name, value)| (name.to_ascii_lowercase(), value.clone()))
            .collect();
        let options = parameters.get("options").map(String::as_str);
        let words = options.unwrap_or_default().split_whitespace();
        let assignments = words.filter_map(|word| word.trim_start_matches("-c").split_once('='));
        initial.extend(assignments.map(|(name, value)| (name.to_ascii_lowercase(), value.into())));
        Settings {
            values: initial.clone(),
            initial,
        }
    }

    /// The value of a setting.
    pub(crate) fn show(&self, name: &str) -> Result<String, SqlError> {
        let name = name.to_ascii_lowercase();
        let default = DEFAULTS.iter().find(|(known, _)| *known == name);
        let value = self.values.get(&name).cloned();
        let value = value.or_else(|| default.map(|(_, value)| (*value).to_owned()));
        value.ok_or_else(|| {
            let message = format!("unrecognized configuration parameter \"{name}\"");
            SqlError::new(SqlState::UndefinedObject, message)
        })
    }

    /// Sets a value, or the default.
    pub(crate) fn set(&mut self, name: &str, value: Option<&str>) {
        let initial = self.initial.get(name).cloned();
        match value.map(str::to_owned).or(initial) {
            Some(value) => self.values.insert(name.to_owned(), value),
            None => self.values.remove(name),
        };
    }

    /// Sets everything back to what the client gave at the start.
    pub(crate) fn reset_all(&mut self) {
        self.values = self.initial.clone();
    }
}
