//! Steering of the platform's stand-in: its faults and its machine list.

use std::net::SocketAddr;
use std::time::Duration;

use error_stack::{Report, ResultExt};
use spurpier::platform::wire::Machine;

use super::machines::{MachineError, MachineResult};
use crate::platform::FaultSettings;

const CALL_TIMEOUT: Duration = Duration::from_secs(5);
const PLATFORM: &str = "platform";

/// A client of the stand-in's control calls, which no fault touches.
#[derive(Debug, Clone)]
pub struct PlatformControl {
    http: reqwest::Client,
    base: String,
}

impl PlatformControl {
    /// Control of the stand-in at `address`.
    ///
    /// # Errors
    ///
    /// When no HTTP client can be made.
    pub fn new(address: SocketAddr) -> MachineResult<Self> {
        let http = reqwest::Client::builder()
            .no_proxy()
            .timeout(CALL_TIMEOUT)
            .build()
            .change_context_lazy(|| MachineError::new(PLATFORM, "make a client of"))?;
        Ok(PlatformControl {
            http,
            base: format!("http://{address}/control"),
        })
    }

    /// Lets calls fail from now on.
    ///
    /// # Errors
    ///
    /// When the stand-in does not answer.
    pub async fn set_faults(&self, settings: FaultSettings) -> MachineResult<()> {
        let request = self.http.post(format!("{}/faults", self.base));
        send(request.json(&settings)).await
    }

    /// Adds a machine to the list or changes it.
    ///
    /// # Errors
    ///
    /// When the stand-in does not answer.
    pub async fn put_machine(&self, machine: &Machine) -> MachineResult<()> {
        let request = self.http.put(self.machine_url(&machine.name));
        send(request.json(machine)).await
    }

    /// Takes a machine off the list.
    ///
    /// # Errors
    ///
    /// When the stand-in does not answer.
    pub async fn remove_machine(&self, name: &str) -> MachineResult<()> {
        send(self.http.delete(self.machine_url(name))).await
    }

    fn machine_url(&self, name: &str) -> String {
        format!("{}/machines/{name}", self.base)
    }
}

async fn send(request: reqwest::RequestBuilder) -> MachineResult<()> {
    let failure = || MachineError::new(PLATFORM, "control");
    let response = request.send().await.change_context_lazy(failure)?;
    if !response.status().is_success() {
        let report = Report::new(failure());
        return Err(report.attach(format!("status {}", response.status())));
    }
    Ok(())
}
