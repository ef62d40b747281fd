//! A stand-in for a database server: PostgreSQL's protocol over SQLite, in a replicated group.
//!
//! Each server keeps a log of committed write transactions and takes part in elections as in Raft.
//! Unlike Raft, the primary answers its clients before the other servers have a record, and a
//! primary that is cut off goes on serving until it learns of a newer term: what PostgreSQL with
//! asynchronous replication and an outside election does.
//!
//! What it lacks of PostgreSQL: savepoints, `COPY`, authentication and encryption, `INSERT` with
//! fewer values than columns and no column list, types beyond those of `sql_type`, and a `LIKE`
//! that tells upper from lower case.

mod applier;
mod apply_queue;
mod config;
mod connection;
mod consensus;
mod durable;
mod election;
mod executor;
mod follower;
mod group;
mod group_call;
mod group_functions;
mod handover;
mod listener;
mod parameter_types;
mod peer_connection;
mod peer_listener;
mod peer_message;
mod portal;
mod prepared;
mod record;
mod replication;
mod replicator;
mod result_types;
mod role;
mod schema;
mod server;
mod server_core;
mod session;
mod session_registry;
mod session_tables;
mod settings;
mod sql_error;
mod sql_text;
mod sql_type;
mod tables;
mod transaction;
mod transaction_control;

pub mod command;

pub use config::{PeerAddress, ServerConfig};
pub use group::DatabaseGroup;
pub use server::{DatabaseServer, RunningServer, ServerError};
