//! Lets the faults of a schedule strike a running deployment and heals them again.

use std::collections::HashSet;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use spurpier::platform::wire::MachineState;
use spurpier_core::identity::DatabaseName;
use tokio::task::JoinSet;

use super::kind::FaultKind;
use super::schedule::{FaultSchedule, ScheduledFault};
use super::tally::FaultTally;
use crate::deployment::{
    Deployment, MachineResult, Machines, ProxyPlace, ServerPlace, proxy_machine, server_machine,
};
use crate::load::{SessionEnvironment, first_accepted_write};
use crate::oracle::{Fault, FaultScope, PlannedStop, StopTarget};
use crate::platform;
use crate::report::FailoverSample;

/// How long the first accepted write after a loss is waited for.
const GAP_PATIENCE: Duration = Duration::from_secs(30);
/// How long after a fault an election is still waited for.
const ELECTION_GRACE: Duration = Duration::from_secs(3);
/// The delay of calls to a slow platform, in milliseconds.
const SLOW_PLATFORM_MS: u64 = 800;

/// Strikes a deployment with faults.
#[derive(Debug)]
pub struct Injector<M> {
    deployment: Arc<Deployment<M>>,
    environment: SessionEnvironment,
    tally: Arc<FaultTally>,
    /// Machines that a fault or a stop holds now; no second one takes them.
    held: Mutex<HashSet<String>>,
}

impl<M: Machines> Injector<M> {
    /// An injector whose measurements of failover gaps write through `environment`.
    pub fn new(
        deployment: Arc<Deployment<M>>,
        environment: SessionEnvironment,
    ) -> (Arc<Self>, Arc<FaultTally>) {
        let tally = Arc::new(FaultTally::default());
        let injector = Injector {
            deployment,
            environment,
            tally: Arc::clone(&tally),
            held: Mutex::new(HashSet::new()),
        };
        (Arc::new(injector), tally)
    }

    /// Lets each fault strike at its time; returns when all of them have healed.
    ///
    /// A fault whose machine is held by another one, or that the machines cannot carry out, does
    /// not strike and is not counted.
    pub async fn run(self: Arc<Self>, schedule: &FaultSchedule) {
        let start = Instant::now();
        let mut tasks = JoinSet::new();
        for (number, fault) in schedule.faults().iter().copied().enumerate() {
            let injector = Arc::clone(&self);
            tasks.spawn(async move {
                tokio::time::sleep_until((start + fault.begins_after()).into()).await;
                if let Err(report) = injector.strike(&fault, number).await {
                    let trouble = format!("{} was not carried out: {report:?}", fault.kind);
                    injector.tally.add_trouble(trouble);
                }
            });
        }
        tasks.join_all().await;
    }

    async fn strike(&self, fault: &ScheduledFault, number: usize) -> MachineResult<()> {
        match fault.kind {
            FaultKind::PrimaryKilled | FaultKind::PrimaryIsolated | FaultKind::PrimaryFrozen => {
                self.lose_primary(fault, number).await
            }
            FaultKind::ReplicaBehind => {
                self.hold_back_replica(fault).await;
                Ok(())
            }
            FaultKind::ZoneCut | FaultKind::ZoneCutOutbound => {
                self.cut_zone(fault).await;
                Ok(())
            }
            FaultKind::PlatformDown
            | FaultKind::PlatformSlow
            | FaultKind::PlatformEffectWithoutAnswer => self.disturb_platform(fault).await,
            FaultKind::ProxyKilled => self.kill_proxy(fault).await,
            FaultKind::ProxyFrozen => self.freeze_proxy(fault).await,
            FaultKind::ProxyStopped => self.stop_proxy(fault).await,
            FaultKind::ServerStopped => self.stop_primary(fault).await,
            FaultKind::PolicyRace => {
                self.race_policies(number as u64).await;
                Ok(())
            }
        }
    }

    /// Loses the primary and, beside the fault, measures the gap and the election.
    async fn lose_primary(&self, fault: &ScheduledFault, number: usize) -> MachineResult<()> {
        let database = self.database(fault);
        let group = self.deployment.group(&database);
        let Some((primary, term)) = group.primary().await else {
            return Ok(());
        };
        let Some(_hold) = self.hold(primary.name.as_str()) else {
            return Ok(());
        };
        let name = primary.name.as_str();
        let lost_at = Instant::now();
        let mut cut = None;
        match fault.kind {
            FaultKind::PrimaryKilled => self.deployment.machines.kill(name).await?,
            FaultKind::PrimaryFrozen => self.deployment.machines.freeze(name).await?,
            _ => cut = Some(self.deployment.links.isolate_server(&primary.name)),
        }
        self.tally.add(fault.kind);
        let election_patience = fault.lasts() + ELECTION_GRACE;
        let measure = self.measure_gap(&database, term, lost_at, election_patience, number);
        let heal = async {
            tokio::time::sleep(fault.lasts()).await;
            let healed = match fault.kind {
                FaultKind::PrimaryKilled => self.deployment.start_server(&primary).await,
                FaultKind::PrimaryFrozen => self.deployment.machines.thaw(name).await,
                _ => {
                    if let Some(cut) = cut {
                        self.deployment.links.heal(cut);
                    }
                    Ok(())
                }
            };
            self.note_fault(fault, FaultScope::Server(name.to_owned()), lost_at);
            healed
        };
        let (healed, ()) = tokio::join!(heal, measure);
        healed
    }

    /// Adds a sample, unless the primary came back before the group elected another one.
    async fn measure_gap(
        &self,
        database: &DatabaseName,
        term: u64,
        lost_at: Instant,
        election_patience: Duration,
        number: usize,
    ) {
        let name = format!("gap{number}");
        let group = self.deployment.group(database);
        let (accepted, elected) = tokio::join!(
            first_accepted_write(&self.environment, database.as_str(), &name, GAP_PATIENCE),
            tokio::time::timeout(election_patience, group.wait_for_term_after(term)),
        );
        let Ok(Some(elected)) = elected else {
            return;
        };
        let since_loss = |moment: Instant| moment.saturating_duration_since(lost_at);
        self.tally.add_sample(FailoverSample {
            gap: accepted.map(since_loss),
            election: Some(since_loss(elected)),
        });
    }

    async fn hold_back_replica(&self, fault: &ScheduledFault) {
        let database = self.database(fault);
        let Some((primary, _)) = self.deployment.group(&database).primary().await else {
            return;
        };
        let servers = self.deployment.topology.group(&database);
        let replicas: Vec<&ServerPlace> = servers.filter(|one| one.name != primary.name).collect();
        let replica = replicas[fault.member % replicas.len()];
        let began = Instant::now();
        let links = &self.deployment.links;
        let cut = links.separate_servers(&primary.name, &replica.name);
        self.tally.add(fault.kind);
        tokio::time::sleep(fault.lasts()).await;
        links.heal(cut);
        let scope = FaultScope::Server(replica.name.as_str().to_owned());
        self.note_fault(fault, scope, began);
    }

    async fn cut_zone(&self, fault: &ScheduledFault) {
        let zones = &self.deployment.settings.zones;
        let zone = &zones[fault.zone % zones.len()].name;
        let only_outbound = fault.kind == FaultKind::ZoneCutOutbound;
        let began = Instant::now();
        let cut = self.deployment.links.cut_zone(zone, only_outbound);
        self.tally.add(fault.kind);
        tokio::time::sleep(fault.lasts()).await;
        self.deployment.links.heal(cut);
        self.note_fault(fault, FaultScope::Everything, began);
    }

    async fn disturb_platform(&self, fault: &ScheduledFault) -> MachineResult<()> {
        let Some(_hold) = self.hold("platform") else {
            return Ok(());
        };
        let settings = match fault.kind {
            FaultKind::PlatformDown => platform::FaultSettings::of(platform::FaultKind::Down, 0),
            FaultKind::PlatformSlow => {
                platform::FaultSettings::of(platform::FaultKind::Slow, SLOW_PLATFORM_MS)
            }
            _ => platform::FaultSettings::of(platform::FaultKind::EffectWithoutAnswer, 0),
        };
        let began = Instant::now();
        self.deployment.platform.set_faults(settings).await?;
        self.tally.add(fault.kind);
        tokio::time::sleep(fault.lasts()).await;
        let healthy = platform::FaultSettings::none();
        self.deployment.platform.set_faults(healthy).await?;
        self.note_fault(fault, FaultScope::Platform, began);
        Ok(())
    }

    async fn kill_proxy(&self, fault: &ScheduledFault) -> MachineResult<()> {
        let proxy = self.proxy(fault);
        let Some(_hold) = self.hold(proxy.name.as_str()) else {
            return Ok(());
        };
        let began = Instant::now();
        self.deployment.machines.kill(proxy.name.as_str()).await?;
        self.tally.add(fault.kind);
        tokio::time::sleep(fault.lasts()).await;
        self.deployment.start_proxy(proxy).await?;
        let scope = FaultScope::Proxy(proxy.name.as_str().to_owned());
        self.note_fault(fault, scope, began);
        Ok(())
    }

    async fn freeze_proxy(&self, fault: &ScheduledFault) -> MachineResult<()> {
        let proxy = self.proxy(fault);
        let name = proxy.name.as_str();
        let Some(_hold) = self.hold(name) else {
            return Ok(());
        };
        let began = Instant::now();
        self.deployment.machines.freeze(name).await?;
        self.tally.add(fault.kind);
        tokio::time::sleep(fault.lasts()).await;
        self.deployment.machines.thaw(name).await?;
        self.note_fault(fault, FaultScope::Proxy(name.to_owned()), began);
        Ok(())
    }

    async fn stop_proxy(&self, fault: &ScheduledFault) -> MachineResult<()> {
        let proxy = self.proxy(fault);
        let name = proxy.name.as_str();
        let Some(_hold) = self.hold(name) else {
            return Ok(());
        };
        let machine = proxy_machine(proxy, MachineState::Leaving);
        self.deployment.platform.put_machine(&machine).await?;
        let began = Instant::now();
        self.tally.add(fault.kind);
        self.deployment.machines.stop(name).await?;
        self.note_stop(StopTarget::Proxy(name.to_owned()), began);
        self.deployment.platform.remove_machine(name).await?;
        tokio::time::sleep(fault.lasts()).await;
        self.deployment.start_proxy(proxy).await
    }

    async fn stop_primary(&self, fault: &ScheduledFault) -> MachineResult<()> {
        let group = self.deployment.group(&self.database(fault));
        let Some((primary, _)) = group.primary().await else {
            return Ok(());
        };
        let name = primary.name.as_str();
        let Some(_hold) = self.hold(name) else {
            return Ok(());
        };
        let machine = server_machine(&primary, MachineState::Leaving);
        self.deployment.platform.put_machine(&machine).await?;
        let began = Instant::now();
        self.tally.add(fault.kind);
        self.deployment.machines.stop(name).await?;
        self.note_stop(StopTarget::Server(name.to_owned()), began);
        tokio::time::sleep(fault.lasts()).await;
        self.deployment.start_server(&primary).await
    }

    async fn race_policies(&self, number: u64) {
        if self.deployment.operator.race(number).await {
            self.tally.add(FaultKind::PolicyRace);
        }
    }

    fn database(&self, fault: &ScheduledFault) -> DatabaseName {
        let names = &self.deployment.settings.databases.names;
        names[fault.database % names.len()].clone()
    }

    fn proxy(&self, fault: &ScheduledFault) -> &ProxyPlace {
        let proxies = &self.deployment.topology.proxies;
        &proxies[fault.member % proxies.len()]
    }

    fn note_fault(&self, fault: &ScheduledFault, scope: FaultScope, began: Instant) {
        let recorder = &self.deployment.recorder;
        recorder.fault(Fault {
            kind: fault.kind.as_str().to_owned(),
            scope,
            began_at: recorder.at(began),
            ended_at: Some(recorder.now()),
        });
    }

    fn note_stop(&self, target: StopTarget, began: Instant) {
        let recorder = &self.deployment.recorder;
        recorder.planned_stop(PlannedStop {
            target,
            began_at: recorder.at(began),
            ended_at: Some(recorder.now()),
        });
    }

    /// Takes a machine for one fault; none when another one holds it.
    fn hold(&self, name: &str) -> Option<Hold<'_>> {
        let mut held = self.held.lock().unwrap_or_else(PoisonError::into_inner);
        held.insert(name.to_owned()).then(|| Hold {
            held: &self.held,
            name: name.to_owned(),
        })
    }
}

/// A machine taken for one fault; given back when dropped.
struct Hold<'injector> {
    held: &'injector Mutex<HashSet<String>>,
    name: String,
}

impl Drop for Hold<'_> {
    fn drop(&mut self) {
        let mut held = self.held.lock().unwrap_or_else(PoisonError::into_inner);
        held.remove(&self.name);
    }
}
