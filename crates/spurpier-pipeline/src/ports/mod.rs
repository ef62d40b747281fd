//! Ports: the interfaces through which the pipeline uses a wire protocol (dialect), the
//! platform's metadata store and its promotion service.
//!
//! Adapters implement them and only translate names, formats and calls. Timeouts, retries and
//! all decisions are left to the pipeline.

mod configuration;
mod dialect;
mod directory;
mod promotion;
mod statement;
mod store;
mod tenant;

pub use configuration::{Configuration, FreshnessKind, GroupSettings, Route};
pub use dialect::{
    ClientDialect, ClientMessage, EncodeError, ProtocolViolation, ServerDialect, ServerMessage,
    ServerRequest,
};
pub use directory::{
    EntryField, EntryFormat, ServerEntry, ServerRole, ServerStatus, UnusableEntry,
};
pub use promotion::{FencingToken, Promotion, PromotionAnswer, PromotionService};
pub use statement::{
    Answer, Completion, Effect, ErrorClass, Request, ServerError, Statement, StatementName,
    TransactionState,
};
pub use store::{
    Condition, MetadataStore, ReadRow, ReadRows, Row, Shard, StoreError, Table, TransactOutcome,
    Transaction, Write,
};
pub use tenant::{KeyDigest, Quota, Tenant};
