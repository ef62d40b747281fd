//! Answers and transactions: `whole_own_answer` and `transaction_separation`.

use std::collections::{BTreeSet, HashMap};

use super::history::{Answer, BackEndEvent, History, Outcome, Unit};
use super::violations::{Guarantee, Violations};

/// Checks all answers, session settings and back-end transactions.
pub(super) fn check(history: &History, violations: &mut Violations) {
    for unit in &history.units {
        for answer in &unit.answers {
            check_answer(unit, answer, violations);
        }
        check_settings(unit, violations);
    }
    check_back_end_transactions(history, violations);
}

/// Rows are the statement's own; all of them, and the end, if the unit is done.
fn check_answer(unit: &Unit, answer: &Answer, violations: &mut Violations) {
    let own = answer.rows_received.iter().all(|tag| *tag == answer.asked);
    violations.note(Guarantee::WholeOwnAnswer, own, || {
        let received = &answer.rows_received;
        format!(
            "unit {} asked {} and got {received:?}",
            unit.unit, answer.asked
        )
    });
    let rows = answer.rows_received.len();
    let expected = answer.rows_expected as usize;
    let ended = answer.complete || unit.outcome == Outcome::Done;
    if ended {
        let whole = answer.complete && rows == expected;
        violations.note(Guarantee::WholeOwnAnswer, whole, || {
            format!(
                "unit {} got {rows} of {expected} rows of {}",
                unit.unit, answer.asked
            )
        });
    }
}

fn check_settings(unit: &Unit, violations: &mut Violations) {
    for setting in &unit.settings {
        let holds = setting.expected == setting.observed;
        violations.note(Guarantee::TransactionSeparation, holds, || {
            format!(
                "unit {} saw {} = {} instead of {}",
                unit.unit, setting.name, setting.observed, setting.expected
            )
        });
    }
}

/// Each transaction of a back-end connection holds the statements of one unit.
fn check_back_end_transactions(history: &History, violations: &mut Violations) {
    let mut owners: HashMap<(&str, u64, u64), BTreeSet<u64>> = HashMap::new();
    for event in &history.back_end {
        if let BackEndEvent::StatementRan {
            server,
            connection,
            transaction,
            unit,
            ..
        } = event
        {
            let owners = owners.entry((server, *connection, *transaction));
            owners.or_default().insert(*unit);
        }
    }
    for ((server, connection, transaction), units) in owners {
        violations.note(Guarantee::TransactionSeparation, units.len() == 1, || {
            format!("{server}, connection {connection}, transaction {transaction}: units {units:?}")
        });
    }
}
