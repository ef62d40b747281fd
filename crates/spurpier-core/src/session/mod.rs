//! What a client session carries from request to request: its floors and its settings.

mod floors;
mod settings;
mod token;

pub use floors::ReadFloors;
pub use settings::SessionSettings;
pub use token::{InvalidToken, PositionToken};
