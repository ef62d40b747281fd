//! The start-up of a client connection, up to its first ReadyForQuery.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::{BufMut, BytesMut};
use pgwire::messages::response::TransactionStatus;
use pgwire::messages::startup::{
    Authentication, BackendKeyData, NegotiateProtocolVersion, SecretKey, Startup,
};
use pgwire::messages::{
    DecodeContext, PgWireBackendMessage, PgWireFrontendMessage, ProtocolVersion,
    SslNegotiationMetaMessage,
};
use spurpier_core::reason::Reason;
use tokio::net::TcpStream;
use tokio::sync::OwnedSemaphorePermit;
use tokio::time::timeout;

use super::Shared;
use super::cancel::{CancelKey, CancelSlot};
use super::client_stream::{ClientEnd, ClientStream, Ended};
use super::connection::Connection;
use super::reply::{self, Refusal, Severity, SqlError};
use super::session::ClientSession;
use super::startup_options::StartupOptions;
use crate::{events, log_event};

/// Bytes of the shortest and of the longest packet before authentication.
const PACKET_LENGTHS: std::ops::RangeInclusive<usize> = 8..=10_000;

/// How often a client may ask for encryption before it must start up.
const ENCRYPTION_REQUESTS: usize = 2;

/// The answer to a client that asks for encryption.
const NO_ENCRYPTION: u8 = b'N';

/// The protocol versions that are spoken.
const SPOKEN_VERSIONS: [u16; 2] = [0, 2];

/// The version that clients see.
const SERVER_VERSION: &str = "17.0 (spurpier)";

/// Parameters that every client is told, with their values.
const FIXED_PARAMETERS: &[(&str, &str)] = &[
    ("server_version", SERVER_VERSION),
    ("server_encoding", "UTF8"),
    ("client_encoding", "UTF8"),
    ("integer_datetimes", "on"),
    ("standard_conforming_strings", "on"),
    ("is_superuser", "off"),
    ("default_transaction_read_only", "off"),
];

/// Parameters that a client may set at start-up, with their values when it does not.
const DEFAULT_PARAMETERS: &[(&str, &str)] = &[
    ("application_name", ""),
    ("DateStyle", "ISO, MDY"),
    ("IntervalStyle", "postgres"),
    ("TimeZone", "UTC"),
];

/// What the first packets of a connection amount to.
enum Opening {
    Startup(Startup),
    Cancel(CancelKey),
    Invalid,
}

/// Why a client is turned away at start-up.
enum Rejection {
    Refusal(Refusal),
    Error(SqlError),
}

/// Serves one accepted connection to its end.
pub(super) async fn serve_client(
    stream: TcpStream,
    peer: SocketAddr,
    shared: Arc<Shared>,
    startup_slot: OwnedSemaphorePermit,
) {
    let limits = &shared.context.settings.limits;
    let write_patience = Duration::from_millis(limits.slow_reader_ms);
    let startup_time = Duration::from_millis(limits.startup_ms);
    let mut client = ClientStream::new(stream, write_patience);
    let opening = tokio::select! {
        () = shared.draining.cancelled() => return,
        opening = timeout(startup_time, read_opening(&mut client)) => opening,
    };
    drop(startup_slot);
    match opening {
        // A start-up that never ends is closed without a word: nothing shows that a client of
        // the protocol is there to read one.
        Err(_) | Ok(Err(_)) => {}
        Ok(Ok(Opening::Cancel(key))) => {
            if shared.cancels.cancel(&key) {
                shared.context.counters.count_cancel();
            }
        }
        Ok(Ok(Opening::Invalid)) => {
            let refusal = Refusal::new(Reason::ProtocolViolation);
            log_violation(peer);
            turn_away(client, &shared, peer, Rejection::Refusal(refusal)).await;
        }
        Ok(Ok(Opening::Startup(startup))) => start_session(client, peer, shared, startup).await,
    }
}

/// Reads packets up to the start-up or a cancel request, declining encryption.
async fn read_opening(client: &mut ClientStream) -> Result<Opening, Ended> {
    let mut context = DecodeContext::new(ProtocolVersion::PROTOCOL3_2);
    for _ in 0..=ENCRYPTION_REQUESTS {
        let Some(mut packet) = read_packet(client).await? else {
            return Ok(Opening::Invalid);
        };
        context.awaiting_frontend_ssl = true;
        match PgWireFrontendMessage::decode(&mut packet, &context) {
            Ok(Some(PgWireFrontendMessage::SslNegotiation(SslNegotiationMetaMessage::None))) => {
                context.awaiting_frontend_ssl = false;
                return Ok(decode_opening(packet, &context));
            }
            Ok(Some(PgWireFrontendMessage::SslNegotiation(_))) => {
                client.output.put_u8(NO_ENCRYPTION);
                client.flush().await?;
            }
            _ => return Ok(Opening::Invalid),
        }
    }
    Ok(Opening::Invalid)
}

fn decode_opening(mut packet: BytesMut, context: &DecodeContext) -> Opening {
    match PgWireFrontendMessage::decode(&mut packet, context) {
        Ok(Some(PgWireFrontendMessage::Startup(startup))) => Opening::Startup(startup),
        Ok(Some(PgWireFrontendMessage::CancelRequest(request))) => Opening::Cancel(CancelKey {
            process_id: request.pid,
            secret: request.secret_key.to_bytes(),
        }),
        _ => Opening::Invalid,
    }
}

/// Reads one whole packet without a type; none when its length is not valid.
async fn read_packet(client: &mut ClientStream) -> Result<Option<BytesMut>, Ended> {
    loop {
        if let Some(bytes) = client.input.first_chunk() {
            let length = usize::try_from(u32::from_be_bytes(*bytes)).unwrap_or(usize::MAX);
            if !PACKET_LENGTHS.contains(&length) {
                return Ok(None);
            }
            if client.input.len() >= length {
                return Ok(Some(client.input.split_to(length)));
            }
        }
        client.read_some().await?;
    }
}

async fn start_session(
    mut client: ClientStream,
    peer: SocketAddr,
    shared: Arc<Shared>,
    startup: Startup,
) {
    let options = match admit(&shared, &startup) {
        Ok(options) => options,
        Err(rejection) => return turn_away(client, &shared, peer, rejection).await,
    };
    let Ok(client_slot) = Arc::clone(&shared.client_slots).try_acquire_owned() else {
        let refusal = Refusal::new(Reason::TooManyClients);
        return turn_away(client, &shared, peer, Rejection::Refusal(refusal)).await;
    };
    let version = negotiated_version(startup.protocol_number_minor);
    let slot = Arc::new(CancelSlot::default());
    let key = shared.cancels.register(&slot, version == 2);
    write_greeting(&mut client.output, &startup, &options, &key, version);
    shared.context.counters.client_started();
    if client.flush().await.is_ok() {
        let session = ClientSession::new(&shared.context.settings.node.name, options);
        let process_id = key.process_id;
        Connection::new(Arc::clone(&shared), client, session, slot)
            .run(peer)
            .await;
        shared.cancels.remove(process_id);
    } else {
        shared.cancels.remove(key.process_id);
    }
    shared.context.counters.client_ended();
    drop(client_slot);
}

/// Checks what a client asks for.
fn admit(shared: &Shared, startup: &Startup) -> Result<StartupOptions, Rejection> {
    let options = StartupOptions::read(&startup.parameters).map_err(Rejection::Error)?;
    if options.replication {
        let refusal = Refusal::with_detail(Reason::Unsupported, "replication");
        return Err(Rejection::Refusal(refusal));
    }
    let database = options.database();
    let databases = &shared.context.settings.databases;
    if !databases.iter().any(|known| known.name == database) {
        let refusal = Refusal::with_detail(Reason::UnknownDatabase, database.as_str());
        return Err(Rejection::Refusal(refusal));
    }
    Ok(options)
}

/// The minor version that both sides speak: the client's own or the next lower one.
fn negotiated_version(asked: u16) -> u16 {
    let lower = SPOKEN_VERSIONS
        .iter()
        .rev()
        .find(|spoken| **spoken <= asked);
    lower.copied().unwrap_or(SPOKEN_VERSIONS[0])
}

fn write_greeting(
    output: &mut BytesMut,
    startup: &Startup,
    options: &StartupOptions,
    key: &CancelKey,
    version: u16,
) {
    let unknown_options = &options.unknown_protocol_options;
    if version != startup.protocol_number_minor || !unknown_options.is_empty() {
        let spoken = (3 << 16) | i32::from(version);
        let message = NegotiateProtocolVersion::new(spoken, unknown_options.clone());
        reply::append(
            output,
            PgWireBackendMessage::NegotiateProtocolVersion(message),
        );
    }
    reply::append(
        output,
        PgWireBackendMessage::Authentication(Authentication::Ok),
    );
    for (name, value) in FIXED_PARAMETERS {
        reply::append_parameter(output, name, value);
    }
    reply::append_parameter(output, "session_authorization", &options.user);
    for (name, default) in DEFAULT_PARAMETERS {
        let value = options.reported.get(*name).map_or(*default, String::as_str);
        reply::append_parameter(output, name, value);
    }
    let secret = SecretKey::Bytes(key.secret.clone());
    let message = BackendKeyData::new(key.process_id, secret);
    reply::append(output, PgWireBackendMessage::BackendKeyData(message));
    reply::append_ready(output, TransactionStatus::Idle);
}

/// Tells a client why it is not served, and closes.
async fn turn_away(
    mut client: ClientStream,
    shared: &Shared,
    peer: SocketAddr,
    rejection: Rejection,
) {
    match &rejection {
        Rejection::Refusal(refusal) => {
            shared.context.counters.count_refusal(refusal.reason);
            log_event!(
                events::ingress::CLIENT_REFUSED,
                peer = peer,
                reason = refusal.reason.code()
            );
            reply::append_refusal(&mut client.output, Severity::Fatal, refusal);
        }
        Rejection::Error(error) => {
            log_event!(
                events::ingress::CLIENT_REFUSED,
                peer = peer,
                reason = error.sqlstate
            );
            reply::append_error(&mut client.output, Severity::Fatal, error);
        }
    }
    client.close().await;
}

/// Logs that a client violated the protocol.
pub(super) fn log_violation(peer: SocketAddr) {
    log_event!(events::ingress::CLIENT_PROTOCOL_VIOLATION, peer = peer);
}

/// Logs how a connection ended.
pub(super) fn log_end(peer: SocketAddr, end: ClientEnd, was_at_work: bool) {
    match end {
        ClientEnd::Closed => {}
        ClientEnd::TooSlow => log_event!(events::ingress::CLIENT_TOO_SLOW, peer = peer),
        ClientEnd::Vanished if was_at_work => {
            log_event!(events::ingress::CLIENT_LOST, peer = peer);
        }
        ClientEnd::Vanished => {}
    }
}
