//! What a client may conclude from the end of one attempt.

use std::time::Duration;

use tokio_postgres::error::{DbError, Severity};

/// The wait before a retry when the answer names none.
const DEFAULT_RETRY_AFTER: Duration = Duration::from_millis(100);
/// SQLSTATE class of a connection that failed.
const CONNECTION_EXCEPTION_CLASS: &str = "08";
/// SQLSTATE class of a server that intervenes, as by stopping.
const OPERATOR_INTERVENTION_CLASS: &str = "57";

/// Why an attempt did not end with an answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Failure {
    /// The attempt had no effect and never will have.
    NotRun {
        /// The SQLSTATE, or a word for a failure before anything was sent.
        code: String,
        /// When to come back.
        retry_after: Duration,
    },
    /// It ran and is confirmed; only its answer is missing.
    DoneWithoutAnswer {
        /// The SQLSTATE.
        code: String,
    },
    /// Whether it ran cannot be told.
    Unknown {
        /// The SQLSTATE, or a word for a lost connection or a timeout.
        code: String,
    },
}

impl Failure {
    /// The code by which the failure was told: an SQLSTATE, a reason's code or a word.
    pub fn code(&self) -> &str {
        match self {
            Failure::NotRun { code, .. }
            | Failure::DoneWithoutAnswer { code }
            | Failure::Unknown { code } => code,
        }
    }

    /// The failure of an attempt whose connection could not be opened.
    pub fn not_connected() -> Self {
        Failure::NotRun {
            code: "not_connected".to_owned(),
            retry_after: DEFAULT_RETRY_AFTER,
        }
    }

    /// The failure of an attempt that got no answer within the client's patience.
    pub fn timed_out() -> Self {
        Failure::Unknown {
            code: "timed_out".to_owned(),
        }
    }

    /// The failure that an error of the client library means for a request already sent.
    pub fn from_error(error: &tokio_postgres::Error) -> Self {
        match error.as_db_error() {
            Some(database_error) => Failure::from_database_error(database_error),
            None => Failure::Unknown {
                code: "connection_lost".to_owned(),
            },
        }
    }

    fn from_database_error(error: &DbError) -> Self {
        let code = error.code().code().to_owned();
        let detail = Detail::parse(error.detail().unwrap_or_default());
        match detail.outcome {
            Some(ReportedOutcome::NotRun) => Failure::NotRun {
                code: detail.code.unwrap_or(code),
                retry_after: detail.retry_after.unwrap_or(DEFAULT_RETRY_AFTER),
            },
            Some(ReportedOutcome::Done) => Failure::DoneWithoutAnswer { code },
            Some(ReportedOutcome::Unknown) => Failure::Unknown {
                code: detail.code.unwrap_or(code),
            },
            None => Failure::from_server_error(error, code),
        }
    }

    /// An error of the database itself: the statement failed and was rolled back, unless the
    /// connection broke with it.
    fn from_server_error(error: &DbError, code: String) -> Self {
        let breaks = error.parsed_severity() != Some(Severity::Error)
            || code.starts_with(CONNECTION_EXCEPTION_CLASS)
            || code.starts_with(OPERATOR_INTERVENTION_CLASS);
        if breaks {
            return Failure::Unknown { code };
        }
        Failure::NotRun {
            code,
            retry_after: DEFAULT_RETRY_AFTER,
        }
    }
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum ReportedOutcome {
    Done,
    NotRun,
    Unknown,
}

/// The fields of the DETAIL of an error of spurpier's own.
#[derive(Debug, Default)]
struct Detail {
    code: Option<String>,
    outcome: Option<ReportedOutcome>,
    retry_after: Option<Duration>,
}

impl Detail {
    fn parse(text: &str) -> Self {
        let mut detail = Detail::default();
        for (name, value) in text.split(' ').filter_map(|field| field.split_once('=')) {
            match name {
                "code" => detail.code = Some(value.to_owned()),
                "outcome" => detail.outcome = parse_outcome(value),
                "retry_after_ms" => {
                    detail.retry_after = value.parse().ok().map(Duration::from_millis);
                }
                _ => {}
            }
        }
        detail
    }
}

fn parse_outcome(value: &str) -> Option<ReportedOutcome> {
    match value {
        "done" => Some(ReportedOutcome::Done),
        "not_run" => Some(ReportedOutcome::NotRun),
        "unknown" => Some(ReportedOutcome::Unknown),
        _ => None,
    }
}
