//! The course of a run: moves of the load, freezes and replacements.

use rand::RngExt;

use super::home::Pool;
use super::simulation::{Event, MOVE_INTERVAL, Run};

impl Run<'_> {
    /// Moves the centre of the load to another home that serves.
    pub(super) fn move_centre(&mut self) {
        self.queue.push(self.now + MOVE_INTERVAL, Event::MoveCentre);
        let candidates: Vec<usize> = (0..self.homes.len())
            .filter(|home| *home != self.centre)
            .filter(|home| self.homes[*home].serving && !self.homes[*home].frozen)
            .collect();
        let chosen = self.random.random_range(0..candidates.len());
        self.centre = candidates[chosen];
        self.moves += 1;
        self.moved_at = Some(self.now);
    }

    /// The homes that freeze: the first-ranked one and those behind it.
    pub(super) fn freeze(&mut self) {
        for home in 0..self.options.frozen {
            self.homes[home].frozen = true;
            let closes_at = self.now + self.tuning.server_close_timeout;
            self.queue.push(closes_at, Event::ServerCloses(home));
        }
    }

    /// The server closes the connections of a home that has been silent for too long.
    pub(super) fn server_closes(&mut self, home: usize) {
        if self.homes[home].frozen {
            self.homes[home].pool = Pool::default();
        }
    }

    /// The members take the frozen homes for dead: others become homes in their place.
    pub(super) fn replace(&mut self) {
        for home in 0..self.options.frozen {
            self.homes[home].serving = false;
            let index = self.homes.len();
            let fresh = self.new_home(index, false);
            self.homes.push(fresh);
            self.queue.push(self.now, Event::Check(index));
        }
        if !self.homes[self.centre].serving {
            self.move_centre();
        }
    }

    /// The frozen homes go on where they stopped, and do not know what has happened.
    pub(super) fn thaw(&mut self) {
        for home in 0..self.options.frozen {
            self.homes[home].frozen = false;
            self.homes[home].serving = true;
            for event in std::mem::take(&mut self.homes[home].backlog) {
                self.happen_at_home(event);
            }
        }
    }
}
