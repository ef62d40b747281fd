//! Events of the node's lifecycle: numbers 1000 to 1999.

crate::declare_events! {
    STARTED = 1001, "node_started", Info, "the node has started", "none";
    DRAINING = 1002, "node_draining", Info, "the node accepts no new work and finishes what is in flight", "none";
    DRAINED = 1003, "node_drained", Info, "the node has finished its work in flight", "none";
    DRAIN_TIMED_OUT = 1004, "node_drain_timed_out", Warn, "work was still in flight when the drain timeout expired and was aborted", "raise limits.drain_ms or look for clients that hold transactions open";
    STOPPED_IMMEDIATELY = 1005, "node_stopped_at_once", Warn, "a second signal stopped the node before its drain ended", "none if intended; requests in flight were aborted";
    ADMIN_FAILED = 1006, "admin_endpoint_failed", Error, "the admin endpoint has stopped serving", "restart the node; it still serves clients but cannot be monitored";
    INGRESS_FAILED = 1007, "ingress_failed", Error, "the client listener has stopped serving", "restart the node";
}
