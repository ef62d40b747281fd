//! What a request does, step by step, and what its answers must look like.

use rand::{Rng, RngExt};

use super::kind::RequestKind;
use crate::oracle::{ReadFreshness, Write};

/// The table to which all writes append.
pub const ENTRY_TABLE: &str = "entry";
/// The table of fixed rows that browse reads page through.
pub const CATALOGUE_TABLE: &str = "catalogue";
/// How many rows the catalogue holds, with the identifiers 0, 1, 2 and so on.
pub const CATALOGUE_ROWS: u32 = 200;
/// The session setting by which a leak between sessions is seen.
pub const MARKER_SETTING: &str = "rehearsal.marker";

const CATALOGUE_PAGE: u32 = 10;
const SHARED_RECORDS: u32 = 20;
const ENTRIES_PER_ROW_KEY: u64 = 40;
const SHARED_BROWSE_SHARE: f64 = 0.3;
const EXTENDED_PROTOCOL_SHARE: f64 = 0.5;
const FRESH_CLASS: &str = "fresh";
/// The column by which a server tells whether it is a replica.
const SERVED_BY: &str = "CAST(pg_is_in_recovery() AS TEXT) AS replica";

/// The protocol by which a statement is sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum QueryProtocol {
    /// One Query message.
    Simple,
    /// Parse, Bind, Describe, Execute and Sync.
    Extended,
}

/// How many rows a whole answer has.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RowCount {
    /// So many.
    Exactly(u32),
    /// As many as the third column of each row says.
    Reported,
}

/// What the answer to a step must look like.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StepCheck {
    /// It has no rows that matter.
    Nothing,
    /// Every row begins with the tag.
    Tagged {
        /// The tag.
        tag: String,
        /// How many rows.
        rows: RowCount,
    },
    /// Every row is the tag, a value under the row key and the count of rows; without a value
    /// there is one row whose value is null.
    ReadOfRow {
        /// The tag.
        tag: String,
        /// The row key.
        row_key: String,
        /// How fresh the read must be.
        freshness: ReadFreshness,
    },
    /// One row with the value of a setting.
    Setting {
        /// The setting.
        name: String,
        /// Its value in this session.
        expected: String,
    },
}

/// One statement and what is expected of its answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Step {
    /// The statement's text.
    pub statement: String,
    /// How it is sent.
    pub protocol: QueryProtocol,
    /// What its answer must look like.
    pub check: StepCheck,
}

impl Step {
    fn plain(statement: impl Into<String>) -> Self {
        Step {
            statement: statement.into(),
            protocol: QueryProtocol::Simple,
            check: StepCheck::Nothing,
        }
    }
}

/// A request: the steps, the rows it adds and its key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RequestPlan {
    /// The kind.
    pub kind: RequestKind,
    /// The statements; more than one make a transaction.
    pub steps: Vec<Step>,
    /// The rows that it adds if it runs.
    pub writes: Vec<Write>,
    /// The request key.
    pub request_key: Option<String>,
}

/// Who makes a request, and the numbers that make its texts unique.
#[derive(Debug, Clone, Copy)]
pub struct PlanContext<'a> {
    /// The session.
    pub session: &'a str,
    /// How many writes the session has made.
    pub session_writes: u64,
    /// The number of the attempt's first unit, unique in the run.
    pub unit: u64,
}

impl PlanContext<'_> {
    fn tag(&self, step: u32) -> String {
        format!("{}-{}-{step}", self.session, self.unit)
    }

    fn request_key(&self) -> String {
        format!("key-{}-{}", self.session, self.unit)
    }

    fn own_row_key(&self) -> String {
        let part = self.session_writes / ENTRIES_PER_ROW_KEY;
        format!("own-{}-{part}", self.session)
    }

    fn write(&self, row_key: &str, step: u32) -> Write {
        Write {
            row_key: row_key.to_owned(),
            value: format!("v{}", self.tag(step)),
        }
    }
}

/// Plans a request of `kind`.
pub fn plan_request(
    kind: RequestKind,
    context: &PlanContext<'_>,
    random: &mut impl Rng,
) -> RequestPlan {
    match kind {
        RequestKind::Browse => plan_browse(context, random),
        RequestKind::ReadOwn => plan_read_own(context),
        RequestKind::ReadFresh => plan_read_fresh(context, random),
        RequestKind::KeyedWrite => plan_write(kind, context, &context.own_row_key(), true),
        RequestKind::UnkeyedWrite => plan_write(kind, context, &context.own_row_key(), false),
        RequestKind::Update => plan_write(kind, context, &shared_row_key(random), true),
        RequestKind::Transaction => plan_transaction(context),
    }
}

fn plan_browse(context: &PlanContext<'_>, random: &mut impl Rng) -> RequestPlan {
    let mut step = if random.random_bool(SHARED_BROWSE_SHARE) {
        read_of_row(context, &shared_row_key(random), ReadFreshness::Session, "")
    } else {
        read_of_catalogue(context, random)
    };
    if random.random_bool(EXTENDED_PROTOCOL_SHARE) {
        step.protocol = QueryProtocol::Extended;
    }
    read_only(RequestKind::Browse, vec![step])
}

fn plan_read_own(context: &PlanContext<'_>) -> RequestPlan {
    let row_key = context.own_row_key();
    let read = read_of_row(context, &row_key, ReadFreshness::Session, "");
    let setting = Step {
        statement: format!("SHOW {MARKER_SETTING}"),
        protocol: QueryProtocol::Simple,
        check: StepCheck::Setting {
            name: MARKER_SETTING.to_owned(),
            expected: context.session.to_owned(),
        },
    };
    let steps = vec![
        Step::plain("BEGIN READ ONLY"),
        read,
        setting,
        Step::plain("COMMIT"),
    ];
    read_only(RequestKind::ReadOwn, steps)
}

fn plan_read_fresh(context: &PlanContext<'_>, random: &mut impl Rng) -> RequestPlan {
    let comment = format!("/*spurpier_class='{FRESH_CLASS}'*/ ");
    let row_key = shared_row_key(random);
    let step = read_of_row(context, &row_key, ReadFreshness::Fresh, &comment);
    read_only(RequestKind::ReadFresh, vec![step])
}

fn read_only(kind: RequestKind, steps: Vec<Step>) -> RequestPlan {
    RequestPlan {
        kind,
        steps,
        writes: Vec::new(),
        request_key: None,
    }
}

fn plan_write(
    kind: RequestKind,
    context: &PlanContext<'_>,
    row_key: &str,
    keyed: bool,
) -> RequestPlan {
    let write = context.write(row_key, 0);
    let request_key = keyed.then(|| context.request_key());
    let tag = context.tag(0);
    let statement = format!(
        "{}{} RETURNING '{tag}' AS tag",
        key_comment(request_key.as_deref()),
        insert(&write)
    );
    let step = Step {
        statement,
        protocol: QueryProtocol::Simple,
        check: StepCheck::Tagged {
            tag,
            rows: RowCount::Exactly(1),
        },
    };
    RequestPlan {
        kind,
        steps: vec![step],
        writes: vec![write],
        request_key,
    }
}

/// Two inserts in one transaction that must see exactly each other.
fn plan_transaction(context: &PlanContext<'_>) -> RequestPlan {
    let row_key = context.own_row_key();
    let first = context.write(&row_key, 1);
    let second = context.write(&row_key, 2);
    let request_key = context.request_key();
    let tag = context.tag(3);
    let look = Step {
        statement: format!(
            "SELECT '{tag}' AS tag, value FROM {ENTRY_TABLE} WHERE row_key = '{row_key}' \
             AND value IN ('{}', '{}')",
            first.value, second.value
        ),
        protocol: QueryProtocol::Simple,
        check: StepCheck::Tagged {
            tag,
            rows: RowCount::Exactly(2),
        },
    };
    let keyed_insert = format!("{}{}", key_comment(Some(&request_key)), insert(&first));
    let steps = vec![
        Step::plain("BEGIN"),
        Step::plain(keyed_insert),
        Step::plain(insert(&second)),
        look,
        Step::plain("COMMIT"),
    ];
    RequestPlan {
        kind: RequestKind::Transaction,
        steps,
        writes: vec![first, second],
        request_key: Some(request_key),
    }
}

fn read_of_catalogue(context: &PlanContext<'_>, random: &mut impl Rng) -> Step {
    let first = random.random_range(0..CATALOGUE_ROWS - CATALOGUE_PAGE);
    let end = first + CATALOGUE_PAGE;
    let tag = context.tag(0);
    Step {
        statement: format!(
            "SELECT '{tag}' AS tag, title, '{CATALOGUE_PAGE}' AS rows, {SERVED_BY} \
             FROM {CATALOGUE_TABLE} WHERE id >= {first} AND id < {end} ORDER BY id"
        ),
        protocol: QueryProtocol::Simple,
        check: StepCheck::Tagged {
            tag,
            rows: RowCount::Exactly(CATALOGUE_PAGE),
        },
    }
}

fn read_of_row(
    context: &PlanContext<'_>,
    row_key: &str,
    freshness: ReadFreshness,
    comment: &str,
) -> Step {
    let tag = context.tag(0);
    Step {
        statement: format!(
            "{comment}SELECT '{tag}' AS tag, value, CAST(count(*) OVER () AS TEXT) AS rows, \
             {SERVED_BY} FROM (SELECT 1 AS one) AS always \
             LEFT JOIN {ENTRY_TABLE} ON row_key = '{row_key}'"
        ),
        protocol: QueryProtocol::Simple,
        check: StepCheck::ReadOfRow {
            tag,
            row_key: row_key.to_owned(),
            freshness,
        },
    }
}

fn insert(write: &Write) -> String {
    format!(
        "INSERT INTO {ENTRY_TABLE} (row_key, value) VALUES ('{}', '{}')",
        write.row_key, write.value
    )
}

fn key_comment(request_key: Option<&str>) -> String {
    request_key.map_or_else(String::new, |key| format!("/*spurpier_request='{key}'*/ "))
}

fn shared_row_key(random: &mut impl Rng) -> String {
    format!("shared-{}", random.random_range(0..SHARED_RECORDS))
}
