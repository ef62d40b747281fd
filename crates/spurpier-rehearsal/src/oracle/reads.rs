//! What reads must show: `read_your_writes`, and the read part of `not_run_is_true`.
//!
//! Only units that ended `Done` are held to it: a transaction that was refused has no reads.

use std::collections::{HashMap, HashSet};

use super::history::{History, Outcome, ReadFreshness, ReadOfRow, Unit};
use super::violations::{Guarantee, Violations};

/// A row key within its database.
type RowKey<'history> = (&'history str, &'history str);

/// A value that a unit wrote or saw under a row key.
struct Mention<'history> {
    unit: &'history Unit,
    value: &'history str,
}

/// The mentions of each row key.
type Mentions<'history> = HashMap<RowKey<'history>, Vec<Mention<'history>>>;

/// Checks all reads of a history.
pub(super) fn check(history: &History, violations: &mut Violations) {
    let written = written_values(history);
    let seen = seen_values(history);
    let surviving = surviving_values(history);
    for unit in done_units(history) {
        for read in &unit.reads {
            let row = (unit.database.as_str(), read.row_key.as_str());
            let context = ReadContext {
                unit,
                read,
                values: read.values.iter().map(String::as_str).collect(),
                written: written.get(&row).map_or(&[], Vec::as_slice),
                seen: seen.get(&row).map_or(&[], Vec::as_slice),
            };
            context.check_own_writes(violations);
            context.check_monotonic(violations);
            context.check_freshness(violations);
            context.check_sources(violations);
            if let Some(surviving) = surviving.get(unit.database.as_str()) {
                context.check_lasting(surviving, violations);
            }
        }
    }
}

fn done_units(history: &History) -> impl Iterator<Item = &Unit> {
    history
        .units
        .iter()
        .filter(|unit| unit.outcome == Outcome::Done)
}

fn written_values(history: &History) -> Mentions<'_> {
    let mut mentions = Mentions::new();
    for unit in &history.units {
        for write in &unit.writes {
            let row = (unit.database.as_str(), write.row_key.as_str());
            let value = write.value.as_str();
            mentions
                .entry(row)
                .or_default()
                .push(Mention { unit, value });
        }
    }
    mentions
}

fn seen_values(history: &History) -> Mentions<'_> {
    let mut mentions = Mentions::new();
    for unit in done_units(history) {
        for read in &unit.reads {
            let row = (unit.database.as_str(), read.row_key.as_str());
            let values = read.values.iter().map(String::as_str);
            let seen = values.map(|value| Mention { unit, value });
            mentions.entry(row).or_default().extend(seen);
        }
    }
    mentions
}

fn surviving_values(history: &History) -> HashMap<&str, HashSet<RowKey<'_>>> {
    let groups = history.survivors.iter();
    groups
        .map(|group| {
            let rows = group.rows.iter();
            let rows = rows.map(|row| (row.row_key.as_str(), row.value.as_str()));
            (group.database.as_str(), rows.collect())
        })
        .collect()
}

/// One read and what is known of its row.
struct ReadContext<'history> {
    unit: &'history Unit,
    read: &'history ReadOfRow,
    values: HashSet<&'history str>,
    written: &'history [Mention<'history>],
    seen: &'history [Mention<'history>],
}

impl ReadContext<'_> {
    /// Whether `other` had been answered `Done` before time `moment`.
    fn done_before(other: &Unit, moment: u64) -> bool {
        let answered = other.answered_at.is_some_and(|at| at < moment);
        other.outcome == Outcome::Done && answered
    }

    fn require(&self, mention: &Mention<'_>, rule: &str, violations: &mut Violations) {
        let holds = self.values.contains(mention.value);
        violations.note(Guarantee::ReadYourWrites, holds, || {
            format!(
                "unit {} (session {}, proxy {}) read row {} without value {} of unit {}: {rule}",
                self.unit.unit,
                self.unit.session,
                self.unit.proxy,
                self.read.row_key,
                mention.value,
                mention.unit.unit,
            )
        });
    }

    fn check_own_writes(&self, violations: &mut Violations) {
        let own = self.written.iter().filter(|mention| {
            mention.unit.session == self.unit.session
                && Self::done_before(mention.unit, self.unit.invoked_at)
        });
        for mention in own {
            self.require(mention, "the session's own write", violations);
        }
    }

    fn check_monotonic(&self, violations: &mut Violations) {
        let own = self.seen.iter().filter(|mention| {
            mention.unit.session == self.unit.session
                && Self::done_before(mention.unit, self.unit.invoked_at)
        });
        for mention in own {
            self.require(mention, "the session had read it before", violations);
        }
    }

    fn check_freshness(&self, violations: &mut Violations) {
        let moment = match self.read.freshness {
            ReadFreshness::Session => return,
            ReadFreshness::Fresh => self.unit.invoked_at,
            ReadFreshness::Bounded { micros } => self.unit.invoked_at.saturating_sub(micros),
        };
        let acknowledged = self
            .written
            .iter()
            .filter(|mention| Self::done_before(mention.unit, moment));
        for mention in acknowledged {
            self.require(mention, "the freshness that was asked", violations);
        }
    }

    /// Every value seen was written by a request that may have run by then.
    fn check_sources(&self, violations: &mut Violations) {
        let answered_at = self.unit.answered_at.unwrap_or(u64::MAX);
        for value in &self.values {
            let mut writers = self
                .written
                .iter()
                .filter(|mention| mention.value == *value)
                .map(|mention| mention.unit)
                .peekable();
            let known = writers.peek().is_some();
            violations.note(Guarantee::WholeOwnAnswer, known, || {
                format!("unit {} read {value}, which nobody wrote", self.unit.unit)
            });
            if !known {
                continue;
            }
            let may_have_run = writers.any(|writer| {
                writer.outcome != Outcome::NotRun && writer.invoked_at <= answered_at
            });
            violations.note(Guarantee::NotRunIsTrue, may_have_run, || {
                format!(
                    "unit {} read {value}, whose every request was told not_run",
                    self.unit.unit
                )
            });
        }
    }

    /// Every value seen lasts: a value of a lost history was read from a deposed primary.
    fn check_lasting(&self, surviving: &HashSet<RowKey<'_>>, violations: &mut Violations) {
        for value in &self.values {
            let holds = surviving.contains(&(self.read.row_key.as_str(), *value));
            violations.note(Guarantee::ReadYourWrites, holds, || {
                format!(
                    "unit {} (session {}) read {value}, which was lost later",
                    self.unit.unit, self.unit.session
                )
            });
        }
    }
}
