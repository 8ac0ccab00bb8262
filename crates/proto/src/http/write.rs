//! Messages as bytes.

use std::io::Write;

/// How content is written.
#[derive(Clone, Copy, Debug)]
pub enum Body<'a> {
    /// With `Content-Length`.
    Whole(&'a [u8]),
    /// With this `Content-Length`; the content itself is written by the caller, right behind.
    Stated(usize),
    /// As one chunk and the last one.
    Chunked(&'a [u8]),
    /// None, and no length either (1xx, 204, 304, and requests without content).
    None,
}

/// The reason phrase that goes with a status.
pub fn reason(status: u16) -> &'static str {
    match status {
        100 => "Continue",
        200 => "OK",
        201 => "Created",
        202 => "Accepted",
        204 => "No Content",
        304 => "Not Modified",
        400 => "Bad Request",
        401 => "Unauthorized",
        403 => "Forbidden",
        404 => "Not Found",
        405 => "Method Not Allowed",
        408 => "Request Timeout",
        413 => "Content Too Large",
        414 => "URI Too Long",
        429 => "Too Many Requests",
        431 => "Request Header Fields Too Large",
        500 => "Internal Server Error",
        501 => "Not Implemented",
        502 => "Bad Gateway",
        503 => "Service Unavailable",
        504 => "Gateway Timeout",
        505 => "HTTP Version Not Supported",
        _ => "",
    }
}

fn finish<'a>(out: &mut Vec<u8>, fields: impl Iterator<Item = (&'a str, &'a [u8])>, body: Body<'_>) {
    for (name, value) in fields {
        out.extend_from_slice(name.as_bytes());
        out.extend_from_slice(b": ");
        out.extend_from_slice(value);
        out.extend_from_slice(b"\r\n");
    }
    // Writing to a vector cannot fail.
    let _ = match body {
        Body::Whole(data) => write!(out, "content-length: {}\r\n\r\n", data.len()).map(|()| out.extend(data)),
        Body::Stated(length) => write!(out, "content-length: {length}\r\n\r\n"),
        Body::Chunked(data) => {
            out.extend_from_slice(b"transfer-encoding: chunked\r\n\r\n");
            if !data.is_empty() {
                let _ = write!(out, "{:x}\r\n", data.len());
                out.extend_from_slice(data);
                out.extend_from_slice(b"\r\n");
            }
            out.write_all(b"0\r\n\r\n")
        }
        Body::None => out.write_all(b"\r\n"),
    };
}

/// Appends a request. The fields must hold no line ends; those of a read [`super::Head`] never do.
pub fn write_request<'a>(
    out: &mut Vec<u8>,
    method: &str,
    target: &str,
    fields: impl Iterator<Item = (&'a str, &'a [u8])>,
    body: Body<'_>,
) {
    let _ = write!(out, "{method} {target} HTTP/1.1\r\n");
    finish(out, fields, body);
}

/// Appends a response. The fields must hold no line ends; those of a read [`super::Head`] never do.
pub fn write_response<'a>(
    out: &mut Vec<u8>,
    status: u16,
    fields: impl Iterator<Item = (&'a str, &'a [u8])>,
    body: Body<'_>,
) {
    let _ = write!(out, "HTTP/1.1 {status} {}\r\n", reason(status));
    finish(out, fields, body);
}
