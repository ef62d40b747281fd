//! The guarantees by name, and what a check of a history found.

use std::collections::BTreeMap;

use serde::Serialize;
use serde::ser::{SerializeMap, Serializer};

/// How many explanations are kept per guarantee.
const EXPLANATIONS_KEPT: usize = 5;

/// What must always hold.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Guarantee {
    /// A session reads its own confirmed writes at any proxy; reads never go back in time.
    ReadYourWrites,
    /// Nothing acknowledged is missing from the group's surviving history.
    NoDeposedAcknowledgement,
    /// Transactions never mix, and session state does not leak.
    TransactionSeparation,
    /// Every caller gets all of its own answer and nothing of another's.
    WholeOwnAnswer,
    /// "Not run" means no effect, ever.
    NotRunIsTrue,
    /// A request takes effect at most once.
    AtMostOnce,
    /// A leaving back end gets no new work after three seconds.
    LeavingBackEndDrained,
    /// A planned stop cuts no request in flight.
    PlannedStopCutsNothing,
    /// Policies never revert, spread in time, and two sides never both take writes.
    PolicyNeverReverts,
}

impl Guarantee {
    /// All guarantees, in the order of reports.
    pub const ALL: [Guarantee; 9] = [
        Guarantee::ReadYourWrites,
        Guarantee::NoDeposedAcknowledgement,
        Guarantee::TransactionSeparation,
        Guarantee::WholeOwnAnswer,
        Guarantee::NotRunIsTrue,
        Guarantee::AtMostOnce,
        Guarantee::LeavingBackEndDrained,
        Guarantee::PlannedStopCutsNothing,
        Guarantee::PolicyNeverReverts,
    ];

    /// The name in reports.
    pub const fn as_str(self) -> &'static str {
        match self {
            Guarantee::ReadYourWrites => "read_your_writes",
            Guarantee::NoDeposedAcknowledgement => "no_deposed_acknowledgement",
            Guarantee::TransactionSeparation => "transaction_separation",
            Guarantee::WholeOwnAnswer => "whole_own_answer",
            Guarantee::NotRunIsTrue => "not_run_is_true",
            Guarantee::AtMostOnce => "at_most_once",
            Guarantee::LeavingBackEndDrained => "leaving_back_end_drained",
            Guarantee::PlannedStopCutsNothing => "planned_stop_cuts_nothing",
            Guarantee::PolicyNeverReverts => "policy_never_reverts",
        }
    }
}

/// What was found of one guarantee.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
struct Finding {
    checked: u64,
    broken: u64,
    explanations: Vec<String>,
}

/// What a check of a history found; serialises to an object of guarantee name to count.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Violations {
    findings: BTreeMap<Guarantee, Finding>,
}

impl Violations {
    /// Notes one obligation that was checked, and the explanation if it was broken.
    pub(super) fn note(
        &mut self,
        guarantee: Guarantee,
        holds: bool,
        explain: impl FnOnce() -> String,
    ) {
        let finding = self.findings.entry(guarantee).or_default();
        finding.checked += 1;
        if holds {
            return;
        }
        finding.broken += 1;
        if finding.explanations.len() < EXPLANATIONS_KEPT {
            finding.explanations.push(explain());
        }
    }

    /// How often the guarantee was seen broken.
    pub fn count(&self, guarantee: Guarantee) -> u64 {
        self.findings
            .get(&guarantee)
            .map_or(0, |finding| finding.broken)
    }

    /// How many single obligations of the guarantee were checked; zero proves nothing.
    pub fn checked(&self, guarantee: Guarantee) -> u64 {
        self.findings
            .get(&guarantee)
            .map_or(0, |finding| finding.checked)
    }

    /// The first explanations of how the guarantee was broken.
    pub fn explanations(&self, guarantee: Guarantee) -> &[String] {
        self.findings
            .get(&guarantee)
            .map_or(&[], |finding| finding.explanations.as_slice())
    }

    /// Whether no guarantee was seen broken.
    pub fn is_empty(&self) -> bool {
        self.findings.values().all(|finding| finding.broken == 0)
    }
}

impl Serialize for Violations {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        let mut map = serializer.serialize_map(Some(Guarantee::ALL.len()))?;
        for guarantee in Guarantee::ALL {
            map.serialize_entry(guarantee.as_str(), &self.count(guarantee))?;
        }
        map.end()
    }
}
