//! One connection to a database server.

use std::collections::HashSet;
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::BytesMut;
use error_stack::{Report, ResultExt};
use pgwire::messages::cancel::CancelRequest;
use pgwire::messages::startup::{Authentication, BackendKeyData, SecretKey, Startup};
use pgwire::messages::{DecodeContext, Message, ProtocolVersion};
use spurpier_core::position::Position;
use spurpier_protocol::unit::{SessionSetting, TransactionStatus};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};

use super::error::{ConnectionBroken, OpenError};
use super::frame::{Frame, FrameKind};
use super::query::{QueryAnswer, encode_query};

/// Bytes that one read asks for.
const READ_BYTES: usize = 16 * 1024;
/// The name under which the node appears at the server.
const APPLICATION_NAME: &str = "spurpier";

/// How a server is reached, and as whom.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServerAddress {
    /// Its PostgreSQL address.
    pub address: SocketAddr,
    /// The user to connect as.
    pub user: String,
    /// The database to connect to.
    pub database: String,
    /// How long opening a connection may take.
    pub timeout: Duration,
}

/// What a cancel request for a connection needs.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CancelKey {
    address: SocketAddr,
    process: i32,
    secret: i32,
}

impl CancelKey {
    /// Sends the cancel request and waits until the server has taken it, which it shows by
    /// closing the connection.
    pub async fn cancel(&self) -> Result<(), Report<ConnectionBroken>> {
        let mut stream = TcpStream::connect(self.address)
            .await
            .change_context(ConnectionBroken)?;
        let mut buffer = BytesMut::new();
        CancelRequest::new(self.process, SecretKey::I32(self.secret))
            .encode(&mut buffer)
            .change_context(ConnectionBroken)?;
        stream
            .write_all(&buffer)
            .await
            .change_context(ConnectionBroken)?;
        let mut nothing = Vec::new();
        stream
            .read_to_end(&mut nothing)
            .await
            .change_context(ConnectionBroken)?;
        Ok(())
    }
}

/// An open connection, and what the home must remember of it between units.
#[derive(Debug)]
pub struct BackEndConnection {
    reader: OwnedReadHalf,
    writer: OwnedWriteHalf,
    incoming: BytesMut,
    outgoing: BytesMut,
    cancel_key: CancelKey,
    expected_ready: usize,
    status: TransactionStatus,
    broken: bool,
    /// The session settings that it has; none when they are not known.
    pub settings: Option<Vec<SessionSetting>>,
    /// The names of the statements that it has prepared.
    pub prepared: HashSet<String>,
    /// The position of the last transaction with a write that it committed.
    pub last_commit: Position,
}

impl BackEndConnection {
    /// Opens a connection and waits until the server is ready.
    ///
    /// # Errors
    ///
    /// [`OpenError::Refused`] when the server says why it refuses, otherwise
    /// [`OpenError::Unreachable`] or [`OpenError::Unsupported`].
    pub async fn open(target: &ServerAddress) -> Result<Self, Report<OpenError>> {
        tokio::time::timeout(target.timeout, Self::open_unbounded(target))
            .await
            .change_context(OpenError::Unreachable)?
    }

    async fn open_unbounded(target: &ServerAddress) -> Result<Self, Report<OpenError>> {
        let stream = TcpStream::connect(target.address)
            .await
            .change_context(OpenError::Unreachable)?;
        stream
            .set_nodelay(true)
            .change_context(OpenError::Unreachable)?;
        let (reader, writer) = stream.into_split();
        let mut connection = BackEndConnection {
            reader,
            writer,
            incoming: BytesMut::with_capacity(READ_BYTES),
            outgoing: BytesMut::new(),
            cancel_key: CancelKey {
                address: target.address,
                process: 0,
                secret: 0,
            },
            expected_ready: 1,
            status: TransactionStatus::Idle,
            broken: false,
            settings: Some(Vec::new()),
            prepared: HashSet::new(),
            last_commit: Position::ZERO,
        };
        connection.start_up(target).await?;
        Ok(connection)
    }

    async fn start_up(&mut self, target: &ServerAddress) -> Result<(), Report<OpenError>> {
        let mut startup = Startup::new();
        let parameters = [
            ("user", target.user.as_str()),
            ("database", target.database.as_str()),
            ("application_name", APPLICATION_NAME),
        ];
        for (name, value) in parameters {
            startup.parameters.insert(name.to_owned(), value.to_owned());
        }
        startup
            .encode(&mut self.outgoing)
            .change_context(OpenError::Unsupported)?;
        loop {
            let frame = self.next().await.change_context(OpenError::Unreachable)?;
            if self.take_startup_frame(&frame)? {
                return Ok(());
            }
        }
    }

    /// Takes in a message of the start-up; true when the server is ready.
    fn take_startup_frame(&mut self, frame: &Frame) -> Result<bool, Report<OpenError>> {
        match frame.bytes()[0] {
            b'Z' => return Ok(true),
            b'E' => {
                let refusal = frame.server_error().map(OpenError::Refused);
                return Err(Report::new(refusal.unwrap_or(OpenError::Unsupported)));
            }
            b'R' => check_authentication(frame)?,
            b'K' => self.take_cancel_key(frame)?,
            _ => {}
        }
        Ok(false)
    }

    fn take_cancel_key(&mut self, frame: &Frame) -> Result<(), Report<OpenError>> {
        let context = DecodeContext::new(ProtocolVersion::PROTOCOL3_0);
        let mut buffer = BytesMut::from(frame.bytes());
        let key = BackendKeyData::decode(&mut buffer, &context)
            .change_context(OpenError::Unsupported)?
            .ok_or(OpenError::Unsupported)?;
        self.cancel_key.process = key.pid;
        self.cancel_key.secret = key.secret_key.as_i32().unwrap_or_default();
        Ok(())
    }

    /// What a cancel request for the running statement needs.
    pub fn cancel_key(&self) -> CancelKey {
        self.cancel_key.clone()
    }

    /// The transaction status at the last ReadyForQuery.
    pub fn status(&self) -> TransactionStatus {
        self.status
    }

    /// How many ReadyForQuery messages are still to come.
    pub fn expected_ready(&self) -> usize {
        self.expected_ready
    }

    /// Whether nothing is outstanding and no transaction is open, so that it may be reused.
    pub fn is_clean(&self) -> bool {
        !self.broken
            && self.expected_ready == 0
            && self.status == TransactionStatus::Idle
            && self.incoming.is_empty()
            && self.outgoing.is_empty()
    }

    /// Whether an idle connection still stands: nothing has come, and it is not closed.
    pub fn is_alive(&mut self) -> bool {
        let mut unexpected = [0_u8; 1];
        let read = self.reader.try_read(&mut unexpected);
        let silent = matches!(&read, Err(error) if error.kind() == ErrorKind::WouldBlock);
        self.broken |= !silent;
        silent
    }

    /// Adds encoded messages that are answered by one ReadyForQuery to what is sent next.
    pub fn queue(&mut self, messages: &[u8]) {
        self.outgoing.extend_from_slice(messages);
        self.expected_ready += 1;
    }

    /// Adds messages that belong to the segment that the next [`Self::queue`] ends.
    pub fn queue_prefix(&mut self, messages: &[u8]) {
        self.outgoing.extend_from_slice(messages);
    }

    /// Adds a simple query to what is sent next.
    pub fn queue_query(&mut self, text: &str) {
        self.queue(&encode_query(text));
    }

    /// Whether a whole message has been read already.
    pub fn has_buffered_frame(&self) -> bool {
        Frame::is_whole_in(&self.incoming)
    }

    /// Sends what is queued and gives the next message of an answer.
    ///
    /// Sending and receiving go on side by side, so that neither waits for the other. Dropping
    /// the future loses nothing.
    ///
    /// # Errors
    ///
    /// [`ConnectionBroken`] when the connection ends or breaks the protocol.
    pub async fn next(&mut self) -> Result<Frame, Report<ConnectionBroken>> {
        let result = self.next_frame().await;
        if result.is_err() {
            self.broken = true;
        }
        result
    }

    async fn next_frame(&mut self) -> Result<Frame, Report<ConnectionBroken>> {
        loop {
            let split = Frame::split_from(&mut self.incoming);
            let frame = split.map_err(|_| Report::new(ConnectionBroken))?;
            match frame {
                Some(frame) if frame.kind() == FrameKind::Asynchronous => {}
                Some(frame) => {
                    self.note_ready(&frame)?;
                    return Ok(frame);
                }
                None => self.transfer().await?,
            }
        }
    }

    fn note_ready(&mut self, frame: &Frame) -> Result<(), Report<ConnectionBroken>> {
        if frame.kind() != FrameKind::ReadyForQuery {
            return Ok(());
        }
        self.status = frame.transaction_status().ok_or(ConnectionBroken)?;
        self.expected_ready = self.expected_ready.checked_sub(1).ok_or(ConnectionBroken)?;
        Ok(())
    }

    /// Reads some bytes, or writes some if any are queued.
    async fn transfer(&mut self) -> Result<(), Report<ConnectionBroken>> {
        self.incoming.reserve(READ_BYTES);
        let sending = !self.outgoing.is_empty();
        tokio::select! {
            biased;
            written = self.writer.write_buf(&mut self.outgoing), if sending => {
                written.change_context(ConnectionBroken)?;
            }
            read = self.reader.read_buf(&mut self.incoming) => {
                if read.change_context(ConnectionBroken)? == 0 {
                    return Err(Report::new(ConnectionBroken).attach("the server closed it"));
                }
            }
        }
        Ok(())
    }

    /// Reads one answer whole, up to its ReadyForQuery.
    ///
    /// # Errors
    ///
    /// [`ConnectionBroken`], also when a fatal error ends the connection.
    pub async fn read_answer(&mut self) -> Result<QueryAnswer, Report<ConnectionBroken>> {
        let mut answer = QueryAnswer::empty();
        loop {
            let frame = self.next().await?;
            if answer.take(&frame)? {
                return Ok(answer);
            }
        }
    }

    /// Runs a simple query of the home's own and reads its answer whole.
    ///
    /// # Errors
    ///
    /// [`ConnectionBroken`].
    pub async fn query(&mut self, text: &str) -> Result<QueryAnswer, Report<ConnectionBroken>> {
        self.queue_query(text);
        self.read_answer().await
    }
}

/// Only servers that trust the node's address are supported.
fn check_authentication(frame: &Frame) -> Result<(), Report<OpenError>> {
    let mut buffer = BytesMut::from(frame.bytes());
    let decoded = Authentication::decode(&mut buffer, &DecodeContext::default());
    match decoded {
        Ok(Some(Authentication::Ok)) => Ok(()),
        _ => Err(Report::new(OpenError::Unsupported)),
    }
}
