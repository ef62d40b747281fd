//! Statement execution: statements that the session answers itself, and those that it runs as units
//! of work.

use std::sync::Arc;

use spurpier_core::leader::SessionCommit;
use spurpier_core::position::Position;
use tokio::time::Instant;

use super::state::{Prepared, SessionState};
use crate::forward::{RoutedTransaction, run_single};
use crate::ports::{Answer, Effect, ErrorClass, Request, Statement, TransactionState};
use crate::quota::{self, OperationPermit, Refused};
use crate::tenant::AdmissionError;
use crate::unit::{ClientStatement, Deadlines, NotRun, PreparedExecution, Unit, UnitResult};

impl SessionState {
    /// Runs a statement, records its duration in the metrics and returns its answer.
    pub async fn run(&mut self, request: Request) -> Answer {
        let started = Instant::now();
        let state = self.transaction_state();
        let answer = if state == TransactionState::Failed {
            self.run_in_failed(request).await
        } else {
            self.run_statement(request, state).await
        };
        self.idle_since = Instant::now();
        let taken = self.idle_since - started;
        self.context.metrics.count_statement(&answer, taken);
        answer
    }

    /// In a failed transaction, only commit and rollback are accepted; both roll it back.
    async fn run_in_failed(&mut self, request: Request) -> Answer {
        match request.statement {
            Statement::Rollback => self.roll_back().await,
            Statement::Commit => {
                self.end().await;
                let text = "the transaction had failed";
                Answer::error(ErrorClass::Aborted, text, TransactionState::Idle)
            }
            _ => {
                let text = "the transaction has failed";
                Answer::error(ErrorClass::Malformed, text, TransactionState::Failed)
            }
        }
    }

    async fn run_statement(&mut self, request: Request, state: TransactionState) -> Answer {
        let Request {
            id,
            text,
            statement,
        } = request;
        match statement {
            Statement::Set { name, value } => {
                if self.set_value(name, value) {
                    Answer::done(state)
                } else {
                    let text = "the session's values are too large";
                    Answer::error(ErrorClass::Malformed, text, state)
                }
            }
            Statement::Prepare {
                name,
                effect,
                shape,
            } => {
                self.prepared.insert(name, Prepared { effect, shape });
                Answer::done(state)
            }
            Statement::Deallocate { name } => match self.prepared.remove(&name) {
                Some(_) => Answer::done(state),
                None => unknown_name(state),
            },
            Statement::Execute { name, arguments } => match self.prepared.get(&name) {
                Some(prepared) => {
                    let prepared = PreparedExecution {
                        effect: prepared.effect,
                        shape: prepared.shape.clone(),
                        arguments,
                    };
                    let effect = prepared.effect;
                    self.run_work(ClientStatement::execution(id, text, prepared), effect)
                        .await
                }
                None => unknown_name(state),
            },
            Statement::Run(effect) => {
                self.run_work(ClientStatement::plain(id, text), effect)
                    .await
            }
            Statement::Begin { read_only } if state == TransactionState::Idle => {
                self.begin(ClientStatement::plain(id, text), read_only)
                    .await
            }
            Statement::Commit if state == TransactionState::Open => {
                self.commit(ClientStatement::plain(id, text)).await
            }
            Statement::Rollback if state == TransactionState::Open => self.roll_back().await,
            Statement::Begin { .. }
            | Statement::Commit
            | Statement::Rollback
            | Statement::Malformed => Answer::error(ErrorClass::Malformed, "not taken here", state),
        }
    }

    async fn run_work(&mut self, work: ClientStatement, effect: Effect) -> Answer {
        if let Some(transaction) = &mut self.transaction {
            let clock = &self.context.clock;
            transaction.prepare(&self.values, |unit| {
                Deadlines::for_route(&unit.route, clock)
            });
            return transaction.run(&work, effect).await;
        }
        let unit = match self.unit() {
            Ok(unit) => unit,
            Err(denied) => return Answer::denied(denied),
        };
        let permit = match self.acquire_permit(&unit, &work).await {
            Ok(permit) => permit,
            Err(answer) => return answer,
        };
        let done = run_single(&unit, &work, effect).await;
        self.return_unused_permit(permit, &done.answer);
        self.settle(&unit.group.name, done)
    }

    async fn begin(&mut self, work: ClientStatement, read_only: bool) -> Answer {
        let unit = match self.unit() {
            Ok(unit) => unit,
            Err(denied) => return Answer::denied(denied),
        };
        let permit = match self.acquire_permit(&unit, &work).await {
            Ok(permit) => permit,
            Err(answer) => return answer,
        };
        let (answer, transaction) = RoutedTransaction::begin(unit, &work, read_only).await;
        self.return_unused_permit(permit, &answer);
        self.transaction = transaction;
        answer
    }

    /// Acquires the permit to start an operation if the tenant has a rate limit; otherwise returns
    /// `None`. The error is the answer to send if the permit is refused.
    async fn acquire_permit(
        &self,
        unit: &Unit,
        work: &ClientStatement,
    ) -> Result<Option<OperationPermit>, Answer> {
        let Some(tenant) = &unit.caller.tenant else {
            return Ok(None);
        };
        let in_force = self.context.in_force();
        let Some(quota) = in_force.and_then(|known| known.quota(tenant)) else {
            return Ok(None);
        };
        let until = unit.deadlines.wait_until;
        let taken = quota::acquire_permit(&self.context, tenant, quota, until).await;
        let refuse = |refused: Refused| unit.refuse(&work.id, NotRun::from(refused));
        taken.map(Some).map_err(refuse)
    }

    /// Returns the permit to the quota if the operation did not run.
    fn return_unused_permit(&self, permit: Option<OperationPermit>, answer: &Answer) {
        let is_not_run = answer.error_class().is_some_and(ErrorClass::is_not_run);
        if let Some(permit) = permit.filter(|_| is_not_run) {
            quota::return_permit(&self.context, permit);
        }
    }

    async fn commit(&mut self, work: ClientStatement) -> Answer {
        let Some(mut transaction) = self.transaction.take() else {
            return Answer::error(
                ErrorClass::Malformed,
                "no transaction",
                TransactionState::Idle,
            );
        };
        let clock = &self.context.clock;
        transaction.prepare(&self.values, |unit| {
            Deadlines::for_route(&unit.route, clock)
        });
        let group = transaction.group_name();
        let done = transaction.commit(&work).await;
        self.settle(&group, done)
    }

    async fn roll_back(&mut self) -> Answer {
        self.end().await;
        Answer::done(TransactionState::Idle)
    }

    /// Builds the unit of work for a statement outside a transaction. Admission is checked against
    /// the current configuration, because the route or key may have been removed since the session
    /// was opened.
    fn unit(&self) -> Result<Unit, AdmissionError> {
        let in_force = self
            .context
            .in_force()
            .ok_or(AdmissionError::UnknownDatabase)?;
        let admitted = in_force.admit(&self.client.database, self.client.key)?;
        let route = admitted.route;
        Ok(Unit {
            context: Arc::clone(&self.context),
            group: self.context.group(&route.group),
            caller: admitted.caller,
            allowed_regions: admitted.allowed_regions,
            values: self.values.clone(),
            own_commit: self.own_commits.last_in(&route.group),
            deadlines: Deadlines::for_route(&route, &self.context.clock),
            route,
            configuration: in_force.configuration.version,
        })
    }

    /// Records the position of a unit's commit, if any, and returns its answer.
    fn settle(&mut self, group: &str, done: UnitResult) -> Answer {
        if let Some(position) = done.committed {
            self.note_commit(group, position);
        }
        done.answer
    }

    fn note_commit(&mut self, group: &str, position: Position) {
        let commit = SessionCommit {
            position,
            acknowledged_at: self.context.clock.now(),
        };
        self.own_commits.record(group, commit);
    }
}

fn unknown_name(state: TransactionState) -> Answer {
    Answer::error(ErrorClass::UnknownName, "no such name", state)
}
