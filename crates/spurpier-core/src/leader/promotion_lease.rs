//! Who holds the duty to order promotions, and under which token.
//!
//! The holder stands in one row of the platform's store, which is only ever changed under the
//! condition that it has not changed meanwhile. Each decision takes a new, higher token, so that
//! an order which is carried out late is refused once a newer decision is known. Nothing is
//! renewed while all is well. A node that needs a decision asks the holder; it takes the duty
//! over only after the holder has not answered for a while and the row has not changed.

use std::time::Duration;

use nanoserde::{DeBin, SerBin};

use crate::store_version::StoreEra;
use crate::time::Timestamp;

/// How long a holder may leave a node without an answer before the node takes the duty over.
const HOLDER_RESPONSE_TIMEOUT: Duration = Duration::from_millis(900);
/// How long a holder that answers may leave a group without a new primary.
/// Longer than a decision waits for the leases of nodes that do not answer.
const DECISION_TIMEOUT: Duration = Duration::from_secs(13);

/// The bits of a token that count decisions within an era of the store.
const SEQUENCE_BITS: u32 = 40;

/// The row of the duty.
#[derive(Debug, Clone, PartialEq, Eq, SerBin, DeBin)]
pub struct PromotionLeaseRow {
    /// The node that holds the duty.
    pub holder: String,
    /// The token of its newest decision.
    pub token: u64,
}

impl PromotionLeaseRow {
    /// The row of the next decision by a node, made in an era of the store. A store that comes back
    /// from an older copy has lost the newest tokens: none of a later era may equal one of them.
    pub fn next(current: Option<&PromotionLeaseRow>, holder: &str, era: StoreEra) -> Self {
        let first_of_era = era.number() << SEQUENCE_BITS;
        let newest = current.map_or(0, |row| row.token);
        PromotionLeaseRow {
            holder: holder.to_owned(),
            token: newest.max(first_of_era) + 1,
        }
    }
}

/// What a node that needs a decision does next.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PromotionStep {
    /// It decides itself, under a new token.
    Decide,
    /// It asks the holder and waits.
    AskHolder,
}

/// What a node knows of one holder while it needs a decision.
///
/// Time counts against the holder only from a question that it left without an answer: a node
/// that has not asked again for a while has no reason for impatience.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct HolderStatus {
    first_asked: Timestamp,
    unanswered_since: Option<Timestamp>,
}

impl HolderStatus {
    /// A holder that is about to be asked for the first time.
    pub fn new(now: Timestamp) -> Self {
        HolderStatus {
            first_asked: now,
            unanswered_since: None,
        }
    }

    /// Takes in what became of a question that was asked at `asked_at`.
    pub fn record_request(&mut self, asked_at: Timestamp, was_answered: bool) {
        if was_answered {
            self.unanswered_since = None;
        } else {
            self.unanswered_since.get_or_insert(asked_at);
        }
    }

    /// Whether the duty may be taken over from the holder.
    fn is_lost(&self, now: Timestamp) -> bool {
        let is_unresponsive = self
            .unanswered_since
            .is_some_and(|since| now.since(since) >= HOLDER_RESPONSE_TIMEOUT);
        is_unresponsive || now.since(self.first_asked) >= DECISION_TIMEOUT
    }
}

/// What a node that needs a decision does next, by the row and what it knows of its holder.
pub fn next_promotion_step(
    row: Option<&PromotionLeaseRow>,
    own_name: &str,
    holder: &HolderStatus,
    now: Timestamp,
) -> PromotionStep {
    match row {
        None => PromotionStep::Decide,
        Some(row) if row.holder == own_name => PromotionStep::Decide,
        Some(_) if holder.is_lost(now) => PromotionStep::Decide,
        Some(_) => PromotionStep::AskHolder,
    }
}
