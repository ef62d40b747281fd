//! A UDP relay to one target; each caller is seen by the target as an address of its own.

use std::collections::HashMap;
use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::time::{Duration, Instant};

use tokio::net::UdpSocket;
use tokio::sync::mpsc;
use tokio_util::sync::{CancellationToken, DropGuard};

use super::timer::sleep_until;
use super::{Direction, RelayState};

const DATAGRAM_BYTES: usize = 65_536;

/// Datagrams that may be under way in one direction of one caller; further ones are lost.
const DATAGRAMS_UNDER_WAY: usize = 1_024;

/// Callers that a relay serves; datagrams of further ones are lost.
const MAX_CALLERS: usize = 4_096;

/// The pause after an error of a socket.
const ERROR_PAUSE: Duration = Duration::from_millis(1);

/// A relay to one target; it ends when it is dropped.
#[derive(Debug)]
pub struct UdpRelay {
    address: SocketAddr,
    state: Arc<RelayState>,
    _stop: DropGuard,
}

impl UdpRelay {
    /// Starts a relay to `target` with a one-way latency.
    ///
    /// # Errors
    ///
    /// When the system has no free port.
    pub async fn start(target: SocketAddr, latency: Duration) -> io::Result<Self> {
        let socket = UdpSocket::bind((Ipv4Addr::LOCALHOST, 0)).await?;
        let address = socket.local_addr()?;
        let state = Arc::new(RelayState::new(latency));
        let stop = CancellationToken::new();
        let relay = Relaying {
            socket: Arc::new(socket),
            target,
            state: Arc::clone(&state),
            stop: stop.clone(),
        };
        tokio::spawn(stop.clone().run_until_cancelled_owned(relay.run()));
        Ok(UdpRelay {
            address,
            state,
            _stop: stop.drop_guard(),
        })
    }

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Cuts one direction or opens it again; what is sent meanwhile is lost.
    pub fn set_cut(&self, direction: Direction, cut: bool) {
        self.state.set_cut(direction, cut);
    }

    /// Changes the one-way latency of what is sent from now on.
    pub fn set_latency(&self, latency: Duration) {
        self.state.set_latency(latency);
    }
}

/// A datagram and the time at which it arrives.
struct Datagram {
    due: Instant,
    bytes: Vec<u8>,
}

/// The way of datagrams in one direction of one caller.
#[derive(Clone)]
struct Way {
    state: Arc<RelayState>,
    direction: Direction,
    queue: mpsc::Sender<Datagram>,
}

impl Way {
    /// Starts a way that hands datagrams to `socket`, for `to` if the socket is not connected.
    fn start(
        state: Arc<RelayState>,
        direction: Direction,
        socket: Arc<UdpSocket>,
        to: Option<SocketAddr>,
        stop: &CancellationToken,
    ) -> Way {
        let (queue, mut datagrams) = mpsc::channel::<Datagram>(DATAGRAMS_UNDER_WAY);
        let carrying = async move {
            while let Some(datagram) = datagrams.recv().await {
                sleep_until(datagram.due).await;
                // A datagram that is lost is lost.
                let _ = match to {
                    Some(to) => socket.send_to(&datagram.bytes, to).await,
                    None => socket.send(&datagram.bytes).await,
                };
            }
        };
        tokio::spawn(stop.clone().run_until_cancelled_owned(carrying));
        Way {
            state,
            direction,
            queue,
        }
    }

    fn send(&self, bytes: &[u8]) {
        if self.state.is_cut(self.direction) {
            return;
        }
        let datagram = Datagram {
            due: Instant::now() + self.state.latency(),
            bytes: bytes.to_vec(),
        };
        // A full way loses datagrams, as a full router does.
        let _ = self.queue.try_send(datagram);
    }
}

struct Relaying {
    socket: Arc<UdpSocket>,
    target: SocketAddr,
    state: Arc<RelayState>,
    stop: CancellationToken,
}

impl Relaying {
    async fn run(self) {
        let mut callers: HashMap<SocketAddr, Way> = HashMap::new();
        let mut buffer = vec![0; DATAGRAM_BYTES];
        loop {
            let Ok((length, caller)) = self.socket.recv_from(&mut buffer).await else {
                tokio::time::sleep(ERROR_PAUSE).await;
                continue;
            };
            if let Some(way) = self.way_of(&mut callers, caller).await {
                way.send(&buffer[..length]);
            }
        }
    }

    /// The way from this caller to the target.
    async fn way_of(
        &self,
        callers: &mut HashMap<SocketAddr, Way>,
        caller: SocketAddr,
    ) -> Option<Way> {
        if let Some(way) = callers.get(&caller) {
            return Some(way.clone());
        }
        if callers.len() >= MAX_CALLERS {
            return None;
        }
        let outward = UdpSocket::bind((Ipv4Addr::LOCALHOST, 0)).await.ok()?;
        outward.connect(self.target).await.ok()?;
        let outward = Arc::new(outward);
        let state = || Arc::clone(&self.state);
        let forward = Way::start(
            state(),
            Direction::Forward,
            Arc::clone(&outward),
            None,
            &self.stop,
        );
        let backward = Way::start(
            state(),
            Direction::Backward,
            Arc::clone(&self.socket),
            Some(caller),
            &self.stop,
        );
        let returning = send_back(outward, backward);
        tokio::spawn(self.stop.clone().run_until_cancelled_owned(returning));
        callers.insert(caller, forward.clone());
        Some(forward)
    }
}

async fn send_back(outward: Arc<UdpSocket>, backward: Way) {
    let mut buffer = vec![0; DATAGRAM_BYTES];
    loop {
        // An error tells that an earlier datagram was not taken; the next one may be.
        let Ok(length) = outward.recv(&mut buffer).await else {
            tokio::time::sleep(ERROR_PAUSE).await;
            continue;
        };
        backward.send(&buffer[..length]);
    }
}
