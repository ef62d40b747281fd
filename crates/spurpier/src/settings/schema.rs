//! Every key of the settings file: its shape, its default and what it means.
//!
//! The check, the template and `docs/CONFIGURATION.md` are all made from these tables; a test
//! holds them together with the settings' types and their `Default` implementations.

/// The greatest count that a limit may have; a larger one is taken for a slip.
const MAX_COUNT: i64 = 1_000_000;

/// The greatest time in milliseconds that a limit may have: one day.
const MAX_MILLISECONDS: i64 = 86_400_000;

/// The greatest number of bytes that a limit may have: one gibibyte.
const MAX_BYTES: i64 = 1 << 30;

/// The greatest time for which request keys may be kept: one year.
const MAX_SECONDS: i64 = 366 * 86_400;

/// The value that a key takes.
#[derive(Debug, Clone, Copy)]
pub enum Shape {
    /// Text that is not empty.
    Text,
    /// One of the listed words.
    Choice(&'static [&'static str]),
    /// A whole number from the first to the second, both included.
    Integer(i64, i64),
    /// A number above zero, whole or with a fraction.
    Positive,
    /// A number that is zero or above, whole or with a fraction.
    NotNegative,
    /// Yes or no: `true` or `false`.
    Boolean,
    /// An IP address with a port, as in `127.0.0.1:6432`.
    Address,
    /// A list of addresses.
    Addresses,
    /// The address of an HTTP service.
    Url,
    /// A table of keys that are not known before, each with text.
    TextMap,
    /// A table.
    Table(&'static [Key]),
    /// An array of tables, written with double brackets.
    Tables(&'static [Key]),
}

/// What the template and the loaded settings hold when the key is left out.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Absent {
    /// The key must be given; the template shows this example.
    Required(&'static str),
    /// The key has this default, as TOML text.
    Default(&'static str),
}

/// One key of the settings file.
#[derive(Debug, Clone, Copy)]
pub struct Key {
    /// The key's name.
    pub name: &'static str,
    /// The value that it takes.
    pub shape: Shape,
    /// What its absence means.
    pub absent: Absent,
    /// What it means, in one sentence.
    pub summary: &'static str,
}

pub(super) const fn key(
    name: &'static str,
    shape: Shape,
    absent: Absent,
    summary: &'static str,
) -> Key {
    Key {
        name,
        shape,
        absent,
        summary,
    }
}

pub(super) const fn milliseconds(
    name: &'static str,
    least: i64,
    default: &'static str,
    summary: &'static str,
) -> Key {
    let shape = Shape::Integer(least, MAX_MILLISECONDS);
    key(name, shape, Absent::Default(default), summary)
}

pub(super) const fn table(name: &'static str, keys: &'static [Key], summary: &'static str) -> Key {
    key(name, Shape::Table(keys), Absent::Default(""), summary)
}

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
        "Its zone: the machines that fail and are cut off together. `--zone` overrides it.",
    ),
    key(
        "region",
        Shape::Text,
        Absent::Required("\"Vlaanderen\""),
        "Its region: zones close to each other.",
    ),
];

const LISTEN: &[Key] = &[
    key(
        "client",
        Shape::Address,
        Absent::Default("\"127.0.0.1:6432\""),
        "PostgreSQL clients, over TCP. `--listen` overrides it.",
    ),
    key(
        "admin",
        Shape::Address,
        Absent::Default("\"127.0.0.1:6433\""),
        "The admin endpoint, over HTTP: /live, /ready, /status and /metrics.",
    ),
    key(
        "internal",
        Shape::Address,
        Absent::Default("\"127.0.0.1:6434\""),
        "Work forwarded by other nodes, over TCP.",
    ),
    key(
        "gossip",
        Shape::Address,
        Absent::Default("\"127.0.0.1:6435\""),
        "Membership and policy gossip, over UDP.",
    ),
];

const PLATFORM: &[Key] = &[
    key(
        "url",
        Shape::Url,
        Absent::Required("\"http://127.0.0.1:6400\""),
        "The base address of the platform's HTTP service.",
    ),
    milliseconds(
        "poll_ms",
        10,
        "500",
        "How often a watcher reads the policy head and the machine list, in milliseconds.",
    ),
    milliseconds(
        "timeout_ms",
        10,
        "2000",
        "How long one call may take, in milliseconds.",
    ),
];

const LIMITS: &[Key] = &[
    key(
        "clients",
        Shape::Integer(1, MAX_COUNT),
        Absent::Default("10000"),
        "Client connections on this node.",
    ),
    key(
        "statement_bytes",
        Shape::Integer(1_024, MAX_BYTES),
        Absent::Default("1048576"),
        "Bytes of one statement or client message.",
    ),
    key(
        "queue",
        Shape::Integer(1, MAX_COUNT),
        Absent::Default("1000"),
        "Requests that may wait for one database.",
    ),
    milliseconds(
        "queue_wait_ms",
        0,
        "5000",
        "The longest wait of a request before it is sent; a policy may ask for less.",
    ),
    milliseconds(
        "startup_ms",
        10,
        "10000",
        "The time for a client's start-up.",
    ),
    milliseconds(
        "idle_ms",
        0,
        "0",
        "The time that a client may stay idle outside a transaction; 0 is no limit.",
    ),
    milliseconds(
        "idle_in_transaction_ms",
        10,
        "60000",
        "The time that a client may stay idle inside a transaction.",
    ),
    milliseconds(
        "slow_reader_ms",
        10,
        "30000",
        "The time for which a client that takes no bytes of its answer is kept.",
    ),
    key(
        "recorded_answer_bytes",
        Shape::Integer(0, MAX_BYTES),
        Absent::Default("65536"),
        "Bytes of a keyed request's answer that are recorded for a repeat.",
    ),
    key(
        "request_key_seconds",
        Shape::Integer(1, MAX_SECONDS),
        Absent::Default("86400"),
        "The time for which request keys are kept, in seconds.",
    ),
    milliseconds(
        "drain_ms",
        0,
        "30000",
        "The time that a drain waits for work in flight.",
    ),
    milliseconds(
        "confirm_ms",
        10,
        "5000",
        "How long a commit's confirmation is awaited before its outcome is unknown.",
    ),
    milliseconds(
        "probe_ms",
        1,
        "100",
        "How often a group's servers are probed while all is well.",
    ),
    milliseconds(
        "probe_in_doubt_ms",
        1,
        "20",
        "How often a group's servers are probed while its primary is in doubt.",
    ),
];

const LOG: &[Key] = &[
    key(
        "format",
        Shape::Choice(&["json", "text"]),
        Absent::Default("\"json\""),
        "The form of the lines on standard error: `json` or `text`.",
    ),
    key(
        "level",
        Shape::Choice(&["error", "warn", "info", "debug", "trace"]),
        Absent::Default("\"info\""),
        "The least level: `error`, `warn`, `info`, `debug` or `trace`.",
    ),
];

const REACH: &[Key] = &[
    key(
        "node",
        Shape::Text,
        Absent::Required("\"namur-hal-1\""),
        "The node.",
    ),
    key(
        "gossip",
        Shape::Address,
        Absent::Required("\"127.0.0.1:7435\""),
        "Its gossip address as seen from here.",
    ),
    key(
        "internal",
        Shape::Address,
        Absent::Required("\"127.0.0.1:7434\""),
        "Its internal address as seen from here.",
    ),
];

const MEMBERSHIP: &[Key] = &[
    key(
        "seeds",
        Shape::Addresses,
        Absent::Default("[]"),
        "Gossip addresses to join by; the platform's machine list is used as well.",
    ),
    milliseconds(
        "probe_ms",
        10,
        "1000",
        "The time between two probes that this node sends to other nodes.",
    ),
    milliseconds(
        "suspicion_ms",
        10,
        "5000",
        "The time that a suspected node has to refute the suspicion.",
    ),
    key(
        "reach",
        Shape::Tables(REACH),
        Absent::Default("[]"),
        "Addresses that replace the announced ones, as behind a relay.",
    ),
];

const HOMES: &[Key] = &[key(
    "per_zone",
    Shape::Integer(0, MAX_COUNT),
    Absent::Default("2"),
    "Home nodes of a database in each zone; 0 makes every node a home of every database.",
)];

const SERVER: &[Key] = &[
    key(
        "name",
        Shape::Text,
        Absent::Required("\"members-1\""),
        "The server's name, unique within the group.",
    ),
    key(
        "address",
        Shape::Address,
        Absent::Required("\"127.0.0.1:5432\""),
        "Its PostgreSQL address.",
    ),
    key(
        "zone",
        Shape::Text,
        Absent::Required("\"gent-hal\""),
        "Its zone.",
    ),
];

const SIDE: &[Key] = &[
    key(
        "side",
        Shape::Choice(&["old", "new"]),
        Absent::Required("\"old\""),
        "Which side of the move: `old` or `new`.",
    ),
    key(
        "server",
        Shape::Tables(SERVER),
        Absent::Required(""),
        "The servers of the group; an odd number, commonly three.",
    ),
];

const DATABASE: &[Key] = &[
    key(
        "name",
        Shape::Text,
        Absent::Required("\"members\""),
        "The name that clients connect to.",
    ),
    key(
        "connections",
        Shape::Integer(1, MAX_COUNT),
        Absent::Required("40"),
        "Connections that all nodes together may hold to each server of the database.",
    ),
    key(
        "slots",
        Shape::Integer(1, MAX_COUNT),
        Absent::Required("5"),
        "Requests that one server runs at the same time.",
    ),
    key(
        "user",
        Shape::Text,
        Absent::Default("\"spurpier\""),
        "The user under which the node connects.",
    ),
    key(
        "side",
        Shape::Tables(SIDE),
        Absent::Required(""),
        "The sides: one before any move, two during it.",
    ),
];

/// The tables at the top of the settings file, in the order of the template.
pub const ROOT: &[Key] = &[
    table("node", NODE, "Who the node is and where it stands."),
    table("listen", LISTEN, "Where the node listens."),
    table("platform", PLATFORM, "How the node reaches the platform."),
    table(
        "limits",
        LIMITS,
        "Bounds on clients, statements, queues and times; times in milliseconds.",
    ),
    table("log", LOG, "How the node logs."),
    table(
        "membership",
        MEMBERSHIP,
        "How the node finds and probes other nodes; times in milliseconds.",
    ),
    table("homes", HOMES, "How databases are spread over nodes."),
    key(
        "database",
        Shape::Tables(DATABASE),
        Absent::Default("[]"),
        "The databases that the node serves, one table each.",
    ),
];
