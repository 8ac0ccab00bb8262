//! Free ports for processes that cannot choose their own.

use rand::RngExt;
use std::net::{SocketAddr, TcpListener, UdpSocket};

/// Ports are taken from below the range that the system gives to outgoing connections, so that a process
/// killed can have its port again.
const PORTS: std::ops::Range<u16> = 12_000..32_000;
/// Ports of a run. Runs side by side claim blocks: the first port of a block is held bound while the run
/// lasts, the others are the run's. Guards against two runs that find the same port free, and whose
/// clients then talk to each other's gateways.
#[derive(Debug, Default)]
pub(crate) struct Ports {
    held: Vec<TcpListener>,
    next: u16,
    end: u16,
}

/// Ports of a block.
const BLOCK: u16 = 100;

impl Ports {
    pub(crate) fn take(&mut self) -> Result<SocketAddr, String> {
        loop {
            if self.next == self.end {
                self.claim()?;
            }
            let address = SocketAddr::from(([127, 0, 0, 1], self.next));
            self.next += 1;
            if TcpListener::bind(address).is_ok() && UdpSocket::bind(address).is_ok() {
                return Ok(address);
            }
        }
    }

    fn claim(&mut self) -> Result<(), String> {
        let blocks = (PORTS.end - PORTS.start) / BLOCK;
        let from = rand::rng().random_range(0..blocks);
        for k in 0..blocks {
            let first = PORTS.start + (from + k) % blocks * BLOCK;
            if let Ok(listener) = TcpListener::bind(("127.0.0.1", first)) {
                self.held.push(listener);
                (self.next, self.end) = (first + 1, first + BLOCK);
                return Ok(());
            }
        }
        Err("no free ports".into())
    }
}

/// Some free ports, for processes that cannot choose their own; they are this run's while the holds live.
///
/// # Errors
/// There are none.
pub fn some_ports<const N: usize>() -> Result<([SocketAddr; N], Vec<TcpListener>), String> {
    let (mut ports, mut all) = (Ports::default(), [SocketAddr::from(([127, 0, 0, 1], 0)); N]);
    for place in &mut all {
        *place = ports.take()?;
    }
    Ok((all, ports.held))
}
