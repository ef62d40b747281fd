//! One line of a node's log.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::Deserialize;
use serde_json::Value;

/// Names of a line's values that say nothing of the request.
const OWN_NAMES: [&str; 4] = ["event", "name", "request", "suppressed"];

/// One line of a node's log.
#[derive(Debug, Clone, PartialEq)]
pub struct LogLine {
    /// When it was written, since the beginning of 1970 by that node's time of day.
    pub at: Duration,
    /// The node, as the word before the line names it; empty if there is none.
    pub node: String,
    /// What has happened.
    pub message: String,
    values: BTreeMap<String, String>,
}

#[derive(Deserialize)]
struct Body {
    timestamp: String,
    message: String,
    #[serde(default)]
    kvs: BTreeMap<String, Value>,
}

impl LogLine {
    /// Reads a line of JSON, with or without a time and the node's name before it; none if it is
    /// no line of a log.
    pub fn parse(text: &str) -> Option<Self> {
        let (before, json) = text.split_at(text.find('{')?);
        let body: Body = serde_json::from_str(json.trim_end()).ok()?;
        let values = body.kvs.into_iter().map(|(name, value)| match value {
            Value::String(text) => (name, text),
            other => (name, other.to_string()),
        });
        Some(LogLine {
            at: time_of_day(&body.timestamp)?,
            node: before
                .split_whitespace()
                .next_back()
                .unwrap_or("")
                .to_owned(),
            message: body.message,
            values: values.collect(),
        })
    }

    /// The event's name; empty if it has none.
    pub fn event(&self) -> &str {
        self.value("name").unwrap_or("")
    }

    /// The request that it tells of.
    pub fn request(&self) -> Option<&str> {
        self.value("request")
    }

    /// A value by its name.
    pub fn value(&self, name: &str) -> Option<&str> {
        self.values.get(name).map(String::as_str)
    }

    /// What the line says beside its event and its request.
    pub fn details(&self) -> impl Iterator<Item = (&str, &str)> {
        let all = self.values.iter();
        all.filter(|(name, _)| !OWN_NAMES.contains(&name.as_str()))
            .map(|(name, value)| (name.as_str(), value.as_str()))
    }
}

/// The time that a timestamp of RFC 3339 stands for, since the beginning of 1970.
fn time_of_day(timestamp: &str) -> Option<Duration> {
    let parsed = timestamp.parse::<jiff::Timestamp>().ok()?;
    u64::try_from(parsed.as_nanosecond())
        .ok()
        .map(Duration::from_nanos)
}
