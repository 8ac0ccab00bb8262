//! Ends of clients' connections: why they end, and how they are closed.

use super::answer::{self, Answer};
use super::Connection;
use async_io::{Async, Timer};
use frostgauge_net::{discard_arrived, until, OutOfMemory, Place, Timed};
use frostgauge_platform_protocol::request::Rejection;
use frostgauge_proto::http::HttpError;
use frostgauge_resource_policy::processor_shares::OWN_ANSWER_COST;
use frostgauge_resource_policy::timeouts::{
    LINGER_TIME, MAX_LINGER_BYTES, MAX_REJECTION_DELAY, REFUSAL_LINGER_TIME, REFUSAL_READ_TIME,
};
use futures_lite::AsyncWriteExt;
use std::io::Write;
use std::net::{Shutdown, TcpStream};
use std::time::{Duration, Instant};

/// Why a connection closes without an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum CloseReason {
    /// The client has closed its side or reset the connection.
    ClientDisconnected,
    /// The client has sent nothing for too long.
    Idle,
    /// Another connection needs its permit.
    Evicted,
    /// The answer could not be written in time, or at all.
    WriteFailed,
    /// The answer announced it.
    Announced,
    /// The engine has ended.
    EngineEnded,
}

/// Why a connection ends.
pub(super) enum End {
    /// Nothing is to be answered.
    Close(CloseReason),
    /// What it sent is rejected, and nothing further is read.
    Reject(Rejection),
}

impl From<HttpError> for End {
    fn from(error: HttpError) -> End {
        End::Reject(Rejection { status: error.status(), reason: "the request cannot be read" })
    }
}

impl From<OutOfMemory> for End {
    fn from(_: OutOfMemory) -> End {
        End::Reject(NO_ROOM)
    }
}

/// The rejection of a request for which there is no memory, or which is not complete and ends so that others have memory
/// or a connection.
pub(super) const NO_ROOM: Rejection = Rejection { status: 503, reason: "no room for the request" };

impl Connection {
    pub(super) fn log_close(&self, reason: CloseReason) {
        tracing::debug!(?reason, used = self.used, "client connection closed");
    }

    /// Answers a request that is rejected, and ends the connection. Nothing is held meanwhile.
    pub(super) async fn reject(mut self, rejection: Rejection) {
        self.handle.shared.log_rejection(self.handle.clock.now(), rejection);
        self.skipper.give_up();
        self.buf.clear();
        if rejection != NO_ROOM {
            // Clients of such requests come again on a new connection: this one answers in its turn.
            self.work.add(OWN_ANSWER_COST);
            let now = Instant::now();
            let at = self.handle.shared.go_on_within(now, &mut self.work, MAX_REJECTION_DELAY);
            if at > now {
                Timer::at(at).await;
            }
        }
        let answer = answer::own(rejection.status, None, true, rejection.reason);
        if self.write(&answer).await.is_ok() {
            self.linger(rejection).await;
        }
    }

    /// Closes after an answer that announced it, once the client has closed or after a while. What the client still
    /// sends is not read, so that a reset shows that it has not run.
    pub(super) async fn close_unread(mut self) {
        self.buf.clear();
        let _ = self.stream.get_ref().shutdown(Shutdown::Write);
        let _ = until(Instant::now() + LINGER_TIME, self.stream.readable()).await;
    }

    /// Closes the sending side, and reads a little of what still comes. A connection that ends to make room for others is
    /// closed at once.
    async fn linger(self, rejection: Rejection) {
        let time = if rejection == NO_ROOM { Duration::ZERO } else { LINGER_TIME };
        linger(&self.stream, time).await;
    }
}

/// Closes the sending side, and reads a little of what still comes: a close with unread bytes would be a reset, and
/// discard an answer that is still on its way.
async fn linger(stream: &Async<TcpStream>, time: Duration) {
    let _ = stream.get_ref().shutdown(Shutdown::Write);
    let drain = async {
        let mut all = 0;
        while all < MAX_LINGER_BYTES {
            match stream.read_with(discard_arrived).await {
                Ok(n) if n > 0 => all += n,
                _ => return,
            }
        }
    };
    let _ = until(Instant::now() + time, drain).await;
}

/// Why a new connection is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RefusalReason {
    /// Requests in progress hold all permits.
    NoPermit,
    /// Others have used up the processor time.
    NoProcessorTime,
}

impl RefusalReason {
    /// The reason in words, for logs and clients.
    pub fn text(self) -> &'static str {
        match self {
            RefusalReason::NoPermit => "all connections are in use",
            RefusalReason::NoProcessorTime => "no processor time is left",
        }
    }

    fn answer(self) -> Answer {
        answer::own(503, None, true, self.text())
    }
}

/// Refuses a connection, once its first bytes are here or after a while.
pub async fn refuse(stream: Async<TcpStream>, reason: RefusalReason, _place: Place) {
    let _ = until(Instant::now() + REFUSAL_READ_TIME, stream.readable()).await;
    let mut writer = &stream;
    let answer = reason.answer();
    let write = writer.write_all(&answer.head);
    if let Timed::Done(Ok(())) = until(Instant::now() + REFUSAL_LINGER_TIME, write).await {
        linger(&stream, REFUSAL_LINGER_TIME).await;
    }
}

/// Refuses a connection without a wait. What has arrived is read first: a usual request is here whole then, and closing is
/// no reset.
pub fn refuse_at_once(mut stream: &TcpStream, reason: RefusalReason) {
    let _ = discard_arrived(stream);
    // The send buffer of a new connection has room for it.
    let _ = stream.write(&reason.answer().head);
}
