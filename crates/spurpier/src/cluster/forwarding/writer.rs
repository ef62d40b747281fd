//! The task that writes the frames of one connection.

use bytes::BytesMut;
use spurpier_protocol::frame::{Frame, FrameCodec};
use tokio::io::{AsyncWrite, AsyncWriteExt};
use tokio::sync::mpsc;
use tokio_util::codec::Encoder;
use tokio_util::sync::CancellationToken;

use super::open_state::OpenState;

/// How many frames may wait for the connection before their senders wait.
const QUEUED_FRAMES: usize = 256;

/// How many bytes are gathered for one write.
const WRITE_BYTES: usize = 64 * 1024;

/// A frame on its way to the writer.
#[derive(Debug)]
struct Outgoing {
    frame: Frame,
    /// Of a unit's first frame: whether it may still leave.
    open_state: Option<OpenState>,
}

/// The connection is closed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct ConnectionClosed;

/// Sends frames on one connection; waits while the connection takes none.
#[derive(Debug, Clone)]
pub(super) struct FrameSender {
    queue: mpsc::Sender<Outgoing>,
    closed: CancellationToken,
}

impl FrameSender {
    /// Starts the writer of a connection, which ends with `closed` and then cancels it itself.
    pub fn start(
        sink: impl AsyncWrite + Unpin + Send + 'static,
        closed: CancellationToken,
    ) -> FrameSender {
        let (queue, receiver) = mpsc::channel(QUEUED_FRAMES);
        let token = closed.clone();
        tokio::spawn(async move {
            tokio::select! {
                () = write_all(sink, receiver) => {}
                () = token.cancelled() => {}
            }
            token.cancel();
        });
        FrameSender { queue, closed }
    }

    /// Sends a frame.
    pub async fn send(&self, frame: Frame) -> Result<(), ConnectionClosed> {
        self.enqueue(Outgoing {
            frame,
            open_state: None,
        })
        .await
    }

    /// Sends the first frame of a unit, unless it is withdrawn before it leaves.
    pub async fn send_open(
        &self,
        frame: Frame,
        open_state: OpenState,
    ) -> Result<(), ConnectionClosed> {
        self.enqueue(Outgoing {
            frame,
            open_state: Some(open_state),
        })
        .await
    }

    /// Sends a frame that may as well be left out when the queue is full.
    pub fn send_if_room(&self, frame: Frame) {
        // Dropped by intent: the callers repeat what they send this way.
        let _ = self.queue.try_send(Outgoing {
            frame,
            open_state: None,
        });
    }

    async fn enqueue(&self, outgoing: Outgoing) -> Result<(), ConnectionClosed> {
        tokio::select! {
            sent = self.queue.send(outgoing) => sent.map_err(|_| ConnectionClosed),
            () = self.closed.cancelled() => Err(ConnectionClosed),
        }
    }

    /// Cancelled when the connection is closed; cancelling it closes the connection.
    pub fn closed(&self) -> &CancellationToken {
        &self.closed
    }
}

/// Writes until the queue or the connection ends.
async fn write_all(mut sink: impl AsyncWrite + Unpin, mut queue: mpsc::Receiver<Outgoing>) {
    let mut buffer = BytesMut::with_capacity(WRITE_BYTES);
    while let Some(outgoing) = queue.recv().await {
        let mut next = Some(outgoing);
        while let Some(outgoing) = next {
            if append(outgoing, &mut buffer).is_err() {
                return;
            }
            next = (buffer.len() < WRITE_BYTES)
                .then(|| queue.try_recv().ok())
                .flatten();
        }
        if sink.write_all(&buffer).await.is_err() {
            return;
        }
        buffer.clear();
    }
    // The peer learns of the end by the closed connection in any case.
    let _ = sink.shutdown().await;
}

fn append(outgoing: Outgoing, buffer: &mut BytesMut) -> Result<(), ConnectionClosed> {
    let Outgoing { frame, open_state } = outgoing;
    if open_state.is_some_and(|state| !state.leave()) {
        return Ok(());
    }
    FrameCodec
        .encode(&frame, buffer)
        .map_err(|_| ConnectionClosed)
}
