//! Events of client connections: numbers 2000 to 2999.

crate::declare_events! {
    CLIENT_REFUSED = 2001, "client_refused", Warn, "a client connection was refused", "check the reason; raise limits.clients or add nodes if it is too_many_clients";
    ACCEPT_FAILED = 2002, "accept_failed", Error, "a client connection could not be accepted", "check the error; raise the open file limit if it was reached";
    DRAINING = 2003, "ingress_draining", Info, "the node accepts no more client connections and closes idle ones", "none";
    DRAIN_CUT_SHORT = 2004, "ingress_drain_cut_short", Warn, "clients were still active when the drain timeout expired", "raise limits.drain_ms if transactions are that long";
    CLIENT_PROTOCOL_VIOLATION = 2005, "client_protocol_violation", Warn, "a client sent bytes that violate the protocol and was disconnected", "find out which program connects from the peer's address";
    CLIENT_TOO_SLOW = 2006, "client_too_slow", Warn, "a client did not read its response in time and was disconnected", "check the client; raise limits.slow_reader_ms if it is expected to be slow";
    CLIENT_LOST = 2007, "client_lost", Info, "a client disconnected with a request running or a transaction open", "none";
}
