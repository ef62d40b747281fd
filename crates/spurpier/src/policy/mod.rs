//! Policies on a node: finding the accepted one, holding it, and publishing a new one.
//!
//! Readers on the statement path load [`PolicyHandle::in_force`]; they go through no mailbox.

mod holder;
pub mod operator;
mod poller;
mod publication;
mod store;

pub use holder::{PolicyHandle, PolicyHolder, PublishedPolicy};
pub use store::{PolicyStore, PolicyStoreError};
