//! Running a session's units: here, or at a home of their group.

use std::sync::Arc;
use std::time::Duration;

use super::link::{CallOutcome, Link};
use super::messages::{
    Call, CallHead, Reply, WireAnswer, WireCaller, WireSession, WireWork, millis,
};
use crate::configuration::region_names;
use crate::homes::{Home, PeerNode};
use crate::ports::{Effect, ErrorClass};
use crate::unit::{Done, NotRun, Unit, Work};

/// How much longer than the unit itself its caller waits for the reply.
const REPLY_SLACK: Duration = Duration::from_millis(60);

/// Runs a statement outside a transaction where its group's connections are.
pub async fn run_single(unit: &Unit, work: &Work, effect: Effect) -> Done {
    unit.count_demand(effect);
    if let Some(bar) = unit.bar_everywhere(effect) {
        return Done::answer(unit.refuse(&work.id, NotRun::Barred(bar)));
    }
    await_node_list(unit).await;
    let mut was_lost = false;
    for home in candidate_homes(unit, unit.needs_lead(effect)) {
        let Home::Peer(home) = home else {
            return run_at_home(unit, work, effect).await;
        };
        let Some(link) = connect(unit, &home).await else {
            continue;
        };
        let call = single_call(unit, work, effect, false);
        match call_within_time(unit, &link, call, effect == Effect::Read).await {
            UnitOutcome::Answered(answer) => return Done::of_call(answer),
            UnitOutcome::NotStarted => {}
            UnitOutcome::Lost if effect == Effect::Write => {
                return Done::answer(unit.doubt(&work.id, ErrorClass::InDoubt, &home.name));
            }
            UnitOutcome::Lost => {
                was_lost = true;
                unit.note_retry(&work.id, &home.name, "home_silent");
                if !unit.context.may_retry() {
                    break;
                }
            }
        }
    }
    if unit.context.clock.now() >= unit.times.wait_until {
        return Done::answer(if was_lost {
            unit.doubt(&work.id, ErrorClass::Timeout, "no home")
        } else {
            unit.refuse(&work.id, NotRun::NoHome)
        });
    }
    unit.stand_in();
    run_at_home(unit, work, effect).await
}

/// Waits until this node knows the other nodes, as right after its start.
pub(super) async fn await_node_list(unit: &Unit) {
    let limit = unit.context.clock.instant(unit.times.wait_until);
    unit.context.homes.await_list(limit).await;
}

/// Runs a statement on this node's connections, or at another home that is better off.
pub(super) async fn run_at_home(unit: &Unit, work: &Work, effect: Effect) -> Done {
    if let Some(relay) = unit.better_home(effect)
        && let Some(link) = connect(unit, &relay).await
    {
        let call = single_call(unit, work, effect, true);
        match call_within_time(unit, &link, call, effect == Effect::Read).await {
            UnitOutcome::Answered(answer) => return Done::of_call(answer),
            UnitOutcome::NotStarted => {}
            UnitOutcome::Lost if effect == Effect::Write => {
                return Done::answer(unit.doubt(&work.id, ErrorClass::InDoubt, &relay.name));
            }
            UnitOutcome::Lost => unit.note_retry(&work.id, &relay.name, "relay_silent"),
        }
    }
    unit.run_here(work, effect).await
}

/// The homes that may be given the unit and have not just failed to answer, in the order in which
/// they are tried. This node, to which the client is connected, knows the unit wherever it stands.
pub(super) fn candidate_homes(unit: &Unit, needs_lead: bool) -> Vec<Home> {
    let context = &unit.context;
    let homes = context.homes_of(&unit.group.name);
    let mut homes = match &unit.caller.tenant {
        Some(tenant) => {
            let zone = needs_lead.then(|| unit.lead_zone()).flatten();
            let zone = zone.unwrap_or_else(|| unit.nearest_zone(&homes));
            context.homes.ranked_for(&homes, tenant, &zone)
        }
        None => homes.nearest_first(),
    };
    homes.retain(|home| match home {
        Home::Own => true,
        Home::Peer(peer) => context.links.is_usable(peer.address) && unit.may_go_to(peer),
    });
    homes
}

pub(super) async fn connect(unit: &Unit, home: &PeerNode) -> Option<Arc<Link>> {
    let context = &unit.context;
    let until = unit.times.wait_until;
    context
        .links
        .link(home.address, &context.clock, until)
        .await
}

fn single_call(unit: &Unit, work: &Work, effect: Effect, relayed: bool) -> Call {
    Call::Single {
        head: head(unit, relayed),
        work: WireWork::from(work),
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
        caller: WireCaller::from(&unit.caller),
        allowed_regions: region_names(&unit.allowed_regions),
        configuration: unit.configuration,
        own_commit: unit.own_commit.map(|commit| commit.position),
        session: session(unit),
        relayed,
    }
}

pub(super) fn session(unit: &Unit) -> WireSession {
    let waited = unit.times.waited(unit.context.clock.now());
    WireSession::new(waited, &unit.values)
}

/// How a unit's call ended.
pub(super) enum UnitOutcome {
    /// With its answer.
    Answered(WireAnswer),
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
    let end = unit.times.give_up + REPLY_SLACK;
    let end = unit.context.clock.instant(end);
    match link.call_until(call, end, may_repeat).await {
        CallOutcome::Replied(Reply::Answered(answer)) => UnitOutcome::Answered(answer),
        CallOutcome::Replied(Reply::NotStarted) | CallOutcome::NotSent => UnitOutcome::NotStarted,
        // A reply that is none for a unit says nothing of it.
        CallOutcome::Replied(Reply::TableUpdates(_) | Reply::Permits(_) | Reply::Watchers(_))
        | CallOutcome::Lost => UnitOutcome::Lost,
    }
}
