//! What a check finds in a settings file, and where.

use std::fmt;

/// Whether a finding forbids starting with the settings.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Severity {
    /// The settings cannot be used.
    Error,
    /// The settings can be used but are probably not meant so.
    Warning,
}

/// A place in a text; lines and columns count from 1, columns in characters.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Place {
    /// The line.
    pub line: usize,
    /// The column.
    pub column: usize,
}

impl Place {
    /// The place of the byte at `offset`; the end of the text for a larger offset.
    pub fn of_offset(text: &str, offset: usize) -> Self {
        let before = text.get(..offset).unwrap_or(text);
        let line_start = before.rfind('\n').map_or(0, |newline| newline + 1);
        Place {
            line: before.matches('\n').count() + 1,
            column: before[line_start..].chars().count() + 1,
        }
    }
}

/// One finding of a check.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Finding {
    /// Where it is.
    pub place: Place,
    /// How grave it is.
    pub severity: Severity,
    /// What is wrong and what is expected.
    pub message: String,
}

/// All findings of one file, in the order of their places.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Findings {
    /// The file's name as the operator gave it.
    pub file: String,
    /// The findings.
    pub findings: Vec<Finding>,
}

impl Findings {
    /// Whether any finding is an error.
    pub fn has_errors(&self) -> bool {
        self.findings
            .iter()
            .any(|finding| finding.severity == Severity::Error)
    }
}

impl fmt::Display for Findings {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, finding) in self.findings.iter().enumerate() {
            if index > 0 {
                writeln!(formatter)?;
            }
            let Place { line, column } = finding.place;
            let kind = match finding.severity {
                Severity::Error => "",
                Severity::Warning => "warning: ",
            };
            let file = &self.file;
            write!(
                formatter,
                "{file}:{line}:{column}: {kind}{}",
                finding.message
            )?;
        }
        Ok(())
    }
}

impl std::error::Error for Findings {}
