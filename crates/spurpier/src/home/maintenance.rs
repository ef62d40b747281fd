//! Periodic work on one database: shares, connections opened ahead, planned stops, old keys.

use std::sync::{Arc, Weak};
use std::time::Duration;

use kameo::Actor;
use kameo::actor::{ActorRef, Spawn};
use kameo::message::{Context, Message};

use super::database::DatabaseHome;
use super::handover::HandoverDriver;
use super::shared::HomeShared;
use super::{key_cleaning, planned_stop};

/// The time between two rounds of periodic work.
const ROUND_PAUSE: Duration = Duration::from_millis(100);

/// Asks an actor for one round of periodic work.
pub(super) struct RunRound;

/// Starts the periodic work on a database; it ends with the home.
pub(super) fn start(home: &Arc<HomeShared>, database: &Arc<DatabaseHome>) {
    let maintenance = DatabaseMaintenance::spawn(DatabaseMaintenance {
        home: Arc::downgrade(home),
        database: Arc::clone(database),
        round: 0,
    });
    tokio::spawn(drive(maintenance, Arc::downgrade(home)));
    if database.groups.len() > 1 {
        let handover = HandoverDriver::spawn(HandoverDriver::new(home, database));
        tokio::spawn(drive(handover, Arc::downgrade(home)));
    }
}

/// Asks for rounds until the home is gone.
async fn drive<A: Actor + Message<RunRound>>(actor: ActorRef<A>, home: Weak<HomeShared>) {
    while home.strong_count() > 0 {
        // A round that is still under way needs no other behind it.
        let _ = actor.tell(RunRound).try_send();
        tokio::time::sleep(ROUND_PAUSE).await;
    }
    actor.kill();
}

/// The actor that looks after one database.
#[derive(Actor)]
struct DatabaseMaintenance {
    home: Weak<HomeShared>,
    database: Arc<DatabaseHome>,
    round: u64,
}

impl Message<RunRound> for DatabaseMaintenance {
    type Reply = ();

    async fn handle(&mut self, _: RunRound, _: &mut Context<Self, ()>) {
        let Some(home) = self.home.upgrade() else {
            return;
        };
        let share = (home.seams.connection_share)(&self.database.settings);
        for group in &self.database.groups {
            planned_stop::transfer_if_leaving(group, home.clock);
            group.maintain_pools(share);
        }
        key_cleaning::clean(&home, &self.database, self.round).await;
        self.round += 1;
    }
}
