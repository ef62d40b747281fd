//! Fault schedules: what is done to a deployment, and when.

use std::path::{Path, PathBuf};
use std::time::Duration;

use error_stack::{Report, ResultExt};
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use serde::Deserialize;

use super::kind::FaultKind;
use crate::command_line::FaultSource;

const DEFAULT_SCHEDULE: &str = include_str!("../../faults/default.toml");

/// One fault of a schedule.
#[derive(Debug, Clone, Copy, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ScheduledFault {
    /// What is done.
    pub kind: FaultKind,
    /// When, in seconds from the start of the load.
    at: f64,
    /// For how long, in seconds.
    lasts: f64,
    /// The database that it touches, by its index; taken modulo the number of databases.
    #[serde(default)]
    pub database: usize,
    /// The zone that it touches, by its index; taken modulo the number of zones.
    #[serde(default)]
    pub zone: usize,
    /// The proxy or replica that it touches, by its index; taken modulo the number of them.
    #[serde(default)]
    pub member: usize,
}

impl ScheduledFault {
    /// When it begins, from the start of the load.
    pub fn begins_after(&self) -> Duration {
        seconds(self.at)
    }

    /// How long it lasts.
    pub fn lasts(&self) -> Duration {
        seconds(self.lasts)
    }
}

/// Seconds of a schedule file as a duration; what is negative or no number counts as zero.
fn seconds(seconds: f64) -> Duration {
    Duration::try_from_secs_f64(seconds).unwrap_or(Duration::ZERO)
}

/// All faults of a run, in the order of their beginnings.
#[derive(Debug, Clone, Default, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FaultSchedule {
    /// The faults.
    #[serde(default, rename = "fault")]
    faults: Vec<ScheduledFault>,
}

/// A schedule that cannot be used.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct InvalidSchedule {
    /// The file, or `default`.
    pub source: PathBuf,
}

impl std::fmt::Display for InvalidSchedule {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let source = self.source.display();
        write!(formatter, "the fault schedule {source} cannot be used")
    }
}

impl std::error::Error for InvalidSchedule {}

impl FaultSchedule {
    /// The schedule that the command line asks for.
    ///
    /// # Errors
    ///
    /// A file that cannot be read, or that is no schedule.
    pub fn load(source: &FaultSource) -> Result<Self, Report<InvalidSchedule>> {
        match source {
            FaultSource::None => Ok(FaultSchedule::default()),
            FaultSource::Default => parse(DEFAULT_SCHEDULE, Path::new("default")),
            FaultSource::File(path) => {
                let text = std::fs::read_to_string(path).change_context_lazy(|| invalid(path))?;
                parse(&text, path)
            }
        }
    }

    /// Rounds of random faults, each with one to three faults that overlap and then heal.
    ///
    /// The same seed always gives the same schedule.
    pub fn random(seed: u64, rounds: u64, kinds: &[FaultKind]) -> Self {
        let mut random = SmallRng::seed_from_u64(seed);
        let mut faults = Vec::new();
        for round in 0..rounds {
            let start = FIRST_ROUND_AT + round as f64 * ROUND_SECONDS;
            for _ in 0..random.random_range(1..=MOST_FAULTS_PER_ROUND) {
                faults.push(random_fault(start, kinds, &mut random));
            }
        }
        FaultSchedule::from_faults(faults)
    }

    /// How long a load must run so that `rounds` random rounds strike and heal within it.
    pub fn duration_of_rounds(rounds: u64) -> Duration {
        seconds(FIRST_ROUND_AT + rounds as f64 * ROUND_SECONDS)
    }

    /// The same schedule without the faults that would begin at or after `end`.
    pub fn until(mut self, end: Duration) -> Self {
        self.faults.retain(|fault| fault.begins_after() < end);
        self
    }

    /// The faults in the order of their beginnings.
    pub fn faults(&self) -> &[ScheduledFault] {
        &self.faults
    }

    fn from_faults(mut faults: Vec<ScheduledFault>) -> Self {
        faults.sort_by(|one, other| one.at.total_cmp(&other.at));
        FaultSchedule { faults }
    }
}

/// When the first round of a random schedule begins, in seconds.
const FIRST_ROUND_AT: f64 = 2.0;
/// The time from one round to the next, in seconds; faults begin in its first part.
const ROUND_SECONDS: f64 = 8.0;
/// How long after the round's start its faults may begin, in seconds.
const LATEST_BEGIN: f64 = 2.0;
/// How long a random fault may last, in seconds.
const LASTS: std::ops::Range<f64> = 0.5..4.0;
const MOST_FAULTS_PER_ROUND: u32 = 3;
/// Indexes are taken modulo the number of what they point at.
const MOST_MEMBERS: usize = 60;

fn random_fault(start: f64, kinds: &[FaultKind], random: &mut SmallRng) -> ScheduledFault {
    ScheduledFault {
        kind: kinds[random.random_range(0..kinds.len())],
        at: start + random.random_range(0.0..LATEST_BEGIN),
        lasts: random.random_range(LASTS),
        database: random.random_range(0..MOST_MEMBERS),
        zone: random.random_range(0..MOST_MEMBERS),
        member: random.random_range(0..MOST_MEMBERS),
    }
}

fn parse(text: &str, source: &Path) -> Result<FaultSchedule, Report<InvalidSchedule>> {
    let schedule: FaultSchedule = toml::from_str(text).change_context_lazy(|| invalid(source))?;
    Ok(FaultSchedule::from_faults(schedule.faults))
}

fn invalid(source: &Path) -> InvalidSchedule {
    InvalidSchedule {
        source: source.to_owned(),
    }
}
