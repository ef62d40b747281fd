//! Free loopback addresses that stay the same over restarts.

use std::collections::HashMap;
use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::atomic::{AtomicU32, Ordering};

use tokio::net::{TcpSocket, UdpSocket};

/// The least second byte of a process's own loopback address.
const FIRST_PRIVATE_BYTE: u8 = 64;
/// How many values the second byte takes.
const PRIVATE_BYTES: u8 = 64;

/// How many values the last byte takes; 0 and 255 are left out.
const LAST_BYTES: u32 = 254;

/// A loopback address that nothing else listens on.
///
/// Connections leave from 127.0.0.1, so their ports never clash with a port that was free here
/// and is taken again later. The address is made from the process's number and a counter: it
/// comes again after 254 calls, or in a process whose number is a multiple of 16,384 away.
pub fn fresh_loopback() -> Ipv4Addr {
    static CALLS: AtomicU32 = AtomicU32::new(0);
    let [_, _, high, low] = std::process::id().to_be_bytes();
    let second = FIRST_PRIVATE_BYTE + high % PRIVATE_BYTES;
    let last = CALLS.fetch_add(1, Ordering::Relaxed) % LAST_BYTES + 1;
    Ipv4Addr::new(127, second, low, u8::try_from(last).unwrap_or(u8::MAX))
}

/// Hands out loopback addresses and keeps others from taking them until they are released.
///
/// A reserved TCP address refuses connections, as one without a server does.
#[derive(Debug, Default)]
pub struct PortReservation {
    tcp: HashMap<SocketAddr, TcpSocket>,
    udp: HashMap<SocketAddr, UdpSocket>,
}

impl PortReservation {
    /// Reserves a TCP address.
    ///
    /// # Errors
    ///
    /// When the system has no free port.
    pub fn tcp(&mut self) -> io::Result<SocketAddr> {
        let socket = TcpSocket::new_v4()?;
        socket.bind(SocketAddr::from((fresh_loopback(), 0)))?;
        let address = socket.local_addr()?;
        self.tcp.insert(address, socket);
        Ok(address)
    }

    /// Reserves a UDP address.
    ///
    /// # Errors
    ///
    /// When the system has no free port.
    pub async fn udp(&mut self) -> io::Result<SocketAddr> {
        let socket = UdpSocket::bind((fresh_loopback(), 0)).await?;
        let address = socket.local_addr()?;
        self.udp.insert(address, socket);
        Ok(address)
    }

    /// Frees addresses for who is about to listen there; unreserved ones are left alone.
    pub fn release(&mut self, addresses: &[SocketAddr]) {
        for address in addresses {
            self.tcp.remove(address);
            self.udp.remove(address);
        }
    }
}
