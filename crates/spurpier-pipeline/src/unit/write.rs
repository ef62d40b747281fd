//! Writes outside a transaction.
//!
//! A write is sent once, and retried only after the server has confirmed that it did not run.

use std::sync::Arc;

use super::attempt::{ExchangeMode, Failure, TimedAnswer};
use super::statement::ClientStatement;
use super::{NotRun, Unit, UnitResult};
use crate::ports::ErrorClass;
use crate::server::Server;

/// The number of attempts after which a leader's refusal is returned to the client.
const MAX_ATTEMPTS: usize = 3;

impl Unit {
    /// Runs a write on the leader.
    pub async fn write(&self, statement: &ClientStatement) -> UnitResult {
        self.context.record_first_attempt();
        let mut refused = NotRun::NoLeader;
        for _ in 0..MAX_ATTEMPTS {
            let leased = match self.acquire_leader(self.deadlines.wait_until).await {
                Ok(leased) => leased,
                Err(reason) => return UnitResult::answer(self.refuse(&statement.id, reason)),
            };
            let server = Arc::clone(&leased.server);
            let mode = ExchangeMode::Statement(None);
            let (_, result) = self
                .attempt(leased, statement, mode, self.deadlines.run_until)
                .await;
            let class = match result {
                Ok(TimedAnswer { answer, sent_at }) => match answer.error_class() {
                    None if !self.context.may_use_as_leader(&self.group, &server) => {
                        let unknown_outcome = self.unknown_outcome(
                            &statement.id,
                            ErrorClass::InDoubt,
                            &server.incarnation,
                        );
                        return UnitResult::answer(unknown_outcome);
                    }
                    None if !self.record_proof(&server, sent_at, answer.position) => {
                        let unknown_outcome = self.unknown_outcome(
                            &statement.id,
                            ErrorClass::InDoubt,
                            &server.incarnation,
                        );
                        return UnitResult::answer(unknown_outcome);
                    }
                    None => {
                        let committed = answer.position;
                        return UnitResult { answer, committed };
                    }
                    Some(class) if class.is_not_run() => class,
                    Some(_) => return UnitResult::answer(answer),
                },
                Err(Failure::Cold(no_leave)) => {
                    return UnitResult::answer(self.refuse(&statement.id, no_leave.into()));
                }
                Err(Failure::Inexpressible(error)) => {
                    return UnitResult::answer(self.refuse(&statement.id, error.into()));
                }
                Err(Failure::Refused(class)) => class,
                Err(Failure::NotSent) => ErrorClass::Misrouted,
                Err(Failure::Broken | Failure::Silent) => {
                    let unknown_outcome = self.unknown_outcome(
                        &statement.id,
                        ErrorClass::InDoubt,
                        &server.incarnation,
                    );
                    return UnitResult::answer(unknown_outcome);
                }
            };
            refused = self.record_refusal(&server, class);
            if self.context.clock.now() >= self.deadlines.wait_until || !self.context.may_retry() {
                break;
            }
            self.record_retry(&statement.id, &server.incarnation, "refused");
        }
        UnitResult::answer(self.refuse(&statement.id, refused))
    }

    /// Records a server's confirmation that a statement did not run, and returns the reason.
    pub(super) fn record_refusal(&self, server: &Server, class: ErrorClass) -> NotRun {
        let now = self.context.clock.now();
        match class {
            ErrorClass::ReadOnly => {
                self.group.record_refusal(server, now);
                NotRun::NoLeader
            }
            ErrorClass::Busy | ErrorClass::TooManyConnections => {
                server.health().avoid(now);
                NotRun::ServerBusy
            }
            ErrorClass::Lagging => NotRun::NoFreshServer,
            _ => {
                server.health().avoid(now);
                NotRun::NoServer
            }
        }
    }
}
