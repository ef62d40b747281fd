//! Units of work: one statement outside a transaction, or one transaction.
//!
//! What must hold: a write is sent once, and again only after a server's own promise that it did
//! not run; a read that must see the newest log runs in a transaction that only the lead accepts;
//! any other read runs behind the position that its freshness asks for; a connection with an
//! answer outstanding is never used for another session.

mod attempt;
mod held;
mod lead;
mod place;
mod read;
mod times;
mod transaction;
mod work;
mod write;

use std::fmt::Display;
use std::sync::Arc;
use std::time::Duration;

use rand::seq::IteratorRandom;
use spurpier_core::leader::{Distance, SessionCommit};
use spurpier_core::locality::AllowedRegions;
use spurpier_core::position::Position;
use spurpier_events::{Event, log_event};

pub use self::attempt::{Place, own_attempt};
pub use self::held::OpenTransactions;
pub use self::lead::renew_proof;
pub use self::times::Times;
pub use self::transaction::OpenTransaction;
pub use self::work::{PreparedUse, Work};

use crate::context::Context;
use crate::events;
use crate::forward::{WireAnswer, millis};
use crate::group::Group;
use crate::homes::PeerNode;
use crate::places::{Bar, NoLeave};
use crate::ports::{Answer, Effect, ErrorClass, FreshnessKind, Route, TransactionState};
use crate::quota::Refused;
use crate::server::{ConnectionNeed, Server, Values};
use crate::tenant::Caller;

/// What a unit knows of its session and its route.
pub struct Unit {
    /// What all units share.
    pub context: Arc<Context>,
    /// The group that serves it.
    pub group: Arc<Group>,
    /// Its route.
    pub route: Arc<Route>,
    /// Whom it is run for.
    pub caller: Caller,
    /// Where it may run.
    pub allowed_regions: AllowedRegions,
    /// The session's values.
    pub values: Values,
    /// The session's last commit in this group.
    pub own_commit: Option<SessionCommit>,
    /// Its limits in time.
    pub times: Times,
    /// The version of the configuration that has the route.
    pub configuration: u64,
}

/// Why a unit has not run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NotRun {
    /// No server leads the group, as far as is known.
    NoLead,
    /// All connections are in use.
    NoConnection,
    /// The server has too much work.
    ServerBusy,
    /// No server shows the position that is asked for.
    NoFreshServer,
    /// No server can be reached.
    NoServer,
    /// No home of the group can be reached.
    NoHome,
    /// The tenant is at its limit for so long.
    OverQuota(Duration),
    /// No node that counts the tenant's operations has answered; one may within this time.
    NoAuthority(Duration),
    /// A newer configuration gives the database to another group, the key to another tenant, or
    /// allows other regions.
    Rerouted,
    /// What could run it stands where it must not run.
    Barred(Bar),
}

impl NotRun {
    const fn text(self) -> &'static str {
        match self {
            NotRun::NoLead => "no_lead",
            NotRun::NoConnection => "no_connection",
            NotRun::ServerBusy => "server_busy",
            NotRun::NoFreshServer => "no_fresh_server",
            NotRun::NoServer => "no_server",
            NotRun::NoHome => "no_home",
            NotRun::OverQuota(_) => "over_quota",
            NotRun::NoAuthority(_) => "no_quota_authority",
            NotRun::Rerouted => "rerouted",
            NotRun::Barred(bar) => bar.text(),
        }
    }

    /// When a client should come back, in milliseconds.
    fn retry_after_ms(self) -> u32 {
        match self {
            NotRun::OverQuota(pause) | NotRun::NoAuthority(pause) => millis(pause),
            NotRun::Barred(bar) => millis(bar.retry_after()),
            NotRun::NoLead | NotRun::NoServer | NotRun::NoHome | NotRun::Rerouted => 300,
            NotRun::NoFreshServer => 200,
            NotRun::NoConnection | NotRun::ServerBusy => 100,
        }
    }
}

impl From<NoLeave> for NotRun {
    fn from(no_leave: NoLeave) -> Self {
        NotRun::Barred(Bar::from(no_leave))
    }
}

impl From<Refused> for NotRun {
    fn from(refused: Refused) -> Self {
        match refused {
            Refused::OverQuota(pause) => NotRun::OverQuota(pause),
            Refused::NoAuthority(pause) => NotRun::NoAuthority(pause),
        }
    }
}

/// A unit's answer and what it means for the session.
#[derive(Debug)]
pub struct Done {
    /// The answer.
    pub answer: Answer,
    /// The position of a commit that the answer acknowledges.
    pub committed: Option<Position>,
}

impl Done {
    /// An answer that acknowledges no commit.
    pub fn answer(answer: Answer) -> Self {
        let committed = None;
        Done { answer, committed }
    }

    /// What another node has replied.
    pub fn of_call(answer: WireAnswer) -> Self {
        let (answer, committed) = answer.into_parts();
        Done { answer, committed }
    }
}

impl Unit {
    fn is_latest(&self) -> bool {
        self.route.freshness == FreshnessKind::Latest
    }

    /// Whether only the lead can run such a statement.
    pub fn needs_lead(&self, effect: Effect) -> bool {
        effect == Effect::Write || self.is_latest()
    }

    /// The zone of the server that leads the group, as far as is known.
    pub fn lead_zone(&self) -> Option<String> {
        let context = &self.context;
        let lead = self
            .group
            .lead_candidate(context.clock.now(), context.leaving_use())?;
        let zone = lead.listing().entry.zone.clone();
        Some(zone)
    }

    /// The home that runs such a statement in the place of this one: one that is known to reach
    /// the lead if this one does not, or while units wait here for connections to the server that
    /// would run it, one in that server's zone or nearby.
    pub fn better_home(&self, effect: Effect) -> Option<PeerNode> {
        if self.needs_lead(effect)
            && let Some(relay) = self.group.relay(self.context.clock.now())
            && self.may_go_to(&relay)
        {
            return Some(relay);
        }
        let homes = self.context.homes_of(&self.group.name);
        let is_usable =
            |home: &&PeerNode| self.context.links.is_usable(home.address) && self.may_go_to(home);
        if !self.context.holds_lease(&self.group) {
            // What needs the lead, or a proof of it, cannot be done here.
            return homes.others.iter().find(is_usable).cloned();
        }
        let crowded = self.crowded_server(effect)?;
        let near = homes.others.iter().take(homes.near);
        if crowded.distance == Distance::Zone {
            return near.filter(is_usable).choose(&mut rand::rng()).cloned();
        }
        // Its connections are held for the way to the server and back only once, there or here.
        let zone = crowded.listing().entry.zone.clone();
        let there = homes.others.iter().filter(|home| home.zone == zone);
        let there = there.filter(is_usable).choose(&mut rand::rng());
        there
            .or_else(|| near.filter(is_usable).choose(&mut rand::rng()))
            .cloned()
    }

    /// Takes in that this node runs the unit in the place of homes that it cannot reach.
    pub fn stand_in(&self) {
        self.group.stand_in(self.context.clock.now());
        self.context.note_visited(&self.group);
        self.context.lease_wanted.notify_one();
    }

    /// The server that would run such a statement, if units wait here for connections to it.
    fn crowded_server(&self, effect: Effect) -> Option<Arc<Server>> {
        let servers = self.group.servers();
        if !servers.iter().any(|server| server.pool.is_crowded()) {
            return None;
        }
        let server = if self.needs_lead(effect) {
            self.group.lead()
        } else {
            self.likely_reader(&servers)
        };
        server.filter(|server| server.pool.is_crowded())
    }

    /// Runs a statement outside a transaction on this node's connections.
    pub async fn run_here(&self, work: &Work, effect: Effect) -> Done {
        match effect {
            Effect::Read => self.read(work).await,
            Effect::Write => self.write(work).await,
        }
    }

    /// What it needs of a connection.
    pub(crate) fn connection_need(&self) -> ConnectionNeed<'_> {
        ConnectionNeed {
            caller: Some(self.caller.name()),
            values: &self.values,
        }
    }

    /// The answer of a unit that a newer configuration than that of its route does not let run
    /// here; none if it may run.
    ///
    /// A node that takes in the configuration late forwards under the former one. Its home, which
    /// knows better, must not run that: a home ran a write for a database that it had known to be
    /// dropped for five seconds (seen in the logs of both nodes).
    pub fn refuse_superseded(&self, id: &str) -> Option<Answer> {
        let in_force = self.context.in_force()?;
        if in_force.configuration.version <= self.configuration {
            return None;
        }
        match in_force.admit(&self.route.database, self.caller.key) {
            Ok(admitted)
                if admitted.caller.tenant == self.caller.tenant
                    && admitted.route.group == self.route.group
                    && admitted.allowed_regions == self.allowed_regions =>
            {
                None
            }
            Ok(_) => Some(self.refuse(id, NotRun::Rerouted)),
            Err(denied) => Some(Answer::denied(denied)),
        }
    }

    /// The answer of a statement that has not run.
    pub fn refuse(&self, id: &str, reason: NotRun) -> Answer {
        self.context.metrics.count_refusal(reason.text());
        let retry_after_ms = reason.retry_after_ms();
        if let Some(suppressed) = self.log_budget(events::REQUEST_NOT_RUN) {
            log_event!(
                events::REQUEST_NOT_RUN,
                request = id,
                group = self.group.name,
                tenant = self.caller.name(),
                reason = reason.text(),
                retry_after_ms = retry_after_ms,
                waited_ms = self.waited_ms(),
                suppressed = suppressed
            );
        }
        let text = format!("retry-after-ms={retry_after_ms} {}", reason.text());
        Answer::error(ErrorClass::Busy, text, TransactionState::Idle)
    }

    /// The answer of a statement of which cannot be told whether it ran.
    pub fn doubt(&self, id: &str, class: ErrorClass, server: impl Display) -> Answer {
        if let Some(suppressed) = self.log_budget(events::REQUEST_UNKNOWN) {
            log_event!(
                events::REQUEST_UNKNOWN,
                request = id,
                group = self.group.name,
                server = server,
                class = format!("{class:?}"),
                waited_ms = self.waited_ms(),
                suppressed = suppressed
            );
        }
        Answer::error(class, "no answer came", TransactionState::Idle)
    }

    /// The answer in a transaction whose connection was given up: the server drops it.
    pub fn abort(&self, id: &str, server: impl Display, why: &str) -> Answer {
        if let Some(suppressed) = self.log_budget(events::REQUEST_NOT_RUN) {
            log_event!(
                events::REQUEST_NOT_RUN,
                request = id,
                group = self.group.name,
                server = server,
                reason = format!("transaction_aborted {why}"),
                waited_ms = self.waited_ms(),
                suppressed = suppressed
            );
        }
        let text = "retry-after-ms=100 the transaction was dropped";
        Answer::error(ErrorClass::Aborted, text, TransactionState::Failed)
    }

    /// Notes that a statement is tried again.
    pub fn note_retry(&self, id: &str, server: impl Display, why: &'static str) {
        self.context.metrics.count_retry(why);
        if let Some(suppressed) = self.log_budget(events::REQUEST_RETRIED) {
            log_event!(
                events::REQUEST_RETRIED,
                request = id,
                group = self.group.name,
                server = server,
                why = why,
                waited_ms = self.waited_ms(),
                suppressed = suppressed
            );
        }
    }

    /// Whether a line of the event may be written, and how many were suppressed before it.
    fn log_budget(&self, event: Event) -> Option<u32> {
        let context = &self.context;
        context.log_budget.take(event, context.clock.now())
    }

    fn waited_ms(&self) -> u128 {
        let now = self.context.clock.now();
        self.times.waited(now).as_millis()
    }
}
