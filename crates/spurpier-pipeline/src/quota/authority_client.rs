//! Requests permits from the authority of one scope. Each request is also a vote for it.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use spurpier_core::quota::{AuthoritySelector, PERMIT_TTL, VOTE_TTL, ZONE_VOTE_TTL};
use tokio::time::sleep;

use super::waiting::{Granted, PermitDemands};
use super::{PermitRequest, PermitResponse, Quotas, Scope};
use crate::context::Context;
use crate::forward::{Call, CallOutcome, Reply};
use crate::homes::PeerNode;

/// Interval between votes for the authority of the own zone: two within the TTL of a vote.
const ZONE_VOTE_INTERVAL: Duration = Duration::from_millis(1_200);
/// Requests sent to an authority that has no vote of this node yet: the first response carries the
/// time of the authority's clock, and the second request counts as a vote.
const VOTE_ATTEMPTS: usize = 2;

/// Selects the authority of a scope and sends it this node's requests.
#[derive(Debug)]
pub struct AuthorityClient {
    scope: Scope,
    selector: Mutex<AuthoritySelector>,
}

/// How a request ended.
enum RequestOutcome {
    Answered(PermitResponse),
    /// The authority is shutting down and grants nothing more.
    Departed,
    /// No response came in time.
    Unanswered,
}

impl AuthorityClient {
    /// Creates a client that has selected no authority yet.
    pub fn new(scope: Scope) -> Self {
        let vote_ttl = match scope {
            Scope::Shard(_) => VOTE_TTL,
            Scope::Zone => ZONE_VOTE_TTL,
        };
        AuthorityClient {
            scope,
            selector: Mutex::new(AuthoritySelector::new(vote_ttl)),
        }
    }

    /// Votes for the authority of the zone while tenants have quotas. Never returns.
    pub async fn vote(self: Arc<Self>, context: Arc<Context>) {
        loop {
            sleep(ZONE_VOTE_INTERVAL).await;
            if self.is_vote_due(&context, ZONE_VOTE_INTERVAL) {
                // After a lost vote the next one comes within the TTL of the previous vote.
                let _ = self.request(&context, &PermitDemands::new()).await;
            }
        }
    }

    /// Whether the scope is in use and no request was sent for `interval`.
    pub fn is_vote_due(&self, context: &Context, interval: Duration) -> bool {
        let asked_for = self.selector().time_since_request(context.clock.now());
        Quotas::is_used(context, self.scope) && asked_for.is_none_or(|time| time >= interval)
    }

    /// Sends a request to the authority; `None` if no response comes.
    pub async fn request(&self, context: &Context, demands: &PermitDemands) -> Option<Granted> {
        let limit = context.clock.instant(context.clock.now() + PERMIT_TTL);
        context.homes.wait_for_list(limit).await;
        let ranked = context.homes.authorities(self.scope);
        // An authority that is shutting down reports it, and the next one is asked at once.
        for _ in 0..ranked.len() + VOTE_ATTEMPTS {
            let authority = self.select_authority(context, &ranked)?;
            let asked_at = context.clock.now();
            let has_voted = self.selector().authority_time(asked_at).is_some();
            match self.send_request(context, &authority, demands).await {
                RequestOutcome::Answered(answer) => {
                    self.record_response(context, &authority, &answer);
                    if answer.has_majority || has_voted {
                        return Some(Granted {
                            scope: self.scope,
                            answer,
                            asked_at,
                        });
                    }
                    // The next request counts as a vote, which may complete the majority.
                }
                RequestOutcome::Departed => self.selector().record_departure(&authority.name),
                RequestOutcome::Unanswered => return None,
            }
        }
        None
    }

    fn record_response(&self, context: &Context, authority: &PeerNode, answer: &PermitResponse) {
        let now = context.clock.now();
        let mut selector = self.selector();
        selector.record_response(&authority.name, answer.has_majority, answer.stamp(), now);
    }

    fn select_authority(&self, context: &Context, ranked: &[PeerNode]) -> Option<PeerNode> {
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
        let mut selector = self.selector();
        let chosen = selector.select(&names, now)?.to_owned();
        selector.record_request(now);
        let chosen = reachable.into_iter().find(|node| node.name == chosen);
        chosen.cloned()
    }

    async fn send_request(
        &self,
        context: &Context,
        authority: &PeerNode,
        demands: &PermitDemands,
    ) -> RequestOutcome {
        let own = &context.settings.node.name;
        let sent_after = self.selector().authority_time(context.clock.now());
        let demands = demands.iter().map(|(tenant, demand)| (&**tenant, *demand));
        let request = PermitRequest::new(self.scope, own, sent_after, demands);
        context.metrics.count_permit_request();
        if authority.name == *own {
            return match super::answer_permit_request(context, request) {
                Some(answer) => RequestOutcome::Answered(answer),
                None => RequestOutcome::Departed,
            };
        }
        let until = context.clock.now() + PERMIT_TTL;
        let links = &context.links;
        let Some(link) = links.link(authority.address, &context.clock, until).await else {
            return RequestOutcome::Unanswered;
        };
        let end = context.clock.instant(until);
        match link.call_until(Call::Permits(request), end, true).await {
            CallOutcome::Replied(Reply::Permits(answer)) => RequestOutcome::Answered(answer),
            CallOutcome::Replied(Reply::NotStarted) => RequestOutcome::Departed,
            CallOutcome::Replied(_) | CallOutcome::NotSent | CallOutcome::Lost => {
                RequestOutcome::Unanswered
            }
        }
    }

    fn selector(&self) -> MutexGuard<'_, AuthoritySelector> {
        self.selector.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
