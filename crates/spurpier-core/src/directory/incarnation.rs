//! The identity of one run of a server process.

use std::fmt;
use std::sync::Arc;

/// One run of a server process, from its start to its end.
///
/// A server that restarts under the same name keeps nothing of its former run: no connection, no
/// session state, possibly not even its log. What was learned of one incarnation never applies to
/// another, so a server is identified by its incarnation rather than by its name alone.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Incarnation {
    name: Arc<str>,
    /// When it started, in milliseconds of its own wall clock; `None` if it does not report that.
    ///
    /// This is another machine's clock. The value only distinguishes incarnations, and is not
    /// compared with any other time.
    started_ms: Option<u64>,
}

impl Incarnation {
    /// The incarnation of a server that started at `started_ms` of its own wall clock, if it
    /// reports that.
    pub fn new(name: &str, started_ms: Option<u64>) -> Self {
        Incarnation {
            name: Arc::from(name),
            started_ms,
        }
    }

    /// The name under which the server is listed, which its next incarnation may share.
    pub fn name(&self) -> &str {
        &self.name
    }

    /// When it started, in milliseconds of its own wall clock; `None` if it does not report that.
    pub fn started_ms(&self) -> Option<u64> {
        self.started_ms
    }

    /// Whether this is another incarnation of the same server.
    pub fn is_other_incarnation_of(&self, other: &Incarnation) -> bool {
        self.name == other.name && self.started_ms != other.started_ms
    }
}

/// The name, followed by `@` and the start time if that is known.
impl fmt::Display for Incarnation {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(&self.name)?;
        match self.started_ms {
            Some(started_ms) => write!(formatter, "@{started_ms}"),
            None => Ok(()),
        }
    }
}
