//! Connections to database servers over the PostgreSQL protocol.

mod connection;
mod error;
mod frame;
mod query;

pub use connection::{BackEndConnection, CancelKey, ServerAddress};
pub use error::{ConnectionBroken, OpenError, ServerError};
pub use frame::{Frame, FrameKind};
pub use query::{QueryAnswer, encode_parse, note_error};
