//! What the functions of the group do when a session calls them.

use std::sync::Arc;

use nanoserde::SerBin;
use rusqlite::types::Value;
use spurpier_core::group::ServerRole;
use spurpier_core::identity::ServerName;
use spurpier_core::position::Position;

use super::executor::{Answer, Executor};
use super::group_call::{GroupCall, GroupFunction};
use super::handover;
use super::server_core::ServerCore;
use super::session_tables::replaced_tables;
use super::sql_error::{SqlError, SqlState};

const READ_FENCE: &str = "SELECT epoch, open FROM spurpier_fence";
const WRITE_FENCE: &str = "UPDATE spurpier_fence SET epoch = ?1, open = ?2";
const WRITE_FOLLOW: &str = "UPDATE spurpier_follow SET addresses = ?1";
/// How many records `group_log` gives at most.
const LOG_LIMIT: usize = 1_000;

/// The row of the fence.
struct Fence {
    epoch: i64,
    open: bool,
}

impl Executor {
    /// Runs a call.
    pub(crate) async fn call(
        &mut self,
        call: &GroupCall,
        parameters: &[Value],
    ) -> Result<Answer, SqlError> {
        let rows = match call.function {
            GroupFunction::Status => vec![self.status_row()?],
            GroupFunction::LastCommit => vec![position_row(self.last_commit)],
            GroupFunction::Log => {
                let after = call.number(0, parameters)?;
                let limit = call.number(1, parameters)?;
                log_rows(&self.core, after, limit)
            }
            GroupFunction::RequireEpoch => {
                self.require_epoch(call.number(0, parameters)?).await?;
                void()
            }
            GroupFunction::RaiseFence => {
                self.raise_fence(call.number(0, parameters)?).await?;
                void()
            }
            GroupFunction::OpenFence => {
                self.open_fence(call.number(0, parameters)?).await?;
                void()
            }
            GroupFunction::Transfer => {
                let server = ServerName::from(call.text(0, parameters)?);
                self.transfer(&server).await?;
                void()
            }
            GroupFunction::Follow => {
                let addresses = Value::Text(call.text(0, parameters)?);
                let sql = WRITE_FOLLOW.to_owned();
                self.run_logged(sql, vec![addresses], true).await?;
                void()
            }
            GroupFunction::Sleep => {
                self.sleep(call.number(0, parameters)?).await?;
                void()
            }
        };
        let chosen = rows.into_iter().map(|row| {
            let values = call.projection.iter().map(|index| row[*index].clone());
            values.collect()
        });
        Ok(Answer {
            rows: chosen.collect(),
            tag: "SELECT".to_owned(),
        })
    }

    /// The status; an error if the tables were rebuilt since this session read them, because the
    /// position would then not cover what it has read.
    fn status_row(&mut self) -> Result<Vec<Value>, SqlError> {
        let row = status_row(&self.core);
        let generation = self.core.consensus().queue.generation();
        let read = self.read_generation.take();
        if read.is_some_and(|read| read != generation) {
            return Err(replaced_tables());
        }
        Ok(row)
    }

    async fn fence(&mut self) -> Result<Fence, SqlError> {
        self.begin_write().await?;
        let result = self.run(READ_FENCE.to_owned(), Vec::new()).await?;
        match result.rows.first().map(Vec::as_slice) {
            Some([Value::Integer(epoch), Value::Integer(open)]) => Ok(Fence {
                epoch: *epoch,
                open: *open != 0,
            }),
            _ => Err(SqlError::new(
                SqlState::Internal,
                "spurpier_fence has no row",
            )),
        }
    }

    async fn require_epoch(&mut self, epoch: i64) -> Result<(), SqlError> {
        let fence = self.fence().await?;
        if fence.epoch == epoch && fence.open {
            return Ok(());
        }
        let state = if fence.open { "open" } else { "closed" };
        let message = format!("the fence is {state} at epoch {}, not {epoch}", fence.epoch);
        Err(SqlError::new(SqlState::FenceClosed, message))
    }

    async fn raise_fence(&mut self, epoch: i64) -> Result<(), SqlError> {
        let fence = self.fence().await?;
        let repeated = epoch == fence.epoch && !fence.open;
        if epoch <= fence.epoch && !repeated {
            return Err(fence_conflict(&fence, epoch));
        }
        self.write_fence(epoch, false).await
    }

    async fn open_fence(&mut self, epoch: i64) -> Result<(), SqlError> {
        let fence = self.fence().await?;
        if fence.epoch > epoch {
            return Err(fence_conflict(&fence, epoch));
        }
        self.write_fence(epoch, true).await
    }

    /// Writes the fence also where it stays the same, so that the caller learns a position.
    async fn write_fence(&mut self, epoch: i64, open: bool) -> Result<(), SqlError> {
        let values = vec![Value::Integer(epoch), Value::Integer(open.into())];
        self.run_logged(WRITE_FENCE.to_owned(), values, true)
            .await?;
        Ok(())
    }

    async fn transfer(&mut self, server: &ServerName) -> Result<(), SqlError> {
        if self.transaction.write.is_some() {
            let message = "group_transfer cannot run in a transaction that writes";
            return Err(SqlError::new(SqlState::ActiveTransaction, message));
        }
        let transfer = handover::transfer(Arc::clone(&self.core), server.clone());
        transfer.await.map_err(|reason| {
            let message = reason.to_string();
            SqlError::new(SqlState::ObjectNotInPrerequisiteState, message)
        })
    }
}

fn fence_conflict(fence: &Fence, epoch: i64) -> SqlError {
    let message = format!("the fence is at epoch {}, past {epoch}", fence.epoch);
    SqlError::new(SqlState::FenceConflict, message)
}

fn void() -> Vec<Vec<Value>> {
    vec![vec![Value::Text(String::new())]]
}

fn number(value: u64) -> Value {
    Value::Integer(i64::try_from(value).unwrap_or(i64::MAX))
}

fn position_row(position: Position) -> Vec<Value> {
    vec![number(position.term), number(position.offset)]
}

fn status_row(core: &ServerCore) -> Vec<Value> {
    let status = core.status();
    let role = match status.role {
        ServerRole::Primary => "primary",
        ServerRole::Replica => "replica",
    };
    let mut row = vec![number(status.vote_term)];
    row.extend(position_row(status.received));
    row.extend(position_row(status.applied));
    row.extend(position_row(status.upstream_applied));
    row.push(Value::Text(role.to_owned()));
    row.push(Value::Integer(status.leaving.into()));
    row.extend(position_row(status.term_parent));
    row
}

/// The records past `after` that no later primary can lack.
fn log_rows(core: &ServerCore, after: u64, limit: usize) -> Vec<Vec<Value>> {
    let consensus = core.consensus();
    let available = consensus.confirmed().saturating_sub(after);
    let available = usize::try_from(available).unwrap_or(usize::MAX);
    let records = consensus
        .log()
        .records_after(after, limit.min(LOG_LIMIT).min(available));
    let rows = records.iter().map(|record| {
        let mut row = position_row(record.position);
        row.push(Value::Blob(record.serialize_bin()));
        row
    });
    rows.collect()
}
