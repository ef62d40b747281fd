//! `spurpier explain`: the story of one request, out of the nodes' logs.

use std::fs::File;
use std::io::{BufRead, BufReader};
use std::path::Path;

use super::{ExplainArguments, fail, print};
use crate::explain::{LogLine, render, story};

pub(super) fn run(arguments: &ExplainArguments) -> u8 {
    let mut lines = Vec::new();
    for path in &arguments.logs {
        match read(path) {
            Ok(read) => lines.extend(read),
            Err(error) => return fail(&format!("{}: {error}", path.display())),
        }
    }
    let request = arguments.request.as_str();
    let story = story(lines, request);
    if story.is_empty() {
        return fail(&format!("no line names the request {request}"));
    }
    print(&render(&story, request))
}

/// The lines of a log; what is no line of a log is passed over.
fn read(path: &Path) -> std::io::Result<Vec<LogLine>> {
    let mut lines = Vec::new();
    for bytes in BufReader::new(File::open(path)?).split(b'\n') {
        let text = bytes?;
        lines.extend(LogLine::parse(&String::from_utf8_lossy(&text)));
    }
    Ok(lines)
}
