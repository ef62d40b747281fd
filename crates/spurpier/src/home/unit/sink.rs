//! Where the parts of an answer go: to the client at once, or held until it is certain.

use crate::home::backend::{Frame, FrameKind};

use super::channel::UnitChannel;

/// How the parts of an answer are passed on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Mode {
    /// All at once.
    Stream,
    /// Nothing, ever.
    Discard,
    /// All but the end of the last statement.
    HoldEnd,
    /// Nothing, up to so many bytes; past them, as [`Mode::HoldEnd`].
    HoldAll { limit: usize },
}

/// Passes on the parts of an answer, and holds what must not be seen yet.
#[derive(Debug)]
pub(super) struct AnswerSink {
    mode: Mode,
    held: Vec<u8>,
    overflowed: bool,
    command_tag: Option<String>,
}

impl AnswerSink {
    /// Passes everything on at once.
    pub(super) fn streaming() -> Self {
        AnswerSink::new(Mode::Stream)
    }

    /// Drops everything.
    pub(super) fn discarding() -> Self {
        AnswerSink::new(Mode::Discard)
    }

    /// Passes rows on and holds the end of the last statement, which tells of its success.
    ///
    /// As in PostgreSQL, the end of an earlier statement of a batch says nothing of its commit.
    pub(super) fn holding_end() -> Self {
        AnswerSink::new(Mode::HoldEnd)
    }

    /// Holds a whole answer of up to `limit` bytes, so that it can be recorded or given up.
    pub(super) fn holding_all(limit: usize) -> Self {
        AnswerSink::new(Mode::HoldAll { limit })
    }

    fn new(mode: Mode) -> Self {
        AnswerSink {
            mode,
            held: Vec::new(),
            overflowed: false,
            command_tag: None,
        }
    }

    /// Takes a part of the answer.
    pub(super) fn take(&mut self, frame: &Frame, channel: &mut UnitChannel) {
        if frame.kind() == FrameKind::CommandComplete {
            self.command_tag = frame.command_tag();
        }
        match self.mode {
            Mode::Stream => channel.push(frame.bytes()),
            Mode::Discard => {}
            Mode::HoldEnd => self.hold_end(frame, channel),
            Mode::HoldAll { limit } => self.hold_all(frame, limit, channel),
        }
    }

    fn hold_end(&mut self, frame: &Frame, channel: &mut UnitChannel) {
        self.release(channel);
        match frame.kind() {
            FrameKind::CommandComplete
            | FrameKind::EmptyQuery
            | FrameKind::PortalSuspended
            | FrameKind::Error => self.held.extend_from_slice(frame.bytes()),
            _ => channel.push(frame.bytes()),
        }
    }

    fn hold_all(&mut self, frame: &Frame, limit: usize, channel: &mut UnitChannel) {
        if self.held.len() + frame.bytes().len() <= limit {
            self.held.extend_from_slice(frame.bytes());
            return;
        }
        self.overflowed = true;
        self.mode = Mode::HoldEnd;
        self.hold_end(frame, channel);
    }

    /// The whole answer, if it was held; none if it was too large.
    pub(super) fn whole(&self) -> Option<&[u8]> {
        (!self.overflowed).then_some(self.held.as_slice())
    }

    /// The tag of the last statement that ended.
    pub(super) fn command_tag(&self) -> Option<&str> {
        self.command_tag.as_deref()
    }

    /// Puts an error in the place of the held end.
    pub(super) fn replace_held(&mut self, error: &[u8]) {
        self.held.clear();
        self.held.extend_from_slice(error);
    }

    /// Passes on what was held.
    pub(super) fn release(&mut self, channel: &mut UnitChannel) {
        if !self.held.is_empty() {
            channel.push(&self.held);
            self.held.clear();
        }
    }
}
