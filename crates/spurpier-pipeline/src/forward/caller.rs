//! Running a session's units: here, or at a home of their group.

use std::sync::Arc;
use std::time::Duration;

use super::link::{Link, Outcome};
use super::messages::{
    Call, CallHead, CalledAnswer, CalledCaller, CalledSession, CalledWork, Reply, millis,
};
use crate::configuration::region_names;
use crate::homes::{Home, PeerNode};
use crate::ports::{Effect, ErrorClass};
use crate::unit::{ClientStatement, NotRun, Unit, UnitResult};

/// How much longer than the unit itself its caller waits for the reply.
const REPLY_SLACK: Duration = Duration::from_millis(60);

/// Runs a statement outside a transaction where its group's connections are.
pub async fn run_single(unit: &Unit, work: &ClientStatement, effect: Effect) -> UnitResult {
    unit.count_demand(effect);
    if let Some(bar) = unit.bar_on_all_servers(effect) {
        return UnitResult::answer(unit.refuse(&work.id, NotRun::Barred(bar)));
    }
    await_list(unit).await;
    let mut was_lost = false;
    for home in usable(unit, unit.needs_leader(effect)) {
        let Home::Peer(home) = home else {
            return run_at_home(unit, work, effect).await;
        };
        let Some(link) = connect(unit, &home).await else {
            continue;
        };
        let call = single(unit, work, effect, false);
        match call_within_time(unit, &link, call, effect == Effect::Read).await {
            UnitOutcome::Answered(answer) => return UnitResult::from_forwarded(answer),
            UnitOutcome::NotStarted => {}
            UnitOutcome::Lost if effect == Effect::Write => {
                return UnitResult::answer(unit.unknown_outcome(
                    &work.id,
                    ErrorClass::InDoubt,
                    &home.name,
                ));
            }
            UnitOutcome::Lost => {
                was_lost = true;
                unit.record_retry(&work.id, &home.name, "home_silent");
                if !unit.context.may_retry() {
                    break;
                }
            }
        }
    }
    if unit.context.clock.now() >= unit.deadlines.wait_until {
        return UnitResult::answer(if was_lost {
            unit.unknown_outcome(&work.id, ErrorClass::Timeout, "no home")
        } else {
            unit.refuse(&work.id, NotRun::NoHome)
        });
    }
    unit.stand_in();
    run_at_home(unit, work, effect).await
}

/// Waits until this node knows the other nodes, as right after its start.
pub(super) async fn await_list(unit: &Unit) {
    let limit = unit.context.clock.instant(unit.deadlines.wait_until);
    unit.context.homes.await_list(limit).await;
}

/// Runs a statement on this node's connections, or at another home that is better off.
pub(super) async fn run_at_home(unit: &Unit, work: &ClientStatement, effect: Effect) -> UnitResult {
    if let Some(relay) = unit.preferred_home(effect)
        && let Some(link) = connect(unit, &relay).await
    {
        let call = single(unit, work, effect, true);
        match call_within_time(unit, &link, call, effect == Effect::Read).await {
            UnitOutcome::Answered(answer) => return UnitResult::from_forwarded(answer),
            UnitOutcome::NotStarted => {}
            UnitOutcome::Lost if effect == Effect::Write => {
                return UnitResult::answer(unit.unknown_outcome(
                    &work.id,
                    ErrorClass::InDoubt,
                    &relay.name,
                ));
            }
            UnitOutcome::Lost => unit.record_retry(&work.id, &relay.name, "relay_silent"),
        }
    }
    unit.run_locally(work, effect).await
}

/// The homes that may be given the unit and have not just failed to answer, in the order in which
/// they are tried. This node, to which the client is connected, knows the unit wherever it stands.
pub(super) fn usable(unit: &Unit, needs_leader: bool) -> Vec<Home> {
    let context = &unit.context;
    let homes = context.homes_of(&unit.group.name);
    let mut homes = match &unit.caller.tenant {
        Some(tenant) => {
            let zone = needs_leader.then(|| unit.leader_zone()).flatten();
            let zone = zone.unwrap_or_else(|| unit.nearest_zone(&homes));
            context.homes.ranked_for(&homes, tenant, &zone)
        }
        None => homes.nearest_first(),
    };
    homes.retain(|home| match home {
        Home::Own => true,
        Home::Peer(peer) => context.links.is_usable(peer.address) && unit.may_run_on(peer),
    });
    homes
}

pub(super) async fn connect(unit: &Unit, home: &PeerNode) -> Option<Arc<Link>> {
    let context = &unit.context;
    let until = unit.deadlines.wait_until;
    context
        .links
        .link(home.address, &context.clock, until)
        .await
}

fn single(unit: &Unit, work: &ClientStatement, effect: Effect, relayed: bool) -> Call {
    Call::Single {
        head: head(unit, relayed),
        work: CalledWork::from(work),
        effect,
    }
}

pub(super) fn head(unit: &Unit, relayed: bool) -> CallHead {
    let route = &unit.route;
    CallHead {
        database: route.database.clone(),
        group: route.group.clone(),
        freshness: route.freshness.into(),
        timeout_ms: millis(route.timeout),
        target_ms: millis(route.target),
        caller: CalledCaller::from(&unit.caller),
        allowed_regions: region_names(&unit.allowed_regions),
        configuration: unit.configuration,
        own_commit: unit.own_commit.map(|commit| commit.position),
        session: session(unit),
        relayed,
    }
}

pub(super) fn session(unit: &Unit) -> CalledSession {
    let waited = unit.deadlines.waited(unit.context.clock.now());
    CalledSession::new(waited, &unit.values)
}

/// How a unit's call ended.
pub(super) enum UnitOutcome {
    /// With its answer.
    Answered(CalledAnswer),
    /// The other node has not started it and never will.
    NotStarted,
    /// Without an answer; it may have been run, or may be run yet.
    Lost,
}

/// Makes a call and waits for its reply until the unit's time is over; a call that may be made
/// elsewhere is given up as soon as the other node is suspected to have stopped.
pub(super) async fn call_within_time(
    unit: &Unit,
    link: &Link,
    call: Call,
    may_repeat: bool,
) -> UnitOutcome {
    unit.context.metrics.count_call_made();
    let end = unit.deadlines.run_until + REPLY_SLACK;
    let end = unit.context.clock.instant(end);
    match link.call_until(call, end, may_repeat).await {
        Outcome::Replied(Reply::Answered(answer)) => UnitOutcome::Answered(answer),
        Outcome::Replied(Reply::NotTaken) | Outcome::NotSent => UnitOutcome::NotStarted,
        // A reply that is none for a unit says nothing of it.
        Outcome::Replied(Reply::News(_) | Reply::Leaves(_) | Reply::Watchers(_))
        | Outcome::Lost => UnitOutcome::Lost,
    }
}
