//! What a node knows of the store's tables, handed on to nodes that start while the store is down.
//!
//! A node that starts asks the seeds of its settings, over TCP: one question, one answer.

use std::collections::{BTreeMap, HashMap};
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use nanoserde::{DeBin, SerBin};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Semaphore;
use tokio::time::timeout;

use crate::context::Context;
use crate::ports::{Row, Table};

/// How long one exchange may take.
const EXCHANGE_LIMIT: Duration = Duration::from_millis(600);
/// The greatest answer that is taken, in bytes.
const MAX_ANSWER: u64 = 8 << 20;
/// Questions that are answered at the same time.
const CONCURRENT_ANSWERS: usize = 8;
/// The pause after a failed accept, as when descriptors have run out.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// The tables that are handed on, by the number in a question.
const HANDED_ON: [(u8, Table); 3] = [
    (1, Table::Configuration),
    (2, Table::Servers),
    (3, Table::Nodes),
];

/// A row as it is handed on.
#[derive(Debug, Clone, PartialEq, Eq, SerBin, DeBin)]
struct HandedRow {
    key: String,
    value: Vec<u8>,
    version: u64,
}

/// A table as it is handed on.
#[derive(Debug, Clone, PartialEq, Eq, SerBin, DeBin)]
struct HandedTable {
    rows: Vec<HandedRow>,
}

/// The rows of the tables as this node last saw them.
#[derive(Debug, Default)]
pub struct KnownRows(Mutex<HashMap<Table, BTreeMap<String, Row>>>);

impl KnownRows {
    /// Takes in a whole table.
    pub fn replace(&self, table: Table, rows: &[Row]) {
        let rows = rows.iter().map(|row| (row.key.clone(), row.clone()));
        let mut tables = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        tables.insert(table, rows.collect());
    }

    /// Takes in a row that changed or is gone.
    pub fn change(&self, table: Table, row: &Row) {
        let mut tables = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        let rows = tables.entry(table).or_default();
        if row.gone {
            rows.remove(&row.key);
        } else {
            rows.insert(row.key.clone(), row.clone());
        }
    }

    /// The table as it is handed on; none if it was never read.
    fn handed(&self, table: Table) -> Option<HandedTable> {
        let tables = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        let rows = tables.get(&table)?.values().map(|row| HandedRow {
            key: row.key.clone(),
            value: row.value.to_vec(),
            version: row.version,
        });
        let rows = rows.collect();
        Some(HandedTable { rows })
    }
}

/// Answers the questions of nodes that start; never returns.
pub async fn serve(context: Arc<Context>, listener: TcpListener) {
    let answers = Arc::new(Semaphore::new(CONCURRENT_ANSWERS));
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            tokio::time::sleep(ACCEPT_PAUSE).await;
            continue;
        };
        let Ok(turn) = Arc::clone(&answers).try_acquire_owned() else {
            // The node that asks tries another seed.
            continue;
        };
        let context = Arc::clone(&context);
        tokio::spawn(async move {
            // A node that is gone asks no more.
            let _ = timeout(EXCHANGE_LIMIT, answer(&context, stream)).await;
            drop(turn);
        });
    }
}

async fn answer(context: &Context, mut stream: TcpStream) -> io::Result<()> {
    let asked = stream.read_u8().await?;
    let table = HANDED_ON.iter().find(|(number, _)| *number == asked);
    let known = table.and_then(|(_, table)| context.known_rows.handed(*table));
    if let Some(known) = known {
        stream.write_all(&known.serialize_bin()).await?;
    }
    stream.shutdown().await
}

/// Asks the seeds for a table until one knows it; none if none does.
pub async fn ask_seeds(context: &Context, table: Table) -> Option<Vec<Row>> {
    let (number, _) = HANDED_ON.iter().find(|(_, known)| *known == table)?;
    for seed in &context.settings.seeds {
        if *seed == context.settings.listen.control {
            continue;
        }
        if let Ok(Ok(Some(rows))) = timeout(EXCHANGE_LIMIT, ask(*seed, *number)).await {
            return Some(rows);
        }
    }
    None
}

async fn ask(seed: SocketAddr, number: u8) -> io::Result<Option<Vec<Row>>> {
    let mut stream = TcpStream::connect(seed).await?;
    stream.write_u8(number).await?;
    let mut answer = Vec::new();
    stream.take(MAX_ANSWER).read_to_end(&mut answer).await?;
    let table = HandedTable::deserialize_bin(&answer).ok();
    Ok(table.map(|table| table.rows.into_iter().map(row).collect()))
}

fn row(handed: HandedRow) -> Row {
    Row {
        key: handed.key,
        value: Bytes::from(handed.value),
        version: handed.version,
        gone: false,
    }
}
