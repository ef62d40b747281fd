//! Every key of the settings of `spurpier gateway`.
//!
//! A test holds them together with the settings' types, and the template under `deploy/` to both.

use super::schema::{Absent, Key, Shape, key, milliseconds, table};

const NODE: &[Key] = &[
    key(
        "name",
        Shape::Text,
        Absent::Required("\"gent-hal-1\""),
        "The node's name, unique among living nodes.",
    ),
    key(
        "zone",
        Shape::Text,
        Absent::Required("\"gent-hal\""),
        "Its zone: the machines that fail and are cut off together.",
    ),
    key(
        "region",
        Shape::Text,
        Absent::Required("\"vlaanderen\""),
        "Its region: zones close to each other.",
    ),
    key(
        "weight",
        Shape::Positive,
        Absent::Default("1.0"),
        "How much it can do beside the other nodes, as its share of a processor: a node of twice the weight holds the connections of twice as many groups.",
    ),
    key(
        "link_mbps",
        Shape::Positive,
        Absent::Default("1000.0"),
        "How much its link takes, in megabits a second: nodes with wide links follow the store, and tell the others of it.",
    ),
    key(
        "first_start",
        Shape::Boolean,
        Absent::Default("false"),
        "Whether the whole system starts for the first time: the node lists itself and waits until the others have, before it asks who is there.",
    ),
];

const LISTEN: &[Key] = &[
    key(
        "client",
        Shape::Address,
        Absent::Required("\"127.0.0.1:6432\""),
        "Clients, over TCP.",
    ),
    key(
        "ready",
        Shape::Address,
        Absent::Required("\"127.0.0.1:6433\""),
        "The readiness endpoint, over HTTP: 200 or 503 for every path.",
    ),
    key(
        "internal",
        Shape::Address,
        Absent::Required("\"127.0.0.1:6434\""),
        "Messages of other nodes over UDP, and the statements that they forward over TCP.",
    ),
    key(
        "control",
        Shape::Address,
        Absent::Required("\"127.0.0.1:6435\""),
        "Questions of nodes that start while the store is down, over TCP.",
    ),
];

const PLATFORM: &[Key] = &[
    key(
        "store",
        Shape::Address,
        Absent::Required("\"127.0.0.1:6400\""),
        "The platform's metadata store.",
    ),
    key(
        "promotion",
        Shape::Address,
        Absent::Required("\"127.0.0.1:6401\""),
        "The platform's promotion service.",
    ),
];

const BOUNDS: &[Key] = &[
    milliseconds(
        "server_drain_ms",
        0,
        "7000",
        "How long a server that leaves may still be given work, in milliseconds.",
    ),
    milliseconds(
        "grace_ms",
        100,
        "6000",
        "How long a node may take to end after SIGTERM, in milliseconds.",
    ),
    milliseconds(
        "configuration_apply_ms",
        1_000,
        "3000",
        "Within what a new configuration must be in force everywhere, in milliseconds: bounds how long one wait for a new one lasts.",
    ),
    key(
        "quota_window_s",
        Shape::Positive,
        Absent::Default("5.0"),
        "The length of the spans in which a tenant's operations are counted against its limit, in seconds.",
    ),
    key(
        "quota_overage",
        Shape::NotNegative,
        Absent::Default("0.1"),
        "The part by which a tenant may exceed its limit in such a span.",
    ),
    key(
        "quota_slack",
        Shape::NotNegative,
        Absent::Default("20.0"),
        "Operations by which a tenant may exceed its limit besides, in such a span.",
    ),
    milliseconds(
        "evacuation_ms",
        0,
        "0",
        "Within what nothing more may arrive at the servers of an evacuated zone, in milliseconds; 0 if no such bound was agreed: evacuations are kept to within 5 s then, and learnt of as late as a configuration.",
    ),
    key(
        "cold_overage",
        Shape::NotNegative,
        Absent::Default("1.0"),
        "The factor by which requests at a cold server may exceed its rate within one second.",
    ),
    key(
        "cold_slack",
        Shape::NotNegative,
        Absent::Default("0.0"),
        "Requests by which they may exceed it besides.",
    ),
];

const TOLERANCE: &[Key] = &[
    key(
        "zones",
        Shape::Integer(0, 1_000),
        Absent::Default("0"),
        "Whole zones.",
    ),
    key(
        "regions",
        Shape::Integer(0, 1_000),
        Absent::Default("0"),
        "Whole regions.",
    ),
];

/// The settings file of `spurpier gateway`.
pub const GATEWAY_ROOT: &[Key] = &[
    table("node", NODE, "Who the node is and where it stands."),
    table("listen", LISTEN, "Where the node listens."),
    key(
        "seeds",
        Shape::Addresses,
        Absent::Default("[]"),
        "Control addresses of other nodes, asked if the store is down at the start.",
    ),
    key(
        "zones",
        Shape::TextMap,
        Absent::Default("{}"),
        "The region of each zone; a zone without one counts as remote.",
    ),
    table("platform", PLATFORM, "Where the platform is."),
    table("bounds", BOUNDS, "What the platform promises and asks for."),
    table(
        "tolerance",
        TOLERANCE,
        "What may be lost at once with everything still kept.",
    ),
];
