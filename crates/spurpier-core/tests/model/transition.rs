//! The random transitions of a case, and how the world applies them.

use proptest::prelude::*;
use proptest_state_machine::ReferenceStateMachine;
use spurpier_core::identity::Side;
use spurpier_rehearsal::oracle::{BackEndEvent, Commit};
use spurpier_rehearsal::oracle::{
    FaultScope, PlannedStop, StopTarget, SurvivingGroup, SurvivingRow, Violations, check,
};

use super::Breakage;
use super::client::Work;
use super::network::{MILLISECOND, ZONES};
use super::platform::PlatformFault;
use super::server::Effect;
use super::world::{CLIENTS, DATABASE, World, servers_of};

/// One step of a case: a request, a fault, a repair, or the passing of time.
#[derive(Debug, Clone)]
pub enum Transition {
    Advance {
        millis: u64,
    },
    Request {
        client: usize,
        node: usize,
        work: Work,
    },
    CutOneWay {
        from: usize,
        to: usize,
    },
    CutZone {
        zone: usize,
    },
    /// Partitions the zone of the old side's primary from the other zones.
    IsolatePrimary,
    HealLinks,
    LateMessages {
        late: bool,
    },
    StopApplying {
        server: usize,
    },
    ResumeApplying,
    KillNode {
        node: usize,
    },
    FreezeNode {
        node: usize,
    },
    ThawNodes,
    RestartNodes,
    KillServer {
        server: usize,
    },
    RestartServers,
    StopNode {
        node: usize,
    },
    StopServer {
        server: usize,
    },
    StopPrimary,
    Publish {
        side: Side,
        /// How many versions before the current one the operator bases its policy on.
        versions_behind: u64,
    },
    PlatformFault {
        fault: PlatformFault,
    },
}

/// The seed of a case's network delays; the transitions are generated separately.
#[derive(Debug, Clone)]
pub struct Case {
    pub seed: u64,
}

fn work() -> impl Strategy<Value = Work> {
    prop_oneof![
        4 => (0u8..3, prop::bool::weighted(0.3)).prop_map(|(row, fresh)| Work::Read { row, fresh }),
        3 => (0u8..3, any::<bool>()).prop_map(|(row, keyed)| Work::Write { row, keyed }),
        2 => (0u8..3, any::<bool>()).prop_map(|(row, keyed)| Work::Transaction { row, keyed }),
    ]
}

fn side() -> impl Strategy<Value = Side> {
    prop_oneof![1 => Just(Side::Old), 2 => Just(Side::New)]
}

fn platform_fault() -> impl Strategy<Value = PlatformFault> {
    use PlatformFault::{Down, EffectWithoutAnswer, None, Slow};
    prop_oneof![
        Just(None),
        Just(Down),
        Just(Slow),
        Just(EffectWithoutAnswer)
    ]
}

impl ReferenceStateMachine for Case {
    type State = Case;
    type Transition = Transition;

    fn init_state() -> BoxedStrategy<Case> {
        any::<u64>()
            .prop_map(|seed| Case { seed })
            .no_shrink()
            .boxed()
    }

    fn transitions(_: &Case) -> BoxedStrategy<Transition> {
        use Transition as T;
        prop_oneof![
            30 => (0..CLIENTS, 0..ZONES, work()).prop_map(|(client, node, work)| T::Request { client, node, work }),
            14 => (1u64..60).prop_map(|millis| T::Advance { millis }),
            6 => (200u64..900).prop_map(|millis| T::Advance { millis }),
            1 => (0..ZONES, 0..ZONES).prop_map(|(from, to)| T::CutOneWay { from, to }),
            1 => (0..ZONES).prop_map(|zone| T::CutZone { zone }),
            2 => Just(T::IsolatePrimary),
            3 => Just(T::HealLinks),
            1 => any::<bool>().prop_map(|late| T::LateMessages { late }),
            1 => (0..2 * ZONES).prop_map(|server| T::StopApplying { server }),
            1 => Just(T::ResumeApplying),
            1 => (0..ZONES).prop_map(|node| T::KillNode { node }),
            1 => (0..ZONES).prop_map(|node| T::FreezeNode { node }),
            2 => Just(T::ThawNodes),
            2 => Just(T::RestartNodes),
            1 => (0..2 * ZONES).prop_map(|server| T::KillServer { server }),
            2 => Just(T::RestartServers),
            1 => (0..ZONES).prop_map(|node| T::StopNode { node }),
            1 => (0..2 * ZONES).prop_map(|server| T::StopServer { server }),
            1 => Just(T::StopPrimary),
            1 => (side(), 0u64..2).prop_map(|(side, versions_behind)| T::Publish { side, versions_behind }),
            1 => platform_fault().prop_map(|fault| T::PlatformFault { fault }),
        ]
        .boxed()
    }

    fn apply(state: Case, _: &Transition) -> Case {
        state
    }
}

impl World {
    pub fn apply(&mut self, transition: &Transition) {
        // Each transition has its own time in the history.
        self.run_for(1);
        match transition {
            Transition::Advance { millis } => self.run_for(millis * MILLISECOND),
            Transition::Request { client, node, work } => {
                self.client_request(*client, *node, *work)
            }
            Transition::CutOneWay { from, to } => self.cut(&[(*from, *to)], "cut_one_way"),
            Transition::CutZone { zone } => {
                let links: Vec<_> = (0..ZONES)
                    .flat_map(|other| [(*zone, other), (other, *zone)])
                    .collect();
                self.cut(&links, "cut_zone");
            }
            Transition::IsolatePrimary => self.isolate_primary(),
            Transition::HealLinks => {
                self.record_missed_heartbeats();
                self.network.cut = [[false; ZONES]; ZONES];
                self.end_faults(|fault| fault.kind.starts_with("cut"));
            }
            Transition::LateMessages { late } => {
                self.network.late = *late;
                if *late {
                    self.record_fault("late", FaultScope::Everything);
                } else {
                    self.end_faults(|fault| fault.kind == "late");
                }
            }
            Transition::StopApplying { server } => self.servers[*server].applying = false,
            Transition::ResumeApplying => self
                .servers
                .iter_mut()
                .for_each(|server| server.applying = true),
            Transition::KillNode { node } => {
                if self.nodes[*node].up {
                    self.record_fault("kill", FaultScope::Proxy(self.nodes[*node].name()));
                    self.kill_node(*node);
                }
            }
            Transition::FreezeNode { node } => {
                if !self.nodes[*node].frozen {
                    self.nodes[*node].frozen = true;
                    self.record_fault("freeze", FaultScope::Proxy(self.nodes[*node].name()));
                }
            }
            Transition::ThawNodes => self.thaw_nodes(),
            Transition::RestartNodes => self.restart_nodes(),
            Transition::KillServer { server } => self.kill_server(*server),
            Transition::RestartServers => {
                (0..self.servers.len()).for_each(|server| self.restart_server(server));
                self.end_faults(|fault| fault.kind == "kill_server");
            }
            Transition::StopNode { node } => self.start_planned_node_stop(*node),
            Transition::StopServer { server } => self.start_planned_server_stop(*server),
            Transition::StopPrimary => {
                if let Some(primary) = self.primary_of(Side::Old) {
                    self.start_planned_server_stop(primary);
                }
            }
            Transition::Publish {
                side,
                versions_behind,
            } => {
                let version = self.platform.version();
                // A database that was moved to the new side is not moved back.
                let moved = self.platform.placement(version).side == Side::New;
                let side = if moved { Side::New } else { *side };
                self.publish(side, version.saturating_sub(*versions_behind));
            }
            Transition::PlatformFault { fault } => {
                self.platform.fault = *fault;
                self.end_faults(|fault| fault.scope == FaultScope::Platform);
                if *fault != PlatformFault::None {
                    self.record_fault("platform", FaultScope::Platform);
                }
            }
        }
    }

    fn cut(&mut self, links: &[(usize, usize)], kind: &str) {
        for (from, to) in links {
            self.network.cut[*from][*to] |= from != to;
        }
        self.record_fault(kind, FaultScope::Everything);
    }

    pub fn primary_of(&self, side: Side) -> Option<usize> {
        let primaries = servers_of(side).filter(|server| {
            let server = &self.servers[*server];
            server.up && server.role == spurpier_core::group::ServerRole::Primary
        });
        primaries.max_by_key(|server| self.servers[*server].vote_term)
    }

    /// Partitions the primary's zone; only the node in that zone can still reach the primary.
    fn isolate_primary(&mut self) {
        if let Some(primary) = self.primary_of(Side::Old) {
            self.apply(&Transition::CutZone {
                zone: self.servers[primary].zone,
            });
        }
    }

    fn thaw_nodes(&mut self) {
        for node in 0..self.nodes.len() {
            if self.nodes[node].frozen {
                self.thaw(node);
            }
        }
        self.end_faults(|fault| fault.kind == "freeze");
    }

    fn restart_nodes(&mut self) {
        for node in 0..self.nodes.len() {
            if !self.nodes[node].up {
                self.nodes[node].restart();
            }
        }
        self.end_faults(|fault| fault.kind == "kill");
    }

    fn kill_server(&mut self, server: usize) {
        if self.servers[server].up {
            self.servers[server].up = false;
            self.end_planned_stop(server);
            self.record_fault(
                "kill_server",
                FaultScope::Server(self.servers[server].name.clone()),
            );
            self.drop_server_connections(server);
        }
    }

    fn start_planned_node_stop(&mut self, node: usize) {
        if !self.nodes[node].up || self.nodes[node].draining {
            return;
        }
        let target = StopTarget::Proxy(self.nodes[node].name());
        self.history.planned_stops.push(PlannedStop {
            target,
            began_at: self.now,
            ended_at: None,
        });
        self.nodes[node].draining = true;
        self.nodes[node].draining_since = self.now;
        if self.breakage == Breakage::StopDoesNotDrain {
            self.stop_node(node);
        }
    }

    fn start_planned_server_stop(&mut self, server: usize) {
        // Operators stop one server of a group at a time, so that a majority keeps running.
        let mut group = servers_of(self.servers[server].side);
        if group.any(|member| !self.servers[member].up || self.servers[member].leaving) {
            return;
        }
        let name = self.servers[server].name.clone();
        self.servers[server].leaving = true;
        self.servers[server].leaving_since = self.now;
        let target = StopTarget::Server(name.clone());
        self.history.planned_stops.push(PlannedStop {
            target,
            began_at: self.now,
            ended_at: None,
        });
        self.history.back_end.push(BackEndEvent::Leaving {
            at: self.now,
            server: name,
        });
    }

    /// Heals all faults, lets all work finish, records the surviving rows, and returns the
    /// violations that the oracle finds in the history.
    pub fn finish_and_check(&mut self) -> Violations {
        for _ in 0..3 {
            self.apply(&Transition::HealLinks);
            self.apply(&Transition::LateMessages { late: false });
            self.apply(&Transition::ResumeApplying);
            self.apply(&Transition::ThawNodes);
            self.apply(&Transition::RestartNodes);
            self.apply(&Transition::RestartServers);
            self.apply(&Transition::PlatformFault {
                fault: PlatformFault::None,
            });
            self.run_for(6_000 * MILLISECOND);
        }
        self.record_unanswered();
        let write_side = match self.primary_of(Side::New) {
            Some(primary) if self.servers[primary].tables.epoch > 0 => Side::New,
            _ => Side::Old,
        };
        let primary = self
            .primary_of(write_side)
            .expect("a healed group has a primary");
        let records = self.servers[primary].log.iter();
        let rows = records.flat_map(|record| match &record.effect {
            Effect::Rows { writes, .. } => writes
                .iter()
                .map(|write| SurvivingRow {
                    row_key: write.row_key.clone(),
                    value: write.value.clone(),
                    committed: Some(Commit {
                        side: record.side.to_string(),
                        at: record.committed_at,
                    }),
                })
                .collect(),
            Effect::TermStart | Effect::Fence { .. } => Vec::new(),
        });
        let rows = rows.collect();
        self.history.survivors.push(SurvivingGroup {
            database: DATABASE.to_owned(),
            rows,
        });
        check(&self.history)
    }
}
