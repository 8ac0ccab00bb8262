//! Taking connections: a bound on their number, patience when the machine has no descriptor left.

use async_channel::{Receiver, Sender};
use async_io::{Async, Timer};
use socket2::{Domain, Protocol, Socket, Type};
use std::future::Future;
use std::io;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, OnceLock};
use std::time::{Duration, Instant};

/// First and longest pause after a failed accept. Guards against a full table of descriptors: connections
/// wait in the kernel's queue, those open go on, and the loop does not spin.
const PAUSE: (Duration, Duration) = (Duration::from_millis(10), Duration::from_secs(1));

/// Connections that may wait in the kernel's queue (it has a bound of its own): guards against hundreds that
/// come back at one stroke, of which a short queue would drop many for a second.
const BACKLOG: i32 = 4096;

/// Opens a listening socket; one of a process just ended is taken over.
///
/// # Errors
/// The address is in use or cannot be had.
pub fn listen(address: SocketAddr) -> io::Result<Async<TcpListener>> {
    let socket = Socket::new(Domain::for_address(address), Type::STREAM, Some(Protocol::TCP))?;
    socket.set_reuse_address(true)?;
    socket.bind(&address.into())?;
    socket.listen(BACKLOG)?;
    Async::new(TcpListener::from(socket))
}

/// Keeps things open while it lives.
#[derive(Debug)]
pub struct Hold {
    since: Arc<OnceLock<Instant>>,
    _open: Sender<()>,
}

impl Drop for Hold {
    fn drop(&mut self) {
        // Before the channel closes, which wakes whoever waits for it.
        let _ = self.since.set(Instant::now());
    }
}

/// Tells everyone who holds a clone that the process closes.
#[derive(Clone, Debug)]
pub struct Closing {
    since: Arc<OnceLock<Instant>>,
    open: Receiver<()>,
}

impl Closing {
    /// A pair: dropping the hold closes.
    pub fn new() -> (Hold, Closing) {
        let (sender, open) = async_channel::bounded(1);
        let since = Arc::new(OnceLock::new());
        (Hold { since: since.clone(), _open: sender }, Closing { since, open })
    }

    /// Whether it has begun.
    pub fn begun(&self) -> bool {
        self.since().is_some()
    }

    /// When it began.
    pub fn since(&self) -> Option<Instant> {
        self.since.get().copied()
    }

    /// Waits until it begins.
    pub async fn wait(&self) {
        let _ = self.open.recv().await;
    }
}

/// A place among the connections allowed; dropping it frees it.
#[derive(Debug)]
pub struct Place(Receiver<()>);

impl Drop for Place {
    fn drop(&mut self) {
        let _ = self.0.try_recv();
    }
}

/// How many connections there may be.
#[derive(Clone, Debug)]
pub struct Places(Sender<()>, Receiver<()>);

impl Places {
    /// So many.
    pub fn new(most: usize) -> Places {
        let (sender, receiver) = async_channel::bounded(most.max(1));
        Places(sender, receiver)
    }

    /// Waits for a place.
    pub async fn take(&self) -> Place {
        let _ = self.0.send(()).await;
        Place(self.1.clone())
    }

    /// A place, if one is free.
    pub fn try_take(&self) -> Option<Place> {
        self.0.try_send(()).ok().map(|()| Place(self.1.clone()))
    }

    /// Places taken.
    pub fn taken(&self) -> usize {
        self.0.len()
    }
}

/// Accepts until closing, handing each connection with its place to `serve`.
pub async fn accept(
    listener: &Async<TcpListener>,
    places: &Places,
    closing: &Closing,
    mut serve: impl FnMut(Async<TcpStream>, SocketAddr, Place),
) {
    let mut pause = PAUSE.0;
    loop {
        let next = async {
            let place = places.take().await;
            Some((listener.accept().await, place))
        };
        let Some((accepted, place)) = or_closing(closing, next).await else { return };
        match accepted {
            Ok((stream, from)) => {
                pause = PAUSE.0;
                let _ = stream.get_ref().set_nodelay(true);
                serve(stream, from, place);
            }
            Err(error) => {
                drop(place);
                metrics::counter!("frostgauge_accept_failed").increment(1);
                tracing::warn!(%error, pause_ms = pause.as_millis() as u64, "cannot accept");
                let wait = async {
                    Timer::after(pause).await;
                    Some(())
                };
                if or_closing(closing, wait).await.is_none() {
                    return;
                }
                pause = (pause * 2).min(PAUSE.1);
            }
        }
    }
}

/// Runs a future unless closing begins first.
pub async fn or_closing<T>(closing: &Closing, work: impl Future<Output = Option<T>>) -> Option<T> {
    let end = async {
        closing.wait().await;
        None
    };
    futures_lite::future::or(end, work).await
}
