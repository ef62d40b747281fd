//! Units of work: one statement outside a transaction, or one transaction.
//!
//! Invariants:
//!
//! - A write is sent once, and retried only after a server has confirmed that it did not run.
//! - A read that must observe the latest commits runs in a transaction only the leader accepts.
//! - Any other read runs on a server that has applied the position that its freshness requires.
//! - A connection with an outstanding answer is never used for another session.

mod attempt;
mod deadlines;
mod eligibility;
mod leader;
mod open_transactions;
mod read;
mod statement;
mod transaction;
mod write;

use std::fmt::Display;
use std::sync::Arc;
use std::time::Duration;

use rand::seq::IteratorRandom;
use spurpier_core::leader::{Distance, SessionCommit};
use spurpier_core::locality::AllowedRegions;
use spurpier_core::position::Position;
use spurpier_events::{Event, log_event};

pub use self::attempt::{LeasedConnection, internal_attempt};
pub use self::deadlines::Deadlines;
pub use self::leader::renew_proof;
pub use self::open_transactions::OpenTransactions;
pub use self::statement::{ClientStatement, PreparedExecution};
pub use self::transaction::OpenTransaction;

use crate::context::Context;
use crate::events;
use crate::forward::{WireAnswer, millis};
use crate::group::Group;
use crate::homes::PeerNode;
use crate::locality::{ExclusionReason, NoLeave};
use crate::ports::{
    Answer, Effect, EncodeError, ErrorClass, FreshnessKind, Route, TransactionState,
};
use crate::quota::Refused;
use crate::server::{ConnectionNeed, Server, Values};
use crate::tenant::Caller;

/// A unit of work, with the state of its session and its route.
pub struct Unit {
    /// The state that all units of this node share.
    pub context: Arc<Context>,
    /// The replication group that serves the route.
    pub group: Arc<Group>,
    /// The route of the client's database.
    pub route: Arc<Route>,
    /// The client for which it runs.
    pub caller: Caller,
    /// The regions in which it may run.
    pub allowed_regions: AllowedRegions,
    /// The session variables to set on server connections.
    pub values: Values,
    /// The session's last commit in this group, which its reads must observe.
    pub own_commit: Option<SessionCommit>,
    /// Until when it may wait and run.
    pub deadlines: Deadlines,
    /// The version of the configuration from which the route was taken.
    pub configuration: u64,
}

/// The reason why a unit has not run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NotRun {
    /// The group has no known leader.
    NoLeader,
    /// All connections are in use.
    NoConnection,
    /// The server is overloaded.
    ServerBusy,
    /// No server has applied the required position.
    NoFreshServer,
    /// No server can be reached.
    NoServer,
    /// No home of the group can be reached.
    NoHome,
    /// The tenant has used up its quota; retry after this time.
    OverQuota(Duration),
    /// No quota authority of the tenant has answered; retry after this time.
    NoAuthority(Duration),
    /// A newer configuration gives the database to another group, the key to another tenant, or
    /// allows other regions.
    Rerouted,
    /// The servers that could run it are barred to it, for example by region or evacuation.
    Barred(ExclusionReason),
    /// The protocol to the servers cannot express it; a retry would not either.
    Inexpressible(EncodeError),
}

impl NotRun {
    const fn text(self) -> &'static str {
        match self {
            NotRun::NoLeader => "no_lead",
            NotRun::NoConnection => "no_connection",
            NotRun::ServerBusy => "server_busy",
            NotRun::NoFreshServer => "no_fresh_server",
            NotRun::NoServer => "no_server",
            NotRun::NoHome => "no_home",
            NotRun::OverQuota(_) => "over_quota",
            NotRun::NoAuthority(_) => "no_quota_authority",
            NotRun::Rerouted => "rerouted",
            NotRun::Barred(bar) => bar.text(),
            NotRun::Inexpressible(_) => "inexpressible",
        }
    }

    /// Returns the time after which a client should retry, in milliseconds; zero if a retry cannot
    /// succeed.
    fn retry_after_ms(self) -> u32 {
        match self {
            NotRun::OverQuota(delay) | NotRun::NoAuthority(delay) => millis(delay),
            NotRun::Barred(bar) => millis(bar.retry_after()),
            NotRun::NoLeader | NotRun::NoServer | NotRun::NoHome | NotRun::Rerouted => 300,
            NotRun::NoFreshServer => 200,
            NotRun::NoConnection | NotRun::ServerBusy => 100,
            NotRun::Inexpressible(_) => 0,
        }
    }

    /// Returns the answer for the client.
    fn answer(self) -> Answer {
        let (class, text) = match self {
            NotRun::Inexpressible(error) => (ErrorClass::Malformed, error.to_string()),
            _ => {
                let retry_after_ms = self.retry_after_ms();
                let text = format!("retry-after-ms={retry_after_ms} {}", self.text());
                (ErrorClass::Busy, text)
            }
        };
        Answer::error(class, text, TransactionState::Idle)
    }
}

impl From<NoLeave> for NotRun {
    fn from(no_leave: NoLeave) -> Self {
        NotRun::Barred(ExclusionReason::from(no_leave))
    }
}

impl From<EncodeError> for NotRun {
    fn from(error: EncodeError) -> Self {
        NotRun::Inexpressible(error)
    }
}

impl From<Refused> for NotRun {
    fn from(refused: Refused) -> Self {
        match refused {
            Refused::OverQuota(delay) => NotRun::OverQuota(delay),
            Refused::NoAuthority(delay) => NotRun::NoAuthority(delay),
        }
    }
}

/// A unit's answer and the commit that it acknowledges.
#[derive(Debug)]
pub struct UnitResult {
    /// The answer for the client.
    pub answer: Answer,
    /// The log position of the commit, if the answer acknowledges one.
    pub committed: Option<Position>,
}

impl UnitResult {
    /// Creates the result of an answer that acknowledges no commit.
    pub fn answer(answer: Answer) -> Self {
        let committed = None;
        UnitResult { answer, committed }
    }

    /// Creates the result from another node's answer to a forwarded unit.
    pub fn from_forwarded(answer: WireAnswer) -> Self {
        let (answer, committed) = answer.into_parts();
        UnitResult { answer, committed }
    }
}

impl Unit {
    fn is_latest(&self) -> bool {
        self.route.freshness == FreshnessKind::Latest
    }

    /// Whether only the leader can run a statement of this effect.
    pub fn needs_leader(&self, effect: Effect) -> bool {
        effect == Effect::Write || self.is_latest()
    }

    /// Returns the zone of the group's presumed leader.
    pub fn leader_zone(&self) -> Option<String> {
        let context = &self.context;
        let leader = self
            .group
            .leader_candidate(context.clock.now(), context.leaving_use())?;
        let zone = leader.listing().entry.zone.clone();
        Some(zone)
    }

    /// Returns another home that should run such a statement instead of this node, if any.
    ///
    /// That is a home which is known to reach the leader if this node does not. While units queue
    /// here for connections to the server that would run the statement, it is a home in that
    /// server's zone or nearby.
    pub fn preferred_home(&self, effect: Effect) -> Option<PeerNode> {
        if self.needs_leader(effect)
            && let Some(relay) = self.group.relay(self.context.clock.now())
            && self.may_run_on(&relay)
        {
            return Some(relay);
        }
        let homes = self.context.homes_of(&self.group.name);
        let is_usable =
            |home: &&PeerNode| self.context.links.is_usable(home.address) && self.may_run_on(home);
        if !self.context.holds_leader_lease(&self.group) {
            // Neither the leader nor a proof of leadership is available on this node.
            return homes.others.iter().find(is_usable).cloned();
        }
        let crowded = self.crowded_server(effect)?;
        let near = homes.others.iter().take(homes.near);
        if crowded.distance == Distance::Zone {
            return near.filter(is_usable).choose(&mut rand::rng()).cloned();
        }
        // The unit makes the round trip to that zone once either way, but a home there holds the
        // connection only for the trip within the zone.
        let zone = crowded.listing().entry.zone.clone();
        let there = homes.others.iter().filter(|home| home.zone == zone);
        let there = there.filter(is_usable).choose(&mut rand::rng());
        there
            .or_else(|| near.filter(is_usable).choose(&mut rand::rng()))
            .cloned()
    }

    /// Records that this node runs the unit in place of homes that it cannot reach.
    pub fn stand_in(&self) {
        self.group.record_substitution(self.context.clock.now());
        self.context.record_visited(&self.group);
        self.context.lease_wanted.notify_one();
    }

    /// Returns the server that would run such a statement if units queue here for its connections.
    fn crowded_server(&self, effect: Effect) -> Option<Arc<Server>> {
        let servers = self.group.servers();
        if !servers.iter().any(|server| server.pool.is_saturated()) {
            return None;
        }
        let server = if self.needs_leader(effect) {
            self.group.leader()
        } else {
            self.likely_reader(&servers)
        };
        server.filter(|server| server.pool.is_saturated())
    }

    /// Runs a statement outside a transaction on one of this node's server connections.
    pub async fn run_locally(&self, statement: &ClientStatement, effect: Effect) -> UnitResult {
        match effect {
            Effect::Read => self.read(statement).await,
            Effect::Write => self.write(statement).await,
        }
    }

    /// Returns the caller and session variables that a connection must have.
    pub(crate) fn connection_need(&self) -> ConnectionNeed<'_> {
        ConnectionNeed {
            caller: Some(self.caller.name()),
            values: &self.values,
        }
    }

    /// Returns the refusal of a unit if a newer configuration than that of its route does not admit
    /// it here, or `None` if it may run.
    ///
    /// A node that receives the configuration late forwards units under the previous one. Without
    /// this check, a home that has the new configuration would still run them: for example a write
    /// to a database that it has known to be dropped for five seconds.
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

    /// Returns the refusal of a statement in an open transaction if a newer configuration has taken
    /// the client's key away or given it to another tenant, or `None` if the statement may run.
    ///
    /// The transaction must then be rolled back. Changes of its route do not refuse it: they take
    /// effect with the client's next transaction.
    pub fn refuse_revoked(&self, id: &str) -> Option<Answer> {
        let in_force = self.context.in_force()?;
        if in_force.configuration.version <= self.configuration {
            return None;
        }
        match in_force.tenant_of(&self.route, self.caller.key) {
            Ok(tenant) if tenant == self.caller.tenant => None,
            Ok(_) => Some(self.abort(id, "", "key_reassigned")),
            Err(denied) => {
                let aborted = self.abort(id, "", "key_revoked");
                Some(Answer {
                    state: aborted.state,
                    ..Answer::denied(denied)
                })
            }
        }
    }

    /// Logs and counts that a statement has not run, and returns its answer.
    pub fn refuse(&self, id: &str, reason: NotRun) -> Answer {
        self.context.metrics.count_refusal(reason.text());
        if let Some(suppressed) = self.log_budget(events::REQUEST_NOT_RUN) {
            log_event!(
                events::REQUEST_NOT_RUN,
                request = id,
                group = self.group.name,
                tenant = self.caller.name(),
                reason = reason.text(),
                retry_after_ms = reason.retry_after_ms(),
                waited_ms = self.waited_ms(),
                suppressed = suppressed
            );
        }
        reason.answer()
    }

    /// Logs that it is unknown whether a statement ran, and returns its answer.
    pub fn unknown_outcome(&self, id: &str, class: ErrorClass, server: impl Display) -> Answer {
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

    /// Logs that a transaction lost its connection, and returns its answer. The server rolls the
    /// transaction back.
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

    /// Logs and counts that a statement is retried.
    pub fn record_retry(&self, id: &str, server: impl Display, why: &'static str) {
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

    /// Returns the number of suppressed lines if the event may be logged now, otherwise `None`.
    fn log_budget(&self, event: Event) -> Option<u32> {
        let context = &self.context;
        context.log_budget.take(event, context.clock.now())
    }

    fn waited_ms(&self) -> u128 {
        let now = self.context.clock.now();
        self.deadlines.waited(now).as_millis()
    }
}
