//! Which authority a node asks.

use std::time::Duration;

use super::votes::AuthorityTimestamp;
use crate::time::Timestamp;

/// How long a node stays with the first-ranked authority although that has no majority, in lives of
/// a vote: nodes that left another one have come to it by then. 1.2 s for the authority of all nodes.
const NO_MAJORITY_TIMEOUT_VOTE_TTLS: f64 = 12.0 / 7.0;

/// A node's choice among the authorities of a tenant, which are ranked alike on all nodes.
///
/// A node asks another one only when its vote for the former is over, so that no two have the
/// votes of most nodes at the same time. It stays with one that has a majority, so that an
/// authority which comes back does not make all nodes change again.
#[derive(Debug)]
pub struct AuthoritySelector {
    /// How long a question counts as a vote.
    vote_ttl: Duration,
    selected: Option<Selected>,
}

#[derive(Debug)]
struct Selected {
    name: String,
    selected_at: Timestamp,
    last_requested_at: Option<Timestamp>,
    /// Whether it has told that it has no majority.
    lacks_majority: bool,
    /// The last moment of its clock that it told, and when that came.
    timestamp: Option<(AuthorityTimestamp, Timestamp)>,
}

impl Selected {
    /// Until when its question may count as a vote, wherever that is by then.
    fn vote_expires_at(&self, vote_ttl: Duration) -> Option<Timestamp> {
        self.last_requested_at
            .map(|last_requested_at| last_requested_at + vote_ttl)
    }
}

impl AuthoritySelector {
    /// No choice yet, among authorities where a vote counts for so long.
    pub fn new(vote_ttl: Duration) -> Self {
        AuthoritySelector {
            vote_ttl,
            selected: None,
        }
    }

    /// The authority to ask now, out of those that can be reached, in their order; none while the
    /// vote for the former one lasts, or if none can be reached.
    pub fn select(&mut self, reachable: &[&str], now: Timestamp) -> Option<&str> {
        let preferred = self.preferred(reachable, now)?;
        let is_selected = |selected: &Selected| selected.name == preferred;
        if !self.selected.as_ref().is_some_and(is_selected) {
            let selected = self.selected.as_ref();
            let vote_expires_at =
                selected.and_then(|selected| selected.vote_expires_at(self.vote_ttl));
            if vote_expires_at.is_some_and(|expires_at| expires_at > now) {
                return None;
            }
            self.selected = Some(Selected {
                name: preferred.to_owned(),
                selected_at: now,
                last_requested_at: None,
                lacks_majority: false,
                timestamp: None,
            });
        }
        self.selected
            .as_ref()
            .map(|selected| selected.name.as_str())
    }

    /// Takes in that the authority is asked now.
    pub fn record_request(&mut self, now: Timestamp) {
        if let Some(selected) = &mut self.selected {
            selected.last_requested_at = Some(now);
        }
    }

    /// Takes in an authority's answer: whether it has a majority, and a moment of its clock.
    pub fn record_response(
        &mut self,
        name: &str,
        has_majority: bool,
        timestamp: AuthorityTimestamp,
        now: Timestamp,
    ) {
        if let Some(selected) = self
            .selected
            .as_mut()
            .filter(|selected| selected.name == name)
        {
            selected.lacks_majority = !has_majority;
            selected.timestamp = Some((timestamp, now));
        }
    }

    /// A moment of the authority's clock that is past now; none before it has told one.
    pub fn authority_time(&self, now: Timestamp) -> Option<AuthorityTimestamp> {
        let (timestamp, received_at) = self.selected.as_ref()?.timestamp?;
        Some(AuthorityTimestamp {
            at: timestamp.at + now.since(received_at),
            ..timestamp
        })
    }

    /// Takes in that an authority gives no leaves any more, so that votes for it are void.
    pub fn record_departure(&mut self, name: &str) {
        self.selected.take_if(|selected| selected.name == name);
    }

    /// How long ago the authority was asked.
    pub fn time_since_request(&self, now: Timestamp) -> Option<Duration> {
        let last_requested_at = self.selected.as_ref()?.last_requested_at?;
        Some(now.since(last_requested_at))
    }

    fn preferred<'a>(&self, reachable: &[&'a str], now: Timestamp) -> Option<&'a str> {
        let first = *reachable.first()?;
        let Some(selected) = &self.selected else {
            return Some(first);
        };
        let Some(index) = reachable.iter().position(|name| *name == selected.name) else {
            return Some(first);
        };
        if !selected.lacks_majority {
            return Some(reachable[index]);
        }
        if index > 0 {
            return Some(first);
        }
        if now.since(selected.selected_at) < self.vote_ttl.mul_f64(NO_MAJORITY_TIMEOUT_VOTE_TTLS) {
            return Some(first);
        }
        // Most nodes may have stayed with another one.
        Some(reachable.get(1).copied().unwrap_or(first))
    }
}
