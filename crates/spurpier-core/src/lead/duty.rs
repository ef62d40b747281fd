//! Who holds the duty to order promotions, and under which token.
//!
//! The holder stands in one row of the platform's store, which is only ever changed under the
//! condition that it has not changed meanwhile. Each decision takes a new, higher token, so that
//! an order which is carried out late is refused once a newer decision is known. Nothing is
//! renewed while all is well. A node that needs a decision asks the holder; it takes the duty
//! over only after the holder has not answered for a while and the row has not changed.

use std::time::Duration;

use nanoserde::{DeBin, SerBin};

/// How long a holder may leave a node without an answer before the node takes the duty over.
const HOLDER_PATIENCE: Duration = Duration::from_millis(900);

/// The row of the duty.
#[derive(Debug, Clone, PartialEq, Eq, SerBin, DeBin)]
pub struct DutyRow {
    /// The node that holds the duty.
    pub holder: String,
    /// The token of its newest decision.
    pub token: u64,
}

impl DutyRow {
    /// The row of the next decision by a node.
    pub fn next(current: Option<&DutyRow>, holder: &str) -> Self {
        DutyRow {
            holder: holder.to_owned(),
            token: current.map_or(0, |row| row.token) + 1,
        }
    }
}

/// What a node that needs a decision does next.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DutyStep {
    /// It decides itself, under a new token.
    Decide,
    /// It asks the holder and waits.
    AskHolder,
}

/// What a node knows of the duty while it needs a decision.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct DutyView<'a> {
    /// The row; none if there is none.
    pub row: Option<&'a DutyRow>,
    /// For how long this node has seen the row unchanged, asked its holder, and had no answer.
    pub unanswered_for: Duration,
}

/// What a node that needs a decision does next.
pub fn next_step(view: &DutyView<'_>, own_name: &str) -> DutyStep {
    match view.row {
        None => DutyStep::Decide,
        Some(row) if row.holder == own_name => DutyStep::Decide,
        Some(_) if view.unanswered_for >= HOLDER_PATIENCE => DutyStep::Decide,
        Some(_) => DutyStep::AskHolder,
    }
}
