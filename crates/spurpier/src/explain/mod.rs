//! What the nodes' logs tell: the story of one request, and what was lost of all of them.
//!
//! A request leaves lines at the nodes that decided something on it. What they decided by stands in
//! other lines: a server that fell silent, a lead that was lost, a promotion. [`story`] puts the
//! request's lines and those of its groups and servers around them into the order of their times.

mod line;
mod losses;
mod picture;

use std::borrow::Cow;
use std::collections::BTreeSet;
use std::fmt::Write;
use std::time::Duration;

pub use line::LogLine;
pub use losses::Losses;
pub use picture::{PictureError, picture};

/// How long before a request's first line others can have led to it.
const BEFORE: Duration = Duration::from_secs(4);
/// How long after a request's last line others can still belong to it.
const AFTER: Duration = Duration::from_secs(1);
/// Events that tell of every request of a node, whatever its group.
const OF_THE_NODE: [&str; 8] = [
    "pipeline_started",
    "pipeline_draining",
    "pipeline_drained",
    "configuration_in_force",
    "store_lost",
    "store_regained",
    "node_lost",
    "duty_taken",
];

/// The request's own lines and those around them that concern it, in the order of their times;
/// empty if no line names the request.
pub fn story(mut lines: Vec<LogLine>, request: &str) -> Vec<LogLine> {
    lines.sort_by_key(|line| line.at);
    let own = lines.iter().filter(|line| line.request() == Some(request));
    let own: Vec<&LogLine> = own.collect();
    let (Some(first), Some(last)) = (own.first(), own.last()) else {
        return Vec::new();
    };
    let (from, to) = (first.at.saturating_sub(BEFORE), last.at + AFTER);
    let subjects = Subjects::of(&own);
    let concerns = |line: &LogLine| {
        let is_near = (from..=to).contains(&line.at);
        line.request() == Some(request) || (is_near && subjects.concern(line))
    };
    let concerns: Vec<bool> = lines.iter().map(concerns).collect();
    let kept = lines.into_iter().zip(concerns);
    kept.filter(|(_, concerns)| *concerns)
        .map(|(line, _)| line)
        .collect()
}

/// What a request's lines speak of.
struct Subjects {
    groups: BTreeSet<String>,
    servers: BTreeSet<String>,
    nodes: BTreeSet<String>,
}

impl Subjects {
    fn of(own: &[&LogLine]) -> Self {
        let values = |name: &str| {
            let found = own.iter().filter_map(|line| line.value(name));
            found.map(str::to_owned).collect()
        };
        Subjects {
            groups: values("group"),
            servers: values("server"),
            nodes: own.iter().map(|line| line.node.clone()).collect(),
        }
    }

    /// Whether a line that names another request or none concerns this one.
    fn concern(&self, line: &LogLine) -> bool {
        if line.request().is_some() {
            return false;
        }
        let named = |name: &str, known: &BTreeSet<String>| {
            line.value(name).is_some_and(|value| known.contains(value))
        };
        let is_of_node = OF_THE_NODE.contains(&line.event()) && self.nodes.contains(&line.node);
        named("group", &self.groups) || named("server", &self.servers) || is_of_node
    }
}

/// A value as one word of a line: in quotes, with escapes, if it could be read as more than that.
/// Clients choose some of the values.
fn quoted(value: &str) -> Cow<'_, str> {
    let is_plain = |letter: char| {
        !letter.is_whitespace() && !letter.is_control() && !matches!(letter, '"' | '=' | '\\')
    };
    if !value.is_empty() && value.chars().all(is_plain) {
        Cow::Borrowed(value)
    } else {
        Cow::Owned(format!("{value:?}"))
    }
}

/// A story as text: one line each, the time counted from the request's first line.
pub fn render(story: &[LogLine], request: &str) -> String {
    let own = story.iter().find(|line| line.request() == Some(request));
    let start = own.map_or(Duration::ZERO, |line| line.at);
    let mut text = String::new();
    for line in story {
        let mark = if line.request() == Some(request) {
            '*'
        } else {
            ' '
        };
        let seconds = line.at.as_secs_f64() - start.as_secs_f64();
        // Writing to a text does not fail.
        let _ = write!(text, "{mark} {seconds:+8.3} s ");
        if !line.node.is_empty() {
            let _ = write!(text, "{} ", line.node);
        }
        let _ = write!(text, "{}: {}", line.event(), line.message);
        for (name, value) in line.details() {
            let _ = write!(text, " {name}={}", quoted(value));
        }
        text.push('\n');
    }
    text
}
