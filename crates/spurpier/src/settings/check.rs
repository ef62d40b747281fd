//! Checks a settings file and collects every finding, each with its place.

use std::net::SocketAddr;
use std::ops::Range;

use toml::Spanned;
use toml::de::{DeTable, DeValue};

use super::finding::{Finding, Findings, Place, Severity};
use super::gateway_schema::GATEWAY_ROOT;
use super::relations;
use super::schema::{Absent, Key, ROOT, Shape};

/// The greatest edit distance at which a known key is offered for an unknown one.
const NEAREST_KEY_DISTANCE: usize = 3;

/// Checks `text` and gives all findings, errors and warnings, in the order of their places.
pub fn check(file: &str, text: &str) -> Findings {
    let mut collector = Collector::new(text);
    let (document, syntax_errors) = DeTable::parse_recoverable(text);
    for error in &syntax_errors {
        let span = error.span().unwrap_or(0..0);
        collector.error(span, error.message());
    }
    let whole = document.span();
    if is_of_gateway(document.get_ref()) {
        check_table(&mut collector, document.get_ref(), whole, GATEWAY_ROOT);
    } else {
        check_table(&mut collector, document.get_ref(), whole, ROOT);
        relations::check(&mut collector, document.get_ref());
    }
    Findings {
        file: file.to_owned(),
        findings: collector.into_sorted(),
    }
}

/// Whether the settings are those of `spurpier gateway`: only these name the platform's store.
fn is_of_gateway(root: &DeTable<'_>) -> bool {
    let platform = root.get("platform").map(Spanned::get_ref);
    platform
        .and_then(DeValue::as_table)
        .is_some_and(|platform| platform.contains_key("store"))
}

/// Collects findings of one text.
pub(super) struct Collector<'text> {
    text: &'text str,
    findings: Vec<Finding>,
}

impl<'text> Collector<'text> {
    fn new(text: &'text str) -> Self {
        Collector {
            text,
            findings: Vec::new(),
        }
    }

    /// Adds an error at the start of `span`.
    pub(super) fn error(&mut self, span: Range<usize>, message: impl Into<String>) {
        self.add(Severity::Error, span, message.into());
    }

    /// Adds a warning at the start of `span`.
    pub(super) fn warning(&mut self, span: Range<usize>, message: impl Into<String>) {
        self.add(Severity::Warning, span, message.into());
    }

    fn add(&mut self, severity: Severity, span: Range<usize>, message: String) {
        let place = Place::of_offset(self.text, span.start);
        self.findings.push(Finding {
            place,
            severity,
            message,
        });
    }

    fn into_sorted(mut self) -> Vec<Finding> {
        self.findings.sort_by_key(|finding| finding.place);
        self.findings
    }
}

fn check_table(
    collector: &mut Collector<'_>,
    table: &DeTable<'_>,
    span: Range<usize>,
    keys: &'static [Key],
) {
    for (name, value) in table.iter() {
        let known = keys.iter().find(|key| key.name == name.get_ref().as_ref());
        match known {
            Some(key) => check_value(collector, key.name, value, key.shape),
            None => collector.error(name.span(), unknown_key(name.get_ref(), keys)),
        }
    }
    for key in keys {
        if !table.contains_key(key.name) {
            check_absent(collector, key, span.clone());
        }
    }
}

fn check_absent(collector: &mut Collector<'_>, key: &'static Key, span: Range<usize>) {
    match (key.absent, key.shape) {
        (Absent::Required(_), _) => {
            let message = format!("the key `{}` is missing", key.name);
            collector.error(span, message);
        }
        (Absent::Default(_), Shape::Table(keys)) => {
            // A table that is left out has its defaults; its required keys are still missing.
            for inner in keys {
                if matches!(inner.absent, Absent::Required(_)) {
                    let message = format!("the key `{}.{}` is missing", key.name, inner.name);
                    collector.error(span.clone(), message);
                }
            }
        }
        (Absent::Default(_), _) => {}
    }
}

fn unknown_key(name: &str, keys: &'static [Key]) -> String {
    let nearest = keys
        .iter()
        .map(|key| (strsim::damerau_levenshtein(name, key.name), key.name))
        .filter(|(distance, _)| *distance <= NEAREST_KEY_DISTANCE)
        .min();
    match nearest {
        Some((_, known)) => format!("unknown key `{name}`; did you mean `{known}`?"),
        None => {
            let known: Vec<&str> = keys.iter().map(|key| key.name).collect();
            format!("unknown key `{name}`; known here: {}", known.join(", "))
        }
    }
}

fn check_value(
    collector: &mut Collector<'_>,
    name: &str,
    value: &Spanned<DeValue<'_>>,
    shape: Shape,
) {
    let span = value.span();
    match (shape, value.get_ref()) {
        (Shape::Table(keys), DeValue::Table(table)) => check_table(collector, table, span, keys),
        (Shape::Tables(keys), DeValue::Array(tables)) => {
            check_tables(collector, name, tables.iter(), keys);
        }
        (Shape::TextMap, DeValue::Table(table)) => {
            for (name, value) in table.iter() {
                check_value(collector, name.get_ref(), value, Shape::Text);
            }
        }
        (Shape::Addresses, DeValue::Array(addresses)) => {
            for address in addresses.iter() {
                check_value(collector, name, address, Shape::Address);
            }
        }
        (Shape::Integer(least, greatest), DeValue::Integer(integer)) => {
            let number = i64::from_str_radix(integer.as_str(), integer.radix());
            if !number.is_ok_and(|number| (least..=greatest).contains(&number)) {
                let message = format!("`{name}` must lie between {least} and {greatest}");
                collector.error(span, message);
            }
        }
        (Shape::Positive | Shape::NotNegative, DeValue::Integer(number)) => {
            check_number(collector, name, span, shape, number.as_str());
        }
        (Shape::Positive | Shape::NotNegative, DeValue::Float(number)) => {
            check_number(collector, name, span, shape, number.as_str());
        }
        (Shape::Boolean, DeValue::Boolean(_)) => {}
        (Shape::Text | Shape::Choice(_) | Shape::Address | Shape::Url, DeValue::String(text)) => {
            if let Some(message) = text_fault(name, text, shape) {
                collector.error(span, message);
            }
        }
        (_, other) => {
            let expected = expectation(shape);
            let found = other.type_str();
            collector.error(span, format!("`{name}` must be {expected}, not {found}"));
        }
    }
}

fn check_number(
    collector: &mut Collector<'_>,
    name: &str,
    span: Range<usize>,
    shape: Shape,
    number: &str,
) {
    let (holds, expected) = match shape {
        Shape::NotNegative => (
            number_holds(number, |value| value >= 0.0),
            "be zero or above",
        ),
        _ => (number_holds(number, |value| value > 0.0), "be above zero"),
    };
    if !holds {
        collector.error(span, format!("`{name}` must {expected}, not {number}"));
    }
}

/// Whether a number's text is one that holds.
fn number_holds(number: &str, holds: impl FnOnce(f64) -> bool) -> bool {
    let digits = number.replace('_', "");
    let value = digits.parse::<f64>();
    value.is_ok_and(|value| value.is_finite() && holds(value))
}

fn check_tables<'value, 'text: 'value>(
    collector: &mut Collector<'_>,
    name: &str,
    tables: impl Iterator<Item = &'value Spanned<DeValue<'text>>>,
    keys: &'static [Key],
) {
    for table in tables {
        check_value(collector, name, table, Shape::Table(keys));
    }
}

fn text_fault(name: &str, text: &str, shape: Shape) -> Option<String> {
    let expected = expectation(shape);
    let holds = match shape {
        Shape::Choice(words) => words.contains(&text),
        Shape::Address => text.parse::<SocketAddr>().is_ok(),
        Shape::Url => is_service_address(text),
        _ => !text.trim().is_empty(),
    };
    (!holds).then(|| format!("`{name}` must be {expected}, not \"{text}\""))
}

fn is_service_address(text: &str) -> bool {
    reqwest::Url::parse(text).is_ok_and(|url| url.scheme() == "http" && url.has_host())
}

/// Describes the values that a key of this shape takes, as in "`clients` must be …".
pub fn expectation(shape: Shape) -> String {
    match shape {
        Shape::Text => "text that is not empty".to_owned(),
        Shape::Choice(words) => format!("one of {}", words.join(", ")),
        Shape::Integer(least, greatest) => {
            format!("a whole number between {least} and {greatest}")
        }
        Shape::Positive => "a number above zero".to_owned(),
        Shape::NotNegative => "a number that is not negative".to_owned(),
        Shape::Boolean => "`true` or `false`".to_owned(),
        Shape::Address => "an IP address with a port, as in 127.0.0.1:6432".to_owned(),
        Shape::Addresses => "a list of IP addresses with ports".to_owned(),
        Shape::Url => "the address of an HTTP service, as in http://127.0.0.1:6400".to_owned(),
        Shape::Table(_) | Shape::TextMap => "a table".to_owned(),
        Shape::Tables(_) => "an array of tables, written with double brackets".to_owned(),
    }
}
