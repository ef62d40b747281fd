//! One unit on its way at one home.

use std::time::Duration;

use spurpier_core::reason::Reason;
use spurpier_protocol::frame::{Frame, MAX_MESSAGE_BYTES, UNIT_WINDOW};
use spurpier_protocol::unit::{Batch, UnitInput, UnitOutput, UnitRequest, UnitResult};
use tokio::sync::mpsc;

use super::connection::{Connection, FromHome, Registration};
use super::open_state::OpenState;

/// Credit is granted in steps of this many messages.
const CREDIT_STEP: u32 = UNIT_WINDOW / 2;

/// How a unit ended at one home.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum RemoteEnd {
    /// The home said how it ended, or the ingress side gave it up.
    Ended,
    /// Nothing of it ran or will run there; another home may be tried.
    NotOpened(Reason),
    /// The home was lost after something had left.
    Lost,
}

/// The channels by which the ingress side holds the unit.
#[derive(Debug)]
pub(super) struct IngressChannels {
    pub input: mpsc::Receiver<UnitInput>,
    pub output: mpsc::Sender<UnitOutput>,
}

impl IngressChannels {
    /// Whether the ingress side has given the unit up.
    pub fn are_abandoned(&self) -> bool {
        self.output.is_closed() || (self.input.is_closed() && self.input.is_empty())
    }
}

/// A unit on its way at one home.
struct RemoteUnit<'unit> {
    connection: &'unit Connection,
    registration: Registration,
    channels: &'unit mut IngressChannels,
    open_state: OpenState,
    input_credit: u32,
    /// Outputs that the ingress side has taken and for which no credit was granted yet.
    taken: u32,
    /// An output that the ingress side has not taken yet.
    held: Option<UnitOutput>,
}

/// Runs a unit at the home at the other end of `connection`.
///
/// `waited` is the time that the unit spent here; its patience shrinks by it.
pub(super) async fn run(
    connection: &Connection,
    channels: &mut IngressChannels,
    mut request: UnitRequest,
    first: Batch,
    waited: Duration,
) -> RemoteEnd {
    let Some(registration) = connection.register() else {
        return RemoteEnd::NotOpened(Reason::HomeUnreachable);
    };
    let waited_ms = u32::try_from(waited.as_millis()).unwrap_or(u32::MAX);
    request.max_wait_ms = request.max_wait_ms.saturating_sub(waited_ms);
    let open = Frame::Open {
        unit: registration.unit,
        request,
        first,
    };
    let open_state = OpenState::default();
    let unit = RemoteUnit {
        connection,
        registration,
        channels,
        open_state: open_state.clone(),
        input_credit: UNIT_WINDOW,
        taken: 0,
        held: None,
    };
    if connection
        .sender()
        .send_open(open, open_state)
        .await
        .is_err()
    {
        return unit.lost();
    }
    unit.run().await
}

/// What a unit has to deal with next.
enum Step {
    FromHome(Option<FromHome>),
    FromIngress(Option<UnitInput>),
    /// The ingress side has room for the output that is held; or it has gone.
    Room(bool),
}

impl RemoteUnit<'_> {
    async fn run(mut self) -> RemoteEnd {
        loop {
            let step = self.next_step().await;
            let end = match step {
                Step::FromHome(message) => self.take_message(message),
                Step::FromIngress(Some(input)) => self.send_input(input).await,
                Step::FromIngress(None) | Step::Room(false) => self.abandon().await,
                Step::Room(true) => self.hand_on().await,
            };
            if let Some(end) = end {
                return end;
            }
        }
    }

    async fn next_step(&mut self) -> Step {
        let is_holding = self.held.is_some();
        tokio::select! {
            message = self.registration.messages.recv(), if !is_holding => Step::FromHome(message),
            room = self.channels.output.reserve(), if is_holding => Step::Room(room.is_ok()),
            () = self.channels.output.closed(), if !is_holding => Step::Room(false),
            input = self.channels.input.recv(), if self.input_credit > 0 => Step::FromIngress(input),
        }
    }

    fn take_message(&mut self, message: Option<FromHome>) -> Option<RemoteEnd> {
        match message {
            Some(FromHome::Output(output)) => {
                self.held = Some(output);
                None
            }
            Some(FromHome::InputCredit(messages)) => {
                self.input_credit = self.input_credit.saturating_add(messages).min(UNIT_WINDOW);
                None
            }
            Some(FromHome::NotOpened(reason)) => Some(RemoteEnd::NotOpened(reason)),
            Some(FromHome::Lost) => Some(RemoteEnd::Lost),
            None => Some(self.lost()),
        }
    }

    /// Hands the held output on; there is room for it, since this task alone sends.
    async fn hand_on(&mut self) -> Option<RemoteEnd> {
        let output = self.held.take()?;
        let is_last = matches!(output, UnitOutput::Finished(_));
        if self.channels.output.send(output).await.is_err() && !is_last {
            return self.abandon().await;
        }
        if is_last {
            return Some(RemoteEnd::Ended);
        }
        self.taken += 1;
        if self.taken < CREDIT_STEP {
            return None;
        }
        let credit = Frame::OutputCredit {
            unit: self.registration.unit,
            messages: std::mem::take(&mut self.taken),
        };
        self.send(credit).await
    }

    async fn send_input(&mut self, input: UnitInput) -> Option<RemoteEnd> {
        let unit = self.registration.unit;
        if let UnitInput::Batch(batch) = &input
            && batch.messages.len() > MAX_MESSAGE_BYTES
        {
            // The home rolls back; nothing of the transaction block stays.
            let result = UnitResult::NotRun {
                reason: Reason::TooLarge,
                retry_after_ms: 0,
            };
            let _ = self
                .channels
                .output
                .send(UnitOutput::Finished(result))
                .await;
            return self.abandon().await;
        }
        self.input_credit -= 1;
        self.send(Frame::Input { unit, input }).await
    }

    async fn abandon(&mut self) -> Option<RemoteEnd> {
        let unit = self.registration.unit;
        // With the connection lost, the home abandons the unit by itself.
        let _ = self.connection.sender().send(Frame::Abandon { unit }).await;
        Some(RemoteEnd::Ended)
    }

    async fn send(&self, frame: Frame) -> Option<RemoteEnd> {
        match self.connection.sender().send(frame).await {
            Ok(()) => None,
            Err(_) => Some(self.lost()),
        }
    }

    /// What the loss of the connection means for the unit.
    fn lost(&self) -> RemoteEnd {
        if self.open_state.withdraw() {
            RemoteEnd::NotOpened(Reason::HomeUnreachable)
        } else {
            RemoteEnd::Lost
        }
    }
}
