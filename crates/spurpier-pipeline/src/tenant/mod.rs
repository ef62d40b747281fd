//! Identification of the client for which a unit of work runs.

use std::sync::Arc;

use crate::ports::{ErrorClass, KeyDigest, ServerError};

/// The caller name sent to servers for clients without a tenant and for the proxy's own statements.
pub const UNNAMED_CALLER: &str = "spurpier";

/// The client for which a unit runs, identified by the tenant that owns its key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Caller {
    /// The tenant's name, or `None` if the configuration does not distinguish clients.
    pub tenant: Option<Arc<str>>,
    /// The digest of the client's key, or `None` if the client presented no key.
    pub key: Option<KeyDigest>,
}

impl Caller {
    /// Returns the caller name to send to servers.
    pub fn name(&self) -> &str {
        self.tenant.as_deref().unwrap_or(UNNAMED_CALLER)
    }
}

/// The reason why a client is not admitted to a database.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AdmissionError {
    /// No route exists for the requested database.
    UnknownDatabase,
    /// No tenant owns the client's key.
    UnknownKey,
}

impl AdmissionError {
    /// Returns the error to send to the client.
    pub fn error(self) -> ServerError {
        let (class, text) = match self {
            AdmissionError::UnknownDatabase => (ErrorClass::UnknownDatabase, "no such database"),
            AdmissionError::UnknownKey => (ErrorClass::UnknownKey, "no such key"),
        };
        ServerError {
            class,
            text: text.to_owned(),
        }
    }
}
