//! State of a client session that is kept between requests: its read floors and its settings.

mod floors;
mod settings;
mod token;

pub use floors::ReadFloors;
pub use settings::SessionSettings;
pub use token::{InvalidToken, PositionToken};
