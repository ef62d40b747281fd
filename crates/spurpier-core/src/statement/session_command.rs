//! Session commands: SET, RESET, SHOW, DISCARD and DEALLOCATE.

use sqlparser::tokenizer::Token;

use super::StatementClass;
use super::control::{identifier, keyword};

/// A change of the session's database settings.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum SettingChange {
    /// `SET name = value`.
    Set {
        /// The setting's name in lower case.
        name: String,
        /// The value as SQL text.
        value: String,
    },
    /// `RESET name` or `SET name TO DEFAULT`.
    Reset {
        /// The setting's name in lower case.
        name: String,
    },
    /// `RESET ALL`.
    ResetAll,
}

/// A session setting that the proxy itself implements and never sends to a back end.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ProxySetting {
    /// `spurpier.session`: the session's identifier.
    Session,
    /// `spurpier.position`: the session's position token, which sets the minimum position of its
    /// reads.
    Position,
    /// `spurpier.class`: the request class that routing policies see.
    Class,
    /// `spurpier.request_key`: the request key of the next write.
    RequestKey,
}

impl ProxySetting {
    /// Looks up a setting by its name in lower case; `None` if the proxy does not define it.
    pub fn from_name(name: &str) -> Option<ProxySetting> {
        match name {
            "spurpier.session" => Some(ProxySetting::Session),
            "spurpier.position" => Some(ProxySetting::Position),
            "spurpier.class" => Some(ProxySetting::Class),
            "spurpier.request_key" => Some(ProxySetting::RequestKey),
            _ => None,
        }
    }

    /// The setting's name as clients write it.
    pub const fn name(self) -> &'static str {
        match self {
            ProxySetting::Session => "spurpier.session",
            ProxySetting::Position => "spurpier.position",
            ProxySetting::Class => "spurpier.class",
            ProxySetting::RequestKey => "spurpier.request_key",
        }
    }
}

/// A command that the proxy executes itself.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum LocalCommand {
    /// Sets one of the proxy's own settings; an empty value clears it.
    Set {
        /// The setting to change.
        setting: ProxySetting,
        /// The new value, unquoted.
        value: String,
    },
    /// Shows one of the proxy's own settings.
    Show(ProxySetting),
    /// `DEALLOCATE name`, or `DEALLOCATE ALL` if there is no name.
    Deallocate(Option<String>),
    /// `DISCARD ALL`.
    DiscardAll,
}

/// Settings on which the proxy's classification and execution of statements depend; clients must
/// not change them.
const FIXED_SETTINGS: &[&str] = &[
    "transaction_read_only",
    "standard_conforming_strings",
    "session_authorization",
    "role",
    "client_encoding",
];

/// Whether clients must not change the setting of this name in lower case, because the proxy's
/// classification and execution of statements depend on it.
pub fn is_fixed_setting(name: &str) -> bool {
    FIXED_SETTINGS.contains(&name)
}

/// Classifies a session command; `None` for any other statement.
///
/// `words` holds the statement's tokens without white space and comments.
pub(super) fn classify_session_command(text: &str, words: &[&Token]) -> Option<StatementClass> {
    let first = keyword(words.first()?);
    let rest = &words[1..];
    match first.as_str() {
        "SET" => Some(classify_set(text, rest)),
        "RESET" => Some(classify_reset(rest)),
        "SHOW" => Some(classify_show(rest)),
        "DISCARD" => Some(classify_discard(rest)),
        "DEALLOCATE" => Some(classify_deallocate(rest)),
        _ => None,
    }
}

fn classify_set(text: &str, words: &[&Token]) -> StatementClass {
    let first = words.first().map(|token| keyword(token));
    match first.as_deref() {
        Some("SESSION") => {
            let second = words.get(1).map(|token| keyword(token));
            match second.as_deref() {
                Some("CHARACTERISTICS" | "AUTHORIZATION") => {
                    StatementClass::Unsupported("SET SESSION of transaction modes or users")
                }
                _ => classify_assignment(&words[1..], Scope::Session),
            }
        }
        Some("LOCAL") => classify_assignment(&words[1..], Scope::Local),
        Some("TRANSACTION") => classify_transaction_mode(text),
        Some("CONSTRAINTS") => StatementClass::Write,
        _ => classify_assignment(words, Scope::Session),
    }
}

fn classify_transaction_mode(text: &str) -> StatementClass {
    let upper = text.to_ascii_uppercase();
    let words: Vec<&str> = upper.split_whitespace().collect();
    let lifts_read_only = words
        .windows(2)
        .any(|pair| pair[0] == "READ" && pair[1].starts_with("WRITE"));
    if lifts_read_only
        || words.contains(&"SNAPSHOT")
        || upper.contains("/*")
        || upper.contains("--")
    {
        return StatementClass::Unsupported("this form of SET TRANSACTION");
    }
    StatementClass::Read
}

#[derive(Clone, Copy, PartialEq, Eq)]
enum Scope {
    Session,
    Local,
}

/// Parses `name {= | TO} value` and `TIME ZONE value`.
fn classify_assignment(words: &[&Token], scope: Scope) -> StatementClass {
    const UNKNOWN: StatementClass = StatementClass::Unsupported("this form of SET");
    let keywords: Vec<String> = words.iter().take(2).map(|token| keyword(token)).collect();
    if keywords == ["TIME", "ZONE"] {
        return classify_setting("timezone".to_owned(), &words[2..], scope);
    }
    let name_length = words
        .iter()
        .position(|token| **token == Token::Eq || keyword(token) == "TO");
    let Some(name_length) = name_length else {
        return UNKNOWN;
    };
    match setting_name(&words[..name_length]) {
        Some(name) => classify_setting(name, &words[name_length + 1..], scope),
        None => UNKNOWN,
    }
}

fn classify_setting(name: String, value: &[&Token], scope: Scope) -> StatementClass {
    if is_fixed_setting(&name) {
        return StatementClass::Unsupported("SET of a setting that the proxy holds");
    }
    let is_default = value.len() == 1 && keyword(value[0]) == "DEFAULT";
    if let Some(setting) = ProxySetting::from_name(&name) {
        let value = if is_default {
            String::new()
        } else {
            literal_text(value)
        };
        return StatementClass::Local(LocalCommand::Set { setting, value });
    }
    if name.starts_with("spurpier.") {
        return StatementClass::Unsupported("an unknown setting of the proxy");
    }
    let Some(value_text) = value_text(value) else {
        return StatementClass::Unsupported("this form of SET");
    };
    match scope {
        Scope::Local => StatementClass::Read,
        Scope::Session if is_default => StatementClass::Setting(SettingChange::Reset { name }),
        Scope::Session => StatementClass::Setting(SettingChange::Set {
            name,
            value: value_text,
        }),
    }
}

/// The setting's name in lower case, of one or more identifiers separated by dots; `None` if the
/// tokens are no such name.
fn setting_name(tokens: &[&Token]) -> Option<String> {
    let mut name = String::new();
    for (index, token) in tokens.iter().enumerate() {
        let expects_period = index % 2 == 1;
        match token {
            Token::Period if expects_period => name.push('.'),
            Token::Word(_) if !expects_period => name.push_str(&identifier(token).to_lowercase()),
            _ => return None,
        }
    }
    let is_plain = |c: char| c.is_ascii_alphanumeric() || c == '_' || c == '.';
    let is_name = !name.is_empty() && !name.ends_with('.') && name.chars().all(is_plain);
    is_name.then_some(name)
}

/// The value as SQL text; `None` if it contains anything but literals, words, signs and commas.
fn value_text(tokens: &[&Token]) -> Option<String> {
    let mut text = String::new();
    for token in tokens {
        match token {
            Token::Comma => text.push_str(", "),
            Token::Minus => text.push('-'),
            Token::Plus => {}
            Token::Word(_)
            | Token::Number(..)
            | Token::SingleQuotedString(_)
            | Token::EscapedStringLiteral(_) => {
                if !text.is_empty() && !text.ends_with(['-', ' ']) {
                    return None;
                }
                text.push_str(&token_text(token));
            }
            _ => return None,
        }
    }
    (!text.is_empty()).then_some(text)
}

/// The token as SQL text; string literals and quoted identifiers are quoted anew, as the tokenizer's
/// own form of an identifier ends early if the name contains a backslash before a quote.
fn token_text(token: &Token) -> String {
    match token {
        Token::Word(word) if word.quote_style.is_some() => quote_identifier(&word.value),
        Token::SingleQuotedString(value) | Token::EscapedStringLiteral(value) => {
            quote_literal(value)
        }
        other => other.to_string(),
    }
}

/// Quotes `value` as an SQL string literal that is valid whatever `standard_conforming_strings` is.
pub fn quote_literal(value: &str) -> String {
    let doubled = value.replace('\'', "''");
    if doubled.contains('\\') {
        format!("E'{}'", doubled.replace('\\', "\\\\"))
    } else {
        format!("'{doubled}'")
    }
}

fn quote_identifier(name: &str) -> String {
    format!("\"{}\"", name.replace('"', "\"\""))
}

/// The value as text without quotes.
fn literal_text(tokens: &[&Token]) -> String {
    let texts = tokens.iter().map(|token| match token {
        Token::SingleQuotedString(value) | Token::EscapedStringLiteral(value) => value.clone(),
        Token::Word(word) => word.value.clone(),
        other => other.to_string(),
    });
    texts.collect()
}

fn classify_reset(words: &[&Token]) -> StatementClass {
    if words.len() == 1 && keyword(words[0]) == "ALL" {
        return StatementClass::Setting(SettingChange::ResetAll);
    }
    let Some(name) = setting_name(words) else {
        return StatementClass::Unsupported("this form of RESET");
    };
    if is_fixed_setting(&name) {
        return StatementClass::Unsupported("RESET of a setting that the proxy holds");
    }
    match ProxySetting::from_name(&name) {
        Some(setting) => StatementClass::Local(LocalCommand::Set {
            setting,
            value: String::new(),
        }),
        None => StatementClass::Setting(SettingChange::Reset { name }),
    }
}

fn classify_show(words: &[&Token]) -> StatementClass {
    let name = setting_name(words);
    match name.as_deref().and_then(ProxySetting::from_name) {
        Some(setting) => StatementClass::Local(LocalCommand::Show(setting)),
        None => StatementClass::Read,
    }
}

fn classify_discard(words: &[&Token]) -> StatementClass {
    match words {
        [word] if keyword(word) == "ALL" => StatementClass::Local(LocalCommand::DiscardAll),
        _ => StatementClass::Unsupported("DISCARD of anything but ALL"),
    }
}

fn classify_deallocate(words: &[&Token]) -> StatementClass {
    let words = match words {
        [first, rest @ ..] if keyword(first) == "PREPARE" && !rest.is_empty() => rest,
        other => other,
    };
    match words {
        [word] if keyword(word) == "ALL" => StatementClass::Local(LocalCommand::Deallocate(None)),
        [word] => StatementClass::Local(LocalCommand::Deallocate(Some(identifier(word)))),
        _ => StatementClass::Unsupported("this form of DEALLOCATE"),
    }
}
