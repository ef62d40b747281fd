//! The client's socket with its input and output buffers, both bounded.

use std::fmt;
use std::time::Duration;

use bytes::{Buf, BytesMut};
use error_stack::{Report, ResultExt};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::timeout;

/// Bytes of output that are gathered before they are written.
const OUTPUT_THRESHOLD: usize = 8 * 1024;

/// Bytes of input that are read ahead while a statement runs.
const READ_AHEAD: usize = 64 * 1024;

/// Bytes that are asked for in one read.
const READ_SIZE: usize = 4 * 1024;

/// How long a closing connection waits for the client to take the last message.
const LINGER: Duration = Duration::from_millis(500);

/// Why a client connection ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum ClientEnd {
    /// The client said goodbye, or was told why the connection ends.
    Closed,
    /// The client closed the connection without a word, or it broke.
    Vanished,
    /// The client took no bytes in time.
    TooSlow,
}

impl fmt::Display for ClientEnd {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            ClientEnd::Closed => "the client connection was closed",
            ClientEnd::Vanished => "the client vanished",
            ClientEnd::TooSlow => "the client took no bytes in time",
        })
    }
}

impl std::error::Error for ClientEnd {}

/// The end of a client connection, as a result's error.
pub(super) type Ended = Report<ClientEnd>;

/// A client's socket.
pub(super) struct ClientStream {
    stream: TcpStream,
    write_patience: Duration,
    /// Bytes received and not yet taken.
    pub input: BytesMut,
    /// Bytes to be sent.
    pub output: BytesMut,
}

impl ClientStream {
    /// Wraps an accepted socket; a write without progress for `write_patience` ends it.
    pub fn new(stream: TcpStream, write_patience: Duration) -> Self {
        // Without it small answers wait for acknowledgements; the connection works either way.
        let _ = stream.set_nodelay(true);
        ClientStream {
            stream,
            write_patience,
            input: BytesMut::new(),
            output: BytesMut::new(),
        }
    }

    /// Reads some bytes into the input. Safe to cancel.
    ///
    /// # Errors
    ///
    /// When the client has closed the connection or it broke.
    pub async fn read_some(&mut self) -> Result<(), Ended> {
        self.input.reserve(READ_SIZE);
        let read = self.stream.read_buf(&mut self.input).await;
        match read.change_context(ClientEnd::Vanished)? {
            0 => Err(Report::new(ClientEnd::Vanished)),
            _ => Ok(()),
        }
    }

    /// Whether more input may be read while a statement runs.
    pub fn has_room_to_read_ahead(&self) -> bool {
        self.input.len() < READ_AHEAD
    }

    /// Whether enough output is gathered to write it.
    pub fn should_flush(&self) -> bool {
        self.output.len() >= OUTPUT_THRESHOLD
    }

    /// Writes all output.
    ///
    /// # Errors
    ///
    /// When the client takes no bytes in time or the connection broke.
    pub async fn flush(&mut self) -> Result<(), Ended> {
        while self.output.has_remaining() {
            let write = self.stream.write_buf(&mut self.output);
            let written = timeout(self.write_patience, write)
                .await
                .change_context(ClientEnd::TooSlow)?;
            if written.change_context(ClientEnd::Vanished)? == 0 {
                return Err(Report::new(ClientEnd::Vanished));
            }
        }
        Ok(())
    }

    /// Gives back the memory of empty buffers: most connections are idle most of the time.
    pub fn release_buffers(&mut self) {
        for buffer in [&mut self.input, &mut self.output] {
            if buffer.is_empty() {
                *buffer = BytesMut::new();
            }
        }
    }

    /// Skips `length` bytes of input, holding none of them.
    ///
    /// # Errors
    ///
    /// When the client sends nothing in time or the connection broke.
    pub async fn skip(&mut self, length: usize) -> Result<(), Ended> {
        let mut left = length;
        loop {
            let skipped = left.min(self.input.len());
            self.input.advance(skipped);
            left -= skipped;
            if left == 0 {
                return Ok(());
            }
            let patience = self.write_patience;
            timeout(patience, self.read_some())
                .await
                .change_context(ClientEnd::TooSlow)??;
        }
    }

    /// Writes what is left and closes, giving the client a moment to take the last message:
    /// closing with unread input would make the system discard it.
    pub async fn close(mut self) {
        if self.flush().await.is_err() || self.stream.shutdown().await.is_err() {
            return;
        }
        let drain = async {
            loop {
                self.input.clear();
                if self.read_some().await.is_err() {
                    return;
                }
            }
        };
        // The client may never close its side; then the time limit does.
        let _ = timeout(LINGER, drain).await;
    }
}
