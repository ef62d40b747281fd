//! The report as text for people.

use std::fmt;

use super::{LatencyQuantiles, Report};

impl fmt::Display for Report {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(
            formatter,
            "deployment {}, seed {}, {:.1} s",
            self.deployment, self.seed, self.seconds
        )?;
        writeln!(
            formatter,
            "requests     done {}, not run {}, unknown {}",
            self.requests.done, self.requests.not_run, self.requests.unknown
        )?;
        writeln!(
            formatter,
            "reads        {} in all, {} by replicas, share {}",
            self.reads.total,
            self.reads.replica,
            optional(self.replica_read_share)
        )?;
        writeln!(
            formatter,
            "failover     gap {} ms, of it election {} ms and detection {} ms",
            optional(self.failover.gap_ms),
            optional(self.failover.election_ms),
            optional(self.failover.detection_ms)
        )?;
        write_latency(formatter, "read", &self.latency_ms.read)?;
        write_latency(formatter, "write", &self.latency_ms.write)?;
        self.write_faults(formatter)?;
        self.write_violations(formatter)
    }
}

impl Report {
    fn write_faults(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Some(faults) = &self.faults else {
            return Ok(());
        };
        writeln!(formatter, "faults")?;
        for (kind, count) in faults {
            writeln!(formatter, "  {kind:28} {count}")?;
        }
        Ok(())
    }

    fn write_violations(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(formatter, "violations   {} in all", self.violations.total())?;
        for (name, count) in self.violations.iter() {
            writeln!(formatter, "  {name:28} {count}")?;
        }
        Ok(())
    }
}

fn write_latency(
    formatter: &mut fmt::Formatter<'_>,
    name: &str,
    quantiles: &LatencyQuantiles,
) -> fmt::Result {
    writeln!(
        formatter,
        "{name:5} latency p50 {} ms, p99 {} ms",
        optional(quantiles.p50),
        optional(quantiles.p99)
    )
}

fn optional(value: Option<f64>) -> String {
    value.map_or_else(|| "none".to_owned(), |value| format!("{value:.3}"))
}
