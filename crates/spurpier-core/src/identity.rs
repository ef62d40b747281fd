//! Names of the things a node deals with, each a type of its own.

use std::fmt;
use std::sync::Arc;

use nanoserde::{DeBin, SerBin};
use serde::{Deserialize, Serialize};

use crate::wire::{decode_long_text, encode_long_text};

macro_rules! name_type {
    ($(#[$documentation:meta])* $name:ident) => {
        $(#[$documentation])*
        #[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[serde(from = "String", into = "String")]
        pub struct $name(Arc<str>);

        impl $name {
            /// The name as text.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl From<&str> for $name {
            fn from(text: &str) -> Self {
                $name(Arc::from(text))
            }
        }

        impl From<String> for $name {
            fn from(text: String) -> Self {
                $name(Arc::from(text))
            }
        }

        impl From<$name> for String {
            fn from(name: $name) -> Self {
                name.0.as_ref().to_owned()
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
                formatter.write_str(&self.0)
            }
        }

        impl SerBin for $name {
            fn ser_bin(&self, output: &mut Vec<u8>) {
                encode_long_text(&self.0, output);
            }
        }

        impl DeBin for $name {
            fn de_bin(offset: &mut usize, bytes: &[u8]) -> Result<Self, nanoserde::DeBinErr> {
                decode_long_text(offset, bytes).map($name::from)
            }
        }
    };
}

name_type! {
    /// A proxy node, unique among the nodes that live at one time.
    NodeName
}
name_type! {
    /// A database as clients name it when they connect.
    DatabaseName
}
name_type! {
    /// One server of a database group.
    ServerName
}
name_type! {
    /// A zone: machines that fail and are cut off together.
    ZoneName
}
name_type! {
    /// A region: zones close to each other.
    RegionName
}
name_type! {
    /// A client session, as the client names it or as the ingress node made it up.
    SessionId
}
name_type! {
    /// The client's key for a request that may run at most once.
    RequestKey
}

/// The side of a migration on which a database group lives.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize, SerBin, DeBin,
)]
#[serde(rename_all = "lowercase")]
pub enum Side {
    /// The data centre that is being left.
    Old,
    /// The data centre that is being entered.
    New,
}

impl Side {
    /// The side's name in settings, policies and tokens.
    pub const fn as_str(self) -> &'static str {
        match self {
            Side::Old => "old",
            Side::New => "new",
        }
    }
}

impl fmt::Display for Side {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(self.as_str())
    }
}

/// A database group: the servers that hold one side of one database.
#[derive(
    Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize, SerBin, DeBin,
)]
pub struct GroupId {
    /// The database.
    pub database: DatabaseName,
    /// The side that this group serves.
    pub side: Side,
}

impl fmt::Display for GroupId {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}.{}", self.database, self.side)
    }
}
