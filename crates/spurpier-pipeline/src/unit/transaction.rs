//! Transactions, each of which runs all its statements on the connection that opened it.

use std::sync::Arc;

use spurpier_core::position::Position;
use spurpier_core::time::Timestamp;

use super::attempt::{ExchangeMode, Failure, LeasedConnection, TimedAnswer};
use super::open_transactions::HeldConnection;
use super::read::after;
use super::statement::ClientStatement;
use super::{NotRun, Unit, UnitResult};
use crate::locality::ExclusionReason;
use crate::ports::{Answer, ErrorClass, TransactionState};
use crate::server::ExchangeError;

/// The maximum number of servers on which opening a read-only transaction is tried.
const MAX_ATTEMPTS: usize = 4;

/// A transaction that is open on a server connection of this node.
pub struct OpenTransaction {
    /// The unit that opened it.
    pub unit: Unit,
    /// Its connection, which is closed without a notification if its zone is evacuated.
    leased: HeldConnection,
    /// Whether it was abandoned: only a commit or rollback is still accepted.
    abandoned: bool,
    /// Whether the server reports it as failed.
    failed: bool,
    read_only: bool,
    wrote: bool,
}

impl OpenTransaction {
    /// Opens a transaction. Returns the answer for the client, and the transaction if it is open.
    pub async fn begin(
        unit: Unit,
        statement: &ClientStatement,
        read_only: bool,
    ) -> (Answer, Option<Self>) {
        let opened = if read_only {
            unit.begin_read_only(statement).await
        } else {
            let opened = unit.begin_on_leader(unit.deadlines.wait_until).await;
            opened.map(|opened| opened.leased)
        };
        match opened {
            Ok(leased) => {
                let open = &unit.context.locality.open_transactions;
                let transaction = OpenTransaction {
                    leased: open.hold(leased),
                    unit,
                    abandoned: false,
                    failed: false,
                    read_only,
                    wrote: false,
                };
                (Answer::done(TransactionState::Open), Some(transaction))
            }
            Err(reason) => (unit.refuse(&statement.id, reason), None),
        }
    }

    /// Returns the transaction state to report to the client.
    pub fn state(&self) -> TransactionState {
        if self.failed || self.abandoned {
            TransactionState::Failed
        } else {
            TransactionState::Open
        }
    }

    /// Runs a statement and waits for its answer until the unit's deadline.
    pub async fn run(&mut self, statement: &ClientStatement, writes: bool) -> Answer {
        if self.abandoned {
            return Answer::error(ErrorClass::Malformed, "failed", TransactionState::Failed);
        }
        let Some(leased) = self.leased.take() else {
            self.abandoned = true;
            return self.evacuated(statement);
        };
        let server = Arc::clone(&leased.server);
        let run_until = self.unit.deadlines.run_until;
        let attempt =
            self.unit
                .attempt(leased, statement, ExchangeMode::Statement(None), run_until);
        let (leased, result) = attempt.await;
        match result {
            Ok(TimedAnswer { answer, .. })
                if answer.error_class() == Some(ErrorClass::UnknownName) =>
            {
                // The client has prepared the statement; only the connection lacks it.
                self.abandoned = true;
                release(leased).await;
                let why = "the server forgot a prepared statement";
                self.unit.abort(&statement.id, &server.incarnation, why)
            }
            Ok(TimedAnswer { answer, .. }) => {
                self.record_answer(leased, &answer, writes);
                if answer.error_class() == Some(ErrorClass::ReadOnly) && !self.read_only {
                    let now = self.unit.context.clock.now();
                    self.unit.group.record_refusal(&server, now);
                }
                answer
            }
            Err(Failure::Inexpressible(error)) => {
                self.abandoned = true;
                let mut answer = self.unit.refuse(&statement.id, error.into());
                answer.state = TransactionState::Failed;
                answer
            }
            Err(failure) => {
                self.abandoned = true;
                let why = format!("{failure:?}");
                self.unit.abort(&statement.id, &server.incarnation, &why)
            }
        }
    }

    fn record_answer(&mut self, leased: Option<LeasedConnection>, answer: &Answer, writes: bool) {
        self.wrote |= writes && answer.outcome.is_ok();
        self.failed = answer.state != TransactionState::Open;
        self.abandoned = leased.is_none();
        self.leased.put_back(leased);
    }

    /// Returns the answer in a transaction whose connection was closed because its zone was
    /// evacuated.
    fn evacuated(&self, statement: &ClientStatement) -> Answer {
        self.unit
            .abort(&statement.id, "", ExclusionReason::Evacuated.text())
    }

    /// Commits the transaction. If it has failed, rolls it back and returns an error.
    ///
    /// If it is unknown whether the commit ran, the answer is [`ErrorClass::InDoubt`].
    pub async fn commit(self, statement: &ClientStatement) -> UnitResult {
        if self.failed || self.abandoned {
            self.roll_back().await;
            let text = "the transaction had failed";
            let answer = Answer::error(ErrorClass::Aborted, text, TransactionState::Idle);
            return UnitResult::answer(answer);
        }
        let Some(leased) = self.leased.take() else {
            let mut answer = self.evacuated(statement);
            answer.state = TransactionState::Idle;
            return UnitResult::answer(answer);
        };
        let server = Arc::clone(&leased.server);
        let unit = &self.unit;
        let mode = ExchangeMode::Statement(None);
        let (leased, mut result) = unit
            .attempt(leased, statement, mode, unit.deadlines.run_until)
            .await;
        if let Ok(TimedAnswer { answer, .. }) = &mut result
            && answer.state != TransactionState::Idle
        {
            // A server that refuses to commit leaves the transaction open.
            release(leased).await;
            answer.state = TransactionState::Idle;
        }
        match result {
            Ok(TimedAnswer { answer, .. })
                if answer.outcome.is_ok()
                    && self.wrote
                    && !unit.context.may_use_as_leader(&unit.group, &server) =>
            {
                let unknown_outcome =
                    unit.unknown_outcome(&statement.id, ErrorClass::InDoubt, &server.incarnation);
                UnitResult::answer(unknown_outcome)
            }
            Ok(TimedAnswer { answer, sent_at }) => {
                let mut committed = None;
                if answer.outcome.is_ok() && self.wrote {
                    if !unit.record_proof(&server, sent_at, answer.position) {
                        let unknown_outcome = unit.unknown_outcome(
                            &statement.id,
                            ErrorClass::InDoubt,
                            &server.incarnation,
                        );
                        return UnitResult::answer(unknown_outcome);
                    }
                    committed = answer.position;
                }
                if answer.error_class() == Some(ErrorClass::ReadOnly) {
                    unit.group.record_refusal(&server, unit.context.clock.now());
                }
                UnitResult { answer, committed }
            }
            Err(Failure::Inexpressible(error)) => {
                UnitResult::answer(unit.refuse(&statement.id, error.into()))
            }
            Err(Failure::NotSent | Failure::Refused(_) | Failure::Cold(_)) => {
                let mut answer = unit.abort(&statement.id, &server.incarnation, "NotSent");
                answer.state = TransactionState::Idle;
                UnitResult::answer(answer)
            }
            Err(Failure::Broken | Failure::Silent) => {
                let unknown_outcome =
                    unit.unknown_outcome(&statement.id, ErrorClass::InDoubt, &server.incarnation);
                UnitResult::answer(unknown_outcome)
            }
        }
    }

    /// Rolls the transaction back on the server.
    pub async fn roll_back(mut self) {
        self.expire().await;
    }

    /// Rolls the transaction back on the server and releases its connection. From then on only a
    /// commit or rollback is accepted.
    pub async fn expire(&mut self) {
        self.abandoned = true;
        release(self.leased.take()).await;
    }
}

/// Rolls back what is open on a connection, and releases it.
async fn release(leased: Option<LeasedConnection>) {
    if let Some(mut leased) = leased
        && let Ok(connection) = leased.connection()
    {
        // A connection that breaks here is closed, which also rolls the transaction back.
        let _ = connection.roll_back().await;
    }
}

impl Unit {
    /// Opens a read-only transaction with the freshness that its route requires.
    async fn begin_read_only(
        &self,
        statement: &ClientStatement,
    ) -> Result<LeasedConnection, NotRun> {
        if self.is_latest() {
            return self.begin_read_only_on_leader(statement).await;
        }
        let floor = self.floor().await?;
        loop {
            match self.begin_at_or_after(statement, floor).await {
                Err(NotRun::NoFreshServer) if self.wait_for_replica().await => {}
                opened => return opened,
            }
        }
    }

    /// Opens a read-only transaction on a server that has applied the position `floor`, and tries
    /// each of the best servers at most once.
    async fn begin_at_or_after(
        &self,
        statement: &ClientStatement,
        floor: Position,
    ) -> Result<LeasedConnection, NotRun> {
        let mut tried = Vec::new();
        let mut refused = self.no_reader_reason();
        for _ in 0..MAX_ATTEMPTS {
            let Some(leased) = self.next_reader(floor, &mut tried, &mut refused).await else {
                break;
            };
            let deadline = self.opening_deadline();
            match self
                .open_at_or_after(leased, statement, after(floor), deadline)
                .await
            {
                Ok(leased) => return Ok(leased),
                Err(reason @ NotRun::Inexpressible(_)) => return Err(reason),
                Err(reason) => refused = reason,
            }
        }
        Err(refused)
    }

    /// Opens a read-only transaction that observes the latest commits: after a position that the
    /// leader has reported since the unit arrived.
    async fn begin_read_only_on_leader(
        &self,
        statement: &ClientStatement,
    ) -> Result<LeasedConnection, NotRun> {
        let mut opened = self.begin_on_leader(self.deadlines.wait_until).await?;
        let connection = opened.leased.connection();
        let connection = connection.map_err(|_| NotRun::NoLeader)?;
        let dropped = connection.roll_back().await;
        dropped.map_err(|error| match error {
            ExchangeError::Cold(no_leave) => no_leave.into(),
            ExchangeError::Inexpressible(error) => error.into(),
            ExchangeError::NotSent | ExchangeError::Unclear => NotRun::NoLeader,
        })?;
        let deadline = self.opening_deadline();
        self.open_at_or_after(opened.leased, statement, after(opened.position), deadline)
            .await
    }

    fn opening_deadline(&self) -> Timestamp {
        let now = self.context.clock.now();
        now + self.deadlines.run_until.since(now) / 2
    }

    async fn open_at_or_after(
        &self,
        leased: LeasedConnection,
        statement: &ClientStatement,
        floor: Option<Position>,
        until: Timestamp,
    ) -> Result<LeasedConnection, NotRun> {
        let server = Arc::clone(&leased.server);
        let (leased, result) = self
            .attempt(leased, statement, ExchangeMode::Statement(floor), until)
            .await;
        match (leased, result) {
            (Some(leased), Ok(answered)) if answered.answer.outcome.is_ok() => Ok(leased),
            (_, Ok(answered)) => {
                let class = answered.answer.error_class();
                Err(self.record_refusal(&server, class.unwrap_or(ErrorClass::Other)))
            }
            (_, Err(Failure::Refused(class))) => Err(self.record_refusal(&server, class)),
            (_, Err(Failure::Cold(no_leave))) => Err(no_leave.into()),
            (_, Err(Failure::Inexpressible(error))) => Err(error.into()),
            (_, Err(_)) => Err(NotRun::NoServer),
        }
    }
}
