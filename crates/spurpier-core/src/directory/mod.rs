//! The servers that the platform's directory lists, by their incarnations.
//!
//! A server may restart under the same name. [`Incarnation`] distinguishes its runs, and [`Roster`]
//! decides from the rows of the directory which incarnation of which server is used.

mod incarnation;
mod roster;

pub use incarnation::Incarnation;
pub use roster::{Roster, RosterChange, RosterRow, RowContent, ServerEndpoint};
