//! The exchange of hellos that opens a connection between two nodes.

use std::fmt;
use std::time::Duration;

use error_stack::{Report, ResultExt};
use futures::StreamExt;
use spurpier_core::identity::NodeName;
use spurpier_protocol::frame::{Frame, FrameCodec, Hello, PROTOCOL_VERSION};
use tokio::net::TcpStream;
use tokio::net::tcp::OwnedReadHalf;
use tokio_util::codec::FramedRead;
use tokio_util::sync::CancellationToken;

use super::writer::FrameSender;

/// One life of a node.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct NodeLife {
    /// The node.
    pub node: NodeName,
    /// The number of its life, higher than in any earlier one.
    pub incarnation: u64,
}

impl NodeLife {
    fn hello(&self) -> Frame {
        Frame::Hello(Hello {
            version: PROTOCOL_VERSION,
            node: self.node.clone(),
            incarnation: self.incarnation,
        })
    }
}

/// Why two nodes did not come to an understanding.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum HandshakeError {
    /// The connection could not be made or broke.
    Connection,
    /// The peer did not answer in time.
    Timeout,
    /// The peer's first frame is no hello.
    NoHello,
    /// The peer speaks another version of the protocol.
    OtherVersion(u16),
    /// Another node answers at the address.
    OtherNode(NodeName),
}

impl fmt::Display for HandshakeError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            HandshakeError::Connection => formatter.write_str("the connection failed"),
            HandshakeError::Timeout => formatter.write_str("the node did not answer in time"),
            HandshakeError::NoHello => formatter.write_str("the peer is no node of this protocol"),
            HandshakeError::OtherVersion(version) => {
                write!(
                    formatter,
                    "the node speaks version {version} of the protocol"
                )
            }
            HandshakeError::OtherNode(node) => {
                write!(
                    formatter,
                    "the node {node} answers in place of the one called"
                )
            }
        }
    }
}

impl std::error::Error for HandshakeError {}

/// Reads the frames of one connection.
pub(super) type FrameReader = FramedRead<OwnedReadHalf, FrameCodec>;

/// A connection after the handshake.
#[derive(Debug)]
pub(super) struct Established {
    pub reader: FrameReader,
    pub sender: FrameSender,
    pub peer: NodeLife,
}

/// Exchanges hellos on a new connection.
pub(super) async fn exchange_hellos(
    stream: TcpStream,
    own: &NodeLife,
    patience: Duration,
) -> Result<Established, Report<HandshakeError>> {
    stream
        .set_nodelay(true)
        .change_context(HandshakeError::Connection)?;
    let (read_half, write_half) = stream.into_split();
    let mut reader = FramedRead::new(read_half, FrameCodec);
    let closed = CancellationToken::new();
    let guard = closed.clone().drop_guard();
    let sender = FrameSender::start(write_half, closed);
    sender
        .send(own.hello())
        .await
        .map_err(|_| Report::new(HandshakeError::Connection))?;
    let first = tokio::time::timeout(patience, reader.next())
        .await
        .change_context(HandshakeError::Timeout)?;
    let peer = match first {
        Some(Ok(Frame::Hello(hello))) => understand(hello)?,
        Some(Ok(_)) => return Err(Report::new(HandshakeError::NoHello)),
        Some(Err(error)) => {
            return Err(Report::new(error).change_context(HandshakeError::NoHello));
        }
        None => return Err(Report::new(HandshakeError::Connection)),
    };
    guard.disarm();
    Ok(Established {
        reader,
        sender,
        peer,
    })
}

fn understand(hello: Hello) -> Result<NodeLife, Report<HandshakeError>> {
    if hello.version != PROTOCOL_VERSION {
        return Err(Report::new(HandshakeError::OtherVersion(hello.version)));
    }
    Ok(NodeLife {
        node: hello.node,
        incarnation: hello.incarnation,
    })
}
