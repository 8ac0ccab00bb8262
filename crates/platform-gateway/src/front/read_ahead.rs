//! Reading ahead of an answer. The end of a client's stream comes behind all that it has sent, so a connection is read on
//! until it has no more to read. What there is no room for is skipped, and refused in its turn.

use super::answer::{self, Answer};
use super::close::{CloseReason, End};
use super::read::is_piece;
use super::{Connection, REQUEST};
use async_io::Timer;
use frostgauge_net::{read_arrived, read_into};
use frostgauge_platform_protocol::request::Rejection;
use frostgauge_proto::http::SkipEnd;
use frostgauge_resource_policy::processor_shares::{OWN_ANSWER_COST, REQUEST_KIB_COST, SKIPPED_REQUEST_COST};
use frostgauge_resource_policy::timeouts::MAX_READ_AHEAD_PAUSE;
use std::time::Duration;

/// Steps in which the room for what is held ahead of an answer grows, bytes.
const READ_AHEAD_STEP: usize = 16 << 10;
/// Bytes that may be held ahead of an answer where there is memory: as much as the largest request.
const MAX_READ_AHEAD_BYTES: usize = 84 << 10;
/// Bytes that may come behind a request while it is here. A client that sends more is not waited for: the end of its stream
/// may be behind any number of bytes, and reading them takes time from everyone else.
const MAX_BYTES_BEHIND: usize = 1 << 20;
/// Bytes of requests that are skipped at once, where that many are held, and between two pauses.
const SKIP_STEP: usize = 16 << 10;
/// Pause after requests were skipped: a client that sends as fast as it is read leaves the thread to others, and
/// [`MAX_BYTES_BEHIND`] are read well within 0.1 s.
const SKIP_PAUSE: Duration = Duration::from_micros(500);
/// Bytes of refusals that are written at once.
const REFUSALS_BYTES: usize = 1 << 10;
/// The reason given where a client has sent more ahead of its answers than is held.
pub(super) const TOO_MUCH_AHEAD: &str = "too much was sent ahead of an answer";

/// Why the answer to a request is not waited for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum GivenUp {
    /// The client has disconnected.
    Disconnected,
    /// The client has sent more than [`MAX_BYTES_BEHIND`].
    TooFarAhead,
}

impl From<SkipEnd> for End {
    fn from(end: SkipEnd) -> End {
        match end {
            SkipEnd::Malformed(error) => error.into(),
            SkipEnd::ConnectionClose => End::Close(CloseReason::Announced),
            SkipEnd::Incomplete | SkipEnd::TooMany => {
                End::Reject(Rejection { status: 503, reason: TOO_MUCH_AHEAD })
            }
        }
    }
}

impl Connection {
    /// Waits until the answer is not to be waited for any more.
    pub(super) async fn given_up(&mut self) -> GivenUp {
        let mut bytes_behind = 0;
        loop {
            self.make_room().await;
            if let Some(at) = self.read_turn(MAX_READ_AHEAD_PAUSE) {
                Timer::at(at).await;
            }
            let room = self.buf.room_left();
            match read_into(&mut &self.stream, &mut self.buf).await {
                Ok(0) | Err(_) => return GivenUp::Disconnected,
                Ok(n) => {
                    self.in_pieces = is_piece(n, room);
                    self.work.add_bytes(n, REQUEST_KIB_COST);
                    bytes_behind += n;
                }
            }
            if bytes_behind > MAX_BYTES_BEHIND {
                self.discard_rest();
                return GivenUp::TooFarAhead;
            }
        }
    }

    /// Reads what has arrived, so that nothing begins for a client that left while its request waited here. `None` if the
    /// request may be passed on.
    pub(super) async fn catch_up(&mut self) -> Option<GivenUp> {
        self.buf.fit_steps(READ_AHEAD_STEP);
        let mut bytes_behind = 0;
        while bytes_behind <= MAX_BYTES_BEHIND {
            self.make_room().await;
            match read_arrived(&self.stream, &mut self.buf).await {
                Ok(None) => return None,
                Ok(Some(0)) | Err(_) => return Some(GivenUp::Disconnected),
                Ok(Some(n)) => {
                    self.work.add_bytes(n, REQUEST_KIB_COST);
                    bytes_behind += n;
                }
            }
        }
        self.discard_rest();
        Some(GivenUp::TooFarAhead)
    }

    /// Discards what was read behind the skipped requests, and all that follows.
    fn discard_rest(&mut self) {
        self.skipper.give_up();
        self.buf.clear();
    }

    /// Makes room for more: further memory, or else that of the oldest requests that were sent ahead. A head that has no
    /// room is not served, nor is what follows it.
    async fn make_room(&mut self) {
        if self.skipper.end().is_some() {
            self.buf.edit(|bytes| self.skipper.discard_unusable(bytes));
        }
        if self.buf.room_left() > 0 {
            return;
        }
        let room = self.buf.room() + READ_AHEAD_STEP;
        if room <= MAX_READ_AHEAD_BYTES && self.buf.grow(room).is_ok() {
            return;
        }
        let target = self.buf.room() - SKIP_STEP.min(self.buf.room() / 2);
        let skipped = self.buf.edit(|bytes| self.skipper.skip(bytes, target, &REQUEST));
        if skipped == 0 {
            return self.discard_rest();
        }
        self.skipped_since_pause += skipped;
        if self.skipped_since_pause >= SKIP_STEP {
            self.skipped_since_pause = 0;
            self.work.add(OWN_ANSWER_COST);
            Timer::after(SKIP_PAUSE).await;
        }
    }

    /// Refuses skipped requests, as many as are written at once; whether the connection goes on. `None` if there are none.
    ///
    /// # Errors
    /// What was sent behind the skipped requests cannot be served.
    pub(super) async fn refuse_skipped(&mut self) -> Result<Option<bool>, End> {
        let (mut out, mut close) = (Vec::new(), false);
        while out.len() < REFUSALS_BYTES && self.skipper.take_unanswered().is_some() {
            let closes = self.skipper.end() == Some(SkipEnd::ConnectionClose);
            close = !self.skipper.has_unanswered() && closes || self.closing.begun() && !self.has_more();
            self.work.add(SKIPPED_REQUEST_COST);
            answer::write_own(&mut out, 503, None, close, TOO_MUCH_AHEAD);
        }
        if out.is_empty() {
            return self.skipper.end().map_or(Ok(None), |end| Err(end.into()));
        }
        self.write(&Answer::encoded(out)).await?;
        Ok(Some(!close))
    }

    /// Whether something that was read ahead is still to be answered.
    pub(super) fn has_more(&self) -> bool {
        !self.buf.is_empty() || self.skipper.has_unanswered() || self.skipper.end().is_some()
    }
}
