//! One attempt at a request: its steps on one connection, noted down as one unit.

use std::time::Duration;

use crate::oracle::{Answer, Outcome, ReadFreshness, ReadOfRow, SettingObserved, Unit};

use super::connection::ClientConnection;
use super::outcome::Failure;
use super::plan::{QueryProtocol, RequestPlan, RowCount, Step, StepCheck};

/// A row of an answer as text columns.
type TextRow = Vec<Option<String>>;

/// The column with the tag.
const TAG_COLUMN: usize = 0;
/// The column with the value or title.
const VALUE_COLUMN: usize = 1;
/// The column with the count of rows.
const ROWS_COLUMN: usize = 2;
/// The column that tells whether a replica answered.
const REPLICA_COLUMN: usize = 3;
/// How a server may write that it is a replica.
const TRUE_TEXTS: [&str; 3] = ["t", "true", "1"];

/// Runs the steps of `plan` and notes what they saw into `unit`.
///
/// Gives whether a replica answered, where an answer told.
///
/// # Errors
///
/// The first step's failure. A transaction that has failed is rolled back where the connection
/// still serves.
pub async fn run_steps(
    connection: &ClientConnection,
    plan: &RequestPlan,
    patience: Duration,
    unit: &mut Unit,
) -> Result<Option<bool>, Failure> {
    let mut by_replica = None;
    for step in &plan.steps {
        match run_step(connection, step, patience, unit).await {
            Ok(told) => by_replica = by_replica.or(told),
            Err(failure) => {
                note_missing_answer(step, unit);
                roll_back(connection, plan, patience).await;
                return Err(failure);
            }
        }
        unit.statements_answered += 1;
    }
    Ok(by_replica)
}

async fn roll_back(connection: &ClientConnection, plan: &RequestPlan, patience: Duration) {
    if plan.steps.len() > 1 && !connection.is_closed() {
        // Whether the rollback arrives changes nothing of the outcome.
        let _ = connection.run("ROLLBACK", patience).await;
    }
}

async fn run_step(
    connection: &ClientConnection,
    step: &Step,
    patience: Duration,
    unit: &mut Unit,
) -> Result<Option<bool>, Failure> {
    let rows = match step.protocol {
        QueryProtocol::Simple => run_simple(connection, step, patience).await?,
        QueryProtocol::Extended => run_extended(connection, step, patience).await?,
    };
    let by_replica = told_by_replica(&rows);
    note_answer(&step.check, rows, unit);
    Ok(by_replica)
}

async fn run_simple(
    connection: &ClientConnection,
    step: &Step,
    patience: Duration,
) -> Result<Vec<TextRow>, Failure> {
    let rows = connection.run(&step.statement, patience).await?;
    let to_text = |row: &tokio_postgres::SimpleQueryRow| {
        let columns = 0..row.len();
        columns
            .map(|column| row.get(column).map(str::to_owned))
            .collect()
    };
    Ok(rows.iter().map(to_text).collect())
}

async fn run_extended(
    connection: &ClientConnection,
    step: &Step,
    patience: Duration,
) -> Result<Vec<TextRow>, Failure> {
    let rows = connection.run_extended(&step.statement, patience).await?;
    let to_text = |row: &tokio_postgres::Row| {
        let columns = 0..row.len();
        columns
            .map(|column| row.try_get::<_, Option<String>>(column).ok().flatten())
            .collect()
    };
    Ok(rows.iter().map(to_text).collect())
}

fn told_by_replica(rows: &[TextRow]) -> Option<bool> {
    let text = rows.first().and_then(|row| column(row, REPLICA_COLUMN))?;
    Some(TRUE_TEXTS.contains(&text))
}

fn note_answer(check: &StepCheck, rows: Vec<TextRow>, unit: &mut Unit) {
    match check {
        StepCheck::Nothing => {}
        StepCheck::Tagged { tag, rows: count } => {
            unit.answers.push(tagged_answer(tag, *count, &rows));
        }
        StepCheck::ReadOfRow {
            tag,
            row_key,
            freshness,
        } => {
            unit.answers
                .push(tagged_answer(tag, RowCount::Reported, &rows));
            unit.reads.push(read_of_row(row_key, *freshness, rows));
        }
        StepCheck::Setting { name, expected } => {
            let observed = rows.first().and_then(|row| column(row, 0));
            unit.settings.push(SettingObserved {
                name: name.clone(),
                expected: expected.clone(),
                observed: observed.unwrap_or_default().to_owned(),
            });
        }
    }
}

/// Notes that the answer to a failed step did not arrive.
fn note_missing_answer(step: &Step, unit: &mut Unit) {
    let (StepCheck::Tagged { tag, .. } | StepCheck::ReadOfRow { tag, .. }) = &step.check else {
        return;
    };
    unit.answers.push(Answer {
        asked: tag.clone(),
        rows_expected: 0,
        rows_received: Vec::new(),
        complete: false,
    });
}

fn tagged_answer(tag: &str, count: RowCount, rows: &[TextRow]) -> Answer {
    let tags = rows
        .iter()
        .map(|row| column(row, TAG_COLUMN).unwrap_or_default());
    Answer {
        asked: tag.to_owned(),
        rows_expected: expected_rows(count, rows),
        rows_received: tags.map(str::to_owned).collect(),
        complete: true,
    }
}

fn expected_rows(count: RowCount, rows: &[TextRow]) -> u32 {
    match count {
        RowCount::Exactly(rows) => rows,
        RowCount::Reported => rows
            .first()
            .and_then(|row| column(row, ROWS_COLUMN))
            .and_then(|text| text.parse().ok())
            .unwrap_or(0),
    }
}

fn read_of_row(row_key: &str, freshness: ReadFreshness, rows: Vec<TextRow>) -> ReadOfRow {
    let values = rows.iter().filter_map(|row| column(row, VALUE_COLUMN));
    ReadOfRow {
        row_key: row_key.to_owned(),
        freshness,
        values: values.map(str::to_owned).collect(),
    }
}

fn column(row: &[Option<String>], index: usize) -> Option<&str> {
    row.get(index).and_then(|column| column.as_deref())
}

/// The oracle's word for how an attempt ended.
pub fn outcome_of(result: &Result<Option<bool>, Failure>) -> Outcome {
    match result {
        Ok(_) | Err(Failure::DoneWithoutAnswer { .. }) => Outcome::Done,
        Err(Failure::NotRun { .. }) => Outcome::NotRun,
        Err(Failure::Unknown { .. }) => Outcome::Unknown,
    }
}
