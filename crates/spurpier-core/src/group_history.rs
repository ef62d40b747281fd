//! What a watcher remembers of a group: past read indexes and the start of each term.

use std::collections::VecDeque;
use std::time::Duration;

use crate::commit::TermStarts;
use crate::group::GroupView;
use crate::position::Position;
use crate::time::Timestamp;

/// How many past read indexes are kept.
const MAX_READ_INDEXES: usize = 256;

/// A read index and the moment for which it holds.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PastReadIndex {
    /// Every write confirmed before this moment is at or before `position`.
    pub as_of: Timestamp,
    /// The read index.
    pub position: Position,
}

/// Past read indexes in the order of time, and the start of each term.
#[derive(Debug, Clone, Default)]
pub struct GroupHistory {
    indexes: VecDeque<PastReadIndex>,
    term_starts: TermStarts,
    confirmed: Position,
}

impl GroupHistory {
    /// Takes in a new view.
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

    /// Whether a position of a log is known to be confirmed, by this view or an earlier one.
    ///
    /// What has been confirmed once stays so, whatever the servers report afterwards.
    pub fn is_confirmed(&self, position: Position) -> bool {
        position.term == self.confirmed.term && position.offset <= self.confirmed.offset
    }

    /// The start of each term as far as seen.
    pub fn term_starts(&self) -> &TermStarts {
        &self.term_starts
    }

    /// A position at or past every write confirmed before `moment`; none if too little is known.
    pub fn read_index_at(&self, moment: Timestamp) -> Option<Position> {
        let found = self.indexes.partition_point(|past| past.as_of < moment);
        self.indexes.get(found).map(|past| past.position)
    }

    /// How long ago the group first held more than `applied`; zero when it holds no more.
    pub fn lag(&self, applied: Position, now: Timestamp) -> Duration {
        let newer = self.indexes.iter().find(|past| past.position > applied);
        newer.map_or(Duration::ZERO, |past| now.since(past.as_of))
    }
}

/// The greatest position that the view shows to be confirmed.
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

/// The read index for the latest moment that a majority's answers cover.
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
