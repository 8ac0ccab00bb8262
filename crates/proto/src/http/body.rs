//! Content: by length, in chunks, or until the connection closes (RFC 9112 sections 6 and 7).

use super::{HttpError, Limits};

/// How a message's content is delimited.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Framing {
    /// So many bytes.
    Length(u64),
    /// In chunks.
    Chunked,
    /// By the end of the connection; responses only.
    UntilClose,
}

/// Longest chunk-size line, extensions included, and most bytes of trailers.
const CHUNK_LINE: usize = 256;
const TRAILERS: usize = 4096;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    Data(u64),
    Open,
    Size { value: u64, digits: u8 },
    Extension,
    SizeLf,
    Chunk(u64),
    ChunkCr,
    ChunkLf,
    TrailerStart,
    Trailer,
    TrailerLf,
    LastLf,
    Done,
}

/// Reads one message's content out of whatever bytes come.
#[derive(Clone, Debug)]
pub struct BodyReader {
    state: State,
    chunk: u64,
    line: usize,
    trailers: usize,
    got: u64,
    most: u64,
}

impl BodyReader {
    /// A reader for content framed so.
    ///
    /// # Errors
    /// A stated length over [`Limits::body`].
    pub fn new(framing: Framing, limits: &Limits) -> Result<BodyReader, HttpError> {
        let state = match framing {
            Framing::Length(n) if n > limits.body => return Err(HttpError::BodyTooLarge),
            Framing::Length(0) => State::Done,
            Framing::Length(n) => State::Data(n),
            Framing::Chunked => State::Size { value: 0, digits: 0 },
            Framing::UntilClose => State::Open,
        };
        Ok(BodyReader { state, chunk: 0, line: 0, trailers: 0, got: 0, most: limits.body })
    }

    /// Whether the content is whole.
    pub fn done(&self) -> bool {
        self.state == State::Done
    }

    /// Whether the end of the connection ends this content well.
    pub fn ends_with_close(&self) -> bool {
        matches!(self.state, State::Open | State::Done)
    }

    /// Takes bytes, appends content to `out`, and tells how many bytes belong to this message.
    ///
    /// # Errors
    /// Content over the limit; chunks that are not as RFC 9112 section 7.1 has them.
    pub fn push(&mut self, input: &[u8], out: &mut Vec<u8>) -> Result<usize, HttpError> {
        const BAD: HttpError = HttpError::Malformed("a chunk is not well formed");
        let mut at = 0;
        while at < input.len() && self.state != State::Done {
            let (byte, rest) = (input[at], &input[at..]);
            self.state = match self.state {
                State::Data(left) | State::Chunk(left) => {
                    let take = usize::try_from(left).unwrap_or(usize::MAX).min(rest.len());
                    self.take(&rest[..take], out)?;
                    at += take;
                    let left = left - take as u64;
                    match (self.state, left) {
                        (State::Data(_), 0) => State::Done,
                        (State::Data(_), n) => State::Data(n),
                        (_, 0) => State::ChunkCr,
                        (_, n) => State::Chunk(n),
                    }
                }
                State::Open => {
                    self.take(rest, out)?;
                    at = input.len();
                    State::Open
                }
                state => {
                    at += 1;
                    self.frame(state, byte).ok_or(BAD)?
                }
            };
            if let State::Chunk(n) = self.state {
                if n > self.most - self.got {
                    return Err(HttpError::BodyTooLarge);
                }
            }
        }
        Ok(at)
    }

    fn take(&mut self, data: &[u8], out: &mut Vec<u8>) -> Result<(), HttpError> {
        self.got += data.len() as u64;
        if self.got > self.most {
            return Err(HttpError::BodyTooLarge);
        }
        out.extend_from_slice(data);
        Ok(())
    }

    /// One byte of the chunks' framing; `None` if it may not stand there.
    fn frame(&mut self, state: State, byte: u8) -> Option<State> {
        self.line += 1;
        if self.line > CHUNK_LINE && !matches!(state, State::Trailer | State::TrailerLf) {
            return None;
        }
        Some(match (state, byte) {
            (State::Size { value, digits }, b) if b.is_ascii_hexdigit() && digits < 15 => {
                let digit = (b as char).to_digit(16).map(u64::from)?;
                State::Size { value: value * 16 + digit, digits: digits + 1 }
            }
            (State::Size { value, digits }, b'\r' | b';') if digits > 0 => {
                self.chunk = value;
                if byte == b';' {
                    State::Extension
                } else {
                    State::SizeLf
                }
            }
            (State::Extension, b'\r') => State::SizeLf,
            (State::Extension, b) if b >= b' ' && b != 0x7f || b == b'\t' => State::Extension,
            (State::SizeLf, b'\n') => {
                self.line = 0;
                if self.chunk == 0 {
                    State::TrailerStart
                } else {
                    State::Chunk(self.chunk)
                }
            }
            (State::ChunkCr, b'\r') => State::ChunkLf,
            (State::ChunkLf, b'\n') => {
                self.line = 0;
                State::Size { value: 0, digits: 0 }
            }
            (State::TrailerStart, b'\r') => State::LastLf,
            (State::TrailerStart | State::Trailer, b) if b != b'\n' => {
                self.trailers += 1;
                if self.trailers > TRAILERS {
                    return None;
                }
                if b == b'\r' {
                    State::TrailerLf
                } else {
                    State::Trailer
                }
            }
            (State::TrailerLf, b'\n') => {
                self.line = 0;
                State::TrailerStart
            }
            (State::LastLf, b'\n') => State::Done,
            _ => return None,
        })
    }
}
