//! Where work may run: regions, evacuated zones and servers that are cold.

mod cold;
mod demand;
mod evacuation;
mod held;
mod moves;
mod regions;

pub use self::cold::{ColdBound, Coldness, WINDOW as COLD_WINDOW, is_entry_outdated};
pub use self::demand::{DemandCounts, DemandLevels, MOST_SETS, RegionDemand};
pub use self::evacuation::{EvacuationChanges, Evacuations, HELD_BACK, Phase, WAY_MARGIN};
pub use self::held::{HeldZones, WRITTEN_AGAIN};
pub use self::moves::{MOVE_INTERVAL, MovePolicy};
pub use self::regions::AllowedRegions;
