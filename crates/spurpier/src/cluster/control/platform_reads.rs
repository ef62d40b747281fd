//! What watchers read from the platform for their zone.

use std::sync::Arc;

use arc_swap::ArcSwap;
use error_stack::Report;
use spurpier_core::control::ControlEvent;
use spurpier_core::distribution::{FetchedChanges, ReadFailure};
use spurpier_core::membership::ListedMachine;
use spurpier_core::policy::policy_entries;

use crate::events::policy::{
    MACHINE_LIST_UNREADABLE, POLICY_DOCUMENT_UNREADABLE, POLICY_HEAD_UNREADABLE,
};
use crate::log_event;
use crate::platform::wire::{MachineKind, MachineList};
use crate::platform::{PlatformClient, PlatformError};
use crate::policy::{PolicyStore, PolicyStoreError};

/// Reads from the platform and says what came of it.
#[derive(Debug, Clone)]
pub(super) struct PlatformReads {
    pub client: PlatformClient,
    pub store: PolicyStore,
    /// The newest list of machines that was read.
    pub machines: Arc<ArcSwap<MachineList>>,
}

impl PlatformReads {
    /// Reads the version of the policy head; 0 when there is none.
    pub async fn head(&self) -> ControlEvent {
        let head = match self.store.read_head().await {
            Ok(row) => Ok(row.head.map_or(0, |head| head.version)),
            Err(report) => {
                log_event!(POLICY_HEAD_UNREADABLE, error = report.current_context());
                Err(failure_of_store(&report))
            }
        };
        ControlEvent::HeadRead(head)
    }

    /// Reads the policy of a version.
    pub async fn changes(&self, version: u64) -> ControlEvent {
        let changes = match self.policy(version).await {
            Ok(changes) => Ok(changes),
            Err(report) => {
                log_event!(
                    POLICY_DOCUMENT_UNREADABLE,
                    version = version,
                    error = report.current_context()
                );
                Err(failure_of_store(&report))
            }
        };
        ControlEvent::ChangesFetched(changes)
    }

    async fn policy(&self, version: u64) -> Result<FetchedChanges, Report<PolicyStoreError>> {
        let head = self.store.read_history(version).await?;
        let head = head.ok_or_else(|| Report::new(PolicyStoreError::DocumentMissing))?;
        let document = self.store.read_document(&head.digest).await?;
        Ok(FetchedChanges::FullDocument {
            version,
            entries: policy_entries(&head, &document),
        })
    }

    /// Reads the list of machines and keeps it.
    pub async fn machine_list(&self) -> ControlEvent {
        let listed = match self.client.machines().await {
            Ok(list) => {
                let proxies = listed_proxies(&list);
                self.machines.store(Arc::new(list));
                Ok(proxies)
            }
            Err(report) => {
                log_event!(MACHINE_LIST_UNREADABLE, error = report.current_context());
                Err(failure_of_platform(*report.current_context()))
            }
        };
        ControlEvent::MachineListRead(listed)
    }
}

fn listed_proxies(list: &MachineList) -> Vec<ListedMachine> {
    list.machines
        .iter()
        .filter(|machine| machine.kind == MachineKind::Proxy)
        .filter_map(|machine| {
            Some(ListedMachine {
                name: machine.name.as_str().into(),
                zone: machine.zone.as_str().into(),
                gossip: machine.addresses.gossip?,
            })
        })
        .collect()
}

fn failure_of_store(report: &Report<PolicyStoreError>) -> ReadFailure {
    match report.current_context() {
        PolicyStoreError::Platform(error) => failure_of_platform(*error),
        PolicyStoreError::Damaged | PolicyStoreError::DocumentMissing => ReadFailure::default(),
    }
}

fn failure_of_platform(error: PlatformError) -> ReadFailure {
    let retry_after = match error {
        PlatformError::RateLimited { retry_after } => Some(retry_after),
        _ => None,
    };
    ReadFailure { retry_after }
}
