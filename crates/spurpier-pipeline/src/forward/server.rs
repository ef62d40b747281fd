//! Runs the calls of other nodes.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use spurpier_core::leader::SessionCommit;
use spurpier_core::store_version::StoreVersion;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{OwnedSemaphorePermit, mpsc};
use tokio::task::AbortHandle;
use tokio::time::{Instant, timeout};
use tokio_util::sync::CancellationToken;
use tokio_util::task::task_tracker::TaskTrackerToken;

use super::caller::run_at_home;
use super::messages::{
    Call, CallHead, LinkMessage, Reply, VERSION, WireAnswer, WireSession, duration,
};
use super::stream::{MessageReader, prepare_socket, write_messages};
use super::transaction::RoutedTransaction;
use crate::configuration::allowed_regions;
use crate::context::Context;
use crate::known_tables::TableUpdates;
use crate::ports::{Answer, Effect, ErrorClass, Route, TransactionState};
use crate::quota::answer_permit_request;
use crate::tenant::Caller;
use crate::unit::{ClientStatement, Deadlines, Unit};

/// The delay after a failed accept, for example when file descriptors have run out.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);
/// The silence after which a caller with open work counts as lost; callers ping far more often.
const CALLER_TIMEOUT: Duration = Duration::from_millis(2_500);
/// The silence after which an unused connection is closed.
const UNUSED_TIMEOUT: Duration = Duration::from_secs(60);
/// The limit on the wait for updates that a caller asks for.
const MAX_UPDATE_WAIT: Duration = Duration::from_secs(5);
/// How long a caller may hold a transfer slot for large table updates without confirming that they
/// have arrived. 69 KB take half of this on a tenth of a 10 Mbit/s link.
const TRANSFER_TIMEOUT: Duration = Duration::from_secs(1);
/// The capacity of the write queue, in messages.
const WRITE_QUEUE_CAPACITY: usize = 4_096;

/// Accepts connections of other nodes and serves each in a task; never returns.
pub async fn serve(context: Arc<Context>, listener: TcpListener) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                tokio::spawn(serve_caller(Arc::clone(&context), stream));
            }
            Err(_) => tokio::time::sleep(ACCEPT_RETRY_DELAY).await,
        }
    }
}

/// Serves one caller until its connection ends, then ends all that it has open here.
async fn serve_caller(context: Arc<Context>, stream: TcpStream) {
    if prepare_socket(&stream).is_err() {
        return;
    }
    let (reader, output) = stream.into_split();
    let (writer, queue) = mpsc::channel(WRITE_QUEUE_CAPACITY);
    let closed = CancellationToken::new();
    tokio::spawn(write_messages(output, queue, closed.clone()));
    let connection = Arc::new(CallerConnection {
        context,
        writer,
        open: Mutex::default(),
    });
    tokio::select! {
        () = connection.read(MessageReader::new(reader)) => {}
        () = closed.cancelled() => {}
    }
    closed.cancel();
    connection.end_all().await;
}

/// An open transaction of a caller, between two statements; a drain waits for it to end.
struct HeldTransaction {
    transaction: RoutedTransaction,
    _counted: TaskTrackerToken,
}

/// What one caller has running or open here.
#[derive(Default)]
struct OpenWork {
    /// The tasks of running calls, by the calls' numbers.
    calls: HashMap<u64, AbortHandle>,
    /// Open transactions in which no statement is running, by their numbers.
    transactions: HashMap<u64, HeldTransaction>,
    /// The tasks that hold transfer slots for large table updates, by the calls' numbers.
    transfers: HashMap<u64, AbortHandle>,
}

/// The runner's side of the connection of one caller.
struct CallerConnection {
    context: Arc<Context>,
    writer: mpsc::Sender<LinkMessage>,
    open: Mutex<OpenWork>,
}

impl CallerConnection {
    fn open(&self) -> MutexGuard<'_, OpenWork> {
        self.open.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn is_used(&self) -> bool {
        let open = self.open();
        !open.calls.is_empty() || !open.transactions.is_empty()
    }

    /// Handles messages until the caller is lost or violates the protocol.
    async fn read(self: &Arc<Self>, mut reader: MessageReader) {
        let hello = timeout(CALLER_TIMEOUT, reader.next()).await;
        if hello != Ok(Some(LinkMessage::Hello(VERSION))) {
            return;
        }
        loop {
            let max_silence = if self.is_used() {
                CALLER_TIMEOUT
            } else {
                UNUSED_TIMEOUT
            };
            let Ok(Some(message)) = timeout(max_silence, reader.next()).await else {
                return;
            };
            match message {
                LinkMessage::Call { number, call } => self.start(number, call),
                LinkMessage::Cancel(number) => self.cancel(number),
                LinkMessage::UpdatesReceived(number) => self.end_transfer(number),
                LinkMessage::EndTransaction(number) => self.end_transaction(number).await,
                LinkMessage::Ping => {
                    // If the queue is full, the replies in it show the same.
                    let _ = self.writer.try_send(LinkMessage::Pong);
                }
                LinkMessage::Hello(_) | LinkMessage::Reply { .. } | LinkMessage::Pong => return,
            }
        }
    }

    fn start(self: &Arc<Self>, number: u64, call: Call) {
        let connection = Arc::clone(self);
        // Held until the call is recorded: a call that ends at once must be removed after that.
        let mut open = self.open();
        let running = self.context.forwarded.spawn(async move {
            let reply = connection.run(number, call).await;
            connection.open().calls.remove(&number);
            // The send fails only if the caller is gone.
            let _ = connection
                .writer
                .send(LinkMessage::Reply { number, reply })
                .await;
        });
        open.calls.insert(number, running.abort_handle());
    }

    fn cancel(&self, number: u64) {
        if let Some(call) = self.open().calls.remove(&number) {
            call.abort();
        }
    }

    async fn end_transaction(&self, number: u64) {
        let held = self.open().transactions.remove(&number);
        if let Some(mut held) = held {
            held.transaction.expire().await;
        }
    }

    async fn end_all(&self) {
        let open = std::mem::take(&mut *self.open());
        for task in open.calls.values().chain(open.transfers.values()) {
            task.abort();
        }
        for mut held in open.transactions.into_values() {
            held.transaction.expire().await;
        }
    }

    async fn run(&self, number: u64, call: Call) -> Reply {
        match call {
            Call::Single { head, work, effect } => {
                self.run_single(head, ClientStatement::from(work), effect)
                    .await
            }
            Call::Begin {
                head,
                work,
                transaction,
                read_only,
            } => {
                self.begin(head, ClientStatement::from(work), transaction, read_only)
                    .await
            }
            Call::InTransaction {
                transaction,
                session,
                work,
                effect,
            } => {
                self.run_in_transaction(transaction, &session, ClientStatement::from(work), effect)
                    .await
            }
            Call::Commit {
                transaction,
                session,
                work,
            } => {
                self.commit(transaction, &session, ClientStatement::from(work))
                    .await
            }
            Call::Permits(question) => answer_permit_request(&self.context, question)
                .map_or(Reply::NotStarted, Reply::Permits),
            Call::Watchers {
                name,
                zone,
                wait_ms,
            } => {
                self.assign_watchers(&name.0, &zone.0, duration(wait_ms))
                    .await
            }
            Call::Follow {
                table,
                version,
                wait_ms,
            } => {
                self.send_table_updates(number, table, version, duration(wait_ms))
                    .await
            }
        }
    }

    /// Replies which nodes a starting node is to follow, once this node has read the list of nodes.
    async fn assign_watchers(&self, name: &str, zone: &str, wait: Duration) -> Reply {
        let homes = &self.context.homes;
        homes
            .wait_for_list(Instant::now() + wait.min(MAX_UPDATE_WAIT))
            .await;
        homes
            .watchers_for(name, zone)
            .map_or(Reply::NotStarted, Reply::Watchers)
    }

    /// Waits for updates of a table and replies with them; if the wait ends without any, the reply
    /// only refreshes the age of what is known.
    ///
    /// Large updates are sent to a few followers at a time, each of which holds a transfer slot.
    /// Sent to all at once, they fill a narrow link for seconds; the followers then take this node
    /// for silent and ask others, which become overloaded too. On a day with 295 nodes and 2,800
    /// new routes this made 6,100 calls to the store. A slot is released when the updates have
    /// arrived, however long the follower takes to apply them.
    async fn send_table_updates(
        &self,
        number: u64,
        table: u8,
        version: Option<StoreVersion>,
        wait: Duration,
    ) -> Reply {
        let called_at = self.context.clock.now();
        let known = &self.context.known_tables;
        let mut changes = known.changes();
        let updates = async {
            while !known.has_updates(table, version) {
                if changes.changed().await.is_err() {
                    return;
                }
            }
        };
        tokio::select! {
            _ = timeout(wait.min(MAX_UPDATE_WAIT), updates) => {}
            // The followers of a draining node must switch to another one.
            () = self.context.draining.cancelled() => return Reply::NotStarted,
        }
        let updates = || known.updates(table, version, called_at, self.context.clock.now());
        let mut reply = updates();
        if reply.as_ref().is_some_and(TableUpdates::is_large) {
            let Some(transfers) = self.context.large_transfer_slots.get(usize::from(table)) else {
                return Reply::NotStarted;
            };
            let Ok(transfer) = Arc::clone(transfers).acquire_owned().await else {
                return Reply::NotStarted;
            };
            // Read again: rows may have changed during the wait, and the age has.
            reply = updates();
            self.hold_transfer(number, transfer);
        }
        reply.map_or(Reply::NotStarted, Reply::TableUpdates)
    }

    /// Holds a transfer slot until the caller confirms the reply to a call, or the timeout is over.
    fn hold_transfer(&self, number: u64, transfer: OwnedSemaphorePermit) {
        let held_transfer = tokio::spawn(async move {
            tokio::time::sleep(TRANSFER_TIMEOUT).await;
            drop(transfer);
        });
        let mut open = self.open();
        open.transfers
            .retain(|_, held_transfer| !held_transfer.is_finished());
        open.transfers.insert(number, held_transfer.abort_handle());
    }

    fn end_transfer(&self, number: u64) {
        if let Some(held_transfer) = self.open().transfers.remove(&number) {
            held_transfer.abort();
        }
    }

    async fn run_single(&self, head: CallHead, work: ClientStatement, effect: Effect) -> Reply {
        let relayed = head.relayed;
        let Some(unit) = self.unit(head) else {
            return Reply::NotStarted;
        };
        if let Some(answer) = unit.refuse_superseded(&work.id) {
            return Reply::Answered(WireAnswer::new(answer, None));
        }
        let done = if relayed {
            unit.run_locally(&work, effect).await
        } else {
            run_at_home(&unit, &work, effect).await
        };
        Reply::Answered(WireAnswer::new(done.answer, done.committed))
    }

    async fn begin(
        &self,
        head: CallHead,
        work: ClientStatement,
        number: u64,
        read_only: bool,
    ) -> Reply {
        let may_relay = !head.relayed;
        let Some(unit) = self.unit(head) else {
            return Reply::NotStarted;
        };
        if let Some(answer) = unit.refuse_superseded(&work.id) {
            return Reply::Answered(WireAnswer::new(answer, None));
        }
        let beginning = RoutedTransaction::begin_at_home(unit, &work, read_only, may_relay);
        let (answer, transaction) = beginning.await;
        if let Some(transaction) = transaction {
            self.hold_transaction(number, transaction);
        }
        Reply::Answered(WireAnswer::new(answer, None))
    }

    fn hold_transaction(&self, number: u64, transaction: RoutedTransaction) {
        let held = HeldTransaction {
            transaction,
            _counted: self.context.forwarded.token(),
        };
        self.open().transactions.insert(number, held);
    }

    /// Removes a transaction from the open ones and prepares it for its next statement.
    fn take_transaction(&self, number: u64, session: &WireSession) -> Option<RoutedTransaction> {
        let held = self.open().transactions.remove(&number)?;
        let mut transaction = held.transaction;
        let waited = duration(session.waited_ms);
        let clock = &self.context.clock;
        transaction.prepare(&session.session_values(), |unit| {
            Deadlines::for_forwarded(&unit.route, clock, waited)
        });
        Some(transaction)
    }

    async fn run_in_transaction(
        &self,
        number: u64,
        session: &WireSession,
        work: ClientStatement,
        effect: Effect,
    ) -> Reply {
        let Some(mut transaction) = self.take_transaction(number, session) else {
            return Reply::NotStarted;
        };
        if self.context.closing.is_cancelled() {
            transaction.expire().await;
            let text = "retry-after-ms=100 the node is stopping";
            let answer = Answer::error(ErrorClass::Aborted, text, TransactionState::Failed);
            return Reply::Answered(WireAnswer::new(answer, None));
        }
        let answer = transaction.run(&work, effect).await;
        // Held again before the reply is sent, so that the caller's next statement finds it.
        self.hold_transaction(number, transaction);
        Reply::Answered(WireAnswer::new(answer, None))
    }

    async fn commit(&self, number: u64, session: &WireSession, work: ClientStatement) -> Reply {
        let Some(transaction) = self.take_transaction(number, session) else {
            return Reply::NotStarted;
        };
        let done = transaction.commit(&work).await;
        Reply::Answered(WireAnswer::new(done.answer, done.committed))
    }

    /// The unit of a call; none if this node is closing or does not know the group.
    fn unit(&self, head: CallHead) -> Option<Unit> {
        let context = &self.context;
        context.metrics.count_call_received();
        if context.closing.is_cancelled() {
            return None;
        }
        let group = context.known_group(&head.group.0)?;
        let now = context.clock.now();
        // The caller has already combined the regions of the route and of the tenant.
        let allowed_regions = allowed_regions(head.allowed_regions);
        let route = Arc::new(Route {
            database: head.database.0,
            group: head.group.0,
            freshness: head.freshness.into(),
            timeout: duration(head.timeout_ms),
            target: duration(head.target_ms),
            is_public: head.caller.is_unnamed(),
            allowed_regions: allowed_regions.clone(),
        });
        // The true time of the acknowledgement is before the call; a later one is the stricter
        // requirement.
        let own_commit = head.own_commit.map(|position| SessionCommit {
            position,
            acknowledged_at: now,
        });
        Some(Unit {
            context: Arc::clone(context),
            group,
            caller: Caller::from(head.caller),
            allowed_regions,
            values: head.session.session_values(),
            own_commit,
            deadlines: Deadlines::for_forwarded(
                &route,
                &context.clock,
                duration(head.session.waited_ms),
            ),
            route,
            configuration: head.configuration,
        })
    }
}
