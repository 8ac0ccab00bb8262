//! Streams: what a front or an upstream needs of a connection, TCP today.

use async_io::Timer;
use futures_lite::AsyncRead;
use std::future::{poll_fn, Future};
use std::io;
use std::pin::{pin, Pin};
use std::time::Instant;

/// The outcome of something with a time limit.
#[derive(Debug)]
pub enum Timed<T> {
    /// It ended.
    Done(T),
    /// It did not end in time, and was dropped.
    Late,
}

/// Runs a future until a moment.
pub async fn until<T>(at: Instant, work: impl Future<Output = T>) -> Timed<T> {
    let mut work = pin!(work);
    // A timer costs a turn of the reactor's lock: only what has to wait gets one.
    if let Some(done) = futures_lite::future::poll_once(&mut work).await {
        return Timed::Done(done);
    }
    let late = async {
        Timer::at(at).await;
        Timed::Late
    };
    futures_lite::future::or(async { Timed::Done(work.await) }, late).await
}

/// Bytes of one read.
const READ: usize = 16 << 10;

/// Reads once and appends what came; 0 at the end of the stream. The piece read into lives on the stack of
/// one poll, so that a connection that waits holds no buffer.
///
/// # Errors
/// Those of the stream.
pub async fn read_some(stream: &mut (impl AsyncRead + Unpin), buf: &mut Vec<u8>) -> io::Result<usize> {
    poll_fn(|cx| {
        let mut piece = [0; READ];
        Pin::new(&mut *stream).poll_read(cx, &mut piece).map_ok(|n| {
            buf.extend_from_slice(&piece[..n]);
            n
        })
    })
    .await
}

/// Whether an error tells that this process or machine is out of descriptors, ports or memory: nothing that
/// the other side did.
pub fn exhausted(error: &io::Error) -> bool {
    // EMFILE, ENFILE, ENOBUFS, ENOMEM, EADDRNOTAVAIL on Linux.
    matches!(error.raw_os_error(), Some(24 | 23 | 105 | 12 | 99))
}
