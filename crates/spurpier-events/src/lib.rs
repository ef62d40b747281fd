//! The form of numbered log events; each crate that logs declares its own with these macros.

pub use log;

/// One kind of log event.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Event {
    /// The number, unique and never reused.
    pub number: u16,
    /// The name in lower case with underscores.
    pub name: &'static str,
    /// The level at which it is logged.
    pub level: log::Level,
    /// What has happened, in one sentence.
    pub summary: &'static str,
    /// What an operator should do, in one sentence.
    pub action: &'static str,
}

/// Declares the events of one part, each as a constant, and `EVENTS` with all of them.
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

        /// All events of this part, in the order of their numbers.
        pub const EVENTS: &[$crate::Event] = &[$($constant),*];
    };
}

/// Logs an event with its fields: `log_event!(events::node::STARTED, zone = "gent-hal")`.
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
