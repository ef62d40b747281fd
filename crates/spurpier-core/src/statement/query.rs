//! Distinguishes reads from writes by visiting the whole syntax tree.

use std::ops::ControlFlow;

use sqlparser::ast::{
    BinaryOperator, Expr, OnCommit, Query, Select, SetExpr, Statement, TableFactor, UnaryOperator,
    UtilityOption, Visit, Visitor,
};
use sqlparser::dialect::PostgreSqlDialect;
use sqlparser::parser::Parser;
use sqlparser::tokenizer::Token;

use super::StatementClass;
use super::control::keyword;
use super::functions::is_side_effect_free;

/// Classifies a statement that is neither transaction control nor a session command.
pub(super) fn classify_query(text: &str, words: &[&Token]) -> StatementClass {
    if let Some(feature) = unsupported_command(words) {
        return StatementClass::Unsupported(feature);
    }
    let dialect = PostgreSqlDialect {};
    match Parser::parse_sql(&dialect, text).as_deref() {
        Ok([statement]) => classify_statement(statement),
        _ => StatementClass::Write,
    }
}

/// The unsupported feature that the statement uses, recognized by its first keywords: commands that
/// need a dedicated connection or leave state on the connection.
fn unsupported_command(words: &[&Token]) -> Option<&'static str> {
    let texts: Vec<String> = words.iter().take(4).map(|token| keyword(token)).collect();
    let keywords: Vec<&str> = texts.iter().map(String::as_str).collect();
    match keywords.as_slice() {
        ["COPY", ..] => Some("COPY"),
        ["LISTEN" | "UNLISTEN", ..] => Some("LISTEN"),
        ["PREPARE" | "EXECUTE", ..] => Some("PREPARE and EXECUTE as SQL"),
        ["LOAD", ..] => Some("LOAD"),
        ["CREATE", "TEMP" | "TEMPORARY", "TABLE", ..] => None,
        ["CREATE", "TEMP" | "TEMPORARY", ..] => Some("temporary objects"),
        ["START_REPLICATION" | "BASE_BACKUP" | "IDENTIFY_SYSTEM", ..]
        | ["CREATE_REPLICATION_SLOT" | "DROP_REPLICATION_SLOT", ..] => Some("replication"),
        ["DECLARE", ..] if words.iter().any(|token| keyword(token) == "HOLD") => {
            Some("a cursor that outlives its transaction")
        }
        _ => None,
    }
}

fn classify_statement(statement: &Statement) -> StatementClass {
    match statement {
        Statement::Query(_) => read_if(is_read(statement)),
        Statement::Explain {
            statement: inner,
            analyze,
            options,
            ..
        } => {
            let runs = *analyze || options.as_deref().is_some_and(requests_execution);
            read_if(!runs || is_read(inner))
        }
        Statement::CreateTable(table) if table.temporary => match table.on_commit {
            Some(OnCommit::Drop) => StatementClass::Write,
            _ => StatementClass::Unsupported("a temporary table that outlives its transaction"),
        },
        _ => StatementClass::Write,
    }
}

fn read_if(is_read: bool) -> StatementClass {
    if is_read {
        StatementClass::Read
    } else {
        StatementClass::Write
    }
}

/// Whether the options of EXPLAIN may execute the statement: ANALYZE counts with any value, even
/// `false`.
fn requests_execution(options: &[UtilityOption]) -> bool {
    options
        .iter()
        .any(|option| option.name.value.eq_ignore_ascii_case("analyze"))
}

fn is_read(statement: &Statement) -> bool {
    statement.visit(&mut SideEffectVisitor).is_continue()
}

/// Stops at the first syntax tree node that may have a side effect.
struct SideEffectVisitor;

impl SideEffectVisitor {
    fn continue_if(side_effect_free: bool) -> ControlFlow<()> {
        if side_effect_free {
            ControlFlow::Continue(())
        } else {
            ControlFlow::Break(())
        }
    }
}

impl Visitor for SideEffectVisitor {
    type Break = ();

    fn pre_visit_statement(&mut self, statement: &Statement) -> ControlFlow<()> {
        Self::continue_if(matches!(statement, Statement::Query(_)))
    }

    fn pre_visit_query(&mut self, query: &Query) -> ControlFlow<()> {
        let plain = query.locks.is_empty() && query.pipe_operators.is_empty();
        Self::continue_if(plain && is_plain_body(&query.body))
    }

    fn pre_visit_select(&mut self, select: &Select) -> ControlFlow<()> {
        Self::continue_if(select.into.is_none())
    }

    fn pre_visit_table_factor(&mut self, factor: &TableFactor) -> ControlFlow<()> {
        let side_effect_free = match factor {
            TableFactor::Table { name, args, .. } => args.is_none() || is_side_effect_free(name),
            TableFactor::Function { name, .. } => is_side_effect_free(name),
            TableFactor::Derived { .. }
            | TableFactor::TableFunction { .. }
            | TableFactor::UNNEST { .. }
            | TableFactor::NestedJoin { .. } => true,
            _ => false,
        };
        Self::continue_if(side_effect_free)
    }

    fn pre_visit_expr(&mut self, expression: &Expr) -> ControlFlow<()> {
        let side_effect_free = match expression {
            Expr::Function(function) => is_side_effect_free(&function.name),
            Expr::BinaryOp { op, .. } => !is_custom_operator(op),
            Expr::UnaryOp { op, .. } => !matches!(op, UnaryOperator::DoubleAt),
            _ => true,
        };
        Self::continue_if(side_effect_free)
    }
}

/// Whether the body contains no data-modifying statement. Nested queries are checked when they are
/// visited themselves.
fn is_plain_body(body: &SetExpr) -> bool {
    match body {
        SetExpr::Select(_) | SetExpr::Query(_) | SetExpr::Values(_) | SetExpr::Table(_) => true,
        SetExpr::SetOperation { left, right, .. } => is_plain_body(left) && is_plain_body(right),
        SetExpr::Insert(_) | SetExpr::Update(_) | SetExpr::Delete(_) | SetExpr::Merge(_) => false,
    }
}

fn is_custom_operator(operator: &BinaryOperator) -> bool {
    matches!(
        operator,
        BinaryOperator::PGCustomBinaryOperator(_) | BinaryOperator::Custom(_)
    )
}
