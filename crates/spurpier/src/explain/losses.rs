//! Where statements were lost: what the nodes' logs tell of those that were refused or ended in
//! doubt, counted by time, reason, group, node and tenant.

use std::collections::BTreeMap;
use std::fmt::Write;
use std::time::Duration;

use super::LogLine;

/// The most rows of a table whose rows are sorted by their counts.
const MOST_ROWS: usize = 12;

/// By what statements are counted, beside their reasons.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Dimension {
    Group,
    Node,
    Tenant,
}

impl Dimension {
    const ALL: [Dimension; 3] = [Dimension::Group, Dimension::Node, Dimension::Tenant];

    const fn title(self) -> &'static str {
        match self {
            Dimension::Group => "group",
            Dimension::Node => "node",
            Dimension::Tenant => "tenant",
        }
    }

    fn value(self, line: &LogLine) -> String {
        let value = match self {
            Dimension::Group => line.value("group"),
            Dimension::Node => Some(line.node.as_str()),
            Dimension::Tenant => line.value("tenant"),
        };
        value.unwrap_or("-").to_owned()
    }
}

/// Statements by their reasons.
type ByReason = BTreeMap<String, u64>;

/// The statements that were lost.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Losses {
    /// The length of the spans of time.
    span: Duration,
    /// By the number of the span, counted from the first line of any node.
    by_span: BTreeMap<u64, ByReason>,
    by_dimension: [BTreeMap<String, ByReason>; Dimension::ALL.len()],
    total: ByReason,
}

/// Why a line's statement was lost; none if the line tells of no such statement.
fn reason(line: &LogLine) -> Option<String> {
    match line.event() {
        "request_not_run" => Some(line.value("reason")?.replace(' ', "_")),
        "request_unknown" => Some(format!("unknown_{}", line.value("class")?)),
        _ => None,
    }
}

/// How many statements a line stands for: itself and those whose lines were left out before it.
fn weight(line: &LogLine) -> u64 {
    let suppressed = line.value("suppressed");
    let suppressed = suppressed.and_then(|count| count.parse::<u64>().ok());
    1 + suppressed.unwrap_or(0)
}

impl Losses {
    /// Counts the lines' statements in spans of this length, which is above zero.
    ///
    /// A line whose predecessors were left out counts for them too, under its own reason.
    pub fn of(lines: &[LogLine], span: Duration) -> Self {
        let start = lines.iter().map(|line| line.at).min().unwrap_or_default();
        let mut losses = Losses {
            span,
            by_span: BTreeMap::new(),
            by_dimension: Default::default(),
            total: ByReason::new(),
        };
        for line in lines {
            if let Some(reason) = reason(line) {
                losses.count(line, &reason, line.at - start);
            }
        }
        losses
    }

    fn count(&mut self, line: &LogLine, reason: &str, after: Duration) {
        let weight = weight(line);
        let number = (after.as_secs_f64() / self.span.as_secs_f64()) as u64;
        let mut counts = vec![&mut self.total, self.by_span.entry(number).or_default()];
        for (dimension, table) in Dimension::ALL.into_iter().zip(&mut self.by_dimension) {
            counts.push(table.entry(dimension.value(line)).or_default());
        }
        for count in counts {
            *count.entry(reason.to_owned()).or_default() += weight;
        }
    }

    /// The reasons, the one with the most statements first.
    pub fn reasons(&self) -> Vec<&str> {
        let mut reasons: Vec<(&String, &u64)> = self.total.iter().collect();
        // Stable: equal ones stay in the order of their names.
        reasons.sort_by_key(|(_, count)| std::cmp::Reverse(**count));
        reasons.into_iter().map(|(name, _)| name.as_str()).collect()
    }

    /// Seconds from the first line to the begin of each span, from the first span with a loss to
    /// the last, and its statements lost for a reason.
    pub fn over_time(&self, reason: &str) -> Vec<(f64, u64)> {
        let (Some(first), Some(last)) =
            (self.by_span.keys().next(), self.by_span.keys().next_back())
        else {
            return Vec::new();
        };
        let count = |number| {
            let counts = self.by_span.get(&number)?;
            counts.get(reason).copied()
        };
        (*first..=*last)
            .map(|number| {
                let seconds = number as f64 * self.span.as_secs_f64();
                (seconds, count(number).unwrap_or(0))
            })
            .collect()
    }

    /// The tables as text, reasons as columns.
    pub fn render(&self) -> String {
        let mut text = String::new();
        let spans = self.by_span.iter().map(|(number, counts)| {
            let seconds = *number as f64 * self.span.as_secs_f64();
            (format!("{seconds:.1}"), counts)
        });
        self.render_table(&mut text, "seconds", spans);
        for (dimension, table) in Dimension::ALL.into_iter().zip(&self.by_dimension) {
            let mut rows: Vec<(String, &ByReason)> = table
                .iter()
                .map(|(name, counts)| (name.clone(), counts))
                .collect();
            rows.sort_by_key(|(_, counts)| std::cmp::Reverse(sum(counts)));
            text.push('\n');
            let rows = rows.into_iter().take(MOST_ROWS);
            self.render_table(&mut text, dimension.title(), rows);
        }
        text
    }

    fn render_table<'a>(
        &self,
        text: &mut String,
        title: &str,
        rows: impl Iterator<Item = (String, &'a ByReason)>,
    ) {
        let reasons = self.reasons();
        // Writing to a text does not fail.
        let _ = write!(text, "{title:<24} {:>8}", "all");
        for reason in &reasons {
            let _ = write!(text, " {:>width$}", reason, width = column_width(reason));
        }
        text.push('\n');
        for (name, counts) in rows {
            let _ = write!(text, "{name:<24} {:>8}", sum(counts));
            for reason in &reasons {
                let count = counts.get(*reason).copied().unwrap_or(0);
                let _ = write!(text, " {count:>width$}", width = column_width(reason));
            }
            text.push('\n');
        }
    }
}

fn sum(counts: &ByReason) -> u64 {
    counts.values().sum()
}

/// Wide enough for the reason and for counts of a day.
fn column_width(reason: &str) -> usize {
    reason.len().max(7)
}
