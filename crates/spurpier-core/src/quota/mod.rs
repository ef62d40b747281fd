//! How many operations a tenant may start, over all nodes together.
//!
//! A tenant's operations are counted by one node, its *authority*. The nodes where clients ask are
//! given leaves by it, each to start one operation within [`LEAVE_LIFE`]. A leave that is lost on
//! the way counts as used: what may have been taken counts as taken, which is the low bound of the
//! escrow method (O'Neil, "The Escrow Transactional Method", 1986). A count that is told afterwards
//! would let a tenant with seven times its usual load exceed its bound within half a second.
//!
//! A node asks one authority at a time and thereby votes for it ([`AuthorityChoice`]). Only an
//! authority that more than half of all listed nodes have asked within [`VOTE_LIFE`] gives leaves. A
//! vote counts from before it was sent, by the authority's own clock ([`Stamp`]), so that questions
//! which were long on the way, or met an authority that stood still, are none.
//!
//! A part of each bound is set aside for the zones ([`Budget`], [`ZonePlace`]). While a zone has lost
//! the authority of all nodes, its own ([`ZoneAuthority`]), which most of the zone's nodes have asked,
//! gives leaves out of the zone's part. The parts are the same whoever is cut off, so that all zones
//! together stay within the bound.

mod authority;
mod bucket;
mod budget;
mod choice;
mod ledger;
mod ranking;
mod votes;
mod zone;

pub use authority::{Authority, Grant, Want};
pub use bucket::Bucket;
pub use budget::{Budget, LEAVE_LIFE, QuotaBound, QuotaRate, VOTE_LIFE};
pub use choice::AuthorityChoice;
pub use ledger::{Leave, Ledger, Taken};
pub use ranking::{NodePlace, choose_apart};
pub use votes::Stamp;
pub use zone::{ZONE_VOTE_LIFE, ZoneAuthority, ZonePlace};
