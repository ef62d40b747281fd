//! Publication of a policy program as the successor of an expected version.
//!
//! A policy is accepted by one conditional transaction on the table service: it replaces the head
//! row and creates a history row only if the head row is still at the version that was read for
//! the expected policy. The history row of a version is written once and never changed. If the
//! answer to the transaction is lost, the history row shows whether this publication or a competing
//! one was accepted.

use std::collections::BTreeSet;

use super::publish_messages::{
    HeadRow, PlatformFailure, PublishAction, PublishConflict, PublishEvent, PublishOutcome,
    PublishRequest, TransactAnswer,
};
use super::{Placement, PolicyDocument, PolicyHead, PolicyProgram, check, next_placements};
use crate::identity::DatabaseName;

/// The maximum number of times that the transaction is sent.
const MAX_TRANSACT_ATTEMPTS: u32 = 6;

/// The state machine of one publication.
///
/// It performs no I/O: the caller executes each [`PublishAction`] and passes the result to
/// [`Publish::step`].
#[derive(Debug)]
pub struct Publish {
    request: PublishRequest,
    /// The compiled program; `None` if it is invalid and the publication has ended.
    program: Option<PolicyProgram>,
    pending_action: PublishAction,
    head_row_version: u64,
    prepared: Option<PreparedDocument>,
    /// The accepted head of the next version, while its document is read to compare it with the
    /// request.
    competing_head: Option<PolicyHead>,
    attempts: u32,
    /// Whether a transaction was sent whose outcome is unknown.
    acceptance_in_doubt: bool,
}

#[derive(Debug, Clone)]
struct PreparedDocument {
    document: PolicyDocument,
    head: PolicyHead,
}

impl Publish {
    /// Checks the program and returns the state machine with its first action.
    pub fn start(request: PublishRequest) -> (Publish, PublishAction) {
        let findings = check(&request.program, &request.databases);
        let first = if findings.is_empty() {
            PublishAction::ReadHead
        } else {
            PublishAction::Finish(PublishOutcome::Invalid(findings))
        };
        let publish = Publish {
            program: PolicyProgram::compile(&request.program).ok(),
            request,
            pending_action: first.clone(),
            head_row_version: 0,
            prepared: None,
            competing_head: None,
            attempts: 0,
            acceptance_in_doubt: false,
        };
        (publish, first)
    }

    /// Handles the result of the last action and returns the next action.
    ///
    /// Returns the last action again if the event is not a result of it.
    pub fn step(&mut self, event: PublishEvent) -> PublishAction {
        let next = match (&self.pending_action, event) {
            (PublishAction::ReadHead, PublishEvent::Head(answer)) => self.on_head(answer),
            (PublishAction::ReadHistory { .. }, PublishEvent::History(answer)) => {
                self.on_history(answer)
            }
            (PublishAction::ReadDocument { .. }, PublishEvent::Document(answer)) => {
                self.on_document(answer)
            }
            (PublishAction::StoreDocument { .. }, PublishEvent::Stored(answer)) => {
                self.on_stored(answer)
            }
            (PublishAction::Accept { .. }, PublishEvent::Transacted(answer)) => {
                self.on_transacted(answer)
            }
            _ => self.pending_action.clone(),
        };
        self.pending_action = next.clone();
        next
    }

    fn next_version(&self) -> u64 {
        self.request.expect_version + 1
    }

    fn read_history(&self) -> PublishAction {
        PublishAction::ReadHistory {
            version: self.next_version(),
        }
    }

    fn on_head(&mut self, answer: Result<HeadRow, PlatformFailure>) -> PublishAction {
        let row = match answer {
            Ok(row) => row,
            Err(failure) => return self.give_up(failure.why),
        };
        let current = row.head.as_ref().map_or(0, |head| head.version);
        if current > self.request.expect_version {
            return self.read_history();
        }
        if current < self.request.expect_version {
            let conflict = PublishConflict::NotReached { current };
            return PublishAction::Finish(PublishOutcome::Lost(conflict));
        }
        self.head_row_version = row.row_version;
        match row.head {
            Some(head) => PublishAction::ReadDocument {
                digest: head.digest,
            },
            None => self.store_document(&[]),
        }
    }

    fn store_document(&mut self, previous: &[Placement]) -> PublishAction {
        let Some(program) = &self.program else {
            return PublishAction::Finish(PublishOutcome::Invalid(Vec::new()));
        };
        let version = self.next_version();
        let placements = match next_placements(previous, program, &self.request.databases, version)
        {
            Ok(placements) => placements,
            Err(findings) => return PublishAction::Finish(PublishOutcome::Invalid(findings)),
        };
        let document = PolicyDocument {
            version,
            program: self.request.program.clone(),
            placements,
        };
        let digest = document.digest();
        let head = PolicyHead {
            version,
            digest: digest.clone(),
            publish_id: self.request.publish_id.clone(),
        };
        self.prepared = Some(PreparedDocument {
            document: document.clone(),
            head,
        });
        PublishAction::StoreDocument { document, digest }
    }

    fn on_stored(&mut self, answer: Result<(), PlatformFailure>) -> PublishAction {
        match answer {
            Ok(()) => self.accept("no answer from the platform"),
            Err(failure) => self.give_up(failure.why),
        }
    }

    /// Sends the transaction while attempts are left, and otherwise gives up with `reason`.
    fn accept(&mut self, reason: &str) -> PublishAction {
        let head = self.prepared.as_ref().map(|prepared| prepared.head.clone());
        match head {
            Some(head) if self.attempts < MAX_TRANSACT_ATTEMPTS => {
                self.attempts += 1;
                PublishAction::Accept {
                    head_row_version: self.head_row_version,
                    head,
                }
            }
            _ => self.give_up(reason.to_owned()),
        }
    }

    fn on_transacted(&mut self, answer: TransactAnswer) -> PublishAction {
        match answer {
            TransactAnswer::Accepted => self.accepted(false),
            TransactAnswer::Conflict => self.read_history(),
            TransactAnswer::NotApplied => self.accept("the platform refused the transaction"),
            TransactAnswer::Unknown => {
                self.acceptance_in_doubt = true;
                self.read_history()
            }
        }
    }

    fn accepted(&self, repeated: bool) -> PublishAction {
        let outcome = match &self.prepared {
            Some(prepared) => PublishOutcome::Accepted {
                head: prepared.head.clone(),
                document: prepared.document.clone(),
                repeated,
            },
            None => PublishOutcome::Unknown {
                why: "the platform accepted a transaction that was not sent".to_owned(),
            },
        };
        PublishAction::Finish(outcome)
    }

    fn on_history(&mut self, answer: Result<Option<PolicyHead>, PlatformFailure>) -> PublishAction {
        match answer {
            Err(failure) => self.give_up(failure.why),
            // Not accepted so far. A delayed transaction and a new one cannot both be accepted,
            // because both require the same version of the head row.
            Ok(None) => self.accept("the head has moved but its history row is missing"),
            Ok(Some(head)) => self.on_version_taken(head),
        }
    }

    fn on_version_taken(&mut self, head: PolicyHead) -> PublishAction {
        let is_own_publication = head.publish_id == self.request.publish_id;
        if is_own_publication && self.prepared.is_some() {
            return self.accepted(false);
        }
        let digest = head.digest.clone();
        self.competing_head = Some(head);
        PublishAction::ReadDocument { digest }
    }

    fn on_document(&mut self, answer: Result<PolicyDocument, PlatformFailure>) -> PublishAction {
        let competing_head = self.competing_head.take();
        match (answer, competing_head) {
            (Ok(document), None) => self.store_document(&document.placements),
            (Ok(document), Some(head)) if self.is_same_policy(&document) => {
                PublishAction::Finish(PublishOutcome::Accepted {
                    repeated: head.publish_id != self.request.publish_id,
                    head,
                    document,
                })
            }
            (Ok(_), Some(head)) => {
                PublishAction::Finish(PublishOutcome::Lost(PublishConflict::Winner(head)))
            }
            // The version is taken. Its document could not be read, so it may be that of an earlier
            // publication of the same program.
            (Err(failure), Some(_)) => {
                PublishAction::Finish(PublishOutcome::Unknown { why: failure.why })
            }
            (Err(failure), None) => self.give_up(failure.why),
        }
    }

    /// Whether a document has the requested program and places all requested databases.
    fn is_same_policy(&self, document: &PolicyDocument) -> bool {
        let placed: BTreeSet<&DatabaseName> = document
            .placements
            .iter()
            .map(|placement| &placement.database)
            .collect();
        let all_placed = self
            .request
            .databases
            .iter()
            .all(|database| placed.contains(database));
        all_placed && document.program == self.request.program
    }

    fn give_up(&self, why: String) -> PublishAction {
        let outcome = if self.acceptance_in_doubt {
            PublishOutcome::Unknown { why }
        } else {
            PublishOutcome::NotAccepted { why }
        };
        PublishAction::Finish(outcome)
    }
}
