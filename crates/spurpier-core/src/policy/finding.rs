//! Errors found in a policy program, with their positions.

use std::fmt;

use rhai::Position;

/// One error in a policy program.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Finding {
    /// The line, counted from 1, or `None` if the error has no position in the text.
    pub line: Option<usize>,
    /// The column in characters, counted from 1, or `None` at the start of a line.
    pub column: Option<usize>,
    /// The error message, without the position.
    pub message: String,
}

impl Finding {
    /// Creates a finding that applies to the program as a whole.
    pub fn without_position(message: impl Into<String>) -> Self {
        Finding {
            line: None,
            column: None,
            message: message.into(),
        }
    }

    pub(super) fn at(position: Position, message: impl Into<String>) -> Self {
        Finding {
            line: position.line(),
            column: position.position(),
            message: message.into(),
        }
    }
}

impl fmt::Display for Finding {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match (self.line, self.column) {
            (Some(line), Some(column)) => write!(formatter, "{line}:{column}: {}", self.message),
            (Some(line), None) => write!(formatter, "{line}: {}", self.message),
            _ => formatter.write_str(&self.message),
        }
    }
}
