//! A pipe that hands bytes on after the relay's latency, and holds them while the way is cut.

use std::sync::Arc;
use std::time::Instant;

use bytes::{Bytes, BytesMut};
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};
use tokio::sync::mpsc;

use super::timer::sleep_until;
use super::{Direction, RelayState};

/// Chunks that may be under way in one direction of a connection.
const CHUNKS_UNDER_WAY: usize = 256;
const CHUNK_BYTES: usize = 16 * 1024;

/// A chunk and the time at which it arrives.
struct Chunk {
    due: Instant,
    bytes: Bytes,
}

/// Copies from `source` to `sink` until either ends.
///
/// What is sent while the direction is cut arrives after the cut, as TCP's retransmission has it.
pub(super) async fn copy_delayed(
    mut source: impl AsyncRead + Unpin,
    mut sink: impl AsyncWrite + Unpin,
    state: Arc<RelayState>,
    direction: Direction,
) {
    let (sender, receiver) = mpsc::channel::<Chunk>(CHUNKS_UNDER_WAY);
    let read = async {
        // Moved in, so that the writer sees the end of the stream.
        let sender = sender;
        loop {
            let mut buffer = BytesMut::with_capacity(CHUNK_BYTES);
            match source.read_buf(&mut buffer).await {
                Ok(0) | Err(_) => return,
                Ok(_) => {}
            }
            let chunk = Chunk {
                due: Instant::now() + state.latency(),
                bytes: buffer.freeze(),
            };
            if sender.send(chunk).await.is_err() {
                return;
            }
        }
    };
    let write = async {
        // Moved in, so that the reader stops when nothing can be written.
        let mut receiver = receiver;
        while let Some(chunk) = receiver.recv().await {
            sleep_until(chunk.due).await;
            state.open(direction).await;
            if sink.write_all(&chunk.bytes).await.is_err() {
                return;
            }
        }
        // The end of the stream travels as the bytes do.
        sleep_until(Instant::now() + state.latency()).await;
        state.open(direction).await;
        // A peer that has closed already needs no end.
        let _ = sink.shutdown().await;
    };
    tokio::join!(read, write);
}
