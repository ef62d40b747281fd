//! One life of a server.

use std::fmt;
use std::sync::Arc;

/// One life of a server, from its start to its end.
///
/// A server that starts again under its name holds nothing of its former life: no connection, no
/// session value, perhaps not its log. What was learnt of one life is never believed of another, so
/// that this, and not the name alone, identifies a server wherever it is known.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Incarnation {
    name: Arc<str>,
    /// When it started, in milliseconds of its own time of day; none if it does not say.
    ///
    /// Another server's clock: it tells lives apart and is compared with nothing else.
    started_ms: Option<u64>,
}

impl Incarnation {
    /// The life of a server that started at this moment of its own clock, if it tells that.
    pub fn new(name: &str, started_ms: Option<u64>) -> Self {
        Incarnation {
            name: Arc::from(name),
            started_ms,
        }
    }

    /// The name under which the server is listed, which its next life may have too.
    pub fn name(&self) -> &str {
        &self.name
    }

    /// When it started, in milliseconds of its own time of day; none if it does not say.
    pub fn started_ms(&self) -> Option<u64> {
        self.started_ms
    }

    /// Whether this is another life of the same server.
    pub fn is_other_incarnation_of(&self, other: &Incarnation) -> bool {
        self.name == other.name && self.started_ms != other.started_ms
    }
}

/// The name, followed by `@` and the moment of the start if that is known.
impl fmt::Display for Incarnation {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(&self.name)?;
        match self.started_ms {
            Some(started_ms) => write!(formatter, "@{started_ms}"),
            None => Ok(()),
        }
    }
}
