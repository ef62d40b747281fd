//! Reads and writes messages on a connection between two nodes; queued messages are written in
//! batches.

use std::io;
use std::time::Duration;

use bytes::BytesMut;
use spurpier_protocol::frame::{decode_framed, encode_framed};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::sync::mpsc;
use tokio_util::sync::CancellationToken;

use super::messages::LinkMessage;

/// The free space in the input buffer before each read, in bytes.
const READ_SIZE: usize = 8 << 10;
/// The size from which a batch of queued messages takes no further message, in bytes.
const WRITE_SIZE: usize = 64 << 10;
/// TCP_USER_TIMEOUT: how long sent bytes may stay unacknowledged before the connection fails.
const USER_TIMEOUT: Duration = Duration::from_secs(3);

/// Sets the socket options of a connection between nodes: TCP_NODELAY and TCP_USER_TIMEOUT.
pub fn prepare_socket(stream: &TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    socket2::SockRef::from(stream).set_tcp_user_timeout(Some(USER_TIMEOUT))
}

/// Reads framed messages from a connection.
pub struct MessageReader {
    stream: OwnedReadHalf,
    input: BytesMut,
}

impl MessageReader {
    /// Creates a reader of the connection's input.
    pub fn new(stream: OwnedReadHalf) -> Self {
        let input = BytesMut::new();
        MessageReader { stream, input }
    }

    /// The next message; none if the connection ends or fails, or a message cannot be decoded.
    pub async fn next(&mut self) -> Option<LinkMessage> {
        self.next_with(|_| {}).await
    }

    /// As [`MessageReader::next`]; calls `record_partial` with the number of bytes of each read
    /// that leaves a message incomplete.
    pub async fn next_with(
        &mut self,
        mut record_partial: impl FnMut(usize),
    ) -> Option<LinkMessage> {
        let mut length = 0;
        loop {
            if let Some(message) = decode_framed(&mut self.input).ok()? {
                return Some(message);
            }
            if length > 0 {
                record_partial(length);
            }
            self.input.reserve(READ_SIZE);
            length = self.stream.read_buf(&mut self.input).await.ok()?;
            if length == 0 {
                return None;
            }
        }
    }
}

/// Writes the queued messages until the connection is closed, a write fails or the queue ends; then
/// cancels `closed`.
pub async fn write_messages(
    mut stream: OwnedWriteHalf,
    mut queue: mpsc::Receiver<LinkMessage>,
    closed: CancellationToken,
) {
    let writing = async {
        let mut output = BytesMut::new();
        while let Some(message) = queue.recv().await {
            if encode_framed(&message, &mut output).is_err() {
                return;
            }
            while output.len() < WRITE_SIZE
                && let Ok(message) = queue.try_recv()
            {
                if encode_framed(&message, &mut output).is_err() {
                    return;
                }
            }
            if stream.write_all(&output).await.is_err() {
                return;
            }
            output.clear();
        }
    };
    tokio::select! {
        () = writing => {}
        () = closed.cancelled() => {}
    }
    closed.cancel();
}
