//! Reading the nodes' logs that a command names.

use std::fs::File;
use std::io::{BufRead, BufReader};
use std::path::{Path, PathBuf};

use crate::explain::LogLine;

/// The lines of all logs; what is no line of a log is passed over.
///
/// # Errors
///
/// What to tell of the first log that cannot be read.
pub(super) fn read_all(paths: &[PathBuf]) -> Result<Vec<LogLine>, String> {
    let mut lines = Vec::new();
    for path in paths {
        let read = read(path).map_err(|error| format!("{}: {error}", path.display()))?;
        lines.extend(read);
    }
    Ok(lines)
}

fn read(path: &Path) -> std::io::Result<Vec<LogLine>> {
    let mut lines = Vec::new();
    for bytes in BufReader::new(File::open(path)?).split(b'\n') {
        let text = bytes?;
        lines.extend(LogLine::parse(&String::from_utf8_lossy(&text)));
    }
    Ok(lines)
}
