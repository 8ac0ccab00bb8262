//! What a client has sent and the front has not served yet.

use async_io::Async;
use frostgauge_net::read_some;
use frostgauge_proto::http::{Limits, RequestSkipper};
use futures_lite::future::yield_now;
use std::net::TcpStream;

/// Bytes held while the queue of answers is full; beyond them the oldest request is skipped and refused.
const MAX_READ_AHEAD_BYTES: usize = 64 << 10;

/// What was read of a client's stream beyond the requests that are being served.
#[derive(Debug, Default)]
pub(super) struct Input {
    /// Bytes that follow the skipped requests.
    pub buf: Vec<u8>,
    pub skipper: RequestSkipper,
}

impl Input {
    /// Reads on until the client closes its stream: the end of the stream comes behind all that the client has sent.
    pub async fn read_until_close(&mut self, stream: &Async<TcpStream>, limits: &Limits) {
        loop {
            self.skipper.discard_unusable(&mut self.buf);
            if self.skipper.skip(&mut self.buf, MAX_READ_AHEAD_BYTES, limits) > 0 {
                yield_now().await;
            }
            if matches!(read_some(&mut &*stream, &mut self.buf).await, Ok(0) | Err(_)) {
                return;
            }
        }
    }
}
