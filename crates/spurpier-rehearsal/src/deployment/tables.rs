//! The tables of the rehearsed databases, and what they hold at the end.

use error_stack::Report;

use super::direct::{DirectConnection, DirectError, GroupAccess};
use crate::load::{CATALOGUE_ROWS, CATALOGUE_TABLE, ENTRY_TABLE};
use crate::oracle::{SurvivingGroup, SurvivingRow};

/// Makes the tables and the catalogue on the group's primary and waits until all servers show
/// them.
///
/// # Errors
///
/// When the group has no primary in time or a statement fails.
pub async fn create_tables(database: &str, group: &GroupAccess) -> Result<(), Report<DirectError>> {
    let (primary, _) = group.wait_for_primary().await?;
    let connection = DirectConnection::open(primary.postgres, database).await?;
    let create_entry = format!(
        "CREATE TABLE {ENTRY_TABLE} (row_key TEXT NOT NULL, value TEXT NOT NULL); \
         CREATE INDEX entry_by_row_key ON {ENTRY_TABLE} (row_key)"
    );
    let create_catalogue =
        format!("CREATE TABLE {CATALOGUE_TABLE} (id BIGINT PRIMARY KEY, title TEXT NOT NULL)");
    let rows: Vec<String> = (0..CATALOGUE_ROWS)
        .map(|id| format!("({id}, 'title {id}')"))
        .collect();
    let fill = format!(
        "INSERT INTO {CATALOGUE_TABLE} (id, title) VALUES {}",
        rows.join(", ")
    );
    for statement in [create_entry, create_catalogue, fill] {
        connection.query(&statement).await?;
    }
    group.wait_until_level().await
}

/// Reads all entries from the group's primary, once all servers agree.
///
/// # Errors
///
/// When the servers do not come to agree or the read fails.
pub async fn read_survivors(
    database: &str,
    group: &GroupAccess,
) -> Result<SurvivingGroup, Report<DirectError>> {
    group.wait_until_level().await?;
    let (primary, _) = group.wait_for_primary().await?;
    let connection = DirectConnection::open(primary.postgres, database).await?;
    let rows = connection
        .query(&format!("SELECT row_key, value FROM {ENTRY_TABLE}"))
        .await?;
    let text = |row: &tokio_postgres::SimpleQueryRow, column: usize| {
        row.try_get(column)
            .ok()
            .flatten()
            .unwrap_or_default()
            .to_owned()
    };
    let rows = rows.iter().map(|row| SurvivingRow {
        row_key: text(row, 0),
        value: text(row, 1),
        committed: None,
    });
    Ok(SurvivingGroup {
        database: database.to_owned(),
        rows: rows.collect(),
    })
}
