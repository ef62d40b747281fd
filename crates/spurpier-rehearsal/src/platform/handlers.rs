//! The calls of the platform and those that steer the stand-in.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Instant, SystemTime, UNIX_EPOCH};

use axum::body::Bytes;
use axum::extract::{Path, Query, State};
use axum::http::StatusCode;
use axum::middleware::from_fn_with_state;
use axum::response::{IntoResponse, Response};
use axum::routing::{get, post, put};
use axum::{Json, Router};
use serde::Deserialize;
use spurpier::platform::wire::{Machine, MachineList, Rows, Transaction};

use super::counters::CounterReport;
use super::faults::FaultSettings;
use super::guard::guard;
use super::objects::PutOutcome;
use super::state::PlatformState;

type SharedState = State<Arc<PlatformState>>;

/// All calls.
pub(super) fn router(state: Arc<PlatformState>) -> Router {
    let platform = Router::new()
        .route("/table/transact", post(transact))
        .route("/table/rows", get(list_rows))
        .route("/table/rows/{*key}", get(read_row))
        .route("/objects/{*name}", put(write_object).get(read_object))
        .route("/machines", get(list_machines))
        .layer(from_fn_with_state(state.clone(), guard));
    let control = Router::new()
        .route("/control/faults", post(set_faults))
        .route("/control/counters", get(read_counters))
        .route(
            "/control/machines/{name}",
            put(set_machine).delete(remove_machine),
        );
    platform.merge(control).with_state(state)
}

fn locked<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

async fn transact(State(state): SharedState, Json(transaction): Json<Transaction>) -> Response {
    match locked(&state.table).transact(transaction) {
        Ok(written) => Json(written).into_response(),
        Err(conflicts) => (StatusCode::CONFLICT, Json(conflicts)).into_response(),
    }
}

#[derive(Debug, Deserialize)]
struct RowsQuery {
    #[serde(default)]
    prefix: String,
}

async fn list_rows(State(state): SharedState, Query(query): Query<RowsQuery>) -> Json<Rows> {
    Json(locked(&state.table).rows(&query.prefix))
}

async fn read_row(State(state): SharedState, Path(key): Path<String>) -> Response {
    match locked(&state.table).row(&key) {
        Some(row) => Json(row).into_response(),
        None => StatusCode::NOT_FOUND.into_response(),
    }
}

async fn write_object(
    State(state): SharedState,
    Path(name): Path<String>,
    bytes: Bytes,
) -> StatusCode {
    match locked(&state.objects).put(name, bytes) {
        PutOutcome::Stored => StatusCode::OK,
        PutOutcome::HeldByOther => StatusCode::CONFLICT,
    }
}

async fn read_object(State(state): SharedState, Path(name): Path<String>) -> Response {
    match locked(&state.objects).get(&name) {
        Some(bytes) => bytes.into_response(),
        None => StatusCode::NOT_FOUND.into_response(),
    }
}

async fn list_machines(State(state): SharedState) -> Json<MachineList> {
    let mut machines = locked(&state.machines);
    let as_of = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default()
        .saturating_sub(machines.lag());
    Json(MachineList {
        as_of_ms: u64::try_from(as_of.as_millis()).unwrap_or(u64::MAX),
        machines: machines.list(Instant::now()),
    })
}

async fn set_machine(
    State(state): SharedState,
    Path(name): Path<String>,
    Json(machine): Json<Machine>,
) -> StatusCode {
    let machine = Machine {
        name: name.clone(),
        ..machine
    };
    locked(&state.machines).change(Instant::now(), name, Some(machine));
    StatusCode::OK
}

async fn remove_machine(State(state): SharedState, Path(name): Path<String>) -> StatusCode {
    locked(&state.machines).change(Instant::now(), name, None);
    StatusCode::OK
}

async fn set_faults(State(state): SharedState, Json(settings): Json<FaultSettings>) -> StatusCode {
    state.faults.set(settings);
    StatusCode::OK
}

async fn read_counters(State(state): SharedState) -> Json<CounterReport> {
    Json(state.counters.report())
}
