//! Transactions of a session, on this node's connections or at a home of their group.

use std::sync::Arc;

use super::caller::{
    UnitOutcome, await_node_list, call_within_time, candidate_homes, connect, head, session,
};
use super::link::Link;
use super::messages::{Call, WireWork};
use crate::homes::{Home, PeerNode};
use crate::ports::{Answer, Effect, ErrorClass, TransactionState};
use crate::server::Values;
use crate::unit::{Done, NotRun, OpenTransaction, Times, Unit, Work};

/// A transaction that stands open.
pub enum RoutedTransaction {
    /// On a connection of this node.
    Local(OpenTransaction),
    /// On a connection of another node.
    Remote(RemoteTransaction),
}

impl RoutedTransaction {
    /// Opens a transaction where the group's connections are; gives the client's answer, and the
    /// transaction if it is open.
    pub async fn begin(unit: Unit, work: &Work, read_only: bool) -> (Answer, Option<Self>) {
        let effect = opening_effect(read_only);
        unit.count_demand(effect);
        if let Some(bar) = unit.bar_everywhere(effect) {
            return (unit.refuse(&work.id, NotRun::Barred(bar)), None);
        }
        await_node_list(&unit).await;
        for home in candidate_homes(&unit, unit.needs_lead(effect)) {
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
        if unit.context.clock.now() >= unit.times.wait_until {
            return (unit.refuse(&work.id, NotRun::NoHome), None);
        }
        unit.stand_in();
        Self::begin_at_home(unit, work, read_only, true).await
    }

    /// Opens a transaction on this node's connections, or at another home that is better off if it
    /// may be handed on.
    pub async fn begin_at_home(
        unit: Unit,
        work: &Work,
        read_only: bool,
        may_relay: bool,
    ) -> (Answer, Option<Self>) {
        let effect = opening_effect(read_only);
        if may_relay && let Some(relay) = unit.better_home(effect) {
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

    /// The state that the client is told.
    pub fn state(&self) -> TransactionState {
        match self {
            RoutedTransaction::Local(transaction) => transaction.state(),
            RoutedTransaction::Remote(transaction) => transaction.state(),
        }
    }

    /// The group in whose log its commit will stand.
    pub fn group_name(&self) -> String {
        self.unit().group.name.clone()
    }

    fn unit(&self) -> &Unit {
        match self {
            RoutedTransaction::Local(transaction) => &transaction.unit,
            RoutedTransaction::Remote(transaction) => &transaction.unit,
        }
    }

    /// Takes in what the next statement must know of the session.
    pub fn prepare(&mut self, values: &Values, times: impl FnOnce(&Unit) -> Times) {
        let unit = match self {
            RoutedTransaction::Local(transaction) => &mut transaction.unit,
            RoutedTransaction::Remote(transaction) => &mut transaction.unit,
        };
        unit.values.clone_from(values);
        unit.times = times(unit);
    }

    /// Runs a statement.
    pub async fn run(&mut self, work: &Work, effect: Effect) -> Answer {
        match self {
            RoutedTransaction::Local(transaction) => {
                transaction.run(work, effect == Effect::Write).await
            }
            RoutedTransaction::Remote(transaction) => transaction.run(work, effect).await,
        }
    }

    /// Commits.
    pub async fn commit(self, work: &Work) -> Done {
        match self {
            RoutedTransaction::Local(transaction) => transaction.commit(work).await,
            RoutedTransaction::Remote(transaction) => transaction.commit(work).await,
        }
    }

    /// Gives it up; then only its end is taken.
    pub async fn expire(&mut self) {
        match self {
            RoutedTransaction::Local(transaction) => transaction.expire().await,
            RoutedTransaction::Remote(transaction) => transaction.handle = None,
        }
    }
}

/// What a transaction that only reads, or may write, is to the choice of its place.
const fn opening_effect(read_only: bool) -> Effect {
    if read_only {
        Effect::Read
    } else {
        Effect::Write
    }
}

/// How the opening at another node ended.
enum BeginOutcome {
    /// It stands open under this number.
    Open(Arc<Link>, u64, Answer),
    /// It was refused, or may stand open where nobody uses it.
    Refused(Answer),
    /// The node has not started it.
    NotStarted,
}

async fn begin_remote(
    unit: &Unit,
    work: &Work,
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
            // What may stand open there is dropped; nothing of the client's has run in it.
            link.drop_transaction(transaction);
            unit.note_retry(&work.id, &home.name, "home_silent");
            BeginOutcome::NotStarted
        }
    }
}

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
    /// None after it has failed or was given up, when only its end is taken.
    handle: Option<RemoteHandle>,
}

/// A transaction's place at the other node, which drops the transaction when this is dropped.
struct RemoteHandle {
    link: Arc<Link>,
    number: u64,
    /// Whether the other node has ended it.
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

    async fn run(&mut self, work: &Work, effect: Effect) -> Answer {
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

    fn aborted(&self, work: &Work, why: &str) -> Answer {
        self.unit.abort(&work.id, &self.home.name, why)
    }

    async fn commit(mut self, work: &Work) -> Done {
        let Some(mut handle) = self.handle.take() else {
            let text = "the transaction had failed";
            let answer = Answer::error(ErrorClass::Aborted, text, TransactionState::Idle);
            return Done::answer(answer);
        };
        let call = Call::Commit {
            transaction: handle.number,
            session: session(&self.unit),
            work: WireWork::from(work),
        };
        match call_within_time(&self.unit, &handle.link, call, false).await {
            UnitOutcome::Answered(answer) => {
                handle.is_committed = true;
                Done::of_call(answer)
            }
            UnitOutcome::NotStarted => {
                let mut answer = self.aborted(work, "home_not_taken");
                answer.state = TransactionState::Idle;
                Done::answer(answer)
            }
            UnitOutcome::Lost => {
                let doubt = self
                    .unit
                    .doubt(&work.id, ErrorClass::InDoubt, &self.home.name);
                Done::answer(doubt)
            }
        }
    }
}
