//! Notes by which policy version each proxy serves, as its status tells.

use std::sync::Arc;
use std::time::Duration;

use futures::future::join_all;
use serde::Deserialize;

use super::topology::{ProxyPlace, Topology};
use crate::load::Recorder;
use crate::oracle::PolicyObserved;

/// The time between two looks at a proxy.
const LOOK_INTERVAL: Duration = Duration::from_millis(500);
/// How long a proxy may take to answer.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(1);

#[derive(Debug, Deserialize)]
struct Status {
    policy: Option<StatusPolicy>,
}

#[derive(Debug, Deserialize)]
struct StatusPolicy {
    version: u64,
}

/// Looks at all proxies again and again; never ends by itself.
pub async fn watch_policies(topology: Arc<Topology>, recorder: Recorder) {
    let client = reqwest::Client::builder()
        .no_proxy()
        .timeout(ANSWER_TIMEOUT)
        .build();
    let Ok(client) = client else {
        return;
    };
    let watches = topology
        .proxies
        .iter()
        .map(|proxy| watch_proxy(&client, proxy, &recorder));
    join_all(watches).await;
}

async fn watch_proxy(client: &reqwest::Client, proxy: &ProxyPlace, recorder: &Recorder) {
    let url = format!("http://{}/status", proxy.admin);
    loop {
        let at = recorder.now();
        if let Some(version) = policy_version(client, &url).await {
            recorder.policy_observed(PolicyObserved {
                at,
                proxy: proxy.name.as_str().to_owned(),
                version,
            });
        }
        tokio::time::sleep(LOOK_INTERVAL).await;
    }
}

/// The version that a proxy serves by; none when it does not answer or knows no policy.
async fn policy_version(client: &reqwest::Client, url: &str) -> Option<u64> {
    let response = client.get(url).send().await.ok()?;
    let status: Status = response.json().await.ok()?;
    status.policy.map(|policy| policy.version)
}
