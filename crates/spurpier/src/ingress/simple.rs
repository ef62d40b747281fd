//! Simple queries: one text with any number of statements.

use spurpier_core::reason::Reason;
use spurpier_core::statement::{ClassifiedStatement, ClassifiedText, LocalCommand, StatementClass};

use super::client_stream::Ended;
use super::connection::{Connection, StepOutcome, Transaction};
use super::reply::{self, Refusal};
use super::work::{RequestNotes, Work};

impl Connection {
    /// Answers a simple query, all but its ReadyForQuery.
    ///
    /// Phase 2 is here: the text is classified, and cut where a statement must stand alone.
    /// Statements between two such cuts go to the back end together.
    pub(super) async fn answer_query(&mut self, text: &str) -> Result<(), Ended> {
        let classified = self.shared.classifications.classify(text);
        if classified.statements.is_empty() {
            reply::append_empty_query(&mut self.client.output);
            return Ok(());
        }
        if self.would_split_a_write(&classified) {
            let detail = "a write before a command in one text, outside a transaction block";
            self.refuse(&Refusal::with_detail(Reason::Unsupported, detail));
            return Ok(());
        }
        let notes = notes_of(&classified);
        for group in group_statements(&classified.statements) {
            let outcome = self.run_group(text, group, &notes).await?;
            if outcome == StepOutcome::Failed {
                break;
            }
        }
        Ok(())
    }

    async fn run_group(
        &mut self,
        text: &str,
        group: &[ClassifiedStatement],
        notes: &RequestNotes,
    ) -> Result<StepOutcome, Ended> {
        let (Some(first), Some(last)) = (group.first(), group.last()) else {
            return Ok(StepOutcome::Done);
        };
        let group_text = &text[first.range.start..last.range.end];
        if first.class.must_be_sent_alone() {
            self.describe_shown(&first.class);
            return self.run_command(&first.class, group_text, notes).await;
        }
        let writes = group.iter().any(|one| one.class == StatementClass::Write);
        let work = Work::query(group_text, writes, notes.clone());
        self.run_work(work).await
    }

    /// In a simple query the description of rows comes with the rows.
    fn describe_shown(&mut self, class: &StatementClass) {
        if let StatementClass::Local(LocalCommand::Show(setting)) = class
            && !self.has_failed_block()
        {
            reply::append_text_column(&mut self.client.output, setting.name());
        }
    }

    /// Whether cutting the text would make several transactions of what a server runs as one:
    /// outside a transaction block, writes may only stand at the text's end.
    fn would_split_a_write(&self, classified: &ClassifiedText) -> bool {
        let mut is_outside = matches!(self.transaction, Transaction::Idle);
        let mut has_unfinished_write = false;
        for group in group_statements(&classified.statements) {
            if has_unfinished_write {
                return true;
            }
            match group[0].class {
                StatementClass::Begin { .. } => is_outside = false,
                StatementClass::Commit | StatementClass::Rollback => is_outside = true,
                _ => {
                    let is_write = |one: &ClassifiedStatement| one.class == StatementClass::Write;
                    has_unfinished_write = is_outside && group.iter().any(is_write);
                }
            }
        }
        false
    }
}

fn notes_of(classified: &ClassifiedText) -> RequestNotes {
    RequestNotes {
        request_key: classified.hints.request_key.clone(),
        class: classified.hints.class.clone(),
        digest: classified.token_digest,
    }
}

/// Cuts statements into groups: those that must stand alone, and runs of all others.
fn group_statements(
    statements: &[ClassifiedStatement],
) -> impl Iterator<Item = &[ClassifiedStatement]> {
    statements.chunk_by(|left, right| {
        !left.class.must_be_sent_alone() && !right.class.must_be_sent_alone()
    })
}
