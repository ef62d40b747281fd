//! The home side: runs the units that other nodes forward.

use std::collections::HashMap;
use std::fmt;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use futures::StreamExt;
use spurpier_core::reason::Reason;
use spurpier_protocol::frame::{Frame, FrameError, UNIT_WINDOW};
use spurpier_protocol::unit::{Batch, UnitRequest};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;
use tokio::time::{Instant, timeout};
use tokio_util::sync::CancellationToken;

use super::counters::ForwardingCounters;
use super::handshake::{Established, FrameReader, NodeLife, exchange_hellos};
use super::served_unit::{FromIngress, serve};
use super::timing::ForwardingTiming;
use super::writer::FrameSender;
use crate::events::cluster::PEER_REFUSED;
use crate::log_event;
use crate::unit_runner::UnitRunner;

/// The units that one connection may have open; further ones are refused.
const MAX_UNITS: usize = 4_096;

/// Room for a window of inputs and for the credit and the end of a unit.
const UNIT_QUEUE: usize = UNIT_WINDOW as usize * 2 + 2;

/// A control message that came over a connection.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ControlMessage {
    /// The node that sent it, by its own word.
    pub sender: NodeLife,
    /// The message, to be decoded by [`spurpier_protocol::gossip`].
    pub bytes: Vec<u8>,
}

/// Runs the units that other nodes forward to this one.
#[derive(Clone)]
pub struct ForwardingServer {
    own: NodeLife,
    runner: Arc<dyn UnitRunner>,
    control: mpsc::Sender<ControlMessage>,
    timing: ForwardingTiming,
    counters: Arc<ForwardingCounters>,
    draining: CancellationToken,
}

impl fmt::Debug for ForwardingServer {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter
            .debug_struct("ForwardingServer")
            .field("own", &self.own)
            .finish_non_exhaustive()
    }
}

impl ForwardingServer {
    /// A server that runs units on `runner` and hands control messages to `control`.
    ///
    /// Once `draining` is cancelled it starts no more units; those that run go on.
    pub fn new(
        own: NodeLife,
        runner: Arc<dyn UnitRunner>,
        control: mpsc::Sender<ControlMessage>,
        timing: ForwardingTiming,
        counters: Arc<ForwardingCounters>,
        draining: CancellationToken,
    ) -> Self {
        ForwardingServer {
            own,
            runner,
            control,
            timing,
            counters,
            draining,
        }
    }

    /// Accepts connections until `stop` is cancelled, and closes them then.
    pub async fn serve(self, listener: TcpListener, stop: CancellationToken) {
        loop {
            let accepted = tokio::select! {
                accepted = listener.accept() => accepted,
                () = stop.cancelled() => return,
            };
            match accepted {
                Ok((stream, address)) => {
                    let connection = self.clone().serve_connection(stream, address, stop.clone());
                    tokio::spawn(connection);
                }
                // Too many open files, for example; the next one may succeed after a while.
                Err(_) => tokio::time::sleep(self.timing.ping).await,
            }
        }
    }

    async fn serve_connection(
        self,
        stream: TcpStream,
        address: SocketAddr,
        stop: CancellationToken,
    ) {
        let established = match exchange_hellos(stream, &self.own, self.timing.connect).await {
            Ok(established) => established,
            Err(report) => {
                self.counters.protocol_violations();
                log_event!(
                    PEER_REFUSED,
                    address = address,
                    error = report.current_context()
                );
                return;
            }
        };
        let Established {
            mut reader,
            sender,
            peer,
        } = established;
        let closed = sender.closed().clone();
        let connection = ServedConnection {
            server: self,
            sender,
            peer,
            units: Arc::default(),
        };
        tokio::select! {
            () = connection.read(&mut reader) => {}
            () = closed.cancelled() => {}
            () = stop.cancelled() => {}
        }
        closed.cancel();
        // Each unit is abandoned by the end of its channel.
        connection.lock_units().clear();
    }
}

type Units = Arc<Mutex<HashMap<u64, mpsc::Sender<FromIngress>>>>;

/// A frame that no ingress side may send.
struct ProtocolViolation;

struct ServedConnection {
    server: ForwardingServer,
    sender: FrameSender,
    peer: NodeLife,
    units: Units,
}

impl ServedConnection {
    fn lock_units(&self) -> std::sync::MutexGuard<'_, HashMap<u64, mpsc::Sender<FromIngress>>> {
        self.units.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Reads until the connection ends, is silent for too long, or the protocol is broken.
    async fn read(&self, reader: &mut FrameReader) {
        let mut heard_at = Instant::now();
        loop {
            let Ok(frame) = timeout(self.server.timing.silence, reader.next()).await else {
                if self.is_lost(heard_at.elapsed()) {
                    return;
                }
                continue;
            };
            heard_at = Instant::now();
            let taken = match frame {
                Some(Ok(frame)) => self.take(frame).await,
                Some(Err(FrameError::Connection(_))) | None => return,
                Some(Err(_)) => Err(ProtocolViolation),
            };
            if taken.is_err() {
                self.server.counters.protocol_violations();
                log_event!(
                    PEER_REFUSED,
                    node = self.peer.node,
                    error = "it broke the protocol"
                );
                return;
            }
        }
    }

    /// Whether the ingress side must be gone: it pings while units are open, and closes the
    /// connection itself when it has not needed it for long.
    fn is_lost(&self, silence: Duration) -> bool {
        let timing = &self.server.timing;
        let has_units = !self.lock_units().is_empty();
        (has_units && silence >= timing.silence) || silence >= timing.idle * 2
    }

    async fn take(&self, frame: Frame) -> Result<(), ProtocolViolation> {
        match frame {
            Frame::Open {
                unit,
                request,
                first,
            } => self.open(unit, request, first).await,
            Frame::Input { unit, input } => self.hand_over(unit, FromIngress::Input(input)),
            Frame::OutputCredit { unit, messages } => {
                self.hand_over(unit, FromIngress::OutputCredit(messages))
            }
            Frame::Abandon { unit } => self.hand_over(unit, FromIngress::Abandon),
            Frame::Ping => {
                // A closed connection ends the reading by itself.
                let _ = self.sender.send(Frame::Pong).await;
                Ok(())
            }
            Frame::Control(bytes) => {
                let message = ControlMessage {
                    sender: self.peer.clone(),
                    bytes: bytes.0,
                };
                // Control messages are repeated; one that finds no room is dropped.
                let _ = self.server.control.try_send(message);
                Ok(())
            }
            _ => Err(ProtocolViolation),
        }
    }

    async fn open(
        &self,
        unit: u64,
        request: UnitRequest,
        first: Batch,
    ) -> Result<(), ProtocolViolation> {
        if let Some(reason) = self.reason_to_refuse() {
            self.server.counters.units_refused();
            let _ = self.sender.send(Frame::NotOpened { unit, reason }).await;
            return Ok(());
        }
        let (queue, messages) = mpsc::channel(UNIT_QUEUE);
        if self.lock_units().insert(unit, queue).is_some() {
            return Err(ProtocolViolation);
        }
        self.server.counters.units_served();
        let handle = self.server.runner.open(request, first);
        let (units, sender) = (self.units.clone(), self.sender.clone());
        tokio::spawn(async move {
            serve(unit, handle, messages, sender).await;
            let mut units = units.lock().unwrap_or_else(PoisonError::into_inner);
            units.remove(&unit);
        });
        Ok(())
    }

    fn reason_to_refuse(&self) -> Option<Reason> {
        if self.server.draining.is_cancelled() {
            Some(Reason::Draining)
        } else if self.lock_units().len() >= MAX_UNITS {
            Some(Reason::Overloaded)
        } else {
            None
        }
    }

    /// Hands a message to its unit; one of a unit that has ended is dropped.
    fn hand_over(&self, unit: u64, message: FromIngress) -> Result<(), ProtocolViolation> {
        let units = self.lock_units();
        let Some(queue) = units.get(&unit) else {
            self.server.counters.messages_unmatched();
            return Ok(());
        };
        match queue.try_send(message) {
            Ok(()) | Err(mpsc::error::TrySendError::Closed(_)) => Ok(()),
            Err(mpsc::error::TrySendError::Full(_)) => Err(ProtocolViolation),
        }
    }
}
