//! Replication as in Raft: the consensus state's dealings with records.

use std::sync::Arc;
use std::time::Instant;

use spurpier_core::identity::ServerName;

use super::consensus::Consensus;
use super::peer_message::{AppendAnswer, AppendRequest};
use super::record::Record;
use super::role::{HeardPrimary, Role};

/// How many records travel in one message.
const APPEND_BATCH: usize = 256;

impl Consensus {
    /// Takes records from a primary; none once stopped.
    pub(crate) fn handle_append(
        &mut self,
        request: AppendRequest,
        now: Instant,
    ) -> Option<AppendAnswer> {
        if self.stopped {
            return None;
        }
        self.observe_term(request.term, now);
        if request.term < self.term() {
            return Some(self.refuse_append(self.durable.last().offset));
        }
        self.role = Role::Replica;
        self.last_contact = Some(now);
        self.heard = Some(HeardPrimary {
            name: request.primary.clone(),
            term: request.term,
        });
        self.reset_deadline(now);
        let previous = request.previous;
        if self.durable.position(previous.offset) != previous {
            let before = previous.offset.saturating_sub(1);
            return Some(self.refuse_append(before.min(self.durable.last().offset)));
        }
        let matched = previous.offset + request.records.len() as u64;
        for record in request.records {
            self.take_record(record, now);
        }
        self.confirmed = self.confirmed.max(request.confirmed.min(matched));
        Some(AppendAnswer {
            term: self.term(),
            accepted: true,
            matched,
        })
    }

    fn refuse_append(&self, matched: u64) -> AppendAnswer {
        AppendAnswer {
            term: self.term(),
            accepted: false,
            matched,
        }
    }

    fn take_record(&mut self, record: Record, now: Instant) {
        let offset = record.position.offset;
        if self.durable.position(offset) == record.position {
            return;
        }
        if offset <= self.durable.last().offset {
            self.durable.truncate(offset - 1);
            self.queue.truncate(offset - 1);
        }
        self.durable.append(Arc::new(record));
        self.queue.push(offset, now);
    }

    /// The next message for a server whose log is thought to agree up to `matched`.
    ///
    /// None if this server is not primary.
    pub(crate) fn append_request(&self, matched: u64) -> Option<AppendRequest> {
        self.primary()?;
        let matched = matched.min(self.durable.last().offset);
        let records = self.durable.records_after(matched, APPEND_BATCH);
        Some(AppendRequest {
            term: self.term(),
            primary: self.name.clone(),
            previous: self.durable.position(matched),
            records: records.iter().map(|record| Record::clone(record)).collect(),
            confirmed: self.confirmed,
        })
    }

    /// Notes that `peer` holds the log of `term` up to `matched`.
    pub(crate) fn note_matched(&mut self, peer: &ServerName, term: u64, matched: u64) {
        if self.term() != term {
            return;
        }
        if let Role::Primary(primary) = &mut self.role {
            let known = primary.matched.entry(peer.clone()).or_default();
            *known = matched.max(*known);
            self.advance_confirmed();
        }
    }

    /// Raises the confirmed offset to what a majority is now known to hold.
    pub(super) fn advance_confirmed(&mut self) {
        let last = self.durable.last();
        let Role::Primary(primary) = &self.role else {
            return;
        };
        let mut offsets: Vec<u64> = primary.matched.values().copied().collect();
        offsets.push(last.offset);
        offsets.sort_unstable_by(|left, right| right.cmp(left));
        let Some(&offset) = offsets.get(self.group_size / 2) else {
            return;
        };
        // As in Raft, records of older terms are confirmed by one of the present term.
        if offset >= primary.opened {
            self.confirmed = self.confirmed.max(offset);
        }
    }
}
