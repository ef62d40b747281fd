//! Where work may run: regions, evacuated zones and servers that are cold.

mod cold;
mod evacuation;
mod regions;

pub use self::cold::{ColdBound, Coldness, WINDOW as COLD_WINDOW, is_entry_outdated};
pub use self::evacuation::{EvacuationChanges, Evacuations, HELD_BACK, Phase, WAY_MARGIN};
pub use self::regions::AllowedRegions;
