//! Reading ahead of an answer. The end of a client's stream comes behind all that it has sent, so a connection is read on
//! until it has no more to read. What there is no room for is skipped, and refused in its turn.

use super::{answer, Connection, End, REQUEST};
use frostgauge_net::{read_arrived, read_some};
use frostgauge_platform_protocol::request::Rejection;
use frostgauge_proto::http::SkipEnd;

/// Bytes that each connection may hold ahead of an answer, and the size of each further piece, bytes.
const READ_AHEAD_BYTES: usize = 4 << 10;
/// Further pieces for a connection, out of the bytes that may be held for all clients: as much as the largest request.
const MAX_FURTHER_PIECES: usize = 20;
/// Bytes that are read behind a request before it is passed on; a client that has sent more is not seen to be there.
const MAX_UNREAD_BYTES: usize = 1 << 20;
/// The reason given where a client has sent more ahead of its answers than is held.
const TOO_MUCH_AHEAD: &str = "too much was sent ahead of an answer";

impl From<SkipEnd> for End {
    fn from(end: SkipEnd) -> End {
        match end {
            SkipEnd::Malformed(error) => error.into(),
            SkipEnd::ConnectionClose => End::Close,
            SkipEnd::Incomplete | SkipEnd::TooMany => {
                End::Reject(Rejection { status: 503, reason: TOO_MUCH_AHEAD })
            }
        }
    }
}

impl Connection {
    /// Waits until the client leaves.
    pub(super) async fn left(&mut self) {
        loop {
            self.make_room();
            if matches!(read_some(&mut &self.stream, &mut self.buf).await, Ok(0) | Err(_)) {
                return;
            }
        }
    }

    /// Reads what has arrived, so that nothing begins for a client that left while its request waited here.
    ///
    /// # Errors
    /// The client has left, or may have behind more than [`MAX_UNREAD_BYTES`]; the request is refused then.
    pub(super) async fn catch_up(&mut self) -> Result<(), End> {
        self.further_pieces.truncate(self.buf.len() / READ_AHEAD_BYTES);
        let mut bytes_read = 0;
        while bytes_read < MAX_UNREAD_BYTES {
            self.make_room();
            match read_arrived(&self.stream, &mut self.buf).await {
                Ok(None) => return Ok(()),
                Ok(Some(0)) | Err(_) => return Err(End::Close),
                Ok(Some(n)) => bytes_read += n,
            }
        }
        Err(SkipEnd::TooMany.into())
    }

    /// Makes room for more: another piece, or else that of the oldest request that was sent ahead.
    fn make_room(&mut self) {
        self.skipper.discard_unusable(&mut self.buf);
        while self.buf.len() >= READ_AHEAD_BYTES * (1 + self.further_pieces.len()) {
            let has_pieces = self.further_pieces.len() < MAX_FURTHER_PIECES;
            let piece = has_pieces.then(|| self.handle.shared.bytes.take(READ_AHEAD_BYTES)).flatten();
            match piece {
                Some(piece) => self.further_pieces.push(piece),
                // A head that is not complete stays: it is bounded.
                None if !self.skipper.skip(&mut self.buf, &REQUEST) => return,
                None => {}
            }
        }
    }

    /// Refuses the oldest skipped request; whether another may follow. `None` if there is none.
    ///
    /// # Errors
    /// What was sent behind the skipped requests cannot be served.
    pub(super) async fn refuse_skipped(&mut self) -> Result<Option<bool>, End> {
        if self.skipper.take_unanswered().is_none() {
            return self.skipper.end().map_or(Ok(None), |end| Err(end.into()));
        }
        let closes = self.skipper.end() == Some(SkipEnd::ConnectionClose);
        let close = !self.skipper.has_unanswered() && closes || self.closing.begun() && !self.has_more();
        let mut out = Vec::new();
        answer::own(&mut out, 503, None, close, TOO_MUCH_AHEAD);
        self.write(&out).await?;
        Ok(Some(!close))
    }

    /// Whether something that was read ahead is still to be answered.
    pub(super) fn has_more(&self) -> bool {
        !self.buf.is_empty() || self.skipper.has_unanswered() || self.skipper.end().is_some()
    }
}
