//! What lasts of writes: `no_deposed_acknowledgement`, `not_run_is_true`, `at_most_once`, and the
//! all-or-nothing part of `transaction_separation`.

use std::collections::{HashMap, HashSet};

use super::history::{BackEndEvent, History, Outcome, SurvivingGroup, Unit, Write};
use super::violations::{Guarantee, Violations};

/// How often each row is there at the end.
type RowCounts<'history> = HashMap<(&'history str, &'history str), usize>;

/// Checks the lasting effects of all writes.
pub(super) fn check(history: &History, violations: &mut Violations) {
    for group in &history.survivors {
        let units: Vec<&Unit> = history
            .units
            .iter()
            .filter(|unit| unit.database == group.database && !unit.writes.is_empty())
            .collect();
        let counts = count_rows(group);
        check_outcomes(&units, &counts, violations);
        check_multiplicity(&units, &counts, violations);
        check_request_keys(&units, &counts, violations);
        check_whole_transactions(&units, &counts, violations);
    }
    check_single_execution(history, violations);
}

fn count_rows(group: &SurvivingGroup) -> RowCounts<'_> {
    let mut counts = RowCounts::new();
    for row in &group.rows {
        *counts.entry((&row.row_key, &row.value)).or_default() += 1;
    }
    counts
}

fn count_of(counts: &RowCounts<'_>, write: &Write) -> usize {
    counts
        .get(&(write.row_key.as_str(), write.value.as_str()))
        .copied()
        .unwrap_or(0)
}

/// Acknowledged writes are there; those of which every request was told `not_run` are not.
fn check_outcomes(units: &[&Unit], counts: &RowCounts<'_>, violations: &mut Violations) {
    let maybe_run: HashSet<&Write> = units
        .iter()
        .filter(|unit| unit.outcome != Outcome::NotRun)
        .flat_map(|unit| &unit.writes)
        .collect();
    for unit in units {
        for write in &unit.writes {
            let there = count_of(counts, write) > 0;
            let explain = |fault: &str| format!("unit {}: {} {fault}", unit.unit, write.value);
            match unit.outcome {
                Outcome::Done => {
                    violations.note(Guarantee::NoDeposedAcknowledgement, there, || {
                        explain("was acknowledged and is lost")
                    });
                }
                Outcome::NotRun if !maybe_run.contains(write) => {
                    violations.note(Guarantee::NotRunIsTrue, !there, || {
                        explain("was told not_run and is there")
                    });
                }
                Outcome::NotRun | Outcome::Unknown => {}
            }
        }
    }
}

fn check_multiplicity(units: &[&Unit], counts: &RowCounts<'_>, violations: &mut Violations) {
    let writes: HashSet<&Write> = units.iter().flat_map(|unit| &unit.writes).collect();
    for write in writes {
        let count = count_of(counts, write);
        violations.note(Guarantee::AtMostOnce, count <= 1, || {
            format!("{} took effect {count} times", write.value)
        });
    }
}

/// One request key stands for one set of writes.
fn check_request_keys(units: &[&Unit], counts: &RowCounts<'_>, violations: &mut Violations) {
    let mut effects: HashMap<&str, HashSet<&[Write]>> = HashMap::new();
    for unit in units {
        let Some(key) = unit.request_key.as_deref() else {
            continue;
        };
        let variants = effects.entry(key).or_default();
        if unit.writes.iter().any(|write| count_of(counts, write) > 0) {
            variants.insert(&unit.writes);
        }
    }
    for (key, variants) in effects {
        violations.note(Guarantee::AtMostOnce, variants.len() <= 1, || {
            format!(
                "request key {key} took effect with {} statements",
                variants.len()
            )
        });
    }
}

fn check_whole_transactions(units: &[&Unit], counts: &RowCounts<'_>, violations: &mut Violations) {
    for unit in units.iter().filter(|unit| unit.writes.len() > 1) {
        let there = unit
            .writes
            .iter()
            .filter(|write| count_of(counts, write) > 0)
            .count();
        let whole = there == 0 || there == unit.writes.len();
        violations.note(Guarantee::TransactionSeparation, whole, || {
            format!(
                "unit {}: {there} of {} rows last",
                unit.unit,
                unit.writes.len()
            )
        });
    }
}

/// A write without a request key is never sent a second time.
fn check_single_execution(history: &History, violations: &mut Violations) {
    let mut executions: HashMap<u64, HashSet<(&str, u64)>> = HashMap::new();
    for event in &history.back_end {
        if let BackEndEvent::StatementRan {
            server,
            transaction,
            unit,
            ..
        } = event
        {
            let runs = executions.entry(*unit).or_default();
            runs.insert((server, *transaction));
        }
    }
    for unit in &history.units {
        if unit.writes.is_empty() || unit.request_key.is_some() {
            continue;
        }
        let runs = executions.get(&unit.unit).map_or(0, HashSet::len);
        violations.note(Guarantee::AtMostOnce, runs <= 1, || {
            format!(
                "unit {} without a key ran in {runs} transactions",
                unit.unit
            )
        });
    }
}
