//! The tables of a server: SQLite files, one for each generation.

use std::path::PathBuf;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicI64, AtomicU64, Ordering};

use rusqlite::Connection;
use rusqlite::functions::FunctionFlags;
use rusqlite::types::Value;
use tempfile::TempDir;

use super::record::{LoggedStatement, Record, StatementContext};
use super::schema::SchemaCache;

/// How many prepared statements a connection keeps.
const STATEMENT_CACHE: usize = 64;
/// How often, in virtual machine steps, a running statement looks whether it was cancelled.
const CANCEL_CHECK_STEPS: i32 = 1_000;

const CONNECTION_PRAGMAS: &str = "PRAGMA busy_timeout = 5000; PRAGMA journal_mode = WAL; PRAGMA synchronous = OFF; \
     PRAGMA foreign_keys = ON;";

const FIRST_TABLES: &str = "\
    CREATE TABLE spurpier_fence (epoch BIGINT NOT NULL, open BOOLEAN NOT NULL);
    INSERT INTO spurpier_fence (epoch, open) VALUES (0, 1);
    CREATE TABLE spurpier_request (request_key TEXT PRIMARY KEY, statement_digest BIGINT, \
        command_tag TEXT, answer BYTEA, created_at_ms BIGINT);
    CREATE TABLE spurpier_follow (addresses TEXT NOT NULL);
    INSERT INTO spurpier_follow (addresses) VALUES ('');";

/// The directory with a server's tables; removed with the value.
#[derive(Debug)]
pub(crate) struct Tables {
    directory: TempDir,
}

impl Tables {
    /// An empty directory.
    pub(crate) fn new() -> std::io::Result<Self> {
        let directory = tempfile::Builder::new()
            .prefix("spurpier-database-")
            .tempdir()?;
        Ok(Tables { directory })
    }

    fn path(&self, generation: u64) -> PathBuf {
        self.directory
            .path()
            .join(format!("tables-{generation}.sqlite"))
    }

    /// Makes the first tables of a generation and forgets the generation before.
    pub(crate) fn create(&self, generation: u64) -> rusqlite::Result<TableConnection> {
        if let Some(previous) = generation.checked_sub(1) {
            // Connections that still have it open keep it until they close.
            let _ = std::fs::remove_file(self.path(previous));
        }
        let tables = TableConnection::open(self.path(generation), generation)?;
        tables.connection.execute_batch(FIRST_TABLES)?;
        Ok(tables)
    }

    /// Opens the tables of a generation that was created.
    pub(crate) fn open(&self, generation: u64) -> rusqlite::Result<TableConnection> {
        TableConnection::open(self.path(generation), generation)
    }
}

/// What the volatile SQL functions of a connection answer; set before each statement.
#[derive(Debug, Default)]
struct ContextCell {
    clock_ms: AtomicI64,
    random_state: AtomicU64,
    in_recovery: AtomicBool,
}

/// A connection to the tables of one generation.
#[derive(Debug)]
pub(crate) struct TableConnection {
    /// The generation.
    pub generation: u64,
    /// The SQLite connection.
    pub connection: Connection,
    /// The declared types of the columns.
    pub schema: SchemaCache,
    context: Arc<ContextCell>,
}

/// The rows of a statement and the number of rows that it changed.
#[derive(Debug, Default)]
pub(crate) struct StatementResult {
    /// The rows.
    pub rows: Vec<Vec<Value>>,
    /// How many rows a write changed.
    pub changes: u64,
}

impl TableConnection {
    fn open(path: PathBuf, generation: u64) -> rusqlite::Result<Self> {
        let connection = Connection::open(path)?;
        connection.execute_batch(CONNECTION_PRAGMAS)?;
        connection.set_prepared_statement_cache_capacity(STATEMENT_CACHE);
        let context = Arc::new(ContextCell::default());
        add_functions(&connection, &context)?;
        Ok(TableConnection {
            generation,
            connection,
            schema: SchemaCache::default(),
            context,
        })
    }

    /// Interrupts running statements whenever `cancelled` is set.
    pub(crate) fn watch_cancellation(
        &mut self,
        cancelled: Arc<AtomicBool>,
    ) -> rusqlite::Result<()> {
        let handler = move || cancelled.load(Ordering::Acquire);
        self.connection
            .progress_handler(CANCEL_CHECK_STEPS, Some(handler))
    }

    /// Sets what `pg_is_in_recovery()` answers: whether the server is a replica.
    pub(crate) fn set_in_recovery(&self, in_recovery: bool) {
        self.context
            .in_recovery
            .store(in_recovery, Ordering::Relaxed);
    }

    /// Runs a statement to its end.
    pub(crate) fn run(
        &self,
        sql: &str,
        parameters: &[Value],
        context: StatementContext,
    ) -> rusqlite::Result<StatementResult> {
        self.context
            .clock_ms
            .store(context.clock_ms, Ordering::Relaxed);
        self.context
            .random_state
            .store(context.seed, Ordering::Relaxed);
        let mut statement = self.connection.prepare_cached(sql)?;
        let expected = statement.parameter_count();
        for (index, value) in parameters.iter().enumerate().take(expected) {
            statement.raw_bind_parameter(index + 1, value)?;
        }
        let columns = statement.column_count();
        let mut result = StatementResult::default();
        let mut rows = statement.raw_query();
        while let Some(row) = rows.next()? {
            let values: rusqlite::Result<Vec<Value>> =
                (0..columns).map(|column| row.get(column)).collect();
            result.rows.push(values?);
        }
        drop(rows);
        drop(statement);
        result.changes = self.connection.changes();
        Ok(result)
    }

    /// Runs a statement of the log.
    pub(crate) fn replay(&self, statement: &LoggedStatement) -> rusqlite::Result<()> {
        let parameters: Vec<Value> = statement.parameters.iter().map(Value::from).collect();
        self.run(&statement.sql, &parameters, statement.context)?;
        Ok(())
    }

    /// Applies records in one transaction.
    pub(crate) fn apply(&self, records: &[Arc<Record>]) -> rusqlite::Result<()> {
        self.connection.execute_batch("BEGIN IMMEDIATE")?;
        let statements = records.iter().flat_map(|record| &record.statements);
        for statement in statements {
            if let Err(error) = self.replay(statement) {
                let _ = self.connection.execute_batch("ROLLBACK");
                return Err(error);
            }
        }
        self.connection.execute_batch("COMMIT")
    }

    /// Rolls back whatever transaction is open.
    pub(crate) fn roll_back(&self) {
        if !self.connection.is_autocommit() {
            let _ = self.connection.execute_batch("ROLLBACK");
        }
    }
}

fn add_functions(connection: &Connection, context: &Arc<ContextCell>) -> rusqlite::Result<()> {
    let flags = FunctionFlags::SQLITE_UTF8;
    for name in ["now", "clock_timestamp"] {
        let cell = Arc::clone(context);
        connection.create_scalar_function(name, 0, flags, move |_| {
            Ok(timestamp_text(cell.clock_ms.load(Ordering::Relaxed)))
        })?;
    }
    let cell = Arc::clone(context);
    connection.create_scalar_function("pg_is_in_recovery", 0, flags, move |_| {
        Ok(cell.in_recovery.load(Ordering::Relaxed))
    })?;
    let cell = Arc::clone(context);
    connection.create_scalar_function("random", 0, flags, move |_| Ok(next_random(&cell)))
}

/// A number from 0 up to 1, as PostgreSQL's `random()`; one step of splitmix64.
fn next_random(cell: &ContextCell) -> f64 {
    const INCREMENT: u64 = 0x9E37_79B9_7F4A_7C15;
    const MANTISSA_BITS: u32 = 53;
    let state = cell
        .random_state
        .fetch_add(INCREMENT, Ordering::Relaxed)
        .wrapping_add(INCREMENT);
    let mixed = (state ^ (state >> 30)).wrapping_mul(0xBF58_476D_1CE4_E5B9);
    let mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94D0_49BB_1331_11EB);
    let mixed = mixed ^ (mixed >> 31);
    (mixed >> (u64::BITS - MANTISSA_BITS)) as f64 / (1_u64 << MANTISSA_BITS) as f64
}

/// `YYYY-MM-DD HH:MM:SS.mmm+00` of a time in milliseconds since 1970.
fn timestamp_text(clock_ms: i64) -> String {
    const DAY_MS: i64 = 86_400_000;
    let day = clock_ms.div_euclid(DAY_MS);
    let time = clock_ms.rem_euclid(DAY_MS);
    let (year, month, date) = civil_date(day);
    let (hour, minute) = (time / 3_600_000, time / 60_000 % 60);
    let (second, millisecond) = (time / 1_000 % 60, time % 1_000);
    format!("{year:04}-{month:02}-{date:02} {hour:02}:{minute:02}:{second:02}.{millisecond:03}+00")
}

/// Year, month and day of the month of a day counted from 1970-01-01, in the Gregorian calendar.
fn civil_date(day: i64) -> (i64, i64, i64) {
    const DAYS_PER_ERA: i64 = 146_097;
    const DAYS_FROM_ERA_TO_1970: i64 = 719_468;
    let shifted = day + DAYS_FROM_ERA_TO_1970;
    let era = shifted.div_euclid(DAYS_PER_ERA);
    let day_of_era = shifted.rem_euclid(DAYS_PER_ERA);
    let year_of_era =
        (day_of_era - day_of_era / 1_460 + day_of_era / 36_524 - day_of_era / 146_096) / 365;
    let day_of_year = day_of_era - (365 * year_of_era + year_of_era / 4 - year_of_era / 100);
    let shifted_month = (5 * day_of_year + 2) / 153;
    let date = day_of_year - (153 * shifted_month + 2) / 5 + 1;
    let month = if shifted_month < 10 {
        shifted_month + 3
    } else {
        shifted_month - 9
    };
    let year = year_of_era + era * 400 + i64::from(month <= 2);
    (year, month, date)
}
