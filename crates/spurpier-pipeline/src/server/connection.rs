//! A connection to a server: runs one exchange at a time and returns only complete answers.

use std::collections::BTreeMap;
use std::fmt;
use std::io;
use std::iter;
use std::sync::Arc;
use std::time::Duration;

use bytes::BytesMut;
use spurpier_core::leader::LeadershipProof;
use spurpier_core::position::Position;
use spurpier_core::time::Timestamp;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

use super::pool::Target;
use super::prepared::PreparedStatements;
use crate::locality::{ColdGate, NoLeave, PermitWait, ZoneGate};
use crate::ports::{
    Answer, Completion, EncodeError, ErrorClass, ServerDialect, ServerError, ServerMessage,
    ServerRequest, TransactionState,
};

/// Maximum size of the rows of an answer, in bytes.
const MAX_ANSWER_BYTES: usize = 16 << 20;
/// Minimum free space of the input buffer before a read, in bytes.
const MIN_READ_BYTES: usize = 4 << 10;
/// How long sent bytes may stay unacknowledged before the connection is closed.
const TCP_USER_TIMEOUT: Duration = Duration::from_secs(3);

/// Session values by name.
pub type Values = BTreeMap<String, String>;

/// Why a connection could not be opened.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OpenError {
    /// The address does not answer.
    Unreachable,
    /// The server refused the connection, with this error class.
    Refused(ErrorClass),
    /// The gate of the server's zone is closed: nothing may be sent to the zone.
    Closed,
    /// The server is cold, and no permit to send to it was granted.
    Cold(NoLeave),
}

/// Why an exchange returned no answer. The connection cannot be reused, except after `Cold` and
/// `Inexpressible`.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ExchangeError {
    /// Nothing was sent: the connection was already closed, or its zone's gate is closed.
    NotSent,
    /// The connection failed, and the statement may have run.
    Unclear,
    /// The server is cold, and no permit to send to it was granted. Nothing was sent, and the
    /// connection remains usable.
    Cold(NoLeave),
    /// The dialect cannot express the request. Nothing was sent, and the connection remains usable.
    Inexpressible(EncodeError),
}

impl From<EncodeError> for ExchangeError {
    fn from(error: EncodeError) -> Self {
        ExchangeError::Inexpressible(error)
    }
}

impl fmt::Display for ExchangeError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            ExchangeError::NotSent => "nothing was sent",
            ExchangeError::Unclear => "the connection broke and the statement may have run",
            ExchangeError::Cold(_) => "the server is cold and takes no more for now",
            ExchangeError::Inexpressible(error) => return error.fmt(formatter),
        })
    }
}

/// The message that opens a connection for a caller.
#[derive(Debug)]
pub struct StartUp {
    caller: String,
    message: BytesMut,
}

impl StartUp {
    /// Encodes the message.
    ///
    /// # Errors
    ///
    /// [`EncodeError`] if the dialect cannot express the names of group, caller and server.
    pub fn new(
        target: &Target,
        dialect: &dyn ServerDialect,
        caller: &str,
    ) -> Result<Self, EncodeError> {
        let request = ServerRequest::StartUp {
            group: &target.group,
            caller,
            instance: target.incarnation.name(),
        };
        let mut message = BytesMut::new();
        dialect.encode(&request, &mut message)?;
        let caller = caller.to_owned();
        Ok(StartUp { caller, message })
    }

    /// The caller.
    pub fn caller(&self) -> &str {
        &self.caller
    }
}

/// An open connection to a server.
#[derive(Debug)]
pub struct ServerConnection {
    stream: TcpStream,
    dialect: Arc<dyn ServerDialect>,
    /// Checked before each message is sent.
    zone_gate: Arc<ZoneGate>,
    /// Limits the rate of messages to a cold server; every message passes it.
    cold_gate: Arc<ColdGate>,
    /// Whether only preparing messages were sent since the last statement.
    is_prepared: bool,
    input: BytesMut,
    output: BytesMut,
    /// Number of answers to the proxy's own statements that are still to be read.
    unread: usize,
    /// Whether an exchange has started and not completed.
    busy: bool,
    state: TransactionState,
    /// The log position that the server reported when the connection was opened, and the time of
    /// that request.
    pub opening_proof: LeadershipProof,
    /// The caller that it was opened for.
    pub caller: String,
    /// The session values that were set on it.
    pub values: Values,
    /// The statements that are prepared on it.
    pub prepared: PreparedStatements,
}

impl ServerConnection {
    /// Opens a connection with an opening message; `now` is the message's send time.
    ///
    /// # Errors
    ///
    /// [`OpenError`] if the server cannot be reached, refuses, or may not be sent to.
    pub async fn open(
        target: &Target,
        dialect: Arc<dyn ServerDialect>,
        start_up: &StartUp,
        now: Timestamp,
    ) -> Result<Self, OpenError> {
        if target.zone_gate.is_closed() {
            return Err(OpenError::Closed);
        }
        let stream = TcpStream::connect(target.address).await;
        let stream = stream.map_err(|_| OpenError::Unreachable)?;
        prepare_socket(&stream).map_err(|_| OpenError::Unreachable)?;
        let mut connection = ServerConnection {
            stream,
            dialect,
            zone_gate: Arc::clone(&target.zone_gate),
            cold_gate: Arc::clone(&target.cold_gate),
            is_prepared: false,
            input: BytesMut::new(),
            output: start_up.message.clone(),
            unread: 0,
            busy: false,
            state: TransactionState::Idle,
            opening_proof: LeadershipProof {
                sent_at: now,
                position: Position::ZERO,
            },
            caller: start_up.caller.clone(),
            values: Values::new(),
            prepared: PreparedStatements::default(),
        };
        connection.start_up().await?;
        Ok(connection)
    }

    async fn start_up(&mut self) -> Result<(), OpenError> {
        self.busy = true;
        let passed = self.cold_gate.pass(PermitWait::Refused).await;
        passed.map_err(OpenError::Cold)?;
        if self.zone_gate.is_closed() {
            return Err(OpenError::Closed);
        }
        self.flush().await.map_err(|_| OpenError::Unreachable)?;
        loop {
            let message = self.next_message().await;
            match message.map_err(|_| OpenError::Unreachable)? {
                ServerMessage::Ready { position, .. } => {
                    self.opening_proof.position = position.unwrap_or(Position::ZERO);
                    break;
                }
                ServerMessage::Error(error) => return Err(OpenError::Refused(error.class)),
                ServerMessage::Row(_) | ServerMessage::Complete(_) => {}
            }
        }
        self.busy = false;
        self.is_prepared = true;
        Ok(())
    }

    /// Whether another session can use it: no exchange is running and no transaction is open.
    pub fn is_reusable(&self) -> bool {
        !self.busy && self.state == TransactionState::Idle
    }

    /// Excludes it from further use, as it is unknown what the server has set on it.
    pub fn invalidate(&mut self) {
        self.busy = true;
    }

    /// Whether the server has kept it open, as far as a non-blocking read can detect. Unexpected
    /// data also counts as closed.
    pub fn is_alive(&mut self) -> bool {
        loop {
            let mut chunk = [0_u8; 512];
            match self.stream.try_read(&mut chunk) {
                Ok(0) => return false,
                Ok(_) if self.unread == 0 => return false,
                Ok(length) => self.input.extend_from_slice(&chunk[..length]),
                Err(error) => return error.kind() == io::ErrorKind::WouldBlock,
            }
        }
    }

    /// Sends a statement and reads its complete answer.
    ///
    /// # Errors
    ///
    /// [`ExchangeError`] if no complete answer was read.
    pub async fn exchange(&mut self, request: &ServerRequest<'_>) -> Result<Answer, ExchangeError> {
        self.exchange_all(request, None).await
    }

    /// As [`ServerConnection::exchange`], with a rollback sent immediately after the statement.
    ///
    /// The answer to the rollback is read at the connection's next use.
    ///
    /// # Errors
    ///
    /// [`ExchangeError`] if no complete answer was read.
    pub async fn exchange_and_roll_back(
        &mut self,
        request: &ServerRequest<'_>,
    ) -> Result<Answer, ExchangeError> {
        let rollback = Some(ServerRequest::Rollback);
        self.exchange_all(request, rollback).await
    }

    /// Sends a rollback; its answer is read at the connection's next use.
    ///
    /// # Errors
    ///
    /// [`ExchangeError`] if it could not be sent; closing the connection then rolls back the
    /// transaction.
    pub async fn roll_back(&mut self) -> Result<(), ExchangeError> {
        self.busy = true;
        self.pass(PermitWait::Refused).await?;
        self.queue(&ServerRequest::Rollback, None)?;
        self.unread += 1;
        self.state = TransactionState::Idle;
        let sent = self.flush().await;
        sent.map_err(|_| ExchangeError::Unclear)?;
        self.busy = false;
        Ok(())
    }

    /// Encodes the messages to send next; on an error, none of them.
    fn queue<'a>(
        &mut self,
        request: &ServerRequest<'a>,
        behind: Option<&ServerRequest<'a>>,
    ) -> Result<(), EncodeError> {
        let mut messages = iter::once(request).chain(behind);
        let encoded =
            messages.try_for_each(|message| self.dialect.encode(message, &mut self.output));
        if encoded.is_err() {
            self.output.clear();
        }
        encoded
    }

    async fn exchange_all(
        &mut self,
        request: &ServerRequest<'_>,
        behind: Option<ServerRequest<'static>>,
    ) -> Result<Answer, ExchangeError> {
        if !self.is_alive() {
            self.busy = true;
            return Err(ExchangeError::NotSent);
        }
        self.pass(self.cold_wait(request)).await?;
        // Each message to a cold server needs its own permit, but closing the connection rolls back
        // the transaction without one.
        let behind = behind.filter(|_| !self.cold_gate.is_counted());
        self.queue(request, behind.as_ref())?;
        self.is_prepared = is_preparing(request);
        self.busy = true;
        let earlier = self.unread;
        let sent = self.flush().await;
        sent.map_err(|_| ExchangeError::Unclear)?;
        for _ in 0..earlier {
            self.skip_answer().await?;
        }
        let answer = self.read_answer().await;
        let answer = answer.map_err(|_| ExchangeError::Unclear)?;
        self.unread = 0;
        self.state = answer.state;
        if behind.is_some() {
            self.unread = 1;
            self.state = TransactionState::Idle;
        }
        self.busy = false;
        Ok(answer)
    }

    /// Passes one message through both gates; it must then be sent without delay. The zone gate is
    /// checked last because it may close while the message waits at the cold gate.
    async fn pass(&mut self, cold_wait: PermitWait) -> Result<(), ExchangeError> {
        let passed = self.cold_gate.pass(cold_wait).await;
        passed.map_err(ExchangeError::Cold)?;
        if self.zone_gate.is_closed() {
            // A busy connection is not reused but closed, which also rolls back its transaction.
            self.busy = true;
            return Err(ExchangeError::NotSent);
        }
        Ok(())
    }

    /// Returns how a message waits for a permit to be sent to a cold server.
    fn cold_wait(&self, request: &ServerRequest<'_>) -> PermitWait {
        match request {
            _ if self.state != TransactionState::Idle => PermitWait::Transaction,
            _ if self.is_prepared || is_control_request(request) => PermitWait::Prepared,
            _ => PermitWait::Refused,
        }
    }

    /// Reads the answer to one of the proxy's own statements, which must leave no open transaction.
    async fn skip_answer(&mut self) -> Result<(), ExchangeError> {
        let answer = self.read_answer().await;
        let answer = answer.map_err(|_| ExchangeError::Unclear)?;
        match answer.state {
            TransactionState::Idle => Ok(()),
            TransactionState::Open | TransactionState::Failed => Err(ExchangeError::Unclear),
        }
    }

    async fn flush(&mut self) -> io::Result<()> {
        self.stream.write_all(&self.output).await?;
        self.output.clear();
        Ok(())
    }

    async fn read_answer(&mut self) -> io::Result<Answer> {
        let mut rows = Vec::new();
        let mut size = 0;
        let mut outcome = None;
        loop {
            match self.next_message().await? {
                ServerMessage::Row(row) => {
                    size += row.len();
                    rows.push(row);
                }
                ServerMessage::Complete(signature) => {
                    let signature = Some(signature);
                    outcome = Some(Ok(Completion { signature }));
                }
                ServerMessage::Error(error) => outcome = Some(Err(error)),
                ServerMessage::Ready { state, position } => {
                    return Ok(Answer {
                        rows,
                        outcome: outcome.unwrap_or_else(|| Err(no_outcome())),
                        state,
                        position,
                    });
                }
            }
            if size > MAX_ANSWER_BYTES {
                return Err(io::ErrorKind::InvalidData.into());
            }
        }
    }

    async fn next_message(&mut self) -> io::Result<ServerMessage> {
        loop {
            let decoded = self.dialect.decode(&mut self.input);
            if let Some(message) = decoded.map_err(|_| io::ErrorKind::InvalidData)? {
                return Ok(message);
            }
            self.input.reserve(MIN_READ_BYTES);
            if self.stream.read_buf(&mut self.input).await? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
    }
}

/// Whether the message prepares the connection's session state before a statement.
fn is_preparing(request: &ServerRequest<'_>) -> bool {
    matches!(
        request,
        ServerRequest::Set { .. }
            | ServerRequest::Prepare { .. }
            | ServerRequest::Deallocate { .. }
            | ServerRequest::Reset
    )
}

/// Whether the message is part of a change of the primary.
fn is_control_request(request: &ServerRequest<'_>) -> bool {
    matches!(
        request,
        ServerRequest::Status
            | ServerRequest::Pause { .. }
            | ServerRequest::Resume
            | ServerRequest::StepDown { .. }
    )
}

/// The error for an answer without an outcome: the statement may have run.
fn no_outcome() -> ServerError {
    ServerError {
        class: ErrorClass::InDoubt,
        text: "the server told no outcome".to_owned(),
    }
}

fn prepare_socket(stream: &TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    socket2::SockRef::from(stream).set_tcp_user_timeout(Some(TCP_USER_TIMEOUT))
}
