//! `spurpier explain`: the story of one request, out of the nodes' logs.

use super::logs::read_all;
use super::{ExplainArguments, fail, print};
use crate::explain::{render, story};

pub(super) fn run(arguments: &ExplainArguments) -> u8 {
    let lines = match read_all(&arguments.logs) {
        Ok(lines) => lines,
        Err(failure) => return fail(&failure),
    };
    let request = arguments.request.as_str();
    let story = story(lines, request);
    if story.is_empty() {
        return fail(&format!("no line names the request {request}"));
    }
    print(&render(&story, request))
}
