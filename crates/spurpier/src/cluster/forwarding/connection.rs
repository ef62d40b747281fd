//! The ingress side of one connection: units that wait for a home's messages.

use std::collections::HashMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use futures::StreamExt;
use spurpier_core::reason::Reason;
use spurpier_protocol::frame::{Frame, FrameError, UNIT_WINDOW};
use spurpier_protocol::unit::UnitOutput;
use tokio::sync::mpsc;
use tokio::time::Instant;

use super::counters::ForwardingCounters;
use super::handshake::{Established, FrameReader};
use super::timing::ForwardingTiming;
use super::writer::FrameSender;

/// Room for a window of outputs and for the few other messages that a home may send of a unit.
const UNIT_QUEUE: usize = UNIT_WINDOW as usize * 2 + 2;

/// What a home says of one unit.
#[derive(Debug)]
pub(super) enum FromHome {
    Output(UnitOutput),
    InputCredit(u32),
    NotOpened(Reason),
    Lost,
}

/// The units that wait; none once the connection has been lost.
type Waiting = Arc<Mutex<Option<HashMap<u64, mpsc::Sender<FromHome>>>>>;

/// A connection to a home node.
#[derive(Debug)]
pub(super) struct Connection {
    sender: FrameSender,
    waiting: Waiting,
    next_unit: AtomicU64,
}

/// A unit's place on a connection; given up when dropped.
#[derive(Debug)]
pub(super) struct Registration {
    pub unit: u64,
    pub messages: mpsc::Receiver<FromHome>,
    waiting: Waiting,
}

impl Drop for Registration {
    fn drop(&mut self) {
        if let Some(units) = locked(&self.waiting).as_mut() {
            units.remove(&self.unit);
        }
    }
}

fn locked(waiting: &Waiting) -> MutexGuard<'_, Option<HashMap<u64, mpsc::Sender<FromHome>>>> {
    waiting.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Connection {
    /// Starts reading from an established connection.
    pub fn start(
        established: Established,
        timing: ForwardingTiming,
        counters: Arc<ForwardingCounters>,
    ) -> Arc<Connection> {
        let connection = Arc::new(Connection {
            sender: established.sender,
            waiting: Arc::new(Mutex::new(Some(HashMap::new()))),
            next_unit: AtomicU64::new(1),
        });
        let watch = Watch {
            sender: connection.sender.clone(),
            waiting: connection.waiting.clone(),
            timing,
            counters,
            frames_heard: AtomicU64::new(0),
        };
        tokio::spawn(watch.run(established.reader));
        connection
    }

    /// Sends frames to the home.
    pub fn sender(&self) -> &FrameSender {
        &self.sender
    }

    /// Whether units can be opened.
    pub fn is_open(&self) -> bool {
        locked(&self.waiting).is_some() && !self.sender.closed().is_cancelled()
    }

    /// Takes a place for a unit; none when the connection has been lost.
    pub fn register(&self) -> Option<Registration> {
        let unit = self.next_unit.fetch_add(1, Ordering::Relaxed);
        let (sender, messages) = mpsc::channel(UNIT_QUEUE);
        locked(&self.waiting).as_mut()?.insert(unit, sender);
        Some(Registration {
            unit,
            messages,
            waiting: self.waiting.clone(),
        })
    }
}

/// A frame that no home may send.
struct ProtocolViolation;

/// A ping after which nothing has been heard yet.
struct Unanswered {
    sent_at: Instant,
    heard_before: u64,
}

/// Reads a connection, hands messages to their units and notices when the peer is lost.
struct Watch {
    sender: FrameSender,
    waiting: Waiting,
    timing: ForwardingTiming,
    counters: Arc<ForwardingCounters>,
    frames_heard: AtomicU64,
}

impl Watch {
    async fn run(self, mut reader: FrameReader) {
        let closed = self.sender.closed().clone();
        tokio::select! {
            () = self.read(&mut reader) => {}
            () = self.keep_alive() => {}
            () = closed.cancelled() => {}
        }
        closed.cancel();
        // Each unit learns of the loss by the end of its channel.
        locked(&self.waiting).take();
    }

    async fn read(&self, reader: &mut FrameReader) {
        while let Some(frame) = reader.next().await {
            self.frames_heard.fetch_add(1, Ordering::Relaxed);
            let taken = match frame {
                Ok(frame) => self.take(frame),
                Err(FrameError::Connection(_)) => return,
                Err(_) => Err(ProtocolViolation),
            };
            if taken.is_err() {
                self.counters.protocol_violations();
                return;
            }
        }
    }

    /// Pings while units are open; returns when the peer stays silent, or is not needed for long.
    async fn keep_alive(&self) {
        let mut used_at = Instant::now();
        let mut unanswered: Option<Unanswered> = None;
        loop {
            tokio::time::sleep(self.timing.ping).await;
            let heard = self.frames_heard.load(Ordering::Relaxed);
            unanswered = unanswered.filter(|ping| ping.heard_before == heard);
            if !self.has_units() {
                if used_at.elapsed() >= self.timing.idle && self.close_if_unused() {
                    return;
                }
                continue;
            }
            used_at = Instant::now();
            let oldest = unanswered.get_or_insert(Unanswered {
                sent_at: used_at,
                heard_before: heard,
            });
            if oldest.sent_at.elapsed() >= self.timing.silence {
                return;
            }
            // A queue that is full holds frames enough for the peer to answer, or is stuck.
            self.sender.send_if_room(Frame::Ping);
        }
    }

    fn has_units(&self) -> bool {
        locked(&self.waiting)
            .as_ref()
            .is_some_and(|units| !units.is_empty())
    }

    /// Closes the registration of units, unless one came meanwhile.
    fn close_if_unused(&self) -> bool {
        let mut waiting = locked(&self.waiting);
        let is_unused = waiting.as_ref().is_none_or(HashMap::is_empty);
        if is_unused {
            waiting.take();
        }
        is_unused
    }

    fn take(&self, frame: Frame) -> Result<(), ProtocolViolation> {
        match frame {
            Frame::Output { unit, output } => self.hand_over(unit, FromHome::Output(output)),
            Frame::InputCredit { unit, messages } => {
                self.hand_over(unit, FromHome::InputCredit(messages))
            }
            Frame::NotOpened { unit, reason } => self.hand_over(unit, FromHome::NotOpened(reason)),
            Frame::Lost { unit } => self.hand_over(unit, FromHome::Lost),
            Frame::Pong => Ok(()),
            _ => Err(ProtocolViolation),
        }
    }

    /// Hands a message to its unit; one that matches no waiting unit is dropped.
    fn hand_over(&self, unit: u64, message: FromHome) -> Result<(), ProtocolViolation> {
        let waiting = locked(&self.waiting);
        let Some(queue) = waiting.as_ref().and_then(|units| units.get(&unit)) else {
            self.counters.messages_unmatched();
            return Ok(());
        };
        match queue.try_send(message) {
            Ok(()) => Ok(()),
            Err(mpsc::error::TrySendError::Closed(_)) => {
                self.counters.messages_unmatched();
                Ok(())
            }
            // More than the window that was granted.
            Err(mpsc::error::TrySendError::Full(_)) => Err(ProtocolViolation),
        }
    }
}
