//! Asking the authority of one scope, which is a vote for it.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use spurpier_core::quota::{AuthoritySelector, PERMIT_TTL, VOTE_TTL, ZONE_VOTE_TTL};
use tokio::time::sleep;

use super::waiting::{Granted, Wants};
use super::{LeaveAnswer, LeaveQuestion, Quotas, Scope};
use crate::context::Context;
use crate::forward::{Call, CallOutcome, Reply};
use crate::homes::PeerNode;

/// How often a node votes for the authority of its zone: twice within the life of a vote.
const ZONE_VOTE_INTERVAL: Duration = Duration::from_millis(1_200);
/// How often a question is asked whose authority knows no vote of this node yet: the first tells the
/// node a moment of the authority's clock, and the second is a vote.
const VOTE_TRIES: usize = 2;

/// A node's way to the authority of a scope.
#[derive(Debug)]
pub struct Asker {
    scope: Scope,
    choice: Mutex<AuthoritySelector>,
}

/// How a question ended.
enum Asked {
    Answered(LeaveAnswer),
    /// The authority is about to end and gives nothing more.
    Left,
    /// No answer came.
    Lost,
}

impl Asker {
    /// One that has asked nobody.
    pub fn new(scope: Scope) -> Self {
        let vote_life = match scope {
            Scope::Seat(_) => VOTE_TTL,
            Scope::Zone => ZONE_VOTE_TTL,
        };
        Asker {
            scope,
            choice: Mutex::new(AuthoritySelector::new(vote_life)),
        }
    }

    /// Votes for the authority of the zone while tenants have quotas; never returns.
    pub async fn vote(self: Arc<Self>, context: Arc<Context>) {
        loop {
            sleep(ZONE_VOTE_INTERVAL).await;
            if self.is_vote_due(&context, ZONE_VOTE_INTERVAL) {
                // A vote that is lost is followed by the next one within its life.
                let _ = self.ask(&context, &Wants::new()).await;
            }
        }
    }

    /// Whether there is anything to count and the authority was not asked for so long.
    pub fn is_vote_due(&self, context: &Context, interval: Duration) -> bool {
        let asked_for = self.choice().time_since_request(context.clock.now());
        Quotas::is_used(context, self.scope) && asked_for.is_none_or(|time| time >= interval)
    }

    /// Asks the authority; none if no answer comes.
    pub async fn ask(&self, context: &Context, wants: &Wants) -> Option<Granted> {
        let limit = context.clock.instant(context.clock.now() + PERMIT_TTL);
        context.homes.wait_for_list(limit).await;
        let ranked = context.homes.authorities(self.scope);
        // An authority that is about to end says so, and the next one is asked at once.
        for _ in 0..ranked.len() + VOTE_TRIES {
            let authority = self.choose(context, &ranked)?;
            let asked_at = context.clock.now();
            let has_voted = self.choice().authority_time(asked_at).is_some();
            match self.ask_one(context, &authority, wants).await {
                Asked::Answered(answer) => {
                    self.note_answer(context, &authority, &answer);
                    if answer.has_majority || has_voted {
                        return Some(Granted {
                            scope: self.scope,
                            answer,
                            asked_at,
                        });
                    }
                    // The next question is a vote, and may be the one that is missing.
                }
                Asked::Left => self.choice().record_departure(&authority.name),
                Asked::Lost => return None,
            }
        }
        None
    }

    fn note_answer(&self, context: &Context, authority: &PeerNode, answer: &LeaveAnswer) {
        let now = context.clock.now();
        let mut choice = self.choice();
        choice.record_response(&authority.name, answer.has_majority, answer.stamp(), now);
    }

    fn choose(&self, context: &Context, ranked: &[PeerNode]) -> Option<PeerNode> {
        let own = &context.settings.node.name;
        let is_draining = context.draining.is_cancelled();
        let is_reachable = |node: &&PeerNode| {
            if node.name == *own {
                !is_draining
            } else {
                context.links.is_usable(node.address)
            }
        };
        let reachable: Vec<&PeerNode> = ranked.iter().filter(is_reachable).collect();
        let names: Vec<&str> = reachable.iter().map(|node| node.name.as_str()).collect();
        let now = context.clock.now();
        let mut choice = self.choice();
        let chosen = choice.select(&names, now)?.to_owned();
        choice.record_request(now);
        let chosen = reachable.into_iter().find(|node| node.name == chosen);
        chosen.cloned()
    }

    async fn ask_one(&self, context: &Context, authority: &PeerNode, wants: &Wants) -> Asked {
        let own = &context.settings.node.name;
        let sent_after = self.choice().authority_time(context.clock.now());
        let wants = wants.iter().map(|(tenant, want)| (&**tenant, *want));
        let question = LeaveQuestion::new(self.scope, own, sent_after, wants);
        context.metrics.count_permit_request();
        if authority.name == *own {
            return match super::answer_question(context, question) {
                Some(answer) => Asked::Answered(answer),
                None => Asked::Left,
            };
        }
        let until = context.clock.now() + PERMIT_TTL;
        let links = &context.links;
        let Some(link) = links.link(authority.address, &context.clock, until).await else {
            return Asked::Lost;
        };
        let end = context.clock.instant(until);
        match link.call_until(Call::Permits(question), end, true).await {
            CallOutcome::Replied(Reply::Permits(answer)) => Asked::Answered(answer),
            CallOutcome::Replied(Reply::NotStarted) => Asked::Left,
            CallOutcome::Replied(_) | CallOutcome::NotSent | CallOutcome::Lost => Asked::Lost,
        }
    }

    fn choice(&self) -> MutexGuard<'_, AuthoritySelector> {
        self.choice.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
