//! The round in which all nodes release their leader leases for a succession, as run by the node
//! that has decided.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use nanoserde::SerBin;
use spurpier_core::leader::{LeaseReleaseRound, RoundState, Succession};
use spurpier_core::store_version::StoreVersion;
use spurpier_core::wire::Text;
use spurpier_events::log_event;

use super::lease::{
    Decision, StoredRelease, confirm_decision, read_promotion_lease, remove_releases, store_release,
};
use super::messages::{NamedSuccession, PeerMessage};
use super::peers::Peers;
use crate::context::Context;
use crate::events;
use crate::group::{Group, PromotionInProgress};
use crate::homes::PeerNode;
use crate::membership::succession_key;
use crate::ports::{Row, Table};

/// How often the store is asked whether a decision is the newest before the round is abandoned.
const MAX_VERIFICATION_ATTEMPTS: usize = 3;
/// How long the deciding node may take to contact this node before it reports its release through
/// the store.
const STORE_RELEASE_DELAY: Duration = Duration::from_millis(250);
/// How often this node tries to report its release to the store until the store answers.
const MAX_STORE_RELEASE_ATTEMPTS: usize = 8;
/// How long this node may take to receive the list of nodes as of its decision.
const NODE_LIST_TIMEOUT: Duration = Duration::from_secs(3);
/// How often the list's version is checked.
const NODE_LIST_POLL_INTERVAL: Duration = Duration::from_millis(10);
/// The delay before the store is read again.
const STORE_POLL_INTERVAL: Duration = Duration::from_millis(100);
/// How long a round waits before the names of the pending nodes are logged.
const PENDING_LOG_DELAY: Duration = Duration::from_millis(600);

/// The round of a decision, whose successor may be promoted once all nodes have released their
/// leases.
pub struct ReleaseRound<'a> {
    context: &'a Context,
    peers: &'a Peers,
    group: &'a Group,
    decision: &'a Decision,
    round: LeaseReleaseRound,
    holders: Vec<PeerNode>,
    /// Whether `holders` contains all nodes that were listed when the decision was stored, or is no
    /// longer needed.
    holders_complete: bool,
    stored_releases: Vec<StoredRelease>,
    has_logged_pending: bool,
}

impl<'a> ReleaseRound<'a> {
    /// Starts the round of a decision that has just been stored.
    ///
    /// A node that is listed later reads the decision before it uses a leader.
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
        ReleaseRound {
            context,
            peers,
            group,
            decision,
            round,
            holders,
            holders_complete: false,
            stored_releases: Vec::new(),
            has_logged_pending: false,
        }
    }

    /// Records that the former primary has stepped down: no node can use it any more.
    pub fn record_step_down(&mut self) {
        self.round.clear_pending();
        self.holders_complete = true;
    }

    /// Waits until the successor may be promoted, which must then be requested immediately. Returns
    /// `None` if a newer decision is known, if the store may have lost this one, or if the store or
    /// the list of nodes does not become available in time.
    pub async fn wait_until_promotable(&mut self) -> Option<PromotionInProgress<'a>> {
        loop {
            if self.context.era() != self.decision.version.era() {
                return None;
            }
            let now = self.context.clock.now();
            match self.round.state(self.group.token(), now) {
                RoundState::Superseded => return None,
                RoundState::Promote if !self.holders_complete => self.complete_holders().await?,
                RoundState::Promote => return Some(self.group.start_promoting()),
                RoundState::Verify => self.verify().await?,
                RoundState::Wait => {
                    self.request_releases().await;
                    self.log_pending();
                    self.record_stored_releases().await;
                }
            }
        }
    }

    /// Waits until this node has the list of nodes as of the decision, and adds the new ones.
    /// Returns `None` if that takes longer than [`NODE_LIST_TIMEOUT`].
    async fn complete_holders(&mut self) -> Option<()> {
        let context = self.context;
        let limit = self.decision.stored_at + NODE_LIST_TIMEOUT;
        while context.known_tables.version(Table::Cluster) < self.decision.version {
            if context.clock.now() >= limit {
                return None;
            }
            tokio::time::sleep(NODE_LIST_POLL_INTERVAL).await;
        }
        for holder in lease_holders(context, self.group) {
            let is_known = self.holders.iter().any(|known| known.name == holder.name);
            if !is_known {
                self.round.add_node(holder.name.clone());
                self.holders.push(holder);
            }
        }
        self.holders_complete = true;
        Some(())
    }

    /// Removes the releases from the store that nodes have reported for this round.
    pub async fn remove_stored_releases(&self) {
        remove_releases(self.context, &self.stored_releases).await;
    }

    async fn request_releases(&mut self) {
        let pending = self.holders.iter();
        let pending = pending.filter(|holder| self.round.is_pending(&holder.name));
        let names: HashMap<SocketAddr, String> = pending
            .map(|holder| (holder.address, holder.name.clone()))
            .collect();
        let addresses: Vec<SocketAddr> = names.keys().copied().collect();
        let request = |request_id| PeerMessage::AskLeaseRelease {
            request_id,
            group: Text::from(&self.group.name),
            succession: NamedSuccession::of(&self.decision.succession),
            version: self.decision.version,
            details: self.decision.succession.details(),
        };
        let answers = self
            .peers
            .request(&self.group.name, request, &addresses)
            .await;
        for (address, answer) in answers {
            if let (Some(name), PeerMessage::LeaseReleased { token, .. }) =
                (names.get(&address), answer)
            {
                self.round.record_release(name, token);
            }
        }
    }

    fn log_pending(&mut self) {
        let now = self.context.clock.now();
        let pending = self.holders.iter();
        let pending = pending.filter(|holder| self.round.is_pending(&holder.name));
        let pending: Vec<&str> = pending.map(|holder| holder.name.as_str()).collect();
        let is_long = now.since(self.decision.stored_at) >= PENDING_LOG_DELAY;
        if self.has_logged_pending || pending.is_empty() || !is_long {
            return;
        }
        self.has_logged_pending = true;
        log_event!(
            events::WAITING_FOR_NODES,
            group = self.group.name,
            token = self.round.token(),
            nodes = pending.join(" ")
        );
    }

    /// Records which nodes have reported their release through the store.
    async fn record_stored_releases(&mut self) {
        if let Some(state) = read_promotion_lease(self.context).await {
            let releases = state.releases.into_iter();
            self.stored_releases = releases
                .filter(|release| release.group == self.group.name)
                .collect();
            for release in &self.stored_releases {
                self.round.record_release(&release.node, release.token);
            }
        }
        tokio::time::sleep(STORE_POLL_INTERVAL).await;
    }

    /// Asks the store whether the decision is still the group's newest. Returns `None` if it is
    /// not, or if the store does not answer any attempt.
    async fn verify(&mut self) -> Option<()> {
        for _ in 0..MAX_VERIFICATION_ATTEMPTS {
            let asked_at = self.context.clock.now();
            match confirm_decision(self.context, self.group, self.decision).await {
                Some(true) => {
                    self.round.record_verification(asked_at);
                    return Some(());
                }
                Some(false) => return None,
                None => tokio::time::sleep(STORE_POLL_INTERVAL).await,
            }
        }
        None
    }
}

fn lease_holders(context: &Context, group: &Group) -> Vec<PeerNode> {
    let now = context.clock.now();
    context.homes.lease_holders(&group.name, now)
}

/// Records a succession that the deciding node has reported, and returns whether this node may
/// confirm the release of its lease. It may not while its own promotion for the group is in flight.
pub fn accept_succession(
    context: &Context,
    group: &Group,
    succession: &Succession,
    version: StoreVersion,
) -> bool {
    if group.is_promoting() {
        return false;
    }
    context.record_succession(group, succession);
    // A node that requests the table from this one, as after a restart, must receive the row too.
    let row = Row {
        key: succession_key(&group.name),
        value: Bytes::from(succession.serialize_bin()),
        version,
        gone: false,
    };
    context.known_tables.insert(Table::Cluster, &row);
    group.record_release_request(succession.token);
    true
}

/// Reports through the store that this node has released its lease, unless the deciding node has
/// contacted it meanwhile or does not wait for it.
pub async fn report_release_by_store(context: Arc<Context>, group: Arc<Group>, token: u64) {
    for _ in 0..MAX_STORE_RELEASE_ATTEMPTS {
        tokio::time::sleep(STORE_RELEASE_DELAY).await;
        if !context.homes.is_awaited(&group.name, context.clock.now()) {
            return;
        }
        let is_release_known = group.release_request_token() >= token || group.token() > token;
        if is_release_known
            || (!group.is_promoting() && store_release(&context, &group, token).await)
        {
            return;
        }
    }
}
