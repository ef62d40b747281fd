//! Where work may run: regions, evacuated zones and servers that are cold.

mod cold;
mod regions;

pub use self::cold::{ColdBound, Coldness, WINDOW as COLD_WINDOW, is_entry_outdated};
pub use self::regions::AllowedRegions;
