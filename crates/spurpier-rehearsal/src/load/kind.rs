//! The kinds of requests that the users make.

use rand::{Rng, RngExt};

use crate::deployment::Mix;

/// A kind of request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum RequestKind {
    /// A read that may lag.
    Browse,
    /// A read-only transaction over the session's own writes.
    ReadOwn,
    /// A read that must be current.
    ReadFresh,
    /// A write with a request key.
    KeyedWrite,
    /// A write without a request key.
    UnkeyedWrite,
    /// A keyed transaction of several statements.
    Transaction,
    /// A keyed write to a record that others read fresh.
    Update,
}

impl RequestKind {
    /// Whether the request only reads.
    pub const fn is_read(self) -> bool {
        matches!(
            self,
            RequestKind::Browse | RequestKind::ReadOwn | RequestKind::ReadFresh
        )
    }

    /// Whether the request may be sent again when its outcome is unknown.
    pub const fn may_repeat(self) -> bool {
        !matches!(self, RequestKind::UnkeyedWrite)
    }
}

impl Mix {
    /// Draws a kind by the weights; a mix without any weight draws browse reads.
    pub fn draw(&self, random: &mut impl Rng) -> RequestKind {
        let weighted = self.weighted();
        let total: u32 = weighted.iter().map(|(_, weight)| weight).sum();
        if total == 0 {
            return RequestKind::Browse;
        }
        let mut ticket = random.random_range(0..total);
        for (kind, weight) in weighted {
            if ticket < weight {
                return kind;
            }
            ticket -= weight;
        }
        RequestKind::Browse
    }

    fn weighted(&self) -> [(RequestKind, u32); 7] {
        [
            (RequestKind::Browse, self.browse),
            (RequestKind::ReadOwn, self.read_own),
            (RequestKind::ReadFresh, self.read_fresh),
            (RequestKind::KeyedWrite, self.keyed_write),
            (RequestKind::UnkeyedWrite, self.unkeyed_write),
            (RequestKind::Transaction, self.transaction),
            (RequestKind::Update, self.update),
        ]
    }
}
