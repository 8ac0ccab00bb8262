//! HTTP/1.1: shapes that must be refused, and properties of reading and writing.

use frostgauge_proto::http::*;
use proptest::prelude::*;
use rand::{Rng, RngExt, SeedableRng};

const LIMITS: Limits = Limits { line: 200, fields: 12, head: 1024, body: 4096 };

#[derive(Debug, PartialEq)]
struct Read {
    head: Result<Head, HttpError>,
    body: Result<Vec<u8>, HttpError>,
    rest: usize,
}

/// Reads one request from bytes that come in pieces of the given sizes.
fn read(bytes: &[u8], mut piece: impl FnMut() -> usize) -> Option<Read> {
    let (mut buf, mut from, mut reader) = (Vec::new(), 0, HeadReader::default());
    let end = loop {
        match reader.push(&buf, &LIMITS) {
            Ok(Some(end)) => break end,
            Err(e) => return Some(Read { head: Err(e), body: Ok(vec![]), rest: 0 }),
            Ok(None) if from == bytes.len() => return None,
            Ok(None) => {
                let to = (from + piece().max(1)).min(bytes.len());
                buf.extend_from_slice(&bytes[from..to]);
                from = to;
            }
        }
    };
    let head = Head::request(&buf[..end]);
    let framing = match &head {
        Ok(head) => head.request_framing(),
        Err(e) => Err(*e),
    };
    let body = framing.and_then(|f| BodyReader::new(f, &LIMITS));
    let mut body = match body {
        Ok(body) => body,
        Err(e) => return Some(Read { head, body: Err(e), rest: 0 }),
    };
    let (mut out, mut at) = (Vec::new(), end);
    while !body.done() && at < bytes.len() {
        let to = (at + piece().max(1)).min(bytes.len());
        match body.push(&bytes[at..to], &mut out) {
            Ok(n) => at += n,
            Err(e) => return Some(Read { head, body: Err(e), rest: 0 }),
        }
    }
    body.done().then(|| Read { head, body: Ok(out), rest: bytes.len() - at })
}

fn whole(text: &str) -> Read {
    read(text.as_bytes(), || usize::MAX >> 1).expect("the message is whole")
}

fn status(text: &str) -> u16 {
    match whole(text) {
        Read { head: Err(e), .. } | Read { body: Err(e), .. } => e.status(),
        _ => 200,
    }
}

#[test]
fn smuggling_shapes_are_refused() {
    let post = |fields: &str, rest: &str| format!("POST /c HTTP/1.1\r\nhost: a\r\n{fields}\r\n{rest}");
    for (fields, rest) in [
        ("content-length: 3\r\ntransfer-encoding: chunked\r\n", "0\r\n\r\n"),
        ("content-length: 3\r\ncontent-length: 3\r\n", "abc"),
        ("content-length: 3, 3\r\n", "abc"),
        ("content-length: +3\r\n", "abc"),
        ("content-length: 0x3\r\n", "abc"),
        ("content-length:\r\n", ""),
        ("content-length: 9999999999999999999999\r\n", ""),
        ("content-length : 3\r\n", "abc"),
        ("x: 1\r\n y\r\n", ""),
        (": x\r\n", ""),
        ("host: b\r\n", ""),
        ("x: \x01\r\n", ""),
        ("transfer-encoding: chunked\r\ntransfer-encoding: chunked\r\n", "0\r\n\r\n"),
        ("transfer-encoding: chunked\r\n", " 3\r\nabc\r\n0\r\n\r\n"),
        ("transfer-encoding: chunked\r\n", "3 \r\nabc\r\n0\r\n\r\n"),
        ("transfer-encoding: chunked\r\n", "0x3\r\nabc\r\n0\r\n\r\n"),
        ("transfer-encoding: chunked\r\n", "-3\r\nabc\r\n0\r\n\r\n"),
        ("transfer-encoding: chunked\r\n", "3\nabc\r\n0\r\n\r\n"),
        ("transfer-encoding: chunked\r\n", "3\r\nabcd\r\n0\r\n\r\n"),
        ("transfer-encoding: chunked\r\n", "ffffffffffffffffff\r\n"),
    ] {
        assert_eq!(status(&post(fields, rest)), 400, "{fields:?} {rest:?}");
    }
    assert_eq!(status("GET / HTTP/1.1\nhost: a\n\n"), 400);
    assert_eq!(status("GET / HTTP/1.1\r\nhost: a\rb\r\n\r\n"), 400);
    assert_eq!(status("GET / HTTP/1.1\r\n\r\n"), 400, "no host");
    assert_eq!(status("GET  / HTTP/1.1\r\nhost: a\r\n\r\n"), 400);
    assert_eq!(status("GET / HTTP/2.0\r\nhost: a\r\n\r\n"), 505);
    assert_eq!(status(&post("transfer-encoding: gzip, chunked\r\n", "")), 501);
}

#[test]
fn limits_have_statuses_of_their_own() {
    let long = "x".repeat(300);
    assert_eq!(status(&format!("GET /{long} HTTP/1.1\r\nhost: a\r\n\r\n")), 414);
    assert_eq!(status(&format!("GET / HTTP/1.1\r\nhost: a\r\nx: {long}\r\n\r\n")), 431);
    let many = "x: 1\r\n".repeat(13);
    assert_eq!(status(&format!("GET / HTTP/1.1\r\nhost: a\r\n{many}\r\n")), 431);
    assert_eq!(status("POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 4097\r\n\r\n"), 413);
    let chunk = "POST / HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\n1001\r\n";
    assert_eq!(status(chunk), 413, "refused at the chunk's size, before its content");
}

#[test]
fn pipelined_requests_are_told_apart() {
    let text = "POST /a HTTP/1.1\r\nhost: a\r\ncontent-length: 2\r\n\r\nhiGET /b HTTP/1.1\r\nhost: a\r\n\r\n";
    let first = whole(text);
    assert_eq!((first.body, first.rest), (Ok(b"hi".to_vec()), 28));
    let second = whole(&text[text.len() - first.rest..]);
    assert_eq!(second.head.map(|h| h.target().to_owned()), Ok("/b".to_owned()));
}

#[test]
fn responses_without_content_end_at_their_head() {
    let head = Head::response(b"HTTP/1.1 204 No Content\r\n\r\n").expect("sound");
    assert_eq!(head.response_framing(false), Ok(Framing::Length(0)));
    let head = Head::response(b"HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\n").expect("sound");
    assert_eq!(head.response_framing(true), Ok(Framing::Length(0)));
    assert_eq!(head.response_framing(false), Ok(Framing::Length(5)));
    assert!(Head::response(b"HTTP/1.1 2x0 OK\r\n\r\n").is_err());
}

#[test]
fn a_head_never_shows_values_in_debug_output() {
    let head = Head::request(b"GET / HTTP/1.1\r\nhost: a\r\nauthorization: Bearer sesame\r\n\r\n");
    assert!(!format!("{head:?}").contains("sesame"));
}

fn name() -> impl Strategy<Value = String> {
    "[a-z][a-z0-9-]{0,8}".prop_filter("has a meaning", |n| {
        !["host", "content-length", "transfer-encoding"].contains(&n.as_str())
    })
}

proptest! {
    #[test]
    fn what_is_written_is_read_back_however_it_is_cut(
        target in "/[a-z0-9/?=&%]{0,40}",
        fields in prop::collection::vec((name(), "[!-~]([ -~]{0,20}[!-~])?"), 0..8),
        body in prop::collection::vec(any::<u8>(), 0..300),
        chunked: bool,
        cuts in prop::collection::vec(1usize..50, 1..20),
    ) {
        let mut text = Vec::new();
        let all = [("host", "a".as_bytes())].into_iter();
        let all = all.chain(fields.iter().map(|(n, v)| (n.as_str(), v.as_bytes())));
        let content = if chunked { Body::Chunked(&body) } else { Body::Whole(&body) };
        write_request(&mut text, "POST", &target, all, content);
        let mut k = 0;
        let got = read(&text, || { k += 1; cuts[k % cuts.len()] }).expect("whole");
        let head = got.head.expect("sound");
        prop_assert_eq!(head.target(), target);
        let back: Vec<_> = head.fields().filter(|(n, _)| fields.iter().any(|f| f.0 == *n)).collect();
        let sent: Vec<_> = fields.iter().map(|(n, v)| (n.as_str(), v.as_bytes())).collect();
        prop_assert_eq!(back, sent);
        prop_assert_eq!(got.body, Ok(body));
    }

    #[test]
    fn any_cut_gives_the_same_verdict(bytes in prop::collection::vec(
        prop::sample::select(b"GET / HTTP1.0\r\n\r\n:;host 3achunked".to_vec()), 0..200), size in 1usize..9) {
        let head = b"POST / HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\n";
        for bytes in [bytes.clone(), [head.to_vec(), bytes].concat()] {
            prop_assert_eq!(read(&bytes, || 1 << 20), read(&bytes, || size));
        }
    }
}

/// A bounded fuzz run: real messages with bytes changed, cut out and doubled, from a fixed seed. Nothing
/// may panic, and no cut may change the verdict.
#[test]
fn mutated_messages_never_panic() {
    let corpus: [&[u8]; 4] = [
        b"GET /claims/1?x=2 HTTP/1.1\r\nhost: a\r\nauthorization: Bearer abc\r\nexpect: 100-continue\r\n\r\n",
        b"POST /c HTTP/1.1\r\nhost: a\r\ncontent-length: 5\r\n\r\nhello",
        b"POST /c HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\n5;a=b\r\nhello\r\n0\r\nt: x\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nendpoint-load-metrics: TEXT cpu_utilization=0.5\r\ncontent-length: 0\r\n\r\n",
    ];
    let mut rng = rand_chacha::ChaCha8Rng::seed_from_u64(1);
    for round in 0..20_000 {
        let mut bytes = corpus[round % corpus.len()].to_vec();
        for _ in 0..rng.random_range(1..5) {
            let at = rng.random_range(0..bytes.len());
            match rng.random_range(0..4) {
                0 => bytes[at] = rng.next_u32() as u8,
                1 => drop(bytes.drain(at..(at + 3).min(bytes.len() - 1).max(at))),
                2 => bytes.insert(at, b"\r\n: ;0f,"[rng.random_range(0..8)]),
                _ => bytes.extend_from_within(at..),
            }
        }
        let size = rng.random_range(1..40);
        assert_eq!(read(&bytes, || 1 << 20), read(&bytes, || size), "{:?}", String::from_utf8_lossy(&bytes));
        let _ = Head::response(&bytes).map(|h| h.response_framing(false));
    }
}
