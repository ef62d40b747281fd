//! The actor that holds the policy in force, and the handle by which others use it.

use std::sync::Arc;
use std::time::Duration;

use arc_swap::ArcSwapOption;
use kameo::prelude::*;
use spurpier_core::policy::{PolicyDocument, PolicyHead, PolicyInForce};
use tokio::sync::watch;

use super::poller::poll_head;
use super::store::PolicyStore;
use crate::events::policy::{
    POLICY_DOCUMENT_INVALID, POLICY_DOCUMENT_UNREADABLE, POLICY_IN_FORCE, POLICY_VERSION_DISPUTED,
};
use crate::log_event;

/// An accepted policy as it can be handed on to peers.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PublishedPolicy {
    /// Its head.
    pub head: PolicyHead,
    /// Its document.
    pub document: PolicyDocument,
}

/// What readers see; written by the actor alone.
#[derive(Debug, Clone, Default)]
struct PolicyCells {
    in_force: Arc<ArcSwapOption<PolicyInForce>>,
    published: Arc<ArcSwapOption<PublishedPolicy>>,
}

/// Moves this node from policy to policy, to higher versions only.
#[derive(Debug)]
pub struct PolicyHolder {
    store: PolicyStore,
    cells: PolicyCells,
    /// The version whose document is being read; 0 for none.
    fetching: u64,
    /// The newest head heard of while another document was being read.
    next: Option<PolicyHead>,
}

impl Actor for PolicyHolder {
    type Args = Self;
    type Error = std::convert::Infallible;

    async fn on_start(holder: Self, _: ActorRef<Self>) -> Result<Self, Self::Error> {
        Ok(holder)
    }
}

/// A head was read, or a peer named it.
#[derive(Debug, Clone)]
struct Announced(PolicyHead);

/// A document that may be newer than the one in force.
#[derive(Debug, Clone)]
struct Offered(PublishedPolicy);

/// The reading of a document has ended, with or without success.
#[derive(Debug, Clone, Copy)]
struct FetchEnded;

impl Message<Announced> for PolicyHolder {
    type Reply = ();

    async fn handle(&mut self, message: Announced, context: &mut Context<Self, ()>) {
        self.announced(message.0, context.actor_ref());
    }
}

impl Message<Offered> for PolicyHolder {
    type Reply = ();

    async fn handle(&mut self, message: Offered, _: &mut Context<Self, ()>) {
        self.offered(message.0);
    }
}

impl Message<FetchEnded> for PolicyHolder {
    type Reply = ();

    async fn handle(&mut self, _: FetchEnded, context: &mut Context<Self, ()>) {
        self.fetching = 0;
        if let Some(head) = self.next.take() {
            self.announced(head, context.actor_ref());
        }
    }
}

impl PolicyHolder {
    fn version(&self) -> Option<u64> {
        self.cells
            .in_force
            .load()
            .as_ref()
            .map(|policy| policy.version())
    }

    fn is_newer(&self, version: u64) -> bool {
        self.version().is_none_or(|present| version > present)
    }

    fn announced(&mut self, head: PolicyHead, own: &ActorRef<Self>) {
        if !self.is_newer(head.version) {
            self.compare_digest(&head);
            return;
        }
        if self.fetching > 0 {
            let next = self
                .next
                .as_ref()
                .map_or(self.fetching, |next| next.version);
            if head.version > next {
                self.next = Some(head);
            }
            return;
        }
        self.fetching = head.version;
        // The read takes as long as the platform; the mailbox must not wait for it.
        tokio::spawn(fetch(self.store.clone(), head, own.clone()));
    }

    fn compare_digest(&self, head: &PolicyHead) {
        let published = self.cells.published.load();
        let Some(published) = published.as_ref() else {
            return;
        };
        if published.head.version == head.version && published.head.digest != head.digest {
            log_event!(
                POLICY_VERSION_DISPUTED,
                version = head.version,
                digest = head.digest,
                in_force = published.head.digest
            );
        }
    }

    fn offered(&mut self, offered: PublishedPolicy) {
        let PublishedPolicy { head, document } = &offered;
        if !self.is_newer(head.version) {
            self.compare_digest(head);
            return;
        }
        if document.version != head.version || document.digest() != head.digest {
            log_event!(
                POLICY_DOCUMENT_INVALID,
                version = head.version,
                error = "it does not belong to its head"
            );
            return;
        }
        match PolicyInForce::from_document(document) {
            Ok(policy) => {
                log_event!(
                    POLICY_IN_FORCE,
                    version = head.version,
                    digest = head.digest,
                    publish_id = head.publish_id
                );
                self.cells.in_force.store(Some(Arc::new(policy)));
                self.cells.published.store(Some(Arc::new(offered)));
            }
            Err(error) => {
                log_event!(
                    POLICY_DOCUMENT_INVALID,
                    version = head.version,
                    error = error
                );
            }
        }
    }
}

async fn fetch(store: PolicyStore, head: PolicyHead, holder: ActorRef<PolicyHolder>) {
    match store.read_document(&head.digest).await {
        Ok(document) => {
            let offered = Offered(PublishedPolicy { head, document });
            // A holder that has stopped needs no document.
            let _ = holder.tell(offered).send().await;
        }
        Err(report) => log_event!(
            POLICY_DOCUMENT_UNREADABLE,
            version = head.version,
            error = report.current_context()
        ),
    }
    let _ = holder.tell(FetchEnded).send().await;
}

/// The policy of this node: for readers, for gossip, and for whoever finds a newer one.
#[derive(Debug, Clone)]
pub struct PolicyHandle {
    cells: PolicyCells,
    holder: ActorRef<PolicyHolder>,
}

impl PolicyHandle {
    /// Starts a holder without a policy: until one is found, the node serves nothing.
    pub fn start(store: PolicyStore) -> PolicyHandle {
        let cells = PolicyCells::default();
        let holder = PolicyHolder::spawn(PolicyHolder {
            store,
            cells: cells.clone(),
            fetching: 0,
            next: None,
        });
        PolicyHandle { cells, holder }
    }

    /// Starts a holder that reads the head from the platform each `period` while `watching`, and
    /// until it knows a policy in any case.
    pub fn start_with_poller(
        store: PolicyStore,
        period: Duration,
        watching: watch::Receiver<bool>,
    ) -> PolicyHandle {
        let handle = PolicyHandle::start(store.clone());
        tokio::spawn(poll_head(store, period, watching, handle.clone()));
        handle
    }

    /// The cell that readers load for each request; empty until a policy is known.
    pub fn in_force(&self) -> Arc<ArcSwapOption<PolicyInForce>> {
        self.cells.in_force.clone()
    }

    /// The policy in force as it can be handed on to peers.
    pub fn published(&self) -> Option<Arc<PublishedPolicy>> {
        self.cells.published.load_full()
    }

    /// Tells of a head that the platform or a peer named; its document is read if it is newer.
    pub async fn announce(&self, head: PolicyHead) {
        // A holder that has stopped moves no more.
        let _ = self.holder.tell(Announced(head)).send().await;
    }

    /// Offers a document that came from a peer; it is taken if it is newer and sound.
    pub async fn offer(&self, policy: PublishedPolicy) {
        let _ = self.holder.tell(Offered(policy)).send().await;
    }

    /// Whether the holder still runs.
    pub fn is_alive(&self) -> bool {
        self.holder.is_alive()
    }
}
