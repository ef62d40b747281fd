//! Where work may run: allowed regions, evacuated zones, cold servers, and the region of a group's
//! primary.

mod cold;
mod demand;
mod evacuation;
mod moves;
mod regions;
mod retained;

pub use self::cold::{ColdBound, ColdState, WINDOW as COLD_WINDOW, is_entry_outdated};
pub use self::demand::{DecayingDemand, DemandCounts, MAX_REGION_SETS, RegionDemand};
pub use self::evacuation::{
    DELIVERY_MARGIN, EvacuationChanges, Evacuations, MAX_STORE_LAG, ZonePhase,
};
pub use self::moves::{MIN_MOVE_INTERVAL, PrimaryMovePlanner};
pub use self::regions::AllowedRegions;
pub use self::retained::{REWRITE_GRACE_PERIOD, RetainedZones};
