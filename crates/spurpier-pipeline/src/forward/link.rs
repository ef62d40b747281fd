//! The caller's side of one connection to another node.

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

/// How long opening a connection may take.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
/// How often the other node is asked whether it runs, while calls or transactions are open.
const PING_INTERVAL: Duration = Duration::from_millis(150);
/// After so long without a byte behind a message of ours, the node is passed over for new calls.
const SUSPECT_AFTER: Duration = STALLED_AFTER;
/// After so long without a byte behind a message of ours, the connection is given up.
const LOST_AFTER: Duration = Duration::from_millis(2_000);
/// After so long without calls and transactions the connection is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(20);
/// Messages that may wait to be written.
const WRITE_QUEUE_CAPACITY: usize = 1_024;

/// How often a caller looks whether the other node still runs.
const SUSPECT_CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// How a call ended.
#[derive(Debug, Clone, PartialEq)]
pub enum CallOutcome {
    /// With a reply.
    Replied(Reply),
    /// It was not sent.
    NotSent,
    /// Without a reply; it may have been run, or may be run yet.
    Lost,
}

#[derive(Debug, Default)]
struct Pending {
    calls: HashMap<u64, oneshot::Sender<Reply>>,
    /// Transactions that are open on the other node.
    transactions: usize,
    closed: bool,
}

/// A connection to another node that runs calls.
#[derive(Debug)]
pub struct Link {
    writer: mpsc::Sender<LinkMessage>,
    pending: Mutex<Pending>,
    next_number: AtomicU64,
    /// Since when a message has been sent and nothing has come; none while the node answers.
    unanswered_since: Mutex<Option<Instant>>,
    /// What comes of messages that are not whole yet.
    partial: Progress,
    closed: CancellationToken,
}

impl Link {
    /// Opens a connection; none if the node cannot be reached.
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

    /// Whether calls can be made.
    pub fn is_open(&self) -> bool {
        !self.closed.is_cancelled()
    }

    /// Whether the node has left pings without an answer for a while.
    pub fn is_suspect(&self) -> bool {
        !self.is_open() || self.silent_for() >= SUSPECT_AFTER
    }

    /// How many bytes have come that left a message unfinished.
    pub fn partial_bytes(&self) -> u64 {
        self.partial.bytes()
    }

    /// A number for a transaction, unique on this connection.
    pub fn next_number(&self) -> u64 {
        self.next_number.fetch_add(1, Ordering::Relaxed)
    }

    /// Makes a call and waits for its reply until `end`; a call that may be made elsewhere is given
    /// up as soon as the other node is suspected to have stopped.
    pub async fn call_until(&self, call: Call, end: Instant, may_repeat: bool) -> CallOutcome {
        tokio::select! {
            biased;
            outcome = self.call(call) => outcome,
            () = sleep_until(end) => CallOutcome::Lost,
            () = self.suspected(), if may_repeat => CallOutcome::Lost,
        }
    }

    /// Asks for what may take long to come: waits until `end`, and longer while a message comes.
    pub async fn call_while_moving(&self, call: Call, end: Instant) -> CallOutcome {
        tokio::select! {
            biased;
            outcome = while_moving(self.call(call), &self.partial, end) => {
                outcome.unwrap_or(CallOutcome::Lost)
            }
            () = self.suspected() => CallOutcome::Lost,
        }
    }

    /// Returns when the other node is suspected to have stopped.
    async fn suspected(&self) {
        while !self.is_suspect() {
            tokio::time::sleep(SUSPECT_CHECK_INTERVAL).await;
        }
    }

    /// Makes a call. Dropping the future tells the other node that nobody awaits it.
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

    /// Counts a transaction that has been opened on the other node.
    pub fn open_transaction(&self) {
        self.pending().transactions += 1;
    }

    /// Counts a transaction that is not open any more.
    pub fn close_transaction(&self) {
        let mut pending = self.pending();
        pending.transactions = pending.transactions.saturating_sub(1);
    }

    /// Has the other node drop a transaction, if it still has it.
    pub fn drop_transaction(&self, number: u64) {
        let sent = self.writer.try_send(LinkMessage::EndTransaction(number));
        // The end of the connection ends all its transactions.
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

    /// For how long the node has left all messages without an answer.
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
        // Each caller learns of the loss by the end of its channel.
        pending.calls.clear();
    }

    async fn read(&self, mut reader: MessageReader) {
        while let Some(message) = reader.next_with(|length| self.record_partial(length)).await {
            self.record_received();
            match message {
                LinkMessage::Reply { number, reply } => {
                    if matches!(&reply, Reply::TableUpdates(updates) if updates.is_large()) {
                        // Told before the news are taken in, which may take long on a slow node. A
                        // turn whose end cannot be told ends by itself.
                        let _ = self.writer.try_send(LinkMessage::UpdatesReceived(number));
                    }
                    let caller = self.pending().calls.remove(&number);
                    if let Some(caller) = caller {
                        // A caller that is gone needs no reply.
                        let _ = caller.send(reply);
                    }
                }
                LinkMessage::Pong => {}
                _ => return,
            }
        }
    }

    /// Returns when the other node stays silent, or the connection is not used for long.
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
                // A full queue holds enough that the node must answer.
                let _ = self.writer.try_send(LinkMessage::Ping);
                self.record_sent();
            } else if used_at.elapsed() >= IDLE_TIMEOUT {
                return;
            }
        }
    }
}

/// A call whose reply is awaited; the other node is told when it is dropped before.
struct CancelOnDrop<'a> {
    link: &'a Link,
    number: u64,
}

impl Drop for CancelOnDrop<'_> {
    fn drop(&mut self) {
        let was_waiting = self.link.pending().calls.remove(&self.number).is_some();
        if was_waiting {
            // If it cannot be told, the connection is lost or about to be.
            let _ = self.link.writer.try_send(LinkMessage::Cancel(self.number));
        }
    }
}
