//! `spurpier losses`: what was not served and why, out of the nodes' logs.

use std::time::Duration;

use super::logs::read_all;
use super::{LossesArguments, fail, print};
use crate::explain::{Losses, picture};

pub(super) fn run(arguments: &LossesArguments) -> u8 {
    let lines = match read_all(&arguments.logs) {
        Ok(lines) => lines,
        Err(failure) => return fail(&failure),
    };
    let losses = Losses::of(&lines, Duration::from_secs(arguments.span_s));
    if !arguments.svg {
        return print(&losses.render());
    }
    match picture(&losses) {
        Ok(svg) => print(&svg),
        Err(error) => fail(&error),
    }
}
