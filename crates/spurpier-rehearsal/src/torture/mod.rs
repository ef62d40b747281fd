//! Torture: the deployment as real processes under kills, freezes, cuts and races.

mod processes;
mod work_directory;

pub use processes::{ProcessPaths, Processes};
pub use work_directory::WorkDirectory;
