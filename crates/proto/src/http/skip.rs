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
    /// There are more than [`MAX_SKIPPED_REQUESTS`], or too many bytes.
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
    /// Skips the oldest requests in `buf`, up to the one with which less than `target` bytes are left. More are left only
    /// where a head is not complete. Once nothing can be served behind the skipped requests, all of `buf` is discarded.
    /// Returns the number of bytes that are gone from `buf`.
    pub fn skip(&mut self, buf: &mut Vec<u8>, target: usize, limits: &Limits) -> usize {
        let mut skipped = 0;
        while buf.len() - skipped >= target {
            match self.skip_request(&buf[skipped..], limits) {
                Ok(0) => break,
                Ok(length) => skipped += length,
                Err(end) => {
                    self.partial = None;
                    self.end = Some(end);
                    skipped = buf.len();
                }
            }
        }
        buf.drain(..skipped);
        skipped
    }

    /// Nothing behind the skipped requests is served any more: the caller discards what it holds and all that follows.
    pub fn give_up(&mut self) {
        self.partial = None;
        self.end.get_or_insert(SkipEnd::TooMany);
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

    /// Skips one request, or as much of it as is there; how many bytes of `input` that is.
    fn skip_request(&mut self, input: &[u8], limits: &Limits) -> Result<usize, SkipEnd> {
        if let Some(end) = self.end {
            return Err(end);
        }
        let (mut request, head_length) = match self.partial.take() {
            Some(request) => (request, 0),
            None => match self.read_head(input, limits)? {
                Some(head) => head,
                None => return Ok(0),
            },
        };
        let rest = &input[head_length..];
        let content_length = request.content.push(rest, &mut Vec::new()).map_err(SkipEnd::Malformed)?;
        if !request.content.done() {
            self.partial = Some(request);
        } else {
            self.unanswered.push_back(request.request);
            if !request.persists {
                return Err(SkipEnd::ConnectionClose);
            }
        }
        Ok(head_length + content_length)
    }

    /// Reads a request's head, and its length; `None` if it is not complete.
    fn read_head(&self, input: &[u8], limits: &Limits) -> Result<Option<(PartialRequest, usize)>, SkipEnd> {
        let Some(length) = HeadReader::default().push(input, limits).map_err(SkipEnd::Malformed)? else {
            return Ok(None);
        };
        if self.unanswered.len() == MAX_SKIPPED_REQUESTS {
            return Err(SkipEnd::TooMany);
        }
        let head = Head::request(&input[..length]).map_err(SkipEnd::Malformed)?;
        let framing = head.request_framing().map_err(SkipEnd::Malformed)?;
        let content = BodyReader::new(framing, limits).map_err(SkipEnd::Malformed)?;
        let request = SkippedRequest { to_head: head.method() == "HEAD" };
        Ok(Some((PartialRequest { request, content, persists: head.persists() }, length)))
    }
}
