//! Policies: `policy_never_reverts`.

use std::collections::HashMap;

use super::history::{FaultScope, History, PolicyAccepted, PolicyObserved, SurvivingGroup};
use super::violations::{Guarantee, Violations};

/// How long a policy may take to every reachable proxy, in microseconds.
const SPREAD_LIMIT_MICROS: u64 = 5_000_000;

/// Checks the versions seen at proxies and the sides that took writes.
pub(super) fn check(history: &History, violations: &mut Violations) {
    check_versions_rise(history, violations);
    for observed in &history.policies_observed {
        check_spread(history, observed, violations);
    }
    for group in &history.survivors {
        check_one_side(history, group, violations);
    }
}

fn check_versions_rise(history: &History, violations: &mut Violations) {
    let mut newest: HashMap<&str, u64> = HashMap::new();
    for observed in &history.policies_observed {
        let newest = newest.entry(&observed.proxy).or_insert(observed.version);
        let holds = observed.version >= *newest;
        violations.note(Guarantee::PolicyNeverReverts, holds, || {
            format!(
                "{} served by version {} at {}, after version {newest}",
                observed.proxy, observed.version, observed.at
            )
        });
        *newest = observed.version.max(*newest);
    }
}

/// A proxy that nothing hindered serves by every version accepted long enough ago.
fn check_spread(history: &History, observed: &PolicyObserved, violations: &mut Violations) {
    let due = history
        .policies_accepted
        .iter()
        .filter(|accepted| accepted.at.saturating_add(SPREAD_LIMIT_MICROS) < observed.at)
        .filter(|accepted| !hindered(history, accepted, observed))
        .max_by_key(|accepted| accepted.version);
    let Some(due) = due else {
        return;
    };
    let holds = observed.version >= due.version;
    violations.note(Guarantee::PolicyNeverReverts, holds, || {
        format!(
            "{} served by version {} at {}; version {} was accepted at {}",
            observed.proxy, observed.version, observed.at, due.version, due.at
        )
    });
}

/// Whether a fault hindered the version on its way, from its acceptance to the observation.
fn hindered(history: &History, accepted: &PolicyAccepted, observed: &PolicyObserved) -> bool {
    history.faults.iter().any(|fault| {
        let touches = match &fault.scope {
            FaultScope::Proxy(proxy) => *proxy == observed.proxy,
            FaultScope::Server(_) => false,
            FaultScope::Platform | FaultScope::Everything => true,
        };
        let ended_at = fault.ended_at.unwrap_or(u64::MAX);
        touches && fault.began_at <= observed.at && ended_at >= accepted.at
    })
}

/// The side of lasting writes changes no more often than policies moved the database.
fn check_one_side(history: &History, group: &SurvivingGroup, violations: &mut Violations) {
    let mut commits: Vec<_> = group
        .rows
        .iter()
        .filter_map(|row| row.committed.as_ref())
        .collect();
    if commits.is_empty() {
        return;
    }
    commits.sort_by_key(|commit| commit.at);
    let changes = commits
        .windows(2)
        .filter(|pair| pair[0].side != pair[1].side)
        .count();
    let moves = history
        .policies_accepted
        .iter()
        .filter(|accepted| accepted.moved_databases.contains(&group.database))
        .count();
    violations.note(Guarantee::PolicyNeverReverts, changes <= moves, || {
        format!(
            "writes of {} changed sides {changes} times over {moves} moves",
            group.database
        )
    });
}
