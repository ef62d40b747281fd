//! Reservations passed from home to home, without a ledger: one way that was weighed.
//!
//! Each home starts with an equal part of the limit. A home that needs more asks another one,
//! which gives half of what it does not use. The sum never changes; what a frozen home holds is
//! out of reach until it comes back.

use rand::RngExt;
use rand::rngs::SmallRng;
use spurpier_core::time::Timestamp;
use std::time::Duration;

/// The least time between two questions of one home.
const ASK_SPACING: Duration = Duration::from_millis(5);

/// A message between homes.
#[derive(Debug, Clone, Copy)]
pub(super) enum EscrowMessage {
    /// Asks for this many reservations.
    Ask(u32),
    /// Hands this many over; none when the giver needs all.
    Give(u32),
}

/// The reservations of one home.
#[derive(Debug, Clone)]
pub(super) struct EscrowHome {
    /// Reservations held.
    pub(super) held: u32,
    last_ask: Option<Timestamp>,
}

impl EscrowHome {
    /// A home with its first part.
    pub(super) fn new(held: u32) -> Self {
        EscrowHome {
            held,
            last_ask: None,
        }
    }

    /// Whom to ask for how many, if the demand passes what is held.
    pub(super) fn ask(
        &mut self,
        now: Timestamp,
        demand: u32,
        own: usize,
        homes: usize,
        random: &mut SmallRng,
    ) -> Option<(usize, EscrowMessage)> {
        let recently = self
            .last_ask
            .is_some_and(|asked| now.since(asked) < ASK_SPACING);
        if demand < self.held || recently || homes < 2 {
            return None;
        }
        self.last_ask = Some(now);
        let step = random.random_range(1..homes);
        let target = (own + step) % homes;
        Some((target, EscrowMessage::Ask(demand + 1 - self.held)))
    }

    /// Hands over up to half of what is not used; `used` includes open connections in use.
    pub(super) fn give(&mut self, wanted: u32, used: u32) -> EscrowMessage {
        let unused = self.held.saturating_sub(used + 1);
        let given = wanted.min(unused.div_ceil(2));
        self.held -= given;
        EscrowMessage::Give(given)
    }
}
