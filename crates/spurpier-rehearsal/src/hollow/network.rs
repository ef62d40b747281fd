//! The simulated network between the hollow nodes: latency, loss and cuts.

use std::time::Duration;

use rand::RngExt;
use rand::rngs::SmallRng;

use super::scenario::Latencies;

/// Bytes of the IP and UDP headers of a datagram.
const DATAGRAM_HEADER: u64 = 28;
/// Bytes of the IP and TCP headers of a segment.
const SEGMENT_HEADER: u64 = 40;
/// Payload of a full TCP segment.
const SEGMENT_PAYLOAD: u64 = 1_448;
/// Bits that a connection carries in a second, for the time that large messages take.
const STREAM_BITS_PER_SECOND: u64 = 1_000_000_000;

/// The bytes that a datagram takes on the wire.
pub(super) fn datagram_bytes(payload: usize) -> u64 {
    payload as u64 + DATAGRAM_HEADER
}

/// The bytes that a message on an open connection takes on the wire, its acknowledgements too.
pub(super) fn stream_bytes(payload: usize) -> u64 {
    let payload = payload as u64;
    let segments = payload.div_ceil(SEGMENT_PAYLOAD);
    payload + segments * SEGMENT_HEADER + segments.div_ceil(2) * SEGMENT_HEADER
}

/// The network between zones.
#[derive(Debug)]
pub(super) struct Network {
    zones: usize,
    latencies: Latencies,
    loss_per_million: u32,
    /// For each ordered pair of zones the number of cuts in force.
    cuts: Vec<u32>,
    /// For each zone the number of cuts from the platform.
    platform_cuts: Vec<u32>,
    random: SmallRng,
}

impl Network {
    /// A network without cuts.
    pub(super) fn new(
        zones: usize,
        latencies: Latencies,
        loss_per_million: u32,
        random: SmallRng,
    ) -> Self {
        Network {
            zones,
            latencies,
            loss_per_million,
            cuts: vec![0; zones * zones],
            platform_cuts: vec![0; zones],
            random,
        }
    }

    /// The region of a zone: the first half of the zones form region 0, the others region 1.
    pub(super) fn region_of(&self, zone: usize) -> usize {
        region_of(zone, self.zones)
    }

    /// Adds or takes off a cut of messages from one zone to another.
    pub(super) fn cut(&mut self, from: usize, to: usize, added: bool) {
        change(&mut self.cuts[from * self.zones + to], added);
    }

    /// Adds or takes off a cut between a zone and the platform.
    pub(super) fn cut_platform(&mut self, zone: usize, added: bool) {
        change(&mut self.platform_cuts[zone], added);
    }

    /// Whether messages from one zone reach another.
    pub(super) fn is_open(&self, from: usize, to: usize) -> bool {
        self.cuts[from * self.zones + to] == 0
    }

    /// Whether a zone reaches the platform.
    pub(super) fn reaches_platform(&self, zone: usize) -> bool {
        self.platform_cuts[zone] == 0
    }

    /// Whether the zone has lost the platform or more than half of the other zones.
    pub(super) fn is_isolated(&self, zone: usize) -> bool {
        let lost = (0..self.zones)
            .filter(|other| !self.is_open(zone, *other) || !self.is_open(*other, zone))
            .count();
        let others = self.zones - 1;
        lost * 2 > others || !self.reaches_platform(zone)
    }

    /// How long a datagram travels; none when it is lost.
    pub(super) fn datagram_delay(&mut self, from: usize, to: usize) -> Option<Duration> {
        if !self.is_open(from, to) {
            return None;
        }
        if self.random.random_range(0..1_000_000) < self.loss_per_million {
            return None;
        }
        Some(self.jittered_latency(from, to))
    }

    /// How long a message on a connection travels; none when the connection cannot be made.
    pub(super) fn stream_delay(&mut self, from: usize, to: usize, bytes: u64) -> Option<Duration> {
        if !self.is_open(from, to) || !self.is_open(to, from) {
            return None;
        }
        let transfer = Duration::from_micros(bytes * 8 * 1_000_000 / STREAM_BITS_PER_SECOND);
        // A connection is opened first: one round trip more.
        Some(self.jittered_latency(from, to) * 3 + transfer)
    }

    fn jittered_latency(&mut self, from: usize, to: usize) -> Duration {
        let latency = if from == to {
            self.latencies.own_zone_us
        } else if self.region_of(from) == self.region_of(to) {
            self.latencies.own_region_us
        } else {
            self.latencies.other_region_us
        };
        let jitter = self.random.random_range(0..=latency / 5);
        Duration::from_micros(latency + jitter)
    }
}

/// The region of a zone where the first half of the zones form region 0 and the others region 1.
pub(super) fn region_of(zone: usize, zones: usize) -> usize {
    usize::from(zone >= zones.div_ceil(2))
}

fn change(count: &mut u32, added: bool) {
    *count = if added {
        *count + 1
    } else {
        count.saturating_sub(1)
    };
}
