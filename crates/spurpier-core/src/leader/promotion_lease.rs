//! Which node holds the promotion lease, and the fencing tokens of its decisions.
//!
//! The holder is stored in one row of the platform's store, which is written only on the condition
//! that it has not changed since it was read. Each decision takes a new, higher fencing token, so
//! that a promotion which is carried out late is refused once a newer decision is known. The lease
//! needs no renewal. A node that needs a decision asks the holder. It takes over the lease only if
//! the holder does not answer or decide in time and the row has not changed.

use std::time::Duration;

use nanoserde::{DeBin, SerBin};

use crate::store_version::StoreEra;
use crate::time::Timestamp;
use crate::wire::Text;

/// How long a holder may leave a node's requests unanswered before the node takes over the
/// promotion lease.
const HOLDER_RESPONSE_TIMEOUT: Duration = Duration::from_millis(900);
/// How long a holder that answers may leave a group without a new primary. Longer than a decision
/// waits for the leader leases of unresponsive nodes to expire.
const DECISION_TIMEOUT: Duration = Duration::from_secs(13);

/// The low bits of a token, which count the decisions within an era of the store.
const SEQUENCE_BITS: u32 = 40;

/// The stored row of the promotion lease.
#[derive(Debug, Clone, PartialEq, Eq, SerBin, DeBin)]
pub struct PromotionLeaseRow {
    /// The name of the node that holds the lease.
    #[nserde(proxy = "Text")]
    pub holder: String,
    /// The fencing token of its newest decision.
    pub token: u64,
}

impl PromotionLeaseRow {
    /// The row for the next decision, made by `holder` in an era of the store.
    ///
    /// A store that was restored from an older copy has lost the newest tokens. Tokens of a new
    /// era therefore start above all tokens of earlier eras, so that none is issued twice.
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
    /// It asks the holder to decide, and waits.
    AskHolder,
}

/// Whether the holder of the promotion lease answers, as observed by a node that needs a decision.
///
/// The response timeout runs only from a request that went unanswered. A node that has sent no
/// request for a while has no evidence against the holder.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct HolderStatus {
    first_asked: Timestamp,
    unanswered_since: Option<Timestamp>,
}

impl HolderStatus {
    /// The status of a holder that is about to be asked for the first time.
    pub fn new(now: Timestamp) -> Self {
        HolderStatus {
            first_asked: now,
            unanswered_since: None,
        }
    }

    /// Records whether the holder answered a request that was sent at `asked_at`.
    pub fn record_request(&mut self, asked_at: Timestamp, was_answered: bool) {
        if was_answered {
            self.unanswered_since = None;
        } else {
            self.unanswered_since.get_or_insert(asked_at);
        }
    }

    /// Whether the promotion lease may be taken over from the holder.
    fn is_lost(&self, now: Timestamp) -> bool {
        let is_unresponsive = self
            .unanswered_since
            .is_some_and(|since| now.since(since) >= HOLDER_RESPONSE_TIMEOUT);
        is_unresponsive || now.since(self.first_asked) >= DECISION_TIMEOUT
    }
}

/// What a node that needs a decision does next.
///
/// `row` is the lease as it was last read, `None` if it was never stored. `holder` is the status of
/// the holder that the row names.
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
