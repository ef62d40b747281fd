//! The lifecycle of a unit, for reads and writes alike.

use super::*;

impl World {
    pub(super) fn open_unit(&mut self, node: usize, spec: UnitSpec) {
        let Some(version) = self.nodes[node].policy() else {
            self.send_outcome(&spec, Outcome::NotRun, None, None);
            return;
        };
        let proxy = self.nodes[node].name();
        self.history.policies_observed.push(PolicyObserved {
            at: self.now,
            proxy,
            version,
        });
        let placement = self.platform.placement(version);
        let side = placement.side;
        // A session with a position on the new side has used a newer policy than this node's.
        let behind_session = side == Side::Old && spec.floors.floor(&group(Side::New)).is_some();
        if behind_session && self.breakage != Breakage::ReadsIgnoreFence {
            self.send_outcome(&spec, Outcome::NotRun, None, None);
            return;
        }
        let now = self.timestamp();
        let floor = spec.floors.floor(&group(side));
        let fresh = spec.kind == UnitKind::Read(ReadFreshness::Fresh);
        let upstream_floor = match side {
            Side::Old => Position::ZERO,
            Side::New => spec
                .floors
                .floor(&group(Side::Old))
                .unwrap_or(Position::ZERO),
        };
        let demand = ReadDemand {
            floor: floor.unwrap_or(Position::ZERO),
            upstream_floor,
            replica_allowed: true,
        };
        let machine = write_kind(&spec).map(|kind| {
            let starts = self.nodes[node].watch(side).history.term_starts().clone();
            CommitMachine::new(kind, now + UNIT_TIMEOUT, CONFIRM_TIMEOUT, starts)
        });
        let needs_index = machine.is_none() && (fresh || floor.is_none());
        // Until the new side's fence is opened, it may lack writes of the old side.
        let open = self.nodes[node].handover.as_ref();
        let open = open.is_some_and(|handover| {
            handover.epoch() == placement.epoch && handover.step() == HandoverStep::Done
        });
        let upstream = side == Side::New && !open;
        let unit = spec.unit;
        let running = Running {
            spec,
            side,
            placement,
            arrived: now,
            stage: if needs_index {
                Stage::AwaitIndex { upstream }
            } else {
                Stage::AwaitServer
            },
            demand,
            machine,
            connection: None,
            inserted: 0,
            term_before: 0,
        };
        self.nodes[node].units.insert(unit, running);
        if needs_index {
            self.probe_all(node);
        }
        self.progress(node, unit);
    }

    /// Advances a unit to its next stage if the condition it waits for is met.
    pub(super) fn progress(&mut self, node: usize, unit: u64) {
        let Some(running) = self.nodes[node].units.get(&unit) else {
            return;
        };
        let view = self.nodes[node].view(running.side).clone();
        match running.stage.clone() {
            Stage::AwaitIndex { upstream } => {
                let old_index = match upstream {
                    true => self.nodes[node].view(Side::Old).read_index(running.arrived),
                    false => Some(Position::ZERO),
                };
                if let (Some(index), Some(old_index)) =
                    (view.read_index(running.arrived), old_index)
                {
                    let running = self.nodes[node].units.get_mut(&unit).expect("it is there");
                    let demand = &mut running.demand;
                    demand.floor = demand.floor.max(index);
                    demand.upstream_floor = demand.upstream_floor.max(old_index);
                    running.stage = Stage::AwaitServer;
                    self.progress(node, unit);
                }
            }
            Stage::AwaitServer if running.machine.is_some() => {
                if let Route::Server(index) = route_write(&view, self.timestamp()) {
                    self.attempt(node, unit, index);
                }
            }
            Stage::AwaitServer => self.route_read_unit(node, unit, &view),
            Stage::AwaitSettle => {
                if let Route::Server(index) = route_write(&view, self.timestamp()) {
                    let key = running
                        .spec
                        .key
                        .clone()
                        .expect("only a keyed transaction settles");
                    self.set_stage(node, unit, Stage::Running);
                    self.send(node, unit, index, vec![Statement::Settle { key }]);
                }
            }
            Stage::AwaitConfirmation { answer, status } => {
                let skipped = self.breakage == Breakage::ReadConfirmationSkipped;
                if skipped || view.applied_is_confirmed(&status) {
                    let floor = Some((running.side, status.applied));
                    self.finish(node, unit, Outcome::Done, floor, Some(answer));
                }
            }
            Stage::Running | Stage::AwaitClient => {}
        }
    }

    pub(super) fn set_stage(&mut self, node: usize, unit: u64, stage: Stage) {
        if let Some(running) = self.nodes[node].units.get_mut(&unit) {
            running.stage = stage;
        }
    }

    /// Ends a unit whose client disconnected. Its connection is closed, so that no answer or open
    /// transaction of the unit reaches another session.
    pub(super) fn abandon(&mut self, node: usize, unit: u64) {
        let Some(running) = self.nodes[node].units.remove(&unit) else {
            return;
        };
        let Some(number) = running.connection else {
            return;
        };
        let reused = match self.breakage {
            Breakage::ReusedWithAnswerOutstanding => matches!(running.stage, Stage::Running),
            Breakage::ReusedInTransaction => matches!(running.stage, Stage::AwaitClient),
            _ => false,
        };
        if reused {
            let connection = self.nodes[node]
                .connections
                .get_mut(&number)
                .expect("it was acquired");
            connection.outstanding.clear();
            connection.idle = true;
        } else {
            self.close(node, number);
        }
    }

    pub(super) fn finish(
        &mut self,
        node: usize,
        unit: u64,
        outcome: Outcome,
        floor: Option<(Side, Position)>,
        read: Option<ReadAnswer>,
    ) {
        let Some(running) = self.nodes[node].units.remove(&unit) else {
            return;
        };
        if let Some(connection) = running.connection {
            self.close(node, connection);
        }
        self.send_outcome(&running.spec, outcome, floor, read);
    }

    pub(super) fn send_outcome(
        &mut self,
        spec: &UnitSpec,
        outcome: Outcome,
        floor: Option<(Side, Position)>,
        read: Option<ReadAnswer>,
    ) {
        let unit = spec.unit;
        self.send_to_client(
            spec.client,
            ToClient::Finished {
                unit,
                outcome,
                floor,
                read,
            },
        );
    }
}
