//! Requests that are skipped: found to be whole, but not kept.
//!
//! A client may send further requests before it has the answer to an earlier one. A connection that holds no more of them must
//! read on all the same, since the end of the stream comes behind what was sent: it skips the oldest and refuses them when
//! their turn comes.

use super::{BodyReader, Head, HeadReader, HttpError, Limits};
use std::collections::VecDeque;

/// Requests that may be skipped before the first of them is answered. What follows is discarded unparsed, so that a client
/// that never stops sending costs little.
pub const MAX_SKIPPED_REQUESTS: usize = 1024;

/// Why nothing can be served behind the skipped requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SkipEnd {
    /// The request behind them cannot be read.
    Malformed(HttpError),
    /// The content of the request behind them has not come whole; its beginning is not kept.
    Incomplete,
    /// There are more than [`MAX_SKIPPED_REQUESTS`].
    TooMany,
    /// The last of them announced the end of the connection.
    ConnectionClose,
}

/// A request that was skipped whole.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SkippedRequest {
    /// Whether its method is HEAD, so that its answer has no content.
    pub to_head: bool,
}

/// A request whose head is skipped, and its content in part.
#[derive(Debug)]
struct PartialRequest {
    request: SkippedRequest,
    content: BodyReader,
    persists: bool,
}

/// Skips requests of one connection, and keeps which of them are still to be answered.
#[derive(Debug, Default)]
pub struct RequestSkipper {
    partial: Option<PartialRequest>,
    unanswered: VecDeque<SkippedRequest>,
    end: Option<SkipEnd>,
}

impl RequestSkipper {
    /// Skips the oldest request in `buf`, or as much of it as is there. False if that is nothing, since its head is not
    /// complete. Once nothing can be served behind the skipped requests, all of `buf` is discarded.
    pub fn skip(&mut self, buf: &mut Vec<u8>, limits: &Limits) -> bool {
        match self.skip_request(buf, limits) {
            Ok(progress) => progress,
            Err(end) => {
                self.partial = None;
                self.end = Some(end);
                buf.clear();
                true
            }
        }
    }

    /// Discards what came in if nothing can be served behind the skipped requests.
    pub fn discard_unusable(&self, buf: &mut Vec<u8>) {
        if self.end.is_some() {
            buf.clear();
        }
    }

    /// Takes the oldest skipped request that is still to be answered.
    pub fn take_unanswered(&mut self) -> Option<SkippedRequest> {
        self.unanswered.pop_front()
    }

    /// Whether answers are due before the next request in the buffer may be served.
    pub fn has_unanswered(&self) -> bool {
        !self.unanswered.is_empty()
    }

    /// Why nothing can be served behind the skipped requests; `None` if what is in the buffer follows them.
    pub fn end(&self) -> Option<SkipEnd> {
        self.end.or(self.partial.as_ref().map(|_| SkipEnd::Incomplete))
    }

    fn skip_request(&mut self, buf: &mut Vec<u8>, limits: &Limits) -> Result<bool, SkipEnd> {
        if let Some(end) = self.end {
            return Err(end);
        }
        let mut request = match self.partial.take() {
            Some(request) => request,
            None => match self.skip_head(buf, limits)? {
                Some(request) => request,
                None => return Ok(false),
            },
        };
        let length = request.content.push(buf, &mut Vec::new()).map_err(SkipEnd::Malformed)?;
        buf.drain(..length);
        if !request.content.done() {
            self.partial = Some(request);
            return Ok(true);
        }
        self.unanswered.push_back(request.request);
        if request.persists {
            Ok(true)
        } else {
            Err(SkipEnd::ConnectionClose)
        }
    }

    /// Skips a request's head; `None` if it is not complete.
    fn skip_head(&self, buf: &mut Vec<u8>, limits: &Limits) -> Result<Option<PartialRequest>, SkipEnd> {
        let Some(length) = HeadReader::default().push(buf, limits).map_err(SkipEnd::Malformed)? else {
            return Ok(None);
        };
        if self.unanswered.len() == MAX_SKIPPED_REQUESTS {
            return Err(SkipEnd::TooMany);
        }
        let head = Head::request(&buf[..length]).map_err(SkipEnd::Malformed)?;
        let framing = head.request_framing().map_err(SkipEnd::Malformed)?;
        let content = BodyReader::new(framing, limits).map_err(SkipEnd::Malformed)?;
        buf.drain(..length);
        let request = SkippedRequest { to_head: head.method() == "HEAD" };
        Ok(Some(PartialRequest { request, content, persists: head.persists() }))
    }
}
