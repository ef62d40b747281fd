//! Typed calls to the platform, each with a deadline.
//!
//! Reads and idempotent writes are retried within the call's deadline, with growing pauses and
//! out of a budget that all calls of the client share. A transaction is sent once: only its
//! caller can tell what a lost answer means.

use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use bytes::{Bytes, BytesMut};
use error_stack::{Report, ResultExt};
use reqwest::{Method, RequestBuilder, Response, StatusCode, Url, header};
use serde::de::DeserializeOwned;
use spurpier_core::retry::{Backoff, RetryBudget, RetryBudgetSettings};
use spurpier_core::time::Timestamp;

use super::error::PlatformError;
use super::wire::{Conflicts, MachineList, Row, Rows, Transaction, Written};

/// The greatest answer that is taken, in bytes.
const MAX_ANSWER_BYTES: usize = 16 << 20;

const FIRST_PAUSE: Duration = Duration::from_millis(25);
const LONGEST_PAUSE: Duration = Duration::from_secs(1);
/// A further attempt is made only if this part of the call's time, one in so many, is left for it.
const ATTEMPT_SHARE: u32 = 5;

/// The pause asked for when a rate limit gives none.
const DEFAULT_RETRY_AFTER: Duration = Duration::from_secs(1);

type PlatformResult<T> = Result<T, Report<PlatformError>>;

/// How a transaction ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum TransactOutcome {
    /// All conditions held and all writes were made.
    Made(Written),
    /// Some condition did not hold and nothing was made.
    Conflict(Conflicts),
}

/// A client of the platform; clones share connections and the retry budget.
#[derive(Debug, Clone)]
pub struct PlatformClient {
    shared: Arc<Shared>,
}

#[derive(Debug)]
struct Shared {
    http: reqwest::Client,
    base: Url,
    timeout: Duration,
    started: Instant,
    budget: Mutex<RetryBudget>,
}

/// One call: built anew for each attempt.
#[derive(Debug, Clone)]
struct Call {
    method: Method,
    path: String,
    prefix: Option<String>,
    body: CallBody,
}

#[derive(Debug, Clone)]
enum CallBody {
    None,
    Bytes(Bytes),
    Json(Transaction),
}

impl Call {
    fn read(path: String) -> Self {
        Call {
            method: Method::GET,
            path,
            prefix: None,
            body: CallBody::None,
        }
    }
}

/// A whole answer with one of the statuses that calls expect: 200, 404 or 409.
#[derive(Debug)]
struct Answer {
    status: StatusCode,
    body: Bytes,
}

impl Answer {
    fn json<T: DeserializeOwned>(&self) -> PlatformResult<T> {
        serde_json::from_slice(&self.body).change_context(PlatformError::InvalidAnswer)
    }

    fn is_absent(&self) -> bool {
        self.status == StatusCode::NOT_FOUND
    }

    /// The answer, if the status is 200.
    fn success(self) -> PlatformResult<Answer> {
        if self.status == StatusCode::OK {
            return Ok(self);
        }
        let status = self.status.as_u16();
        Err(Report::new(PlatformError::Refused { status }))
    }
}

impl PlatformClient {
    /// A client of the platform at `url`, whose calls take at most `timeout`, retries included.
    ///
    /// # Errors
    ///
    /// [`PlatformError::InvalidAddress`] when `url` is no HTTP address.
    pub fn new(url: &str, timeout: Duration) -> PlatformResult<PlatformClient> {
        let base = Url::parse(url)
            .change_context(PlatformError::InvalidAddress)
            .attach_with(|| format!("address: {url}"))?;
        if base.scheme() != "http" || base.cannot_be_a_base() {
            return Err(
                Report::new(PlatformError::InvalidAddress).attach(format!("address: {url}"))
            );
        }
        let http = reqwest::Client::builder()
            .no_proxy()
            .redirect(reqwest::redirect::Policy::none())
            .build()
            .change_context(PlatformError::InvalidAddress)?;
        let budget = RetryBudget::new(RetryBudgetSettings::default(), Timestamp::ZERO);
        Ok(PlatformClient {
            shared: Arc::new(Shared {
                http,
                base,
                timeout,
                started: Instant::now(),
                budget: Mutex::new(budget),
            }),
        })
    }

    /// Reads a row; none when it is absent.
    ///
    /// # Errors
    ///
    /// See [`PlatformError`].
    pub async fn read_row(&self, key: &str) -> PlatformResult<Option<Row>> {
        let answer = self
            .retried(Call::read(format!("table/rows/{key}")))
            .await?;
        if answer.is_absent() {
            return Ok(None);
        }
        answer.success()?.json().map(Some)
    }

    /// Reads all rows whose keys start with `prefix`, in the order of the keys.
    ///
    /// # Errors
    ///
    /// See [`PlatformError`].
    pub async fn list_rows(&self, prefix: &str) -> PlatformResult<Vec<Row>> {
        let mut call = Call::read("table/rows".to_owned());
        call.prefix = Some(prefix.to_owned());
        let rows: Rows = self.retried(call).await?.success()?.json()?;
        Ok(rows.rows)
    }

    /// Sends a transaction once.
    ///
    /// # Errors
    ///
    /// See [`PlatformError`]; [`PlatformError::effect_is_unknown`] says whether it may have been
    /// made.
    pub async fn transact(&self, transaction: Transaction) -> PlatformResult<TransactOutcome> {
        let call = Call {
            method: Method::POST,
            path: "table/transact".to_owned(),
            prefix: None,
            body: CallBody::Json(transaction),
        };
        let answer = self.attempt(&call, self.shared.timeout).await?;
        if answer.status == StatusCode::CONFLICT {
            return answer.json().map(TransactOutcome::Conflict);
        }
        answer.success()?.json().map(TransactOutcome::Made)
    }

    /// Stores an object; the same bytes may be stored again.
    ///
    /// # Errors
    ///
    /// See [`PlatformError`]; status 409 when the object holds other bytes.
    pub async fn put_object(&self, name: &str, bytes: Bytes) -> PlatformResult<()> {
        let call = Call {
            method: Method::PUT,
            path: format!("objects/{name}"),
            prefix: None,
            body: CallBody::Bytes(bytes),
        };
        self.retried(call).await?.success()?;
        Ok(())
    }

    /// Reads an object; none when it is absent.
    ///
    /// # Errors
    ///
    /// See [`PlatformError`].
    pub async fn get_object(&self, name: &str) -> PlatformResult<Option<Bytes>> {
        let answer = self.retried(Call::read(format!("objects/{name}"))).await?;
        if answer.is_absent() {
            return Ok(None);
        }
        Ok(Some(answer.success()?.body))
    }

    /// Reads the list of machines, which lags.
    ///
    /// # Errors
    ///
    /// See [`PlatformError`].
    pub async fn machines(&self) -> PlatformResult<MachineList> {
        let call = Call::read("machines".to_owned());
        self.retried(call).await?.success()?.json()
    }

    /// Sends a call that may be repeated until it is answered or its deadline comes.
    async fn retried(&self, call: Call) -> PlatformResult<Answer> {
        let deadline = Instant::now() + self.shared.timeout;
        let mut backoff = Backoff::new(FIRST_PAUSE, LONGEST_PAUSE);
        self.shared.record_attempt();
        loop {
            let remaining = deadline.saturating_duration_since(Instant::now());
            let report = match self.attempt(&call, remaining).await {
                Ok(answer) => return Ok(answer),
                Err(report) => report,
            };
            let error = *report.current_context();
            let mut pause = backoff.next_delay(rand::random());
            if let PlatformError::RateLimited { retry_after } = error {
                pause += retry_after;
            }
            // An attempt that is cut short by the deadline would only hide why the others failed.
            let room = self.shared.timeout / ATTEMPT_SHARE;
            let is_in_time = Instant::now() + pause + room < deadline;
            if !error.is_transient() || !is_in_time || !self.shared.try_retry() {
                return Err(report);
            }
            tokio::time::sleep(pause).await;
        }
    }

    /// Sends a call once and reads its whole answer.
    async fn attempt(&self, call: &Call, timeout: Duration) -> PlatformResult<Answer> {
        let request = self.request(call)?.timeout(timeout);
        let response = request
            .send()
            .await
            .map_err(sending_failed)
            .attach_with(|| format!("call: {} /{}", call.method, call.path))?;
        let status = response.status();
        match status {
            StatusCode::OK | StatusCode::NOT_FOUND | StatusCode::CONFLICT => {
                let body = read_bounded(response)
                    .await
                    .attach_with(|| format!("call: {} /{}", call.method, call.path))?;
                Ok(Answer { status, body })
            }
            StatusCode::TOO_MANY_REQUESTS => {
                let retry_after = retry_after(&response);
                Err(Report::new(PlatformError::RateLimited { retry_after }))
            }
            status if status.is_server_error() => Err(Report::new(PlatformError::Down {
                status: status.as_u16(),
            })),
            status => Err(Report::new(PlatformError::Refused {
                status: status.as_u16(),
            })),
        }
    }

    fn request(&self, call: &Call) -> PlatformResult<RequestBuilder> {
        let mut url = self
            .shared
            .base
            .join(&call.path)
            .change_context(PlatformError::InvalidAddress)?;
        if let Some(prefix) = &call.prefix {
            url.query_pairs_mut().append_pair("prefix", prefix);
        }
        let request = self.shared.http.request(call.method.clone(), url);
        Ok(match &call.body {
            CallBody::None => request,
            CallBody::Bytes(bytes) => request.body(bytes.clone()),
            CallBody::Json(transaction) => request.json(transaction),
        })
    }
}

impl Shared {
    fn record_attempt(&self) {
        let mut budget = self.budget.lock().unwrap_or_else(PoisonError::into_inner);
        budget.record_attempt();
    }

    fn try_retry(&self) -> bool {
        let elapsed = self.started.elapsed();
        let mut budget = self.budget.lock().unwrap_or_else(PoisonError::into_inner);
        budget.try_retry(Timestamp::ZERO + elapsed)
    }
}

fn sending_failed(error: reqwest::Error) -> Report<PlatformError> {
    let context = if error.is_connect() {
        PlatformError::NotSent
    } else {
        PlatformError::AnswerLost
    };
    Report::new(error).change_context(context)
}

async fn read_bounded(mut response: Response) -> PlatformResult<Bytes> {
    let mut body = BytesMut::new();
    loop {
        let chunk = response
            .chunk()
            .await
            .change_context(PlatformError::AnswerLost)?;
        let Some(chunk) = chunk else {
            return Ok(body.freeze());
        };
        if body.len() + chunk.len() > MAX_ANSWER_BYTES {
            return Err(Report::new(PlatformError::InvalidAnswer));
        }
        body.extend_from_slice(&chunk);
    }
}

fn retry_after(response: &Response) -> Duration {
    let header = response.headers().get(header::RETRY_AFTER);
    let seconds = header
        .and_then(|value| value.to_str().ok())
        .and_then(|text| text.parse().ok());
    seconds.map_or(DEFAULT_RETRY_AFTER, Duration::from_secs)
}
