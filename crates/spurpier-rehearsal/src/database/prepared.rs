//! Statements that have been parsed and described.

use super::parameter_types;
use super::result_types::{self, ResultColumn, TypeSources};
use super::settings::SettingCommand;
use super::sql_error::SqlError;
use super::sql_text::{StatementKind, StatementText};
use super::sql_type::SqlType;
use super::tables::TableConnection;

/// Tables that each group keeps for itself.
const LOCAL_TABLES: [&str; 2] = ["spurpier_fence", "spurpier_follow"];

/// A statement with the types of its parameters and results.
#[derive(Debug, Clone, PartialEq)]
pub(crate) struct Prepared {
    /// The statement.
    pub statement: StatementText,
    /// The types of its parameters.
    pub parameter_types: Vec<SqlType>,
    /// Its result columns; none if it gives no rows.
    pub columns: Vec<ResultColumn>,
    /// Whether it concerns this group alone.
    pub local: bool,
}

impl Prepared {
    /// Describes a statement; `declared` are the parameter types that the client gave.
    pub(crate) fn new(
        statement: StatementText,
        declared: &[u32],
        tables: &mut TableConnection,
    ) -> Result<Self, SqlError> {
        tables.schema.refresh(&tables.connection)?;
        let schema = &tables.schema;
        let parameter_types = parameter_types::infer(&statement, declared, schema);
        let mentioned = parameter_types::mentioned_tables(&statement.tokens, schema);
        let columns = match &statement.kind {
            StatementKind::Read { .. } | StatementKind::Write => {
                let sources = TypeSources {
                    tokens: &statement.tokens,
                    tables: &mentioned,
                    schema,
                    parameters: &parameter_types,
                };
                let prepared = tables.connection.prepare_cached(&statement.sql)?;
                result_types::columns(&prepared, &sources)
            }
            other => fixed_columns(other),
        };
        Ok(Prepared {
            local: mentioned
                .iter()
                .any(|table| LOCAL_TABLES.contains(&table.as_str())),
            statement,
            parameter_types,
            columns,
        })
    }
}

/// Whether a statement can be described without looking at the tables.
pub(crate) fn needs_tables(kind: &StatementKind) -> bool {
    matches!(kind, StatementKind::Read { .. } | StatementKind::Write)
}

/// A statement that needs no tables for its description.
pub(crate) fn describe_without_tables(statement: StatementText) -> Prepared {
    let mut parameter_types = Vec::new();
    if let StatementKind::Call(call) = &statement.kind {
        for (index, kind) in call.parameter_types() {
            let count = parameter_types.len().max(index + 1);
            parameter_types.resize(count, SqlType::default());
            parameter_types[index] = kind;
        }
    }
    Prepared {
        columns: fixed_columns(&statement.kind),
        statement,
        parameter_types,
        local: false,
    }
}

fn fixed_columns(kind: &StatementKind) -> Vec<ResultColumn> {
    match kind {
        StatementKind::Call(call) => call.columns(),
        StatementKind::Setting(SettingCommand::Show(name)) => vec![ResultColumn {
            name: name.clone(),
            kind: SqlType::Text,
        }],
        _ => Vec::new(),
    }
}
