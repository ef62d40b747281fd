//! The readiness endpoint: tells a load balancer whether this node takes new clients, and gives the
//! node's metrics.

use std::sync::Arc;

use axum::Router;
use axum::http::StatusCode;
use axum::http::header::CONTENT_TYPE;
use axum::routing::get;
use tokio::net::TcpListener;

use crate::context::Context;

impl Context {
    /// Whether this node takes new clients.
    pub fn is_ready(&self) -> bool {
        !self.draining.is_cancelled() && self.in_force().is_some() && *self.directory_known.borrow()
    }
}

/// The path of the metrics.
const METRICS_PATH: &str = "/metrics";
/// The form of the metrics' text.
const METRICS_TYPE: &str = "application/openmetrics-text; version=1.0.0; charset=utf-8";

/// Answers `/metrics` with the metrics and every other path with 200 or 503, for as long as the
/// node runs.
pub async fn serve(context: Arc<Context>, listener: TcpListener) {
    let counted = Arc::clone(&context);
    let answer = move || {
        let context = Arc::clone(&context);
        async move {
            if context.is_ready() {
                StatusCode::OK
            } else {
                StatusCode::SERVICE_UNAVAILABLE
            }
        }
    };
    let metrics = move || {
        let context = Arc::clone(&counted);
        async move {
            let text = context.metrics.text(&context);
            ([(CONTENT_TYPE, METRICS_TYPE)], text)
        }
    };
    let router = Router::new()
        .route(METRICS_PATH, get(metrics))
        .fallback(answer);
    // An endpoint that fails is seen by the load balancer, which asks in vain.
    let _ = axum::serve(listener, router).await;
}
