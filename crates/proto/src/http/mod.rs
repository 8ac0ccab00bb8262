//! HTTP/1.1 messages (RFC 9112), read incrementally and strictly: a shape that two implementations could
//! read differently is an error, since a gateway that guesses can be made to smuggle requests.

mod body;
mod head;
mod skip;
mod write;

pub use body::{BodyReader, Framing};
pub use head::{Head, HeadReader, Start};
pub use skip::{RequestSkipper, SkipEnd, SkippedRequest, MAX_SKIPPED_REQUESTS};
pub use write::{reason, write_request, write_response, Body};

/// Bounds on what a peer may send.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Bytes of one line, its CRLF left out.
    pub line: usize,
    /// Field lines in one head.
    pub fields: usize,
    /// Bytes of one head, its last empty line included.
    pub head: usize,
    /// Bytes of one body's content.
    pub body: u64,
}

impl Default for Limits {
    /// 8 KiB a line, as RFC 9112 section 3 asks for at least; 100 fields, 32 KiB a head, 1 MiB of content.
    fn default() -> Self {
        Limits { line: 8 << 10, fields: 100, head: 32 << 10, body: 1 << 20 }
    }
}

/// Why a message was refused. The connection that brought it must be closed after the answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HttpError {
    /// Not well formed, or of a shape that could be read in two ways.
    Malformed(&'static str),
    /// The request line is longer than [`Limits::line`].
    TargetTooLong,
    /// The head passes [`Limits::line`], [`Limits::fields`] or [`Limits::head`].
    HeadTooLarge,
    /// The content passes [`Limits::body`].
    BodyTooLarge,
    /// A transfer coding other than `chunked`.
    Coding,
    /// A version other than HTTP/1.0 and HTTP/1.1.
    Version,
}

impl HttpError {
    /// The status to answer with (RFC 9110 section 15, RFC 6585 section 5).
    pub fn status(self) -> u16 {
        match self {
            HttpError::Malformed(_) => 400,
            HttpError::TargetTooLong => 414,
            HttpError::HeadTooLarge => 431,
            HttpError::BodyTooLarge => 413,
            HttpError::Coding => 501,
            HttpError::Version => 505,
        }
    }
}

impl std::fmt::Display for HttpError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(match self {
            HttpError::Malformed(why) => why,
            HttpError::TargetTooLong => "the request line is too long",
            HttpError::HeadTooLarge => "the head is too large",
            HttpError::BodyTooLarge => "the content is too large",
            HttpError::Coding => "only the chunked transfer coding is known",
            HttpError::Version => "only HTTP/1.0 and HTTP/1.1 are spoken",
        })
    }
}

impl std::error::Error for HttpError {}
