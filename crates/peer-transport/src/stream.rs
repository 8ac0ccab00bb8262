//! Reading and writing frames on a TCP stream.

use crate::error::ConnectionError;
use crate::frame::FrameReader;
use async_io::Async;
use frostgauge_net::{read_some, until, Timed};
use futures_lite::AsyncWriteExt;
use std::net::TcpStream;
use std::time::{Duration, Instant};

/// A frame with a body of its own.
pub(crate) struct OwnedFrame {
    pub(crate) sequence: u64,
    pub(crate) body: Vec<u8>,
}

/// Takes the first frame out of the buffer; `None` while it is incomplete.
pub(crate) fn take_frame(
    reader: &mut FrameReader,
    buf: &mut Vec<u8>,
) -> Result<Option<OwnedFrame>, ConnectionError> {
    let Some(frame) = reader.read(buf)? else { return Ok(None) };
    let (len, owned) = (frame.len, OwnedFrame { sequence: frame.sequence, body: frame.body.to_vec() });
    buf.drain(..len);
    Ok(Some(owned))
}

/// The next frame, read from the buffer and then from the stream.
pub(crate) async fn read_frame(
    mut stream: &Async<TcpStream>,
    reader: &mut FrameReader,
    buf: &mut Vec<u8>,
) -> Result<OwnedFrame, ConnectionError> {
    loop {
        if let Some(frame) = take_frame(reader, buf)? {
            return Ok(frame);
        }
        if !matches!(read_some(&mut stream, buf).await, Ok(n) if n > 0) {
            return Err(ConnectionError::Lost);
        }
    }
}

/// Writes all bytes, or fails once `timeout` is over.
pub(crate) async fn write_all(
    mut stream: &Async<TcpStream>,
    bytes: &[u8],
    timeout: Duration,
) -> Result<(), ConnectionError> {
    match until(Instant::now() + timeout, stream.write_all(bytes)).await {
        Timed::Done(Ok(())) => Ok(()),
        _ => Err(ConnectionError::Lost),
    }
}
