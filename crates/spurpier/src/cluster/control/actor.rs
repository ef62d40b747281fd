//! The actor that owns the control state of a node.

use std::sync::Arc;
use std::time::Duration;

use arc_swap::ArcSwap;
use kameo::prelude::*;
use spurpier_core::control::{ControlAction, ControlEvent, ControlNode, GossipMessage};
use spurpier_core::distribution::OwnedDocument;
use spurpier_core::homes::HomeTable;
use spurpier_core::membership::{Destination, MemberChange, NodeKey, Transport};
use spurpier_core::policy::policy_from_entries;
use spurpier_core::time::Timestamp;
use spurpier_protocol::gossip;
use tokio::net::UdpSocket;
use tokio::sync::watch;

use super::datagrams;
use super::platform_reads::PlatformReads;
use super::reach::Reach;
use super::timer::Clock;
use super::view::ClusterView;
use crate::cluster::forwarding::Peers;
use crate::cluster::homes::HomeAddress;
use crate::events::cluster::{NODE_GONE, NODE_JOINED, NODE_LEAVING, NODE_SUSPECTED};
use crate::events::policy::POLICY_DOCUMENT_INVALID;
use crate::log_event;
use crate::policy::{PolicyHandle, PublishedPolicy};

/// How long a connection for a large control message may take.
const STREAM_PATIENCE: Duration = Duration::from_secs(1);

/// Owns the control state and carries out its actions.
#[derive(Debug)]
pub(super) struct ControlActor {
    pub node: ControlNode<OwnedDocument>,
    pub homes: HomeTable,
    pub clock: Clock,
    pub deadline: watch::Sender<Timestamp>,
    pub socket: Arc<UdpSocket>,
    pub reach: Reach,
    pub peers: Arc<Peers>,
    pub reads: PlatformReads,
    pub policy: PolicyHandle,
    pub view: Arc<ArcSwap<ClusterView>>,
}

/// Something happened that the control state must know of.
#[derive(Debug)]
pub(super) struct Happened(pub ControlEvent);

/// A request that is answered once everything sent before has been handled.
#[derive(Debug, Clone, Copy)]
pub(super) struct Synchronize;

impl Actor for ControlActor {
    type Args = Self;
    type Error = std::convert::Infallible;

    async fn on_start(mut actor: Self, own: ActorRef<Self>) -> Result<Self, Self::Error> {
        actor.handle_event(ControlEvent::Tick, &own).await;
        actor.publish_view();
        Ok(actor)
    }
}

impl Message<Happened> for ControlActor {
    type Reply = ();

    async fn handle(&mut self, message: Happened, context: &mut Context<Self, ()>) {
        let own = context.actor_ref().clone();
        self.handle_event(message.0, &own).await;
    }
}

impl Message<Synchronize> for ControlActor {
    type Reply = ();

    async fn handle(&mut self, _: Synchronize, _: &mut Context<Self, ()>) {}
}

impl ControlActor {
    async fn handle_event(&mut self, event: ControlEvent, own: &ActorRef<Self>) {
        let is_leaving = matches!(event, ControlEvent::Leave | ControlEvent::Stop);
        let was_joined = self.node.membership().is_joined();
        let was_watcher = self.node.is_watcher();
        let actions = self.node.handle(self.clock.now(), event);
        let mut has_changed = is_leaving
            || was_joined != self.node.membership().is_joined()
            || was_watcher != self.node.is_watcher();
        if is_leaving {
            self.homes.remove(self.node.membership().key());
        }
        for action in actions {
            has_changed |= changes_view(&action);
            self.carry_out(action, own).await;
        }
        if has_changed {
            self.publish_view();
        }
        self.deadline.send_replace(self.node.next_deadline());
    }

    async fn carry_out(&mut self, action: ControlAction, own: &ActorRef<Self>) {
        match action {
            ControlAction::Send { to, message } => self.send(to, &message),
            ControlAction::MemberChanged(change) => self.member_changed(&change),
            ControlAction::SuspicionRaised(key) => self.log_suspicion(key),
            ControlAction::ReadMachineList => {
                self.read(own, |reads| async move { reads.machine_list().await });
            }
            ControlAction::ReadHead => self.read(own, |reads| async move { reads.head().await }),
            ControlAction::FetchChanges { head, .. } => {
                self.read(own, move |reads| async move { reads.changes(head).await });
            }
            ControlAction::Installed { version } => self.install(version).await,
        }
    }

    /// Reads from the platform in a task of its own, since it may be slow.
    fn read<Read, Reading>(&self, own: &ActorRef<Self>, read: Read)
    where
        Read: FnOnce(PlatformReads) -> Reading,
        Reading: Future<Output = ControlEvent> + Send + 'static,
    {
        let reading = read(self.reads.clone());
        let own = own.clone();
        tokio::spawn(async move {
            // An actor that has ended needs no answer.
            let _ = own.tell(Happened(reading.await)).send().await;
        });
    }

    fn send(&self, to: Destination, message: &GossipMessage) {
        match to.transport {
            Transport::Datagram => {
                let address = self.reach.gossip(to.key, to.address);
                datagrams::send(&self.socket, address, message);
            }
            Transport::Stream => self.send_by_stream(to, message),
        }
    }

    fn send_by_stream(&self, to: Destination, message: &GossipMessage) {
        let Some(member) = to.key.and_then(|key| self.node.membership().member(key)) else {
            return;
        };
        let address = HomeAddress {
            node: member.identity.name.clone(),
            internal: self.reach.internal(&member.identity),
        };
        let bytes = gossip::encode(message);
        let peers = self.peers.clone();
        tokio::spawn(async move {
            // The protocol repeats what is lost.
            let _ = peers.send_control(&address, bytes, STREAM_PATIENCE).await;
        });
    }

    fn member_changed(&mut self, change: &MemberChange) {
        self.homes.apply(change);
        match change {
            MemberChange::Joined(identity) => {
                log_event!(NODE_JOINED, node = identity.name, zone = identity.zone);
            }
            MemberChange::StateChanged {
                identity,
                before,
                after,
            } => {
                if after.status.is_leaving() && !before.status.is_leaving() {
                    log_event!(NODE_LEAVING, node = identity.name, zone = identity.zone);
                }
            }
            MemberChange::Gone { identity, status } => {
                self.peers.forget(&identity.name);
                let status = format!("{status:?}");
                log_event!(NODE_GONE, node = identity.name, status = status);
            }
        }
    }

    fn log_suspicion(&self, key: NodeKey) {
        if let Some(member) = self.node.membership().member(key) {
            let identity = member.identity;
            log_event!(NODE_SUSPECTED, node = identity.name, zone = identity.zone);
        }
    }

    /// Offers the policy in the document, which is then in force if it is sound.
    async fn install(&self, version: u64) {
        match policy_from_entries(self.node.distribution().document()) {
            Ok((head, document)) => self.policy.offer(PublishedPolicy { head, document }).await,
            Err(error) => {
                log_event!(POLICY_DOCUMENT_INVALID, version = version, error = error);
            }
        }
    }

    fn publish_view(&self) {
        let view = ClusterView::new(
            self.node.membership(),
            &self.homes,
            &self.reach,
            self.node.is_watcher(),
            self.node.distribution().version(),
        );
        self.view.store(Arc::new(view));
    }
}

fn changes_view(action: &ControlAction) -> bool {
    matches!(
        action,
        ControlAction::MemberChanged(_) | ControlAction::Installed { .. }
    )
}
