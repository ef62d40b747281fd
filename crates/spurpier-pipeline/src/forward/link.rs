//! The caller's side of one connection to another node, which multiplexes calls.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use tokio::net::TcpStream;
use tokio::net::tcp::OwnedReadHalf;
use tokio::sync::{mpsc, oneshot};
use tokio::time::{Instant, sleep_until, timeout};
use tokio_util::sync::CancellationToken;

use super::messages::{Call, LinkMessage, Reply, VERSION};
use super::stream::{MessageReader, prepare_socket, write_messages};
use crate::progress::{Progress, STALLED_AFTER, while_moving};

/// The timeout for opening a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
/// How often the other node is pinged while calls or transactions are open.
const PING_INTERVAL: Duration = Duration::from_millis(150);
/// The silence after a sent message from which the node is suspected and gets no new calls.
const SUSPECT_AFTER: Duration = STALLED_AFTER;
/// The silence after a sent message from which the connection is closed.
const LOST_AFTER: Duration = Duration::from_millis(2_000);
/// How long a connection stays open without calls and transactions.
const IDLE_TIMEOUT: Duration = Duration::from_secs(20);
/// The capacity of the write queue, in messages.
const WRITE_QUEUE_CAPACITY: usize = 1_024;

/// How often a waiting caller checks whether the other node is suspected.
const SUSPECT_CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// How a call ended.
#[derive(Debug, Clone, PartialEq)]
pub enum CallOutcome {
    /// The other node replied.
    Replied(Reply),
    /// The call was not sent.
    NotSent,
    /// No reply came; the call may have run or may still run.
    Lost,
}

#[derive(Debug, Default)]
struct Pending {
    /// Where the replies go, by the numbers of the calls.
    calls: HashMap<u64, oneshot::Sender<Reply>>,
    /// The number of transactions that are open on the other node.
    transactions: usize,
    /// Whether the connection has ended, so that no new call is accepted.
    closed: bool,
}

/// A connection to another node that runs this node's calls.
#[derive(Debug)]
pub struct Link {
    writer: mpsc::Sender<LinkMessage>,
    pending: Mutex<Pending>,
    next_number: AtomicU64,
    /// When the first message was sent since the node was last heard from; none while nothing is
    /// unanswered.
    unanswered_since: Mutex<Option<Instant>>,
    /// Tracks the bytes of incomplete messages.
    partial: Progress,
    closed: CancellationToken,
}

impl Link {
    /// Opens a connection and starts its tasks; none if the node cannot be reached in time.
    pub async fn connect(address: SocketAddr) -> Option<Arc<Self>> {
        let stream = timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await;
        let stream = stream.ok()?.ok()?;
        prepare_socket(&stream).ok()?;
        let (reader, output) = stream.into_split();
        let (writer, queue) = mpsc::channel(WRITE_QUEUE_CAPACITY);
        writer.try_send(LinkMessage::Hello(VERSION)).ok()?;
        let link = Arc::new(Link {
            writer,
            pending: Mutex::default(),
            next_number: AtomicU64::new(1),
            unanswered_since: Mutex::new(None),
            partial: Progress::new(),
            closed: CancellationToken::new(),
        });
        tokio::spawn(write_messages(output, queue, link.closed.clone()));
        tokio::spawn(Arc::clone(&link).run(reader));
        Some(link)
    }

    /// Closes the connection.
    pub fn close(&self) {
        self.closed.cancel();
    }

    /// Whether the connection has not been closed.
    pub fn is_open(&self) -> bool {
        !self.closed.is_cancelled()
    }

    /// Whether the connection is closed, or the node has sent nothing for a while (400 ms) since a
    /// message was sent to it.
    pub fn is_suspect(&self) -> bool {
        !self.is_open() || self.silent_for() >= SUSPECT_AFTER
    }

    /// The total number of bytes received that left a message incomplete.
    pub fn partial_bytes(&self) -> u64 {
        self.partial.bytes()
    }

    /// A number for a call or a transaction, unique on this connection.
    pub fn next_number(&self) -> u64 {
        self.next_number.fetch_add(1, Ordering::Relaxed)
    }

    /// Makes a call and waits for its reply until `end`. With `may_repeat`, the wait also ends as
    /// soon as the other node is suspected to have stopped, so that the call can go elsewhere.
    pub async fn call_until(&self, call: Call, end: Instant, may_repeat: bool) -> CallOutcome {
        tokio::select! {
            biased;
            outcome = self.call(call) => outcome,
            () = sleep_until(end) => CallOutcome::Lost,
            () = self.suspected(), if may_repeat => CallOutcome::Lost,
        }
    }

    /// Makes a call whose reply may be large: waits until `end`, and longer while bytes of a
    /// message keep arriving. The wait also ends when the other node is suspected to have stopped.
    pub async fn call_while_moving(&self, call: Call, end: Instant) -> CallOutcome {
        tokio::select! {
            biased;
            outcome = while_moving(self.call(call), &self.partial, end) => {
                outcome.unwrap_or(CallOutcome::Lost)
            }
            () = self.suspected() => CallOutcome::Lost,
        }
    }

    /// Completes when the other node is suspected to have stopped.
    async fn suspected(&self) {
        while !self.is_suspect() {
            tokio::time::sleep(SUSPECT_CHECK_INTERVAL).await;
        }
    }

    /// Makes a call. Dropping the future cancels the call at the other node.
    async fn call(&self, call: Call) -> CallOutcome {
        let number = self.next_number();
        let (sender, reply) = oneshot::channel();
        {
            let mut pending = self.pending();
            if pending.closed {
                return CallOutcome::NotSent;
            }
            pending.calls.insert(number, sender);
        }
        let _cancel_on_drop = CancelOnDrop { link: self, number };
        let message = LinkMessage::Call { number, call };
        if self.writer.try_send(message).is_err() {
            return CallOutcome::NotSent;
        }
        self.record_sent();
        reply.await.map_or(CallOutcome::Lost, CallOutcome::Replied)
    }

    /// Counts a transaction opened on the other node, which keeps the connection from being closed
    /// as idle.
    pub fn open_transaction(&self) {
        self.pending().transactions += 1;
    }

    /// Counts a transaction of the other node as ended.
    pub fn close_transaction(&self) {
        let mut pending = self.pending();
        pending.transactions = pending.transactions.saturating_sub(1);
    }

    /// Asks the other node to drop a transaction if it still holds it. Closes the connection if the
    /// message cannot be queued.
    pub fn drop_transaction(&self, number: u64) {
        let sent = self.writer.try_send(LinkMessage::EndTransaction(number));
        // The other node drops all transactions of a closed connection.
        if sent.is_err() {
            self.closed.cancel();
        }
    }

    fn record_sent(&self) {
        self.unanswered().get_or_insert_with(Instant::now);
    }

    fn record_partial(&self, length: usize) {
        self.partial.note(length);
        self.record_received();
    }

    fn record_received(&self) {
        *self.unanswered() = None;
    }

    /// How long the node has sent nothing since the first unanswered message; zero if none is
    /// unanswered.
    fn silent_for(&self) -> Duration {
        let since = *self.unanswered();
        since.map_or(Duration::ZERO, |since| since.elapsed())
    }

    fn unanswered(&self) -> MutexGuard<'_, Option<Instant>> {
        let since = self.unanswered_since.lock();
        since.unwrap_or_else(PoisonError::into_inner)
    }

    fn is_used(&self) -> bool {
        let pending = self.pending();
        pending.transactions > 0 || !pending.calls.is_empty()
    }

    fn pending(&self) -> MutexGuard<'_, Pending> {
        self.pending.lock().unwrap_or_else(PoisonError::into_inner)
    }

    async fn run(self: Arc<Self>, reader: OwnedReadHalf) {
        tokio::select! {
            () = self.read(MessageReader::new(reader)) => {}
            () = self.keep_alive() => {}
            () = self.closed.cancelled() => {}
        }
        self.closed.cancel();
        let mut pending = self.pending();
        pending.closed = true;
        // Dropping the senders ends each caller's wait.
        pending.calls.clear();
    }

    async fn read(&self, mut reader: MessageReader) {
        while let Some(message) = reader.next_with(|length| self.record_partial(length)).await {
            self.record_received();
            match message {
                LinkMessage::Reply { number, reply } => {
                    if matches!(&reply, Reply::TableUpdates(updates) if updates.is_large()) {
                        // Sent before the updates are applied, which may take long on a slow node.
                        // If the queue is full, the transfer slot at the other node times out.
                        let _ = self.writer.try_send(LinkMessage::UpdatesReceived(number));
                    }
                    let caller = self.pending().calls.remove(&number);
                    if let Some(caller) = caller {
                        // The send fails only if the caller no longer waits.
                        let _ = caller.send(reply);
                    }
                }
                LinkMessage::Pong => {}
                _ => return,
            }
        }
    }

    /// Pings the other node while the connection is used or a message is unanswered. Returns when
    /// the node has been silent, or the connection unused, for too long.
    async fn keep_alive(&self) {
        let mut used_at = Instant::now();
        loop {
            tokio::time::sleep(PING_INTERVAL).await;
            let silent_for = self.silent_for();
            if silent_for >= LOST_AFTER {
                return;
            }
            if self.is_used() || silent_for > Duration::ZERO {
                used_at = Instant::now();
                // If the queue is full, the messages in it call for an answer as well.
                let _ = self.writer.try_send(LinkMessage::Ping);
                self.record_sent();
            } else if used_at.elapsed() >= IDLE_TIMEOUT {
                return;
            }
        }
    }
}

/// Cancels a call at the other node when dropped before the reply has come.
struct CancelOnDrop<'a> {
    link: &'a Link,
    number: u64,
}

impl Drop for CancelOnDrop<'_> {
    fn drop(&mut self) {
        let was_waiting = self.link.pending().calls.remove(&self.number).is_some();
        if was_waiting {
            // The send fails only if the connection is lost, or about to be as its queue is full.
            let _ = self.link.writer.try_send(LinkMessage::Cancel(self.number));
        }
    }
}
