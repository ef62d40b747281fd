//! The names and types of a statement's result columns.

use rusqlite::Statement;
use sqlparser::tokenizer::Token;

use super::schema::SchemaCache;
use super::sql_text::{identifier, is_word, parameter_index, type_end, word};
use super::sql_type::SqlType;

/// A column of a result.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct ResultColumn {
    /// Its name.
    pub name: String,
    /// Its type.
    pub kind: SqlType,
}

/// What the types of expressions are inferred from.
pub(crate) struct TypeSources<'a> {
    /// The statement as written.
    pub tokens: &'a [Token],
    /// The tables that it mentions.
    pub tables: &'a [String],
    /// The columns of all tables.
    pub schema: &'a SchemaCache,
    /// The types of the parameters.
    pub parameters: &'a [SqlType],
}

/// The result columns of a statement that SQLite has prepared.
pub(crate) fn columns(statement: &Statement<'_>, sources: &TypeSources<'_>) -> Vec<ResultColumn> {
    let items = projection_items(sources.tokens);
    let described: Vec<_> = statement.columns().collect::<Vec<_>>();
    // A star stands for several columns, so that items and columns do not pair up.
    let paired = items.len() == described.len();
    let columns = described.iter().enumerate().map(|(index, column)| {
        let declared = column.decl_type().map(SqlType::from_declared);
        let item = items.get(index).filter(|_| paired);
        let by_expression = || item.and_then(|item| sources.expression_type(item));
        let name = column.name().to_ascii_lowercase();
        let by_name = || sources.schema.column(sources.tables, &name);
        ResultColumn {
            name: item
                .and_then(|item| item_name(item))
                .unwrap_or_else(|| column.name().to_owned()),
            kind: declared
                .or_else(by_expression)
                .or_else(by_name)
                .unwrap_or_default(),
        }
    });
    columns.collect()
}

/// The items of the select list, or of the list behind `RETURNING`.
fn projection_items(tokens: &[Token]) -> Vec<&[Token]> {
    let is_returning = |token: &Token| is_word(Some(token), "returning");
    let returning = tokens.iter().rposition(is_returning);
    let start = returning.or_else(|| first_outside(tokens, "select"));
    let Some(start) = start else {
        return Vec::new();
    };
    let list = &tokens[start + 1..];
    let end = first_outside(list, "from").unwrap_or(list.len());
    split_outside(&list[..end])
}

/// The first place of a word outside parentheses.
fn first_outside(tokens: &[Token], expected: &str) -> Option<usize> {
    let mut depth = 0_usize;
    tokens.iter().position(|token| {
        match token {
            Token::LParen => depth += 1,
            Token::RParen => depth = depth.saturating_sub(1),
            _ => {}
        }
        depth == 0 && is_word(Some(token), expected)
    })
}

/// Splits at the commas outside parentheses.
fn split_outside(tokens: &[Token]) -> Vec<&[Token]> {
    let mut depth = 0_usize;
    let split = tokens.split(|token| {
        match token {
            Token::LParen => depth += 1,
            Token::RParen => depth = depth.saturating_sub(1),
            _ => {}
        }
        depth == 0 && *token == Token::Comma
    });
    split.collect()
}

/// The name that PostgreSQL gives to an item without an alias: that of its function, or `?column?`.
fn item_name(item: &[Token]) -> Option<String> {
    let has_alias = item.iter().any(|token| is_word(Some(token), "as"));
    match item {
        _ if has_alias => None,
        [name, Token::LParen, .., Token::RParen] => word(name),
        [first, ..] if parameter_index(first).is_some() => Some("?column?".to_owned()),
        [Token::Number(..) | Token::SingleQuotedString(_), ..] => Some("?column?".to_owned()),
        _ => None,
    }
}

impl TypeSources<'_> {
    fn expression_type(&self, item: &[Token]) -> Option<SqlType> {
        let alias = item.iter().rposition(|token| is_word(Some(token), "as"));
        let inside_call = alias.is_some_and(|at| item[at..].contains(&Token::RParen));
        let end = alias.filter(|_| !inside_call).unwrap_or(item.len());
        let expression = &item[..end];
        cast_type(expression)
            .or_else(|| comparison_type(expression))
            .or_else(|| self.function_type(expression))
            .or_else(|| self.operand_type(expression))
    }

    fn function_type(&self, expression: &[Token]) -> Option<SqlType> {
        let [name, Token::LParen, arguments @ ..] = expression else {
            return None;
        };
        match word(name)?.as_str() {
            "count" | "length" | "sum" => Some(SqlType::Int8),
            "avg" | "random" => Some(SqlType::Float8),
            "exists" => Some(SqlType::Bool),
            "max" | "min" | "coalesce" | "abs" => self.operand_type(arguments),
            _ => None,
        }
    }

    /// The type of the first operand whose type is known.
    fn operand_type(&self, expression: &[Token]) -> Option<SqlType> {
        expression.iter().find_map(|token| match token {
            Token::Number(digits, _) if digits.contains('.') => Some(SqlType::Float8),
            Token::Number(..) => Some(SqlType::Int4),
            Token::SingleQuotedString(_) => Some(SqlType::Text),
            Token::Word(_) if matches!(word(token).as_deref(), Some("true" | "false")) => {
                Some(SqlType::Bool)
            }
            Token::Word(_) => {
                let name = identifier(token)?;
                self.schema.column(self.tables, &name)
            }
            other => self.parameters.get(parameter_index(other)?).copied(),
        })
    }
}

/// The type of `… ::type` at the end, or of `CAST(… AS type)`.
fn cast_type(expression: &[Token]) -> Option<SqlType> {
    let cast = expression
        .iter()
        .rposition(|token| *token == Token::DoubleColon);
    if let Some(cast) = cast.filter(|cast| type_end(expression, cast + 1) == expression.len()) {
        return Some(SqlType::from_declared(
            &expression.get(cast + 1)?.to_string(),
        ));
    }
    let is_cast = is_word(expression.first(), "cast") && expression.last() == Some(&Token::RParen);
    let place = expression
        .iter()
        .rposition(|token| is_word(Some(token), "as"));
    let kind = expression.get(place.filter(|_| is_cast)? + 1)?;
    Some(SqlType::from_declared(&kind.to_string()))
}

/// Boolean if a comparison stands outside parentheses.
fn comparison_type(expression: &[Token]) -> Option<SqlType> {
    let mut depth = 0_usize;
    let compares = expression.iter().any(|token| {
        match token {
            Token::LParen => depth += 1,
            Token::RParen => depth = depth.saturating_sub(1),
            _ => {}
        }
        let comparison = matches!(
            token,
            Token::Eq | Token::Neq | Token::Lt | Token::Gt | Token::LtEq | Token::GtEq
        );
        let logical = matches!(word(token).as_deref(), Some("and" | "or" | "not" | "is"));
        depth == 0 && (comparison || logical)
    });
    compares.then_some(SqlType::Bool)
}
