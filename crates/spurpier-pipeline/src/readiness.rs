//! HTTP endpoint that serves the readiness check for load balancers and the node's metrics.

use std::sync::Arc;

use axum::Router;
use axum::http::StatusCode;
use axum::http::header::CONTENT_TYPE;
use axum::routing::get;
use tokio::net::TcpListener;

use crate::context::Context;

impl Context {
    /// Whether this node accepts new clients: it is not draining, and it knows the configuration
    /// and the servers.
    pub fn is_ready(&self) -> bool {
        !self.draining.is_cancelled() && self.in_force().is_some() && *self.directory_known.borrow()
    }
}

/// Path of the metrics endpoint.
const METRICS_PATH: &str = "/metrics";
/// Content type of the metrics: OpenMetrics text.
const METRICS_TYPE: &str = "application/openmetrics-text; version=1.0.0; charset=utf-8";

/// Serves `/metrics` with the metrics and every other path with the readiness: 200 if the node
/// accepts new clients, else 503. Runs until the node stops.
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
    // No error handling: if the endpoint fails, the load balancer's health checks fail too.
    let _ = axum::serve(listener, router).await;
}
