//! The encoding of control messages between nodes.
//!
//! The message types are defined in `spurpier-core`, whose state machines produce and consume them.
//! An encoded message is one byte with the protocol version, followed by the message in nanoserde's
//! binary encoding.

use std::fmt;

use nanoserde::{DeBin, SerBin};

pub use spurpier_core::control::{GossipBody, GossipMessage};

/// The version of the control protocol, the first byte of every message.
pub const GOSSIP_VERSION: u8 = 1;

/// The maximum size of an encoded control message in a datagram, in bytes.
pub const MAX_DATAGRAM_BYTES: usize = 1_400;

/// The maximum size of an encoded control message sent over a connection, in bytes.
pub const MAX_STREAM_BYTES: usize = 16 << 20;

/// The reason why bytes could not be decoded as a control message.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum InvalidGossip {
    /// The input is empty.
    Empty,
    /// The message has another protocol version than [`GOSSIP_VERSION`]; holds that version.
    OtherVersion(u8),
    /// The input is truncated or contains an invalid value.
    Malformed,
    /// The message is followed by this number of unexpected bytes.
    TrailingBytes(usize),
}

impl fmt::Display for InvalidGossip {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            InvalidGossip::Empty => formatter.write_str("empty control message"),
            InvalidGossip::OtherVersion(version) => {
                write!(formatter, "unsupported control protocol version {version}")
            }
            InvalidGossip::Malformed => formatter.write_str("malformed control message"),
            InvalidGossip::TrailingBytes(count) => {
                write!(
                    formatter,
                    "{count} unexpected bytes after the control message"
                )
            }
        }
    }
}

impl std::error::Error for InvalidGossip {}

/// Encodes a message, including the version byte.
pub fn encode(message: &GossipMessage) -> Vec<u8> {
    let mut output = Vec::with_capacity(128);
    encode_into(message, &mut output);
    output
}

/// Appends an encoded message, including the version byte, to `output`.
pub fn encode_into(message: &GossipMessage, output: &mut Vec<u8>) {
    output.push(GOSSIP_VERSION);
    message.ser_bin(output);
}

/// Decodes one message that must span the whole input.
///
/// # Errors
///
/// Fails if the input is empty or malformed, has another protocol version, or has bytes after the
/// message. Decoding untrusted input never panics and allocates no memory based on an unverified
/// length.
pub fn decode(bytes: &[u8]) -> Result<GossipMessage, InvalidGossip> {
    let (&version, _) = bytes.split_first().ok_or(InvalidGossip::Empty)?;
    if version != GOSSIP_VERSION {
        return Err(InvalidGossip::OtherVersion(version));
    }
    let mut offset = 1;
    let message =
        GossipMessage::de_bin(&mut offset, bytes).map_err(|_| InvalidGossip::Malformed)?;
    match bytes.len() - offset {
        0 => Ok(message),
        left => Err(InvalidGossip::TrailingBytes(left)),
    }
}
