//! The first known record of each term.

use std::collections::BTreeMap;

use crate::group::GroupView;
use crate::position::Position;

/// The lowest position observed in each term, used to prove that a newer term discarded a record.
///
/// Offsets count records across all terms, and terms never decrease along a log. A log with a
/// record of term `t` at offset `o` therefore has no record of an older term at or after `o`.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct TermStarts {
    lowest: BTreeMap<u64, u64>,
}

impl TermStarts {
    /// Records the positions of a view.
    pub fn observe(&mut self, view: &GroupView) {
        let statuses = view
            .servers
            .iter()
            .filter_map(|server| server.observed.as_ref());
        for observed in statuses {
            let received = observed.status.received;
            let lowest = self.lowest.entry(received.term).or_insert(received.offset);
            *lowest = (*lowest).min(received.offset);
        }
    }

    /// Whether a confirmed record of a newer term is at or before the offset of `position`.
    ///
    /// Every later log contains that record, so none can contain `position`: it is permanently
    /// lost.
    pub fn proves_lost(&self, position: Position, view: &GroupView) -> bool {
        self.lowest
            .range(position.term + 1..)
            .filter(|(_, offset)| **offset <= position.offset)
            .any(|(term, offset)| view.is_confirmed(Position::new(*term, *offset)))
    }
}
