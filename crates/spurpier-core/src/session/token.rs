//! The position token that a client carries from one proxy to the next.

use std::collections::BTreeMap;
use std::fmt;
use std::str::FromStr;

use crate::identity::{DatabaseName, GroupId, Side};
use crate::position::Position;

/// Maximum length of a token that is parsed, in bytes.
const MAX_TOKEN_BYTES: usize = 16 * 1024;

/// A session's positions in the form `database.side=term/offset`, joined with commas.
///
/// In database names, `%` and `,` are escaped as `%25` and `%2C`.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct PositionToken {
    positions: BTreeMap<GroupId, Position>,
}

impl PositionToken {
    /// A token with these positions.
    pub fn new(positions: BTreeMap<GroupId, Position>) -> Self {
        PositionToken { positions }
    }

    /// The positions by group.
    pub fn positions(&self) -> impl Iterator<Item = (&GroupId, &Position)> {
        self.positions.iter()
    }
}

impl fmt::Display for PositionToken {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, (group, position)) in self.positions.iter().enumerate() {
            if index > 0 {
                formatter.write_str(",")?;
            }
            let database = group.database.as_str();
            let escaped = database.replace('%', "%25").replace(',', "%2C");
            write!(formatter, "{escaped}.{}={position}", group.side)?;
        }
        Ok(())
    }
}

/// The text is not a valid position token.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct InvalidToken;

impl fmt::Display for InvalidToken {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("the position is not of the form database.side=term/offset,...")
    }
}

impl std::error::Error for InvalidToken {}

impl FromStr for PositionToken {
    type Err = InvalidToken;

    fn from_str(text: &str) -> Result<Self, InvalidToken> {
        if text.len() > MAX_TOKEN_BYTES {
            return Err(InvalidToken);
        }
        let mut positions = BTreeMap::new();
        for part in text.split(',').filter(|part| !part.is_empty()) {
            let (group, position) = parse_part(part).ok_or(InvalidToken)?;
            let highest = positions.entry(group).or_insert(position);
            *highest = position.max(*highest);
        }
        Ok(PositionToken { positions })
    }
}

fn parse_part(part: &str) -> Option<(GroupId, Position)> {
    let (group, position) = part.rsplit_once('=')?;
    let (database, side) = group.rsplit_once('.')?;
    let side = match side {
        "old" => Side::Old,
        "new" => Side::New,
        _ => return None,
    };
    if database.is_empty() {
        return None;
    }
    let database = database.replace("%2C", ",").replace("%25", "%");
    let group = GroupId {
        database: DatabaseName::from(database),
        side,
    };
    Some((group, position.parse().ok()?))
}
