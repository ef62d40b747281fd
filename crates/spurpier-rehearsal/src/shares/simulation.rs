//! The run of one scheme.

use std::sync::Arc;
use std::time::Duration;

use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use spurpier_core::membership::NodeKey;
use spurpier_core::shares::{HolderEvent, LedgerEvent, ShareConfig, ShareMessage, equal_share};
use spurpier_core::time::Timestamp;

use super::escrow::{EscrowHome, EscrowMessage};
use super::home::Pool;
use super::options::{ShareOptions, SharingScheme};
use super::report::ShareFigures;
use super::scheme::{ControlMessage, LedgerShare, Share};
use crate::hollow::EventQueue;

/// The mean time that a request holds a connection.
pub(super) const SERVICE: Duration = Duration::from_millis(10);
/// The time that a new connection takes.
const OPENING: Duration = Duration::from_millis(10);
/// How long a request waits for a connection before it is refused.
const PATIENCE: Duration = Duration::from_millis(200);
/// The one-way latency between homes, and to the server.
const LATENCY: Duration = Duration::from_micros(1_500);
/// The time between two moves of the load's centre.
pub(super) const MOVE_INTERVAL: Duration = Duration::from_secs(30);
/// Before this time nothing is counted but open connections.
const WARM_UP: Duration = Duration::from_secs(60);
/// When homes freeze, counted from the end of the warm-up.
const FREEZE_AT: Duration = Duration::from_secs(40);
/// How long they are frozen.
const FREEZE_FOR: Duration = Duration::from_secs(90);
/// How long after the freeze they are replaced.
const REPLACED_AFTER: Duration = Duration::from_secs(10);
/// The time between two checks of a ledger's epoch and two ticks of a holder.
const CHECK_INTERVAL: Duration = Duration::from_millis(500);

/// What happens in a run.
#[derive(Debug)]
pub(super) enum Event {
    /// A request comes.
    Request,
    /// A home's new connection is open.
    Opened(usize),
    /// A home's connection has answered a request.
    Served(usize),
    /// The patience of the request that came at this time is over.
    GiveUp(usize, Timestamp),
    /// A message arrives.
    Message {
        /// The home that sent it.
        from: usize,
        /// The home that receives it.
        to: usize,
        /// The message.
        message: ControlMessage,
    },
    /// The database's answer about the ledger's epoch arrives.
    EpochAnswer {
        /// The home that asked.
        home: usize,
        /// When it asked.
        asked_at: Timestamp,
        /// The epoch in force at the time of asking.
        in_force: u64,
        /// Whether the home claimed this epoch.
        claimed: bool,
    },
    /// A home's periodic duty.
    Check(usize),
    /// A holder's deadline.
    HolderTick(usize),
    /// The centre of the load moves.
    MoveCentre,
    /// Homes stop running.
    Freeze,
    /// The server closes the connections of a silent home.
    ServerCloses(usize),
    /// Others become homes in place of the frozen ones.
    Replace,
    /// The frozen homes go on.
    Thaw,
}

/// One home.
pub(super) struct Home {
    pub(super) pool: Pool,
    pub(super) share: Share,
    pub(super) frozen: bool,
    /// The events that a frozen home finds when it comes back.
    pub(super) backlog: Vec<Event>,
    /// Whether requests reach it.
    pub(super) serving: bool,
}

/// A run of one scheme.
pub(super) struct Run<'a> {
    pub(super) options: &'a ShareOptions,
    pub(super) scheme: SharingScheme,
    pub(super) homes: Vec<Home>,
    pub(super) queue: EventQueue<Event>,
    pub(super) random: SmallRng,
    pub(super) now: Timestamp,
    pub(super) tuning: Arc<ShareConfig>,
    pub(super) epoch: u64,
    pub(super) centre: usize,
    pub(super) moved_at: Option<Timestamp>,
    pub(super) counting_from: Timestamp,
    pub(super) end: Timestamp,
    pub(super) requests: u64,
    pub(super) refused: u64,
    pub(super) waits: Vec<u64>,
    pub(super) idle_time: f64,
    pub(super) idle_since: Timestamp,
    pub(super) moves: usize,
    pub(super) move_times: Vec<Duration>,
    pub(super) most_open: u32,
    pub(super) messages: u64,
}

/// Runs one scheme and gives its figures.
pub fn compare(scheme: SharingScheme, options: &ShareOptions) -> ShareFigures {
    let mut run = Run::new(scheme, options);
    run.begin();
    while let Some((at, event)) = run.queue.pop_before(run.end) {
        run.count_idle(at);
        run.now = at;
        run.happen(event);
        run.note_state();
    }
    run.figures()
}

fn key(home: usize) -> NodeKey {
    NodeKey(home as u64)
}

impl<'a> Run<'a> {
    fn new(scheme: SharingScheme, options: &'a ShareOptions) -> Self {
        let tuning = Arc::new(ShareConfig::default());
        let counting_from = Timestamp::ZERO + WARM_UP;
        let mut run = Run {
            options,
            scheme,
            homes: Vec::new(),
            queue: EventQueue::new(),
            random: SmallRng::seed_from_u64(options.seed),
            now: Timestamp::ZERO,
            tuning,
            epoch: 0,
            centre: 0,
            moved_at: None,
            counting_from,
            end: counting_from + Duration::from_secs(options.seconds),
            requests: 0,
            refused: 0,
            waits: Vec::new(),
            idle_time: 0.0,
            idle_since: Timestamp::ZERO,
            moves: 0,
            move_times: Vec::new(),
            most_open: 0,
            messages: 0,
        };
        for index in 0..options.homes {
            let home = run.new_home(index, true);
            run.homes.push(home);
        }
        run
    }

    pub(super) fn new_home(&self, index: usize, first: bool) -> Home {
        let homes = self.options.homes as u32;
        let even = equal_share(self.options.limit, homes);
        let left_over = u32::from((index as u32) < self.options.limit - even * homes);
        let share = match self.scheme {
            SharingScheme::Equal => Share::Equal(even),
            SharingScheme::Escrow if first => Share::Escrow(EscrowHome::new(even + left_over)),
            SharingScheme::Escrow => Share::Escrow(EscrowHome::new(0)),
            SharingScheme::Ledger => Share::Ledger(Box::new(LedgerShare::new(
                self.now,
                self.options.limit,
                &self.tuning,
            ))),
        };
        Home {
            pool: Pool::default(),
            share,
            frozen: false,
            backlog: Vec::new(),
            serving: true,
        }
    }

    fn begin(&mut self) {
        self.queue.push(Timestamp::ZERO, Event::Request);
        for home in 0..self.homes.len() {
            self.queue.push(Timestamp::ZERO, Event::Check(home));
        }
        self.queue.push(self.counting_from, Event::MoveCentre);
        if self.options.frozen > 0 {
            let freeze_at = self.counting_from + FREEZE_AT;
            self.queue.push(freeze_at, Event::Freeze);
            self.queue.push(freeze_at + REPLACED_AFTER, Event::Replace);
            self.queue.push(freeze_at + FREEZE_FOR, Event::Thaw);
        }
    }

    fn happen(&mut self, event: Event) {
        match event {
            Event::Request => self.request(),
            Event::MoveCentre => self.move_centre(),
            Event::Freeze => self.freeze(),
            Event::Replace => self.replace(),
            Event::Thaw => self.thaw(),
            Event::ServerCloses(home) => self.server_closes(home),
            event => self.happen_at_home(event),
        }
    }

    pub(super) fn happen_at_home(&mut self, event: Event) {
        let home = match &event {
            Event::Opened(home)
            | Event::Served(home)
            | Event::GiveUp(home, _)
            | Event::Check(home)
            | Event::HolderTick(home)
            | Event::EpochAnswer { home, .. }
            | Event::Message { to: home, .. } => *home,
            _ => return,
        };
        if self.homes[home].frozen {
            self.homes[home].backlog.push(event);
            return;
        }
        match event {
            Event::Opened(_) => self.opened(home),
            Event::Served(_) => self.served(home),
            Event::GiveUp(_, came_at) => self.give_up(home, came_at),
            Event::Check(_) => self.check(home),
            Event::HolderTick(_) => self.tick_holder(home),
            Event::EpochAnswer {
                asked_at,
                in_force,
                claimed,
                ..
            } => self.epoch_answered(home, asked_at, in_force, claimed),
            Event::Message { from, message, .. } => self.received(from, home, message),
            _ => {}
        }
        self.use_connections(home);
    }

    fn request(&mut self) {
        let uniform: f64 = self.random.random();
        let seconds = -(1.0 - uniform).ln() / self.options.requests_per_second;
        let next = self.now + Duration::from_secs_f64(seconds);
        self.queue.push(next, Event::Request);
        let hot = self.random.random_range(0..100) < self.options.hot_percent;
        let chosen = match hot {
            true => self.centre,
            false => self.random.random_range(0..self.homes.len()),
        };
        if !self.homes[chosen].serving || self.homes[chosen].frozen {
            return;
        }
        self.requests += u64::from(self.now >= self.counting_from);
        self.homes[chosen].pool.waiting.push_back(self.now);
        self.queue
            .push(self.now + PATIENCE, Event::GiveUp(chosen, self.now));
        self.use_connections(chosen);
    }

    fn opened(&mut self, home: usize) {
        let pool = &mut self.homes[home].pool;
        if pool.opening > 0 {
            pool.opening -= 1;
            pool.idle += 1;
        }
    }

    fn served(&mut self, home: usize) {
        let pool = &mut self.homes[home].pool;
        if pool.in_use > 0 {
            pool.in_use -= 1;
            pool.idle += 1;
        }
    }

    fn give_up(&mut self, home: usize, came_at: Timestamp) {
        let waiting = &mut self.homes[home].pool.waiting;
        if waiting.front() == Some(&came_at) {
            waiting.pop_front();
            self.refused += u64::from(came_at >= self.counting_from);
        }
    }

    /// Serves what waits, opens and closes connections as the share allows, and tells the scheme.
    fn use_connections(&mut self, home: usize) {
        let now = self.now;
        let allowance = self.homes[home].share.allowance(now);
        self.homes[home].pool.close_surplus(allowance);
        while let Some(came_at) = self.homes[home].pool.start_next() {
            if came_at >= self.counting_from {
                self.waits.push(now.since(came_at).as_micros() as u64);
            }
            let uniform: f64 = self.random.random();
            let service = SERVICE.mul_f64(-(1.0 - uniform).ln());
            self.queue.push(now + service, Event::Served(home));
        }
        let opened = self.homes[home].pool.to_open(allowance);
        self.homes[home].pool.opening += opened;
        for _ in 0..opened {
            self.queue.push(now + OPENING, Event::Opened(home));
        }
        self.tell_demand(home);
    }

    fn tell_demand(&mut self, home: usize) {
        let now = self.now;
        let homes = self.homes.len();
        let pool = &self.homes[home].pool;
        let (open, demand) = (pool.open(), pool.demand());
        match &mut self.homes[home].share {
            Share::Equal(_) => {}
            Share::Escrow(escrow) => {
                let asked = escrow.ask(now, demand, home, homes, &mut self.random);
                if let Some((to, message)) = asked {
                    self.send(home, to, ControlMessage::Escrow(message));
                }
            }
            Share::Ledger(share) => {
                let sent = share.drive_holder(now, HolderEvent::Demand { open, demand });
                self.send_all(home, sent);
            }
        }
        self.schedule_holder(home);
    }

    /// Schedules the holder's next tick if it is due before the next periodic check.
    fn schedule_holder(&mut self, home: usize) {
        let now = self.now;
        let Share::Ledger(share) = &mut self.homes[home].share else {
            return;
        };
        let due = share.holder.next_deadline();
        let scheduled = share.tick_at.is_some_and(|at| at > now && at <= due);
        if due > now && due < now + CHECK_INTERVAL && !scheduled {
            share.tick_at = Some(due);
            self.queue.push(due, Event::HolderTick(home));
        }
    }

    fn tick_holder(&mut self, home: usize) {
        let now = self.now;
        if let Share::Ledger(share) = &mut self.homes[home].share {
            let sent = share.drive_holder(now, HolderEvent::Tick);
            self.send_all(home, sent);
        }
    }

    /// The periodic duty of a home: its ticks, and the ledger's epoch while it is the first.
    fn check(&mut self, home: usize) {
        let now = self.now;
        self.queue.push(now + CHECK_INTERVAL, Event::Check(home));
        let first = self.first_home();
        let Share::Ledger(share) = &mut self.homes[home].share else {
            return;
        };
        let mut sent = share.drive_holder(now, HolderEvent::LedgerNode(first.map(key)));
        sent.extend(share.drive_holder(now, HolderEvent::Tick));
        sent.extend(share.drive_ledger(now, LedgerEvent::Tick));
        if first == Some(home) {
            let claims = share.ledger.epoch() < self.epoch || self.epoch == 0;
            if claims {
                self.epoch += 1;
            }
            let answer = Event::EpochAnswer {
                home,
                asked_at: now,
                in_force: self.epoch,
                claimed: claims,
            };
            self.queue.push(now + LATENCY * 2, answer);
        }
        self.send_all(home, sent);
    }

    /// The first-ranked home as the members see it: the first that serves.
    fn first_home(&self) -> Option<usize> {
        self.homes.iter().position(|home| home.serving)
    }

    fn epoch_answered(&mut self, home: usize, sent_at: Timestamp, epoch: u64, claimed: bool) {
        let now = self.now;
        let Share::Ledger(share) = &mut self.homes[home].share else {
            return;
        };
        let event = match claimed {
            true => LedgerEvent::EpochClaimed { epoch, sent_at },
            false => LedgerEvent::EpochObserved { epoch, sent_at },
        };
        let sent = share.drive_ledger(now, event);
        self.send_all(home, sent);
    }

    fn received(&mut self, from: usize, to: usize, message: ControlMessage) {
        let now = self.now;
        let used = self.homes[to].pool.open() - self.homes[to].pool.idle;
        let demand = self.homes[to].pool.demand();
        match (&mut self.homes[to].share, message) {
            (Share::Escrow(escrow), ControlMessage::Escrow(EscrowMessage::Ask(wanted))) => {
                let gift = escrow.give(wanted, used.max(demand));
                let held = escrow.held;
                self.homes[to].pool.close_surplus(held);
                self.send(to, from, ControlMessage::Escrow(gift));
            }
            (Share::Escrow(escrow), ControlMessage::Escrow(EscrowMessage::Give(given))) => {
                escrow.held += given;
            }
            (Share::Ledger(share), ControlMessage::Share(ShareMessage::Report(report))) => {
                let event = LedgerEvent::Received {
                    from: key(from),
                    report,
                };
                let sent = share.drive_ledger(now, event);
                self.send_all(to, sent);
            }
            (Share::Ledger(share), ControlMessage::Share(message)) => {
                let event = HolderEvent::Received {
                    from: key(from),
                    message,
                };
                let sent = share.drive_holder(now, event);
                self.send_all(to, sent);
            }
            _ => {}
        }
    }

    fn send_all(&mut self, from: usize, messages: Vec<(NodeKey, ControlMessage)>) {
        for (to, message) in messages {
            self.send(from, to.0 as usize, message);
        }
    }

    fn send(&mut self, from: usize, to: usize, message: ControlMessage) {
        self.messages += u64::from(self.now >= self.counting_from);
        self.queue
            .push(self.now + LATENCY, Event::Message { from, to, message });
    }
}
