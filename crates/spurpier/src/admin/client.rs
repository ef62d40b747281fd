//! Fetches a node's status from its admin endpoint.

use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;

use error_stack::{Report, ResultExt};

use super::status::StatusReport;

/// How long a node may take to answer.
const TIMEOUT: Duration = Duration::from_secs(5);

/// The node gave no usable status; the cause is in the report.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StatusUnavailable {
    /// The node's admin address.
    pub node: SocketAddr,
}

impl fmt::Display for StatusUnavailable {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "no status from the node at {}", self.node)
    }
}

impl std::error::Error for StatusUnavailable {}

/// Fetches the status of the node with the admin endpoint `node`.
///
/// # Errors
///
/// `StatusUnavailable` if the node does not answer in time, or not with a status.
pub async fn fetch(node: SocketAddr) -> Result<StatusReport, Report<StatusUnavailable>> {
    let unavailable = || StatusUnavailable { node };
    let client = reqwest::Client::builder()
        .timeout(TIMEOUT)
        .no_proxy()
        .build()
        .change_context_lazy(unavailable)?;
    let response = client
        .get(format!("http://{node}/status"))
        .send()
        .await
        .and_then(reqwest::Response::error_for_status)
        .change_context_lazy(unavailable)?;
    response.json().await.change_context_lazy(unavailable)
}
