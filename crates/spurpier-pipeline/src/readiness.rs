//! The readiness endpoint: tells a load balancer whether this node takes new clients.

use std::sync::Arc;

use axum::Router;
use axum::http::StatusCode;
use tokio::net::TcpListener;

use crate::context::Context;

impl Context {
    /// Whether this node takes new clients.
    pub fn is_ready(&self) -> bool {
        !self.draining.is_cancelled() && self.in_force().is_some() && *self.directory_known.borrow()
    }
}

/// Answers every path with 200 or 503, for as long as the node runs.
pub async fn serve(context: Arc<Context>, listener: TcpListener) {
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
    let router = Router::new().fallback(answer);
    // An endpoint that fails is seen by the load balancer, which asks in vain.
    let _ = axum::serve(listener, router).await;
}
