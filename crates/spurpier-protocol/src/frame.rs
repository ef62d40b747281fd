//! Frames on a connection between two nodes.
//!
//! The node that opens the connection is the ingress side of all units on it; the other node is
//! the home side. Each side sends a [`Hello`] first. A frame consists of a big-endian `u32` length
//! (of checksum and body), the xxh3-64 checksum of the body, and the body in nanoserde's binary
//! encoding.
//!
//! Flow control is per unit and direction, with a window of [`UNIT_WINDOW`] messages. The receiver
//! grants further credit with [`Frame::OutputCredit`] and [`Frame::InputCredit`] as its consumer
//! takes messages, so that a slow client delays only its own unit.

use std::fmt;

use bytes::{Buf, BufMut, BytesMut};
use nanoserde::{DeBin, DeBinErr, SerBin};
use spurpier_core::identity::NodeName;
use spurpier_core::reason::Reason;
use spurpier_core::wire::{decode_bytes, encode_bytes};
use tokio_util::codec::{Decoder, Encoder};
use xxhash_rust::xxh3::xxh3_64;

use crate::unit::{Batch, UnitInput, UnitOutput, UnitRequest};

/// The version of the forwarding protocol; nodes of different versions do not forward units to
/// each other.
pub const PROTOCOL_VERSION: u16 = 1;

/// The initial credit of a unit in each direction, in messages.
pub const UNIT_WINDOW: u32 = 16;

/// The maximum length of a frame's checksum and body together, in bytes.
pub const MAX_FRAME_BYTES: usize = 64 << 20;

/// The maximum length of the client or back-end messages in one frame, in bytes. Half of
/// [`MAX_FRAME_BYTES`] leaves enough room for the other fields of the frame.
pub const MAX_MESSAGE_BYTES: usize = MAX_FRAME_BYTES / 2;

const LENGTH_BYTES: usize = 4;
const CHECKSUM_BYTES: usize = 8;

/// The handshake that each side sends as its first frame.
#[derive(Debug, Clone, PartialEq, Eq, SerBin, DeBin)]
pub struct Hello {
    /// The sender's protocol version, [`PROTOCOL_VERSION`].
    pub version: u16,
    /// The sender's node name.
    pub node: NodeName,
    /// The sender's incarnation number, which increases with each start of the node.
    pub incarnation: u64,
}

/// A message on a connection between two nodes.
///
/// `unit` is the identifier that the ingress side assigned to the unit; it is unique on the
/// connection.
#[derive(Debug, Clone, PartialEq, SerBin, DeBin)]
pub enum Frame {
    /// Both sides: the handshake, sent as the first frame.
    Hello(Hello),
    /// Ingress side: starts a unit with its first batch.
    Open {
        /// The unit's identifier.
        unit: u64,
        /// The parameters of the unit.
        request: UnitRequest,
        /// The first batch.
        first: Batch,
    },
    /// Ingress side: a further message of an open unit.
    Input {
        /// The unit's identifier.
        unit: u64,
        /// The message.
        input: UnitInput,
    },
    /// Ingress side: the unit was dropped there; the home rolls it back.
    Abandon {
        /// The unit's identifier.
        unit: u64,
    },
    /// Ingress side: grants credit for further [`Frame::Output`] frames.
    OutputCredit {
        /// The unit's identifier.
        unit: u64,
        /// The number of additional messages.
        messages: u32,
    },
    /// Home side: the unit was not started and had no effect.
    NotOpened {
        /// The unit's identifier.
        unit: u64,
        /// The reason for the refusal.
        reason: Reason,
    },
    /// Home side: a message of an open unit.
    Output {
        /// The unit's identifier.
        unit: u64,
        /// The message.
        output: UnitOutput,
    },
    /// Home side: the unit ended without a result; the ingress side handles this like a lost
    /// connection.
    Lost {
        /// The unit's identifier.
        unit: u64,
    },
    /// Home side: grants credit for further [`Frame::Input`] frames.
    InputCredit {
        /// The unit's identifier.
        unit: u64,
        /// The number of additional messages.
        messages: u32,
    },
    /// Both sides: requests a [`Frame::Pong`].
    Ping,
    /// Both sides: answers a [`Frame::Ping`].
    Pong,
    /// Both sides: a control message too large for a datagram, encoded by [`crate::gossip`].
    Control(ControlBytes),
}

/// A control message as encoded by [`crate::gossip`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ControlBytes(pub Vec<u8>);

impl SerBin for ControlBytes {
    fn ser_bin(&self, output: &mut Vec<u8>) {
        encode_bytes(&self.0, output);
    }
}

impl DeBin for ControlBytes {
    fn de_bin(offset: &mut usize, bytes: &[u8]) -> Result<Self, DeBinErr> {
        decode_bytes(offset, bytes).map(|piece| ControlBytes(piece.to_vec()))
    }
}

/// An error in sending, receiving, encoding or decoding a frame.
#[derive(Debug)]
pub enum FrameError {
    /// The connection failed.
    Connection(std::io::Error),
    /// The length, in bytes, is above [`MAX_FRAME_BYTES`] or too short for a checksum.
    Length(usize),
    /// The checksum does not match the body.
    Checksum,
    /// The body cannot be decoded, or has bytes after the message.
    Malformed,
}

impl fmt::Display for FrameError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            FrameError::Connection(error) => write!(formatter, "connection failed: {error}"),
            FrameError::Length(length) => {
                write!(formatter, "invalid frame length of {length} bytes")
            }
            FrameError::Checksum => formatter.write_str("frame checksum mismatch"),
            FrameError::Malformed => formatter.write_str("malformed frame body"),
        }
    }
}

impl std::error::Error for FrameError {}

impl From<std::io::Error> for FrameError {
    fn from(error: std::io::Error) -> Self {
        FrameError::Connection(error)
    }
}

/// Encodes and decodes [`Frame`]s on a byte stream.
#[derive(Debug, Clone, Copy, Default)]
pub struct FrameCodec;

impl Encoder<&Frame> for FrameCodec {
    type Error = FrameError;

    fn encode(&mut self, frame: &Frame, output: &mut BytesMut) -> Result<(), FrameError> {
        encode_framed(frame, output)
    }
}

impl Decoder for FrameCodec {
    type Item = Frame;
    type Error = FrameError;

    fn decode(&mut self, input: &mut BytesMut) -> Result<Option<Frame>, FrameError> {
        decode_framed(input)
    }
}

/// Appends a message as one frame: length, checksum and body.
///
/// # Errors
///
/// Returns [`FrameError::Length`] if the message is too long; `output` is then unchanged.
pub fn encode_framed(message: &impl SerBin, output: &mut BytesMut) -> Result<(), FrameError> {
    let body = message.serialize_bin();
    let length = CHECKSUM_BYTES + body.len();
    if length > MAX_FRAME_BYTES {
        return Err(FrameError::Length(length));
    }
    output.reserve(LENGTH_BYTES + length);
    // The cast cannot truncate: the length is at most MAX_FRAME_BYTES.
    output.put_u32(length as u32);
    output.put_u64(xxh3_64(&body));
    output.put_slice(&body);
    Ok(())
}

/// Removes the next complete frame from `input` and decodes its message; `None` until a complete
/// frame has arrived.
///
/// # Errors
///
/// Fails if the length, the checksum or the body is invalid. The stream cannot be resynchronized
/// after an error, so the connection must be closed.
pub fn decode_framed<M: DeBin>(input: &mut BytesMut) -> Result<Option<M>, FrameError> {
    let Some(mut header) = input.get(..LENGTH_BYTES) else {
        return Ok(None);
    };
    let length = header.get_u32() as usize;
    if !(CHECKSUM_BYTES..=MAX_FRAME_BYTES).contains(&length) {
        return Err(FrameError::Length(length));
    }
    if input.len() < LENGTH_BYTES + length {
        // The buffer grows only as bytes arrive; an unverified length allocates no memory.
        return Ok(None);
    }
    input.advance(LENGTH_BYTES);
    let mut frame = input.split_to(length);
    let checksum = frame.get_u64();
    if xxh3_64(&frame) != checksum {
        return Err(FrameError::Checksum);
    }
    decode_body(&frame).map(Some)
}

fn decode_body<M: DeBin>(body: &[u8]) -> Result<M, FrameError> {
    let mut offset = 0;
    let message = M::de_bin(&mut offset, body).map_err(|_| FrameError::Malformed)?;
    if offset == body.len() {
        Ok(message)
    } else {
        Err(FrameError::Malformed)
    }
}
