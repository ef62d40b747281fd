//! The figures of one scheme.

use std::fmt::Write;

use serde::Serialize;

use super::options::SharingScheme;

/// The figures of one scheme.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct ShareFigures {
    /// The scheme.
    pub scheme: SharingScheme,
    /// Requests that came.
    pub requests: u64,
    /// Requests refused because no connection was free in time, in percent.
    pub refused_percent: f64,
    /// Requests that had to wait, in percent.
    pub waited_percent: f64,
    /// The 99th percentile of the wait, in milliseconds.
    pub wait_p99_ms: f64,
    /// Open connections that were not in use, on average.
    pub idle_connections: f64,
    /// Times that the centre of the load moved.
    pub moves: usize,
    /// Moves after which the new centre got the share that it needs.
    pub moves_followed: usize,
    /// The mean time until then, in milliseconds, of the moves followed.
    pub move_mean_ms: f64,
    /// The greatest time until then, in milliseconds, of the moves followed.
    pub move_max_ms: f64,
    /// The most connections that were open at the server at once.
    pub most_open: u32,
    /// Control messages a second, of all homes together.
    pub messages_per_second: f64,
}

/// The figures as JSON.
pub(super) fn json(figures: &[ShareFigures]) -> String {
    serde_json::to_string_pretty(figures).expect("numbers and names have a JSON form")
}

/// The figures for people.
pub(super) fn text(figures: &[ShareFigures]) -> String {
    let mut text = String::new();
    for one in figures {
        // Writing to a String does not fail.
        let _ = writeln!(
            text,
            "{:?}: {} requests, refused {:.2} %, waited {:.2} %, wait p99 {:.1} ms, idle {:.1}, \
             share moved in {:.0} ms (max {:.0}; {} of {}), most open {}, {:.0} messages/s",
            one.scheme,
            one.requests,
            one.refused_percent,
            one.waited_percent,
            one.wait_p99_ms,
            one.idle_connections,
            one.move_mean_ms,
            one.move_max_ms,
            one.moves_followed,
            one.moves,
            one.most_open,
            one.messages_per_second,
        );
    }
    text
}
