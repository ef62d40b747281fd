//! The observed history of a group: past read indexes and the start of each term.

use std::collections::VecDeque;
use std::time::Duration;

use crate::commit::TermStarts;
use crate::group::GroupView;
use crate::position::Position;
use crate::time::Timestamp;

/// Maximum number of past read indexes that are kept.
const MAX_READ_INDEXES: usize = 256;

/// A read index and the time for which it holds.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PastReadIndex {
    /// Every write that was confirmed before this time is at or before `position`.
    pub as_of: Timestamp,
    /// The read index.
    pub position: Position,
}

/// Past read indexes, oldest first, and the start of each term.
#[derive(Debug, Clone, Default)]
pub struct GroupHistory {
    indexes: VecDeque<PastReadIndex>,
    term_starts: TermStarts,
    confirmed: Position,
}

impl GroupHistory {
    /// Records a new view.
    pub fn observe(&mut self, view: &GroupView) {
        self.term_starts.observe(view);
        self.confirmed = self.confirmed.max(highest_confirmed(view));
        let Some(latest) = latest_read_index(view) else {
            return;
        };
        let known = self.indexes.back().map(|past| past.as_of);
        if known.is_some_and(|known| known >= latest.as_of) {
            return;
        }
        self.indexes.push_back(latest);
        if self.indexes.len() > MAX_READ_INDEXES {
            self.indexes.pop_front();
        }
    }

    /// Whether a log position is known to be confirmed, by the latest view or an earlier one.
    ///
    /// A confirmed position stays confirmed, whatever the servers report afterwards.
    pub fn is_confirmed(&self, position: Position) -> bool {
        position.term == self.confirmed.term && position.offset <= self.confirmed.offset
    }

    /// The start of each term, as far as observed.
    pub fn term_starts(&self) -> &TermStarts {
        &self.term_starts
    }

    /// A position at or past every write confirmed before `moment`; none if no read index covers
    /// that time.
    pub fn read_index_at(&self, moment: Timestamp) -> Option<Position> {
        let found = self.indexes.partition_point(|past| past.as_of < moment);
        self.indexes.get(found).map(|past| past.position)
    }

    /// Time since the group was first known to hold records past `applied`; zero if it holds none.
    pub fn lag(&self, applied: Position, now: Timestamp) -> Duration {
        let newer = self.indexes.iter().find(|past| past.position > applied);
        newer.map_or(Duration::ZERO, |past| now.since(past.as_of))
    }
}

/// The highest received position that the view proves to be confirmed.
fn highest_confirmed(view: &GroupView) -> Position {
    let observed = view
        .servers
        .iter()
        .filter_map(|server| server.observed.as_ref());
    observed
        .map(|observed| observed.status.received)
        .filter(|position| view.is_confirmed(*position))
        .max()
        .unwrap_or(Position::ZERO)
}

/// The read index for the latest time that a majority's answers cover.
fn latest_read_index(view: &GroupView) -> Option<PastReadIndex> {
    let mut requested: Vec<Timestamp> = view
        .servers
        .iter()
        .filter_map(|server| server.observed.as_ref())
        .map(|observed| observed.requested_at)
        .collect();
    requested.sort_unstable();
    let as_of = *requested.iter().rev().nth(view.majority() - 1)?;
    let position = view.read_index(as_of)?;
    Some(PastReadIndex { as_of, position })
}
