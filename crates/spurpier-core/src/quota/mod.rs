//! How many operations a tenant may start, over all nodes together.
//!
//! A tenant's operations are counted by one node, its *authority*. The nodes where clients ask are
//! given leaves by it, each to start one operation within [`PERMIT_TTL`]. A leave that is lost on
//! the way counts as used: what may have been taken counts as taken, which is the low bound of the
//! escrow method (O'Neil, "The Escrow Transactional Method", 1986). A count that is told afterwards
//! would let a tenant with seven times its usual load exceed its bound within half a second.
//!
//! A node asks one authority at a time and thereby votes for it ([`AuthoritySelector`]). Only an
//! authority that more than half of all listed nodes have asked within [`VOTE_TTL`] gives leaves. A
//! vote counts from before it was sent, by the authority's own clock ([`AuthorityTimestamp`]), so that questions
//! which were long on the way, or met an authority that stood still, are none.
//!
//! A part of each bound is set aside for the zones ([`Budget`], [`ZonePosition`]). While a zone has lost
//! the authority of all nodes, its own ([`ZoneAuthority`]), which most of the zone's nodes have asked,
//! gives leaves out of the zone's part. The parts are the same whoever is cut off, so that all zones
//! together stay within the bound.

mod authority;
mod bucket;
mod budget;
mod diversity;
mod permit_cache;
mod selector;
mod votes;
mod zone;

pub use authority::{Authority, Grant, PermitDemand};
pub use bucket::TokenBucket;
pub use budget::{Budget, PERMIT_TTL, QuotaBound, QuotaRate, VOTE_TTL};
pub use diversity::{NodeLocality, select_diverse_nodes};
pub use permit_cache::{AcquireOutcome, Permit, PermitCache};
pub use selector::AuthoritySelector;
pub use votes::AuthorityTimestamp;
pub use zone::{ZONE_VOTE_TTL, ZoneAuthority, ZonePosition};
