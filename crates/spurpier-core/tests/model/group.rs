//! Behavior of a server group: replication, elections, transfer of the primary role, and copying
//! from the other side.

use std::rc::Rc;

use spurpier_core::group::ServerRole;
use spurpier_core::identity::Side;
use spurpier_core::position::Position;
use spurpier_rehearsal::oracle::{BackEndEvent, FaultScope, StopTarget};

use super::network::{MILLISECOND, ZONES};
use super::server::{Effect, Record};
use super::world::{Event, TICK, World, servers_of};

const MAJORITY: usize = ZONES / 2 + 1;
/// A replica that has not heard from a primary for this long starts an election. Each server adds
/// its own offset, so that candidates do not collide.
const ELECTION_TIMEOUT: u64 = 150 * MILLISECOND;
/// How long a leaving server waits for its clients to move to other servers.
const LEAVING_GRACE: u64 = 3_200 * MILLISECOND;
/// A server that heard from a primary within this time votes for no other server.
const VOTE_HOLDOFF: u64 = 100 * MILLISECOND;
/// A server that has not heard from its primary for this long has missed a heartbeat.
const HEARTBEAT_TIMEOUT: u64 = 2 * TICK;
/// The kind of fault that remains after a partition is healed, until all heard their primary.
const MISSED_HEARTBEATS: &str = "missed_heartbeats";

impl World {
    /// Records which servers missed heartbeats because of a partition, just before it is healed.
    ///
    /// Their election timers kept running, so the partition may still depose the primary after it
    /// was healed.
    pub fn record_missed_heartbeats(&mut self) {
        if !self.network.cut.iter().flatten().any(|cut| *cut) {
            return;
        }
        let missed = self.servers.iter().filter(|server| {
            server.up
                && server.role == ServerRole::Replica
                && server.primary_heard_at + HEARTBEAT_TIMEOUT < self.now
        });
        let names: Vec<String> = missed.map(|server| server.name.clone()).collect();
        for name in names {
            self.record_fault(MISSED_HEARTBEATS, FaultScope::Server(name));
        }
    }

    /// Ends the missed heartbeats of a group once all its running servers have the newest term and
    /// have heard from its primary.
    fn end_missed_heartbeats(&mut self, side: Side) {
        let servers = &self.servers[servers_of(side)];
        let names: Vec<FaultScope> = servers
            .iter()
            .map(|server| FaultScope::Server(server.name.clone()))
            .collect();
        let open = self.history.faults.iter().filter(|fault| {
            fault.kind == MISSED_HEARTBEATS
                && fault.ended_at.is_none()
                && names.contains(&fault.scope)
        });
        let Some(recorded_at) = open.map(|fault| fault.began_at).max() else {
            return;
        };
        let mut running = servers.iter().filter(|server| server.up);
        let term = servers.iter().map(|server| server.vote_term).max();
        let recovered = running.all(|server| {
            let heard_primary =
                server.role == ServerRole::Primary || server.primary_heard_at > recorded_at;
            Some(server.vote_term) == term && heard_primary
        });
        if recovered {
            self.end_faults(|fault| {
                fault.kind == MISSED_HEARTBEATS && names.contains(&fault.scope)
            });
        }
    }

    pub fn group_tick(&mut self, side: Side) {
        self.end_missed_heartbeats(side);
        for server in servers_of(side) {
            if !self.servers[server].up {
                continue;
            }
            if self.servers[server].role == ServerRole::Primary {
                self.replicate(server);
                self.copy_from_old_side(server);
                self.transfer_if_leaving(server);
            } else {
                if self.servers[server].applying {
                    self.servers[server].apply_all();
                }
                self.stop_if_leaving(server);
                let timeout = ELECTION_TIMEOUT + server as u64 * 35 * MILLISECOND;
                if self.servers[server].primary_heard_at + timeout < self.now {
                    self.try_election(server);
                }
            }
        }
    }

    fn replicate(&mut self, from: usize) {
        let term = self.servers[from].vote_term;
        for to in servers_of(self.servers[from].side) {
            if to != from {
                let log = Rc::clone(&self.servers[from].log);
                let delay = self.network.delay();
                self.schedule_after(
                    delay,
                    Event::Replicate {
                        from,
                        to,
                        term,
                        log,
                    },
                );
            }
        }
    }

    pub fn replicated(&mut self, from: usize, to: usize, term: u64, log: &Rc<Vec<Record>>) {
        if !self
            .network
            .can_send(self.servers[from].zone, self.servers[to].zone)
        {
            return;
        }
        let now = self.now;
        let server = &mut self.servers[to];
        if !server.up || term < server.vote_term {
            return;
        }
        server.vote_term = term;
        server.primary_heard_at = now;
        let newer = server.received()
            < Position::new(log.last().map_or(0, |last| last.term), log.len() as u64);
        if newer {
            server.replace_log(log);
        }
        self.step_down(to);
    }

    /// Ends a server's primary role after it learned of a newer term; open transactions are rolled
    /// back.
    fn step_down(&mut self, server: usize) {
        if self.servers[server].role == ServerRole::Primary {
            self.servers[server].role = ServerRole::Replica;
            self.drop_server_connections(server);
        }
    }

    fn try_election(&mut self, candidate: usize) {
        let now = self.now;
        let zone = self.servers[candidate].zone;
        let received = self.servers[candidate].received();
        let reachable = servers_of(self.servers[candidate].side).filter(|other| {
            self.servers[*other].up && self.network.can_exchange(zone, self.servers[*other].zone)
        });
        let newest = reachable.map(|other| self.servers[other].vote_term).max();
        let term = newest.unwrap_or(0) + 1;
        let voters: Vec<usize> = servers_of(self.servers[candidate].side)
            .filter(|voter| {
                let server = &self.servers[*voter];
                let reachable = self.network.can_exchange(zone, server.zone);
                let may_vote = *voter == candidate
                    || server.primary_heard_at + VOTE_HOLDOFF < now
                    || now < ELECTION_TIMEOUT * 3;
                let is_primary = server.role == ServerRole::Primary;
                server.up
                    && reachable
                    && may_vote
                    && !is_primary
                    && server.vote_term < term
                    && server.received() <= received
            })
            .collect();
        if voters.len() >= MAJORITY {
            self.elect(candidate, &voters, term);
        }
    }

    fn elect(&mut self, candidate: usize, voters: &[usize], term: u64) {
        for voter in voters {
            self.servers[*voter].vote_term = term;
            self.servers[*voter].primary_heard_at = self.now;
            self.step_down(*voter);
        }
        self.servers[candidate].become_primary(term, self.now);
        self.replicate(candidate);
    }

    /// Stops a leaving server after its grace period, once it has no open transaction or request.
    fn stop_if_leaving(&mut self, server: usize) {
        let state = &self.servers[server];
        let idle = state
            .connections
            .values()
            .all(|each| each.transaction.is_none() && each.requests.is_empty());
        let grace_elapsed = state.leaving_since + LEAVING_GRACE < self.now;
        if !state.leaving || !grace_elapsed || !idle {
            return;
        }
        self.drop_server_connections(server);
        self.servers[server].up = false;
        self.end_planned_stop(server);
    }

    /// Records the end of a server's planned stop, whether it completed or a fault came first.
    pub fn end_planned_stop(&mut self, server: usize) {
        let target = StopTarget::Server(self.servers[server].name.clone());
        let stops = self.history.planned_stops.iter_mut();
        for stop in stops.filter(|stop| stop.target == target) {
            stop.ended_at.get_or_insert(self.now);
        }
    }

    /// Transfers the primary role from a leaving primary to a server that has its whole log.
    fn transfer_if_leaving(&mut self, server: usize) {
        if !self.servers[server].leaving || self.servers[server].has_open_transactions() {
            return;
        }
        let (zone, received) = (self.servers[server].zone, self.servers[server].received());
        let reachable: Vec<usize> = servers_of(self.servers[server].side)
            .filter(|other| {
                self.servers[*other].up
                    && self.network.can_exchange(zone, self.servers[*other].zone)
            })
            .collect();
        let successor = reachable.iter().copied().find(|other| {
            *other != server
                && !self.servers[*other].leaving
                && self.servers[*other].received() == received
        });
        let term = self.servers[server].vote_term + 1;
        let is_new_term = reachable
            .iter()
            .all(|voter| self.servers[*voter].vote_term < term);
        if let Some(successor) = successor.filter(|_| is_new_term && reachable.len() >= MAJORITY) {
            // No transaction is open, so the connections can stay open.
            self.servers[server].role = ServerRole::Replica;
            self.elect(successor, &reachable, term);
        }
    }

    /// Returns a server to service.
    pub fn restart_server(&mut self, server: usize) {
        let state = &mut self.servers[server];
        if state.up {
            return;
        }
        state.up = true;
        state.leaving = false;
        state.role = ServerRole::Replica;
        state.primary_heard_at = self.now;
        let event = BackEndEvent::Returned {
            at: self.now,
            server: state.name.clone(),
        };
        self.history.back_end.push(event);
    }

    /// Copies the records that a majority of the old side has to the new side, until the new side's
    /// fence is opened.
    fn copy_from_old_side(&mut self, server: usize) {
        if self.servers[server].side == Side::Old || self.servers[server].tables.epoch > 0 {
            return;
        }
        let zone = self.servers[server].zone;
        let sources: Vec<usize> = servers_of(Side::Old)
            .filter(|source| {
                self.servers[*source].up
                    && self.network.can_exchange(zone, self.servers[*source].zone)
            })
            .collect();
        let primaries = sources
            .into_iter()
            .filter(|source| self.servers[*source].role == ServerRole::Primary);
        let Some(leader) = primaries.max_by_key(|source| self.servers[*source].received()) else {
            return;
        };
        let received = self.servers[leader].received();
        let mut offsets: Vec<u64> = servers_of(Side::Old)
            .map(|source| self.servers[source].received())
            .filter(|position| position.term == received.term)
            .map(|position| position.offset)
            .collect();
        offsets.sort_unstable();
        let Some(confirmed) = offsets
            .len()
            .checked_sub(MAJORITY)
            .map(|index| offsets[index])
        else {
            return;
        };
        let from = self.servers[server].tables.upstream.offset as usize;
        let log = Rc::clone(&self.servers[leader].log);
        for (index, record) in log.iter().enumerate().take(confirmed as usize).skip(from) {
            let position = Position::new(record.term, index as u64 + 1);
            let effect = match &record.effect {
                rows @ Effect::Rows { .. } => rows.clone(),
                Effect::TermStart | Effect::Fence { .. } => Effect::Rows {
                    writes: Vec::new(),
                    key: None,
                },
            };
            self.servers[server].append(effect, record.committed_at, Some((position, Side::Old)));
        }
    }
}
