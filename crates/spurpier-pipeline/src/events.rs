//! Events of the pipeline over ports: numbers 6000 to 6999.

spurpier_events::declare_events! {
    NODE_STARTED = 6001, "pipeline_started", Info, "the node has started before groups that are promoted from outside", "none";
    NODE_READY = 6002, "pipeline_ready", Info, "the node knows the configuration and the servers and takes clients", "none";
    NODE_DRAINING = 6003, "pipeline_draining", Info, "the node is no longer ready and lets its sessions end", "none";
    NODE_DRAINED = 6004, "pipeline_drained", Info, "the node has ended", "none; sessions that were cut had a transaction open past their share of the drain";
    SETTINGS_REREAD = 6005, "pipeline_settings_reread", Info, "the settings file was read again", "none";
    SETTINGS_REFUSED = 6006, "pipeline_settings_refused", Warn, "the settings file was read again and is not valid; the former settings hold", "check the file with `spurpier settings check`";
    CONFIGURATION_IN_FORCE = 6010, "configuration_in_force", Info, "a newer configuration is in force", "none";
    ROW_MALFORMED = 6011, "row_malformed", Warn, "a row of the store cannot be read and is passed over", "see what wrote the row";
    STORE_LOST = 6012, "store_lost", Warn, "the store does not answer; the node goes on with what it knows", "see the platform's store";
    STORE_REGAINED = 6013, "store_regained", Info, "the store answers again", "none";
    TABLE_HANDED_ON = 6014, "table_handed_on", Info, "the store did not answer at the start; a table was taken from another node", "see the platform's store";
    NEWS_MISSED = 6015, "news_missed", Info, "another node told nothing of a table in time, or nothing that is new enough; the next one is asked, or the store", "none if rare; with received_bytes above 0 and why unanswered, the link between the nodes is too slow for the table";
    CONFIGURATION_REFUSED = 6016, "configuration_refused", Warn, "a newer configuration has faults; the former one stays in force", "mend what the findings name, by their place, and publish it again";
    SERVER_ADDED = 6020, "server_added", Info, "the directory lists a new server", "none";
    SERVER_LEAVING = 6021, "server_leaving", Info, "a server is draining or gone from the directory and is given no new work", "none if planned";
    LEAD_FOUND = 6022, "lead_found", Info, "a server has proved that it leads its group", "none";
    LEAD_LOST = 6023, "lead_lost", Warn, "the server that led a group refuses the lead", "none if planned";
    SERVER_SILENT = 6024, "server_silent", Warn, "a server does not answer", "see the server and the way to it";
    ZONE_EVACUATED = 6025, "zone_evacuated", Info, "the operator has a zone evacuated: its servers are used only for what no other can run, and for nothing after closes_in_ms", "none; take the row away when the zone is to be used again";
    ZONE_CLOSED = 6026, "zone_closed", Info, "nothing more is sent to the servers of an evacuated zone; transactions that rested there were ended", "none";
    ZONE_TAKEN_BACK = 6027, "zone_taken_back", Info, "a zone is not evacuated any more, and its servers are used again", "none";
    EVACUATED_PRIMARY = 6028, "evacuated_primary", Warn, "a group's primary still stands in an evacuated zone to which nothing more is sent: what needs it is refused", "see why no server elsewhere could take over; take the row away to serve again";
    HEIR_INCOMPLETE = 6029, "heir_incomplete", Warn, "a primary has left an evacuated zone's use, and the server that is to take over may lack commits: it is awaited", "see why the replicas receive nothing";
    REQUEST_NOT_RUN = 6030, "request_not_run", Info, "a statement was refused and has not run", "none if rare; the reason tells what was missing";
    REQUEST_UNKNOWN = 6031, "request_unknown", Warn, "whether a statement ran cannot be told", "look for the lost server or the lost answer at that time";
    REQUEST_RETRIED = 6032, "request_retried", Info, "a statement is tried again", "none if rare";
    CLIENT_VIOLATION = 6033, "pipeline_client_violation", Warn, "a client sent bytes that violate the protocol and was closed", "find out what connects from there";
    NODE_LOST = 6034, "node_lost", Warn, "a listed node could not be reached for long and is taken off the list", "see the node; one that is only cut off lists itself again";
    SERVER_RESTARTED = 6035, "server_restarted", Warn, "a server has started again under its name, or stands elsewhere; nothing that was known of its former life is used", "see why it ended, unless that was planned";
    SERVER_ENTRY_UNUSABLE = 6036, "server_entry_unusable", Warn, "a row of the directory names no server to use; one that stood there before is used no more", "see what wrote the row; why names the field or what is wrong with it";
    SERVERS_LISTED = 6037, "servers_listed", Info, "the directory was read whole", "none; unusable rows are told by server_entry_unusable, unnamed ones belong to groups that no configuration names";
    LEAD_LOST_LOG = 6038, "lead_lost_log", Warn, "a server that leads shows less than it had shown before: it has started again without its log, and is not used", "see why the server ended; another one takes over";
    DUTY_TAKEN = 6040, "duty_taken", Info, "this node holds the promotion duty under a new token", "none";
    DUTY_REFUSED = 6041, "duty_refused", Info, "another node holds the promotion duty or was faster", "none";
    PROMOTION_SENT = 6042, "promotion_sent", Warn, "a server is told to take over its group", "see why the former primary was lost, unless it was leaving";
    PROMOTION_ANSWERED = 6043, "promotion_answered", Info, "the promotion service has answered", "none";
    PRIMARY_SUSPECTED = 6044, "primary_suspected", Warn, "the primary of a group does not answer this node", "see the server and the way to it";
    SUCCESSION_KNOWN = 6045, "succession_known", Info, "a server takes over its group, and no other is used as the lead from now on", "none if planned";
    NODES_AWAITED = 6046, "nodes_awaited", Warn, "nodes that may still use a former primary do not answer; its successor waits until their leases have ended", "see the nodes that are named";
    PRIMARY_MOVES = 6070, "primary_moves", Info, "a primary that serves hands its group over to another server", "none; the reason tells why, and demand that much of the group's work is not allowed where the primary stands";
    REGIONS_UNKNOWN = 6071, "regions_unknown", Warn, "the configuration in force names regions that no zone has; what is bound to them alone is refused", "mend what the findings name, by their place, or add the region to the settings' zones";
    SERVER_COLD = 6130, "server_cold", Info, "a server is cold; where its group has a cold rate, messages to it are counted over all nodes", "none";
    SERVER_WARM = 6131, "server_warm", Info, "a server that was cold is warm again and takes any number of messages", "none";
}
