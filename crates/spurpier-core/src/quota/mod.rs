//! How many operations a tenant may start, over all nodes together.
//!
//! A tenant's operations are counted by one node, its *authority*. The nodes where clients ask are
//! given leaves by it, each to start one operation within [`LEAVE_LIFE`]. A leave that is lost on
//! the way counts as used: what may have been taken counts as taken, which is the low bound of the
//! escrow method (O'Neil, "The Escrow Transactional Method", 1986). A count that is told afterwards
//! would let a tenant with seven times its usual load exceed its bound within half a second.
//!
//! A node asks one authority at a time and thereby votes for it ([`AuthorityChoice`]). Only an authority that more than
//! half of all listed nodes have asked within [`VOTE_LIFE`] gives the whole rate; any other gives
//! its voters' part of a small remainder that is set aside for that ([`Budget`]). A vote counts from
//! before it was sent, by the authority's own clock ([`Stamp`]), so that questions which were long
//! on the way, or met an authority that stood still, are none.

mod authority;
mod bucket;
mod budget;
mod choice;
mod ledger;

pub use authority::{Authority, Grant, Stamp, Want};
pub use bucket::Bucket;
pub use budget::{Budget, LEAVE_LIFE, QuotaBound, QuotaRate, VOTE_LIFE};
pub use choice::AuthorityChoice;
pub use ledger::{Leave, Ledger, Taken};
