//! A client connection: framing, timeouts and detection of a closed peer.

use std::io;
use std::sync::Arc;
use std::time::Duration;

use bytes::BytesMut;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::time::timeout;

use crate::ports::{Answer, ClientDialect, ClientMessage, ServerError};

/// Minimum free buffer space for each read, in bytes.
const READ_SIZE: usize = 2 << 10;
/// Maximum bytes buffered from a client while its statement runs.
const MAX_READ_AHEAD: usize = 64 << 10;
/// Maximum time to write an answer before the client counts as too slow.
const ANSWER_WRITE_TIMEOUT: Duration = Duration::from_secs(5);
/// `TCP_USER_TIMEOUT`: how long sent bytes may stay unacknowledged before the connection is closed.
const USER_TIMEOUT: Duration = Duration::from_secs(10);

/// The result of waiting for a client's message.
#[derive(Debug)]
pub enum Received {
    /// A complete message.
    Message(ClientMessage),
    /// Bytes that violate the protocol.
    Violation,
    /// The client closed the connection, or it failed.
    Closed,
}

/// A client connection with its read and write buffers.
pub struct ClientConnection {
    reader: OwnedReadHalf,
    writer: OwnedWriteHalf,
    dialect: Arc<dyn ClientDialect>,
    input: BytesMut,
    output: BytesMut,
}

impl ClientConnection {
    /// Wraps an accepted connection and sets its socket options.
    ///
    /// # Errors
    ///
    /// Fails if a socket option cannot be set, for example because the socket is already closed.
    pub fn new(stream: TcpStream, dialect: Arc<dyn ClientDialect>) -> io::Result<Self> {
        stream.set_nodelay(true)?;
        socket2::SockRef::from(&stream).set_tcp_user_timeout(Some(USER_TIMEOUT))?;
        let (reader, writer) = stream.into_split();
        Ok(ClientConnection {
            reader,
            writer,
            dialect,
            input: BytesMut::new(),
            output: BytesMut::new(),
        })
    }

    /// Waits for the next message. Cancel-safe: buffered bytes are kept for the next call.
    pub async fn receive(&mut self) -> Received {
        loop {
            match self.dialect.decode(&mut self.input) {
                Ok(Some(message)) => return Received::Message(message),
                Ok(None) => {}
                Err(_) => return Received::Violation,
            }
            if !self.read_more().await {
                return Received::Closed;
            }
        }
    }

    async fn read_more(&mut self) -> bool {
        self.input.reserve(READ_SIZE);
        let read = self.reader.read_buf(&mut self.input).await;
        matches!(read, Ok(length) if length > 0)
    }

    /// Waits until the client closes the connection, and buffers what it sends in the meantime.
    /// Once [`MAX_READ_AHEAD`] bytes are buffered, it stops reading and never completes.
    pub async fn closed(&mut self) {
        while self.input.len() < MAX_READ_AHEAD {
            if !self.read_more().await {
                return;
            }
        }
        std::future::pending::<()>().await;
    }

    /// Reports that the session is open; returns false if the write fails or times out.
    pub async fn send_started(&mut self) -> bool {
        self.dialect.encode_started(&mut self.output);
        self.flush().await
    }

    /// Sends a statement's answer; returns false if the write fails or times out.
    pub async fn send_answer(&mut self, answer: &Answer) -> bool {
        self.dialect.encode_answer(answer, &mut self.output);
        self.flush().await
    }

    /// Sends an error that ends the session and closes the connection.
    pub async fn refuse(&mut self, error: &ServerError) {
        self.dialect.encode_refusal(error, &mut self.output);
        if self.flush().await {
            // An error means that the client has already closed the connection.
            let _ = self.writer.shutdown().await;
        }
    }

    async fn flush(&mut self) -> bool {
        let written = timeout(ANSWER_WRITE_TIMEOUT, self.writer.write_all(&self.output)).await;
        self.output.clear();
        matches!(written, Ok(Ok(())))
    }
}
