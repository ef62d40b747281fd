//! The session position that a proxy reports to its client.

use std::pin::Pin;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::{Context, Poll};

use tokio::io::{AsyncRead, AsyncWrite};
use tokio_postgres::Connection;

/// The parameter under which a proxy reports a session's position.
pub const POSITION_PARAMETER: &str = "spurpier.position";

/// The newest position of a connection, shared between its driver and its user.
///
/// The driver holds the lock while it takes messages from the socket. A user that has seen an
/// answer and then reads the position therefore sees every report that came before that answer.
#[derive(Debug, Clone, Default)]
pub struct PositionCell {
    text: Arc<Mutex<Option<String>>>,
}

impl PositionCell {
    /// The newest position; none before the first report.
    pub fn get(&self) -> Option<String> {
        self.lock().clone()
    }

    fn lock(&self) -> MutexGuard<'_, Option<String>> {
        self.text.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Drives a connection until it ends and keeps its position up to date.
pub struct ConnectionDriver<S, T> {
    connection: Connection<S, T>,
    position: PositionCell,
}

impl<S, T> ConnectionDriver<S, T> {
    /// A driver that reports to `position`.
    pub fn new(connection: Connection<S, T>, position: PositionCell) -> Self {
        ConnectionDriver {
            connection,
            position,
        }
    }
}

impl<S, T> Future for ConnectionDriver<S, T>
where
    S: AsyncRead + AsyncWrite + Unpin,
    T: AsyncRead + AsyncWrite + Unpin,
{
    type Output = ();

    fn poll(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<()> {
        let driver = &mut *self;
        let mut reported = driver.position.lock();
        loop {
            let polled = driver.connection.poll_message(context);
            if let Some(text) = driver.connection.parameter(POSITION_PARAMETER) {
                *reported = Some(text.to_owned());
            }
            match polled {
                Poll::Ready(Some(Ok(_))) => {}
                Poll::Ready(Some(Err(_)) | None) => return Poll::Ready(()),
                Poll::Pending => return Poll::Pending,
            }
        }
    }
}
