//! What the simulation counts.

use std::collections::BTreeMap;
use std::time::Duration;

use hdrhistogram::Histogram;
use spurpier_core::control::{ControlEvent, GossipBody};
use spurpier_core::membership::MembershipMessage;

/// Violations that are kept as text; the rest are only counted.
const TEXTS_KEPT: usize = 20;
/// The longest time that the histograms hold, in milliseconds.
const LONGEST_MS: u64 = 24 * 60 * 60 * 1_000;

/// The part of the control work that a call belongs to.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Role {
    /// Timers: probes that are sent and time that runs out.
    Timers,
    /// Probes and answers received.
    Probes,
    /// Joins and repairs of the view.
    View,
    /// Versions of the document received.
    Spread,
    /// Answers of the platform.
    Watcher,
    /// Messages turned into bytes.
    Encoding,
    /// Bytes turned into messages.
    Decoding,
    /// Homes computed anew.
    Homes,
}

impl Role {
    /// The role of an event.
    pub(super) fn of(event: &ControlEvent) -> Role {
        match event {
            ControlEvent::Tick | ControlEvent::Leave | ControlEvent::Stop => Role::Timers,
            ControlEvent::Received { message, .. } => match &message.body {
                GossipBody::Distribution(_) => Role::Spread,
                GossipBody::Membership(
                    MembershipMessage::Join(_)
                    | MembershipMessage::FullView(_)
                    | MembershipMessage::BucketDigests(_)
                    | MembershipMessage::BucketStates { .. }
                    | MembershipMessage::IdentityRequest(_),
                ) => Role::View,
                GossipBody::Membership(_) => Role::Probes,
            },
            ControlEvent::MachineListRead(_)
            | ControlEvent::HeadRead(_)
            | ControlEvent::ChangesFetched(_) => Role::Watcher,
        }
    }

    /// The role's name in reports.
    pub(super) fn name(self) -> &'static str {
        match self {
            Role::Timers => "timers",
            Role::Probes => "probes",
            Role::View => "view",
            Role::Spread => "spread",
            Role::Watcher => "watcher",
            Role::Encoding => "encoding",
            Role::Decoding => "decoding",
            Role::Homes => "homes",
        }
    }
}

/// All counts of a run.
#[derive(Debug)]
pub(super) struct Measurements {
    /// Whether the measured time runs.
    pub(super) measuring: bool,
    /// Processor time by role.
    pub(super) processor: BTreeMap<Role, Duration>,
    /// Times from publication until in force, in milliseconds, on all nodes.
    pub(super) spread_all: Histogram<u64>,
    /// The same on nodes that were neither cut off nor frozen in between.
    pub(super) spread_connected: Histogram<u64>,
    /// Times from a node's start until the newest version was in force on it, in milliseconds.
    pub(super) join_times: Histogram<u64>,
    /// Messages sent.
    pub(super) messages: u64,
    /// Suspicions raised against nodes that ran and could be reached.
    pub(super) false_suspicions: u64,
    /// Suspicions raised against others.
    pub(super) true_suspicions: u64,
    /// Members removed as dead that lived, whatever cut them off.
    pub(super) removed_alive: u64,
    /// Nodes started in the measured time.
    pub(super) started: u64,
    violations: u64,
    texts: Vec<String>,
}

impl Measurements {
    /// Nothing counted yet.
    pub(super) fn new() -> Self {
        Measurements {
            measuring: false,
            processor: BTreeMap::new(),
            spread_all: histogram(),
            spread_connected: histogram(),
            join_times: histogram(),
            messages: 0,
            false_suspicions: 0,
            true_suspicions: 0,
            removed_alive: 0,
            started: 0,
            violations: 0,
            texts: Vec::new(),
        }
    }

    /// Adds processor time while measuring.
    pub(super) fn add_processor(&mut self, role: Role, time: Duration) {
        if self.measuring {
            *self.processor.entry(role).or_default() += time;
        }
    }

    /// Counts a violation of what must always hold.
    pub(super) fn violation(&mut self, text: impl FnOnce() -> String) {
        self.violations += 1;
        if self.texts.len() < TEXTS_KEPT {
            self.texts.push(text());
        }
    }

    /// How many violations there were.
    pub(super) fn violations(&self) -> u64 {
        self.violations
    }

    /// The first violations as text.
    pub(super) fn violation_texts(&self) -> &[String] {
        &self.texts
    }
}

fn histogram() -> Histogram<u64> {
    Histogram::new_with_max(LONGEST_MS, 3).expect("three digits and this bound are allowed")
}

/// A quantile in seconds; zero when nothing was recorded.
pub(super) fn quantile_seconds(histogram: &Histogram<u64>, quantile: f64) -> f64 {
    histogram.value_at_quantile(quantile) as f64 / 1_000.0
}
