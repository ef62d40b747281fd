//! Transactions of a session, on this node's server connections or at another home of their group.

use std::sync::Arc;

use super::caller::{
    UnitOutcome, await_node_list, call_within_time, candidate_homes, connect, head, session,
};
use super::link::Link;
use super::messages::{Call, WireWork};
use crate::homes::{Home, PeerNode};
use crate::ports::{Answer, Effect, ErrorClass, TransactionState};
use crate::server::Values;
use crate::unit::{ClientStatement, Deadlines, NotRun, OpenTransaction, Unit, UnitResult};

/// An open transaction, wherever it runs.
pub enum RoutedTransaction {
    /// On a connection of this node.
    Local(OpenTransaction),
    /// On a connection of another node.
    Remote(RemoteTransaction),
}

impl RoutedTransaction {
    /// Opens a transaction at a home of the group; returns the answer for the client, and the
    /// transaction if it was opened.
    pub async fn begin(
        unit: Unit,
        work: &ClientStatement,
        read_only: bool,
    ) -> (Answer, Option<Self>) {
        let effect = opening_effect(read_only);
        unit.count_demand(effect);
        if let Some(bar) = unit.bar_on_all_servers(effect) {
            return (unit.refuse(&work.id, NotRun::Barred(bar)), None);
        }
        await_node_list(&unit).await;
        for home in candidate_homes(&unit, unit.needs_leader(effect)) {
            let Home::Peer(home) = home else {
                return Self::begin_at_home(unit, work, read_only, true).await;
            };
            match begin_remote(&unit, work, read_only, &home, false).await {
                BeginOutcome::Open(link, number, answer) => {
                    return remote_transaction(unit, link, number, home, answer);
                }
                BeginOutcome::Refused(answer) => return (answer, None),
                BeginOutcome::NotStarted => {}
            }
        }
        if unit.context.clock.now() >= unit.deadlines.wait_until {
            return (unit.refuse(&work.id, NotRun::NoHome), None);
        }
        unit.stand_in();
        Self::begin_at_home(unit, work, read_only, true).await
    }

    /// Opens a transaction on this node's connections or, with `may_relay`, at another home if one
    /// is better able to run it.
    pub async fn begin_at_home(
        unit: Unit,
        work: &ClientStatement,
        read_only: bool,
        may_relay: bool,
    ) -> (Answer, Option<Self>) {
        let effect = opening_effect(read_only);
        if may_relay && let Some(relay) = unit.preferred_home(effect) {
            match begin_remote(&unit, work, read_only, &relay, true).await {
                BeginOutcome::Open(link, number, answer) => {
                    return remote_transaction(unit, link, number, relay, answer);
                }
                BeginOutcome::Refused(answer) => return (answer, None),
                BeginOutcome::NotStarted => {}
            }
        }
        let (answer, transaction) = OpenTransaction::begin(unit, work, read_only).await;
        (answer, transaction.map(RoutedTransaction::Local))
    }

    /// The transaction state to report to the client.
    pub fn state(&self) -> TransactionState {
        match self {
            RoutedTransaction::Local(transaction) => transaction.state(),
            RoutedTransaction::Remote(transaction) => transaction.state(),
        }
    }

    /// The name of the group whose log will record the commit.
    pub fn group_name(&self) -> String {
        self.unit().group.name.clone()
    }

    fn unit(&self) -> &Unit {
        match self {
            RoutedTransaction::Local(transaction) => &transaction.unit,
            RoutedTransaction::Remote(transaction) => &transaction.unit,
        }
    }

    /// Sets the session's settings and the time limits for the next statement.
    pub fn prepare(&mut self, values: &Values, deadlines: impl FnOnce(&Unit) -> Deadlines) {
        let unit = match self {
            RoutedTransaction::Local(transaction) => &mut transaction.unit,
            RoutedTransaction::Remote(transaction) => &mut transaction.unit,
        };
        unit.values.clone_from(values);
        unit.deadlines = deadlines(unit);
    }

    /// Runs a statement in the transaction. If the client's key has been revoked since the
    /// transaction was opened, rolls it back instead.
    pub async fn run(&mut self, work: &ClientStatement, effect: Effect) -> Answer {
        if let Some(refusal) = self.unit().refuse_revoked(&work.id) {
            self.expire().await;
            return refusal;
        }
        match self {
            RoutedTransaction::Local(transaction) => {
                transaction.run(work, effect == Effect::Write).await
            }
            RoutedTransaction::Remote(transaction) => transaction.run(work, effect).await,
        }
    }

    /// Commits the transaction. If the client's key has been revoked since it was opened, rolls it
    /// back instead.
    pub async fn commit(mut self, work: &ClientStatement) -> UnitResult {
        if let Some(mut refusal) = self.unit().refuse_revoked(&work.id) {
            self.expire().await;
            refusal.state = TransactionState::Idle;
            return UnitResult::answer(refusal);
        }
        match self {
            RoutedTransaction::Local(transaction) => transaction.commit(work).await,
            RoutedTransaction::Remote(transaction) => transaction.commit(work).await,
        }
    }

    /// Abandons the transaction, which then counts as failed: only a statement that ends it is
    /// still accepted.
    pub async fn expire(&mut self) {
        match self {
            RoutedTransaction::Local(transaction) => transaction.expire().await,
            RoutedTransaction::Remote(transaction) => transaction.handle = None,
        }
    }
}

/// The effect by which a transaction is routed: a read if it is read-only, else a write.
const fn opening_effect(read_only: bool) -> Effect {
    if read_only {
        Effect::Read
    } else {
        Effect::Write
    }
}

/// The outcome of opening a transaction at another node.
enum BeginOutcome {
    /// It is open under this number.
    Open(Arc<Link>, u64, Answer),
    /// The answer is an error. If the transaction is open there all the same, it is not used.
    Refused(Answer),
    /// The node has not started it.
    NotStarted,
}

/// Tries to open a transaction at another home.
async fn begin_remote(
    unit: &Unit,
    work: &ClientStatement,
    read_only: bool,
    home: &PeerNode,
    relayed: bool,
) -> BeginOutcome {
    let Some(link) = connect(unit, home).await else {
        return BeginOutcome::NotStarted;
    };
    let transaction = link.next_number();
    let call = Call::Begin {
        head: head(unit, relayed),
        work: WireWork::from(work),
        transaction,
        read_only,
    };
    match call_within_time(unit, &link, call, true).await {
        UnitOutcome::Answered(answer) => {
            let (answer, _) = answer.into_parts();
            if answer.outcome.is_ok() {
                BeginOutcome::Open(link, transaction, answer)
            } else {
                BeginOutcome::Refused(answer)
            }
        }
        UnitOutcome::NotStarted => BeginOutcome::NotStarted,
        UnitOutcome::Lost => {
            // The transaction may be open there. It is dropped, and the client can be served
            // elsewhere since none of its statements has run in it.
            link.drop_transaction(transaction);
            unit.record_retry(&work.id, &home.name, "home_silent");
            BeginOutcome::NotStarted
        }
    }
}

/// The result of opening a transaction that is now open at another home.
fn remote_transaction(
    unit: Unit,
    link: Arc<Link>,
    number: u64,
    home: PeerNode,
    answer: Answer,
) -> (Answer, Option<RoutedTransaction>) {
    link.open_transaction();
    let handle = Some(RemoteHandle {
        link,
        number,
        is_committed: false,
    });
    let transaction = RemoteTransaction { unit, home, handle };
    (answer, Some(RoutedTransaction::Remote(transaction)))
}

/// A transaction on a connection of another node.
pub struct RemoteTransaction {
    /// The unit that opened it.
    unit: Unit,
    home: PeerNode,
    /// None once the transaction has failed or was abandoned: then only a statement that ends it is
    /// accepted.
    handle: Option<RemoteHandle>,
}

/// The handle of a transaction at the other node; dropping it drops the transaction there unless
/// it has been committed.
struct RemoteHandle {
    link: Arc<Link>,
    number: u64,
    /// Whether the other node has answered the commit, and so has ended the transaction.
    is_committed: bool,
}

impl Drop for RemoteHandle {
    fn drop(&mut self) {
        self.link.close_transaction();
        if !self.is_committed {
            self.link.drop_transaction(self.number);
        }
    }
}

impl RemoteTransaction {
    fn state(&self) -> TransactionState {
        if self.handle.is_some() {
            TransactionState::Open
        } else {
            TransactionState::Failed
        }
    }

    async fn run(&mut self, work: &ClientStatement, effect: Effect) -> Answer {
        let Some(handle) = self.handle.take() else {
            return Answer::error(ErrorClass::Malformed, "failed", TransactionState::Failed);
        };
        let call = Call::InTransaction {
            transaction: handle.number,
            session: session(&self.unit),
            work: WireWork::from(work),
            effect,
        };
        match call_within_time(&self.unit, &handle.link, call, false).await {
            UnitOutcome::Answered(answer) => {
                let (answer, _) = answer.into_parts();
                if answer.state == TransactionState::Open {
                    self.handle = Some(handle);
                }
                answer
            }
            UnitOutcome::NotStarted => self.aborted(work, "home_not_taken"),
            UnitOutcome::Lost => self.aborted(work, "home_lost"),
        }
    }

    fn aborted(&self, work: &ClientStatement, why: &str) -> Answer {
        self.unit.abort(&work.id, &self.home.name, why)
    }

    async fn commit(mut self, work: &ClientStatement) -> UnitResult {
        let Some(mut handle) = self.handle.take() else {
            let text = "the transaction had failed";
            let answer = Answer::error(ErrorClass::Aborted, text, TransactionState::Idle);
            return UnitResult::answer(answer);
        };
        let call = Call::Commit {
            transaction: handle.number,
            session: session(&self.unit),
            work: WireWork::from(work),
        };
        match call_within_time(&self.unit, &handle.link, call, false).await {
            UnitOutcome::Answered(answer) => {
                handle.is_committed = true;
                UnitResult::from_forwarded(answer)
            }
            UnitOutcome::NotStarted => {
                let mut answer = self.aborted(work, "home_not_taken");
                answer.state = TransactionState::Idle;
                UnitResult::answer(answer)
            }
            UnitOutcome::Lost => {
                let unknown_outcome =
                    self.unit
                        .unknown_outcome(&work.id, ErrorClass::InDoubt, &self.home.name);
                UnitResult::answer(unknown_outcome)
            }
        }
    }
}
