//! Reading from clients: heads and contents.

use super::close::{CloseReason, End, NO_ROOM};
use super::{Connection, REQUEST};
use crate::memory::IncompleteRequest;
use async_io::Timer;
use frostgauge_net::{or_closing, read_into, until, OutOfMemory, Reservation, Timed};
use frostgauge_platform_protocol::request::Rejection;
use frostgauge_proto::http::{BodyReader, Framing, Head, HeadReader};
use frostgauge_resource_policy::client_permits::Waiting;
use frostgauge_resource_policy::processor_shares::{HEAD_KIB_COST, REQUEST_KIB_COST};
use frostgauge_resource_policy::shares::REQUEST_ALLOWANCE;
use frostgauge_resource_policy::timeouts::{
    CLIENT_IDLE_TIMEOUT, FIRST_REQUEST_TIMEOUT, MAX_READ_PAUSE, REQUEST_TIMEOUT, SHUTDOWN_ACCEPT_TIME,
    SHUTDOWN_READ_TIME,
};
use futures_lite::future::or;
use std::future::pending;
use std::time::{Duration, Instant};

/// Room for the longest head and a little of what comes behind it, bytes: a head that is too long is seen as such.
const HEAD_ROOM: usize = REQUEST.head + 512;

/// How a wait for more of a request ended.
enum Progress {
    /// Something was read.
    Bytes,
    /// Shutdown began.
    ShutdownBegan,
    /// Others need the connection's permit or its memory.
    Evicted,
    /// The client has closed its side or reset the connection.
    Disconnected,
    /// Nothing came in time.
    Late,
}

/// Reads below this size cost more than the bytes that they bring, bytes.
const SMALL_READ_BYTES: usize = 1 << 10;

/// Whether a read of so many bytes, where there was this much room, shows that a request comes in pieces.
pub(super) fn is_piece(bytes: usize, room: usize) -> bool {
    bytes < room && bytes < SMALL_READ_BYTES
}

/// Waits until an incomplete request is to end for the sake of others; forever if it holds no shared memory.
async fn ended(incomplete: Option<&IncompleteRequest>) {
    match incomplete {
        Some(incomplete) => incomplete.ended().await,
        None => pending().await,
    }
}

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

    /// The next head, with its memory.
    pub(super) async fn head(&mut self) -> Result<(Head, Reservation), End> {
        let mut reader = HeadReader::default();
        self.in_pieces = false;
        let mut begun = !self.buf.is_empty();
        let mut deadline = match (self.used, begun) {
            (false, _) | (true, true) => self.request_deadline(),
            (true, false) => Instant::now() + CLIENT_IDLE_TIMEOUT,
        };
        let mut closing = self.closing.begun();
        if closing && !begun {
            deadline = Instant::now() + SHUTDOWN_READ_TIME;
        }
        let mut incomplete = None;
        loop {
            if let Some(end) = reader.push(self.buf.bytes(), &REQUEST)? {
                let mut memory = self.handle.shared.memory.budget().reservation(REQUEST_ALLOWANCE);
                memory.resize(reader.parsed_bytes())?;
                let head = Head::request(&self.buf.bytes()[..end])?;
                self.work.add_bytes(end, HEAD_KIB_COST);
                self.buf.consume(end);
                return Ok((head, memory));
            }
            if !begun && !self.buf.is_empty() {
                begun = true;
                deadline = self.request_deadline();
            }
            if self.buf.room_left() == 0 {
                self.buf.grow(HEAD_ROOM.min(2 * self.buf.room()))?;
                incomplete.get_or_insert_with(|| self.handle.shared.memory.register());
            }
            let limit = if begun { self.shutdown_deadline(deadline) } else { deadline };
            let waiting = if self.used { Waiting::NextRequest } else { Waiting::FirstRequest };
            match self.read_more(limit, waiting, incomplete.as_ref(), closing).await {
                Progress::Bytes => {}
                // It goes on reading for a while, since a request may be on its way.
                Progress::ShutdownBegan => {
                    closing = true;
                    if !begun {
                        deadline = Instant::now() + SHUTDOWN_READ_TIME;
                    }
                }
                Progress::Evicted if begun => return Err(End::Reject(NO_ROOM)),
                Progress::Evicted => return Err(End::Close(CloseReason::Evicted)),
                Progress::Disconnected => return Err(End::Close(CloseReason::ClientDisconnected)),
                Progress::Late if begun => return Err(self.timeout_rejection()),
                Progress::Late => return Err(End::Close(CloseReason::Idle)),
            }
        }
    }

    /// The content, and the memory of head and content.
    pub(super) async fn body(
        &mut self,
        reader: &mut BodyReader,
        framing: Framing,
        mut memory: Reservation,
    ) -> Result<(Vec<u8>, Reservation), End> {
        let stated = match framing {
            Framing::Length(length) => usize::try_from(length).unwrap_or(usize::MAX),
            _ => usize::MAX,
        };
        let head_bytes = memory.bytes();
        let deadline = self.request_deadline();
        let (mut body, mut incomplete) = (Vec::new(), None);
        loop {
            reserve_content(&mut body, self.buf.len(), stated, head_bytes, &mut memory)?;
            let taken = reader.push(self.buf.bytes(), &mut body)?;
            self.buf.consume(taken);
            if reader.done() {
                return Ok((body, memory));
            }
            if memory.taken() > 0 {
                incomplete.get_or_insert_with(|| self.handle.shared.memory.register());
            }
            let (limit, closing) = (self.shutdown_deadline(deadline), self.closing.begun());
            match self.read_more(limit, Waiting::Content, incomplete.as_ref(), closing).await {
                // After the begin of shutdown there is another limit.
                Progress::Bytes | Progress::ShutdownBegan => {}
                Progress::Evicted => return Err(End::Reject(NO_ROOM)),
                Progress::Disconnected => return Err(End::Close(CloseReason::ClientDisconnected)),
                Progress::Late => return Err(self.timeout_rejection()),
            }
        }
    }

    /// When the next read is to begin, if not at once: a client that sends in pieces waits for its turn, and no longer than
    /// this. During shutdown nothing waits.
    pub(super) fn read_turn(&self, max_wait: Duration) -> Option<Instant> {
        if !self.in_pieces || self.closing.begun() {
            return None;
        }
        let now = Instant::now();
        Some(self.handle.shared.read_at(now, max_wait)).filter(|at| *at > now)
    }

    /// Reads once, until `limit` or the begin of shutdown, unless that is known already (`closing`). Meanwhile the
    /// connection may be evicted.
    async fn read_more(
        &mut self,
        limit: Instant,
        waiting: Waiting,
        incomplete: Option<&IncompleteRequest>,
        closing: bool,
    ) -> Progress {
        let turn = self.read_turn(MAX_READ_PAUSE);
        let idle = self.permit.idle(waiting);
        let (stream, buf, work, in_pieces) =
            (&self.stream, &mut self.buf, &mut self.work, &mut self.in_pieces);
        let room = buf.room_left();
        let read = async {
            if let Some(at) = turn {
                Timer::at(at).await;
            }
            read_into(&mut &*stream, buf).await
        };
        let read = async {
            Some(match until(limit, read).await {
                Timed::Done(Ok(0) | Err(_)) => Progress::Disconnected,
                Timed::Done(Ok(n)) => {
                    work.add_bytes(n, REQUEST_KIB_COST);
                    *in_pieces = is_piece(n, room);
                    Progress::Bytes
                }
                Timed::Late => Progress::Late,
            })
        };
        let evicted = async {
            or(ended(incomplete), idle.evicted()).await;
            Some(Progress::Evicted)
        };
        let progress = or(read, evicted);
        let progress = if closing { progress.await } else { or_closing(&self.closing, progress).await };
        progress.unwrap_or(Progress::ShutdownBegan)
    }
}

/// Reserves memory for up to `more` bytes of content behind a head, and allocates it: twice as much each time, and no
/// more than the stated length.
fn reserve_content(
    body: &mut Vec<u8>,
    more: usize,
    stated: usize,
    head_bytes: usize,
    memory: &mut Reservation,
) -> Result<(), OutOfMemory> {
    let needed = (body.len() + more).min(stated);
    if needed > body.capacity() {
        let capacity = needed.next_power_of_two().min(stated);
        memory.resize(head_bytes + capacity)?;
        body.reserve_exact(capacity - body.len());
    }
    Ok(())
}
