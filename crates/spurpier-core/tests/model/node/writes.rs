//! Writes, driven by the commit state machine.

use super::*;

impl World {
    /// Sends the first statements of a write to the primary.
    pub(super) fn attempt(&mut self, node: usize, unit: u64, index: usize) {
        let running = &self.nodes[node].units[&unit];
        let spec = running.spec.clone();
        let epoch = (self.breakage != Breakage::FenceIgnored).then_some(running.placement.epoch);
        let key = spec
            .key
            .clone()
            .filter(|_| self.breakage != Breakage::KeyNotInTransaction);
        let whole = spec.kind == UnitKind::Write;
        let writes = if whole {
            spec.writes.clone()
        } else {
            spec.writes[..1].to_vec()
        };
        let mut statements = vec![
            Statement::Begin { epoch, key },
            Statement::Insert { unit, writes },
        ];
        let commits = write_kind(&spec) == Some(WriteKind::Unkeyed);
        if commits {
            statements.push(Statement::Commit);
        }
        let running = self.nodes[node].units.get_mut(&unit).expect("it is there");
        running.stage = Stage::Running;
        running.inserted = 1;
        self.send(node, unit, index, statements);
        self.step_machine(node, unit, &CommitEvent::Started);
        if commits {
            self.step_machine(node, unit, &CommitEvent::CommitSent);
        }
    }

    pub(super) fn next_statement(&mut self, node: usize, unit: u64, commit: bool) {
        let Some(running) = self.nodes[node].units.get_mut(&unit) else {
            return;
        };
        let Some(connection) = running.connection else {
            return;
        };
        running.stage = Stage::Running;
        let statement = if commit {
            Statement::Commit
        } else {
            let writes = vec![running.spec.writes[running.inserted].clone()];
            running.inserted += 1;
            Statement::Insert { unit, writes }
        };
        let index = self.nodes[node].connections[&connection].server % ZONES;
        self.send(node, unit, index, vec![statement]);
        if commit {
            self.step_machine(node, unit, &CommitEvent::CommitSent);
        }
    }

    pub(super) fn handle_write_replies(&mut self, node: usize, unit: u64, replies: &[Reply]) {
        let refusal = replies.iter().find(|reply| !matches!(reply, Reply::Ok));
        let Some(reply) = refusal else {
            self.handle_insert_replies(node, unit);
            return;
        };
        self.release_connection(node, unit);
        match reply {
            Reply::Committed { position } => {
                let position = *position;
                if self.breakage == Breakage::ConfirmationSkipped {
                    let side = self.nodes[node].units[&unit].side;
                    self.finish(node, unit, Outcome::Done, Some((side, position)), None);
                    return;
                }
                self.step_machine(node, unit, &CommitEvent::Committed { position });
            }
            Reply::RecordFound {
                position,
                same_statement,
            } => {
                let (position, same_statement) = (*position, *same_statement);
                self.step_machine(
                    node,
                    unit,
                    &CommitEvent::RecordFound {
                        position,
                        same_statement,
                    },
                );
            }
            Reply::KeyAbsent { position } => {
                let position = *position;
                self.step_machine(node, unit, &CommitEvent::KeyAbsent { position });
            }
            Reply::Fenced => self.step_machine(node, unit, &CommitEvent::Fenced),
            Reply::Rejected => {
                let reason = Reason::NoPrimary;
                self.step_machine(node, unit, &CommitEvent::Rejected { reason });
            }
            _ => self.step_machine(node, unit, &CommitEvent::ConnectionLost),
        }
    }

    /// Continues a write after the statements before its COMMIT succeeded.
    pub(super) fn handle_insert_replies(&mut self, node: usize, unit: u64) {
        let running = self.nodes[node].units.get_mut(&unit).expect("it is there");
        if running.spec.kind == UnitKind::Transaction {
            running.stage = Stage::AwaitClient;
            let client = running.spec.client;
            self.send_to_client(client, ToClient::StatementDone { unit });
        } else {
            self.next_statement(node, unit, true);
        }
    }

    pub(super) fn step_machine(&mut self, node: usize, unit: u64, event: &CommitEvent<'_>) {
        let now = self.timestamp();
        let Some(running) = self.nodes[node].units.get_mut(&unit) else {
            return;
        };
        let Some(machine) = running.machine.as_mut() else {
            return;
        };
        let side = running.side;
        match machine.step(event.clone(), now) {
            CommitAction::Attempt => {
                self.set_stage(node, unit, Stage::AwaitServer);
                self.progress(node, unit);
            }
            CommitAction::Settle => {
                self.set_stage(node, unit, Stage::AwaitSettle);
                self.progress(node, unit);
            }
            CommitAction::Probe => self.probe_all(node),
            CommitAction::Wait => {}
            CommitAction::Finish(commit_outcome) => {
                let (outcome, position) = match commit_outcome {
                    CommitOutcome::Done { position } | CommitOutcome::Recorded { position } => {
                        (Outcome::Done, Some((side, position)))
                    }
                    CommitOutcome::RolledBack | CommitOutcome::NotRun(_) => (Outcome::NotRun, None),
                    CommitOutcome::Unknown(_) => (Outcome::Unknown, None),
                };
                self.finish(node, unit, outcome, position, None);
            }
        }
    }
}
/// The kind of a unit's write; `None` for a read.
pub(super) fn write_kind(spec: &UnitSpec) -> Option<WriteKind> {
    match (spec.kind, spec.key.is_some()) {
        (UnitKind::Read(_), _) => None,
        (UnitKind::Write, false) => Some(WriteKind::Unkeyed),
        (UnitKind::Write, true) => Some(WriteKind::Keyed),
        (UnitKind::Transaction, false) => Some(WriteKind::Transaction),
        (UnitKind::Transaction, true) => Some(WriteKind::KeyedTransaction),
    }
}
