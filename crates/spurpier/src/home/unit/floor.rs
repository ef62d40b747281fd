//! The positions that a read's server must have reached.

use std::sync::Arc;
use std::time::Duration;

use spurpier_core::position::Position;
use spurpier_core::reason::Reason;
use spurpier_core::routing::ReadDemand;
use spurpier_core::time::Timestamp;
use spurpier_protocol::unit::Freshness;

use super::context::{Refusal, UnitContext};
use crate::home::database::GroupHome;

impl UnitContext {
    /// What the unit's reads need of their server; waits for probes where positions are unknown.
    pub(super) async fn read_demand(&self) -> Result<ReadDemand, Refusal> {
        let upstream = self.upstream_group();
        let upstream_floor = match &upstream {
            Some(group) => self.floor_in(group, self.request.upstream_floor).await?,
            None => Position::ZERO,
        };
        let floor = match &upstream {
            // The log that holds the writes is the other side's; here, only what the session has
            // seen before counts.
            Some(_) => self.floor(),
            None => self.floor_in(&self.group, self.request.floor).await?,
        };
        Ok(ReadDemand {
            floor,
            upstream_floor,
            replica_allowed: self.request.replica_allowed,
        })
    }

    /// Whether the unit runs on the side that takes the database's writes.
    pub(super) fn is_on_write_side(&self) -> bool {
        self.upstream_group().is_none()
    }

    /// The group that takes the database's writes, if it is not the unit's own.
    fn upstream_group(&self) -> Option<Arc<GroupHome>> {
        let placement = (self.home.seams.placement)(&self.request.database);
        match placement {
            Some(placement) if placement.side != self.request.side => {
                self.database.group(placement.side).cloned()
            }
            Some(_) => None,
            // Without a policy the floor itself tells that another log counts.
            None => self.request.upstream_floor.and_then(|_| {
                let other = |group: &&Arc<GroupHome>| group.id != self.group.id;
                self.database.groups.iter().find(other).cloned()
            }),
        }
    }

    /// The floor in one group: the session's own, raised as the freshness asks.
    async fn floor_in(
        &self,
        group: &GroupHome,
        known: Option<Position>,
    ) -> Result<Position, Refusal> {
        let raised = match (self.request.freshness, known) {
            (Freshness::Session, Some(known)) => return Ok(known),
            (Freshness::Session, None) | (Freshness::Fresh, _) => self.read_index(group).await?,
            (Freshness::Bounded { milliseconds }, _) => {
                self.bounded_floor(group, milliseconds).await?
            }
        };
        Ok(raised.max(known.unwrap_or(Position::ZERO)))
    }

    async fn read_index(&self, group: &GroupHome) -> Result<Position, Refusal> {
        let index = group
            .watcher
            .read_index(self.arrived, self.patience_end)
            .await;
        index.ok_or_else(|| Refusal::new(Reason::NoMajority))
    }

    /// A position that covers every write confirmed up to so many milliseconds ago.
    async fn bounded_floor(&self, group: &GroupHome, millis: u32) -> Result<Position, Refusal> {
        let bound = Duration::from_millis(u64::from(millis));
        let moment = Timestamp::from_micros(
            u64::try_from(
                self.arrived
                    .since(Timestamp::ZERO)
                    .saturating_sub(bound)
                    .as_micros(),
            )
            .unwrap_or(u64::MAX),
        );
        match group.watcher.index_at(moment) {
            Some(position) => Ok(position),
            None => self.read_index(group).await,
        }
    }
}
