//! The control state machine of one node.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};

use super::machine_list::MachineListSchedule;
use super::message::{GossipBody, GossipMessage};
use crate::distribution::{
    Distribution, DistributionAction, DistributionConfig, DistributionEvent, DistributionMessage,
    DocumentStore, FetchedChanges, ReadFailure,
};
use crate::homes::{rendezvous_score, subject_digest};
use crate::membership::{
    Destination, ListedMachine, MemberChange, MemberIdentity, Membership, MembershipAction,
    MembershipConfig, MembershipEvent, NodeKey, Transport,
};
use crate::time::Timestamp;

/// Configuration of all control protocols.
#[derive(Debug, Clone)]
pub struct ControlConfig {
    /// Configuration of the membership protocol.
    pub membership: Arc<MembershipConfig>,
    /// Configuration of the distribution of the document.
    pub distribution: Arc<DistributionConfig>,
    /// The minimum interval between two reads of the machine list by one watcher.
    pub machine_list_interval: Duration,
    /// The interval between two such reads per member of the cluster, if that is longer in total.
    pub machine_list_interval_per_member: Duration,
    /// The longest delay before a node that has not joined first reads the machine list.
    pub first_machine_list_max_delay: Duration,
}

impl Default for ControlConfig {
    fn default() -> Self {
        ControlConfig {
            membership: Arc::default(),
            distribution: Arc::default(),
            machine_list_interval: Duration::from_secs(10),
            machine_list_interval_per_member: Duration::from_millis(200),
            first_machine_list_max_delay: Duration::from_secs(2),
        }
    }
}

/// An input of the control state machine.
#[derive(Debug, Clone)]
pub enum ControlEvent {
    /// Time has passed; due at [`ControlNode::next_deadline`] at the latest, allowed earlier.
    Tick,
    /// A message from another node arrived.
    Received {
        /// The address that the datagram came from; `None` if it came over a connection.
        from: Option<SocketAddr>,
        /// The decoded message.
        message: GossipMessage,
    },
    /// The result of [`ControlAction::ReadMachineList`].
    MachineListRead(Result<Vec<ListedMachine>, ReadFailure>),
    /// The result of [`ControlAction::ReadHead`]: the newest version of the document.
    HeadRead(Result<u64, ReadFailure>),
    /// The result of [`ControlAction::FetchChanges`].
    ChangesFetched(Result<FetchedChanges, ReadFailure>),
    /// This node will stop and accepts no new work.
    Leave,
    /// This node stops now.
    Stop,
}

/// An output of the control state machine, to be carried out by the caller.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ControlAction {
    /// Send a message to another node.
    Send {
        /// The receiver and the transport.
        to: Destination,
        /// The message to send.
        message: GossipMessage,
    },
    /// Report a change of the view of the cluster to other parts of the node.
    MemberChanged(MemberChange),
    /// Report that this node's own probes made it suspect a member.
    SuspicionRaised(NodeKey),
    /// Read the platform's list of machines. Success and failure are both passed back as
    /// [`ControlEvent::MachineListRead`].
    ReadMachineList,
    /// Read the head, which holds the newest version of the document on the platform. Success and
    /// failure are both passed back as [`ControlEvent::HeadRead`].
    ReadHead,
    /// Read the changes after `since` up to `head`, or the whole document if they are many. Success
    /// and failure are both passed back as [`ControlEvent::ChangesFetched`].
    FetchChanges {
        /// The version on this node.
        since: u64,
        /// The version of the head that was read.
        head: u64,
    },
    /// Report that a newer version of the document is in force on this node.
    Installed {
        /// The version now in force.
        version: u64,
    },
}

/// The control state of one node: its view of the cluster and the document in force.
#[derive(Debug, Clone)]
pub struct ControlNode<S> {
    membership: Membership,
    distribution: Distribution<S>,
    machine_list: MachineListSchedule,
    random: SmallRng,
    watching: bool,
    watchers_per_zone: usize,
    zone_digest: u64,
    actions: Vec<ControlAction>,
}

impl<S: DocumentStore> ControlNode<S> {
    /// Creates a node that knows itself, the gossip addresses through which to join, and the
    /// document of `store`.
    ///
    /// The incarnation must be higher than any earlier one of a node of this name. The seed
    /// initialises the generator of all random choices; two nodes must not share it.
    pub fn new(
        now: Timestamp,
        identity: Arc<MemberIdentity>,
        incarnation: u64,
        seeds: Vec<SocketAddr>,
        store: S,
        config: &ControlConfig,
        seed: u64,
    ) -> Self {
        let mut random = SmallRng::seed_from_u64(seed);
        let zone_digest = subject_digest(identity.zone.as_str());
        let membership = Membership::new(
            identity,
            incarnation,
            seeds,
            config.membership.clone(),
            random.random(),
        );
        let distribution = Distribution::new(store, config.distribution.clone(), random.random());
        let machine_list = MachineListSchedule::new(
            now,
            config.first_machine_list_max_delay,
            config.machine_list_interval,
            config.machine_list_interval_per_member,
            &mut random,
        );
        let mut node = ControlNode {
            membership,
            distribution,
            machine_list,
            random,
            watching: false,
            watchers_per_zone: config.distribution.watchers_per_zone,
            zone_digest,
            actions: Vec::new(),
        };
        node.update_watching(now);
        node
    }

    /// Adds live members known from elsewhere, each with its incarnation, without sending any
    /// message; the node then counts as joined.
    pub fn preload(
        &mut self,
        now: Timestamp,
        members: impl IntoIterator<Item = (Arc<MemberIdentity>, u64)>,
    ) {
        self.membership.preload(members);
        self.update_watching(now);
    }

    /// Handles an event at time `now` and returns the actions to carry out.
    pub fn handle(&mut self, now: Timestamp, event: ControlEvent) -> Vec<ControlAction> {
        match event {
            ControlEvent::Tick => self.tick(now),
            ControlEvent::Received { from, message } => self.handle_message(now, from, message),
            ControlEvent::MachineListRead(answer) => self.handle_machine_list(now, answer),
            ControlEvent::HeadRead(answer) => {
                self.drive_distribution(now, DistributionEvent::HeadRead(answer))
            }
            ControlEvent::ChangesFetched(answer) => {
                self.drive_distribution(now, DistributionEvent::ChangesFetched(answer));
            }
            ControlEvent::Leave => self.drive_membership(now, MembershipEvent::Leave),
            ControlEvent::Stop => self.drive_membership(now, MembershipEvent::Stop),
        }
        std::mem::take(&mut self.actions)
    }

    /// Returns when [`ControlEvent::Tick`] is due at the latest.
    pub fn next_deadline(&self) -> Timestamp {
        let membership = self.membership.next_deadline();
        let distribution = self.distribution.next_deadline();
        let list = self.machine_list.next_deadline();
        membership.min(distribution).min(list.unwrap_or(membership))
    }

    /// Returns the membership state machine, with the view of the cluster.
    pub fn membership(&self) -> &Membership {
        &self.membership
    }

    /// Returns the distribution state machine, with the document and its version.
    pub fn distribution(&self) -> &Distribution<S> {
        &self.distribution
    }

    /// Whether this node is a watcher, which reads the platform on behalf of its zone.
    pub fn is_watcher(&self) -> bool {
        self.watching
    }

    /// Estimates the memory that the control state takes, in bytes.
    pub fn memory_bytes(&self) -> usize {
        size_of::<Self>() + self.membership.memory_bytes() + self.distribution.memory_bytes()
    }

    fn tick(&mut self, now: Timestamp) {
        self.drive_membership(now, MembershipEvent::Tick);
        self.drive_distribution(now, DistributionEvent::Tick);
        self.read_machine_list(now);
    }

    fn read_machine_list(&mut self, now: Timestamp) {
        if self.membership.is_joined() && !self.watching {
            let due = self.machine_list.next_deadline();
            if due.is_some_and(|due| due <= now) {
                let members = self.membership.members().len();
                self.machine_list.postpone(now, members, &mut self.random);
            }
        } else if self.machine_list.start_if_due(now) {
            self.actions.push(ControlAction::ReadMachineList);
        }
    }

    fn handle_machine_list(
        &mut self,
        now: Timestamp,
        answer: Result<Vec<ListedMachine>, ReadFailure>,
    ) {
        let members = self.membership.members().len();
        self.machine_list
            .record_result(now, answer.is_ok(), members, &mut self.random);
        if let Ok(machines) = answer {
            self.drive_membership(now, MembershipEvent::MachineList(machines));
        }
    }

    fn handle_message(&mut self, now: Timestamp, from: Option<SocketAddr>, message: GossipMessage) {
        let GossipMessage {
            sender,
            version,
            body,
        } = message;
        match body {
            GossipBody::Membership(message) => {
                let event = MembershipEvent::Received {
                    sender,
                    from,
                    message,
                };
                self.drive_membership(now, event);
            }
            GossipBody::Distribution(message) => {
                self.drive_distribution(now, DistributionEvent::Received { sender, message });
            }
        }
        let unreachable = self.membership.member(sender).is_some_and(|member| {
            !self
                .membership
                .members()
                .is_zone_reachable(&member.identity.zone)
        });
        if version > self.distribution.version() && !unreachable {
            let peer = sender;
            self.drive_distribution(now, DistributionEvent::PeerVersion { peer, version });
        }
    }

    fn drive_membership(&mut self, now: Timestamp, event: MembershipEvent) {
        let mut changed = false;
        for action in self.membership.handle(now, event) {
            match action {
                MembershipAction::Send { to, message } => {
                    self.send(to, GossipBody::Membership(message));
                }
                MembershipAction::MemberChanged(change) => {
                    changed |= self.affects_watchers(&change);
                    self.actions.push(ControlAction::MemberChanged(change));
                }
                MembershipAction::SuspicionRaised(key) => {
                    self.actions.push(ControlAction::SuspicionRaised(key));
                }
            }
        }
        if changed {
            self.update_watching(now);
        }
    }

    fn drive_distribution(&mut self, now: Timestamp, event: DistributionEvent) {
        for action in self.distribution.handle(now, event) {
            match action {
                DistributionAction::Send {
                    to,
                    message,
                    transport,
                } => self.send_distribution(to, message, transport),
                DistributionAction::Push {
                    own_zone,
                    other_zones,
                    message,
                    transport,
                } => {
                    for peer in self.membership.random_peers(own_zone, other_zones) {
                        let to = destination(&peer, transport);
                        self.send(to, GossipBody::Distribution(message.clone()));
                    }
                }
                DistributionAction::ReadHead => self.actions.push(ControlAction::ReadHead),
                DistributionAction::FetchChanges { since, head } => {
                    self.actions
                        .push(ControlAction::FetchChanges { since, head });
                }
                DistributionAction::Installed { version } => {
                    self.actions.push(ControlAction::Installed { version });
                }
            }
        }
    }

    fn send_distribution(
        &mut self,
        to: NodeKey,
        message: DistributionMessage,
        transport: Transport,
    ) {
        let Some(member) = self.membership.member(to) else {
            return;
        };
        let to = destination(&member.identity, transport);
        self.send(to, GossipBody::Distribution(message));
    }

    fn send(&mut self, to: Destination, body: GossipBody) {
        let message = GossipMessage {
            sender: self.membership.key(),
            version: self.distribution.version(),
            body,
        };
        self.actions.push(ControlAction::Send { to, message });
    }

    /// Whether a change can affect which nodes of the own zone are watchers.
    fn affects_watchers(&self, change: &MemberChange) -> bool {
        let own_zone = &self.membership.identity().zone;
        match change {
            MemberChange::Joined(identity) | MemberChange::Gone { identity, .. } => {
                identity.zone == *own_zone
            }
            MemberChange::StateChanged {
                identity,
                before,
                after,
            } => {
                identity.zone == *own_zone
                    && before.status.is_leaving() != after.status.is_leaving()
            }
        }
    }

    fn update_watching(&mut self, now: Timestamp) {
        let own = self.membership.identity().clone();
        let own_score = rendezvous_score(self.zone_digest, own.key());
        let leaving = self.membership.state().status.is_leaving();
        let higher_ranked = self
            .membership
            .members()
            .iter()
            .filter(|member| member.identity.zone == own.zone)
            .filter(|member| !member.state.status.is_leaving())
            .filter(|member| rendezvous_score(self.zone_digest, member.identity.key()) > own_score)
            .take(self.watchers_per_zone)
            .count();
        self.watching = !leaving && higher_ranked < self.watchers_per_zone;
        let event = DistributionEvent::Watching(self.watching);
        self.drive_distribution(now, event);
    }
}

fn destination(peer: &MemberIdentity, transport: Transport) -> Destination {
    match transport {
        Transport::Datagram => Destination::datagram(peer),
        Transport::Stream => Destination::stream(peer),
    }
}
