//! The platform's promotion service.

use futures::future::BoxFuture;

use super::store::StoreError;

/// A number that increases with each promotion decision. The service refuses a token lower than
/// one that it has already seen for the same group.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct FencingToken(pub u64);

/// A request to make a server the primary of its group.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Promotion {
    /// The group's name.
    pub group: String,
    /// The name of the server to promote.
    pub instance: String,
    /// The node that sends the request as holder of the promotion lease.
    pub holder: String,
    /// The fencing token of the decision.
    pub token: FencingToken,
}

/// The service's answer to a promotion request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PromotionAnswer {
    /// The promotion was accepted.
    Accepted,
    /// The promotion was refused: a newer decision is known, or the server is not running.
    Refused,
}

/// The service of the platform that promotes servers.
pub trait PromotionService: Send + Sync {
    /// Sends a promotion request once, without retries.
    fn promote(
        &self,
        promotion: Promotion,
    ) -> BoxFuture<'static, Result<PromotionAnswer, StoreError>>;
}
