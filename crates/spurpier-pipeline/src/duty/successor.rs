//! Who takes a group over, what the servers must have received before, and the order.

use std::sync::Arc;
use std::time::Duration;

use spurpier_core::directory::Incarnation;
use spurpier_core::leader::{SuccessorCandidate, choose_successor};
use spurpier_core::position::Position;
use spurpier_events::log_event;
use tokio::time::timeout;

use crate::context::Context;
use crate::events;
use crate::group::Group;
use crate::ports::{
    FencingToken, Promotion, PromotionAnswer, ServerRequest, ServerRole, ServerStatus, StoreError,
};
use crate::server::{ConnectionNeed, Server, Values};
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

/// A server that is to take over.
#[derive(Debug, Clone)]
pub struct Successor {
    /// The server.
    pub server: Arc<Server>,
    /// What it had received when it was chosen; the start of the log if that is not known.
    pub received: Position,
}

/// A server and what it told.
struct Told {
    server: Arc<Server>,
    status: Option<ServerStatus>,
}

impl Told {
    fn leads(&self) -> bool {
        let status = self.status.as_ref();
        status.is_some_and(|status| status.role == ServerRole::Primary)
    }

    fn as_successor(&self) -> Successor {
        Successor {
            server: Arc::clone(&self.server),
            received: self.received(),
        }
    }

    fn received(&self) -> Position {
        let status = self.status.as_ref();
        status.map_or(Position::ZERO, |status| status.received)
    }

    fn term(&self) -> u64 {
        self.status.as_ref().map_or(0, |status| status.term)
    }
}

/// Asks one server; none if it does not tell.
async fn ask(
    context: &Context,
    server: &Arc<Server>,
    request: ServerRequest<'static>,
) -> Option<ServerStatus> {
    let clock = &context.clock;
    let until = clock.now() + CONNECTION_LIMIT;
    let values = Values::new();
    let need = ConnectionNeed::own(&values);
    let lease = server.pool.acquire(need, until).await.ok()?;
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
    let former = former.map(|server| &server.incarnation);
    let with_gone = group.synchronous_replicas() > 0;
    let replicas = group.servers().into_iter();
    let replicas = replicas
        .filter(|server| Some(&server.incarnation) != former)
        .filter(|server| with_gone || !server.is_gone());
    let questions = replicas.map(|server| async move {
        let status = ask(context, &server, request).await;
        Told { server, status }
    });
    futures::future::join_all(questions).await
}

fn choose(context: &Context, group: &Group, told: &[Told]) -> Option<Successor> {
    let now = context.clock.now();
    let places = &context.places;
    let candidates: Vec<SuccessorCandidate> = told
        .iter()
        .map(|told| SuccessorCandidate {
            received: told.status.as_ref().map(|status| status.received),
            eligible: told.server.is_staying() && places.may_succeed(&told.server, now),
            placement_score: places.fit(group, &told.server, now),
        })
        .collect();
    let chosen = choose_successor(&candidates, group.synchronous_replicas())?;
    // A server that tells nothing may not even run.
    told[chosen].status.as_ref()?;
    Some(told[chosen].as_successor())
}

/// The server that is to take over from a primary that is lost; none if there is none yet.
///
/// A server that leads already, by an order that was carried out late or whose answer was lost,
/// goes before all others.
pub async fn find_successor(
    context: &Context,
    group: &Group,
    former: Option<&Server>,
) -> Option<Successor> {
    let told = ask_replicas(context, group, former, ServerRequest::Status).await;
    // One that lacks what it has shown as the lead has started again without its log.
    let leading = told
        .iter()
        .filter(|told| told.leads() && !group.has_lost_log(&told.server, told.received()));
    let leading = leading.max_by_key(|told| told.term());
    match leading.filter(|leading| leading.term() == newest_term(&told)) {
        Some(leading) => Some(leading.as_successor()),
        None => choose(context, group, &told),
    }
}

/// Makes sure, where commits wait for replicas, that the chosen successor of a lost primary holds
/// all that was acknowledged: the replicas are paused, so that the former primary acknowledges
/// nothing more, and asked again.
pub async fn holds_all(
    context: &Context,
    group: &Group,
    former: Option<&Server>,
    successor: &Server,
) -> bool {
    if group.synchronous_replicas() == 0 {
        return true;
    }
    let told = ask_replicas(context, group, former, ServerRequest::Status).await;
    let term = newest_term(&told) + 1;
    let told = ask_replicas(context, group, former, ServerRequest::Pause { term }).await;
    let chosen = choose(context, group, &told);
    let holds_all = chosen.is_some_and(|chosen| {
        let received = |wanted: &Incarnation| {
            let mut told = told.iter();
            let told = told.find(|told| told.server.incarnation == *wanted)?;
            Some(told.status.as_ref()?.received)
        };
        received(&chosen.server.incarnation) == received(&successor.incarnation)
    });
    if !holds_all {
        resume(context, group, former).await;
    }
    holds_all
}

/// Lets the replicas receive again that were paused for a decision.
///
/// An order that changes nothing, since the successor leads already, resumes nobody.
pub async fn resume(context: &Context, group: &Group, former: Option<&Server>) {
    if group.synchronous_replicas() > 0 {
        ask_replicas(context, group, former, ServerRequest::Resume).await;
    }
}

/// The server that is to take over from a primary that leaves; none if there is none yet, or if
/// the former primary does not lead any more: another node's decision was faster.
///
/// With synchronous replicas it surely holds what was acknowledged so far.
pub async fn find_heir(
    context: &Context,
    group: &Group,
    former: &Arc<Server>,
) -> Option<Successor> {
    let told = ask_replicas(context, group, Some(former), ServerRequest::Status).await;
    let heir = choose(context, group, &told)?;
    let status = ask(context, former, ServerRequest::Status).await;
    let is_replica = status.is_some_and(|status| status.role == ServerRole::Replica);
    (!is_replica).then_some(heir)
}

/// The server that is to take over in a region from a primary that serves: the one there that has
/// received most, if it receives all that the primary had just now. None if there is none.
///
/// Nothing is lost while the primary goes on, so that a replica that is far behind is not waited
/// for in vain.
pub async fn find_heir_in(
    context: &Context,
    group: &Group,
    former: &Arc<Server>,
    region: &str,
) -> Option<Successor> {
    let told = ask_replicas(context, group, Some(former), ServerRequest::Status).await;
    let now = context.clock.now();
    let places = &context.places;
    let stands_there =
        |server: &Server| places.region(&server.listing().entry.zone) == Some(region);
    let may_take_over = |server: &Server| {
        stands_there(server) && server.is_staying() && places.may_succeed(server, now)
    };
    let candidates = told.into_iter().filter(|told| may_take_over(&told.server));
    let received = candidates.filter_map(|told| Some((told.status?.received, told.server)));
    let (_, heir) = received.max_by_key(|(received, _)| *received)?;
    let status = ask(context, former, ServerRequest::Status).await?;
    let leads = status.role == ServerRole::Primary;
    let received = status.received;
    let receives = leads && await_position(context, &heir, received, CATCH_UP_LIMIT).await;
    receives.then_some(Successor {
        server: heir,
        received,
    })
}

/// What became of a primary that was told to step down.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SteppedDown {
    /// It has, with this position, and the heir has received that.
    HeirHasAll(Position),
    /// It has, with this position; the heir lacks some of it.
    HeirLacks(Position),
    /// It did not say so.
    Unknown,
}

/// Makes a leaving primary a replica and lets its heir receive the rest.
pub async fn step_down(
    context: &Context,
    group: &Group,
    former: &Arc<Server>,
    heir: &Arc<Server>,
) -> SteppedDown {
    let told = ask_replicas(context, group, None, ServerRequest::Status).await;
    let term = newest_term(&told) + 1;
    let status = ask(context, former, ServerRequest::StepDown { term }).await;
    let Some(status) = status.filter(|status| status.role == ServerRole::Replica) else {
        return SteppedDown::Unknown;
    };
    if await_position(context, heir, status.received, CATCH_UP_LIMIT).await {
        SteppedDown::HeirHasAll(status.received)
    } else {
        SteppedDown::HeirLacks(status.received)
    }
}

fn newest_term(told: &[Told]) -> u64 {
    told.iter().map(Told::term).max().unwrap_or(0)
}

/// What a server tells of itself; none if it does not.
pub async fn status_of(context: &Context, server: &Arc<Server>) -> Option<ServerStatus> {
    ask(context, server, ServerRequest::Status).await
}

/// Waits until a server has received a position, for a while; tells whether it has.
pub async fn await_position(
    context: &Context,
    server: &Arc<Server>,
    position: Position,
    limit: Duration,
) -> bool {
    let waiting = async {
        loop {
            let status = ask(context, server, ServerRequest::Status).await;
            if status.is_some_and(|status| status.received >= position) {
                return;
            }
            tokio::time::sleep(STATUS_PAUSE).await;
        }
    };
    timeout(limit, waiting).await.is_ok()
}

/// Orders a server to lead, unless it has started again since it was chosen: the order names the
/// server and not its life, and the present life may lack what the chosen one held.
pub async fn order(
    context: &Context,
    group: &Group,
    successor: &Server,
    token: FencingToken,
) -> Result<PromotionAnswer, StoreError> {
    if group.server(&successor.incarnation).is_none() {
        return Ok(PromotionAnswer::Refused);
    }
    log_event!(
        events::PROMOTION_SENT,
        group = group.name,
        server = successor.incarnation,
        token = token.0
    );
    let call = context.promotions.promote(Promotion {
        group: group.name.clone(),
        instance: successor.incarnation.name().to_owned(),
        holder: context.settings.node.name.clone(),
        token,
    });
    let answer = timeout(ORDER_LIMIT, call).await;
    let answer = answer.unwrap_or(Err(StoreError::Unknown));
    log_event!(
        events::PROMOTION_ANSWERED,
        group = group.name,
        server = successor.incarnation,
        token = token.0,
        answer = format!("{answer:?}")
    );
    answer
}
