//! Connections to servers: those idle are kept for a while, all together are bounded. They belong to a server, not to
//! an address, since a new server may stand where another was.

use crate::stock::{Stock, Taken};
use async_io::Async;
use frostgauge::ServerId;
use std::collections::BTreeMap;
use std::io::ErrorKind;
use std::net::TcpStream;
use std::sync::{Mutex, MutexGuard};
use std::time::{Duration, Instant};

/// A connection to a server.
#[derive(Debug)]
pub struct Link {
    /// Its stream.
    pub stream: Async<TcpStream>,
    _place: Taken,
    /// How long it took to stand: about a round trip.
    pub trip: Duration,
}

/// Idle connections, and room for all.
#[derive(Debug)]
pub struct Links {
    idle: Mutex<BTreeMap<ServerId, Vec<(Link, Instant)>>>,
    places: Stock,
    life: Duration,
}

impl Link {
    /// Nothing has come and the other side has not closed.
    pub fn quiet(&self) -> bool {
        matches!(self.stream.get_ref().peek(&mut [0]), Err(e) if e.kind() == ErrorKind::WouldBlock)
    }
}

impl Links {
    /// Room for so many; an idle one is used again within `life`.
    pub fn new(most: usize, life: Duration) -> Links {
        Links { idle: Mutex::default(), places: Stock::new(most), life }
    }

    fn lock(&self) -> MutexGuard<'_, BTreeMap<ServerId, Vec<(Link, Instant)>>> {
        self.idle.lock().unwrap_or_else(std::sync::PoisonError::into_inner)
    }

    /// The idle connection used last. One that has brought anything unasked for, or was closed, is none: guards
    /// against a second answer, or noise behind an answer, that would be taken for the next request's.
    pub fn take(&self, server: ServerId) -> Option<Link> {
        let mut idle = self.lock();
        let list = idle.get_mut(&server)?;
        while let Some((link, since)) = list.pop() {
            if since.elapsed() < self.life && link.quiet() {
                return Some(link);
            }
        }
        None
    }

    /// Takes one back that may go on.
    pub fn put(&self, server: ServerId, link: Link) {
        self.lock().entry(server).or_default().push((link, Instant::now()));
    }

    /// Room for a new connection; where there is none, the connection idle longest makes some.
    pub fn place(&self) -> Option<Taken> {
        if let Some(place) = self.places.take(1) {
            return Some(place);
        }
        let mut idle = self.lock();
        let oldest = idle.iter().filter_map(|(server, list)| Some((list.first()?.1, *server))).min()?;
        if let Some(list) = idle.get_mut(&oldest.1) {
            drop(list.remove(0));
        }
        drop(idle);
        self.places.take(1)
    }

    /// A connection that stands, in its place.
    pub fn link(stream: Async<TcpStream>, place: Taken, trip: Duration) -> Link {
        Link { stream, _place: place, trip }
    }

    /// Closes what is idle too long, was closed by its server or has brought something unasked for.
    pub fn sweep(&self) {
        self.lock().retain(|_, list| {
            list.retain(|(link, since)| since.elapsed() < self.life && link.quiet());
            !list.is_empty()
        });
    }

    /// Closes the idle connections to a server.
    pub fn forget(&self, server: ServerId) {
        self.lock().remove(&server);
    }

    /// Connections idle.
    pub fn idle(&self) -> usize {
        self.lock().values().map(Vec::len).sum()
    }
}
