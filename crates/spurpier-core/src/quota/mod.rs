//! Rate limits on tenants' operations, enforced over all nodes together.
//!
//! One node, the tenant's [`Authority`], counts the tenant's operations. The nodes that serve
//! clients request permits from it, each of which allows one operation to start within
//! [`PERMIT_TTL`]. A permit that is lost in transit counts as used: whatever may have been used
//! counts as used, as for the lower bound of the escrow method (O'Neil, "The Escrow Transactional
//! Method", 1986). Reporting operations only after they ran would let a tenant at seven times its
//! usual load exceed its bound within half a second.
//!
//! A node sends its requests to one authority at a time, and each request is a vote for that
//! authority ([`AuthoritySelector`]). An authority grants permits only while it holds votes, each
//! no older than [`VOTE_TTL`], from more than half of all listed nodes. The age of a vote is
//! measured on the authority's own clock, from a time before the vote was sent
//! ([`AuthorityTimestamp`]). A request that was delayed in transit, or reached an authority whose
//! process was frozen, is therefore no valid vote.
//!
//! Part of each bound is reserved for the zones ([`Budget`], [`ZonePosition`]). While the nodes of
//! a zone have no global authority, the zone's own authority ([`ZoneAuthority`]), which needs the
//! votes of a majority of the zone's nodes, grants permits from the zone's reserve. The reserves
//! do not depend on which zones are partitioned, so all zones together stay within the bound.

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
