//! The HTTP service of the admin endpoint.

use std::sync::Arc;
use std::time::Instant;

use axum::extract::State;
use axum::http::{StatusCode, header};
use axum::response::{IntoResponse, Response};
use axum::routing::get;
use axum::{Json, Router};
use prometheus_client::registry::Registry;
use tokio::net::TcpListener;
use tokio_util::sync::CancellationToken;

use super::health::Health;
use super::metrics;
use super::status::{StatusReport, StatusSource};
use crate::events;
use crate::log_event;
use crate::settings::NodeSettings;

/// The media type of the metrics' text form.
const METRICS_MEDIA_TYPE: &str = "application/openmetrics-text; version=1.0.0; charset=utf-8";

/// What the admin endpoint serves.
pub struct Admin {
    /// Who the node is.
    pub node: NodeSettings,
    /// When it started.
    pub started_at: Instant,
    /// Whether it listens and whether it is stopping.
    pub health: Arc<Health>,
    /// The parts that contribute to the status.
    pub sources: Vec<Arc<dyn StatusSource>>,
    /// The metrics that the node's parts count by themselves.
    pub registry: Registry,
}

impl Admin {
    /// Gathers the status from all parts.
    pub fn report(&self) -> StatusReport {
        let mut report = StatusReport {
            node: self.node.name.to_string(),
            zone: self.node.zone.to_string(),
            version: env!("CARGO_PKG_VERSION").to_owned(),
            uptime_s: self.started_at.elapsed().as_secs(),
            draining: self.health.is_draining(),
            ..StatusReport::default()
        };
        for source in &self.sources {
            source.contribute(&mut report);
        }
        report
    }

    /// Why the node is not ready for clients; empty when it is.
    fn obstacles(&self) -> Vec<&'static str> {
        let mut obstacles = Vec::new();
        if !self.health.is_listening() {
            obstacles.push("the client listener is not up");
        }
        if self.report().policy.is_none() {
            obstacles.push("no policy is known yet");
        }
        if self.health.is_draining() {
            obstacles.push("the node is draining");
        }
        obstacles
    }
}

/// Serves the admin endpoint until `stop` is cancelled.
pub async fn serve(listener: TcpListener, admin: Arc<Admin>, stop: CancellationToken) {
    let router = Router::new()
        .route("/live", get(live))
        .route("/ready", get(ready))
        .route("/status", get(status))
        .route("/metrics", get(metrics_text))
        .with_state(admin);
    let served = axum::serve(listener, router)
        .with_graceful_shutdown(stop.cancelled_owned())
        .await;
    if let Err(error) = served {
        log_event!(events::node::ADMIN_FAILED, error = error);
    }
}

async fn live() -> &'static str {
    "live\n"
}

async fn ready(State(admin): State<Arc<Admin>>) -> Response {
    let obstacles = admin.obstacles();
    if obstacles.is_empty() {
        return "ready\n".into_response();
    }
    let text = format!("not ready: {}\n", obstacles.join("; "));
    (StatusCode::SERVICE_UNAVAILABLE, text).into_response()
}

async fn status(State(admin): State<Arc<Admin>>) -> Json<StatusReport> {
    Json(admin.report())
}

async fn metrics_text(State(admin): State<Arc<Admin>>) -> Response {
    match metrics::encode(&admin.report(), &admin.registry) {
        Ok(text) => ([(header::CONTENT_TYPE, METRICS_MEDIA_TYPE)], text).into_response(),
        Err(error) => (StatusCode::INTERNAL_SERVER_ERROR, error.to_string()).into_response(),
    }
}
