//! A rehearsal: load and faults on a running deployment, and the report of them.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use error_stack::{Report as ErrorReport, ResultExt};

use crate::deployment::{Deployment, DeploymentError, Machines, watch_policies};
use crate::faults::{FaultSchedule, FaultTally, Injector};
use crate::load::{LoadPlan, LoadSummary, RequestResult, TokenlessSessions, run_load};
use crate::oracle::{self, Guarantee};
use crate::report::{FailoverReport, Report, ViolationCounts};

/// What is rehearsed on a deployment.
#[derive(Debug, Clone)]
pub struct RehearsalPlan {
    /// How long requests arrive.
    pub duration: Duration,
    /// The seed of the load.
    pub seed: u64,
    /// The faults.
    pub schedule: FaultSchedule,
    /// If given, every second session carries no position token.
    pub tokenless: Option<TokenlessSessions>,
    /// Whether the report lists the faults that struck.
    pub list_faults: bool,
}

/// The report, and the first explanations of each violated guarantee.
#[derive(Debug, Clone)]
pub struct RehearsalOutcome {
    /// The report.
    pub report: Report,
    /// What the oracle says of violations, and which faults were not carried out.
    pub explanations: Vec<String>,
    /// How many single obligations of each guarantee were checked, by its name.
    pub checked: Vec<(&'static str, u64)>,
    /// Failed attempts by their code.
    pub failed_attempts: BTreeMap<String, u64>,
}

/// Runs load and faults, waits until everything has healed, and checks the history.
///
/// `on_result` is told of each request that has ended.
///
/// # Errors
///
/// When the survivors cannot be read, since then nothing can be said of lasting effects.
pub async fn rehearse<M: Machines>(
    deployment: Arc<Deployment<M>>,
    plan: &RehearsalPlan,
    on_result: impl FnMut(&RequestResult),
) -> Result<RehearsalOutcome, ErrorReport<DeploymentError>> {
    let settings = &deployment.settings;
    let environment = deployment.session_environment();
    let load = LoadPlan {
        settings: settings.load,
        databases: names(&deployment),
        duration: plan.duration,
        seed: plan.seed,
        tokenless: plan.tokenless.clone(),
    };
    let topology = Arc::new(deployment.topology.clone());
    let watch = tokio::spawn(watch_policies(topology, deployment.recorder.clone()));
    let (injector, tally) = Injector::new(Arc::clone(&deployment), environment.clone());
    let started = Instant::now();
    let (summary, ()) = tokio::join!(
        run_load(&load, &environment, on_result),
        injector.run(&plan.schedule),
    );
    let seconds = started.elapsed().as_secs_f64();
    watch.abort();
    deployment
        .record_survivors()
        .await
        .attach("after the load and all faults had ended")?;
    Ok(conclude(&deployment, plan, &summary, &tally, seconds))
}

fn names<M>(deployment: &Deployment<M>) -> Vec<String> {
    let databases = deployment.settings.databases.names.iter();
    databases.map(|name| name.as_str().to_owned()).collect()
}

fn conclude<M>(
    deployment: &Deployment<M>,
    plan: &RehearsalPlan,
    summary: &LoadSummary,
    tally: &FaultTally,
    seconds: f64,
) -> RehearsalOutcome {
    let found = oracle::check(&deployment.recorder.snapshot());
    let mut violations = ViolationCounts::none();
    violations.add(&found);
    let report = Report {
        deployment: deployment.settings.name.clone(),
        seed: plan.seed,
        seconds,
        requests: summary.requests,
        reads: summary.reads,
        replica_read_share: summary.reads.replica_share(),
        failover: FailoverReport::of(&tally.samples()),
        latency_ms: summary.latency(),
        violations,
        faults: plan.list_faults.then(|| tally.by_name()),
    };
    let mut explanations = explanations(&found);
    explanations.extend(tally.troubles());
    RehearsalOutcome {
        report,
        explanations,
        checked: Guarantee::ALL
            .iter()
            .map(|guarantee| (guarantee.as_str(), found.checked(*guarantee)))
            .collect(),
        failed_attempts: summary.failed_attempts.clone(),
    }
}

fn explanations(found: &oracle::Violations) -> Vec<String> {
    let guarantees = Guarantee::ALL.into_iter();
    guarantees
        .flat_map(|guarantee| {
            let texts = found.explanations(guarantee).iter();
            texts.map(move |text| format!("{}: {text}", guarantee.as_str()))
        })
        .collect()
}
