//! Chooses the successor of a primary, checks what the servers have received, and promotes the
//! successor.

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
use crate::replica_sets::ServerCount;
use crate::server::{ConnectionNeed, Server, Values};
use crate::unit::{LeasedConnection, internal_attempt};

/// How long a server may take to provide a connection for a request.
const CONNECTION_TIMEOUT: Duration = Duration::from_millis(400);
/// How long a server may take to report its status.
const STATUS_TIMEOUT: Duration = Duration::from_millis(400);
/// The delay before a status is requested again.
const STATUS_POLL_INTERVAL: Duration = Duration::from_millis(20);
/// How long a successor may take to receive what the former primary holds.
const CATCH_UP_TIMEOUT: Duration = Duration::from_millis(1_000);
/// How long the promotion service may take to answer.
const PROMOTION_TIMEOUT: Duration = Duration::from_millis(1_500);

/// A server that is to take over.
#[derive(Debug, Clone)]
pub struct Successor {
    /// The server.
    pub server: Arc<Server>,
    /// The position that it had received when it was chosen; the start of the log if that is
    /// unknown.
    pub received: Position,
}

/// A server and its status; the status is `None` if the server did not answer.
struct ServerReport {
    server: Arc<Server>,
    status: Option<ServerStatus>,
}

impl ServerReport {
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

/// Sends a request to one server. Returns `None` if it does not report its status.
async fn send_request(
    context: &Context,
    server: &Arc<Server>,
    request: ServerRequest<'static>,
) -> Option<ServerStatus> {
    let clock = &context.clock;
    let until = clock.now() + CONNECTION_TIMEOUT;
    let values = Values::new();
    let need = ConnectionNeed::own(&values);
    let lease = server.pool.acquire(need, until).await.ok()?;
    let leased = LeasedConnection::new(Arc::clone(server), lease);
    let until = clock.now() + STATUS_TIMEOUT;
    let (_leased, result) = internal_attempt(clock, leased, request, until).await;
    let answered = result.ok()?;
    context.server_dialect.read_status(&answered.answer)
}

/// Sends a request to the servers concurrently.
async fn ask(
    context: &Context,
    servers: &[Arc<Server>],
    request: ServerRequest<'static>,
) -> Vec<ServerReport> {
    let queries = servers.iter().map(|server| async move {
        let status = send_request(context, server, request).await;
        let server = Arc::clone(server);
        ServerReport { server, status }
    });
    futures::future::join_all(queries).await
}

fn choose(
    context: &Context,
    group: &Group,
    count: &ServerCount,
    reports: &[ServerReport],
) -> Option<Successor> {
    let now = context.clock.now();
    let locality = &context.locality;
    let asked = reports.iter().map(|report| SuccessorCandidate {
        received: report.status.as_ref().map(|status| status.received),
        eligible: report.server.is_staying() && locality.is_eligible_successor(&report.server, now),
        placement_score: locality.placement_score(group, &report.server, now),
    });
    let unaskable = count
        .unaskable
        .iter()
        .map(|_| SuccessorCandidate::UNASKABLE);
    let candidates: Vec<SuccessorCandidate> = asked.chain(unaskable).collect();
    let chosen = choose_successor(&candidates, group.synchronous_replicas(), count.former);
    let Some(chosen) = chosen else {
        log_unreported(context, group, count, reports);
        return None;
    };
    let chosen = reports.get(chosen)?;
    // A server that does not answer may not be running.
    chosen.status.as_ref()?;
    Some(chosen.as_successor())
}

/// Logs which servers did not report, if commits wait for replicas.
fn log_unreported(context: &Context, group: &Group, count: &ServerCount, reports: &[ServerReport]) {
    if group.synchronous_replicas() == 0 {
        return;
    }
    let now = context.clock.now();
    let Some(suppressed) = context.log_budget.take(events::REPLICAS_UNREPORTED, now) else {
        return;
    };
    let reported = reports.iter().filter(|report| report.status.is_some());
    let reported =
        reported.map(|report| format!("{} {}", report.server.incarnation, report.received()));
    let reported: Vec<String> = reported.collect();
    let unreported = reports.iter().filter(|report| report.status.is_none());
    let unreported = unreported.map(|report| &report.server.incarnation);
    let unreported = unreported
        .chain(&count.unaskable)
        .map(Incarnation::to_string);
    let unreported: Vec<String> = unreported.collect();
    log_event!(
        events::REPLICAS_UNREPORTED,
        group = group.name,
        reported = reported.join(", "),
        unreported = unreported.join(", "),
        suppressed = suppressed
    );
}

/// The server that is to take over from a lost primary; `None` if there is none yet.
///
/// A server that leads already takes precedence if the newest decision names it: its promotion was
/// executed late, or the answer was lost. One that leads against that decision steps down first and
/// is considered with the others the next time. Nodes use a server that leads as soon as a decision
/// names it, while a promotion under the former decision may still be executed.
pub async fn find_successor(
    context: &Context,
    group: &Group,
    count: &ServerCount,
) -> Option<Successor> {
    let reports = ask(context, &count.servers, ServerRequest::Status).await;
    // A server that lacks what it held as the leader has restarted without its log.
    let leading = reports
        .iter()
        .filter(|report| report.leads() && !group.has_lost_log(&report.server, report.received()));
    let leading = leading.max_by_key(|report| report.term());
    let newest_term = newest_term(&reports);
    match leading.filter(|leading| leading.term() == newest_term) {
        Some(leading) if may_lead(group, &leading.server) => Some(leading.as_successor()),
        Some(leading) => {
            step_down_deposed(context, group, &leading.server, newest_term + 1).await;
            None
        }
        None => choose(context, group, count, &reports),
    }
}

/// Whether the newest decision allows a server to lead: it names the server, or the incarnation
/// that the server had before it restarted.
fn may_lead(group: &Group, server: &Server) -> bool {
    let server = &server.incarnation;
    group.is_successor(server) || group.is_restarted_successor(server)
}

async fn step_down_deposed(context: &Context, group: &Group, server: &Arc<Server>, term: u64) {
    let status = send_request(context, server, ServerRequest::StepDown { term }).await;
    log_event!(
        events::DEPOSED_PRIMARY_FOUND,
        group = group.name,
        server = server.incarnation,
        answer = format!("{:?}", status.map(|status| status.role))
    );
}

/// Whether the chosen successor of a lost primary holds everything that was acknowledged. Where
/// commits wait for replicas, the replicas are paused first, so that the former primary can
/// acknowledge nothing more, and their status is then requested again.
pub async fn holds_all_acknowledged(
    context: &Context,
    group: &Group,
    count: &ServerCount,
    successor: &Server,
) -> bool {
    let reports = ask(context, &count.servers, ServerRequest::Status).await;
    let term = newest_term(&reports) + 1;
    let reports = ask(context, &count.servers, ServerRequest::Pause { term }).await;
    let chosen = choose(context, group, count, &reports);
    let holds_all_acknowledged = chosen.is_some_and(|chosen| {
        let received = |wanted: &Incarnation| {
            let mut reports = reports.iter();
            let report = reports.find(|report| report.server.incarnation == *wanted)?;
            Some(report.status.as_ref()?.received)
        };
        received(&chosen.server.incarnation) == received(&successor.incarnation)
    });
    if !holds_all_acknowledged {
        resume(context, group, count).await;
    }
    holds_all_acknowledged
}

/// Resumes replication on the replicas that were paused for a decision.
///
/// Needed also after a promotion: one that changes nothing, since the successor leads already, does
/// not resume them.
pub async fn resume(context: &Context, group: &Group, count: &ServerCount) {
    if group.synchronous_replicas() > 0 {
        ask(context, &count.servers, ServerRequest::Resume).await;
    }
}

/// The server that is to take over from a leaving or evacuated primary. `None` if there is none
/// yet, or if the former primary no longer leads because another node's decision was faster.
///
/// With synchronous replicas the server holds everything that has been acknowledged so far.
pub async fn find_handover_successor(
    context: &Context,
    group: &Group,
    former: &Arc<Server>,
) -> Option<Successor> {
    let count = ServerCount::of_known(group, Some(former));
    let reports = ask(context, &count.servers, ServerRequest::Status).await;
    let successor = choose(context, group, &count, &reports)?;
    let status = send_request(context, former, ServerRequest::Status).await;
    let is_replica = status.is_some_and(|status| status.role == ServerRole::Replica);
    (!is_replica).then_some(successor)
}

/// The server in a region that is to take over from a primary in service: the one that has received
/// most, if it also receives all that the primary holds at this moment. `None` if there is none.
///
/// The primary serves in the meantime and nothing is lost. A replica that is far behind is
/// therefore not waited for beyond [`CATCH_UP_TIMEOUT`].
pub async fn find_successor_in_region(
    context: &Context,
    group: &Group,
    former: &Arc<Server>,
    region: &str,
) -> Option<Successor> {
    let count = ServerCount::of_known(group, Some(former));
    let reports = ask(context, &count.servers, ServerRequest::Status).await;
    let now = context.clock.now();
    let locality = &context.locality;
    let is_in_region =
        |server: &Server| locality.region(&server.listing().entry.zone) == Some(region);
    let may_take_over = |server: &Server| {
        is_in_region(server) && server.is_staying() && locality.is_eligible_successor(server, now)
    };
    let candidates = reports
        .into_iter()
        .filter(|report| may_take_over(&report.server));
    let received = candidates.filter_map(|report| Some((report.status?.received, report.server)));
    let (_, successor) = received.max_by_key(|(received, _)| *received)?;
    let status = send_request(context, former, ServerRequest::Status).await?;
    let leads = status.role == ServerRole::Primary;
    let received = status.received;
    let receives = leads && await_position(context, &successor, received, CATCH_UP_TIMEOUT).await;
    receives.then_some(Successor {
        server: successor,
        received,
    })
}

/// The outcome of a request to a primary to step down.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StepDownOutcome {
    /// It stepped down at this position, which the successor has received.
    SuccessorCaughtUp(Position),
    /// It stepped down at this position, which the successor has not received.
    SuccessorBehind(Position),
    /// It did not confirm that it stepped down.
    Unknown,
}

/// Turns the former primary into a replica and waits until its successor has received the rest of
/// the log.
pub async fn step_down(
    context: &Context,
    group: &Group,
    former: &Arc<Server>,
    successor: &Arc<Server>,
) -> StepDownOutcome {
    let servers = ServerCount::of_known(group, None).servers;
    let reports = ask(context, &servers, ServerRequest::Status).await;
    let term = newest_term(&reports) + 1;
    let status = send_request(context, former, ServerRequest::StepDown { term }).await;
    let Some(status) = status.filter(|status| status.role == ServerRole::Replica) else {
        return StepDownOutcome::Unknown;
    };
    if await_position(context, successor, status.received, CATCH_UP_TIMEOUT).await {
        StepDownOutcome::SuccessorCaughtUp(status.received)
    } else {
        StepDownOutcome::SuccessorBehind(status.received)
    }
}

fn newest_term(reports: &[ServerReport]) -> u64 {
    reports.iter().map(ServerReport::term).max().unwrap_or(0)
}

/// The status that a server reports; `None` if it does not answer.
pub async fn status_of(context: &Context, server: &Arc<Server>) -> Option<ServerStatus> {
    send_request(context, server, ServerRequest::Status).await
}

/// Waits until a server has received a position, for at most `maximum_wait`. Returns whether it
/// has.
pub async fn await_position(
    context: &Context,
    server: &Arc<Server>,
    position: Position,
    maximum_wait: Duration,
) -> bool {
    let waiting = async {
        loop {
            let status = send_request(context, server, ServerRequest::Status).await;
            if status.is_some_and(|status| status.received >= position) {
                return;
            }
            tokio::time::sleep(STATUS_POLL_INTERVAL).await;
        }
    };
    timeout(maximum_wait, waiting).await.is_ok()
}

/// Promotes a server, unless it has restarted since it was chosen. The promotion names the server
/// and not its incarnation, and the present incarnation may lack what the chosen one held.
pub async fn promote(
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
    let answer = timeout(PROMOTION_TIMEOUT, call).await;
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
