//! Which authority a node asks.

use std::time::Duration;

use super::votes::Stamp;
use crate::time::Timestamp;

/// How long a node stays with the first-ranked authority although that has no majority, in lives of
/// a vote: nodes that left another one have come to it by then. 1.2 s for the authority of all nodes.
const PATIENCE: f64 = 12.0 / 7.0;

/// A node's choice among the authorities of a tenant, which are ranked alike on all nodes.
///
/// A node asks another one only when its vote for the former is over, so that no two have the
/// votes of most nodes at the same time. It stays with one that has a majority, so that an
/// authority which comes back does not make all nodes change again.
#[derive(Debug)]
pub struct AuthorityChoice {
    /// How long a question counts as a vote.
    vote_life: Duration,
    current: Option<Current>,
}

#[derive(Debug)]
struct Current {
    name: String,
    chosen_at: Timestamp,
    asked_at: Option<Timestamp>,
    /// Whether it has told that it has no majority.
    in_minority: bool,
    /// The last moment of its clock that it told, and when that came.
    stamp: Option<(Stamp, Timestamp)>,
}

impl Current {
    /// Until when its question may count as a vote, wherever that is by then.
    fn vote_ends_at(&self, vote_life: Duration) -> Option<Timestamp> {
        self.asked_at.map(|asked_at| asked_at + vote_life)
    }
}

impl AuthorityChoice {
    /// No choice yet, among authorities where a vote counts for so long.
    pub fn new(vote_life: Duration) -> Self {
        AuthorityChoice {
            vote_life,
            current: None,
        }
    }

    /// The authority to ask now, out of those that can be reached, in their order; none while the
    /// vote for the former one lasts, or if none can be reached.
    pub fn choose(&mut self, reachable: &[&str], now: Timestamp) -> Option<&str> {
        let wanted = self.wanted(reachable, now)?;
        let is_current = |current: &Current| current.name == wanted;
        if !self.current.as_ref().is_some_and(is_current) {
            let current = self.current.as_ref();
            let vote_ends_at = current.and_then(|current| current.vote_ends_at(self.vote_life));
            if vote_ends_at.is_some_and(|ends_at| ends_at > now) {
                return None;
            }
            self.current = Some(Current {
                name: wanted.to_owned(),
                chosen_at: now,
                asked_at: None,
                in_minority: false,
                stamp: None,
            });
        }
        self.current.as_ref().map(|current| current.name.as_str())
    }

    /// Takes in that the authority is asked now.
    pub fn note_asked(&mut self, now: Timestamp) {
        if let Some(current) = &mut self.current {
            current.asked_at = Some(now);
        }
    }

    /// Takes in an authority's answer: whether it has a majority, and a moment of its clock.
    pub fn note_answer(&mut self, name: &str, has_majority: bool, stamp: Stamp, now: Timestamp) {
        if let Some(current) = self.current.as_mut().filter(|current| current.name == name) {
            current.in_minority = !has_majority;
            current.stamp = Some((stamp, now));
        }
    }

    /// A moment of the authority's clock that is past now; none before it has told one.
    pub fn sent_after(&self, now: Timestamp) -> Option<Stamp> {
        let (stamp, told_at) = self.current.as_ref()?.stamp?;
        Some(Stamp {
            at: stamp.at + now.since(told_at),
            ..stamp
        })
    }

    /// Takes in that an authority gives no leaves any more, so that votes for it are void.
    pub fn note_left(&mut self, name: &str) {
        self.current.take_if(|current| current.name == name);
    }

    /// How long ago the authority was asked.
    pub fn asked_for(&self, now: Timestamp) -> Option<Duration> {
        let asked_at = self.current.as_ref()?.asked_at?;
        Some(now.since(asked_at))
    }

    fn wanted<'a>(&self, reachable: &[&'a str], now: Timestamp) -> Option<&'a str> {
        let first = *reachable.first()?;
        let Some(current) = &self.current else {
            return Some(first);
        };
        let Some(place) = reachable.iter().position(|name| *name == current.name) else {
            return Some(first);
        };
        if !current.in_minority {
            return Some(reachable[place]);
        }
        if place > 0 {
            return Some(first);
        }
        if now.since(current.chosen_at) < self.vote_life.mul_f64(PATIENCE) {
            return Some(first);
        }
        // Most nodes may have stayed with another one.
        Some(reachable.get(1).copied().unwrap_or(first))
    }
}
