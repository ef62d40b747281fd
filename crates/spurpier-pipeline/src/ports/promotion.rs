//! The platform's promotion service.

use futures::future::BoxFuture;

use super::store::StoreError;

/// A number that rises with each decision; the service refuses one that is lower than another
/// seen for the same group.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct FencingToken(pub u64);

/// An order to let a server take over.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Promotion {
    /// The group.
    pub group: String,
    /// The server that takes over.
    pub instance: String,
    /// The node that gives the order.
    pub holder: String,
    /// The decision's number.
    pub token: FencingToken,
}

/// What the service says to an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PromotionAnswer {
    /// It was taken.
    Accepted,
    /// It was refused: a newer decision is known, or the server does not run.
    Refused,
}

/// Names the server that takes over.
pub trait PromotionService: Send + Sync {
    /// Sends one order, once.
    fn promote(
        &self,
        promotion: Promotion,
    ) -> BoxFuture<'static, Result<PromotionAnswer, StoreError>>;
}
