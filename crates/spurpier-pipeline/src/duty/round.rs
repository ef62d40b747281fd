//! The round in which all nodes yield to a succession, as the node runs it that has decided.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use nanoserde::SerBin;
use spurpier_core::leader::{LeaseReleaseRound, RoundState, Succession};
use spurpier_core::store_version::StoreVersion;
use spurpier_events::log_event;

use super::holder::{
    Decision, StoredYield, confirm_decision, read_duty, remove_yields, store_yield,
};
use super::messages::{NamedSuccession, PeerMessage};
use super::peers::Peers;
use crate::context::Context;
use crate::events;
use crate::group::{Group, OrderUnderWay};
use crate::homes::PeerNode;
use crate::membership::succession_key;
use crate::ports::{Row, Table};

/// How often the store is asked whether a decision is the newest before it is given up.
const VERIFICATIONS: usize = 3;
/// How long the deciding node may take to ask this one before it tells the store by itself.
const ASKED_WITHIN: Duration = Duration::from_millis(250);
/// How often this node tells the store that it has yielded, until the store answers.
const STORED_YIELDS: usize = 8;
/// How long this node may take to be told the list of nodes as of its decision.
const LIST_LIMIT: Duration = Duration::from_secs(3);
/// How often it is looked whether it has been told.
const LIST_PAUSE: Duration = Duration::from_millis(10);
/// The pause after a look at the store that told nothing new.
const LOOK_PAUSE: Duration = Duration::from_millis(100);
/// For how long nodes are awaited before their names are logged.
const LOGGED_AFTER: Duration = Duration::from_millis(600);

/// A decision whose successor may be ordered to lead once all have yielded.
pub struct Round<'a> {
    context: &'a Context,
    peers: &'a Peers,
    group: &'a Group,
    decision: &'a Decision,
    round: LeaseReleaseRound,
    holders: Vec<PeerNode>,
    /// Whether the holders are all that were listed when the decision was stored, or do not matter.
    is_complete: bool,
    stored: Vec<StoredYield>,
    has_logged: bool,
}

impl<'a> Round<'a> {
    /// The round of a decision that has just been stored.
    ///
    /// A node that is listed later than the decision was stored reads it before it uses a lead.
    pub fn new(
        context: &'a Context,
        peers: &'a Peers,
        group: &'a Group,
        decision: &'a Decision,
    ) -> Self {
        let holders = lease_holders(context, group);
        let round = LeaseReleaseRound::new(
            decision.succession.token,
            decision.sent_at,
            decision.stored_at,
            holders.iter().map(|holder| holder.name.clone()),
        );
        Round {
            context,
            peers,
            group,
            decision,
            round,
            holders,
            is_complete: false,
            stored: Vec::new(),
            has_logged: false,
        }
    }

    /// Takes in that the former primary has stepped down: nobody can use it any more.
    pub fn note_stepped_down(&mut self) {
        self.round.clear_pending();
        self.is_complete = true;
    }

    /// Waits until the successor may be ordered to lead; the order must leave at once. None if a
    /// newer decision is known, if the store may have lost this one, or if it does not tell.
    pub async fn await_order(&mut self) -> Option<OrderUnderWay<'a>> {
        loop {
            if self.context.era() != self.decision.version.era() {
                return None;
            }
            let now = self.context.clock.now();
            match self.round.state(self.group.token(), now) {
                RoundState::Superseded => return None,
                RoundState::Promote if !self.is_complete => self.complete_holders().await?,
                RoundState::Promote => return Some(self.group.start_ordering()),
                RoundState::Verify => self.verify().await?,
                RoundState::Wait => {
                    self.ask_awaited().await;
                    self.log_awaited();
                    self.look_at_store().await;
                }
            }
        }
    }

    /// Waits until the list of nodes is known as it was when the decision was stored, and takes in
    /// who is new on it; none if that takes long.
    async fn complete_holders(&mut self) -> Option<()> {
        let context = self.context;
        let limit = self.decision.stored_at + LIST_LIMIT;
        while context.known_tables.version(Table::Cluster) < self.decision.version {
            if context.clock.now() >= limit {
                return None;
            }
            tokio::time::sleep(LIST_PAUSE).await;
        }
        for holder in lease_holders(context, self.group) {
            let is_known = self.holders.iter().any(|known| known.name == holder.name);
            if !is_known {
                self.round.add_node(holder.name.clone());
                self.holders.push(holder);
            }
        }
        self.is_complete = true;
        Some(())
    }

    /// Forgets what nodes have told the store for this round.
    pub async fn clean_up(&self) {
        remove_yields(self.context, &self.stored).await;
    }

    async fn ask_awaited(&mut self) {
        let awaited = self.holders.iter();
        let awaited = awaited.filter(|holder| self.round.is_pending(&holder.name));
        let names: HashMap<SocketAddr, String> = awaited
            .map(|holder| (holder.address, holder.name.clone()))
            .collect();
        let addresses: Vec<SocketAddr> = names.keys().copied().collect();
        let question = |number| PeerMessage::AskYield {
            number,
            group: self.group.name.clone(),
            succession: NamedSuccession::of(&self.decision.succession),
            version: self.decision.version,
            details: self.decision.succession.details(),
        };
        let answers = self.peers.ask(question, &addresses).await;
        for (address, answer) in answers {
            if let (Some(name), PeerMessage::Yielded { token, .. }) = (names.get(&address), answer)
            {
                self.round.record_release(name, token);
            }
        }
    }

    fn log_awaited(&mut self) {
        let now = self.context.clock.now();
        let awaited = self.holders.iter();
        let awaited = awaited.filter(|holder| self.round.is_pending(&holder.name));
        let awaited: Vec<&str> = awaited.map(|holder| holder.name.as_str()).collect();
        let is_long = now.since(self.decision.stored_at) >= LOGGED_AFTER;
        if self.has_logged || awaited.is_empty() || !is_long {
            return;
        }
        self.has_logged = true;
        log_event!(
            events::NODES_AWAITED,
            group = self.group.name,
            token = self.round.token(),
            nodes = awaited.join(" ")
        );
    }

    /// Takes in which nodes have told the store that they have yielded.
    async fn look_at_store(&mut self) {
        if let Some(duty) = read_duty(self.context).await {
            let yields = duty.yields.into_iter();
            self.stored = yields
                .filter(|known| known.group == self.group.name)
                .collect();
            for known in &self.stored {
                self.round.record_release(&known.node, known.token);
            }
        }
        tokio::time::sleep(LOOK_PAUSE).await;
    }

    /// Asks the store whether the decision is still the group's newest; none if it is not, or if
    /// the store does not tell for long.
    async fn verify(&mut self) -> Option<()> {
        for _ in 0..VERIFICATIONS {
            let asked_at = self.context.clock.now();
            match confirm_decision(self.context, self.group, self.decision).await {
                Some(true) => {
                    self.round.record_verification(asked_at);
                    return Some(());
                }
                Some(false) => return None,
                None => tokio::time::sleep(LOOK_PAUSE).await,
            }
        }
        None
    }
}

fn lease_holders(context: &Context, group: &Group) -> Vec<PeerNode> {
    let now = context.clock.now();
    context.homes.lease_holders(&group.name, now)
}

/// Takes in a succession that the deciding node has told of, and tells whether this node may say
/// that it has yielded: not while its own order for the group is under way.
pub fn yield_to(
    context: &Context,
    group: &Group,
    succession: &Succession,
    version: StoreVersion,
) -> bool {
    if group.is_ordering() {
        return false;
    }
    context.take_succession(group, succession);
    // A node that asks this one for the table, as after a restart, must learn of it too.
    let row = Row {
        key: succession_key(&group.name),
        value: Bytes::from(succession.serialize_bin()),
        version,
        gone: false,
    };
    context.known_tables.insert(Table::Cluster, &row);
    group.note_asked(succession.token);
    true
}

/// Tells the deciding node by way of the store that this node has yielded, unless that one has
/// asked this one meanwhile or does not wait for it.
pub async fn yield_by_store(context: Arc<Context>, group: Arc<Group>, token: u64) {
    for _ in 0..STORED_YIELDS {
        tokio::time::sleep(ASKED_WITHIN).await;
        if !context.homes.is_awaited(&group.name, context.clock.now()) {
            return;
        }
        let is_told = group.asked_token() >= token || group.token() > token;
        if is_told || (!group.is_ordering() && store_yield(&context, &group, token).await) {
            return;
        }
    }
}
