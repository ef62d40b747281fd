//! The shared view of a group and the means to have it renewed.

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use arc_swap::ArcSwap;
use spurpier_core::commit::TermStarts;
use spurpier_core::group::{GroupView, ObservedStatus, ServerStatus, ServerView};
use spurpier_core::group_history::GroupHistory;
use spurpier_core::identity::{GroupId, ServerName};
use spurpier_core::position::Position;
use spurpier_core::time::Timestamp;
use tokio::sync::watch;

use super::probe;
use crate::events;
use crate::home::backend::ServerAddress;
use crate::home::clock::Clock;
use crate::log_event;

/// How long after an error the group is probed more often.
const DOUBT_TIME: Duration = Duration::from_secs(2);

/// How often and how patiently servers are probed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ProbeTimes {
    /// The time between two probes while all is well.
    pub calm: Duration,
    /// The time between two probes while in doubt.
    pub doubt: Duration,
    /// How long an answer is awaited.
    pub timeout: Duration,
}

/// Counts of a watcher's work.
#[derive(Debug, Default)]
pub struct WatcherCounters {
    /// Probes that were sent.
    pub probes: AtomicU64,
    /// Probes that got no answer.
    pub failed_probes: AtomicU64,
    /// Changes of the primary that were seen.
    pub primary_changes: AtomicU64,
}

#[derive(Debug)]
struct WatcherState {
    history: GroupHistory,
    unreachable_since: BTreeMap<usize, Timestamp>,
    primary: Option<usize>,
    doubt_until: Timestamp,
}

/// Probes the servers of one group and publishes what they report.
///
/// Reading the view takes no lock; its tasks end when the watcher is dropped.
#[derive(Debug)]
pub struct GroupWatcher {
    group: GroupId,
    clock: Clock,
    times: ProbeTimes,
    view: ArcSwap<GroupView>,
    state: Mutex<WatcherState>,
    changed: watch::Sender<u64>,
    wanted: watch::Sender<Timestamp>,
    counters: WatcherCounters,
}

impl GroupWatcher {
    /// Starts to probe `servers`, each with the address to probe it at.
    pub fn start(
        group: GroupId,
        servers: Vec<(ServerView, ServerAddress)>,
        times: ProbeTimes,
        clock: Clock,
    ) -> Arc<Self> {
        let (views, addresses): (Vec<ServerView>, Vec<ServerAddress>) = servers.into_iter().unzip();
        let watcher = Arc::new(GroupWatcher {
            group,
            clock,
            times,
            view: ArcSwap::from_pointee(GroupView { servers: views }),
            state: Mutex::new(WatcherState {
                history: GroupHistory::default(),
                unreachable_since: BTreeMap::new(),
                primary: None,
                doubt_until: Timestamp::ZERO,
            }),
            changed: watch::Sender::new(0),
            wanted: watch::Sender::new(Timestamp::ZERO),
            counters: WatcherCounters::default(),
        });
        for (index, address) in addresses.into_iter().enumerate() {
            tokio::spawn(probe::run(Arc::downgrade(&watcher), index, address));
        }
        watcher
    }

    /// The newest view.
    pub fn view(&self) -> Arc<GroupView> {
        self.view.load_full()
    }

    /// Counts of the watcher's work.
    pub fn counters(&self) -> &WatcherCounters {
        &self.counters
    }

    /// A receiver that is told of each newer view.
    pub fn changes(&self) -> watch::Receiver<u64> {
        self.changed.subscribe()
    }

    /// Asks that every server be probed by a probe sent at or after `since`.
    ///
    /// Requests that come while a probe is under way share the next one.
    pub fn request_round(&self, since: Timestamp) {
        self.wanted.send_if_modified(|wanted| {
            let later = since > *wanted;
            *wanted = (*wanted).max(since);
            later
        });
    }

    /// Says that a request met an error: the group is probed at once, and often for a while.
    pub fn doubt(&self) {
        let now = self.clock.now();
        self.lock().doubt_until = now + DOUBT_TIME;
        self.request_round(now);
    }

    /// Whether no later primary can lack the position, as far as this watcher has ever seen.
    pub fn is_confirmed(&self, position: Position) -> bool {
        self.lock().history.is_confirmed(position)
    }

    /// What is known of the start of each term.
    pub fn term_starts(&self) -> TermStarts {
        self.lock().history.term_starts().clone()
    }

    /// A position at or past every write confirmed before `moment`, if enough is known.
    pub fn index_at(&self, moment: Timestamp) -> Option<Position> {
        self.lock().history.read_index_at(moment)
    }

    /// How far each server is behind the group, in the order of the view.
    pub fn lags(&self, view: &GroupView, now: Timestamp) -> Vec<Duration> {
        let state = self.lock();
        let lag = |server: &ServerView| match &server.observed {
            Some(observed) => state.history.lag(observed.status.applied, now),
            None => Duration::MAX,
        };
        view.servers.iter().map(lag).collect()
    }

    /// How long a server has not answered; zero when it answers.
    pub fn unreachable_for(&self, index: usize) -> Duration {
        let since = self.lock().unreachable_since.get(&index).copied();
        since.map_or(Duration::ZERO, |since| self.clock.now().since(since))
    }

    /// Takes in what another source says of a server's leaving.
    pub fn set_leaving(&self, name: &ServerName, leaving: bool) {
        self.update(|servers| {
            let named = servers.iter_mut().find(|server| server.name == *name);
            if let Some(server) = named {
                server.leaving_hint = leaving;
            }
        });
    }

    /// Takes in a status that was asked at `requested_at`, by a probe or behind a unit.
    pub fn observe(&self, index: usize, requested_at: Timestamp, status: ServerStatus) {
        self.update(|servers| {
            let Some(server) = servers.get_mut(index) else {
                return;
            };
            server.reachable = true;
            let known = server
                .observed
                .as_ref()
                .map(|observed| observed.requested_at);
            if known.is_none_or(|known| known <= requested_at) {
                server.observed = Some(ObservedStatus {
                    requested_at,
                    status,
                });
            }
        });
    }

    /// Takes in that a server refused a connection because it is stopping.
    pub fn observe_leaving(&self, index: usize) {
        self.update(|servers| {
            let known = servers
                .get_mut(index)
                .and_then(|server| server.observed.as_mut());
            if let Some(observed) = known {
                observed.status.leaving = true;
            }
        });
    }

    /// Takes in that a server did not answer a probe.
    pub fn observe_failure(&self, index: usize) {
        self.counters.failed_probes.fetch_add(1, Ordering::Relaxed);
        self.update(|servers| {
            if let Some(server) = servers.get_mut(index) {
                server.reachable = false;
            }
        });
    }

    /// Waits for a view that `choose` accepts, or until `deadline`.
    pub async fn wait_for<T>(
        &self,
        deadline: Timestamp,
        mut choose: impl FnMut(&GroupView) -> Option<T>,
    ) -> Option<T> {
        let mut changes = self.changes();
        let end = self.clock.instant(deadline);
        loop {
            changes.borrow_and_update();
            if let Some(chosen) = choose(&self.view()) {
                return Some(chosen);
            }
            match tokio::time::timeout_at(end, changes.changed()).await {
                Ok(Ok(())) => {}
                Ok(Err(_)) | Err(_) => return None,
            }
        }
    }

    /// The read index for requests that arrived by `since`, by a fresh round of probes.
    pub async fn read_index(&self, since: Timestamp, deadline: Timestamp) -> Option<Position> {
        if let Some(index) = self.view().read_index(since) {
            return Some(index);
        }
        self.request_round(since);
        self.wait_for(deadline, |view| view.read_index(since)).await
    }

    pub(super) fn clock(&self) -> Clock {
        self.clock
    }

    pub(super) fn times(&self) -> ProbeTimes {
        self.times
    }

    pub(super) fn wanted(&self) -> watch::Receiver<Timestamp> {
        self.wanted.subscribe()
    }

    /// How long a server's next probe may be put off.
    pub(super) fn pause(&self) -> Duration {
        let in_doubt =
            self.clock.now() < self.lock().doubt_until || self.view().primary().is_none();
        if in_doubt {
            self.times.doubt
        } else {
            self.times.calm
        }
    }

    fn lock(&self) -> MutexGuard<'_, WatcherState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn update(&self, change: impl FnOnce(&mut Vec<ServerView>)) {
        let mut state = self.lock();
        let mut view = GroupView::clone(&self.view.load());
        change(&mut view.servers);
        state.history.observe(&view);
        self.note_reachability(&mut state, &view);
        self.note_primary(&mut state, &view);
        self.view.store(Arc::new(view));
        drop(state);
        self.changed.send_modify(|version| *version += 1);
    }

    fn note_reachability(&self, state: &mut WatcherState, view: &GroupView) {
        let now = self.clock.now();
        for (index, server) in view.servers.iter().enumerate() {
            if server.reachable {
                state.unreachable_since.remove(&index);
            } else {
                state.unreachable_since.entry(index).or_insert(now);
            }
        }
    }

    fn note_primary(&self, state: &mut WatcherState, view: &GroupView) {
        let Some(primary) = view.primary() else {
            return;
        };
        if state.primary.replace(primary) == Some(primary) {
            return;
        }
        self.counters
            .primary_changes
            .fetch_add(1, Ordering::Relaxed);
        log_event!(
            events::home::PRIMARY_CHANGED,
            group = &self.group,
            server = &view.servers[primary].name,
            term = view.newest_term()
        );
    }
}
