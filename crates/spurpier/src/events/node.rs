//! Events of the node's life: numbers 1000 to 1999.

crate::declare_events! {
    STARTED = 1001, "node_started", Info, "the node has started", "none";
    DRAINING = 1002, "node_draining", Info, "the node takes no new work and finishes what is in flight", "none";
    DRAINED = 1003, "node_drained", Info, "the node has finished its work in flight", "none";
    DRAIN_TIMED_OUT = 1004, "node_drain_timed_out", Warn, "work was still in flight at the end of the drain time and is cut", "raise limits.drain_ms or look for clients that hold transactions open";
    STOPPED_IMMEDIATELY = 1005, "node_stopped_at_once", Warn, "a second signal stopped the node before its drain ended", "none if meant; requests in flight were cut";
    ADMIN_FAILED = 1006, "admin_endpoint_failed", Error, "the admin endpoint has stopped serving", "restart the node; it serves clients but cannot be watched";
    INGRESS_FAILED = 1007, "ingress_failed", Error, "the client listener has stopped serving", "restart the node";
}
