//! Planned stops: `leaving_back_end_drained` and `planned_stop_cuts_nothing`.

use std::collections::HashSet;

use super::history::{
    BackEndEvent, Fault, FaultScope, History, Outcome, PlannedStop, StopTarget, Unit,
};
use super::violations::{Guarantee, Violations};

/// How long a leaving server may still get new work, in microseconds.
const LEAVING_GRACE_MICROS: u64 = 3_000_000;

/// Checks leaving servers and planned stops.
pub(super) fn check(history: &History, violations: &mut Violations) {
    check_leaving_servers(history, violations);
    for stop in &history.planned_stops {
        check_planned_stop(history, stop, violations);
    }
}

fn check_leaving_servers(history: &History, violations: &mut Violations) {
    for event in &history.back_end {
        let BackEndEvent::Leaving { at, server } = event else {
            continue;
        };
        let until = returned_after(history, server, *at);
        let drained_from = at.saturating_add(LEAVING_GRACE_MICROS);
        let late = history.back_end.iter().find_map(|event| match event {
            BackEndEvent::WorkStarted { at, server: on } => {
                let late = on == server && *at > drained_from && *at < until;
                late.then_some(*at)
            }
            _ => None,
        });
        violations.note(Guarantee::LeavingBackEndDrained, late.is_none(), || {
            format!("{server} said at {at} that it leaves and got new work at {late:?}")
        });
    }
}

fn returned_after(history: &History, server: &str, moment: u64) -> u64 {
    let returns = history.back_end.iter().filter_map(|event| match event {
        BackEndEvent::Returned { at, server: which } => {
            (which == server && *at > moment).then_some(*at)
        }
        _ => None,
    });
    returns.min().unwrap_or(u64::MAX)
}

/// Units in flight at the target must end as if it had not been stopped.
///
/// At a proxy these are the units sent to it before the stop began: later ones it may refuse, and
/// the last may find it gone. At a server they are all that ran a statement on it before it had
/// stopped.
fn check_planned_stop(history: &History, stop: &PlannedStop, violations: &mut Violations) {
    let on_server = units_on_server(history, stop);
    for unit in &history.units {
        let at_target = match &stop.target {
            StopTarget::Proxy(proxy) => unit.proxy == *proxy && unit.invoked_at < stop.began_at,
            StopTarget::Server(_) => on_server.contains(&unit.unit),
        };
        let ended_at = unit.answered_at.unwrap_or(u64::MAX);
        let in_flight = ended_at > stop.began_at;
        if !at_target || !in_flight || excused(&history.faults, unit) {
            continue;
        }
        violations.note(Guarantee::PlannedStopCutsNothing, !is_cut(unit), || {
            format!(
                "unit {} was cut by the stop of {:?}",
                unit.unit, stop.target
            )
        });
    }
}

/// The units that ran a statement on the server before it had stopped.
fn units_on_server(history: &History, stop: &PlannedStop) -> HashSet<u64> {
    let StopTarget::Server(target) = &stop.target else {
        return HashSet::new();
    };
    let stopped_at = stop.ended_at.unwrap_or(u64::MAX);
    let statements = history.back_end.iter().filter_map(|event| match event {
        BackEndEvent::StatementRan {
            at, server, unit, ..
        } => (server == target && *at < stopped_at).then_some(*unit),
        _ => None,
    });
    statements.collect()
}

/// Whether the unit broke off: no outcome, or refused after a part of it had been answered.
fn is_cut(unit: &Unit) -> bool {
    match unit.outcome {
        Outcome::Done => false,
        Outcome::NotRun => unit.statements_answered > 0,
        Outcome::Unknown => true,
    }
}

/// Whether an unplanned fault struck while the unit ran; the platform has no part in units.
fn excused(faults: &[Fault], unit: &Unit) -> bool {
    let unit_end = unit.answered_at.unwrap_or(u64::MAX);
    faults.iter().any(|fault| {
        let fault_end = fault.ended_at.unwrap_or(u64::MAX);
        fault.scope != FaultScope::Platform
            && fault.began_at <= unit_end
            && fault_end >= unit.invoked_at
    })
}
