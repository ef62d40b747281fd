//! Request hints in SQL comments, in the sqlcommenter format (`key='value',...`).

use super::split::TokenizedStatement;

const REQUEST_KEY: &str = "spurpier_request";
const CLASS: &str = "spurpier_class";

/// Hints about a request, read from the comments of its text.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct CommentHints {
    /// The request key, from `spurpier_request`.
    pub request_key: Option<String>,
    /// The class that routing policies see, from `spurpier_class`.
    pub class: Option<String>,
}

/// Collects the hints of all statements; the first occurrence of each key wins.
pub(super) fn find_hints(statements: &[TokenizedStatement]) -> CommentHints {
    let mut hints = CommentHints::default();
    for comment in statements.iter().flat_map(TokenizedStatement::comments) {
        hints.add_from(comment);
    }
    hints
}

impl CommentHints {
    fn add_from(&mut self, comment: &str) {
        for pair in comment.split(',') {
            let Some((key, quoted)) = pair.split_once('=') else {
                continue;
            };
            let quoted = quoted.trim();
            let unquoted = quoted
                .strip_prefix('\'')
                .and_then(|rest| rest.strip_suffix('\''));
            let Some(value) = unquoted.and_then(percent_decode) else {
                continue;
            };
            match key.trim() {
                REQUEST_KEY => self.request_key.get_or_insert(value),
                CLASS => self.class.get_or_insert(value),
                _ => continue,
            };
        }
    }
}

/// Decodes `%XX` sequences; `None` if a sequence is malformed or the result is not UTF-8.
fn percent_decode(text: &str) -> Option<String> {
    let mut bytes = Vec::with_capacity(text.len());
    let mut rest = text.as_bytes();
    while let [first, tail @ ..] = rest {
        rest = tail;
        if *first != b'%' {
            bytes.push(*first);
            continue;
        }
        let digits = std::str::from_utf8(tail.get(..2)?).ok()?;
        bytes.push(u8::from_str_radix(digits, 16).ok()?);
        rest = &tail[2..];
    }
    String::from_utf8(bytes).ok()
}
