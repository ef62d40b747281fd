//! A client's connection: PostgreSQL messages over TCP.

use std::io;

use bytes::BytesMut;
use pgwire::messages::{
    DecodeContext, PgWireBackendMessage, PgWireFrontendMessage, ProtocolVersion,
    SslNegotiationMetaMessage,
};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// How many bytes of answers are gathered before they are sent without being asked for.
const OUTPUT_LIMIT: usize = 64 * 1024;

/// A client's connection.
pub(crate) struct ClientConnection {
    stream: TcpStream,
    input: BytesMut,
    output: BytesMut,
    context: DecodeContext,
}

impl ClientConnection {
    /// A connection whose client has sent nothing yet.
    pub(crate) fn new(stream: TcpStream) -> Self {
        // Without it answers wait for acknowledgements; a failure costs only time.
        let _ = stream.set_nodelay(true);
        ClientConnection {
            stream,
            input: BytesMut::new(),
            output: BytesMut::new(),
            context: DecodeContext::new(ProtocolVersion::PROTOCOL3_0),
        }
    }

    /// Reads the next message; none at the end. May be dropped and called again.
    pub(crate) async fn read(&mut self) -> io::Result<Option<PgWireFrontendMessage>> {
        loop {
            let message = PgWireFrontendMessage::decode(&mut self.input, &self.context)
                .map_err(io::Error::other)?;
            if let Some(message) = message {
                self.note_start(&message);
                return Ok(Some(message));
            }
            if self.stream.read_buf(&mut self.input).await? == 0 {
                return Ok(None);
            }
        }
    }

    /// Whether bytes of a further message have arrived.
    pub(crate) fn has_input(&self) -> bool {
        !self.input.is_empty()
    }

    /// Follows the steps of the start, in which messages have no type byte.
    fn note_start(&mut self, message: &PgWireFrontendMessage) {
        match message {
            PgWireFrontendMessage::SslNegotiation(SslNegotiationMetaMessage::None) => {
                self.context.awaiting_frontend_ssl = false;
            }
            PgWireFrontendMessage::Startup(_) => self.context.awaiting_frontend_startup = false,
            _ => {}
        }
    }

    /// Adds a message to the answers.
    pub(crate) async fn send(&mut self, message: PgWireBackendMessage) -> io::Result<()> {
        message.encode(&mut self.output).map_err(io::Error::other)?;
        if self.output.len() >= OUTPUT_LIMIT {
            self.flush().await?;
        }
        Ok(())
    }

    /// Sends the answers gathered so far.
    pub(crate) async fn flush(&mut self) -> io::Result<()> {
        self.stream.write_all_buf(&mut self.output).await
    }
}
