//! A gateway's metrics in the Prometheus text format, at `/metrics` of the readiness address.
//!
//! Counters are updated as events occur; gauges are set from the current state on each scrape.

use std::collections::BTreeMap;
use std::fmt;
use std::time::Duration;

use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::encoding::text::encode;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::{Histogram, exponential_buckets};
use prometheus_client::registry::Registry;

use crate::context::Context;
use crate::known_tables::FOLLOWED;
use crate::ports::{Answer, ErrorClass, Table};
use crate::server::Server;

/// Smallest bucket bound of the latency histogram, in seconds.
const FIRST_BUCKET: f64 = 0.001;
/// Number of bucket bounds, each twice the previous one: up to 4 s.
const BUCKETS: u16 = 13;

/// The only label of a counter: what it counts.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct Kind {
    kind: &'static str,
}

/// Labels of the gauge of a server's connections.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct ConnectionLabels {
    group: String,
    server: String,
    state: &'static str,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct GroupLabels {
    group: String,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct TableLabels {
    table: String,
}

/// Outcome of a statement for its client.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Ended {
    Done,
    NotRun,
    Unknown,
    Failed,
}

impl Ended {
    fn of(answer: &Answer) -> Self {
        match answer.error_class() {
            None => Ended::Done,
            Some(class) if class.is_not_run() => Ended::NotRun,
            Some(ErrorClass::Failed) => Ended::Failed,
            Some(_) => Ended::Unknown,
        }
    }

    const fn text(self) -> &'static str {
        match self {
            Ended::Done => "done",
            Ended::NotRun => "not_run",
            Ended::Unknown => "unknown",
            Ended::Failed => "failed",
        }
    }
}

/// The metrics of one node.
pub struct Metrics {
    registry: Registry,
    statements: Family<Kind, Counter>,
    answer_times: Histogram,
    refusals: Family<Kind, Counter>,
    retries: Family<Kind, Counter>,
    calls: Family<Kind, Counter>,
    store_calls: Family<Kind, Counter>,
    connections: Family<ConnectionLabels, Gauge>,
    connection_uses: Family<Kind, Counter>,
    leave_questions: Counter,
    cold_servers: Family<GroupLabels, Gauge>,
    cold_messages: Family<Kind, Counter>,
    proof_ages: Family<GroupLabels, Gauge>,
    homes: Family<GroupLabels, Gauge>,
    evacuated_zones: Gauge,
    configuration: Gauge,
    refused_configuration: Gauge,
    unknown_regions: Gauge,
    unusable_entries: Family<Kind, Gauge>,
    missed_news: Family<Kind, Counter>,
    outdated_rows: Family<TableLabels, Counter>,
    table_ages: Family<TableLabels, Gauge>,
    unmatched_answers: Counter,
    prepared_statements: Family<Kind, Counter>,
}

impl fmt::Debug for Metrics {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.debug_struct("Metrics").finish_non_exhaustive()
    }
}

impl Default for Metrics {
    fn default() -> Self {
        let mut metrics = Metrics {
            registry: Registry::with_prefix("spurpier_gateway"),
            statements: Family::default(),
            answer_times: Histogram::new(exponential_buckets(FIRST_BUCKET, 2.0, BUCKETS)),
            refusals: Family::default(),
            retries: Family::default(),
            calls: Family::default(),
            store_calls: Family::default(),
            connections: Family::default(),
            connection_uses: Family::default(),
            leave_questions: Counter::default(),
            cold_servers: Family::default(),
            cold_messages: Family::default(),
            proof_ages: Family::default(),
            homes: Family::default(),
            evacuated_zones: Gauge::default(),
            configuration: Gauge::default(),
            refused_configuration: Gauge::default(),
            unknown_regions: Gauge::default(),
            unusable_entries: Family::default(),
            missed_news: Family::default(),
            outdated_rows: Family::default(),
            table_ages: Family::default(),
            unmatched_answers: Counter::default(),
            prepared_statements: Family::default(),
        };
        metrics.register();
        metrics
    }
}

impl Metrics {
    fn register(&mut self) {
        let registry = &mut self.registry;
        let text = "Client statements, by outcome";
        registry.register("statements", text, self.statements.clone());
        let text = "Duration of client statements, in seconds";
        registry.register("statement_seconds", text, self.answer_times.clone());
        let text = "Statements refused by this node, by reason";
        registry.register("refusals", text, self.refusals.clone());
        let text = "Retries, by the reason for the retry";
        registry.register("retries", text, self.retries.clone());
        let text = "Calls for units, sent to other nodes and received from them";
        registry.register("calls", text, self.calls.clone());
        let text = "Calls to the store that read its tables, by outcome";
        registry.register("store_calls", text, self.store_calls.clone());
        let text = "Connections to a server, by state";
        registry.register("connections", text, self.connections.clone());
        let text = "Connections to servers, by how units used them";
        registry.register("connection_uses", text, self.connection_uses.clone());
        let text = "Requests to quota authorities for permits to start operations, including votes";
        registry.register("leave_questions", text, self.leave_questions.clone());
        let text = "Servers of a group that are cold";
        registry.register("cold_servers", text, self.cold_servers.clone());
        let text = "Messages to cold servers, by whether a permit was granted: sent, refused";
        registry.register("cold_messages", text, self.cold_messages.clone());
        let text = "Age of the newest leadership proof, in milliseconds; -1 without one";
        registry.register("proof_age_ms", text, self.proof_ages.clone());
        let text = "Homes of a group, including this node if it is one";
        registry.register("homes", text, self.homes.clone());
        let text = "Zones known to be evacuated";
        registry.register("evacuated_zones", text, self.evacuated_zones.clone());
        let text = "Version of the configuration in force; 0 before the first";
        registry.register("configuration_version", text, self.configuration.clone());
        let text = "Version of the newest configuration that was refused because of errors";
        registry.register(
            "refused_configuration_version",
            text,
            self.refused_configuration.clone(),
        );
        let text =
            "Regions that the configuration in force names and no zone has, once for each naming";
        registry.register("unknown_regions", text, self.unknown_regions.clone());
        let text = "Directory rows that describe no usable server, by reason";
        registry.register("unusable_entries", text, self.unusable_entries.clone());
        let text = "Requests to other nodes for a table that gave no usable update, by reason";
        registry.register("missed_news", text, self.missed_news.clone());
        let text = "Table rows skipped because newer ones are known, by table";
        registry.register("outdated_rows", text, self.outdated_rows.clone());
        let text =
            "Time since the store last reported on a table, in milliseconds; -1 before it did";
        registry.register("table_age_ms", text, self.table_ages.clone());
        let text = "Answers of other nodes that came too late or to a former process";
        registry.register("unmatched_answers", text, self.unmatched_answers.clone());
        let text = "Statements on server connections: prepared, evicted, or unknown to the server";
        registry.register(
            "prepared_statements",
            text,
            self.prepared_statements.clone(),
        );
    }

    /// Counts a statement that is prepared on a server connection.
    pub fn count_prepared_statement(&self) {
        self.count_prepared("prepared");
    }

    /// Counts an execution of a prepared statement that its server does not know.
    pub fn count_unknown_prepared_statement(&self) {
        self.count_prepared("unknown");
    }

    /// Counts a prepared statement that is removed from a server connection in favour of another.
    pub fn count_evicted_statement(&self) {
        self.count_prepared("evicted");
    }

    fn count_prepared(&self, kind: &'static str) {
        self.prepared_statements.get_or_create(&Kind { kind }).inc();
    }

    /// Counts an answer of another node to a request that is not pending.
    pub fn count_unmatched_answer(&self) {
        self.unmatched_answers.inc();
    }

    /// Sets the version of a configuration that was rejected because of errors.
    pub fn record_refused_configuration(&self, version: u64) {
        let version = i64::try_from(version).unwrap_or(i64::MAX);
        self.refused_configuration.set(version);
    }

    /// Sets how often the configuration in force names regions that no zone has.
    pub fn record_unknown_regions(&self, count: usize) {
        self.unknown_regions.set(as_gauge(count));
    }

    /// Sets the number of directory rows that describe no usable server, by reason.
    pub fn set_unusable_entries(&self, counts: &BTreeMap<&'static str, usize>) {
        self.unusable_entries.clear();
        for (kind, count) in counts {
            let gauge = self.unusable_entries.get_or_create(&Kind { kind });
            gauge.set(as_gauge(*count));
        }
    }

    /// Counts a client's statement.
    pub fn count_statement(&self, answer: &Answer, taken: Duration) {
        let kind = Ended::of(answer).text();
        self.statements.get_or_create(&Kind { kind }).inc();
        self.answer_times.observe(taken.as_secs_f64());
    }

    /// Counts a refusal.
    pub fn count_refusal(&self, reason: &'static str) {
        self.refusals.get_or_create(&Kind { kind: reason }).inc();
    }

    /// Counts a retry.
    pub fn count_retry(&self, why: &'static str) {
        self.retries.get_or_create(&Kind { kind: why }).inc();
    }

    /// Counts a call for a unit that is sent to another node.
    pub fn count_call_made(&self) {
        self.calls.get_or_create(&Kind { kind: "made" }).inc();
    }

    /// Counts a call for a unit that is received from another node.
    pub fn count_call_received(&self) {
        self.calls.get_or_create(&Kind { kind: "taken" }).inc();
    }

    /// Counts a request for permits to start operations.
    pub fn count_permit_request(&self) {
        self.leave_questions.inc();
    }

    /// Counts a call to the store.
    pub fn count_store_call(&self, answered: bool) {
        let kind = if answered { "answered" } else { "failed" };
        self.store_calls.get_or_create(&Kind { kind }).inc();
    }

    /// Counts a request to another node for a table that gave no usable update.
    pub fn count_missed_updates(&self, why: &'static str) {
        self.missed_news.get_or_create(&Kind { kind: why }).inc();
    }

    /// Counts rows of a table that were skipped.
    pub fn count_outdated_rows(&self, table: Table, rows: usize) {
        let labels = TableLabels {
            table: format!("{table:?}"),
        };
        self.outdated_rows
            .get_or_create(&labels)
            .inc_by(rows as u64);
    }

    /// All metrics as text, with the gauges as they are now.
    pub fn text(&self, context: &Context) -> String {
        self.set_gauges(context);
        let mut text = String::new();
        // Writing to a `String` cannot fail.
        let _ = encode(&mut text, &self.registry);
        text
    }

    fn set_gauges(&self, context: &Context) {
        let version = context
            .in_force()
            .map_or(0, |known| known.configuration.version);
        self.configuration
            .set(i64::try_from(version).unwrap_or(i64::MAX));
        let evacuated = context.locality.evacuations.zones().len();
        self.evacuated_zones.set(as_gauge(evacuated));
        self.set_table_ages(context);
        // Removed servers and groups are no longer reported.
        self.connections.clear();
        self.proof_ages.clear();
        self.homes.clear();
        self.cold_servers.clear();
        let now = context.clock.now();
        for group in context.all_groups() {
            let labels = GroupLabels {
                group: group.name.clone(),
            };
            let age = millis_or_unknown(group.proven_at().map(|proven| now.since(proven)));
            self.proof_ages.get_or_create(&labels).set(age);
            let homes = context.homes_of(&group.name).count;
            self.homes.get_or_create(&labels).set(as_gauge(homes));
            let servers = group.servers();
            let cold = servers.iter().filter(|server| server.is_cold(now));
            let cold = as_gauge(cold.count());
            self.cold_servers.get_or_create(&labels).set(cold);
            for server in servers {
                self.set_connections(&group.name, &server);
                self.count_connection_uses(&server);
                self.count_cold_uses(&server);
            }
        }
    }

    fn set_table_ages(&self, context: &Context) {
        let now = context.clock.now();
        for table in FOLLOWED {
            let reported_at = context.known_tables.reported_at(table);
            let labels = TableLabels {
                table: format!("{table:?}"),
            };
            let age = millis_or_unknown(reported_at.map(|reported_at| now.since(reported_at)));
            self.table_ages.get_or_create(&labels).set(age);
        }
    }

    fn count_connection_uses(&self, server: &Server) {
        let uses = server.pool.take_usage();
        let kinds = [
            ("taken", uses.taken),
            ("opened", uses.opened),
            ("displaced", uses.displaced),
        ];
        for (kind, count) in kinds {
            let counter = self.connection_uses.get_or_create(&Kind { kind });
            counter.inc_by(count);
        }
    }

    fn count_cold_uses(&self, server: &Server) {
        let uses = server.pool.cold_gate().take_uses();
        for (kind, count) in [("sent", uses.sent), ("refused", uses.refused)] {
            let counter = self.cold_messages.get_or_create(&Kind { kind });
            counter.inc_by(count);
        }
    }

    fn set_connections(&self, group: &str, server: &Server) {
        let counts = server.pool.counts();
        let states = [
            ("open", counts.open),
            ("idle", counts.idle),
            ("waiting", counts.waiting),
            ("limit", counts.limit),
        ];
        for (state, count) in states {
            let labels = ConnectionLabels {
                group: group.to_owned(),
                server: server.incarnation.name().to_owned(),
                state,
            };
            self.connections.get_or_create(&labels).set(as_gauge(count));
        }
    }
}

/// Whole milliseconds; -1 if the time is unknown.
fn millis_or_unknown(time: Option<Duration>) -> i64 {
    time.map_or(-1, |time| {
        i64::try_from(time.as_millis()).unwrap_or(i64::MAX)
    })
}

fn as_gauge(count: usize) -> i64 {
    i64::try_from(count).unwrap_or(i64::MAX)
}
