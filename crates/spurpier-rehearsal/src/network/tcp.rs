//! A TCP relay to one target.

use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use tokio::net::{TcpListener, TcpStream};
use tokio_util::sync::{CancellationToken, DropGuard};

use super::delay::copy_delayed;
use super::timer::sleep_until;
use super::{Direction, RelayState};

/// The pause after a connection could not be accepted.
const ACCEPT_PAUSE: Duration = Duration::from_millis(10);

/// A relay to one target; it ends with its connections when it is dropped.
#[derive(Debug)]
pub struct TcpRelay {
    address: SocketAddr,
    state: Arc<RelayState>,
    connections: Arc<Mutex<CancellationToken>>,
    stop: CancellationToken,
    _stop_on_drop: DropGuard,
}

impl TcpRelay {
    /// Starts a relay to `target` with a one-way latency.
    ///
    /// # Errors
    ///
    /// When the system has no free port.
    pub async fn start(target: SocketAddr, latency: Duration) -> io::Result<Self> {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await?;
        let address = listener.local_addr()?;
        let state = Arc::new(RelayState::new(latency));
        let stop = CancellationToken::new();
        let connections = Arc::new(Mutex::new(stop.child_token()));
        let accepting = accept(
            listener,
            target,
            Arc::clone(&state),
            Arc::clone(&connections),
        );
        tokio::spawn(stop.clone().run_until_cancelled_owned(accepting));
        Ok(TcpRelay {
            address,
            state,
            connections,
            _stop_on_drop: stop.clone().drop_guard(),
            stop,
        })
    }

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Cuts one direction or opens it again; what is sent meanwhile arrives afterwards.
    ///
    /// Connections stall, as over a network that is cut, and are not closed.
    pub fn set_cut(&self, direction: Direction, cut: bool) {
        self.state.set_cut(direction, cut);
    }

    /// Changes the one-way latency of what is sent from now on.
    pub fn set_latency(&self, latency: Duration) {
        self.state.set_latency(latency);
    }

    /// Closes all connections at both ends, as when a firewall resets them; new ones are taken.
    pub fn close_connections(&self) {
        let mut connections = self
            .connections
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        connections.cancel();
        *connections = self.stop.child_token();
    }
}

async fn accept(
    listener: TcpListener,
    target: SocketAddr,
    state: Arc<RelayState>,
    connections: Arc<Mutex<CancellationToken>>,
) {
    loop {
        let Ok((caller, _)) = listener.accept().await else {
            tokio::time::sleep(ACCEPT_PAUSE).await;
            continue;
        };
        let token = connections
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clone();
        let relaying = relay(caller, target, Arc::clone(&state));
        tokio::spawn(token.run_until_cancelled_owned(relaying));
    }
}

async fn relay(caller: TcpStream, target: SocketAddr, state: Arc<RelayState>) {
    // A connection takes a way forth and a way back to be opened.
    state.open(Direction::Forward).await;
    state.open(Direction::Backward).await;
    sleep_until(Instant::now() + state.latency() * 2).await;
    let Ok(called) = TcpStream::connect(target).await else {
        return;
    };
    if caller.set_nodelay(true).is_err() || called.set_nodelay(true).is_err() {
        return;
    }
    let (caller_read, caller_write) = caller.into_split();
    let (called_read, called_write) = called.into_split();
    let forward = copy_delayed(
        caller_read,
        called_write,
        Arc::clone(&state),
        Direction::Forward,
    );
    let backward = copy_delayed(called_read, caller_write, state, Direction::Backward);
    tokio::join!(forward, backward);
}
