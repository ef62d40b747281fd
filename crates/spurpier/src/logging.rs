//! The logger: numbered events as JSON or text lines on standard error.

use std::fmt;

use error_stack::{Report, ResultExt};
use log::LevelFilter;
use logforth::append::Stderr;
use logforth::layout::{JsonLayout, TextLayout};

use crate::settings::{LogFormat, LogSettings};

/// Why the logger could not be installed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum LoggingError {
    /// The level is none of `error`, `warn`, `info`, `debug`, `trace`.
    UnknownLevel(String),
    /// A logger is installed already in this process.
    AlreadyInstalled,
}

impl fmt::Display for LoggingError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            LoggingError::UnknownLevel(level) => write!(formatter, "unknown log level `{level}`"),
            LoggingError::AlreadyInstalled => formatter.write_str("a logger is installed already"),
        }
    }
}

impl std::error::Error for LoggingError {}

/// Installs the logger for the whole process; only the program's command does so, never a node.
///
/// # Errors
///
/// `UnknownLevel` for a level that the settings check would refuse; `AlreadyInstalled` on a
/// second call.
pub fn install(settings: &LogSettings) -> Result<(), Report<LoggingError>> {
    let unknown = || LoggingError::UnknownLevel(settings.level.clone());
    let level: LevelFilter = settings.level.parse().change_context_lazy(unknown)?;
    let appender = match settings.format {
        LogFormat::Json => Stderr::default().with_layout(JsonLayout::default()),
        LogFormat::Text => Stderr::default().with_layout(TextLayout::default().no_color()),
    };
    logforth::starter_log::builder()
        .dispatch(|dispatch| dispatch.append(appender))
        .try_apply()
        .change_context(LoggingError::AlreadyInstalled)?;
    log::set_max_level(level);
    Ok(())
}
