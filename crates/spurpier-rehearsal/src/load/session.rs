//! A client session: it makes one request at a time, retries, and roams between proxies.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};

use super::attempt::{outcome_of, run_steps};
use super::connection::{ClientConnection, ConnectionIdentity};
use super::kind::RequestKind;
use super::outcome::Failure;
use super::plan::{MARKER_SETTING, PlanContext, RequestPlan, plan_request};
use super::recorder::Recorder;
use crate::oracle::{Outcome, Unit};

/// How long a client waits for one statement's answer.
const STATEMENT_PATIENCE: Duration = Duration::from_secs(15);
/// How long a client waits for a connection to open.
const CONNECT_PATIENCE: Duration = Duration::from_secs(5);
/// The wait before a request with an unknown outcome is sent again.
const PAUSE_AFTER_UNKNOWN: Duration = Duration::from_millis(50);

/// A proxy that clients may use.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ProxyEndpoint {
    /// Its name.
    pub name: String,
    /// The address for clients.
    pub address: SocketAddr,
}

/// What all sessions of a run share.
#[derive(Debug, Clone)]
pub struct SessionEnvironment {
    /// The proxies.
    pub proxies: Vec<ProxyEndpoint>,
    /// The chance that a session goes on at another proxy after a request.
    pub roam_share: f64,
    /// How long a request is retried.
    pub retry_for: Duration,
    /// Where the history goes.
    pub recorder: Recorder,
}

/// How a request ended after all its attempts.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RequestResult {
    /// The kind.
    pub kind: RequestKind,
    /// The outcome over all attempts.
    pub outcome: Outcome,
    /// Whether a replica answered, where that is known.
    pub by_replica: Option<bool>,
    /// From arrival to the final answer.
    pub latency: Duration,
    /// The codes of the attempts that failed, in their order.
    pub failure_codes: Vec<String>,
}

/// Sessions of clients that do not carry the position token.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct TokenlessSessions {
    /// The class under which they connect.
    pub class: Option<String>,
}

/// A client session.
#[derive(Debug)]
pub struct ClientSession {
    name: String,
    database: String,
    position: Option<String>,
    /// Whether the session gives up its position at the end of each connection, and the class
    /// under which it then connects.
    without_token: Option<TokenlessSessions>,
    writes: u64,
    proxy: usize,
    connection: Option<ClientConnection>,
    /// The codes of the failed attempts of the request that runs.
    failure_codes: Vec<String>,
    random: SmallRng,
}

impl ClientSession {
    /// A session that has made no request yet; `seed` fixes its choices.
    pub fn new(name: String, database: String, proxy: usize, seed: u64) -> Self {
        ClientSession {
            name,
            database,
            position: None,
            without_token: None,
            writes: 0,
            proxy,
            connection: None,
            failure_codes: Vec::new(),
            random: SmallRng::seed_from_u64(seed),
        }
    }

    /// The same session without a position token.
    pub fn without_token(mut self, tokenless: TokenlessSessions) -> Self {
        self.without_token = Some(tokenless);
        self
    }

    /// Makes one request, with retries, and perhaps moves to another proxy afterwards.
    pub async fn perform(
        &mut self,
        environment: &SessionEnvironment,
        kind: RequestKind,
        arrived: Instant,
    ) -> RequestResult {
        let (outcome, by_replica) = self.attempt_until(environment, kind, arrived).await;
        if !kind.is_read() && outcome == Outcome::Done {
            self.writes += 1;
        }
        if self.random.random_bool(environment.roam_share) {
            self.move_on(environment);
        }
        RequestResult {
            kind,
            outcome,
            by_replica,
            latency: arrived.elapsed(),
            failure_codes: std::mem::take(&mut self.failure_codes),
        }
    }

    async fn attempt_until(
        &mut self,
        environment: &SessionEnvironment,
        kind: RequestKind,
        arrived: Instant,
    ) -> (Outcome, Option<bool>) {
        let deadline = arrived + environment.retry_for;
        let mut plan = self.plan(environment, kind);
        let mut given_up = Outcome::NotRun;
        loop {
            let attempt = self.attempt(environment, &plan).await;
            if let Err(failure) = &attempt {
                self.failure_codes.push(failure.code().to_owned());
            }
            let pause = match attempt {
                Ok(by_replica) => return (Outcome::Done, by_replica),
                Err(Failure::DoneWithoutAnswer { .. }) => return (Outcome::Done, None),
                Err(Failure::NotRun { retry_after, .. }) => retry_after,
                Err(Failure::Unknown { .. }) => {
                    given_up = Outcome::Unknown;
                    PAUSE_AFTER_UNKNOWN
                }
            };
            let may_go_on = given_up == Outcome::NotRun || kind.may_repeat();
            if !may_go_on || Instant::now() + pause > deadline {
                return (given_up, None);
            }
            tokio::time::sleep(pause).await;
            if plan.request_key.is_none() {
                // Only a keyed request may be sent again as it is.
                plan = self.plan(environment, kind);
            }
        }
    }

    fn plan(&mut self, environment: &SessionEnvironment, kind: RequestKind) -> RequestPlan {
        let context = PlanContext {
            session: &self.name,
            session_writes: self.writes,
            unit: environment.recorder.next_unit(),
        };
        plan_request(kind, &context, &mut self.random)
    }

    async fn attempt(
        &mut self,
        environment: &SessionEnvironment,
        plan: &RequestPlan,
    ) -> Result<Option<bool>, Failure> {
        if let Err(failure) = self.connect(environment).await {
            self.move_on(environment);
            return Err(failure);
        }
        let mut unit = self.new_unit(environment, plan);
        let result = match &self.connection {
            Some(connection) => {
                let result = run_steps(connection, plan, STATEMENT_PATIENCE, &mut unit).await;
                self.position = connection.position().or(self.position.take());
                result
            }
            None => Err(Failure::not_connected()),
        };
        self.note(environment, unit, &result);
        if matches!(result, Err(Failure::Unknown { .. })) {
            self.move_on(environment);
        }
        result
    }

    fn new_unit(&self, environment: &SessionEnvironment, plan: &RequestPlan) -> Unit {
        Unit {
            unit: environment.recorder.next_unit(),
            session: self.name.clone(),
            proxy: environment.proxies[self.proxy].name.clone(),
            database: self.database.clone(),
            request_key: plan.request_key.clone(),
            invoked_at: environment.recorder.now(),
            answered_at: None,
            outcome: Outcome::Unknown,
            statements_answered: 0,
            writes: plan.writes.clone(),
            reads: Vec::new(),
            answers: Vec::new(),
            settings: Vec::new(),
        }
    }

    fn note(
        &self,
        environment: &SessionEnvironment,
        mut unit: Unit,
        result: &Result<Option<bool>, Failure>,
    ) {
        unit.outcome = outcome_of(result);
        if unit.outcome != Outcome::Unknown {
            unit.answered_at = Some(environment.recorder.now());
        }
        if matches!(result, Err(Failure::DoneWithoutAnswer { .. })) {
            // The client was told in so many words that this answer is not given.
            unit.answers.retain(|answer| answer.complete);
        }
        environment.recorder.unit(unit);
    }

    async fn connect(&mut self, environment: &SessionEnvironment) -> Result<(), Failure> {
        let usable = self
            .connection
            .as_ref()
            .is_some_and(|connection| !connection.is_closed());
        if usable {
            return Ok(());
        }
        let identity = ConnectionIdentity {
            session: self.name.clone(),
            database: self.database.clone(),
            position: match self.without_token {
                Some(_) => None,
                None => self.position.clone(),
            },
            class: self
                .without_token
                .as_ref()
                .and_then(|tokenless| tokenless.class.clone()),
        };
        let address = environment.proxies[self.proxy].address;
        let connection = ClientConnection::open(address, &identity, CONNECT_PATIENCE).await?;
        let marker = format!("SET {MARKER_SETTING} = '{}'", self.name);
        // The request itself has not been sent, whatever became of the setting.
        connection
            .run(&marker, CONNECT_PATIENCE)
            .await
            .map_err(|_| Failure::not_connected())?;
        self.connection = Some(connection);
        Ok(())
    }

    /// Goes on at another proxy, on a new connection.
    fn move_on(&mut self, environment: &SessionEnvironment) {
        self.connection = None;
        let others = environment.proxies.len().saturating_sub(1);
        if others == 0 {
            return;
        }
        let step = 1 + self.random.random_range(0..others);
        self.proxy = (self.proxy + step) % environment.proxies.len();
    }
}
