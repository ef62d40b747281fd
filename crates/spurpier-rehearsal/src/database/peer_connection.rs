//! Calls from one server of a group to another, one at a time on a TCP connection.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use error_stack::{Report, ResultExt};
use futures::{SinkExt, StreamExt};
use nanoserde::{DeBin, SerBin};
use spurpier_core::identity::ServerName;
use tokio::net::TcpStream;
use tokio::time::timeout;
use tokio_util::codec::{Framed, LengthDelimitedCodec};

use super::peer_message::{PeerAnswer, PeerEnvelope, PeerRequest};

/// The longest message between servers, in bytes.
const MAXIMUM_MESSAGE: usize = 256 * 1024 * 1024;

/// A framed connection between two servers.
pub(crate) type PeerStream = Framed<TcpStream, LengthDelimitedCodec>;

/// Frames a connection between two servers.
pub(crate) fn framed(stream: TcpStream) -> PeerStream {
    let codec = LengthDelimitedCodec::builder()
        .max_frame_length(MAXIMUM_MESSAGE)
        .new_codec();
    Framed::new(stream, codec)
}

/// A call to another server failed; whether it took effect is not known.
#[derive(Debug)]
pub(crate) struct PeerCallError {
    /// The address that was called.
    pub address: SocketAddr,
}

impl std::fmt::Display for PeerCallError {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(formatter, "the server at {} did not answer", self.address)
    }
}

impl std::error::Error for PeerCallError {}

/// A connection to another server.
#[derive(Debug)]
pub(crate) struct PeerConnection {
    address: SocketAddr,
    stream: PeerStream,
    patience: Duration,
}

impl PeerConnection {
    /// Connects; connecting and each call may take as long as `patience`.
    pub(crate) async fn connect(
        address: SocketAddr,
        patience: Duration,
    ) -> Result<Self, Report<PeerCallError>> {
        let failure = PeerCallError { address };
        let connected = timeout(patience, TcpStream::connect(address)).await;
        let stream = connected
            .change_context(PeerCallError { address })?
            .change_context(failure)?;
        let _ = stream.set_nodelay(true);
        Ok(PeerConnection {
            address,
            stream: framed(stream),
            patience,
        })
    }

    /// Sends a request and waits for its answer; after an error the connection is void.
    pub(crate) async fn call(
        &mut self,
        from: &ServerName,
        request: PeerRequest,
    ) -> Result<PeerAnswer, Report<PeerCallError>> {
        let address = self.address;
        let envelope = PeerEnvelope {
            from: from.clone(),
            request,
        };
        let exchange = async {
            let sent = self
                .stream
                .send(Bytes::from(envelope.serialize_bin()))
                .await;
            sent.change_context(PeerCallError { address })?;
            let frame = self.stream.next().await;
            let frame = frame.ok_or_else(|| Report::new(PeerCallError { address }))?;
            let frame = frame.change_context(PeerCallError { address })?;
            PeerAnswer::deserialize_bin(&frame).change_context(PeerCallError { address })
        };
        timeout(self.patience, exchange)
            .await
            .change_context(PeerCallError { address })?
    }
}
