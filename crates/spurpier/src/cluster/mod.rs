//! Traffic between nodes: forwarded units, membership and the spread of policies.

pub mod control;
pub mod forwarding;
pub mod homes;
