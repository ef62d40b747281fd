//! Load by a client library: sessions that roam, retry and record what they saw.

mod attempt;
mod connection;
mod failover;
mod generator;
mod kind;
mod outcome;
mod plan;
mod position;
mod recorder;
mod session;
mod summary;

pub use connection::{ClientConnection, ConnectionIdentity};
pub use failover::first_accepted_write;
pub use generator::{LoadPlan, run_load};
pub use kind::RequestKind;
pub use outcome::Failure;
pub use plan::{
    CATALOGUE_ROWS, CATALOGUE_TABLE, ENTRY_TABLE, PlanContext, RequestPlan, Step, StepCheck,
    plan_request,
};
pub use position::POSITION_PARAMETER;
pub use recorder::Recorder;
pub use session::{
    ClientSession, ProxyEndpoint, RequestResult, SessionEnvironment, TokenlessSessions,
};
pub use summary::LoadSummary;
