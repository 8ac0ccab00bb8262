//! Heads: the start line and the field lines (RFC 9112 sections 2 to 5).

use super::{Framing, HttpError, Limits};
use std::ops::Range;

/// A field: the places of its name and its value.
type Field = (Range<usize>, Range<usize>);
/// Bytes that a field takes beside those of the message.
const FIELD_BYTES: usize = std::mem::size_of::<Field>();

const BARE: HttpError = HttpError::Malformed("a line does not end in CR LF");

/// Finds the end of a head in a buffer that grows. It looks at each byte once and in order, so that the
/// verdict does not depend on how the bytes were cut into reads.
#[derive(Clone, Debug, Default)]
pub struct HeadReader {
    at: usize,
    line: usize,
    lines: usize,
    cr: bool,
    skipped: bool,
}

impl HeadReader {
    /// Bytes that the head will take once it is parsed, as far as it was seen: those of [`Head::allocated_bytes`] or more.
    pub fn parsed_bytes(&self) -> usize {
        self.at + self.lines * FIELD_BYTES
    }

    /// Looks at `buf`, which must begin with what was seen before. `Some(end)` when its first `end` bytes
    /// are a whole head. One empty line before it is skipped (RFC 9112 section 2.2).
    ///
    /// # Errors
    /// Limits passed, and lines that do not end in CR LF.
    pub fn push(&mut self, buf: &[u8], limits: &Limits) -> Result<Option<usize>, HttpError> {
        while let Some(&byte) = buf.get(self.at) {
            if self.at >= limits.head {
                return Err(HttpError::HeadTooLarge);
            }
            self.at += 1;
            match (self.cr, byte) {
                (true, b'\n') => {
                    self.cr = false;
                    if self.line == 0 {
                        if self.lines > 0 {
                            return Ok(Some(self.at));
                        }
                        if self.skipped {
                            return Err(HttpError::Malformed("empty lines before the start line"));
                        }
                        self.skipped = true;
                        continue;
                    }
                    self.lines += 1;
                    self.line = 0;
                    if self.lines > limits.fields + 1 {
                        return Err(HttpError::HeadTooLarge);
                    }
                }
                (true, _) | (false, b'\n') => return Err(BARE),
                (false, b'\r') => self.cr = true,
                (false, _) => {
                    self.line += 1;
                    if self.line > limits.line {
                        return Err(match self.lines {
                            0 => HttpError::TargetTooLong,
                            _ => HttpError::HeadTooLarge,
                        });
                    }
                }
            }
        }
        Ok(None)
    }
}

/// The first line of a message.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Start {
    /// Method and request target, as ranges of the head.
    Request(Range<usize>, Range<usize>),
    /// Status.
    Response(u16),
}

/// A head: one copy of its bytes, with the places of its parts. Field names are in lower case.
#[derive(Clone, PartialEq, Eq)]
pub struct Head {
    bytes: Box<[u8]>,
    start: Start,
    minor: u8,
    fields: Vec<Field>,
}

impl std::fmt::Debug for Head {
    /// Names of fields only: values may be credentials.
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let names = self.fields.iter().map(|(n, _)| String::from_utf8_lossy(&self.bytes[n.clone()]));
        f.debug_struct("Head")
            .field("start", &self.start)
            .field("fields", &names.collect::<Vec<_>>())
            .finish()
    }
}

fn token(byte: u8) -> bool {
    byte.is_ascii_alphanumeric() || b"!#$%&'*+-.^_`|~".contains(&byte)
}

impl Head {
    /// Reads a request's head, as [`HeadReader`] found it.
    ///
    /// # Errors
    /// What RFC 9112 does not allow, or leaves open to two readings.
    pub fn request(bytes: &[u8]) -> Result<Head, HttpError> {
        let bytes = bytes.strip_prefix(b"\r\n").unwrap_or(bytes);
        let end = line_end(bytes, 0)?;
        let line = &bytes[..end];
        let first = line.iter().position(|b| *b == b' ').unwrap_or(0);
        let last = line.iter().rposition(|b| *b == b' ').unwrap_or(0);
        let (method, target) = (0..first, first + 1..last.max(first + 1));
        if first == 0 || !line[..first].iter().all(|b| token(*b)) {
            return Err(HttpError::Malformed("the method is no token"));
        }
        if last <= first + 1 || !line[target.clone()].iter().all(u8::is_ascii_graphic) {
            return Err(HttpError::Malformed("the request target is missing or holds odd bytes"));
        }
        let minor = version(&line[last + 1..])?;
        let head = Head::fields_of(bytes, end, Start::Request(method, target), minor)?;
        let hosts = head.all("host").count();
        if hosts > 1 || minor == 1 && hosts == 0 {
            return Err(HttpError::Malformed("not exactly one Host"));
        }
        Ok(head)
    }

    /// Reads a response's head, as [`HeadReader`] found it.
    ///
    /// # Errors
    /// What RFC 9112 does not allow, or leaves open to two readings.
    pub fn response(bytes: &[u8]) -> Result<Head, HttpError> {
        let bytes = bytes.strip_prefix(b"\r\n").unwrap_or(bytes);
        let end = line_end(bytes, 0)?;
        let line = &bytes[..end];
        let minor = version(line.get(..8).unwrap_or_default())?;
        let digits = line.get(8..12).and_then(|d| d.strip_prefix(b" "));
        let digits = digits.filter(|d| d.iter().all(u8::is_ascii_digit) && (b'1'..=b'5').contains(&d[0]));
        let Some(d) = digits.filter(|_| line.get(12).is_none_or(|b| *b == b' ')) else {
            return Err(HttpError::Malformed("the status is not three digits"));
        };
        let status = d.iter().fold(0, |n, d| n * 10 + u16::from(d - b'0'));
        Head::fields_of(bytes, end, Start::Response(status), minor)
    }

    fn fields_of(bytes: &[u8], first: usize, start: Start, minor: u8) -> Result<Head, HttpError> {
        let mut bytes: Box<[u8]> = bytes.into();
        // All lines but the first and the empty one.
        let lines = bytes.iter().filter(|b| **b == b'\n').count();
        let (mut fields, mut at) = (Vec::with_capacity(lines.saturating_sub(2)), first + 2);
        loop {
            let end = line_end(&bytes, at)?;
            if end == at {
                break;
            }
            if bytes[at] == b' ' || bytes[at] == b'\t' {
                return Err(HttpError::Malformed("a folded field line"));
            }
            let colon = bytes[at..end].iter().position(|b| *b == b':').map(|k| at + k);
            let Some(colon) = colon.filter(|c| *c > at && bytes[at..*c].iter().all(|b| token(*b))) else {
                return Err(HttpError::Malformed("a field name is no token"));
            };
            bytes[at..colon].make_ascii_lowercase();
            let blank = |b: &u8| *b == b' ' || *b == b'\t';
            let value = &bytes[colon + 1..end];
            let lead = value.iter().take_while(|b| blank(b)).count();
            let tail = value[lead..].iter().rev().take_while(|b| blank(b)).count();
            let place = colon + 1 + lead..end - tail;
            if bytes[place.clone()].iter().any(|b| (*b < b' ' && *b != b'\t') || *b == 0x7f) {
                return Err(HttpError::Malformed("a field value holds a control byte"));
            }
            fields.push((at..colon, place));
            at = end + 2;
        }
        Ok(Head { bytes, start, minor, fields })
    }

    /// Bytes allocated for it.
    pub fn allocated_bytes(&self) -> usize {
        self.bytes.len() + self.fields.capacity() * FIELD_BYTES
    }

    /// The method of a request, or nothing.
    pub fn method(&self) -> &str {
        match &self.start {
            Start::Request(method, _) => std::str::from_utf8(&self.bytes[method.clone()]).unwrap_or(""),
            Start::Response(_) => "",
        }
    }

    /// The target of a request (RFC 9112 section 3.2), or nothing.
    pub fn target(&self) -> &str {
        match &self.start {
            Start::Request(_, target) => std::str::from_utf8(&self.bytes[target.clone()]).unwrap_or(""),
            Start::Response(_) => "",
        }
    }

    /// The status of a response, or 0.
    pub fn status(&self) -> u16 {
        match self.start {
            Start::Response(status) => status,
            Start::Request(..) => 0,
        }
    }

    /// Every field, in order; names in lower case.
    pub fn fields(&self) -> impl Iterator<Item = (&str, &[u8])> {
        self.fields.iter().map(|(name, value)| {
            (std::str::from_utf8(&self.bytes[name.clone()]).unwrap_or(""), &self.bytes[value.clone()])
        })
    }

    /// The values of a field, by its name in lower case.
    pub fn all<'a>(&'a self, name: &'a str) -> impl Iterator<Item = &'a [u8]> {
        self.fields().filter(move |(n, _)| *n == name).map(|(_, value)| value)
    }

    /// The value of a field that occurs once and is text.
    pub fn one(&self, name: &str) -> Option<&str> {
        let mut all = self.fields().filter(|(n, _)| *n == name);
        let (_, value) = all.next().filter(|_| all.next().is_none())?;
        std::str::from_utf8(value).ok()
    }

    /// Whether a comma-separated field names this word (in lower case).
    pub fn lists(&self, name: &str, word: &str) -> bool {
        self.all(name).any(|value| {
            value.split(|b| *b == b',').any(|part| part.trim_ascii().eq_ignore_ascii_case(word.as_bytes()))
        })
    }

    /// Whether the connection may carry another message after this one (RFC 9112 section 9.3).
    pub fn persists(&self) -> bool {
        let close = self.lists("connection", "close");
        !close && (self.minor == 1 || self.lists("connection", "keep-alive"))
    }

    /// Whether the client waits for 100 (Continue) before it sends its content (RFC 9110 section 10.1.1).
    pub fn expects_continue(&self) -> bool {
        self.minor == 1 && self.lists("expect", "100-continue")
    }

    /// Whether a field concerns this connection alone and is not passed on (RFC 9110 section 7.6.1).
    pub fn hop_by_hop(&self, name: &str) -> bool {
        const HOP: [&str; 9] = [
            "connection",
            "keep-alive",
            "proxy-authenticate",
            "proxy-authorization",
            "proxy-connection",
            "te",
            "trailer",
            "transfer-encoding",
            "upgrade",
        ];
        HOP.contains(&name) || self.lists("connection", name)
    }

    /// How the content of this request is delimited (RFC 9112 section 6.3).
    ///
    /// # Errors
    /// Both a length and a coding, more than one length, a length that is no number, an unknown coding.
    pub fn request_framing(&self) -> Result<Framing, HttpError> {
        Ok(self.framing()?.unwrap_or(Framing::Length(0)))
    }

    /// How the content of this response is delimited; `to_head` when it answers a HEAD request.
    ///
    /// # Errors
    /// As for requests.
    pub fn response_framing(&self, to_head: bool) -> Result<Framing, HttpError> {
        let framing = self.framing()?;
        if to_head || matches!(self.status(), 100..=199 | 204 | 304) {
            return Ok(Framing::Length(0));
        }
        Ok(framing.unwrap_or(Framing::UntilClose))
    }

    fn framing(&self) -> Result<Option<Framing>, HttpError> {
        let (mut lengths, mut codings) = (self.all("content-length"), self.all("transfer-encoding"));
        match (lengths.next(), codings.next()) {
            (None, None) => Ok(None),
            (Some(_), Some(_)) => Err(HttpError::Malformed("both Content-Length and Transfer-Encoding")),
            (Some(length), None) => {
                if lengths.next().is_some() {
                    return Err(HttpError::Malformed("Content-Length is repeated"));
                }
                let sound = (1..=18).contains(&length.len()) && length.iter().all(u8::is_ascii_digit);
                if !sound {
                    return Err(HttpError::Malformed("Content-Length is no number"));
                }
                Ok(Some(Framing::Length(length.iter().fold(0, |n, d| n * 10 + u64::from(d - b'0')))))
            }
            (None, Some(coding)) => {
                if self.minor == 0 || codings.next().is_some() {
                    return Err(HttpError::Malformed("Transfer-Encoding in HTTP/1.0, or repeated"));
                }
                if !coding.eq_ignore_ascii_case(b"chunked") {
                    return Err(HttpError::Coding);
                }
                Ok(Some(Framing::Chunked))
            }
        }
    }
}

fn line_end(bytes: &[u8], from: usize) -> Result<usize, HttpError> {
    let rest = bytes.get(from..).unwrap_or_default();
    rest.windows(2).position(|w| w == b"\r\n").map(|k| from + k).ok_or(BARE)
}

fn version(bytes: &[u8]) -> Result<u8, HttpError> {
    match bytes {
        b"HTTP/1.1" => Ok(1),
        b"HTTP/1.0" => Ok(0),
        [b'H', b'T', b'T', b'P', b'/', a, b'.', b] if a.is_ascii_digit() && b.is_ascii_digit() => {
            Err(HttpError::Version)
        }
        _ => Err(HttpError::Malformed("the version is not HTTP")),
    }
}
