//! Events of database groups and their connections: numbers 3000 to 3999.

crate::declare_events! {
    PRIMARY_CHANGED = 3001, "primary_changed", Info, "a database group has a new primary", "none if planned; otherwise see why the former one was lost";
    TRANSFER_REQUESTED = 3002, "transfer_asked", Info, "a leaving primary is asked to hand its role over", "none";
    TRANSFER_FAILED = 3003, "transfer_failed", Warn, "the transfer of a leaving primary's role did not happen", "none if another node's request was taken; otherwise see that another server can take over";
    MOVE_STEP = 3010, "move_step", Info, "the move of a database's writes has reached a step", "none; if it stays at catching_up, see that the entered side follows the other one";
}
