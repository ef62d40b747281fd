//! Infers the types of a statement's parameters from where they stand.

use sqlparser::tokenizer::Token;

use super::schema::SchemaCache;
use super::sql_text::{StatementKind, StatementText, identifier, is_word, parameter_index, word};
use super::sql_type::SqlType;

/// The types of a statement's parameters; `declared` are the OIDs that the client gave.
pub(crate) fn infer(
    statement: &StatementText,
    declared: &[u32],
    schema: &SchemaCache,
) -> Vec<SqlType> {
    let tokens = &statement.tokens;
    let indexes = tokens.iter().filter_map(parameter_index);
    let count = indexes.map(|index| index + 1).max().unwrap_or(0);
    let declared = declared.iter().map(|oid| SqlType::from_oid(*oid));
    let mut types = Types {
        known: declared.collect(),
    };
    types.known.resize(types.known.len().max(count), None);
    if let StatementKind::Call(call) = &statement.kind {
        for (index, kind) in call.parameter_types() {
            types.learn(index, Some(kind));
        }
    }
    learn_from_casts(tokens, &mut types);
    let tables = mentioned_tables(tokens, schema);
    learn_from_insert(tokens, schema, &mut types);
    learn_from_neighbours(tokens, &tables, schema, &mut types);
    let known = types.known.into_iter();
    known.map(Option::unwrap_or_default).collect()
}

struct Types {
    known: Vec<Option<SqlType>>,
}

impl Types {
    /// Notes the type of a parameter unless one is known.
    fn learn(&mut self, index: usize, kind: Option<SqlType>) {
        if let Some(known) = self.known.get_mut(index) {
            *known = known.or(kind);
        }
    }
}

/// The tables whose names occur in the statement, in lower case.
pub(crate) fn mentioned_tables(tokens: &[Token], schema: &SchemaCache) -> Vec<String> {
    let names = tokens.iter().filter_map(identifier);
    names.filter(|name| schema.table(name).is_some()).collect()
}

/// `$1::type` and `CAST($1 AS type)`.
fn learn_from_casts(tokens: &[Token], types: &mut Types) {
    for (place, token) in tokens.iter().enumerate() {
        let Some(index) = parameter_index(token) else {
            continue;
        };
        let next = tokens.get(place + 1);
        let is_cast = next == Some(&Token::DoubleColon) || is_word(next, "as");
        let kind = tokens.get(place + 2).filter(|_| is_cast);
        let inside_cast = place >= 2 && is_word(tokens.get(place - 2), "cast");
        if next == Some(&Token::DoubleColon) || inside_cast {
            types.learn(
                index,
                kind.map(|kind| SqlType::from_declared(&kind.to_string())),
            );
        }
    }
}

/// `INSERT INTO t (a, b) VALUES ($1, $2), …`, with the column list or without.
fn learn_from_insert(tokens: &[Token], schema: &SchemaCache, types: &mut Types) {
    let Some(into) = tokens.iter().position(|token| is_word(Some(token), "into")) else {
        return;
    };
    let values = tokens
        .iter()
        .position(|token| is_word(Some(token), "values"));
    let Some(values) = values.filter(|values| *values > into) else {
        return;
    };
    let names: Vec<String> = tokens[into + 1..values]
        .iter()
        .filter_map(identifier)
        .collect();
    let table = names.iter().position(|name| schema.table(name).is_some());
    let Some(table) = table else {
        return;
    };
    let columns = schema.table(&names[table]).unwrap_or_default();
    let listed = &names[table + 1..];
    let kind_at = |place: usize| {
        if listed.is_empty() {
            return columns.get(place).map(|column| column.kind);
        }
        let name = listed.get(place)?;
        let mut found = columns.iter().filter(|column| column.name == *name);
        found.next().map(|column| column.kind)
    };
    for (place, index) in lone_parameters(&tokens[values + 1..]) {
        types.learn(index, kind_at(place));
    }
}

/// The parameters that are a whole item of a parenthesised list, with their place in it.
fn lone_parameters(tokens: &[Token]) -> Vec<(usize, usize)> {
    let mut found = Vec::new();
    let mut depth = 0_usize;
    let mut place = 0;
    for (at, token) in tokens.iter().enumerate() {
        match token {
            Token::LParen => {
                depth += 1;
                place = if depth == 1 { 0 } else { place };
            }
            Token::RParen => depth = depth.saturating_sub(1),
            Token::Comma if depth == 1 => place += 1,
            other => {
                let index = parameter_index(other).filter(|_| depth == 1);
                found.extend(
                    index
                        .filter(|_| is_whole_item(tokens, at))
                        .map(|index| (place, index)),
                );
            }
        }
    }
    found
}

fn is_whole_item(tokens: &[Token], at: usize) -> bool {
    let before = at.checked_sub(1).and_then(|before| tokens.get(before));
    let starts = matches!(before, Some(Token::LParen | Token::Comma));
    let ends = matches!(tokens.get(at + 1), Some(Token::RParen | Token::Comma));
    starts && ends
}

/// `column = $1`, `$1 < column`, `column + $1`, `column IN ($1, …)`, `LIMIT $1` and the like.
fn learn_from_neighbours(
    tokens: &[Token],
    tables: &[String],
    schema: &SchemaCache,
    types: &mut Types,
) {
    let column_at = |place: Option<usize>| {
        let name = tokens.get(place?).and_then(identifier)?;
        schema.column(tables, &name)
    };
    let operand_at = |place: Option<usize>| match tokens.get(place?)? {
        Token::Number(digits, _) if digits.contains('.') => Some(SqlType::Float8),
        Token::Number(..) => Some(SqlType::Int4),
        _ => column_at(place),
    };
    for (place, token) in tokens.iter().enumerate() {
        let Some(index) = parameter_index(token) else {
            continue;
        };
        let before = place.checked_sub(1);
        let before_token = before.map(|before| &tokens[before]);
        if is_word(before_token, "limit") || is_word(before_token, "offset") {
            types.learn(index, Some(SqlType::Int8));
        }
        if before_token.is_some_and(is_operator) {
            types.learn(index, operand_at(place.checked_sub(2)));
        }
        if tokens.get(place + 1).is_some_and(is_operator) {
            let qualified = tokens.get(place + 3) == Some(&Token::Period);
            let operand = place + if qualified { 4 } else { 2 };
            types.learn(index, operand_at(Some(operand)));
        }
        types.learn(index, column_at(list_subject(tokens, place)));
    }
}

fn is_operator(token: &Token) -> bool {
    let symbol = matches!(
        token,
        Token::Eq
            | Token::Neq
            | Token::Lt
            | Token::Gt
            | Token::LtEq
            | Token::GtEq
            | Token::Plus
            | Token::Minus
            | Token::Mul
            | Token::Div
    );
    symbol || matches!(word(token).as_deref(), Some("like" | "between"))
}

/// The place of the column before `IN (` or `BETWEEN` where a parameter is part of the list.
fn list_subject(tokens: &[Token], place: usize) -> Option<usize> {
    let before = tokens[..place].iter().rposition(|token| {
        let list_part = matches!(token, Token::Comma | Token::LParen | Token::Placeholder(_));
        !list_part && !is_word(Some(token), "and")
    })?;
    match word(&tokens[before]).as_deref() {
        Some("in") => {
            let negated = is_word(before.checked_sub(1).and_then(|at| tokens.get(at)), "not");
            before.checked_sub(1 + usize::from(negated))
        }
        Some("between") => before.checked_sub(1),
        _ => None,
    }
}
