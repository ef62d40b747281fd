//! The ports: what the pipeline asks of a dialect, of the platform's store and of its promotion
//! service, as typed messages.
//!
//! An adapter implements them. It translates names, formats and calls and decides nothing: time
//! limits, retries and choices are the pipeline's.

mod configuration;
mod dialect;
mod directory;
mod promotion;
mod statement;
mod store;
mod tenant;

pub use configuration::{Configuration, FreshnessKind, GroupSettings, Route};
pub use dialect::{
    ClientDialect, ClientMessage, ProtocolViolation, ServerDialect, ServerMessage, ServerRequest,
};
pub use directory::{
    EntryField, EntryFormat, ServerEntry, ServerRole, ServerStatus, UnusableEntry,
};
pub use promotion::{FencingToken, Promotion, PromotionAnswer, PromotionService};
pub use statement::{
    Answer, Completion, Effect, ErrorClass, Request, ServerError, Statement, TransactionState,
};
pub use store::{
    Condition, MetadataStore, ReadRows, Row, Shard, StoreError, Table, TransactOutcome,
    Transaction, Write,
};
pub use tenant::{KeyDigest, Quota, Tenant};
