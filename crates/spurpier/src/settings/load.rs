//! Loading of a settings file into typed values.

use std::fmt;
use std::net::SocketAddr;
use std::path::Path;

use error_stack::{Report, ResultExt};
use spurpier_core::identity::ZoneName;

use super::Settings;
use super::check::check;
use super::finding::Findings;

/// Why settings could not be loaded; the cause is attached to the report.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum SettingsError {
    /// The file could not be read.
    Unreadable {
        /// The file as the operator gave it.
        file: String,
    },
    /// The file was read and cannot be used.
    Invalid(Findings),
}

impl fmt::Display for SettingsError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            SettingsError::Unreadable { file } => {
                write!(formatter, "the settings file {file} cannot be read")
            }
            SettingsError::Invalid(findings) => findings.fmt(formatter),
        }
    }
}

impl std::error::Error for SettingsError {}

/// Values from the command line that take the place of those in the file.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Overrides {
    /// In place of `listen.client`.
    pub listen: Option<SocketAddr>,
    /// In place of `node.zone`.
    pub zone: Option<ZoneName>,
}

/// Reads the file and gives its text.
///
/// # Errors
///
/// `Unreadable` if the file cannot be read as UTF-8 text.
pub fn read(file: &Path) -> Result<String, Report<SettingsError>> {
    std::fs::read_to_string(file).change_context_lazy(|| SettingsError::Unreadable {
        file: file.display().to_string(),
    })
}

/// Reads, checks and types a settings file, and applies the overrides.
///
/// # Errors
///
/// `Unreadable` if the file cannot be read; `Invalid` with all findings if any is an error.
pub fn load(file: &Path, overrides: &Overrides) -> Result<Settings, Report<SettingsError>> {
    let text = read(file)?;
    let mut settings = parse(&file.display().to_string(), &text)?;
    if let Some(listen) = overrides.listen {
        settings.listen.client = listen;
    }
    if let Some(zone) = &overrides.zone {
        settings.node.zone = zone.clone();
    }
    Ok(settings)
}

/// Checks and types the text of a settings file; warnings are passed over.
///
/// # Errors
///
/// `Invalid` with all findings if any is an error.
pub fn parse(file: &str, text: &str) -> Result<Settings, Report<SettingsError>> {
    let findings = check(file, text);
    if findings.has_errors() {
        return Err(Report::new(SettingsError::Invalid(findings)));
    }
    toml::from_str(text).change_context(SettingsError::Invalid(findings))
}
