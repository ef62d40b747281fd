//! Tests that the connections of a database never exceed its limit.
//!
//! Homes and ledgers run on virtual time under random schedules: messages are delivered in any
//! order, late, twice or never; homes disagree on which node keeps the ledger; any node may freeze
//! and resume later without noticing. Each home opens as many connections as its allowance permits
//! whenever it runs.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use proptest::prelude::*;
use spurpier_core::membership::NodeKey;
use spurpier_core::shares::{
    HolderAction, HolderEvent, LedgerAction, LedgerEvent, ShareConfig, ShareDemand, ShareHolder,
    ShareLedger, ShareMessage, max_min_fair_shares, needs_first_shares,
};
use spurpier_core::time::Timestamp;

const NODES: usize = 4;
const LIMIT: u32 = 10;
/// A round of work stops delivering messages once so many wait for frozen nodes.
const MAX_QUEUED_PER_ROUND: usize = 64;

/// One step of a schedule. Nodes and messages are chosen by index.
#[derive(Debug, Clone)]
enum Step {
    /// The given number of milliseconds passes.
    Wait(u16),
    /// All nodes that are not frozen work and exchange messages in order, for the given number of
    /// rounds of 200 ms.
    RunRounds(u8),
    /// A message in transit arrives; with `keep_copy` a copy of it stays in transit.
    Deliver {
        message: prop::sample::Index,
        keep_copy: bool,
    },
    /// A message in transit is lost.
    Drop(prop::sample::Index),
    /// A home considers another node the keeper of the ledger.
    SetLedger { home: usize, ledger: usize },
    /// A node claims a new ledger epoch in the database.
    ClaimEpoch(usize),
    /// A node queries the epoch in force.
    ObserveEpoch(usize),
    /// A home's demand changes, and it opens connections up to its allowance.
    Demand { home: usize, demand: u8 },
    /// A node freezes or resumes.
    Freeze { node: usize, frozen: bool },
}

fn step() -> impl Strategy<Value = Step> {
    let node = || 0usize..NODES;
    let index = any::<prop::sample::Index>;
    prop_oneof![
        2 => (0u16..3_000).prop_map(Step::Wait),
        1 => (0u16..30_000).prop_map(Step::Wait),
        8 => (1u8..100).prop_map(Step::RunRounds),
        8 => (index(), prop::bool::weighted(0.1))
            .prop_map(|(message, keep_copy)| Step::Deliver { message, keep_copy }),
        1 => index().prop_map(Step::Drop),
        1 => (node(), node()).prop_map(|(home, ledger)| Step::SetLedger { home, ledger }),
        1 => node().prop_map(Step::ClaimEpoch),
        4 => node().prop_map(Step::ObserveEpoch),
        6 => (node(), 0u8..20).prop_map(|(home, demand)| Step::Demand { home, demand }),
        1 => (node(), any::<bool>()).prop_map(|(node, frozen)| Step::Freeze { node, frozen }),
    ]
}

struct Node {
    holder: ShareHolder,
    ledger: ShareLedger,
    open: u32,
    frozen_since: Option<Timestamp>,
}

struct Message {
    from: usize,
    to: usize,
    message: ShareMessage,
}

struct World {
    now: Timestamp,
    config: Arc<ShareConfig>,
    nodes: Vec<Node>,
    in_flight: Vec<Message>,
    demands: [u32; NODES],
    epoch: u64,
}

fn key(node: usize) -> NodeKey {
    NodeKey(node as u64)
}

impl World {
    fn new() -> Self {
        let config = Arc::new(ShareConfig::default());
        let now = Timestamp::from_millis(1);
        let node = |_| Node {
            holder: ShareHolder::new(now, config.clone()),
            ledger: ShareLedger::new(LIMIT, config.clone()),
            open: 0,
            frozen_since: None,
        };
        let mut world = World {
            now,
            nodes: (0..NODES).map(node).collect(),
            config,
            in_flight: Vec::new(),
            demands: [3; NODES],
            epoch: 0,
        };
        for home in 0..NODES {
            world.drive_holder(home, HolderEvent::LedgerNode(Some(key(0))));
        }
        world.claim_epoch(0);
        world
    }

    fn apply(&mut self, step: &Step) {
        match step {
            Step::Wait(millis) => self.wait(Duration::from_millis(u64::from(*millis))),
            Step::RunRounds(rounds) => (0..*rounds).for_each(|_| self.run_round()),
            Step::Deliver { message, keep_copy } => self.deliver_indexed(message, *keep_copy),
            Step::Drop(message) => {
                if !self.in_flight.is_empty() {
                    let index = message.index(self.in_flight.len());
                    self.in_flight.swap_remove(index);
                }
            }
            Step::SetLedger { home, ledger } => {
                self.drive_holder(*home, HolderEvent::LedgerNode(Some(key(*ledger))));
            }
            Step::ClaimEpoch(node) => self.claim_epoch(*node),
            Step::ObserveEpoch(node) => {
                let event = LedgerEvent::EpochObserved {
                    epoch: self.epoch,
                    sent_at: self.now,
                };
                self.drive_ledger(*node, event);
            }
            Step::Demand { home, demand } => {
                let open = self.nodes[*home].open;
                let demand = u32::from(*demand);
                self.demands[*home] = demand;
                self.drive_holder(*home, HolderEvent::Demand { open, demand });
                self.open_allowance(*home);
            }
            Step::Freeze { node, frozen } => self.freeze(*node, *frozen),
        }
    }

    /// Advances time in small steps. Homes that are not frozen handle ticks, and servers close the
    /// connections of homes that have been frozen for too long.
    fn wait(&mut self, duration: Duration) {
        const STEP_DURATION: Duration = Duration::from_millis(100);
        let end = self.now + duration;
        while self.now < end {
            self.now = end.min(self.now + STEP_DURATION);
            for node in 0..NODES {
                let is_silent = self.nodes[node]
                    .frozen_since
                    .is_some_and(|since| self.now.since(since) >= self.config.server_close_timeout);
                if is_silent {
                    self.nodes[node].open = 0;
                }
                self.drive_holder(node, HolderEvent::Tick);
            }
        }
    }

    /// One round of normal work of all nodes that are not frozen: epoch checks, messages in order,
    /// and opening of connections.
    fn run_round(&mut self) {
        for node in 0..NODES {
            self.apply(&Step::ObserveEpoch(node));
            let open = self.nodes[node].open;
            let demand = self.demands[node];
            self.drive_holder(node, HolderEvent::Demand { open, demand });
        }
        let mut index = 0;
        while index < self.in_flight.len() && index < MAX_QUEUED_PER_ROUND {
            // Messages for a frozen node stay in transit.
            match self.nodes[self.in_flight[index].to].frozen_since {
                Some(_) => index += 1,
                None => self.deliver(index, false),
            }
        }
        (0..NODES).for_each(|node| self.open_allowance(node));
        self.wait(Duration::from_millis(200));
    }

    fn deliver_indexed(&mut self, message: &prop::sample::Index, keep_copy: bool) {
        if !self.in_flight.is_empty() {
            let index = message.index(self.in_flight.len());
            self.deliver(index, keep_copy);
        }
    }

    fn deliver(&mut self, index: usize, keep_copy: bool) {
        let Message { from, to, message } = match keep_copy {
            true => {
                let original = &self.in_flight[index];
                Message {
                    message: original.message,
                    ..*original
                }
            }
            false => self.in_flight.remove(index),
        };
        match message {
            ShareMessage::Report(report) => {
                let from = key(from);
                self.drive_ledger(to, LedgerEvent::Received { from, report });
            }
            message => {
                let from = key(from);
                self.drive_holder(to, HolderEvent::Received { from, message });
                self.open_allowance(to);
            }
        }
    }

    fn claim_epoch(&mut self, node: usize) {
        if self.nodes[node].frozen_since.is_some() {
            return;
        }
        self.epoch += 1;
        let event = LedgerEvent::EpochClaimed {
            epoch: self.epoch,
            sent_at: self.now,
        };
        self.drive_ledger(node, event);
    }

    fn freeze(&mut self, node: usize, frozen: bool) {
        let since = self.nodes[node].frozen_since;
        self.nodes[node].frozen_since = match (frozen, since) {
            (true, None) => Some(self.now),
            (true, since) => since,
            (false, _) => None,
        };
        self.drive_holder(node, HolderEvent::Tick);
    }

    fn drive_holder(&mut self, node: usize, event: HolderEvent) {
        if self.nodes[node].frozen_since.is_some() {
            return;
        }
        let actions = self.nodes[node].holder.handle(self.now, event);
        for action in actions {
            if let HolderAction::Send { to, message } = action {
                let to = to.0 as usize;
                self.in_flight.push(Message {
                    from: node,
                    to,
                    message,
                });
            }
        }
        let allowance = self.nodes[node].holder.allowance(self.now);
        if self.nodes[node].open > allowance {
            self.nodes[node].open = allowance;
            let event = HolderEvent::Demand {
                open: allowance,
                demand: 0,
            };
            self.drive_holder(node, event);
        }
    }

    fn drive_ledger(&mut self, node: usize, event: LedgerEvent) {
        if self.nodes[node].frozen_since.is_some() {
            return;
        }
        for LedgerAction::Send { to, message } in self.nodes[node].ledger.handle(self.now, event) {
            let to = to.0 as usize;
            self.in_flight.push(Message {
                from: node,
                to,
                message,
            });
        }
    }

    fn open_allowance(&mut self, home: usize) {
        if self.nodes[home].frozen_since.is_none() {
            self.nodes[home].open = self.nodes[home].holder.allowance(self.now);
        }
    }

    fn open(&self) -> u32 {
        self.nodes.iter().map(|node| node.open).sum()
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(1_000))]

    #[test]
    fn the_limit_is_never_exceeded(steps in prop::collection::vec(step(), 1..80)) {
        let mut world = World::new();
        for (index, step) in steps.iter().enumerate() {
            world.apply(step);
            let open: BTreeMap<usize, u32> =
                world.nodes.iter().map(|node| node.open).enumerate().collect();
            prop_assert!(world.open() <= LIMIT, "step {}: {:?}", index, open);
        }
    }

    #[test]
    fn shares_stay_within_the_limit_and_cover_needs_first(
        limit in 0u32..60,
        demands in prop::collection::vec((1u32..20, 0u32..10), 0..15),
    ) {
        let demands: Vec<ShareDemand> = demands
            .iter()
            .map(|(needed, extra)| ShareDemand { needed: *needed, wanted: needed + extra })
            .collect();
        let shares = needs_first_shares(limit, &demands);
        prop_assert!(shares.iter().sum::<u32>() <= limit);
        let needs: u32 = demands.iter().map(|want| want.needed).sum();
        for (share, want) in shares.iter().zip(&demands) {
            prop_assert!(*share <= want.wanted);
            if needs <= limit {
                prop_assert!(*share >= want.needed);
            }
        }
    }

    #[test]
    fn max_min_fair_shares_leave_no_usable_connection_unassigned(
        limit in 0u32..60,
        demands in prop::collection::vec(0u32..20, 1..15),
    ) {
        let shares = max_min_fair_shares(limit, &demands);
        let wanted: u32 = demands.iter().sum();
        prop_assert_eq!(shares.iter().sum::<u32>(), limit.min(wanted));
    }
}

/// A home with all of the demand gets all connections that the other homes do not keep.
#[test]
fn a_home_with_all_the_demand_gets_all_the_connections() {
    let mut world = World::new();
    let demand = HolderEvent::Demand {
        open: 0,
        demand: 30,
    };
    for _ in 0..1_000 {
        world.drive_holder(2, demand);
        world.open_allowance(2);
        world.apply(&Step::ObserveEpoch(0));
        world.wait(Duration::from_millis(100));
        while !world.in_flight.is_empty() {
            world.deliver(0, false);
        }
    }
    // Every other home keeps one connection.
    assert_eq!(world.nodes[2].open, LIMIT - (NODES as u32 - 1));
}

/// A home was frozen for so long that its share was granted to others; after that it gets only
/// connections that no other home holds.
#[test]
fn a_home_that_returns_after_its_lease_expired_gets_only_unused_connections() {
    let mut world = World::new();
    let frozen = |frozen| Step::Freeze { node: 2, frozen };
    world.apply(&Step::RunRounds(100));
    world.apply(&Step::RunRounds(100));
    assert!(world.nodes[2].open > 0);
    world.apply(&frozen(true));
    world.apply(&Step::RunRounds(100));
    world.apply(&Step::RunRounds(100));
    assert_eq!(world.nodes[2].open, 0);
    world.apply(&frozen(false));
    for _ in 0..100 {
        world.apply(&Step::RunRounds(1));
        assert!(world.open() <= LIMIT);
    }
    assert!(world.nodes[2].open > 0);
}

/// A new epoch is claimed while a home is frozen. When the home resumes, its lease has expired and
/// the earlier ledger may have granted its share to others, so its allowance must not be renewed.
/// A shrunk case of `the_limit_is_never_exceeded`.
#[test]
fn a_claim_while_a_home_is_frozen_keeps_the_limit() {
    let steps = [
        Step::RunRounds(87),
        Step::RunRounds(94),
        Step::Freeze {
            node: 3,
            frozen: true,
        },
        Step::RunRounds(75),
        Step::RunRounds(78),
        Step::ClaimEpoch(0),
        Step::Freeze {
            node: 3,
            frozen: false,
        },
        Step::RunRounds(1),
        Step::Wait(0),
    ];
    let mut world = World::new();
    for step in &steps {
        world.apply(step);
        assert!(world.open() <= LIMIT, "{step:?}");
    }
}
