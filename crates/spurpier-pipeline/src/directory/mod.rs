//! The server directory: keeps the groups' servers in sync with the rows in the store.

mod connections;
mod gone;

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use spurpier_core::directory::{Roster, RosterChange, RosterRow, RowContent, ServerEndpoint};
use spurpier_core::store_version::StoreVersion;
use spurpier_core::time::Timestamp;
use spurpier_events::log_event;

pub use self::connections::{
    close_unused, share_after_start, share_connections, share_connections_of,
};
pub use self::gone::forget_gone;

use self::connections::connection_share;
use crate::context::Context;
use crate::events;
use crate::follow::RowSink;
use crate::group::Group;
use crate::locality::ColdGate;
use crate::ports::{Row, ServerEntry, UnusableEntry};
use crate::server::{Listing, Pool, Server, Target};
use crate::server_rows;

/// Applies the server rows of the store to the groups.
///
/// An unusable row removes the server that was listed under its key. A server whose group is not
/// configured is set aside, and not contacted, until the configuration names the group.
pub struct Directory {
    context: Arc<Context>,
    state: Mutex<State>,
}

#[derive(Default)]
struct State {
    roster: Roster,
    /// Servers of groups that are not configured, by server name.
    set_aside: BTreeMap<String, ListedServer>,
    /// Why rows are unusable, by row key.
    unusable: BTreeMap<String, UnusableEntry>,
}

/// A server's entry and the version of its row.
struct ListedServer {
    entry: ServerEntry,
    version: StoreVersion,
}

/// A row and its decoded entry.
struct ReadRow<'a> {
    row: &'a Row,
    /// `None` if the row was deleted.
    read: Option<Result<ServerEntry, UnusableEntry>>,
}

impl Directory {
    /// Creates an empty directory.
    pub fn new(context: Arc<Context>) -> Arc<Self> {
        Arc::new(Directory {
            context,
            state: Mutex::default(),
        })
    }

    /// Replaces all rows by a full table read at `version`.
    fn replace_all(&self, rows: &[Row], version: StoreVersion) {
        let mut state = self.lock();
        let mut read: Vec<ReadRow<'_>> = rows.iter().map(ReadRow::new).collect();
        let started = count_start_times(read.iter().filter_map(|read| read.read.as_ref()));
        require_starts(&mut read, started);
        let (roster_rows, mut entries) = self.record_read(&mut state, read);
        let changes = state.roster.replace(roster_rows, version);
        let State {
            roster, unusable, ..
        } = &mut *state;
        unusable.retain(|key, _| roster.version(key) > StoreVersion::NONE);
        let count = rows.len();
        for change in changes {
            self.apply(&mut state, change, &mut entries, LogServers::Summary);
        }
        log_event!(
            events::SERVERS_LISTED,
            rows = count,
            unusable = state.unusable.len(),
            unnamed = state.set_aside.len()
        );
        self.update_unusable_metrics(&state);
    }

    /// Applies changed and deleted rows.
    fn apply_changes(&self, rows: &[Row]) {
        let mut state = self.lock();
        let mut read: Vec<ReadRow<'_>> = rows.iter().map(ReadRow::new).collect();
        if read.iter().any(ReadRow::lacks_start) {
            require_starts(&mut read, state.roster.count_start_times());
        }
        let (roster_rows, mut entries) = self.record_read(&mut state, read);
        for row in roster_rows {
            let change = state.roster.apply(row);
            self.apply(&mut state, change, &mut entries, LogServers::Each);
        }
        self.update_unusable_metrics(&state);
    }

    /// Records which rows are unusable; returns all rows for the roster, and the usable entries by
    /// key.
    fn record_read(
        &self,
        state: &mut State,
        read: Vec<ReadRow<'_>>,
    ) -> (Vec<RosterRow>, BTreeMap<String, ListedServer>) {
        let mut entries = BTreeMap::new();
        let mut rows = Vec::with_capacity(read.len());
        for ReadRow { row, read } in read {
            let is_newer = state.roster.version(&row.key) < row.version;
            let content = match read {
                None => RowContent::Removed,
                Some(Err(why)) => {
                    if is_newer {
                        self.log_unusable(&row.key, row.version, why);
                        state.unusable.insert(row.key.clone(), why);
                    }
                    RowContent::Unusable
                }
                Some(Ok(entry)) => {
                    let endpoint = endpoint_of(&entry);
                    let version = row.version;
                    entries.insert(row.key.clone(), ListedServer { entry, version });
                    RowContent::Server(endpoint)
                }
            };
            if is_newer && content != RowContent::Unusable {
                state.unusable.remove(&row.key);
            }
            rows.push(RosterRow {
                key: row.key.clone(),
                version: row.version,
                content,
            });
        }
        (rows, entries)
    }

    fn apply(
        &self,
        state: &mut State,
        change: RosterChange,
        entries: &mut BTreeMap<String, ListedServer>,
        log: LogServers,
    ) {
        match change {
            RosterChange::Nothing => {}
            RosterChange::Join(present) | RosterChange::Update(present) => {
                if let Some(listed) = entries.remove(present.incarnation.name()) {
                    self.add_to_group(state, listed, log);
                }
            }
            RosterChange::Restart { former, present } => {
                if self.context.homes_of(&present.group).is_own {
                    log_event!(
                        events::SERVER_RESTARTED,
                        group = present.group,
                        former = former.incarnation,
                        present = present.incarnation,
                        address = present.address
                    );
                }
                self.remove_former_incarnation(&former);
                if let Some(listed) = entries.remove(present.incarnation.name()) {
                    self.add_to_group(state, listed, log);
                }
            }
            RosterChange::Leave(endpoint) => {
                state.set_aside.remove(endpoint.incarnation.name());
                state.unusable.remove(endpoint.incarnation.name());
                let now = self.context.clock.now();
                self.mark_gone(&endpoint, self.gone_at(now));
            }
            RosterChange::Invalidate(endpoint) => {
                state.set_aside.remove(endpoint.incarnation.name());
                self.mark_gone(&endpoint, self.context.clock.now());
            }
        }
    }

    /// Adds or updates a server in its group, or sets it aside if the group is not configured.
    fn add_to_group(&self, state: &mut State, listed: ListedServer, log: LogServers) {
        let ListedServer { entry, version } = listed;
        if !self.is_named(&entry.group) {
            let name = entry.incarnation.name().to_owned();
            state
                .set_aside
                .insert(name, ListedServer { entry, version });
            return;
        }
        state.set_aside.remove(entry.incarnation.name());
        let group = self.context.group(&entry.group);
        self.context
            .replica_sets
            .record_listed(&group.name, &entry.incarnation);
        group.remove_other_incarnations(&entry.incarnation);
        match group.server(&entry.incarnation) {
            Some(server) => self.update(&group, &server, entry, version),
            None => self.add(&group, entry, version, log),
        }
    }

    fn is_named(&self, group: &str) -> bool {
        let known = self.context.in_force();
        known.is_some_and(|known| known.connections(group).is_some())
    }

    /// Adds the servers that were set aside and whose groups are now configured.
    fn add_newly_named(&self) {
        let mut state = self.lock();
        let set_aside = std::mem::take(&mut state.set_aside);
        if set_aside.is_empty() {
            return;
        }
        for listed in set_aside.into_values() {
            self.add_to_group(&mut state, listed, LogServers::Summary);
        }
        self.update_unusable_metrics(&state);
    }

    /// Removes a server's former incarnation; its waiters and users are notified at once.
    fn remove_former_incarnation(&self, former: &ServerEndpoint) {
        if let Some(group) = self.context.known_group(&former.group) {
            group.remove(&former.incarnation);
        }
    }

    fn add(&self, group: &Group, entry: ServerEntry, version: StoreVersion, log: LogServers) {
        let context = &self.context;
        if log == LogServers::Each && context.homes_of(&group.name).is_own {
            log_event!(
                events::SERVER_ADDED,
                group = group.name,
                server = entry.incarnation,
                address = entry.address,
                zone = entry.zone,
                role = format!("{:?}", entry.role)
            );
        }
        let leaving_since = entry.draining.then(|| context.clock.now());
        group.add(new_server(
            context,
            Listing {
                entry,
                version,
                leaving_since,
                gone: false,
            },
        ));
    }

    fn update(&self, group: &Group, server: &Server, entry: ServerEntry, version: StoreVersion) {
        let (draining, role) = (entry.draining, entry.role);
        server
            .pool
            .cold_gate()
            .record_entry(entry.cold_for, version);
        let begins_to_leave = {
            let mut listing = server.listing();
            listing.entry = entry;
            listing.version = version;
            listing.gone = false;
            let was_leaving = listing.leaving_since.is_some();
            if !draining {
                listing.leaving_since = None;
            } else if !was_leaving {
                listing.leaving_since = Some(self.context.clock.now());
            }
            draining && !was_leaving
        };
        if begins_to_leave {
            log_leaving(group, server, "draining");
        }
        group.record_entry_change(&server.incarnation, role);
    }

    /// Marks a server that is no longer listed; it counts as gone from `gone_at`, which may be in
    /// the future.
    fn mark_gone(&self, endpoint: &ServerEndpoint, gone_at: Timestamp) {
        let Some(group) = self.context.known_group(&endpoint.group) else {
            return;
        };
        let Some(server) = group.server(&endpoint.incarnation) else {
            return;
        };
        {
            let mut listing = server.listing();
            listing.gone = true;
            listing.leaving_since.get_or_insert(gone_at);
        }
        locked(&self.context.groups_with_gone).insert(group.name.clone());
        if gone_at > self.context.clock.now() {
            log_leaving(&group, &server, "lapsed");
            return;
        }
        log_leaving(&group, &server, "gone");
        let leads = group
            .leader()
            .is_some_and(|lead| lead.incarnation == server.incarnation);
        if !leads {
            server.pool.close_idle();
        }
    }

    /// When a server whose row was deleted now counts as gone. While the store was unavailable, the
    /// rows of running servers may have expired; they get time to register again.
    fn gone_at(&self, now: Timestamp) -> Timestamp {
        let regained_at = *locked(&self.context.store_regained_at);
        regained_at.map_or(now, |regained_at| {
            now.max(regained_at + ENTRY_RETURN_TIMEOUT)
        })
    }

    fn log_unusable(&self, key: &str, version: StoreVersion, why: UnusableEntry) {
        let now = self.context.clock.now();
        let budget = &self.context.log_budget;
        if let Some(suppressed) = budget.take(events::SERVER_ENTRY_UNUSABLE, now) {
            log_event!(
                events::SERVER_ENTRY_UNUSABLE,
                // Keys are chosen by other writers and may contain any character.
                key = format!("{key:?}"),
                version = version,
                why = why,
                suppressed = suppressed
            );
        }
    }

    fn update_unusable_metrics(&self, state: &State) {
        let mut counts: BTreeMap<&'static str, usize> = BTreeMap::new();
        for why in state.unusable.values() {
            *counts.entry(why.text()).or_default() += 1;
        }
        counts.insert(UNKNOWN_GROUP, state.set_aside.len());
        self.context.metrics.set_unusable_entries(&counts);
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        locked(&self.state)
    }
}

/// Creates a server with an empty pool.
pub fn new_server(context: &Context, listing: Listing) -> Arc<Server> {
    let entry = &listing.entry;
    let zone_gate = context.locality.evacuations.gate(&entry.zone);
    let target = Target {
        address: entry.address,
        group: entry.group.clone(),
        incarnation: entry.incarnation.clone(),
        zone_gate: Arc::clone(&zone_gate),
        cold_gate: ColdGate::new(&context.cold, entry, zone_gate),
    };
    let cold_gate = &target.cold_gate;
    cold_gate.record_entry(entry.cold_for, listing.version);
    let dialect = Arc::clone(&context.server_dialect);
    let limit = connection_share(context, &entry.group, &entry.zone);
    let clock = context.clock.clone();
    let open_pools = Arc::clone(&context.open_pools);
    let pool = Pool::new(target, dialect, clock, open_pools, limit);
    let distance = context.distance(&entry.zone);
    let clock = context.clock.clone();
    Arc::new(Server::new(listing, distance, pool, clock))
}

/// The metric label value for rows whose group is not configured.
const UNKNOWN_GROUP: &str = "unknown_group";

/// Whether the homes of a group log each added server. A full table read is logged as one summary
/// line instead.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum LogServers {
    Each,
    Summary,
}

impl<'a> ReadRow<'a> {
    fn new(row: &'a Row) -> Self {
        let read = (!row.gone).then(|| server_rows::read(row));
        ReadRow { row, read }
    }

    fn lacks_start(&self) -> bool {
        let entry = self.read.as_ref().and_then(|read| read.as_ref().ok());
        entry.is_some_and(|entry| entry.incarnation.started_ms().is_none())
    }
}

fn endpoint_of(entry: &ServerEntry) -> ServerEndpoint {
    ServerEndpoint {
        incarnation: entry.incarnation.clone(),
        group: entry.group.clone(),
        address: entry.address,
    }
}

/// Counts the entries with and without a start time of the server.
fn count_start_times<'a>(
    read: impl Iterator<Item = &'a Result<ServerEntry, UnusableEntry>>,
) -> (usize, usize) {
    let entries = read.filter_map(|read| read.as_ref().ok());
    let (with_start, without_start): (Vec<&ServerEntry>, Vec<&ServerEntry>) =
        entries.partition(|entry| entry.incarnation.started_ms().is_some());
    (with_start.len(), without_start.len())
}

/// Rejects entries without a start time if a majority of the entries have one: the server's
/// incarnations could not be distinguished. Platforms that report no start times never reuse a
/// server name.
fn require_starts(read: &mut [ReadRow<'_>], (with_start, without_start): (usize, usize)) {
    if with_start <= without_start {
        return;
    }
    for row in read.iter_mut().filter(|row| row.lacks_start()) {
        row.read = Some(Err(UnusableEntry::NoStart));
    }
}

/// Applies updates of the server table to the directory.
pub struct ServerSink(pub Arc<Directory>);

impl RowSink for ServerSink {
    fn peer_rows(&self, rows: Vec<Row>) -> Vec<Row> {
        let entries = &self.0.context.entries;
        let reported = rows.into_iter();
        reported
            .map(|row| server_rows::to_peer_row(entries.as_ref(), row))
            .collect()
    }

    fn replace(&mut self, rows: &[Row], version: StoreVersion) {
        self.0.replace_all(rows, version);
        self.0.context.directory_known.send_replace(true);
    }

    fn change(&mut self, rows: &[Row]) {
        self.0.apply_changes(rows);
    }
}

/// Adds servers that were set aside whenever the configuration changes; returns only when the
/// configuration channel closes.
pub async fn follow_named_groups(directory: Arc<Directory>) {
    let mut configuration = directory.context.configuration.subscribe();
    loop {
        directory.add_newly_named();
        if configuration.changed().await.is_err() {
            return;
        }
    }
}

/// How long after the store is available again an expired server row may take to reappear.
pub const ENTRY_RETURN_TIMEOUT: Duration = Duration::from_millis(2_500);
fn locked<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

fn log_leaving(group: &Group, server: &Server, why: &str) {
    log_event!(
        events::SERVER_LEAVING,
        group = group.name,
        server = server.incarnation,
        why = why
    );
}
