//! Open-loop load: requests arrive on a schedule, whether or not earlier ones have ended.

use std::time::{Duration, Instant};

use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use tokio::sync::mpsc;
use tokio::task::JoinSet;

use super::kind::RequestKind;
use super::session::{ClientSession, RequestResult, SessionEnvironment, TokenlessSessions};
use super::summary::LoadSummary;
use crate::deployment::LoadSettings;

/// Separates the seeds of sessions from that of arrivals.
const SESSION_SEED_STEP: u64 = 0x9E37_79B9_7F4A_7C15;

/// The load of one run.
#[derive(Debug, Clone)]
pub struct LoadPlan {
    /// Rates, mix and sessions.
    pub settings: LoadSettings,
    /// The databases, over which sessions are spread evenly.
    pub databases: Vec<String>,
    /// How long requests arrive.
    pub duration: Duration,
    /// The seed of all choices.
    pub seed: u64,
    /// If given, every second session carries no position token.
    pub tokenless: Option<TokenlessSessions>,
}

/// Runs the load and gives its counts; ends when every request has ended.
///
/// `on_result` is told of each request that has ended.
pub async fn run_load(
    plan: &LoadPlan,
    environment: &SessionEnvironment,
    mut on_result: impl FnMut(&RequestResult),
) -> LoadSummary {
    let (idle_sender, mut idle) = mpsc::channel(plan.settings.sessions.max(1));
    for session in new_sessions(plan, environment) {
        // The channel has room for all sessions.
        let _ = idle_sender.try_send(session);
    }
    let mut summary = LoadSummary::default();
    let mut running: JoinSet<RequestResult> = JoinSet::new();
    let mut arrivals = Arrivals::new(plan);
    while let Some((kind, arrival)) = arrivals.next() {
        tokio::time::sleep_until(arrival.into()).await;
        let Some(mut session) = idle.recv().await else {
            break;
        };
        let environment = environment.clone();
        let idle_sender = idle_sender.clone();
        running.spawn(async move {
            let result = session.perform(&environment, kind, arrival).await;
            let _ = idle_sender.try_send(session);
            result
        });
        while let Some(ended) = running.try_join_next() {
            note(ended.ok(), &mut summary, &mut on_result);
        }
    }
    while let Some(ended) = running.join_next().await {
        note(ended.ok(), &mut summary, &mut on_result);
    }
    summary
}

fn note(
    result: Option<RequestResult>,
    summary: &mut LoadSummary,
    on_result: &mut impl FnMut(&RequestResult),
) {
    if let Some(result) = result {
        summary.add(&result);
        on_result(&result);
    }
}

fn new_sessions(plan: &LoadPlan, environment: &SessionEnvironment) -> Vec<ClientSession> {
    let numbers = 0..plan.settings.sessions;
    let new_session = |number: usize| {
        let database = plan.databases[number % plan.databases.len()].clone();
        let proxy = number % environment.proxies.len();
        let seed = plan.seed ^ (number as u64 + 1).wrapping_mul(SESSION_SEED_STEP);
        let session = ClientSession::new(format!("s{number}"), database, proxy, seed);
        match &plan.tokenless {
            Some(tokenless) if number % 2 == 1 => session.without_token(tokenless.clone()),
            _ => session,
        }
    };
    numbers.map(new_session).collect()
}

/// The schedule of arrivals: exponential gaps with the mean that the rate asks for.
struct Arrivals<'plan> {
    plan: &'plan LoadPlan,
    random: SmallRng,
    start: Instant,
    offset: Duration,
}

impl<'plan> Arrivals<'plan> {
    fn new(plan: &'plan LoadPlan) -> Self {
        Arrivals {
            plan,
            random: SmallRng::seed_from_u64(plan.seed),
            start: Instant::now(),
            offset: Duration::ZERO,
        }
    }

    fn next(&mut self) -> Option<(RequestKind, Instant)> {
        let mean = 1.0 / self.plan.settings.requests_per_second;
        let uniform: f64 = self.random.random();
        self.offset += Duration::from_secs_f64(-(1.0 - uniform).ln() * mean);
        if self.offset > self.plan.duration {
            return None;
        }
        let kind = self.plan.settings.mix.draw(&mut self.random);
        Some((kind, self.start + self.offset))
    }
}
