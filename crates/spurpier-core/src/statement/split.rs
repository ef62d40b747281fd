//! Splits a text into statements at the semicolons outside quotes and comments.

use std::ops::Range;

use sqlparser::dialect::PostgreSqlDialect;
use sqlparser::tokenizer::{Location, Token, TokenWithSpan, Tokenizer, Whitespace};

/// A statement's tokens and its location in the text.
#[derive(Debug)]
pub(super) struct TokenizedStatement {
    /// The byte range between the surrounding semicolons, including white space and comments.
    pub range: Range<usize>,
    /// The tokens, including white space and comments.
    pub tokens: Vec<Token>,
    /// Whether there is any token other than white space and comments.
    has_significant_tokens: bool,
}

impl TokenizedStatement {
    /// The tokens without white space and comments.
    pub fn significant_tokens(&self) -> Vec<&Token> {
        let meaningful = |token: &&Token| !matches!(token, Token::Whitespace(_));
        self.tokens.iter().filter(meaningful).collect()
    }

    /// The contents of the block comments.
    pub fn comments(&self) -> impl Iterator<Item = &str> {
        self.tokens.iter().filter_map(|token| match token {
            Token::Whitespace(Whitespace::MultiLineComment(text)) => Some(text.as_str()),
            _ => None,
        })
    }
}

/// Splits a text into its non-empty statements; `None` if it cannot be tokenized.
pub(super) fn split_statements(text: &str) -> Option<Vec<TokenizedStatement>> {
    let dialect = PostgreSqlDialect {};
    let tokens = Tokenizer::new(&dialect, text)
        .tokenize_with_location()
        .ok()?;
    let mut offsets = OffsetFinder::new(text);
    let mut statements = Vec::new();
    let mut statement = TokenizedStatement::starting_at(0);
    for TokenWithSpan { token, span } in tokens {
        if token == Token::SemiColon {
            statement.range.end = offsets.offset_of(span.start);
            let next = TokenizedStatement::starting_at(statement.range.end + 1);
            statements.push(std::mem::replace(&mut statement, next));
            continue;
        }
        statement.has_significant_tokens |= !matches!(token, Token::Whitespace(_) | Token::EOF);
        statement.tokens.push(token);
    }
    statement.range.end = text.len();
    statements.push(statement);
    statements.retain(|statement| statement.has_significant_tokens);
    Some(statements)
}

impl TokenizedStatement {
    fn starting_at(offset: usize) -> Self {
        TokenizedStatement {
            range: offset..offset,
            tokens: Vec::new(),
            has_significant_tokens: false,
        }
    }
}

/// Converts lines and columns, queried in ascending order, to byte offsets.
struct OffsetFinder<'text> {
    characters: std::str::CharIndices<'text>,
    text_length: usize,
    line: u64,
    column: u64,
}

impl<'text> OffsetFinder<'text> {
    fn new(text: &'text str) -> Self {
        OffsetFinder {
            characters: text.char_indices(),
            text_length: text.len(),
            line: 1,
            column: 1,
        }
    }

    fn offset_of(&mut self, location: Location) -> usize {
        while (self.line, self.column) < (location.line, location.column) {
            match self.characters.next() {
                None => return self.text_length,
                Some((_, '\n')) => {
                    self.line += 1;
                    self.column = 1;
                }
                Some(_) => self.column += 1,
            }
        }
        self.characters.offset()
    }
}
