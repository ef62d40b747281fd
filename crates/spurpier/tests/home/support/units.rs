//! Units as the ingress side opens them.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::BytesMut;
use spurpier::home::{Home, HomeSeams};
use spurpier::settings::Settings;
use spurpier::unit_runner::UnitHandle;
use spurpier_core::identity::{DatabaseName, SessionId, Side};
use spurpier_protocol::unit::{
    Batch, BatchEffect, Freshness, TransactionStatus, UnitKind, UnitOutput, UnitRequest, UnitResult,
};

/// No unit of a test may take longer.
const TEST_BOUND: Duration = Duration::from_secs(20);

/// Waits for what must happen.
pub async fn bounded<T>(future: impl Future<Output = T>) -> T {
    tokio::time::timeout(TEST_BOUND, future).await.unwrap()
}

/// What came of a unit.
#[derive(Debug, Clone, PartialEq)]
pub struct Outcome {
    /// The message kinds and the texts of rows, tags and errors, in order.
    pub answer: Vec<String>,
    pub ends: Vec<TransactionStatus>,
    pub result: UnitResult,
}

/// One side of the database of the tests and the addresses of its servers.
pub type SideServers<'a> = (&'a str, &'a [SocketAddr]);

/// Settings for a node before groups of servers; `limits` are lines of that table.
pub fn settings(sides: &[SideServers<'_>], limits: &str) -> Settings {
    let sides: String = sides.iter().map(side_text).collect();
    let text = format!(
        "[node]\nname = \"node\"\nzone = \"z1\"\nregion = \"r\"\n[platform]\nurl = \"\"\n\
         [limits]\nprobe_ms = 20\nprobe_in_doubt_ms = 5\n{limits}\n\
         [[database]]\nname = \"tallies\"\nconnections = 8\nslots = 4\n{sides}"
    );
    toml::from_str(&text).unwrap()
}

fn side_text((side, addresses): &SideServers<'_>) -> String {
    let server = |(number, address): (usize, &SocketAddr)| {
        format!(
            "[[database.side.server]]\nname = \"s{number}\"\naddress = \"{address}\"\n\
             zone = \"z{number}\"\n"
        )
    };
    let servers: String = addresses.iter().enumerate().map(server).collect();
    format!("[[database.side]]\nside = \"{side}\"\n{servers}")
}

/// A home before one group, once it knows the primary.
pub async fn start_home(addresses: &[SocketAddr], limits: &str) -> Home {
    start_home_with(
        &settings(&[("old", addresses)], limits),
        HomeSeams::default(),
    )
    .await
}

/// A home once it knows the primaries of all groups.
pub async fn start_home_with(settings: &Settings, seams: HomeSeams) -> Home {
    let home = Home::start(settings, seams);
    until(|| {
        let groups = home.snapshot().databases.remove(0).groups;
        groups.iter().all(|group| group.primary.is_some())
    })
    .await;
    home
}

/// Waits until a condition holds.
pub async fn until(condition: impl Fn() -> bool) {
    let holds = async {
        while !condition() {
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
    };
    bounded(holds).await;
}

pub fn request(kind: UnitKind) -> UnitRequest {
    UnitRequest {
        session: SessionId::from("session"),
        number: 1,
        database: DatabaseName::from("tallies"),
        side: Side::Old,
        epoch: 0,
        kind,
        freshness: Freshness::Session,
        replica_allowed: true,
        floor: None,
        upstream_floor: None,
        max_wait_ms: 3_000,
        request_key: None,
        statement_digest: 0,
        settings: Vec::new(),
    }
}

/// A batch of one simple query.
pub fn batch(effect: BatchEffect, text: &str) -> Batch {
    let mut messages = BytesMut::new();
    let query = pgwire::messages::simplequery::Query::new(text.to_owned());
    pgwire::messages::Message::encode(&query, &mut messages).unwrap();
    Batch {
        effect,
        prepared: Vec::new(),
        messages: messages.to_vec(),
    }
}

/// Takes all that a unit gives until it is finished.
pub async fn run_unit(mut handle: UnitHandle) -> Outcome {
    let mut bytes = Vec::new();
    let mut ends = Vec::new();
    let finished = async {
        loop {
            match handle.output.recv().await.expect("the unit must finish") {
                UnitOutput::Answer(part) => bytes.extend(part),
                UnitOutput::BatchEnd(status) => ends.push(status),
                UnitOutput::Finished(result) => return result,
            }
        }
    };
    let result = bounded(finished).await;
    Outcome {
        answer: texts(&bytes),
        ends,
        result,
    }
}

/// The parts of an answer as short texts, such as `D lake` and `C SELECT 1`.
fn texts(mut bytes: &[u8]) -> Vec<String> {
    let mut texts = Vec::new();
    while !bytes.is_empty() {
        let length = u32::from_be_bytes(bytes[1..5].try_into().unwrap()) as usize;
        let body = &bytes[5..=length];
        let text = match bytes[0] {
            b'D' => String::from_utf8_lossy(&body[6..]).into_owned(),
            b'E' => sqlstate(body),
            _ => String::from_utf8_lossy(body)
                .trim_end_matches('\0')
                .to_owned(),
        };
        texts.push(format!("{} {text}", char::from(bytes[0])));
        bytes = &bytes[length + 1..];
    }
    texts
}

fn sqlstate(body: &[u8]) -> String {
    let fields = body.split(|byte| *byte == 0);
    let code = fields.filter_map(|field| field.strip_prefix(b"C")).next();
    String::from_utf8_lossy(code.unwrap_or_default()).into_owned()
}
