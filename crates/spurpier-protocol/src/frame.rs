//! Frames on a connection between two nodes.
//!
//! The node that opens the connection is the ingress side of its units, the other one the home
//! side. Each side first sends a [`Hello`]. A frame is a length of four bytes (big-endian), the
//! xxh3-64 of the body, and the body in nanoserde's binary form.
//!
//! Each direction of a unit has a window of [`UNIT_WINDOW`] messages. The receiver grants room
//! anew with [`Frame::OutputCredit`] and [`Frame::InputCredit`] as its consumer takes messages,
//! so that a slow client holds up its own unit and no other.

use std::fmt;

use bytes::{Buf, BufMut, BytesMut};
use nanoserde::{DeBin, DeBinErr, SerBin};
use spurpier_core::identity::NodeName;
use spurpier_core::reason::Reason;
use spurpier_core::wire::{decode_bytes, encode_bytes};
use tokio_util::codec::{Decoder, Encoder};
use xxhash_rust::xxh3::xxh3_64;

use crate::unit::{Batch, UnitInput, UnitOutput, UnitRequest};

/// The version of the protocol; nodes of different versions do not forward to each other.
pub const PROTOCOL_VERSION: u16 = 1;

/// The messages that a unit may have under way in one direction.
pub const UNIT_WINDOW: u32 = 16;

/// The greatest length of a frame's checksum and body, in bytes.
pub const MAX_FRAME_BYTES: usize = 64 << 20;

/// The greatest length of the client or back-end messages in one frame, in bytes; what stands
/// beside them always fits.
pub const MAX_MESSAGE_BYTES: usize = MAX_FRAME_BYTES / 2;

const LENGTH_BYTES: usize = 4;
const CHECKSUM_BYTES: usize = 8;

/// The first frame of each side.
#[derive(Debug, Clone, PartialEq, Eq, SerBin, DeBin)]
pub struct Hello {
    /// The version of the protocol, [`PROTOCOL_VERSION`].
    pub version: u16,
    /// The node that sends this.
    pub node: NodeName,
    /// The number of the node's life, higher than in any earlier one.
    pub incarnation: u64,
}

/// A frame; `unit` is the number that the ingress side gave the unit, unique on the connection.
#[derive(Debug, Clone, PartialEq, SerBin, DeBin)]
pub enum Frame {
    /// Both sides: the first frame.
    Hello(Hello),
    /// Ingress side: starts a unit with its first batch.
    Open {
        /// The unit.
        unit: u64,
        /// What the home must know.
        request: UnitRequest,
        /// The first batch.
        first: Batch,
    },
    /// Ingress side: a further message of an open unit.
    Input {
        /// The unit.
        unit: u64,
        /// The message.
        input: UnitInput,
    },
    /// Ingress side: the unit has no holder any more; it is rolled back.
    Abandon {
        /// The unit.
        unit: u64,
    },
    /// Ingress side: room for more outputs.
    OutputCredit {
        /// The unit.
        unit: u64,
        /// How many more.
        messages: u32,
    },
    /// Home side: the unit was not started, and nothing of it ran.
    NotOpened {
        /// The unit.
        unit: u64,
        /// Why.
        reason: Reason,
    },
    /// Home side: a message of an open unit.
    Output {
        /// The unit.
        unit: u64,
        /// The message.
        output: UnitOutput,
    },
    /// Home side: the unit ended without a result, as if the connection had been lost.
    Lost {
        /// The unit.
        unit: u64,
    },
    /// Home side: room for more inputs.
    InputCredit {
        /// The unit.
        unit: u64,
        /// How many more.
        messages: u32,
    },
    /// Both sides: asks for a [`Frame::Pong`].
    Ping,
    /// Both sides: answers a [`Frame::Ping`].
    Pong,
    /// Both sides: a control message too large for a datagram, encoded by [`crate::gossip`].
    Control(ControlBytes),
}

/// The bytes of a control message.
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

/// Why bytes are no frame, or a frame cannot be sent.
#[derive(Debug)]
pub enum FrameError {
    /// The connection failed.
    Connection(std::io::Error),
    /// The frame is longer than [`MAX_FRAME_BYTES`], or too short for a checksum.
    Length(usize),
    /// The checksum does not fit the body.
    Checksum,
    /// The body is no frame.
    Malformed,
}

impl fmt::Display for FrameError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            FrameError::Connection(error) => write!(formatter, "the connection failed: {error}"),
            FrameError::Length(length) => write!(formatter, "a frame cannot have {length} bytes"),
            FrameError::Checksum => formatter.write_str("the checksum of a frame is wrong"),
            FrameError::Malformed => formatter.write_str("a frame is malformed"),
        }
    }
}

impl std::error::Error for FrameError {}

impl From<std::io::Error> for FrameError {
    fn from(error: std::io::Error) -> Self {
        FrameError::Connection(error)
    }
}

/// Turns frames into bytes and back.
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
/// `Length` if the message is too long; nothing is appended then.
pub fn encode_framed(message: &impl SerBin, output: &mut BytesMut) -> Result<(), FrameError> {
    let body = message.serialize_bin();
    let length = CHECKSUM_BYTES + body.len();
    if length > MAX_FRAME_BYTES {
        return Err(FrameError::Length(length));
    }
    output.reserve(LENGTH_BYTES + length);
    // Bounded by MAX_FRAME_BYTES just above.
    output.put_u32(length as u32);
    output.put_u64(xxh3_64(&body));
    output.put_slice(&body);
    Ok(())
}

/// Takes the next whole frame's message; none while it is not whole.
///
/// # Errors
///
/// If the bytes are no frame of such a message; the connection is of no more use.
pub fn decode_framed<M: DeBin>(input: &mut BytesMut) -> Result<Option<M>, FrameError> {
    let Some(mut header) = input.get(..LENGTH_BYTES) else {
        return Ok(None);
    };
    let length = header.get_u32() as usize;
    if !(CHECKSUM_BYTES..=MAX_FRAME_BYTES).contains(&length) {
        return Err(FrameError::Length(length));
    }
    if input.len() < LENGTH_BYTES + length {
        // Grows with the bytes that arrive; a length alone reserves nothing.
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
