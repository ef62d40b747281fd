//! Whom a unit is run for.

use std::sync::Arc;

use crate::ports::{ErrorClass, KeyDigest, ServerError};

/// What servers are told where clients are not told apart, and for the proxy's own statements.
pub const UNNAMED_CALLER: &str = "spurpier";

/// Whom a unit is run for: the tenant that holds the client's key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Caller {
    /// The tenant's name; none where clients are not told apart.
    pub tenant: Option<Arc<str>>,
    /// The digest of the client's key; none if it names none.
    pub key: Option<KeyDigest>,
}

impl Caller {
    /// A client that is not told apart from others.
    pub fn unnamed(key: Option<KeyDigest>) -> Self {
        Caller { tenant: None, key }
    }

    /// What servers are told.
    pub fn name(&self) -> &str {
        self.tenant.as_deref().unwrap_or(UNNAMED_CALLER)
    }
}

/// Why a client is not served.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AdmissionError {
    /// There is no such database.
    UnknownDatabase,
    /// No tenant holds its key.
    UnknownKey,
}

impl AdmissionError {
    /// What the client is told.
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
