//! A connection to a server: one exchange at a time, and whole answers only.

use std::collections::{BTreeMap, HashSet};
use std::fmt;
use std::io;
use std::sync::Arc;
use std::time::Duration;

use bytes::BytesMut;
use spurpier_core::leader::LeadershipProof;
use spurpier_core::position::Position;
use spurpier_core::time::Timestamp;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

use super::pool::Target;
use crate::places::{ColdGate, NoLeave, Patience, ZoneGate};
use crate::ports::{
    Answer, Completion, ErrorClass, ServerDialect, ServerError, ServerMessage, ServerRequest,
    TransactionState,
};

/// The greatest whole answer that is taken, in bytes.
const MAX_ANSWER_BYTES: usize = 16 << 20;
/// How much is read at once, at least.
const MIN_READ_BYTES: usize = 4 << 10;
/// For how long sent bytes may stay unacknowledged before the connection is given up.
const TCP_USER_TIMEOUT: Duration = Duration::from_secs(3);

/// Session values by name.
pub type Values = BTreeMap<String, String>;

/// Why a connection could not be opened.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OpenError {
    /// Nobody answers at the address.
    Unreachable,
    /// The server refused.
    Refused(ErrorClass),
    /// Nothing may be sent to its zone.
    Closed,
    /// The server is cold, and no leave to send to it was given.
    Cold(NoLeave),
}

/// Why an exchange gave no answer; the connection is of no more use.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ExchangeError {
    /// Nothing was sent: the connection was found closed, or nothing may be sent to its zone.
    NotSent,
    /// The statement may have run.
    Unclear,
    /// The server is cold, and no leave to send to it was given: nothing was sent, and the
    /// connection is of use still.
    Cold(NoLeave),
}

impl fmt::Display for ExchangeError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            ExchangeError::NotSent => "nothing was sent",
            ExchangeError::Unclear => "the connection broke and the statement may have run",
            ExchangeError::Cold(_) => "the server is cold and takes no more for now",
        })
    }
}

/// An open connection.
#[derive(Debug)]
pub struct ServerConnection {
    stream: TcpStream,
    dialect: Arc<dyn ServerDialect>,
    /// Asked before each message that is sent.
    zone_gate: Arc<ZoneGate>,
    /// Passed with each message that is sent.
    cold_gate: Arc<ColdGate>,
    /// Whether all that was sent since the last statement only prepared the connection.
    is_prepared: bool,
    input: BytesMut,
    output: BytesMut,
    /// Answers of the proxy's own statements that have not been read yet.
    unread: usize,
    /// Whether an exchange has begun and not ended.
    busy: bool,
    state: TransactionState,
    /// What the server showed of its log when the connection was opened, and when that was asked.
    pub opening_proof: LeadershipProof,
    /// Whom it was opened for.
    pub caller: String,
    /// The session values that were set on it.
    pub values: Values,
    /// The names that were prepared on it.
    pub prepared: HashSet<String>,
}

impl ServerConnection {
    /// Opens a connection for a caller, from `now` on.
    ///
    /// # Errors
    ///
    /// [`OpenError`].
    pub async fn open(
        target: &Target,
        dialect: Arc<dyn ServerDialect>,
        caller: &str,
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
            output: BytesMut::new(),
            unread: 0,
            busy: false,
            state: TransactionState::Idle,
            opening_proof: LeadershipProof {
                sent_at: now,
                position: Position::ZERO,
            },
            caller: caller.to_owned(),
            values: Values::new(),
            prepared: HashSet::new(),
        };
        connection.start_up(target).await?;
        Ok(connection)
    }

    async fn start_up(&mut self, target: &Target) -> Result<(), OpenError> {
        self.busy = true;
        let request = ServerRequest::StartUp {
            group: &target.group,
            caller: &self.caller,
            instance: target.incarnation.name(),
        };
        self.dialect.encode(&request, &mut self.output);
        let passed = self.cold_gate.pass(Patience::Refused).await;
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

    /// Whether it can carry another session's work: no answer is awaited, no transaction is open.
    pub fn is_reusable(&self) -> bool {
        !self.busy && self.state == TransactionState::Idle
    }

    /// Whether the server has not closed it, as far as can be told without waiting.
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

    /// Sends a statement and reads its whole answer.
    ///
    /// # Errors
    ///
    /// [`ExchangeError`].
    pub async fn exchange(&mut self, request: &ServerRequest<'_>) -> Result<Answer, ExchangeError> {
        self.exchange_all(request, None).await
    }

    /// As [`ServerConnection::exchange`], with the drop of the transaction sent right behind it.
    ///
    /// The answer to the drop is read at the connection's next use.
    ///
    /// # Errors
    ///
    /// [`ExchangeError`].
    pub async fn exchange_and_roll_back(
        &mut self,
        request: &ServerRequest<'_>,
    ) -> Result<Answer, ExchangeError> {
        let rollback = Some(ServerRequest::Rollback);
        self.exchange_all(request, rollback).await
    }

    /// Sends the drop of the transaction; its answer is read at the connection's next use.
    ///
    /// # Errors
    ///
    /// [`ExchangeError`]; the transaction is dropped then as its connection is closed.
    pub async fn roll_back(&mut self) -> Result<(), ExchangeError> {
        self.busy = true;
        self.pass(Patience::Refused).await?;
        self.queue_rollback();
        let sent = self.flush().await;
        sent.map_err(|_| ExchangeError::Unclear)?;
        self.busy = false;
        Ok(())
    }

    fn queue_rollback(&mut self) {
        let request = ServerRequest::Rollback;
        self.dialect.encode(&request, &mut self.output);
        self.unread += 1;
        self.state = TransactionState::Idle;
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
        // A cold server takes each message by a leave of its own; closing the connection drops the
        // transaction without one.
        let behind = behind.filter(|_| !self.cold_gate.is_counted());
        self.is_prepared = is_preparing(request);
        self.busy = true;
        self.dialect.encode(request, &mut self.output);
        let earlier = self.unread;
        if let Some(behind) = behind {
            self.dialect.encode(&behind, &mut self.output);
        }
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

    /// Lets one message pass, which must be sent at once. The zone's gate is asked last: it may
    /// close while the other one makes the message wait.
    async fn pass(&mut self, cold_wait: Patience) -> Result<(), ExchangeError> {
        let passed = self.cold_gate.pass(cold_wait).await;
        passed.map_err(ExchangeError::Cold)?;
        if self.zone_gate.is_closed() {
            // A connection that is busy is closed, which drops its transaction too.
            self.busy = true;
            return Err(ExchangeError::NotSent);
        }
        Ok(())
    }

    /// How a message waits for leave to send it to a cold server.
    fn cold_wait(&self, request: &ServerRequest<'_>) -> Patience {
        match request {
            _ if self.state != TransactionState::Idle => Patience::Transaction,
            _ if self.is_prepared || is_control_request(request) => Patience::Prepared,
            _ => Patience::Refused,
        }
    }

    /// Reads the answer of an own statement, which must leave no transaction open.
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

/// Whether it makes a session known to the connection, ahead of a statement.
fn is_preparing(request: &ServerRequest<'_>) -> bool {
    matches!(
        request,
        ServerRequest::Set { .. } | ServerRequest::Prepare { .. } | ServerRequest::Reset
    )
}

/// Whether it serves a change of the primary.
fn is_control_request(request: &ServerRequest<'_>) -> bool {
    matches!(
        request,
        ServerRequest::Status
            | ServerRequest::Pause { .. }
            | ServerRequest::Resume
            | ServerRequest::StepDown { .. }
    )
}

/// An answer without an outcome says nothing of what was run.
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
