//! Events of database groups and their connections: numbers 3000 to 3999.

crate::declare_events! {
    PRIMARY_CHANGED = 3001, "primary_changed", Info, "a database group has a new primary", "none if planned; otherwise find out why the previous one was lost";
    TRANSFER_REQUESTED = 3002, "transfer_asked", Info, "a leaving primary is asked to transfer its role", "none";
    TRANSFER_FAILED = 3003, "transfer_failed", Warn, "the transfer of a leaving primary's role did not happen", "none if another node's request was accepted; otherwise make sure that another server can take over";
    MOVE_STEP = 3010, "move_step", Info, "the move of a database's writes has reached a new step", "none; if it stays at catching_up, check that the side being moved to follows the other one";
}
