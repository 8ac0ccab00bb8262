//! Idle connections, a few to each address.

use async_io::Async;
use socket2::{Domain, Protocol, Socket, Type};
use std::collections::BTreeMap;
use std::io::ErrorKind;
use std::net::{IpAddr, SocketAddr, TcpStream};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Mutex;
use std::time::{Duration, Instant};

/// A connection, and since when it is idle.
type Idle = (Async<TcpStream>, Instant);

/// Keeps idle connections for a while.
#[derive(Debug)]
pub struct Pool {
    idle: Mutex<BTreeMap<SocketAddr, Vec<Idle>>>,
    most: usize,
    life: Duration,
    strays: AtomicU64,
    source: Option<IpAddr>,
}

impl Pool {
    /// A pool of so many to each address, for so long.
    pub fn new(most: usize, life: Duration) -> Pool {
        Pool { idle: Mutex::default(), most, life, strays: AtomicU64::new(0), source: None }
    }

    /// New connections go out from this address.
    #[must_use]
    pub fn from(self, source: Option<IpAddr>) -> Pool {
        Pool { source, ..self }
    }

    /// An empty one with the same bounds and source.
    #[must_use]
    pub fn another(&self) -> Pool {
        Pool::new(self.most, self.life).from(self.source)
    }

    /// Opens a new connection.
    ///
    /// # Errors
    /// Those of the system.
    pub async fn connect(&self, to: SocketAddr) -> std::io::Result<Async<TcpStream>> {
        if self.source.is_none() {
            return Async::<TcpStream>::connect(to).await;
        }
        let stream = self.begin(to)?;
        stands(&stream).await?;
        Ok(stream)
    }

    /// Begins to open one: it stands, or has failed, once [`stands`] says so.
    ///
    /// # Errors
    /// Those of the system.
    pub fn begin(&self, to: SocketAddr) -> std::io::Result<Async<TcpStream>> {
        let socket = Socket::new(Domain::for_address(to), Type::STREAM, Some(Protocol::TCP))?;
        socket.set_nonblocking(true)?;
        if let Some(source) = self.source {
            socket.bind(&SocketAddr::new(source, 0).into())?;
        }
        match socket.connect(&to.into()) {
            Ok(()) => {}
            // EINPROGRESS: it stands, or failed, once the socket can be written.
            Err(e) if e.raw_os_error() == Some(115) || e.kind() == ErrorKind::WouldBlock => {}
            Err(e) => return Err(e),
        }
        Async::new(TcpStream::from(socket))
    }

    /// The idle connection used last, if one is open.
    pub fn take(&self, to: SocketAddr) -> Option<Async<TcpStream>> {
        let mut idle = self.idle.lock().ok()?;
        let list = idle.get_mut(&to)?;
        while let Some((stream, since)) = list.pop() {
            // Whether it can be used: open, and with nothing unasked for on it. Guards against the node's
            // having closed it meanwhile; what closes between this look and the write may have run.
            match stream.get_ref().peek(&mut [0]) {
                Err(e) if e.kind() == ErrorKind::WouldBlock && since.elapsed() < self.life => {
                    return Some(stream);
                }
                Ok(1..) => drop(self.strays.fetch_add(1, Ordering::Relaxed)),
                _ => {}
            }
        }
        None
    }

    /// Idle connections that brought something nobody had asked for, such as a second answer.
    pub fn strays(&self) -> u64 {
        self.strays.load(Ordering::Relaxed)
    }

    /// Takes one back.
    pub fn put(&self, to: SocketAddr, stream: Async<TcpStream>) {
        let Ok(mut idle) = self.idle.lock() else { return };
        let list = idle.entry(to).or_default();
        list.retain(|(_, since)| since.elapsed() < self.life);
        if list.len() < self.most {
            list.push((stream, Instant::now()));
        }
    }

    /// Closes the idle connections to addresses that are not among these.
    pub fn keep(&self, wanted: &[SocketAddr]) {
        if let Ok(mut idle) = self.idle.lock() {
            idle.retain(|to, _| wanted.contains(to));
        }
    }

    /// How many are idle.
    pub fn len(&self) -> usize {
        self.idle.lock().map_or(0, |idle| idle.values().map(Vec::len).sum())
    }

    /// Whether none is.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}

/// Waits until a connection that was begun stands.
///
/// # Errors
/// Why it does not.
pub async fn stands(stream: &Async<TcpStream>) -> std::io::Result<()> {
    stream.writable().await?;
    match stream.get_ref().take_error()? {
        Some(error) => Err(error),
        None => Ok(()),
    }
}
