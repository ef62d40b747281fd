//! What a client asks for in its StartupMessage.

use std::collections::BTreeMap;

use spurpier_core::identity::DatabaseName;
use spurpier_core::session::PositionToken;
use spurpier_core::statement::{ProxySetting, is_fixed_setting, quote_literal};

use super::reply::SqlError;
use super::session::LONGEST_NAME;

/// A client's start-up parameters, read and checked.
#[derive(Debug, Default)]
pub(super) struct StartupOptions {
    /// The user.
    pub user: String,
    /// The database; the user's name without one.
    pub database: Option<DatabaseName>,
    /// The session's name, if the client gave one.
    pub session: Option<String>,
    /// The position token that the client brings.
    pub position: PositionToken,
    /// The class that policies see.
    pub class: String,
    /// Settings of the session: names in lower case and SQL values.
    pub settings: Vec<(String, String)>,
    /// Parameters that are reported back as given: names in the protocol's spelling, and values.
    pub reported: BTreeMap<String, String>,
    /// Whether the client asks for a replication connection.
    pub replication: bool,
    /// Protocol options that are not known.
    pub unknown_protocol_options: Vec<String>,
}

/// Parameters whose values are reported to the client when it sets them at start-up.
const REPORTED: &[&str] = &["application_name", "DateStyle", "IntervalStyle", "TimeZone"];

impl StartupOptions {
    /// Reads the parameters of a StartupMessage.
    ///
    /// # Errors
    ///
    /// When a value is not valid; nothing of the start-up may be used then.
    pub fn read(parameters: &BTreeMap<String, String>) -> Result<Self, SqlError> {
        let mut options = StartupOptions::default();
        for (name, value) in parameters {
            options.read_parameter(name, value)?;
        }
        if options.user.is_empty() {
            return Err(SqlError::new(
                "28000",
                "no user name in the start-up message",
            ));
        }
        Ok(options)
    }

    /// The database that the client connects to.
    pub fn database(&self) -> DatabaseName {
        let database = self.database.clone();
        database.unwrap_or_else(|| DatabaseName::from(self.user.as_str()))
    }

    fn read_parameter(&mut self, name: &str, value: &str) -> Result<(), SqlError> {
        match name {
            "user" => self.user = value.to_owned(),
            "database" if !value.is_empty() => self.database = Some(DatabaseName::from(value)),
            "database" => {}
            "replication" => self.replication = !is_off(value),
            "options" => {
                for (name, value) in split_options(value)? {
                    self.read_setting(&name, &value)?;
                }
            }
            _ if name.starts_with("_pq_.") => {
                self.unknown_protocol_options.push(name.to_owned());
            }
            _ => self.read_setting(name, value)?,
        }
        Ok(())
    }

    fn read_setting(&mut self, name: &str, value: &str) -> Result<(), SqlError> {
        let lower = name.to_ascii_lowercase();
        if let Some(setting) = ProxySetting::from_name(&lower) {
            return self.read_own_setting(setting, value);
        }
        if let Some(spelling) = REPORTED
            .iter()
            .find(|known| known.eq_ignore_ascii_case(name))
        {
            self.reported
                .insert((*spelling).to_owned(), value.to_owned());
        }
        match lower.as_str() {
            // Reported alone: passing it on would cost a round trip on each change of connection.
            "application_name" => Ok(()),
            "client_encoding" => check_encoding(value),
            "standard_conforming_strings" if value.eq_ignore_ascii_case("on") => Ok(()),
            fixed if is_fixed_setting(fixed) => {
                let message = format!("{fixed} is a setting that the proxy holds");
                Err(SqlError::new("0A000", message))
            }
            _ => {
                let setting = sql_setting(lower, value)?;
                self.settings.push(setting);
                Ok(())
            }
        }
    }

    fn read_own_setting(&mut self, setting: ProxySetting, value: &str) -> Result<(), SqlError> {
        if setting != ProxySetting::Position && value.len() > LONGEST_NAME {
            let message = format!("{} is longer than {LONGEST_NAME} bytes", setting.name());
            return Err(SqlError::new("22023", message));
        }
        match setting {
            ProxySetting::Session => self.session = Some(value.to_owned()),
            ProxySetting::Class => self.class = value.to_owned(),
            ProxySetting::Position => {
                let token = value.parse::<PositionToken>();
                self.position = token.map_err(|error| SqlError::new("22023", error.to_string()))?;
            }
            ProxySetting::RequestKey => {
                let message = "spurpier.request_key belongs to one request, not to the start-up";
                return Err(SqlError::new("22023", message));
            }
        }
        Ok(())
    }
}

fn is_off(value: &str) -> bool {
    ["", "0", "off", "false", "no"].contains(&value.to_ascii_lowercase().as_str())
}

fn check_encoding(value: &str) -> Result<(), SqlError> {
    let plain: String = value.chars().filter(char::is_ascii_alphanumeric).collect();
    match plain.to_ascii_lowercase().as_str() {
        "utf8" | "unicode" => Ok(()),
        _ => Err(SqlError::new(
            "22023",
            "only the client encoding UTF8 is carried",
        )),
    }
}

/// The setting as `SET name = value` needs it.
fn sql_setting(name: String, value: &str) -> Result<(String, String), SqlError> {
    let is_plain = |c: char| c.is_ascii_alphanumeric() || c == '_' || c == '.';
    if name.is_empty() || !name.chars().all(is_plain) {
        let message = "a start-up parameter's name is not valid";
        return Err(SqlError::new("42602", message));
    }
    let value = match name.as_str() {
        // A list of names: each is quoted on its own.
        "search_path" => value
            .split(',')
            .map(|part| quote_literal(part.trim().trim_matches('"')))
            .collect::<Vec<_>>()
            .join(", "),
        _ => quote_literal(value),
    };
    Ok((name, value))
}

/// Reads `-c name=value` and `--name=value`, with backslashes before spaces in values.
fn split_options(text: &str) -> Result<Vec<(String, String)>, SqlError> {
    let invalid = || {
        SqlError::new(
            "22023",
            "the start-up options are not of the form -c name=value",
        )
    };
    let mut words = split_words(text).into_iter();
    let mut options = Vec::new();
    while let Some(word) = words.next() {
        let assignment = match word.as_str() {
            "-c" => words.next().ok_or_else(invalid)?,
            _ => word
                .strip_prefix("--")
                .or_else(|| word.strip_prefix("-c"))
                .ok_or_else(invalid)?
                .to_owned(),
        };
        let (name, value) = assignment.split_once('=').ok_or_else(invalid)?;
        options.push((name.replace('-', "_"), value.to_owned()));
    }
    Ok(options)
}

fn split_words(text: &str) -> Vec<String> {
    let mut words = Vec::new();
    let mut word = String::new();
    let mut characters = text.chars();
    while let Some(character) = characters.next() {
        match character {
            '\\' => word.extend(characters.next()),
            space if space.is_whitespace() => {
                if !word.is_empty() {
                    words.push(std::mem::take(&mut word));
                }
            }
            other => word.push(other),
        }
    }
    if !word.is_empty() {
        words.push(word);
    }
    words
}
