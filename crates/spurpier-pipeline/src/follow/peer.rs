//! Asking other nodes for a table.

use std::net::SocketAddr;
use std::time::Duration;

use spurpier_events::log_event;

use super::{Follower, RowSink};
use crate::events;
use crate::forward::{Call, Link, Outcome, Reply};
use crate::homes::PeerNode;
use crate::known_tables::{News, table_number};

/// How long one wait for a node's news lasts at most.
const NEWS_WAIT: Duration = Duration::from_millis(1_200);
/// How long a starting node waits for a node that does not know the table itself yet, as when all
/// start together: about what reading it at the store takes.
const FIRST_NEWS_WAIT: Duration = Duration::from_millis(400);
/// How much longer than its wait a call for news may take.
const NEWS_SLACK: Duration = Duration::from_millis(200);
/// How long connecting to a node may take.
const CONNECT_LIMIT: Duration = Duration::from_millis(300);
/// How long a seed may take to answer.
const SEED_LIMIT: Duration = Duration::from_millis(600);

impl<S: RowSink> Follower<S> {
    /// Waits for what another node tells; false if it told nothing, or nothing that is fresh.
    pub(super) async fn ask_peer(&mut self, peer: &PeerNode) -> bool {
        let context = &self.context;
        let clock = &context.clock;
        let connect_until = clock.now() + CONNECT_LIMIT;
        let link = context.links.link(peer.address, clock, connect_until);
        let Some(link) = link.await else {
            return false;
        };
        // What is known grows stale at this moment: the answer must come before.
        let fresh_for = (self.told_at + self.patience.stale()).since(clock.now());
        let wait = match self.version {
            Some(_) => NEWS_WAIT.min(fresh_for),
            None => FIRST_NEWS_WAIT,
        };
        let asked_at = clock.now();
        let Some(news) = self.call(&link, wait, wait + NEWS_SLACK).await else {
            return false;
        };
        let told_at = news.told_at(asked_at);
        let age = self.context.clock.now().since(told_at);
        self.take_news(news, told_at) && age < self.patience.stale()
    }

    async fn call(&self, link: &Link, wait: Duration, limit: Duration) -> Option<News> {
        let call = Call::Follow {
            table: table_number(self.table)?,
            version: self.version,
            wait_ms: u32::try_from(wait.as_millis()).unwrap_or(u32::MAX),
        };
        let clock = &self.context.clock;
        let end = clock.instant(clock.now() + limit);
        match link.call_until(call, end, true).await {
            Outcome::Replied(Reply::News(news)) => Some(news),
            _ => None,
        }
    }

    /// Takes the table from a seed, at a start at which the store does not answer.
    pub(super) async fn ask_seeds(&mut self) {
        let settings = &self.context.settings;
        let seeds: Vec<SocketAddr> = settings
            .seeds
            .iter()
            .filter(|seed| **seed != settings.listen.control)
            .copied()
            .collect();
        for seed in seeds {
            if self.ask_seed(seed).await {
                return;
            }
        }
    }

    async fn ask_seed(&mut self, seed: SocketAddr) -> bool {
        let Some(link) = Link::connect(seed).await else {
            return false;
        };
        let asked_at = self.context.clock.now();
        let news = self.call(&link, Duration::ZERO, SEED_LIMIT).await;
        link.close();
        let Some(news) = news else {
            return false;
        };
        log_event!(
            events::TABLE_HANDED_ON,
            table = format!("{:?}", self.table),
            rows = news.rows.0.len()
        );
        let told_at = news.told_at(asked_at);
        self.take_news(news, told_at)
    }
}
