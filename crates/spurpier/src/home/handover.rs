//! Moves a database's writes between its sides, as the policy in force asks.
//!
//! The first-ranked home drives the steps that `spurpier_core::handover` decides. Their state
//! lives in the databases, so that another home can go on at any point.

use std::sync::{Arc, Weak};
use std::time::Duration;

use error_stack::Report;
use kameo::Actor;
use kameo::message::{Context, Message};
use spurpier_core::handover::{Handover, HandoverAction, HandoverEvent};
use spurpier_core::identity::Side;
use spurpier_core::policy::Placement;

use super::backend::QueryAnswer;
use super::control::{ControlError, query_primary};
use super::database::{DatabaseHome, GroupHome};
use super::group::{LAST_COMMIT_QUERY, STATUS_QUERY, read_last_commit, read_status};
use super::maintenance::RunRound;
use super::shared::HomeShared;
use crate::events;
use crate::log_event;

/// How long a step may take in the database: raising a fence waits for running writes.
const STEP_TIMEOUT: Duration = Duration::from_secs(10);
/// How long one round waits for a newer view of a group.
const VIEW_WAIT: Duration = Duration::from_millis(100);
/// SQLSTATE of a fence that stands at a newer epoch.
const FENCE_CONFLICT: &str = "SPF02";
/// Reads the fence.
const FENCE_QUERY: &str = "SELECT epoch, open FROM spurpier_fence";

/// The actor that moves one database.
#[derive(Actor)]
pub(super) struct HandoverDriver {
    home: Weak<HomeShared>,
    database: Arc<DatabaseHome>,
    current: Option<Handover>,
}

/// The groups that a move concerns.
struct MovingGroups<'a> {
    old: &'a GroupHome,
    new: &'a GroupHome,
}

impl HandoverDriver {
    pub(super) fn new(home: &Arc<HomeShared>, database: &Arc<DatabaseHome>) -> Self {
        HandoverDriver {
            home: Arc::downgrade(home),
            database: Arc::clone(database),
            current: None,
        }
    }

    /// Takes the move as far as it goes without waiting long.
    async fn advance(&mut self, home: &HomeShared) {
        let Some(placement) = self.placement_to_reach(home) else {
            return;
        };
        let database = Arc::clone(&self.database);
        let Some(groups) = moving_groups(&database, &placement) else {
            return;
        };
        let mut handover = self.handover_to(&placement);
        loop {
            let before = handover.step();
            // What fails is tried again in the next round.
            let _ = carry_out(home, &groups, &mut handover).await;
            self.publish(&handover);
            if handover.step() == before {
                break;
            }
        }
        self.current = Some(handover);
    }

    /// The placement in force, if it was ever changed and this node drives the move to it.
    fn placement_to_reach(&self, home: &HomeShared) -> Option<Placement> {
        let name = self.database.name();
        let placement = (home.seams.placement)(name)?;
        let drives = (home.seams.is_first_home)(name);
        (placement.epoch > 0 && drives).then_some(placement)
    }

    fn handover_to(&self, placement: &Placement) -> Handover {
        let known = self.current.clone();
        let current = known.filter(|current| current.epoch() == placement.epoch);
        current.unwrap_or_else(|| Handover::new(placement.epoch))
    }

    fn publish(&self, handover: &Handover) {
        let published = self
            .database
            .handover
            .swap(Some(Arc::new(handover.clone())));
        let step = handover.step().name();
        let changed = published.is_none_or(|published| published.step().name() != step);
        if changed {
            log_event!(
                events::home::MOVE_STEP,
                database = self.database.name(),
                epoch = handover.epoch(),
                step = step
            );
        }
    }
}

impl Message<RunRound> for HandoverDriver {
    type Reply = ();

    async fn handle(&mut self, _: RunRound, _: &mut Context<Self, ()>) {
        if let Some(home) = self.home.upgrade() {
            self.advance(&home).await;
        }
    }
}

fn moving_groups<'a>(
    database: &'a DatabaseHome,
    placement: &Placement,
) -> Option<MovingGroups<'a>> {
    let left = match placement.side {
        Side::Old => Side::New,
        Side::New => Side::Old,
    };
    Some(MovingGroups {
        old: database.group(left)?,
        new: database.group(placement.side)?,
    })
}

/// Carries out the next action of a move and tells it what came of it.
async fn carry_out(
    home: &HomeShared,
    groups: &MovingGroups<'_>,
    handover: &mut Handover,
) -> Result<(), Report<ControlError>> {
    match handover.action() {
        HandoverAction::ReadFence => {
            let queries = [STATUS_QUERY, FENCE_QUERY, STATUS_QUERY];
            let answers = query_primary(groups.new, home.clock, &queries, STEP_TIMEOUT).await?;
            if let Some(event) = fence_event(&answers) {
                handover.handle_event(&event);
            }
        }
        HandoverAction::RaiseFence(epoch) => {
            let query = format!("SELECT raise_fence({epoch})");
            let event = change_fence(home, groups.old, &query, HandoverEvent::FenceRaised).await?;
            event.map(|event| handover.handle_event(&event));
        }
        HandoverAction::OpenFence(epoch) => {
            let query = format!("SELECT open_fence({epoch})");
            let event = change_fence(home, groups.new, &query, HandoverEvent::FenceOpened).await?;
            event.map(|event| handover.handle_event(&event));
        }
        HandoverAction::ProbeSource => {
            follow_views(home, groups.old, handover, |view| {
                HandoverEvent::SourceView(view)
            })
            .await;
        }
        HandoverAction::ProbeTarget => {
            follow_views(home, groups.new, handover, |view| {
                HandoverEvent::TargetView(view)
            })
            .await;
        }
        HandoverAction::Done | HandoverAction::Overtaken => {}
    }
    Ok(())
}

/// The fence between two looks at the server's log, which must show the same term.
fn fence_event(answers: &[QueryAnswer]) -> Option<HandoverEvent<'static>> {
    let [before, fence, after] = answers else {
        return None;
    };
    let before = read_status(before)?.received;
    let position = read_status(after)?.received;
    let epoch = fence.first(0)?.parse().ok()?;
    let open = matches!(fence.first(1)?, "t" | "true" | "1");
    (before.term == position.term).then_some(HandoverEvent::FenceRead {
        epoch,
        open,
        position,
    })
}

/// Changes a fence; none when the server refused it for a reason that may pass.
async fn change_fence(
    home: &HomeShared,
    group: &GroupHome,
    query: &str,
    changed: impl Fn(spurpier_core::position::Position) -> HandoverEvent<'static>,
) -> Result<Option<HandoverEvent<'static>>, Report<ControlError>> {
    let queries = [query, LAST_COMMIT_QUERY];
    let answers = query_primary(group, home.clock, &queries, STEP_TIMEOUT).await?;
    let [change, last_commit] = answers.as_slice() else {
        return Ok(None);
    };
    Ok(match &change.error {
        Some(error) if error.code == FENCE_CONFLICT => Some(HandoverEvent::FenceConflict),
        Some(_) => None,
        None => read_last_commit(last_commit).map(changed),
    })
}

/// Probes a group and tells the move of its views until one takes it further.
async fn follow_views(
    home: &HomeShared,
    group: &GroupHome,
    handover: &mut Handover,
    event: impl for<'v> Fn(&'v spurpier_core::group::GroupView) -> HandoverEvent<'v>,
) {
    let before = handover.step();
    let now = home.clock.now();
    group.watcher.request_round(now);
    let step = |view: &_| {
        handover.handle_event(&event(view));
        (handover.step() != before).then_some(())
    };
    // Without a step the next round goes on waiting.
    let _ = group.watcher.wait_for(now + VIEW_WAIT, step).await;
}
