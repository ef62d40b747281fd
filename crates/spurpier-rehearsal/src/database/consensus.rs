//! Elections and replication as in Raft, free of input and output.
//!
//! Two things differ from Raft on purpose, as in a PostgreSQL group with asynchronous
//! replication: the primary answers its clients before the others have a record, and a primary
//! without a majority goes on until it learns of a newer term.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use spurpier_core::identity::ServerName;
use spurpier_core::position::Position;
use xxhash_rust::xxh3::xxh3_64;

use super::apply_queue::ApplyQueue;
use super::durable::{Durable, Vote};
use super::peer_message::{VoteAnswer, VoteRequest};
use super::record::{LoggedStatement, Record};
use super::role::{HeardPrimary, NotWritable, PrimaryState, Role};

/// The state of one server in its group.
#[derive(Debug)]
pub(crate) struct Consensus {
    pub(super) name: ServerName,
    pub(super) group_size: usize,
    election_timeout: Duration,
    random: StdRng,
    pub(super) durable: Durable,
    pub(super) role: Role,
    pub(super) confirmed: u64,
    pub(super) last_contact: Option<Instant>,
    /// The primary that this server heard last, and its term.
    pub(super) heard: Option<HeardPrimary>,
    deadline: Instant,
    pub(super) stopped: bool,
    /// What of the log the tables show.
    pub(crate) queue: ApplyQueue,
}

impl Consensus {
    /// The state of a server that starts with what it had kept.
    pub(crate) fn new(
        name: ServerName,
        group_size: usize,
        election_timeout: Duration,
        seed: u64,
        durable: Durable,
        now: Instant,
    ) -> Self {
        // Servers that are given the same seed must still differ, or votes split again and again.
        let seed = seed ^ xxh3_64(name.as_str().as_bytes());
        let mut consensus = Consensus {
            name,
            group_size,
            election_timeout,
            random: StdRng::seed_from_u64(seed),
            queue: ApplyQueue::new(durable.last().offset, now),
            durable,
            role: Role::Replica,
            confirmed: 0,
            last_contact: None,
            heard: None,
            deadline: now,
            stopped: false,
        };
        consensus.reset_deadline(now);
        consensus
    }

    /// Ends the server's part in the group and gives back what it must not forget.
    pub(crate) fn stop(&mut self) -> Durable {
        self.stopped = true;
        self.role = Role::Replica;
        std::mem::take(&mut self.durable)
    }

    /// Puts the next election off by a new random timeout.
    pub(super) fn reset_deadline(&mut self, now: Instant) {
        let share: f64 = self.random.random_range(1.0..2.0);
        self.deadline = now + self.election_timeout.mul_f64(share);
    }

    /// The newest term known.
    pub(crate) fn term(&self) -> u64 {
        self.durable.vote().term
    }

    /// The log.
    pub(crate) fn log(&self) -> &Durable {
        &self.durable
    }

    /// The offset up to which the log is known to be on a majority.
    pub(crate) fn confirmed(&self) -> u64 {
        self.confirmed
    }

    /// The primary heard last.
    pub(crate) fn heard(&self) -> Option<&HeardPrimary> {
        self.heard.as_ref()
    }

    /// The position that the tables show.
    pub(crate) fn applied(&self) -> Position {
        self.durable.position(self.queue.applied())
    }

    /// Up to where the tables show the other side's log.
    pub(crate) fn upstream_applied(&self) -> Position {
        self.durable
            .record(self.queue.applied())
            .map_or(Position::ZERO, |record| record.upstream)
    }

    /// What this server knows as a primary; none if it is not one.
    pub(crate) fn primary(&self) -> Option<&PrimaryState> {
        match &self.role {
            Role::Primary(primary) => Some(primary),
            Role::Replica | Role::Candidate => None,
        }
    }

    /// As `primary`, to be changed.
    pub(crate) fn primary_mut(&mut self) -> Option<&mut PrimaryState> {
        match &mut self.role {
            Role::Primary(primary) => Some(primary),
            Role::Replica | Role::Candidate => None,
        }
    }

    /// Whether the server is primary and its tables show the whole log.
    pub(crate) fn is_promoted(&self) -> bool {
        self.primary().is_some_and(|primary| primary.promoted)
    }

    /// Whether the primary of `term` may still commit here.
    pub(crate) fn check_term(&self, term: u64) -> Result<(), NotWritable> {
        if self.stopped || !self.is_promoted() || self.term() != term {
            return Err(NotWritable::Replica);
        }
        Ok(())
    }

    /// The term in which a new write transaction may begin.
    pub(crate) fn writable_term(&self) -> Result<u64, NotWritable> {
        let primary = self.primary().filter(|primary| primary.promoted);
        let primary = primary.ok_or(NotWritable::Replica)?;
        if primary.handing_over {
            return Err(NotWritable::HandingOver);
        }
        Ok(self.term())
    }

    /// Appends a transaction that the tables already show; only after `check_term`.
    pub(crate) fn append_committed(
        &mut self,
        statements: Vec<LoggedStatement>,
        upstream: Option<Position>,
        now: Instant,
    ) -> Position {
        let position = self.append_record(statements, upstream, now);
        self.queue.mark_committed(position.offset);
        position
    }

    fn append_record(
        &mut self,
        statements: Vec<LoggedStatement>,
        upstream: Option<Position>,
        now: Instant,
    ) -> Position {
        let last = self.durable.last();
        let carried = self
            .durable
            .record(last.offset)
            .map_or(Position::ZERO, |record| record.upstream);
        let position = Position::new(self.term(), last.offset + 1);
        self.durable.append(Arc::new(Record {
            position,
            upstream: upstream.unwrap_or(carried),
            statements,
        }));
        self.queue.push(position.offset, now);
        self.advance_confirmed();
        position
    }

    /// Whether an election is due.
    pub(crate) fn election_due(&self, now: Instant) -> bool {
        !self.stopped && self.primary().is_none() && now >= self.deadline
    }

    /// The question whether a vote would be given in the next term.
    pub(crate) fn pre_vote_request(&self) -> VoteRequest {
        VoteRequest {
            term: self.term() + 1,
            candidate: self.name.clone(),
            last: self.durable.last(),
            pre_vote: true,
        }
    }

    /// Opens an election in the next term with this server's own vote.
    ///
    /// None if the server has stopped, is primary or knows a term past `asked_term`.
    pub(crate) fn start_election(&mut self, asked_term: u64, now: Instant) -> Option<VoteRequest> {
        let outdated = self.term() + 1 != asked_term;
        if self.stopped || self.primary().is_some() || outdated {
            return None;
        }
        self.durable.set_vote(Vote {
            term: asked_term,
            candidate: Some(self.name.clone()),
        });
        self.role = Role::Candidate;
        self.reset_deadline(now);
        Some(VoteRequest {
            term: asked_term,
            candidate: self.name.clone(),
            last: self.durable.last(),
            pre_vote: false,
        })
    }

    /// Whether `votes`, this server's own included, are a majority.
    pub(crate) fn is_majority(&self, votes: usize) -> bool {
        votes > self.group_size / 2
    }

    /// Makes the winner of the election of `term` primary; it opens the term with a record.
    pub(crate) fn become_primary(&mut self, term: u64, now: Instant) -> bool {
        let won = matches!(self.role, Role::Candidate) && self.term() == term && !self.stopped;
        if won {
            self.role = Role::Primary(PrimaryState {
                opened: self.durable.last().offset + 1,
                promoted: false,
                handing_over: false,
                matched: HashMap::new(),
            });
            self.append_record(Vec::new(), None, now);
        }
        won
    }

    /// Notes that the tables show the whole log; a new primary takes writes from here on.
    pub(crate) fn promote_if_applied(&mut self) {
        let applied = self.queue.applied();
        if let Role::Primary(primary) = &mut self.role {
            primary.promoted = primary.promoted || applied >= primary.opened;
        }
    }

    /// Turns replica if `term` is newer than any known; true if it was.
    pub(crate) fn observe_term(&mut self, term: u64, now: Instant) -> bool {
        let newer = term > self.term() && !self.stopped;
        if newer {
            self.durable.set_vote(Vote {
                term,
                candidate: None,
            });
            self.role = Role::Replica;
            self.reset_deadline(now);
        }
        newer
    }

    /// Answers a vote request; none once stopped.
    pub(crate) fn handle_vote(
        &mut self,
        request: &VoteRequest,
        now: Instant,
    ) -> Option<VoteAnswer> {
        if self.stopped {
            return None;
        }
        let granted = if request.pre_vote {
            self.would_vote(request, now)
        } else {
            self.vote(request, now)
        };
        Some(VoteAnswer {
            term: self.term(),
            granted,
        })
    }

    fn would_vote(&self, request: &VoteRequest, now: Instant) -> bool {
        let hears_primary = self
            .last_contact
            .is_some_and(|contact| now < contact + self.election_timeout);
        request.term > self.term()
            && request.last >= self.durable.last()
            && self.primary().is_none()
            && !hears_primary
    }

    fn vote(&mut self, request: &VoteRequest, now: Instant) -> bool {
        self.observe_term(request.term, now);
        let vote = self.durable.vote();
        let free = vote
            .candidate
            .as_ref()
            .is_none_or(|candidate| *candidate == request.candidate);
        let granted = request.term == vote.term && free && request.last >= self.durable.last();
        if granted {
            self.durable.set_vote(Vote {
                term: request.term,
                candidate: Some(request.candidate.clone()),
            });
            self.reset_deadline(now);
        }
        granted
    }
}
