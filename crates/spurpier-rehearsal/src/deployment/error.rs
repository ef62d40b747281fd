//! Why a deployment could not be rehearsed.

use std::fmt;

/// What failed; the report's attachments and causes say why.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DeploymentError {
    /// The settings of the deployment or the faults cannot be used.
    Settings,
    /// No addresses or relays.
    Network,
    /// A machine did not start.
    Machines,
    /// The tables could not be made or read.
    Tables,
    /// The first policy was not accepted.
    Policy,
    /// The proxies did not become ready in time.
    NotReady,
}

impl fmt::Display for DeploymentError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            DeploymentError::Settings => "the settings of the rehearsal cannot be used",
            DeploymentError::Network => "the network of the deployment could not be made",
            DeploymentError::Machines => "a machine of the deployment did not start",
            DeploymentError::Tables => "the tables of the deployment could not be made or read",
            DeploymentError::Policy => "the first policy was not accepted",
            DeploymentError::NotReady => "the proxies did not become ready in time",
        })
    }
}

impl std::error::Error for DeploymentError {}
