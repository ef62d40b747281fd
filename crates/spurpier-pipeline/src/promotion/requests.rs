//! Which request an answer belongs to.
//!
//! Requests are numbered from 1 in each process, and the process that uses an address may change.
//! Each datagram therefore ends with an [`Origin`]: the process that made the request and the group
//! that the request is about. An answer repeats the origin of its request.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Mutex, MutexGuard, PoisonError};

use nanoserde::{DeBin, DeBinErr, SerBin};
use spurpier_core::wire::{decode_text, encode_text};
use tokio::sync::mpsc;

use super::messages::PeerMessage;

/// How many answers to one request may be queued.
const ANSWER_CAPACITY: usize = 1_024;
/// The greatest size of an encoded origin: the platform's names have at most 200 bytes.
pub const MAX_ORIGIN_BYTES: usize = 210;

/// Answers and the addresses that they came from.
pub type Answers = mpsc::Receiver<(SocketAddr, PeerMessage)>;

/// What a request is about, and which process made it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Origin {
    /// A number that the process drew at its start.
    pub process: u64,
    /// The name of the group; empty if the request is about none.
    pub group: String,
}

impl SerBin for Origin {
    fn ser_bin(&self, output: &mut Vec<u8>) {
        self.process.ser_bin(output);
        encode_text(&self.group, output);
    }
}

impl DeBin for Origin {
    fn de_bin(offset: &mut usize, bytes: &[u8]) -> Result<Self, DeBinErr> {
        Ok(Origin {
            process: u64::de_bin(offset, bytes)?,
            group: decode_text(offset, bytes)?.to_owned(),
        })
    }
}

/// A message and the origin of the request that it makes or answers.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Datagram {
    /// The message.
    pub message: PeerMessage,
    /// The origin; `None` from nodes that do not know of origins and stop reading before it.
    pub origin: Option<Origin>,
}

impl Datagram {
    /// Encodes the datagram.
    pub fn encode(&self) -> Vec<u8> {
        let mut output = self.message.serialize_bin();
        if let Some(origin) = &self.origin {
            origin.ser_bin(&mut output);
        }
        output
    }

    /// Decodes a datagram.
    ///
    /// # Errors
    ///
    /// The error of the message or the origin that cannot be decoded.
    pub fn decode(bytes: &[u8]) -> Result<Self, DeBinErr> {
        let mut offset = 0;
        let message = PeerMessage::de_bin(&mut offset, bytes)?;
        let origin = if offset < bytes.len() {
            Some(Origin::de_bin(&mut offset, bytes)?)
        } else {
            None
        };
        Ok(Datagram { message, origin })
    }
}

struct Pending {
    origin: Origin,
    sender: mpsc::Sender<(SocketAddr, PeerMessage)>,
}

/// The requests whose answers are awaited.
pub struct Requests {
    process: u64,
    next_id: AtomicU64,
    pending: Mutex<HashMap<u64, Pending>>,
}

impl Requests {
    /// No requests yet, of a process with a number of its own.
    pub fn new() -> Self {
        Requests {
            process: rand::random(),
            next_id: AtomicU64::new(1),
            pending: Mutex::default(),
        }
    }

    /// Registers a request about a group.
    pub fn start(&self, group: &str) -> (StartedRequest<'_>, Answers) {
        let id = self.next_id.fetch_add(1, Ordering::Relaxed);
        let origin = Origin {
            process: self.process,
            group: group.to_owned(),
        };
        let (sender, answers) = mpsc::channel(ANSWER_CAPACITY);
        let pending = Pending {
            origin: origin.clone(),
            sender,
        };
        self.lock().insert(id, pending);
        let requests = self;
        (
            StartedRequest {
                requests,
                id,
                origin,
            },
            answers,
        )
    }

    /// Passes an answer on to its request; returns false if it belongs to none.
    pub fn accept(
        &self,
        id: u64,
        message: PeerMessage,
        origin: Option<&Origin>,
        from: SocketAddr,
    ) -> bool {
        let pending = self.lock();
        let Some(request) = pending.get(&id) else {
            return false;
        };
        let belongs = match origin {
            Some(origin) => *origin == request.origin,
            None => is_safe_without_origin(&message),
        };
        if belongs {
            // An answer beyond the capacity is a duplicate.
            let _ = request.sender.try_send((from, message));
        }
        belongs
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<u64, Pending>> {
        self.pending.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Whether an answer of a node that knows no origins may be taken for the answer to a request of
/// the same number.
///
/// A position read as that of another group's log would make reads stale. The other answers decide
/// nothing by themselves: an acknowledgement or a sign of life lets the node ask again, and a
/// release counts by its token, which rises over all groups.
fn is_safe_without_origin(answer: &PeerMessage) -> bool {
    !matches!(answer, PeerMessage::PrimaryObservation { .. })
}

/// A request whose answers are awaited. Dropping it discards later answers.
pub struct StartedRequest<'a> {
    requests: &'a Requests,
    /// The number of the request.
    pub id: u64,
    /// The origin that its datagrams carry.
    pub origin: Origin,
}

impl Drop for StartedRequest<'_> {
    fn drop(&mut self) {
        self.requests.lock().remove(&self.id);
    }
}
