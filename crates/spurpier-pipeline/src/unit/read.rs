//! Reads outside a transaction, and the choice of the server for a read.

use std::sync::Arc;
use std::time::Duration;

use spurpier_core::directory::Incarnation;
use spurpier_core::leader::{ServerLoad, choose_read_server};
use spurpier_core::position::Position;
use spurpier_core::time::Timestamp;

use super::attempt::{ExchangeMode, Failure, LeasedConnection, TimedAnswer};
use super::leader::renew_proof;
use super::statement::ClientStatement;
use super::{NotRun, Unit, UnitResult};
use crate::locality::ExclusionReason;
use crate::ports::{Answer, ErrorClass, TransactionState};
use crate::server::{AcquireError, OpenError, Server};

/// The maximum number of attempts of one read.
const MAX_ATTEMPTS: usize = 4;
/// A proof of leadership is renewed early once its age exceeds the allowed staleness divided by
/// this number.
const EARLY_RENEWAL_DIVISOR: u32 = 2;
/// The `avoided_until` of servers in evacuated zones, which are tried after all others.
const FAR_FUTURE: Timestamp = Timestamp::from_micros(u64::MAX);

impl Unit {
    /// Runs a read with the freshness that its route requires.
    pub async fn read(&self, statement: &ClientStatement) -> UnitResult {
        self.context.record_first_attempt();
        let answer = if self.is_latest() {
            self.read_latest(statement).await
        } else {
            self.read_fresh(statement).await
        };
        UnitResult::answer(answer)
    }

    /// Runs a read in a transaction that only the leader accepts.
    async fn read_latest(&self, statement: &ClientStatement) -> Answer {
        let mut refused = NotRun::NoLeader;
        for _ in 0..MAX_ATTEMPTS {
            let opened = match self.begin_on_leader(self.deadlines.wait_until).await {
                Ok(opened) => opened,
                Err(reason) => return self.refuse(&statement.id, reason),
            };
            let server = Arc::clone(&opened.leased.server);
            let until = self.attempt_deadline();
            let mode = ExchangeMode::StatementAndRollback;
            let (_, result) = self.attempt(opened.leased, statement, mode, until).await;
            match self.classify_read(statement, &server, result) {
                Ok(answer) => return outside_transaction(answer),
                Err(reason) => refused = reason,
            }
            if self.context.clock.now() >= self.deadlines.run_until {
                return self.unknown_outcome(
                    &statement.id,
                    ErrorClass::Timeout,
                    &server.incarnation,
                );
            }
            if !self.context.may_retry() {
                break;
            }
        }
        self.refuse(&statement.id, refused)
    }

    /// Runs a read on the best server that has applied the position that its freshness requires.
    async fn read_fresh(&self, statement: &ClientStatement) -> Answer {
        let mut floor = match self.floor().await {
            Ok(floor) => floor,
            Err(reason) => return self.refuse(&statement.id, reason),
        };
        loop {
            match self.read_at_or_after(statement, &mut floor).await {
                Ok(answer) => return answer,
                Err(NotRun::NoFreshServer) if self.wait_for_replica().await => {}
                Err(reason) => return self.refuse(&statement.id, reason),
            }
        }
    }

    /// Runs a read on a server that has applied the position `floor`, and tries each of the best
    /// servers at most once. Returns the answer for the client or the reason why it has not run.
    async fn read_at_or_after(
        &self,
        statement: &ClientStatement,
        floor: &mut Position,
    ) -> Result<Answer, NotRun> {
        let mut tried = Vec::new();
        let mut refused = self.no_reader_reason();
        for _ in 0..MAX_ATTEMPTS {
            let Some(leased) = self.next_reader(*floor, &mut tried, &mut refused).await else {
                break;
            };
            let server = Arc::clone(&leased.server);
            let until = self.attempt_deadline();
            let mode = ExchangeMode::Statement(after(*floor));
            let (_, result) = self.attempt(leased, statement, mode, until).await;
            match self.classify_read(statement, &server, result) {
                Ok(answer) => return Ok(answer),
                Err(reason) => refused = reason,
            }
            if self.context.clock.now() >= self.deadlines.run_until {
                return Ok(self.unknown_outcome(
                    &statement.id,
                    ErrorClass::Timeout,
                    &server.incarnation,
                ));
            }
            if is_failure(refused) && !self.context.may_retry() {
                break;
            }
            if refused == NotRun::NoFreshServer && self.is_leader(&server) {
                // The leader itself lacks the position, which was lost in a leader change.
                *floor = self.newest_floor().await?;
                tried.clear();
            }
        }
        Err(refused)
    }

    /// Returns the answer for the client, or the reason why another server must be tried.
    fn classify_read(
        &self,
        statement: &ClientStatement,
        server: &Server,
        result: Result<TimedAnswer, Failure>,
    ) -> Result<Answer, NotRun> {
        let (class, why) = match result {
            Ok(TimedAnswer { answer, .. }) => match answer.error_class() {
                Some(class) if class.is_not_run() => (class, "refused"),
                _ => return Ok(answer),
            },
            Err(Failure::Cold(no_leave)) => return Err(no_leave.into()),
            Err(Failure::Inexpressible(error)) => {
                return Ok(self.refuse(&statement.id, error.into()));
            }
            Err(Failure::Refused(class)) => (class, "refused"),
            Err(Failure::NotSent | Failure::Broken) => (ErrorClass::Other, "broken"),
            Err(Failure::Silent) => (ErrorClass::Other, "silent"),
        };
        if class != ErrorClass::Lagging {
            self.record_retry(&statement.id, &server.incarnation, why);
        }
        Err(self.record_refusal(server, class))
    }

    /// Returns the deadline of the current attempt: 60% of the remaining time, to leave time for
    /// another attempt.
    fn attempt_deadline(&self) -> Timestamp {
        let now = self.context.clock.now();
        let left = self.deadlines.run_until.since(now);
        if left < Duration::from_millis(150) {
            return self.deadlines.run_until;
        }
        now + left * 6 / 10
    }

    fn is_leader(&self, server: &Server) -> bool {
        let leader = self.group.leader();
        leader.is_some_and(|leader| leader.incarnation == server.incarnation)
    }

    /// Returns the position that a server must have applied to run the unit's reads.
    pub(super) async fn floor(&self) -> Result<Position, NotRun> {
        let staleness = self.route.freshness.staleness();
        let since = self.deadlines.arrived.saturating_sub(staleness);
        loop {
            if let Some(floor) = self.group.read_floor(since, self.own_commit) {
                self.renew_proof_early(staleness);
                return Ok(floor);
            }
            renew_proof(&self.context, &self.group, since, self.deadlines.wait_until).await?;
        }
    }

    /// Returns the server that a read would try first at present.
    pub(super) fn likely_reader(&self, servers: &[Arc<Server>]) -> Option<Arc<Server>> {
        let staleness = self.route.freshness.staleness();
        let since = self.deadlines.arrived.saturating_sub(staleness);
        let floor = self.group.read_floor(since, self.own_commit);
        let chosen = self.choose_reader(servers, &[], floor.unwrap_or(Position::ZERO));
        chosen.map(|index| Arc::clone(&servers[index]))
    }

    fn choose_reader(
        &self,
        servers: &[Arc<Server>],
        excluded: &[usize],
        floor: Position,
    ) -> Option<usize> {
        let leader = self.group.leader().map(|leader| leader.incarnation.clone());
        let is_leader = |server: &Server| leader.as_ref() == Some(&server.incarnation);
        let now = self.context.clock.now();
        let choose = |is_usable: &dyn Fn(&Server) -> bool| {
            let loads: Vec<_> = servers
                .iter()
                .map(|server| {
                    let load = server.load(is_leader(server));
                    ServerLoad {
                        accepts_reads: load.accepts_reads && is_usable(server),
                        avoided_until: if server.is_evacuated() {
                            FAR_FUTURE
                        } else {
                            load.avoided_until
                        },
                        ..load
                    }
                })
                .collect();
            choose_read_server(&loads, excluded, floor, now)
        };
        // Cold servers are slow, so they are used only if no warm server is ready.
        let is_open = |server: &Server| self.bar_to_read(server, now).is_none();
        let is_ready = |server: &Server| {
            let is_avoided = server.is_evacuated() || server.health().avoided_until > now;
            !is_avoided && is_open(server)
        };
        let is_ready_warm = |server: &Server| !server.is_cold(now) && is_ready(server);
        choose(&is_ready_warm)
            .or_else(|| choose(&is_ready))
            .or_else(|| choose(&is_open))
    }

    /// Returns the reason why a read must not use a server now, or `None` if it may.
    pub(super) fn bar_to_read(&self, server: &Server, now: Timestamp) -> Option<ExclusionReason> {
        let locality = &self.context.locality;
        locality.exclusion_for_read(&self.allowed_regions, server, now)
    }

    /// Returns the reason why no server can be tried: the bar if each server that is not leaving is
    /// barred.
    pub(super) fn no_reader_reason(&self) -> NotRun {
        self.bar_at_servers()
            .map_or(NotRun::NoServer, NotRun::Barred)
    }

    /// Returns the position of a new proof, which covers all commits acknowledged before this call.
    async fn newest_floor(&self) -> Result<Position, NotRun> {
        let since = self.context.clock.now();
        renew_proof(&self.context, &self.group, since, self.deadlines.wait_until).await?;
        let floor = self.group.read_floor(since, self.own_commit);
        floor.ok_or(NotRun::NoFreshServer)
    }

    /// Renews the proof in the background before it is too old, so that reads need not wait for it.
    fn renew_proof_early(&self, staleness: Duration) {
        let now = self.context.clock.now();
        let renew_at = staleness / EARLY_RENEWAL_DIVISOR;
        let is_young = self
            .group
            .proven_at()
            .is_some_and(|proven| now.since(proven) < renew_at);
        if is_young || self.group.is_proving() {
            return;
        }
        let (context, group) = (Arc::clone(&self.context), Arc::clone(&self.group));
        tokio::spawn(async move {
            let until = now + staleness / EARLY_RENEWAL_DIVISOR;
            // On failure, the next read that needs the proof requests it again.
            let _ = renew_proof(&context, &group, now, until).await;
        });
    }

    /// Acquires a connection to the best untried server that provides one. Returns `None` if all
    /// servers have been tried; `refused` then holds the reason of the last failure.
    pub(super) async fn next_reader(
        &self,
        floor: Position,
        tried: &mut Vec<Incarnation>,
        refused: &mut NotRun,
    ) -> Option<LeasedConnection> {
        loop {
            match self.acquire_reader(floor, tried).await {
                Ok(leased) => return leased,
                Err(reason) => *refused = reason,
            }
        }
    }

    /// Acquires a connection to the best untried server. Returns `None` if all have been tried.
    async fn acquire_reader(
        &self,
        floor: Position,
        tried: &mut Vec<Incarnation>,
    ) -> Result<Option<LeasedConnection>, NotRun> {
        let clock = &self.context.clock;
        let servers = self.group.servers();
        let excluded: Vec<usize> = (0..servers.len())
            .filter(|index| tried.contains(&servers[*index].incarnation))
            .collect();
        let Some(chosen) = self.choose_reader(&servers, &excluded, floor) else {
            return Ok(None);
        };
        let server = Arc::clone(&servers[chosen]);
        tried.push(server.incarnation.clone());
        let until = self.deadlines.wait_until;
        match server.pool.acquire(self.connection_need(), until).await {
            Ok(lease) => Ok(Some(LeasedConnection::new(server, lease))),
            Err(AcquireError::Full) => {
                server.health().avoid(clock.now());
                Err(NotRun::NoConnection)
            }
            Err(AcquireError::Inexpressible(error)) => Err(error.into()),
            Err(AcquireError::Open(OpenError::Refused(class))) => {
                Err(self.record_refusal(&server, class))
            }
            Err(AcquireError::Open(OpenError::Closed)) => {
                Err(NotRun::Barred(ExclusionReason::Evacuated))
            }
            Err(AcquireError::Open(OpenError::Cold(no_leave))) => Err(no_leave.into()),
            Err(AcquireError::Open(OpenError::Unreachable)) => {
                server.record_unanswered(clock);
                Err(NotRun::ServerBusy)
            }
        }
    }
}

/// Whether another attempt counts as a retry after a failure. A lagging replica and a cold server
/// without a permit do not count as failures.
fn is_failure(refused: NotRun) -> bool {
    !matches!(
        refused,
        NotRun::NoFreshServer | NotRun::Barred(ExclusionReason::Cold(_))
    )
}

/// Sets the answer's transaction state to that of a session outside a transaction.
fn outside_transaction(mut answer: Answer) -> Answer {
    answer.state = TransactionState::Idle;
    answer
}

/// Returns the position to send with a statement; the start of the log needs none.
pub(super) fn after(floor: Position) -> Option<Position> {
    (floor != Position::ZERO).then_some(floor)
}
