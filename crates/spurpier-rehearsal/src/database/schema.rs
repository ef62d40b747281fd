//! The declared types of the tables' columns.

use std::collections::HashMap;

use rusqlite::Connection;

use super::sql_type::SqlType;

const COLUMNS_QUERY: &str = "SELECT lower(t.name), lower(c.name), c.type \
    FROM sqlite_master t, pragma_table_info(t.name) c \
    WHERE t.type IN ('table', 'view') ORDER BY t.name, c.cid";

/// A column of a table.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Column {
    /// Its name in lower case.
    pub name: String,
    /// Its declared type.
    pub kind: SqlType,
}

/// The columns of every table as of one schema version.
#[derive(Debug, Default)]
pub(crate) struct SchemaCache {
    version: Option<i64>,
    tables: HashMap<String, Vec<Column>>,
}

impl SchemaCache {
    /// Reads the columns again if the schema has changed.
    pub(crate) fn refresh(&mut self, connection: &Connection) -> rusqlite::Result<()> {
        let version = connection.query_row("PRAGMA schema_version", [], |row| row.get(0))?;
        if self.version == Some(version) {
            return Ok(());
        }
        self.tables.clear();
        let mut statement = connection.prepare_cached(COLUMNS_QUERY)?;
        let mut rows = statement.query([])?;
        while let Some(row) = rows.next()? {
            let table: String = row.get(0)?;
            let declared: String = row.get(2)?;
            let column = Column {
                name: row.get(1)?,
                kind: SqlType::from_declared(&declared),
            };
            self.tables.entry(table).or_default().push(column);
        }
        self.version = Some(version);
        Ok(())
    }

    /// The columns of a table given in lower case.
    pub(crate) fn table(&self, name: &str) -> Option<&[Column]> {
        self.tables.get(name).map(Vec::as_slice)
    }

    /// The type of the column `name` in the first of `tables` that has it.
    pub(crate) fn column(&self, tables: &[String], name: &str) -> Option<SqlType> {
        let columns = tables
            .iter()
            .filter_map(|table| self.table(table))
            .flatten();
        let mut matching = columns.filter(|column| column.name == name);
        matching.next().map(|column| column.kind)
    }
}
