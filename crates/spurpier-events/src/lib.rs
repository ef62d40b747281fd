//! Numbered log events: their type, and macros with which each crate declares and logs its own.

pub use log;

/// One kind of log event.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Event {
    /// Number of the event, unique across all crates and never reused.
    pub number: u16,
    /// Name of the event in snake case, unique across all crates.
    pub name: &'static str,
    /// Level at which the event is logged.
    pub level: log::Level,
    /// What has happened, in one sentence; logged as the message.
    pub summary: &'static str,
    /// What an operator should do, in one sentence, or `none`; not logged.
    pub action: &'static str,
}

/// Declares each event of a module as a constant, and `EVENTS` as the list of all of them.
#[macro_export]
macro_rules! declare_events {
    ($($constant:ident = $number:literal, $name:literal, $level:ident, $summary:literal, $action:literal;)*) => {
        $(
            #[doc = $summary]
            pub const $constant: $crate::Event = $crate::Event {
                number: $number,
                name: $name,
                level: $crate::log::Level::$level,
                summary: $summary,
                action: $action,
            };
        )*

        /// All events of this module, in the order of their numbers.
        pub const EVENTS: &[$crate::Event] = &[$($constant),*];
    };
}

/// Logs an event with its fields: `log_event!(events::node::STARTED, zone = "gent-hal")`.
///
/// The log target is `spurpier`; the event's number and name are added as `event` and `name`.
#[macro_export]
macro_rules! log_event {
    ($event:expr $(, $key:ident = $value:expr)* $(,)?) => {{
        let event: $crate::Event = $event;
        $crate::log::log!(
            target: "spurpier",
            event.level,
            event = event.number, name = event.name $(, $key:% = $value)*;
            "{}", event.summary
        )
    }};
}
