//! The counters of a node's parts, in the Prometheus form.

use std::fmt;
use std::sync::Arc;
use std::sync::atomic::Ordering;

use prometheus_client::collector::Collector;
use prometheus_client::encoding::{DescriptorEncoder, EncodeMetric, NoLabelSet};
use prometheus_client::metrics::MetricType;
use prometheus_client::metrics::counter::ConstCounter;
use spurpier_core::reason::Reason;
use spurpier_protocol::unit::ServedBy;

use crate::cluster::forwarding::ForwardingCounters;
use crate::home::{Home, LATENCY_CLASS_MICROS};
use crate::ingress::{IngressCounters, LATENCY_BOUNDS_MICROS};

const MICROSECONDS_PER_SECOND: f64 = 1_000_000.0;

/// One counter without labels.
struct CounterSample {
    name: &'static str,
    help: &'static str,
    value: u64,
}

fn encode_counters(
    encoder: &mut DescriptorEncoder<'_>,
    samples: &[CounterSample],
) -> Result<(), fmt::Error> {
    for CounterSample { name, help, value } in samples {
        let counter = ConstCounter::new(*value);
        let metric = encoder.encode_descriptor(name, help, None, counter.metric_type())?;
        counter.encode(metric)?;
    }
    Ok(())
}

/// Latencies counted by class: the classes' upper ends and one count more, for the longer ones.
struct LatencyHistogram<'values> {
    name: &'static str,
    help: &'static str,
    bounds_micros: &'values [u64],
    counts: &'values [u64],
    sum_micros: u64,
}

impl LatencyHistogram<'_> {
    fn encode(&self, encoder: &mut DescriptorEncoder<'_>) -> Result<(), fmt::Error> {
        let ends = self.bounds_micros.iter().map(|micros| seconds(*micros));
        let ends = ends.chain(std::iter::once(f64::MAX));
        let buckets: Vec<(f64, u64)> = ends.zip(self.counts.iter().copied()).collect();
        let count = self.counts.iter().sum();
        let mut metric =
            encoder.encode_descriptor(self.name, self.help, None, MetricType::Histogram)?;
        metric.encode_histogram::<NoLabelSet>(seconds(self.sum_micros), count, &buckets, None)
    }
}

/// Microseconds as seconds; the rounding of very long times is below what a scrape shows.
#[allow(clippy::cast_precision_loss)]
fn seconds(micros: u64) -> f64 {
    micros as f64 / MICROSECONDS_PER_SECOND
}

/// Gives the ingress side's counters at each scrape.
#[derive(Debug)]
pub(super) struct IngressCollector(pub(super) Arc<IngressCounters>);

impl Collector for IngressCollector {
    fn encode(&self, mut encoder: DescriptorEncoder<'_>) -> Result<(), fmt::Error> {
        let counters = &self.0;
        let sample = |name, help, value| CounterSample { name, help, value };
        let samples = [
            sample(
                "clients_accepted",
                "Clients past their start-up",
                counters.clients_accepted(),
            ),
            sample("batches", "Batches answered", counters.batches()),
            sample(
                "cancels",
                "Cancel requests that met a statement",
                counters.cancels(),
            ),
            sample(
                "requests_completed",
                "Requests run to their end",
                counters.units_completed(),
            ),
            sample(
                "requests_repeated",
                "Requests answered from the record of an earlier copy",
                counters.units_repeated(),
            ),
        ];
        encode_counters(&mut encoder, &samples)?;
        self.encode_reads(&mut encoder)?;
        self.encode_refusals(&mut encoder)?;
        LatencyHistogram {
            name: "batch_seconds",
            help: "Time from a batch's arrival to its answer",
            bounds_micros: &LATENCY_BOUNDS_MICROS,
            counts: &counters.latency_buckets(),
            sum_micros: counters.latency_sum_micros(),
        }
        .encode(&mut encoder)
    }
}

impl IngressCollector {
    fn encode_reads(&self, encoder: &mut DescriptorEncoder<'_>) -> Result<(), fmt::Error> {
        let help = "Reads by the kind of server that ran them";
        let mut family = encoder.encode_descriptor("reads", help, None, MetricType::Counter)?;
        for (label, served_by) in [
            ("primary", ServedBy::Primary),
            ("replica", ServedBy::Replica),
        ] {
            let counter = ConstCounter::new(self.0.reads(served_by));
            counter.encode(family.encode_family(&[("served_by", label)])?)?;
        }
        Ok(())
    }

    fn encode_refusals(&self, encoder: &mut DescriptorEncoder<'_>) -> Result<(), fmt::Error> {
        let help = "Requests and connections that were given an error, by reason";
        let mut family = encoder.encode_descriptor("refusals", help, None, MetricType::Counter)?;
        for reason in Reason::ALL {
            let counter = ConstCounter::new(self.0.refusals(*reason));
            counter.encode(family.encode_family(&[("reason", reason.code())])?)?;
        }
        Ok(())
    }
}

/// Gives the home side's counters at each scrape.
#[derive(Debug)]
pub(super) struct HomeCollector(pub(super) Home);

impl Collector for HomeCollector {
    fn encode(&self, mut encoder: DescriptorEncoder<'_>) -> Result<(), fmt::Error> {
        let counters = self.0.counters();
        let sample = |name, help, value: &std::sync::atomic::AtomicU64| CounterSample {
            name,
            help,
            value: value.load(Ordering::Relaxed),
        };
        let samples = [
            sample("units", "Units opened", &counters.units),
            sample(
                "units_completed",
                "Units that completed",
                &counters.completed,
            ),
            sample("units_not_run", "Units that did not run", &counters.not_run),
            sample(
                "units_done",
                "Units done whose answer was lost",
                &counters.done,
            ),
            sample(
                "units_unknown",
                "Units of unknown outcome",
                &counters.unknown,
            ),
            sample(
                "unit_read_retries",
                "Reads run again",
                &counters.read_retries,
            ),
            sample(
                "unit_write_retries",
                "Writes attempted again",
                &counters.write_retries,
            ),
            sample(
                "probe_rounds",
                "Rounds of probes that a unit asked for",
                &counters.probe_rounds,
            ),
            sample(
                "request_keys_removed",
                "Request keys removed",
                &counters.removed_request_keys,
            ),
        ];
        encode_counters(&mut encoder, &samples)?;
        LatencyHistogram {
            name: "confirmation_seconds",
            help: "Time that commits waited for their confirmation",
            bounds_micros: &LATENCY_CLASS_MICROS,
            counts: &counters.confirmation.classes(),
            sum_micros: counters.confirmation.sum_micros(),
        }
        .encode(&mut encoder)
    }
}

/// Gives the counters of work forwarded between nodes at each scrape.
#[derive(Debug)]
pub(super) struct ForwardingCollector(pub(super) Arc<ForwardingCounters>);

impl Collector for ForwardingCollector {
    fn encode(&self, mut encoder: DescriptorEncoder<'_>) -> Result<(), fmt::Error> {
        let counts = self.0.counts();
        let sample = |name, help, value| CounterSample { name, help, value };
        let samples = [
            sample(
                "units_forwarded",
                "Units sent to a home",
                counts.units_forwarded,
            ),
            sample(
                "units_retried",
                "Units tried at a further home",
                counts.units_retried,
            ),
            sample("units_lost", "Units whose home was lost", counts.units_lost),
            sample(
                "units_served",
                "Units run for other nodes",
                counts.units_served,
            ),
            sample(
                "units_refused",
                "Units refused to other nodes",
                counts.units_refused,
            ),
            sample(
                "messages_unmatched",
                "Messages for which no unit was waiting",
                counts.messages_unmatched,
            ),
            sample(
                "peer_protocol_violations",
                "Connections closed because the peer broke the protocol",
                counts.protocol_violations,
            ),
            sample(
                "peer_connections_failed",
                "Connections to other nodes that could not be made",
                counts.connections_failed,
            ),
        ];
        encode_counters(&mut encoder, &samples)
    }
}
