//! Read floors: the minimum positions that a session's reads must observe.

use std::collections::BTreeMap;

use super::token::PositionToken;
use crate::identity::GroupId;
use crate::position::Position;

/// A session's read floor in each group: a read must observe the group's state at this position or
/// a later one. Floors only rise.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct ReadFloors {
    positions: BTreeMap<GroupId, Position>,
}

impl ReadFloors {
    /// No floor in any group.
    pub fn new() -> Self {
        Self::default()
    }

    /// The floor in a group; `None` if reads of the group are not restricted.
    pub fn floor(&self, group: &GroupId) -> Option<Position> {
        self.positions.get(group).copied()
    }

    /// Raises the floor in a group, and returns whether it rose. A lower position changes nothing.
    pub fn raise(&mut self, group: &GroupId, position: Position) -> bool {
        match self.positions.get_mut(group) {
            Some(floor) if *floor >= position => false,
            Some(floor) => {
                *floor = position;
                true
            }
            None => {
                self.positions.insert(group.clone(), position);
                true
            }
        }
    }

    /// Raises the floors to the positions of a token, and returns whether any rose.
    pub fn raise_to(&mut self, token: &PositionToken) -> bool {
        let mut rose = false;
        for (group, position) in token.positions() {
            rose |= self.raise(group, *position);
        }
        rose
    }

    /// All floors, as a token for the client.
    pub fn token(&self) -> PositionToken {
        PositionToken::new(self.positions.clone())
    }
}
