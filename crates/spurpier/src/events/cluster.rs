//! Events of membership and traffic between nodes: numbers 5000 to 5999.

crate::declare_events! {
    NODE_SUSPECTED = 5001, "node_suspected", Warn, "a node does not answer probes", "check the node if the suspicion is not refuted or the node replaced within a minute";
    PEER_UNREACHABLE = 5002, "peer_unreachable", Warn, "connecting to another node failed", "check that the node runs and that the network between the zones works; other homes are tried meanwhile";
    PEER_REFUSED = 5003, "peer_refused", Warn, "a connection from a peer was refused or closed because the peer violated the protocol", "find out which program connects to the internal address; all nodes must use the same protocol version";
    NODE_JOINED = 5004, "node_joined", Info, "a node has joined the cluster", "none";
    NODE_LEAVING = 5005, "node_leaving", Info, "a node is about to stop and accepts no new work", "none if planned";
    NODE_GONE = 5006, "node_gone", Info, "a node has stopped or was declared dead", "replace the node if the stop was not planned";
    GOSSIP_SOCKET_FAILED = 5007, "gossip_socket_failed", Warn, "receiving datagrams failed", "check the machine's network; the node continues to receive";
}
