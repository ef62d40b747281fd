//! The connection to a client.

use std::io;
use std::sync::Arc;
use std::time::Duration;

use bytes::BytesMut;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::time::timeout;

use crate::ports::{Answer, ClientDialect, ClientMessage, ServerError};

/// How much is read at once, at least.
const READ_SIZE: usize = 2 << 10;
/// Bytes that a client may send ahead while its statement runs.
const MAX_READ_AHEAD: usize = 64 << 10;
/// How long a client may take no bytes of its answer.
const ANSWER_WRITE_TIMEOUT: Duration = Duration::from_secs(5);
/// For how long sent bytes may stay unacknowledged before the connection is given up.
const USER_TIMEOUT: Duration = Duration::from_secs(10);

/// What came from a client.
#[derive(Debug)]
pub enum Received {
    /// A message.
    Message(ClientMessage),
    /// Bytes that are none.
    Violation,
    /// The end of the connection.
    Closed,
}

/// A connection to a client.
pub struct ClientConnection {
    reader: OwnedReadHalf,
    writer: OwnedWriteHalf,
    dialect: Arc<dyn ClientDialect>,
    input: BytesMut,
    output: BytesMut,
}

impl ClientConnection {
    /// Takes an accepted connection.
    ///
    /// # Errors
    ///
    /// If its socket is gone already.
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

    /// Waits for the next message. May be cancelled and called again.
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

    /// Waits until the client has closed the connection; keeps what it sends ahead.
    pub async fn closed(&mut self) {
        while self.input.len() < MAX_READ_AHEAD {
            if !self.read_more().await {
                return;
            }
        }
        std::future::pending::<()>().await;
    }

    /// Says that the session is open; false if the client is gone.
    pub async fn send_started(&mut self) -> bool {
        self.dialect.encode_started(&mut self.output);
        self.flush().await
    }

    /// Sends a statement's answer; false if the client is gone or reads too slowly.
    pub async fn send_answer(&mut self, answer: &Answer) -> bool {
        self.dialect.encode_answer(answer, &mut self.output);
        self.flush().await
    }

    /// Refuses the session and closes the connection.
    pub async fn refuse(&mut self, error: &ServerError) {
        self.dialect.encode_refusal(error, &mut self.output);
        if self.flush().await {
            // The client may have closed already, which is as good.
            let _ = self.writer.shutdown().await;
        }
    }

    async fn flush(&mut self) -> bool {
        let written = timeout(ANSWER_WRITE_TIMEOUT, self.writer.write_all(&self.output)).await;
        self.output.clear();
        matches!(written, Ok(Ok(())))
    }
}
