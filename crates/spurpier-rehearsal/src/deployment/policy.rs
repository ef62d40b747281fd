//! The policies of a rehearsal, published as an operator would.

use std::net::SocketAddr;
use std::time::Duration;

use error_stack::{Report, ResultExt};
use spurpier::platform::PlatformClient;
use spurpier::policy::operator::{self, PublishError};
use spurpier_core::identity::DatabaseName;

use super::machines::{MachineError, MachineResult};
use crate::load::Recorder;
use crate::oracle::PolicyAccepted;

const DEFAULT_PROGRAM: &str = include_str!("../../policies/default.rhai");
/// How long one call of an operator to the platform may take.
const OPERATOR_TIMEOUT: Duration = Duration::from_secs(5);
const PLATFORM: &str = "platform";

/// Publishes policies and notes what was accepted.
#[derive(Debug, Clone)]
pub struct PolicyOperator {
    client: PlatformClient,
    databases: Vec<DatabaseName>,
    recorder: Recorder,
}

impl PolicyOperator {
    /// An operator that calls the platform at `platform`.
    ///
    /// # Errors
    ///
    /// When the address is no HTTP address.
    pub fn new(
        platform: SocketAddr,
        databases: Vec<DatabaseName>,
        recorder: Recorder,
    ) -> MachineResult<Self> {
        let client = PlatformClient::new(&format!("http://{platform}"), OPERATOR_TIMEOUT)
            .change_context_lazy(|| MachineError::new(PLATFORM, "make a client of"))?;
        Ok(PolicyOperator {
            client,
            databases,
            recorder,
        })
    }

    /// Publishes the first policy.
    ///
    /// # Errors
    ///
    /// When it is not accepted.
    pub async fn publish_first(&self) -> MachineResult<()> {
        self.publish(DEFAULT_PROGRAM, 0)
            .await
            .change_context_lazy(|| MachineError::new(PLATFORM, "publish the first policy to"))
    }

    /// Publishes two conflicting programs for the version after the one in force, at the same
    /// moment; gives whether exactly one of them was accepted.
    pub async fn race(&self, race_number: u64) -> bool {
        let shown = operator::show(&self.client, None).await.ok().flatten();
        let Some(shown) = shown else {
            return false;
        };
        let expect = shown.head.version;
        let [left, right] = ["left", "right"]
            .map(|operator| format!("{DEFAULT_PROGRAM}\n// race {race_number}, {operator}\n"));
        let (left, right) = tokio::join!(self.publish(&left, expect), self.publish(&right, expect));
        left.is_ok() != right.is_ok()
    }

    /// Publishes a program as the version after `expect`.
    ///
    /// # Errors
    ///
    /// See [`PublishError`].
    pub async fn publish(&self, program: &str, expect: u64) -> Result<(), Report<PublishError>> {
        let report = operator::publish(&self.client, program, expect, &self.databases).await?;
        self.recorder.policy_accepted(PolicyAccepted {
            at: self.recorder.now(),
            version: report.head.version,
            moved_databases: Vec::new(),
        });
        Ok(())
    }
}
