//! Transactions of a session, on this node's connections or at a home of their group.

use std::sync::Arc;

use super::caller::{UnitOutcome, await_list, call_within_time, connect, head, session, usable};
use super::link::Link;
use super::messages::{Call, CalledWork};
use crate::homes::{Home, PeerNode};
use crate::ports::{Answer, Effect, ErrorClass, TransactionState};
use crate::server::Values;
use crate::unit::{ClientStatement, Deadlines, NotRun, OpenTransaction, Unit, UnitResult};

/// A transaction that stands open.
pub enum PlacedTransaction {
    /// On a connection of this node.
    Here(OpenTransaction),
    /// On a connection of another node.
    There(RemoteTransaction),
}

impl PlacedTransaction {
    /// Opens a transaction where the group's connections are; gives the client's answer, and the
    /// transaction if it is open.
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
        await_list(&unit).await;
        for home in usable(&unit, unit.needs_leader(effect)) {
            let Home::Peer(home) = home else {
                return Self::begin_at_home(unit, work, read_only, true).await;
            };
            match begin_there(&unit, work, read_only, &home, false).await {
                Begun::Open(link, number, answer) => {
                    return opened(unit, link, number, home, answer);
                }
                Begun::Refused(answer) => return (answer, None),
                Begun::NotTaken => {}
            }
        }
        if unit.context.clock.now() >= unit.deadlines.wait_until {
            return (unit.refuse(&work.id, NotRun::NoHome), None);
        }
        unit.stand_in();
        Self::begin_at_home(unit, work, read_only, true).await
    }

    /// Opens a transaction on this node's connections, or at another home that is better off if it
    /// may be handed on.
    pub async fn begin_at_home(
        unit: Unit,
        work: &ClientStatement,
        read_only: bool,
        may_relay: bool,
    ) -> (Answer, Option<Self>) {
        let effect = opening_effect(read_only);
        if may_relay && let Some(relay) = unit.preferred_home(effect) {
            match begin_there(&unit, work, read_only, &relay, true).await {
                Begun::Open(link, number, answer) => {
                    return opened(unit, link, number, relay, answer);
                }
                Begun::Refused(answer) => return (answer, None),
                Begun::NotTaken => {}
            }
        }
        let (answer, transaction) = OpenTransaction::begin(unit, work, read_only).await;
        (answer, transaction.map(PlacedTransaction::Here))
    }

    /// The state that the client is told.
    pub fn state(&self) -> TransactionState {
        match self {
            PlacedTransaction::Here(transaction) => transaction.state(),
            PlacedTransaction::There(transaction) => transaction.state(),
        }
    }

    /// The group in whose log its commit will stand.
    pub fn group_name(&self) -> String {
        self.unit().group.name.clone()
    }

    fn unit(&self) -> &Unit {
        match self {
            PlacedTransaction::Here(transaction) => &transaction.unit,
            PlacedTransaction::There(transaction) => &transaction.unit,
        }
    }

    /// Takes in what the next statement must know of the session.
    pub fn prepare(&mut self, values: &Values, deadlines: impl FnOnce(&Unit) -> Deadlines) {
        let unit = match self {
            PlacedTransaction::Here(transaction) => &mut transaction.unit,
            PlacedTransaction::There(transaction) => &mut transaction.unit,
        };
        unit.values.clone_from(values);
        unit.deadlines = deadlines(unit);
    }

    /// Runs a statement.
    pub async fn run(&mut self, work: &ClientStatement, effect: Effect) -> Answer {
        match self {
            PlacedTransaction::Here(transaction) => {
                transaction.run(work, effect == Effect::Write).await
            }
            PlacedTransaction::There(transaction) => transaction.run(work, effect).await,
        }
    }

    /// Commits.
    pub async fn commit(self, work: &ClientStatement) -> UnitResult {
        match self {
            PlacedTransaction::Here(transaction) => transaction.commit(work).await,
            PlacedTransaction::There(transaction) => transaction.commit(work).await,
        }
    }

    /// Gives it up; then only its end is taken.
    pub async fn expire(&mut self) {
        match self {
            PlacedTransaction::Here(transaction) => transaction.expire().await,
            PlacedTransaction::There(transaction) => transaction.place = None,
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
enum Begun {
    /// It stands open under this number.
    Open(Arc<Link>, u64, Answer),
    /// It was refused, or may stand open where nobody uses it.
    Refused(Answer),
    /// The node has not started it.
    NotTaken,
}

async fn begin_there(
    unit: &Unit,
    work: &ClientStatement,
    read_only: bool,
    home: &PeerNode,
    relayed: bool,
) -> Begun {
    let Some(link) = connect(unit, home).await else {
        return Begun::NotTaken;
    };
    let transaction = link.next_number();
    let call = Call::Begin {
        head: head(unit, relayed),
        work: CalledWork::from(work),
        transaction,
        read_only,
    };
    match call_within_time(unit, &link, call, true).await {
        UnitOutcome::Answered(answer) => {
            let (answer, _) = answer.into_parts();
            if answer.outcome.is_ok() {
                Begun::Open(link, transaction, answer)
            } else {
                Begun::Refused(answer)
            }
        }
        UnitOutcome::NotStarted => Begun::NotTaken,
        UnitOutcome::Lost => {
            // What may stand open there is dropped; nothing of the client's has run in it.
            link.drop_transaction(transaction);
            unit.record_retry(&work.id, &home.name, "home_silent");
            Begun::NotTaken
        }
    }
}

fn opened(
    unit: Unit,
    link: Arc<Link>,
    number: u64,
    home: PeerNode,
    answer: Answer,
) -> (Answer, Option<PlacedTransaction>) {
    link.open_transaction();
    let place = Some(RemotePlace {
        link,
        number,
        is_committed: false,
    });
    let transaction = RemoteTransaction { unit, home, place };
    (answer, Some(PlacedTransaction::There(transaction)))
}

/// A transaction on a connection of another node.
pub struct RemoteTransaction {
    /// The unit that opened it.
    unit: Unit,
    home: PeerNode,
    /// None after it has failed or was given up, when only its end is taken.
    place: Option<RemotePlace>,
}

/// A transaction's place at the other node, which drops the transaction when this is dropped.
struct RemotePlace {
    link: Arc<Link>,
    number: u64,
    /// Whether the other node has ended it.
    is_committed: bool,
}

impl Drop for RemotePlace {
    fn drop(&mut self) {
        self.link.close_transaction();
        if !self.is_committed {
            self.link.drop_transaction(self.number);
        }
    }
}

impl RemoteTransaction {
    fn state(&self) -> TransactionState {
        if self.place.is_some() {
            TransactionState::Open
        } else {
            TransactionState::Failed
        }
    }

    async fn run(&mut self, work: &ClientStatement, effect: Effect) -> Answer {
        let Some(place) = self.place.take() else {
            return Answer::error(ErrorClass::Malformed, "failed", TransactionState::Failed);
        };
        let call = Call::Within {
            transaction: place.number,
            session: session(&self.unit),
            work: CalledWork::from(work),
            effect,
        };
        match call_within_time(&self.unit, &place.link, call, false).await {
            UnitOutcome::Answered(answer) => {
                let (answer, _) = answer.into_parts();
                if answer.state == TransactionState::Open {
                    self.place = Some(place);
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
        let Some(mut place) = self.place.take() else {
            let text = "the transaction had failed";
            let answer = Answer::error(ErrorClass::Aborted, text, TransactionState::Idle);
            return UnitResult::answer(answer);
        };
        let call = Call::Commit {
            transaction: place.number,
            session: session(&self.unit),
            work: CalledWork::from(work),
        };
        match call_within_time(&self.unit, &place.link, call, false).await {
            UnitOutcome::Answered(answer) => {
                place.is_committed = true;
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
