//! Figures and checks at the end of a run.

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use spurpier_core::identity::DatabaseName;
use spurpier_core::time::Timestamp;

use super::group_probing::{bytes_by_node, home_table};
use super::measurements::{Role, quantile_seconds};
use super::node::MachineNumber;
use super::platform::database_name;
use super::report::{ByteRates, HollowReport, SpreadTimes};
use super::simulation::Simulation;

/// What is taken at the end of the measured time.
pub(super) struct WindowFigures {
    bytes: ByteRates,
    gossip_bytes_mean: f64,
    memory: u64,
    control_memory: u64,
    homes_memory: u64,
    live: usize,
    homes_sampled: usize,
}

impl Simulation {
    /// Notes that a version came into force on a node.
    pub(super) fn installed(&mut self, number: MachineNumber, version: u64) {
        let now = self.now;
        let Some(node) = self.cluster.node_mut(number) else {
            return;
        };
        let before = node.version;
        node.version = version;
        let started_at = node.started_at;
        let disturbed_until = node
            .disturbed_until
            .max(self.zone_disturbed_until[node.zone]);
        let caught_up = node.catching_up_to.is_some_and(|head| version >= head);
        if caught_up {
            node.catching_up_to = None;
            let waited = now.since(started_at).as_millis() as u64;
            self.measurements.join_times.saturating_record(waited);
        }
        if version <= before {
            self.measurements
                .violation(|| format!("version {version} came after {before}"));
        }
        for installed in before + 1..=version {
            self.record_spread(installed, started_at, disturbed_until);
        }
    }

    fn record_spread(&mut self, version: u64, started_at: Timestamp, disturbed: Timestamp) {
        let Some(published_at) = self.platform.published_at(version) else {
            return;
        };
        if published_at < started_at {
            return;
        }
        let waited = self.now.since(published_at).as_millis() as u64;
        self.measurements.spread_all.saturating_record(waited);
        if published_at >= disturbed {
            self.measurements.spread_connected.saturating_record(waited);
        }
    }

    /// Takes the figures of the measured time.
    pub(super) fn figures(&self) -> WindowFigures {
        let seconds = self.scenario.seconds.max(1) as f64;
        let (counts, homes_per_database) = &self.group_probing;
        let modelled = bytes_by_node(counts, *homes_per_database, &self.scenario.group_probing);
        let mut rates = Vec::new();
        let mut gossip_sum = 0.0;
        for node in self.cluster.nodes() {
            let probing = modelled.get(&node.identity.key()).copied();
            let gossip = node.wire_bytes as f64 / seconds;
            gossip_sum += gossip;
            rates.push(gossip + probing.unwrap_or_default());
        }
        let live = rates.len();
        let (control_memory, homes_memory, groups_memory, homes_sampled) = self.memory();
        WindowFigures {
            bytes: byte_rates(rates),
            gossip_bytes_mean: gossip_sum / live.max(1) as f64,
            memory: control_memory + homes_memory + groups_memory,
            control_memory,
            homes_memory,
            live,
            homes_sampled,
        }
    }

    /// The mean bytes of the sampled nodes: control state, homes, group views; and their number.
    fn memory(&self) -> (u64, u64, u64, usize) {
        let mut control = 0;
        let mut homes = 0;
        let mut groups = 0;
        let mut sampled = 0;
        for node in self.cluster.nodes() {
            let Some(table) = &node.homes else {
                continue;
            };
            sampled += 1;
            control += node.control.memory_bytes();
            homes += table.memory_bytes();
            let probing = self.group_probing.0.get(&node.identity.key());
            groups += probing.copied().unwrap_or_default().memory_bytes();
        }
        let mean = |sum: usize| (sum / sampled.max(1)) as u64;
        (mean(control), mean(homes), mean(groups), sampled)
    }

    /// Checks what must hold when the run has come to rest.
    pub(super) fn verify(&mut self) {
        let head = self.platform.head();
        let digest = self.platform.document().digest();
        let live = self.cluster.live().len();
        let mut views: HashMap<u64, usize> = HashMap::new();
        let mut breaches = Vec::new();
        for node in self.cluster.nodes() {
            let name = &node.identity.name;
            let document = node.control.distribution().document();
            if document.version() != head || document.digest() != digest {
                let version = document.version();
                breaches.push(format!("{name} has version {version}, not {head}"));
            }
            let known = node.control.membership().members().len() + 1;
            if known != live {
                breaches.push(format!("{name} knows {known} nodes of {live}"));
            }
            *views
                .entry(node.control.membership().view_digest())
                .or_default() += 1;
        }
        if views.len() > 1 {
            breaches.push(format!("{} different views of the members", views.len()));
        }
        breaches.extend(self.compare_homes());
        for breach in breaches {
            self.measurements.violation(|| breach);
        }
    }

    /// Compares homes that followed all changes with homes computed anew.
    fn compare_homes(&self) -> Vec<String> {
        let fresh = home_table(self.options.databases, &self.cluster.identities());
        let mut breaches = Vec::new();
        for node in self.cluster.nodes() {
            let Some(table) = &node.homes else {
                continue;
            };
            let differing = (0..self.options.databases)
                .map(|number| DatabaseName::from(database_name(number)))
                .filter(|database| table.homes_of(database) != fresh.homes_of(database))
                .count();
            if differing > 0 {
                let name = &node.identity.name;
                breaches.push(format!("{name} has other homes for {differing} databases"));
            }
        }
        breaches
    }

    /// Makes the report.
    pub(super) fn report(&self, figures: WindowFigures) -> HollowReport {
        let requests = self.platform.requests(self.window.0, self.window.1);
        let seconds = self.scenario.seconds.max(1) as f64;
        let total: u64 = requests.iter().sum();
        let spread = &self.measurements.spread_all;
        HollowReport {
            nodes: self.options.nodes,
            databases: self.options.databases,
            policy_spread_s: SpreadTimes {
                p50: quantile_seconds(spread, 0.50),
                p99: quantile_seconds(spread, 0.99),
                max: quantile_seconds(spread, 1.0),
            },
            control_bytes_per_node_s: figures.bytes.clone(),
            control_cpu_share_per_node: self.processor_share(&figures).values().sum(),
            control_memory_bytes_per_node: figures.memory,
            platform_requests_s: total as f64 / seconds,
            false_suspicions: self.measurements.false_suspicions,
            violations: self.measurements.violations(),
            platform_peak_requests: requests.iter().max().copied().unwrap_or(0),
            removed_alive: self.measurements.removed_alive,
            details: self.details(&figures, &requests),
        }
    }

    /// The part of a core that each role takes on one node.
    fn processor_share(&self, figures: &WindowFigures) -> BTreeMap<Role, f64> {
        let seconds = self.scenario.seconds.max(1) as f64;
        let all = figures.live.max(1) as f64;
        let sampled = figures.homes_sampled.max(1) as f64;
        let share = |(role, time): (&Role, &Duration)| {
            let nodes = if *role == Role::Homes { sampled } else { all };
            (*role, time.as_secs_f64() / nodes / seconds)
        };
        self.measurements.processor.iter().map(share).collect()
    }

    fn details(&self, figures: &WindowFigures, requests: &[u64]) -> Vec<String> {
        let measured = &self.measurements;
        let seconds = self.scenario.seconds.max(1) as f64;
        let connected = &measured.spread_connected;
        let joins = &measured.join_times;
        let peak = requests.iter().max().copied().unwrap_or(0);
        let messages = measured.messages as f64 / seconds / figures.live.max(1) as f64;
        let shares = self.processor_share(figures);
        let roles: Vec<String> = shares
            .iter()
            .map(|(role, share)| format!("{} {:.1}", role.name(), share * 1e6))
            .collect();
        let mut lines = vec![
            format!(
                "connected nodes only: p50 {:.3} s, p99 {:.3} s, max {:.3} s ({} of {} samples)",
                quantile_seconds(connected, 0.50),
                quantile_seconds(connected, 0.99),
                quantile_seconds(connected, 1.0),
                connected.len(),
                measured.spread_all.len(),
            ),
            format!(
                "processor by role, microseconds a second: {}",
                roles.join(", ")
            ),
            format!(
                "bytes without the modelled group probes: mean {:.0}; messages sent per node and \
                 second: {messages:.2}",
                figures.gossip_bytes_mean
            ),
            format!(
                "memory: control {}, homes {}",
                figures.control_memory, figures.homes_memory
            ),
            format!("platform: peak of {peak} requests in one second; by second {requests:?}"),
            format!(
                "started {}; time until the newest version: p50 {:.3} s, max {:.3} s",
                measured.started,
                quantile_seconds(joins, 0.50),
                quantile_seconds(joins, 1.0),
            ),
            format!(
                "suspicions by right {}; removals of members that lived {}",
                measured.true_suspicions, measured.removed_alive
            ),
            format!(
                "changes published {}; wall time {:.1} s",
                self.platform.head() - super::platform::FIRST_VERSION,
                self.started_at.elapsed().as_secs_f64()
            ),
        ];
        lines.extend(measured.violation_texts().iter().cloned());
        lines
    }
}

fn byte_rates(mut rates: Vec<f64>) -> ByteRates {
    rates.sort_unstable_by(f64::total_cmp);
    let at = |quantile: f64| {
        let index = (rates.len().saturating_sub(1) as f64 * quantile).round() as usize;
        rates.get(index).copied().unwrap_or(0.0)
    };
    ByteRates {
        mean: rates.iter().sum::<f64>() / rates.len().max(1) as f64,
        p99: at(0.99),
        max: at(1.0),
    }
}
