//! Counts of what happens between nodes.

use std::sync::atomic::{AtomicU64, Ordering};

macro_rules! counters {
    ($($(#[$documentation:meta])* $name:ident),+ $(,)?) => {
        /// Counters of forwarded work; shared between tasks.
        #[derive(Debug, Default)]
        pub struct ForwardingCounters {
            $($name: AtomicU64,)+
        }

        /// The counters at one moment.
        #[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
        pub struct ForwardingCounts {
            $($(#[$documentation])* pub $name: u64,)+
        }

        impl ForwardingCounters {
            /// The counters at this moment.
            pub fn counts(&self) -> ForwardingCounts {
                ForwardingCounts {
                    $($name: self.$name.load(Ordering::Relaxed),)+
                }
            }

            $(
                pub(super) fn $name(&self) {
                    self.$name.fetch_add(1, Ordering::Relaxed);
                }
            )+
        }
    };
}

counters! {
    /// Units that this node sent to a home.
    units_forwarded,
    /// Units that were tried at a further home, nothing of them having left before.
    units_retried,
    /// Units of which the home was lost after something had left.
    units_lost,
    /// Units of other nodes that this node ran.
    units_served,
    /// Units of other nodes that were not started here.
    units_refused,
    /// Messages for which no unit was waiting; they were dropped.
    messages_unmatched,
    /// Connections that were closed because the peer broke the protocol.
    protocol_violations,
    /// Connections that could not be made.
    connections_failed,
}
