//! The catalogue of numbered log events. `docs/EVENTS.md` lists it; a test compares the two.

pub mod cluster;
pub mod home;
pub mod ingress;
pub mod node;
pub mod policy;

pub use spurpier_events::Event;

/// All events of the catalogue, in the order of their numbers.
pub fn catalogue() -> Vec<Event> {
    [
        node::EVENTS,
        ingress::EVENTS,
        home::EVENTS,
        policy::EVENTS,
        cluster::EVENTS,
        spurpier_pipeline::events::EVENTS,
    ]
    .concat()
}
