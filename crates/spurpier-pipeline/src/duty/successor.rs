//! Handing a group over: who takes over, and the order.

use std::sync::Arc;
use std::time::Duration;

use spurpier_core::lead::{Candidate, choose_successor};
use spurpier_core::position::Position;
use spurpier_events::log_event;
use tokio::time::timeout;

use crate::context::Context;
use crate::events;
use crate::group::Group;
use crate::ports::{
    FencingToken, Promotion, PromotionAnswer, ServerRequest, ServerRole, ServerStatus, StoreError,
};
use crate::server::{Server, Values};
use crate::unit::{Place, own_attempt};

/// How long a server may take to give a connection for a question.
const CONNECTION_LIMIT: Duration = Duration::from_millis(400);
/// How long a server may take to tell its status.
const STATUS_LIMIT: Duration = Duration::from_millis(400);
/// How often a status is asked for again.
const STATUS_PAUSE: Duration = Duration::from_millis(20);
/// How long a successor may take to receive what the former primary has.
const CATCH_UP_LIMIT: Duration = Duration::from_millis(1_000);
/// How long the promotion service may take to answer.
const ORDER_LIMIT: Duration = Duration::from_millis(1_500);

/// A replica and what it told.
struct Told {
    server: Arc<Server>,
    status: Option<ServerStatus>,
}

/// Asks one server; none if it does not tell.
async fn ask(
    context: &Context,
    server: &Arc<Server>,
    request: ServerRequest<'static>,
) -> Option<ServerStatus> {
    let clock = &context.clock;
    let until = clock.now() + CONNECTION_LIMIT;
    let lease = server.pool.acquire(&Values::new(), until).await.ok()?;
    let place = Place::new(Arc::clone(server), lease);
    let until = clock.now() + STATUS_LIMIT;
    let (_place, result) = own_attempt(clock, place, request, until).await;
    let answered = result.ok()?;
    context.server_dialect.read_status(&answered.answer)
}

/// Asks all servers but the former primary at the same time.
///
/// Where commits wait for replicas, those that have just left the directory are asked as well:
/// they may hold what was acknowledged.
async fn ask_replicas(
    context: &Context,
    group: &Group,
    former: Option<&Server>,
    request: ServerRequest<'static>,
) -> Vec<Told> {
    let former = former.map(|server| server.instance.as_str());
    let with_gone = group.synchronous_replicas() > 0;
    let replicas = group.servers().into_iter();
    let replicas = replicas
        .filter(|server| Some(server.instance.as_str()) != former)
        .filter(|server| with_gone || !server.is_gone());
    let questions = replicas.map(|server| async move {
        let status = ask(context, &server, request).await;
        Told { server, status }
    });
    futures::future::join_all(questions).await
}

fn choose(told: &[Told], synchronous_replicas: usize) -> Option<Arc<Server>> {
    let candidates: Vec<Candidate> = told
        .iter()
        .map(|told| Candidate {
            received: told.status.as_ref().map(|status| status.received),
            staying: told.server.is_staying(),
        })
        .collect();
    let chosen = choose_successor(&candidates, synchronous_replicas)?;
    // A server that tells nothing may not even run.
    told[chosen].status.as_ref()?;
    Some(Arc::clone(&told[chosen].server))
}

/// Lets a replica take over from a primary that is lost.
///
/// With synchronous replicas they are paused first, so that the former primary acknowledges
/// nothing more that the successor would lack.
pub async fn replace_lost(
    context: &Context,
    group: &Group,
    former: Option<&Server>,
    token: FencingToken,
) -> Option<Result<PromotionAnswer, StoreError>> {
    let synchronous = group.synchronous_replicas();
    let mut told = ask_replicas(context, group, former, ServerRequest::Status).await;
    if synchronous > 0 {
        let newest = told.iter().filter_map(|told| told.status.as_ref());
        let term = newest.map(|status| status.term).max()? + 1;
        told = ask_replicas(context, group, former, ServerRequest::Pause { term }).await;
    }
    let Some(successor) = choose(&told, synchronous) else {
        resume(context, group, former, synchronous).await;
        return None;
    };
    let answer = order(context, group, &successor, token).await;
    // An order that changes nothing, since the successor leads already, resumes nobody.
    resume(context, group, former, synchronous).await;
    Some(answer)
}

async fn resume(context: &Context, group: &Group, former: Option<&Server>, synchronous: usize) {
    if synchronous > 0 {
        ask_replicas(context, group, former, ServerRequest::Resume).await;
    }
}

/// Lets a replica take over from a primary that leaves, without losing a commit: the primary
/// steps down, and the successor receives all that it has.
///
/// Nothing is done if the former primary does not lead any more: another node's decision was
/// faster. With synchronous replicas the primary steps down only if a successor surely holds what
/// was acknowledged so far, and the order is given only once that one has the rest.
pub async fn hand_over(
    context: &Context,
    group: &Group,
    former: &Arc<Server>,
    token: FencingToken,
) -> Option<Result<PromotionAnswer, StoreError>> {
    let told = ask_replicas(context, group, Some(former), ServerRequest::Status).await;
    let synchronous = group.synchronous_replicas();
    let successor = choose(&told, synchronous)?;
    let status = ask(context, former, ServerRequest::Status).await;
    if status
        .as_ref()
        .is_some_and(|status| status.role == ServerRole::Replica)
    {
        return None;
    }
    let term = status.map_or_else(|| newest_term(&told), |status| status.term);
    let request = ServerRequest::StepDown { term: term + 1 };
    let has_all = match ask(context, former, request).await {
        Some(status) => await_position(context, &successor, status.received).await,
        None => false,
    };
    if synchronous > 0 && !has_all {
        return None;
    }
    // A successor that is too far behind takes over all the same: the group must serve.
    Some(order(context, group, &successor, token).await)
}

fn newest_term(told: &[Told]) -> u64 {
    let statuses = told.iter().filter_map(|told| told.status.as_ref());
    statuses.map(|status| status.term).max().unwrap_or(0)
}

/// Waits until a server has received a position, for a while; tells whether it has.
async fn await_position(context: &Context, server: &Arc<Server>, position: Position) -> bool {
    let waiting = async {
        loop {
            let status = ask(context, server, ServerRequest::Status).await;
            if status.is_some_and(|status| status.received >= position) {
                return;
            }
            tokio::time::sleep(STATUS_PAUSE).await;
        }
    };
    timeout(CATCH_UP_LIMIT, waiting).await.is_ok()
}

async fn order(
    context: &Context,
    group: &Group,
    successor: &Server,
    token: FencingToken,
) -> Result<PromotionAnswer, StoreError> {
    log_event!(
        events::PROMOTION_SENT,
        group = group.name,
        server = successor.instance,
        token = token.0
    );
    let call = context.promotions.promote(Promotion {
        group: group.name.clone(),
        instance: successor.instance.clone(),
        holder: context.settings.node.name.clone(),
        token,
    });
    let answer = timeout(ORDER_LIMIT, call).await;
    let answer = answer.unwrap_or(Err(StoreError::Unknown));
    log_event!(
        events::PROMOTION_ANSWERED,
        group = group.name,
        server = successor.instance,
        token = token.0,
        answer = format!("{answer:?}")
    );
    answer
}
