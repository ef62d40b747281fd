//! Deployments of the users, rehearsed on loopback.

mod direct;
mod error;
mod in_process;
mod links;
mod machines;
mod platform_control;
mod policy;
mod policy_watch;
mod ports;
mod proxy_settings;
mod running;
mod settings;
mod tables;
mod topology;

pub use direct::{DirectConnection, DirectError, DirectStatus, GroupAccess};
pub use error::DeploymentError;
pub use in_process::InProcess;
pub use links::{Cut, LinkUse, Links};
pub use machines::{
    MachineError, MachineResult, Machines, PeerPlan, PlatformPlan, ProxyPlan, ServerPlan,
};
pub use platform_control::PlatformControl;
pub use policy::PolicyOperator;
pub use policy_watch::watch_policies;
pub use ports::{PortReservation, fresh_loopback};
pub use proxy_settings::{ProxyOutlook, ReachableDatabase, ReachableProxy, ReachableServer};
pub use running::{Deployment, proxy_machine, server_machine};
pub use settings::{
    DatabaseSizes, DeploymentSettings, KnownDeployment, LatencySettings, LoadSettings, Mix,
    ProxySizes, Weights, ZoneSettings,
};
pub use tables::{create_tables, read_survivors};
pub use topology::{ProxyPlace, ServerPlace, Topology};
