//! Streams: what a front or an upstream needs of a connection, TCP today.

use crate::cooperation::{poll_read_budget, read_budget, reset_read_budget};
use crate::memory::InputBuffer;
use async_io::{Async, Timer};
use futures_lite::{ready, AsyncRead};
use rustix::event::{poll, PollFd, PollFlags, Timespec};
use std::future::{poll_fn, Future};
use std::io::{self, Read};
use std::net::TcpStream;
use std::pin::{pin, Pin};
use std::task::Poll;
use std::time::Instant;

/// The outcome of something with a time limit.
#[derive(Debug)]
pub enum Timed<T> {
    /// It ended.
    Done(T),
    /// It did not end in time, and was dropped.
    Late,
}

/// Runs a future until a moment. One that has only yielded by then is polled once more: its result may be at hand.
pub async fn until<T>(at: Instant, work: impl Future<Output = T>) -> Timed<T> {
    let mut work = pin!(work);
    let mut timer: Option<Timer> = None;
    poll_fn(|context| {
        if let Poll::Ready(done) = work.as_mut().poll(context) {
            return Poll::Ready(Timed::Done(done));
        }
        // A timer costs a turn of the reactor's lock: only what has to wait gets one.
        let is_first_poll = timer.is_none();
        let timer = timer.get_or_insert_with(|| Timer::at(at));
        if is_first_poll && Instant::now() >= at {
            context.waker().wake_by_ref();
            return Poll::Pending;
        }
        Pin::new(timer).poll(context).map(|_| Timed::Late)
    })
    .await
}

/// Bytes of one read.
const READ: usize = 16 << 10;

/// Reads once and appends what came; 0 at the end of the stream. The piece read into lives on the stack of
/// one poll, so that a connection that waits holds no buffer. A task that reads on and on without waiting yields from
/// time to time.
///
/// # Errors
/// Those of the stream.
pub async fn read_some(stream: &mut (impl AsyncRead + Unpin), buf: &mut Vec<u8>) -> io::Result<usize> {
    read_piece(stream, READ, |piece| buf.extend_from_slice(piece)).await
}

/// The same, of no more than the buffer has room for.
///
/// # Errors
/// Those of the stream, and `OutOfMemory` where there is no room.
pub async fn read_into(stream: &mut (impl AsyncRead + Unpin), buf: &mut InputBuffer) -> io::Result<usize> {
    let most = buf.room_left().min(READ);
    if most == 0 {
        return Err(io::ErrorKind::OutOfMemory.into());
    }
    read_piece(stream, most, |piece| buf.append(piece)).await
}

async fn read_piece(
    stream: &mut (impl AsyncRead + Unpin),
    most: usize,
    mut take: impl FnMut(&[u8]),
) -> io::Result<usize> {
    poll_fn(|context| {
        ready!(poll_read_budget(context));
        let mut piece = [0; READ];
        let read = Pin::new(&mut *stream).poll_read(context, &mut piece[..most]);
        if read.is_pending() {
            reset_read_budget();
        }
        read.map_ok(|n| {
            take(&piece[..n]);
            n
        })
    })
    .await
}

/// Reads once, of no more than the buffer has room for, and appends what came, without waiting; `None` if nothing has
/// arrived, 0 at the end of the stream. A task that reads on and on yields from time to time.
///
/// # Errors
/// Those of the stream, and `OutOfMemory` where there is no room.
pub async fn read_arrived(stream: &Async<TcpStream>, buf: &mut InputBuffer) -> io::Result<Option<usize>> {
    read_budget().await;
    let most = buf.room_left().min(READ);
    if most == 0 {
        return Err(io::ErrorKind::OutOfMemory.into());
    }
    let mut piece = [0; READ];
    loop {
        match stream.get_ref().read(&mut piece[..most]) {
            Ok(n) => {
                buf.append(&piece[..n]);
                return Ok(Some(n));
            }
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => return Ok(None),
            Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
            Err(error) => return Err(error),
        }
    }
}

/// Reads once, without waiting, and discards what has arrived; how many bytes these were, 0 at the end of the stream.
///
/// # Errors
/// Those of the stream, and `WouldBlock` if nothing has arrived.
pub fn discard_arrived(mut stream: &TcpStream) -> io::Result<usize> {
    let mut piece = [0; READ];
    loop {
        match stream.read(&mut piece) {
            Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
            read => return read,
        }
    }
}

/// Whether the other side has closed the connection, or its sending side; what it has sent before may still be unread.
pub fn has_hung_up(stream: &TcpStream) -> bool {
    let mut events = [PollFd::new(stream, PollFlags::RDHUP)];
    let at_once = Timespec { tv_sec: 0, tv_nsec: 0 };
    let polled = poll(&mut events, Some(&at_once));
    polled.is_ok() && events[0].revents().intersects(PollFlags::RDHUP | PollFlags::HUP | PollFlags::ERR)
}

/// Whether an error tells that this process or machine is out of descriptors, ports or memory: nothing that
/// the other side did.
pub fn exhausted(error: &io::Error) -> bool {
    // EMFILE, ENFILE, ENOBUFS, ENOMEM, EADDRNOTAVAIL on Linux.
    matches!(error.raw_os_error(), Some(24 | 23 | 105 | 12 | 99))
}
