//! Running the calls of other nodes.

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
    Call, CallHead, CalledAnswer, CalledSession, LinkMessage, Reply, VERSION, duration,
};
use super::stream::{MessageReader, prepare_socket, write_messages};
use super::transaction::PlacedTransaction;
use crate::configuration::allowed_regions;
use crate::context::Context;
use crate::known_tables::News;
use crate::ports::{Answer, Effect, ErrorClass, Route, TransactionState};
use crate::quota::answer_question;
use crate::tenant::Caller;
use crate::unit::{ClientStatement, Deadlines, Unit};

/// The pause after a failed accept, as when descriptors have run out.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);
/// After so long without a message a caller that has work open here counts as gone: it pings.
const CALLER_LOST: Duration = Duration::from_millis(2_500);
/// After so long without a message an unused connection is closed.
const UNUSED_LIMIT: Duration = Duration::from_secs(60);
/// The longest wait for news that is taken.
const LONGEST_NEWS_WAIT: Duration = Duration::from_secs(5);
/// How long a caller keeps its turn to be told much of a table if it does not say that it has come:
/// 69 KB take half of it on a tenth of a link of 10 Mbit/s.
const TURN_LIMIT: Duration = Duration::from_secs(1);
/// Replies that may wait to be written.
const WRITE_CAPACITY: usize = 4_096;

/// Takes connections of other nodes; never returns.
pub async fn serve(context: Arc<Context>, listener: TcpListener) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                tokio::spawn(serve_caller(Arc::clone(&context), stream));
            }
            Err(_) => tokio::time::sleep(ACCEPT_PAUSE).await,
        }
    }
}

async fn serve_caller(context: Arc<Context>, stream: TcpStream) {
    if prepare_socket(&stream).is_err() {
        return;
    }
    let (reader, output) = stream.into_split();
    let (writer, queue) = mpsc::channel(WRITE_CAPACITY);
    let closed = CancellationToken::new();
    tokio::spawn(write_messages(output, queue, closed.clone()));
    let served = Arc::new(Served {
        context,
        writer,
        open: Mutex::default(),
    });
    tokio::select! {
        () = served.read(MessageReader::new(reader)) => {}
        () = closed.cancelled() => {}
    }
    closed.cancel();
    served.end_all().await;
}

/// A transaction of a caller; it counts as work that a drain waits for.
struct HeldTransaction {
    transaction: PlacedTransaction,
    _counted: TaskTrackerToken,
}

#[derive(Default)]
struct Open {
    calls: HashMap<u64, AbortHandle>,
    transactions: HashMap<u64, HeldTransaction>,
    /// What keeps the caller's turns to be told much of a table, by the calls' numbers.
    turns: HashMap<u64, AbortHandle>,
}

/// What one caller has open here.
struct Served {
    context: Arc<Context>,
    writer: mpsc::Sender<LinkMessage>,
    open: Mutex<Open>,
}

impl Served {
    fn open(&self) -> MutexGuard<'_, Open> {
        self.open.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn is_used(&self) -> bool {
        let open = self.open();
        !open.calls.is_empty() || !open.transactions.is_empty()
    }

    /// Takes messages until the caller is gone or breaks the protocol.
    async fn read(self: &Arc<Self>, mut reader: MessageReader) {
        let hello = timeout(CALLER_LOST, reader.next()).await;
        if hello != Ok(Some(LinkMessage::Hello(VERSION))) {
            return;
        }
        loop {
            let limit = if self.is_used() {
                CALLER_LOST
            } else {
                UNUSED_LIMIT
            };
            let Ok(Some(message)) = timeout(limit, reader.next()).await else {
                return;
            };
            match message {
                LinkMessage::Call { number, call } => self.start(number, call),
                LinkMessage::Cancel(number) => self.cancel(number),
                LinkMessage::NewsCame(number) => self.end_turn(number),
                LinkMessage::EndTransaction(number) => self.end_transaction(number).await,
                LinkMessage::Ping => {
                    // A queue that is full holds replies, which say as much.
                    let _ = self.writer.try_send(LinkMessage::Pong);
                }
                LinkMessage::Hello(_) | LinkMessage::Reply { .. } | LinkMessage::Pong => return,
            }
        }
    }

    fn start(self: &Arc<Self>, number: u64, call: Call) {
        let served = Arc::clone(self);
        // Held until the call is noted, so that a call that ends at once is forgotten after it.
        let mut open = self.open();
        let running = self.context.forwarded.spawn(async move {
            let reply = served.run(number, call).await;
            served.open().calls.remove(&number);
            // A caller that is gone needs no reply.
            let _ = served
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
        for task in open.calls.values().chain(open.turns.values()) {
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
            Call::Within {
                transaction,
                session,
                work,
                effect,
            } => {
                self.run_within(transaction, &session, ClientStatement::from(work), effect)
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
            Call::Leaves(question) => {
                answer_question(&self.context, question).map_or(Reply::NotTaken, Reply::Leaves)
            }
            Call::Watchers {
                name,
                zone,
                wait_ms,
            } => {
                self.tell_watchers(&name.0, &zone.0, duration(wait_ms))
                    .await
            }
            Call::Follow {
                table,
                version,
                wait_ms,
            } => {
                self.tell_news(number, table, version, duration(wait_ms))
                    .await
            }
        }
    }

    /// Tells a starting node which nodes to follow, once this one has read the list of nodes.
    async fn tell_watchers(&self, name: &str, zone: &str, wait: Duration) -> Reply {
        let homes = &self.context.homes;
        homes
            .await_list(Instant::now() + wait.min(LONGEST_NEWS_WAIT))
            .await;
        homes
            .watchers_for(name, zone)
            .map_or(Reply::NotTaken, Reply::Watchers)
    }

    /// Waits until there is something new of a table, and tells it; at the end of the wait only
    /// how old what is known has become.
    ///
    /// Large news are told to a few nodes at a time. Told to all followers at once they fill a
    /// narrow link for seconds, the followers take this node as silent and ask others, which are
    /// overloaded in turn: 6,100 calls to the store on a day of 295 nodes and 2,800 new routes. A
    /// turn ends as the news have come, however long the follower takes to work them in.
    async fn tell_news(
        &self,
        number: u64,
        table: u8,
        version: Option<StoreVersion>,
        wait: Duration,
    ) -> Reply {
        let called_at = self.context.clock.now();
        let known = &self.context.known_tables;
        let mut changes = known.changes();
        let news = async {
            while !known.has_news(table, version) {
                if changes.changed().await.is_err() {
                    return;
                }
            }
        };
        tokio::select! {
            _ = timeout(wait.min(LONGEST_NEWS_WAIT), news) => {}
            // Those that follow this node are to follow another one.
            () = self.context.draining.cancelled() => return Reply::NotTaken,
        }
        let news = || known.news(table, version, called_at, self.context.clock.now());
        let mut told = news();
        if told.as_ref().is_some_and(News::is_large) {
            let Some(turns) = self.context.news_turns.get(usize::from(table)) else {
                return Reply::NotTaken;
            };
            let Ok(turn) = Arc::clone(turns).acquire_owned().await else {
                return Reply::NotTaken;
            };
            // What has changed since, and how old it is now.
            told = news();
            self.keep_turn(number, turn);
        }
        told.map_or(Reply::NotTaken, Reply::News)
    }

    /// Keeps a turn until the caller has the reply to a call, for a while.
    fn keep_turn(&self, number: u64, turn: OwnedSemaphorePermit) {
        let kept = tokio::spawn(async move {
            tokio::time::sleep(TURN_LIMIT).await;
            drop(turn);
        });
        let mut open = self.open();
        open.turns.retain(|_, kept| !kept.is_finished());
        open.turns.insert(number, kept.abort_handle());
    }

    fn end_turn(&self, number: u64) {
        if let Some(kept) = self.open().turns.remove(&number) {
            kept.abort();
        }
    }

    async fn run_single(&self, head: CallHead, work: ClientStatement, effect: Effect) -> Reply {
        let relayed = head.relayed;
        let Some(unit) = self.unit(head) else {
            return Reply::NotTaken;
        };
        if let Some(answer) = unit.refuse_superseded(&work.id) {
            return Reply::Answered(CalledAnswer::new(answer, None));
        }
        let done = if relayed {
            unit.run_locally(&work, effect).await
        } else {
            run_at_home(&unit, &work, effect).await
        };
        Reply::Answered(CalledAnswer::new(done.answer, done.committed))
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
            return Reply::NotTaken;
        };
        if let Some(answer) = unit.refuse_superseded(&work.id) {
            return Reply::Answered(CalledAnswer::new(answer, None));
        }
        let begun = PlacedTransaction::begin_at_home(unit, &work, read_only, may_relay);
        let (answer, transaction) = begun.await;
        if let Some(transaction) = transaction {
            self.hold(number, transaction);
        }
        Reply::Answered(CalledAnswer::new(answer, None))
    }

    fn hold(&self, number: u64, transaction: PlacedTransaction) {
        let held = HeldTransaction {
            transaction,
            _counted: self.context.forwarded.token(),
        };
        self.open().transactions.insert(number, held);
    }

    /// Takes a transaction out for its next statement.
    fn take(&self, number: u64, session: &CalledSession) -> Option<PlacedTransaction> {
        let held = self.open().transactions.remove(&number)?;
        let mut transaction = held.transaction;
        let waited = duration(session.waited_ms);
        let clock = &self.context.clock;
        transaction.prepare(&session.session_values(), |unit| {
            Deadlines::for_forwarded(&unit.route, clock, waited)
        });
        Some(transaction)
    }

    async fn run_within(
        &self,
        number: u64,
        session: &CalledSession,
        work: ClientStatement,
        effect: Effect,
    ) -> Reply {
        let Some(mut transaction) = self.take(number, session) else {
            return Reply::NotTaken;
        };
        if self.context.closing.is_cancelled() {
            transaction.expire().await;
            let text = "retry-after-ms=100 the node is stopping";
            let answer = Answer::error(ErrorClass::Aborted, text, TransactionState::Failed);
            return Reply::Answered(CalledAnswer::new(answer, None));
        }
        let answer = transaction.run(&work, effect).await;
        // Held again before the caller knows, so that its next statement finds it.
        self.hold(number, transaction);
        Reply::Answered(CalledAnswer::new(answer, None))
    }

    async fn commit(&self, number: u64, session: &CalledSession, work: ClientStatement) -> Reply {
        let Some(transaction) = self.take(number, session) else {
            return Reply::NotTaken;
        };
        let done = transaction.commit(&work).await;
        Reply::Answered(CalledAnswer::new(done.answer, done.committed))
    }

    /// The unit of a call; none if this node takes no more, or does not know the group.
    fn unit(&self, head: CallHead) -> Option<Unit> {
        let context = &self.context;
        context.metrics.count_call_taken();
        if context.closing.is_cancelled() {
            return None;
        }
        let group = context.known_group(&head.group)?;
        let now = context.clock.now();
        // That of route and tenant together.
        let allowed_regions = allowed_regions(head.allowed_regions);
        let route = Arc::new(Route {
            database: head.database,
            group: head.group,
            freshness: head.freshness.into(),
            timeout: duration(head.timeout_ms),
            target: duration(head.target_ms),
            is_public: head.caller.is_unnamed(),
            allowed_regions: allowed_regions.clone(),
        });
        // The acknowledgement came before the call; any later moment asks for more.
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
