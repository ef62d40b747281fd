//! Where work may run: regions, evacuated zones and servers that are cold.

mod regions;

pub use self::regions::AllowedRegions;
