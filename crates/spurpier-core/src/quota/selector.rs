//! Selects the authority that a node sends its requests to.

use std::time::Duration;

use super::votes::AuthorityTimestamp;
use crate::time::Timestamp;

/// How long a node keeps the first-ranked authority although that has no majority, as a multiple of
/// the TTL of a vote: 1.2 s for the global authority. By then the nodes that left another authority
/// have voted for this one.
const NO_MAJORITY_TIMEOUT_VOTE_TTLS: f64 = 12.0 / 7.0;

/// Selects one of the candidate authorities, which all nodes rank alike.
///
/// A node changes to another authority only after its vote for the previous one has expired, so
/// that two authorities never have the votes of a majority of the nodes at the same time. It keeps
/// an authority that has a majority, so that the return of a better-ranked one does not make all
/// nodes change again.
#[derive(Debug)]
pub struct AuthoritySelector {
    /// How long a request counts as a vote.
    vote_ttl: Duration,
    selected: Option<Selected>,
}

#[derive(Debug)]
struct Selected {
    name: String,
    selected_at: Timestamp,
    last_requested_at: Option<Timestamp>,
    /// Whether its last response reported that it has no majority.
    lacks_majority: bool,
    /// The time on its clock in its last response, and when that response arrived.
    timestamp: Option<(AuthorityTimestamp, Timestamp)>,
}

impl Selected {
    /// When the last request to it stops counting as a vote, even if it is still in transit.
    fn vote_expires_at(&self, vote_ttl: Duration) -> Option<Timestamp> {
        self.last_requested_at
            .map(|last_requested_at| last_requested_at + vote_ttl)
    }
}

impl AuthoritySelector {
    /// Creates a selector without a selection; `vote_ttl` is how long a request counts as a vote.
    pub fn new(vote_ttl: Duration) -> Self {
        AuthoritySelector {
            vote_ttl,
            selected: None,
        }
    }

    /// Selects the authority to send a request to at `now`. `reachable` are the authorities that
    /// can be reached, in the order of their ranks. None while the vote for the previous one is
    /// valid, or if none can be reached.
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

    /// Records that a request is sent to the selected authority at `now`.
    pub fn record_request(&mut self, now: Timestamp) {
        if let Some(selected) = &mut self.selected {
            selected.last_requested_at = Some(now);
        }
    }

    /// Records the response of an authority: whether it has a majority, and the time on its clock.
    /// It is ignored unless that authority is still selected.
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

    /// A time on the selected authority's clock that has passed by `now`: its last reported time
    /// plus the time since that arrived. None before its first response.
    pub fn authority_time(&self, now: Timestamp) -> Option<AuthorityTimestamp> {
        let (timestamp, received_at) = self.selected.as_ref()?.timestamp?;
        Some(AuthorityTimestamp {
            at: timestamp.at + now.since(received_at),
            ..timestamp
        })
    }

    /// Records that an authority is stopping and grants no more permits. Votes for it are void, so
    /// that another one can be selected at once.
    pub fn record_departure(&mut self, name: &str) {
        self.selected.take_if(|selected| selected.name == name);
    }

    /// The time since the last request to the selected authority; none before the first.
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
        // A majority of the nodes may have kept another authority.
        Some(reachable.get(1).copied().unwrap_or(first))
    }
}
