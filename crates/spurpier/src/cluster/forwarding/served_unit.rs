//! One unit of another node that runs on this one.

use spurpier_protocol::frame::{Frame, MAX_MESSAGE_BYTES, UNIT_WINDOW};
use spurpier_protocol::unit::{UnitInput, UnitOutput};
use tokio::sync::mpsc;

use super::writer::FrameSender;
use crate::unit_runner::UnitHandle;

/// What the ingress side says of one unit.
#[derive(Debug)]
pub(super) enum FromIngress {
    Input(UnitInput),
    OutputCredit(u32),
    Abandon,
}

/// Carries the messages between a unit that runs here and the connection that it came by.
///
/// Returns when the unit has ended, when it was abandoned, or when the connection is lost; the
/// unit's handle is dropped then, which abandons a unit that still runs.
pub(super) async fn serve(
    unit: u64,
    mut handle: UnitHandle,
    mut messages: mpsc::Receiver<FromIngress>,
    sender: FrameSender,
) {
    let mut output_credit = UNIT_WINDOW;
    let mut held: Option<UnitInput> = None;
    loop {
        let is_holding = held.is_some();
        let frame = tokio::select! {
            // While an input is held, its sender has no credit for another one.
            message = messages.recv(), if !is_holding => match message {
                Some(FromIngress::Input(input)) => {
                    held = Some(input);
                    continue;
                }
                Some(FromIngress::OutputCredit(more)) => {
                    output_credit = output_credit.saturating_add(more).min(UNIT_WINDOW);
                    continue;
                }
                Some(FromIngress::Abandon) | None => return,
            },
            () = sender.closed().cancelled() => return,
            room = handle.input.reserve(), if is_holding => {
                let (Ok(room), Some(input)) = (room, held.take()) else {
                    // An ended unit takes no more, and its last output is still to come.
                    held = None;
                    continue;
                };
                room.send(input);
                Frame::InputCredit { unit, messages: 1 }
            },
            output = handle.output.recv(), if output_credit > 0 => match output {
                // It would not fit a frame, and parts of an answer cannot be told apart.
                Some(UnitOutput::Answer(answer)) if answer.len() > MAX_MESSAGE_BYTES => {
                    Frame::Lost { unit }
                }
                Some(output) => {
                    output_credit -= 1;
                    Frame::Output { unit, output }
                }
                None => Frame::Lost { unit },
            },
        };
        let is_last = is_last(&frame);
        if sender.send(frame).await.is_err() || is_last {
            return;
        }
    }
}

fn is_last(frame: &Frame) -> bool {
    matches!(
        frame,
        Frame::Lost { .. }
            | Frame::Output {
                output: UnitOutput::Finished(_),
                ..
            }
    )
}
