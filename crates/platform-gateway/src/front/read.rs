//! Reading from clients: heads and contents.

use super::{Connection, End, REQUEST};
use crate::semaphore::SemaphorePermit;
use frostgauge_net::{or_closing, read_some, until, Timed};
use frostgauge_platform_protocol::request::Rejection;
use frostgauge_proto::http::{BodyReader, Framing, Head, HeadReader};
use frostgauge_resource_policy::timeouts::{
    CLIENT_IDLE_TIMEOUT, FIRST_REQUEST_TIMEOUT, REQUEST_TIMEOUT, SHUTDOWN_ACCEPT_TIME, SHUTDOWN_READ_TIME,
};
use futures_lite::future::or;
use std::time::Instant;

impl Connection {
    /// When a request of which the first byte comes now is to be complete.
    fn request_deadline(&self) -> Instant {
        if self.used {
            Instant::now() + REQUEST_TIMEOUT
        } else {
            self.opened + FIRST_REQUEST_TIMEOUT
        }
    }

    /// The deadline of a request that has begun: during shutdown it is to be complete early enough to be answered.
    fn shutdown_deadline(&self, limit: Instant) -> Instant {
        self.closing.since().map_or(limit, |since| limit.min(since + SHUTDOWN_ACCEPT_TIME))
    }

    /// The rejection of a request that was not complete in time.
    fn timeout_rejection(&self) -> End {
        End::Reject(if self.closing.begun() {
            Rejection { status: 503, reason: "the process closes" }
        } else {
            Rejection { status: 408, reason: "the request did not come whole in time" }
        })
    }

    /// The next head.
    pub(super) async fn head(&mut self) -> Result<Head, End> {
        let mut reader = HeadReader::default();
        let mut begun = !self.buf.is_empty();
        let mut deadline = match (self.used, begun) {
            (false, _) | (true, true) => self.request_deadline(),
            (true, false) => Instant::now() + CLIENT_IDLE_TIMEOUT,
        };
        let mut closing = self.closing.begun();
        if closing && !begun {
            deadline = Instant::now() + SHUTDOWN_READ_TIME;
        }
        loop {
            if let Some(end) = reader.push(&self.buf, &REQUEST)? {
                let head = Head::request(&self.buf[..end])?;
                self.buf.drain(..end);
                return Ok(head);
            }
            if !begun && !self.buf.is_empty() {
                begun = true;
                deadline = self.request_deadline();
            }
            let limit = if begun { self.shutdown_deadline(deadline) } else { deadline };
            let idle = self.permit.idle(self.used);
            let (stream, buf) = (&self.stream, &mut self.buf);
            let read = async { Some(until(limit, read_some(&mut &*stream, buf)).await) };
            let evicted = async {
                idle.evicted().await;
                Some(Timed::Late)
            };
            let wait = or(read, evicted);
            let got = if closing { wait.await } else { or_closing(&self.closing, wait).await };
            drop(idle);
            match got {
                // Shutdown began: it goes on reading for a while, since a request may be on its way.
                None => {
                    closing = true;
                    if !begun {
                        deadline = Instant::now() + SHUTDOWN_READ_TIME;
                    }
                }
                Some(Timed::Done(Ok(0) | Err(_))) => return Err(End::Close),
                Some(Timed::Done(Ok(_))) => {}
                Some(Timed::Late) if begun => return Err(self.timeout_rejection()),
                Some(Timed::Late) => return Err(End::Close),
            }
        }
    }

    /// The content, and what it takes of the bytes that may be held for all clients.
    pub(super) async fn body(
        &mut self,
        reader: &mut BodyReader,
        framing: Framing,
    ) -> Result<(Vec<u8>, Option<SemaphorePermit>), End> {
        let bytes = match framing {
            Framing::Length(n) => usize::try_from(n).unwrap_or(usize::MAX),
            _ => REQUEST.body as usize,
        };
        if bytes == 0 {
            return Ok((Vec::new(), None));
        }
        let held = self.handle.shared.bytes.take(bytes);
        if held.is_none() {
            return Err(End::Reject(Rejection { status: 503, reason: "no room for the content" }));
        }
        let deadline = self.request_deadline();
        let mut body = Vec::new();
        loop {
            let taken = reader.push(&self.buf, &mut body)?;
            self.buf.drain(..taken);
            if reader.done() {
                return Ok((body, held));
            }
            let (limit, closing) = (self.shutdown_deadline(deadline), self.closing.begun());
            let (stream, buf) = (&self.stream, &mut self.buf);
            let read = async { Some(until(limit, read_some(&mut &*stream, buf)).await) };
            match if closing { read.await } else { or_closing(&self.closing, read).await } {
                // Shutdown began: there is another limit now.
                None => {}
                Some(Timed::Done(Ok(0) | Err(_))) => return Err(End::Close),
                Some(Timed::Done(Ok(_))) => {}
                Some(Timed::Late) => return Err(self.timeout_rejection()),
            }
        }
    }
}
