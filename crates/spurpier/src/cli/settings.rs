//! `spurpier settings check` and `spurpier settings template`.

use std::path::Path;

use super::{EXIT_DONE, EXIT_FAILED, SettingsCommand, fail, print};
use crate::settings::check::check;
use crate::settings::load::read;
use crate::settings::template::template;

pub(super) fn run(command: &SettingsCommand) -> u8 {
    match command {
        SettingsCommand::Check { file } => check_file(file),
        SettingsCommand::Template => print(&template()),
    }
}

/// Prints all findings to standard error; fails if any of them is an error.
fn check_file(file: &Path) -> u8 {
    let text = match read(file) {
        Ok(text) => text,
        Err(report) => return fail(&format!("{report:?}")),
    };
    let findings = check(&file.display().to_string(), &text);
    if !findings.findings.is_empty() {
        eprintln!("{findings}");
    }
    if findings.has_errors() {
        EXIT_FAILED
    } else {
        EXIT_DONE
    }
}
