//! What stands before every call of the platform: counting, the rate limit and faults.

use std::sync::{Arc, PoisonError};
use std::time::{Duration, Instant};

use axum::body::Body;
use axum::extract::{Request, State};
use axum::http::{Method, StatusCode, header};
use axum::middleware::Next;
use axum::response::{IntoResponse, Response};
use bytes::Bytes;
use futures::stream;

use super::faults::CallFault;
use super::state::PlatformState;

/// Counts a call and lets it pass, fail or wait.
pub(super) async fn guard(
    State(state): State<Arc<PlatformState>>,
    request: Request,
    next: Next,
) -> Response {
    state.counters.count_call(call_name(&request));
    if let Err(wait) = take_from_rate(&state) {
        state.counters.count_rate_limited();
        return rate_limited(wait);
    }
    let is_write = request.method() != Method::GET;
    match state.faults.next_call() {
        CallFault::None => next.run(request).await,
        CallFault::Down => {
            state.counters.count_unavailable();
            StatusCode::SERVICE_UNAVAILABLE.into_response()
        }
        CallFault::Slow(delay) => {
            tokio::time::sleep(delay).await;
            next.run(request).await
        }
        CallFault::EffectWithoutAnswer(delay) if is_write => {
            next.run(request).await;
            state.counters.count_unanswered();
            tokio::time::sleep(delay).await;
            broken_answer()
        }
        CallFault::EffectWithoutAnswer(_) => next.run(request).await,
    }
}

fn call_name(request: &Request) -> String {
    let path = request.uri().path();
    let first = path.trim_start_matches('/').split('/').next();
    format!("{} /{}", request.method(), first.unwrap_or_default())
}

fn take_from_rate(state: &PlatformState) -> Result<(), Duration> {
    let mut limit = state
        .rate_limit
        .lock()
        .unwrap_or_else(PoisonError::into_inner);
    limit.take(Instant::now())
}

fn rate_limited(wait: Duration) -> Response {
    // The header has whole seconds; rounding down would invite a call that is refused again.
    let seconds = wait.as_secs_f64().ceil().max(1.0);
    let header = (header::RETRY_AFTER, format!("{seconds:.0}"));
    (StatusCode::TOO_MANY_REQUESTS, [header]).into_response()
}

/// An answer whose connection breaks before its body.
fn broken_answer() -> Response {
    let broken = std::io::Error::other("the answer is lost");
    let body = stream::iter([Err::<Bytes, std::io::Error>(broken)]);
    Response::new(Body::from_stream(body))
}
