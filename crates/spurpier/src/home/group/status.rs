//! The statements by which a server tells of itself, and how their answers are read.

use spurpier_core::group::{ServerRole, ServerStatus};
use spurpier_core::position::Position;

use crate::home::backend::QueryAnswer;

/// Asks a server for its status.
pub const STATUS_QUERY: &str = "SELECT * FROM group_status()";
/// Asks for the epoch of the server's fence.
pub const FENCE_EPOCH_QUERY: &str = "SELECT epoch FROM spurpier_fence";
/// Asks for the position of the last transaction with a write on the connection.
pub const LAST_COMMIT_QUERY: &str = "SELECT * FROM group_last_commit()";

/// Reads the answer of [`STATUS_QUERY`]; none if it is an error or malformed.
pub fn read_status(answer: &QueryAnswer) -> Option<ServerStatus> {
    let number = |column: usize| answer.first(column)?.parse::<u64>().ok();
    let position = |column: usize| Some(Position::new(number(column)?, number(column + 1)?));
    let role = match answer.first(7)? {
        "primary" => ServerRole::Primary,
        "replica" => ServerRole::Replica,
        _ => return None,
    };
    Some(ServerStatus {
        vote_term: number(0)?,
        received: position(1)?,
        // A server that does not tell it leaves the columns out.
        term_parent: position(9).unwrap_or(Position::ZERO),
        applied: position(3)?,
        upstream_applied: position(5)?,
        role,
        leaving: answer.first(8)? == "t",
    })
}

/// Reads the answer of [`FENCE_EPOCH_QUERY`]; none if it is an error or malformed.
pub fn read_fence_epoch(answer: &QueryAnswer) -> Option<u64> {
    answer.first(0)?.parse().ok()
}

/// Reads the answer of [`LAST_COMMIT_QUERY`]; none if it is an error or malformed.
pub fn read_last_commit(answer: &QueryAnswer) -> Option<Position> {
    let term = answer.first(0)?.parse().ok()?;
    let offset = answer.first(1)?.parse().ok()?;
    Some(Position::new(term, offset))
}
