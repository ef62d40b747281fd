//! What is counted in a run.

use spurpier_core::time::Timestamp;

use super::report::ShareFigures;
use super::simulation::{Run, SERVICE};

impl Run<'_> {
    /// Notes open connections, and whether the share has followed the load.
    pub(super) fn note_state(&mut self) {
        let open: u32 = self.homes.iter().map(|home| home.pool.open()).sum();
        self.most_open = self.most_open.max(open);
        let Some(moved_at) = self.moved_at else {
            return;
        };
        let hot = f64::from(self.options.hot_percent) / 100.0;
        let needed = self.options.requests_per_second * hot * SERVICE.as_secs_f64();
        let allowance = self.homes[self.centre].share.allowance(self.now);
        if f64::from(allowance) >= needed {
            self.move_times.push(self.now.since(moved_at));
            self.moved_at = None;
        }
    }

    /// Adds up idle connections until the next event.
    pub(super) fn count_idle(&mut self, until: Timestamp) {
        if self.now >= self.counting_from {
            let idle: u32 = self.homes.iter().map(|home| home.pool.idle).sum();
            self.idle_time += f64::from(idle) * until.since(self.idle_since).as_secs_f64();
        }
        self.idle_since = until;
    }

    /// The figures of the run.
    pub(super) fn figures(mut self) -> ShareFigures {
        self.waits.sort_unstable();
        let requests = self.requests.max(1) as f64;
        let waited = self.waits.iter().filter(|wait| **wait > 0).count();
        let p99 = self.waits.get(self.waits.len() * 99 / 100).copied();
        let millis: Vec<f64> = self
            .move_times
            .iter()
            .map(|time| time.as_secs_f64() * 1_000.0)
            .collect();
        ShareFigures {
            scheme: self.scheme,
            requests: self.requests,
            refused_percent: self.refused as f64 * 100.0 / requests,
            waited_percent: waited as f64 * 100.0 / requests,
            wait_p99_ms: p99.unwrap_or(0) as f64 / 1_000.0,
            idle_connections: self.idle_time / self.options.seconds.max(1) as f64,
            moves: self.moves,
            moves_followed: millis.len(),
            move_mean_ms: millis.iter().sum::<f64>() / millis.len().max(1) as f64,
            move_max_ms: millis.iter().copied().fold(0.0, f64::max),
            most_open: self.most_open,
            messages_per_second: self.messages as f64 / self.options.seconds.max(1) as f64,
        }
    }
}
