//! The servers that the platform's directory lists, by their incarnations.
//!
//! A server may start again under the name that it had. [`Incarnation`] keeps its lives apart, and
//! [`Roster`] decides from the directory's rows which life of which server is to be used.

mod incarnation;
mod roster;

pub use incarnation::Incarnation;
pub use roster::{Roster, RosterChange, RosterRow, RowContent, ServerEndpoint};
