//! A home's pool of connections to the one server.

use std::collections::VecDeque;

use spurpier_core::time::Timestamp;

/// A home's pool.
#[derive(Debug, Clone, Default)]
pub(super) struct Pool {
    /// Connections in use.
    pub(super) in_use: u32,
    /// Open connections that are not in use.
    pub(super) idle: u32,
    /// Connections being opened; they count at the server from the start.
    pub(super) opening: u32,
    /// When the requests that wait came.
    pub(super) waiting: VecDeque<Timestamp>,
}

impl Pool {
    /// Connections that count at the server.
    pub(super) fn open(&self) -> u32 {
        self.in_use + self.idle + self.opening
    }

    /// Connections in use and requests that wait for one.
    pub(super) fn demand(&self) -> u32 {
        self.in_use + self.waiting.len() as u32
    }

    /// Closes idle connections until at most `allowance` are open.
    pub(super) fn close_surplus(&mut self, allowance: u32) {
        let surplus = self.open().saturating_sub(allowance);
        self.idle -= self.idle.min(surplus);
    }

    /// Takes the next waiting request into an idle connection; gives the time at which it came.
    pub(super) fn start_next(&mut self) -> Option<Timestamp> {
        if self.idle == 0 {
            return None;
        }
        let came_at = self.waiting.pop_front()?;
        self.idle -= 1;
        self.in_use += 1;
        Some(came_at)
    }

    /// How many connections to open now for the requests that wait.
    pub(super) fn to_open(&self, allowance: u32) -> u32 {
        let needed = (self.waiting.len() as u32).saturating_sub(self.opening + self.idle);
        needed.min(allowance.saturating_sub(self.open()))
    }
}
