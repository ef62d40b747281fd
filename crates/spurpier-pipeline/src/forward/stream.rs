//! Messages on a connection between two nodes: reading, and writing what waits together.

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

/// How much is read at once, at least.
const READ_SIZE: usize = 8 << 10;
/// Bytes after which waiting messages are written in a further piece.
const WRITE_SIZE: usize = 64 << 10;
/// For how long sent bytes may stay unacknowledged before the connection is given up.
const USER_TIMEOUT: Duration = Duration::from_secs(3);

/// Sets what each connection between nodes has.
pub fn prepare_socket(stream: &TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    socket2::SockRef::from(stream).set_tcp_user_timeout(Some(USER_TIMEOUT))
}

/// Reads messages.
pub struct MessageReader {
    stream: OwnedReadHalf,
    input: BytesMut,
}

impl MessageReader {
    /// Reads from the connection's input.
    pub fn new(stream: OwnedReadHalf) -> Self {
        let input = BytesMut::new();
        MessageReader { stream, input }
    }

    /// The next message; none at the end of the connection or after bytes that are none.
    pub async fn next(&mut self) -> Option<LinkMessage> {
        self.next_with(|_| {}).await
    }

    /// As [`MessageReader::next`]; `record_partial` is told how many bytes have come each time that they
    /// leave a message unfinished.
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

/// Writes what comes from the queue, until the connection is closed or fails; then it is closed.
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
