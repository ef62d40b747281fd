//! Runs a session's units on this node or at a home of their group.

use std::sync::Arc;
use std::time::Duration;

use spurpier_core::wire::Text;

use super::link::{CallOutcome, Link};
use super::messages::{
    Call, CallHead, Reply, WireAnswer, WireCaller, WireSession, WireWork, millis,
};
use crate::configuration::region_names;
use crate::homes::{Home, PeerNode};
use crate::ports::{Effect, ErrorClass};
use crate::unit::{ClientStatement, NotRun, Unit, UnitResult};

/// How long past the unit's deadline the caller waits for the reply.
const REPLY_SLACK: Duration = Duration::from_millis(60);

/// Runs a statement outside a transaction at a home of its group: the first candidate that replies,
/// or else this node.
///
/// A read whose reply is lost is tried at the next home; a lost write is answered as in doubt.
pub async fn run_single(unit: &Unit, work: &ClientStatement, effect: Effect) -> UnitResult {
    unit.count_demand(effect);
    if let Some(bar) = unit.bar_on_all_servers(effect) {
        return UnitResult::answer(unit.refuse(&work.id, NotRun::Barred(bar)));
    }
    await_node_list(unit).await;
    let mut was_lost = false;
    for home in candidate_homes(unit, unit.needs_leader(effect)) {
        let Home::Peer(home) = home else {
            return run_at_home(unit, work, effect).await;
        };
        let Some(link) = connect(unit, &home).await else {
            continue;
        };
        let call = single_call(unit, work, effect, false);
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

/// Waits until this node has read the list of nodes, which it lacks right after its start.
pub(super) async fn await_node_list(unit: &Unit) {
    let limit = unit.context.clock.instant(unit.deadlines.wait_until);
    unit.context.homes.wait_for_list(limit).await;
}

/// Runs a statement on this node's connections, or relays it to another home that is better able
/// to run it. A relayed write whose reply is lost is answered as in doubt; a lost read runs here.
pub(super) async fn run_at_home(unit: &Unit, work: &ClientStatement, effect: Effect) -> UnitResult {
    if let Some(relay) = unit.preferred_home(effect)
        && let Some(link) = connect(unit, &relay).await
    {
        let call = single_call(unit, work, effect, true);
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

/// The homes that the unit may be forwarded to and that are not suspected or unreachable, in the
/// order in which they are tried. This node always qualifies: its client is connected to it, so it
/// knows the unit in any case.
pub(super) fn candidate_homes(unit: &Unit, needs_leader: bool) -> Vec<Home> {
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

/// The connection to a home; none if it cannot be reached while the unit may still wait.
pub(super) async fn connect(unit: &Unit, home: &PeerNode) -> Option<Arc<Link>> {
    let context = &unit.context;
    let until = unit.deadlines.wait_until;
    context
        .links
        .link(home.address, &context.clock, until)
        .await
}

fn single_call(unit: &Unit, work: &ClientStatement, effect: Effect, relayed: bool) -> Call {
    Call::Single {
        head: head(unit, relayed),
        work: WireWork::from(work),
        effect,
    }
}

/// The header of a call that opens a unit at another node.
pub(super) fn head(unit: &Unit, relayed: bool) -> CallHead {
    let route = &unit.route;
    CallHead {
        database: Text::from(&route.database),
        group: Text::from(&route.group),
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

/// The session's state as of now, for a call.
pub(super) fn session(unit: &Unit) -> WireSession {
    let waited = unit.deadlines.waited(unit.context.clock.now());
    WireSession::new(waited, &unit.values)
}

/// How a unit's call ended.
pub(super) enum UnitOutcome {
    /// The other node answered it.
    Answered(WireAnswer),
    /// The other node has not started it and will not.
    NotStarted,
    /// No answer came; it may have run or may still run.
    Lost,
}

/// Makes a call and waits for its reply until shortly after the unit's deadline. With `may_repeat`,
/// the wait also ends as soon as the other node is suspected to have stopped.
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
        CallOutcome::Replied(Reply::Answered(answer)) => UnitOutcome::Answered(answer),
        CallOutcome::Replied(Reply::NotStarted) | CallOutcome::NotSent => UnitOutcome::NotStarted,
        // A reply of another kind leaves the unit's outcome unknown.
        CallOutcome::Replied(Reply::TableUpdates(_) | Reply::Permits(_) | Reply::Watchers(_))
        | CallOutcome::Lost => UnitOutcome::Lost,
    }
}
