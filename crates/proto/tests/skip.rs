//! Requests that are skipped: how many, where the following one begins, and what ends them.

use frostgauge_proto::http::*;

const LIMITS: Limits = Limits { line: 200, fields: 12, head: 1024, body: 4096 };
const READ: &[u8] = b"GET /a HTTP/1.1\r\nhost: x\r\n\r\n";
const REPORT: &[u8] = b"POST /a HTTP/1.1\r\nhost: x\r\ncontent-length: 4\r\n\r\nhail";
const CHUNKED: &[u8] =
    b"POST /a HTTP/1.1\r\nhost: x\r\ntransfer-encoding: chunked\r\n\r\n2\r\nha\r\n2\r\nil\r\n0\r\n\r\n";

/// Skips what comes in pieces of this size; the skipper, and what it left in the buffer.
fn skip_all(bytes: &[u8], piece: usize) -> (RequestSkipper, Vec<u8>) {
    let (mut skipper, mut buf) = (RequestSkipper::default(), Vec::new());
    for piece in bytes.chunks(piece) {
        skipper.discard_unusable(&mut buf);
        buf.extend_from_slice(piece);
        skipper.skip(&mut buf, 1, &LIMITS);
    }
    (skipper, buf)
}

fn unanswered(skipper: &mut RequestSkipper) -> usize {
    std::iter::from_fn(|| skipper.take_unanswered()).count()
}

#[test]
fn requests_are_counted_however_they_are_cut() {
    let bytes = [READ, REPORT, CHUNKED, REPORT, b"GET /b HTTP/1.1\r\n"].concat();
    for piece in [1, 2, 7, 50, bytes.len()] {
        let (mut skipper, left) = skip_all(&bytes, piece);
        assert_eq!((left.as_slice(), skipper.end()), (&b"GET /b HTTP/1.1\r\n"[..], None));
        assert_eq!(unanswered(&mut skipper), 4);
        assert!(!skipper.has_unanswered());
    }
}

#[test]
fn content_in_part_leaves_nothing_to_serve_behind_it() {
    let (mut skipper, left) = skip_all(&[READ, &REPORT[..REPORT.len() - 1]].concat(), 9);
    assert_eq!((left.len(), skipper.end(), unanswered(&mut skipper)), (0, Some(SkipEnd::Incomplete), 1));
}

#[test]
fn what_cannot_be_read_ends_the_requests_and_is_discarded() {
    let long_head = [b"GET /".to_vec(), vec![b'a'; 300]].concat();
    let bad_chunks = CHUNKED.iter().map(|b| if *b == b'2' { b'z' } else { *b }).collect::<Vec<u8>>();
    for (bad, status) in [(b"GET\r\n\r\n".to_vec(), 400), (long_head, 414), (bad_chunks, 400)] {
        let (mut skipper, left) = skip_all(&[READ, &bad, READ, READ].concat(), 40);
        assert!(left.is_empty(), "{}", left.len());
        let Some(SkipEnd::Malformed(error)) = skipper.end() else { panic!("{:?}", skipper.end()) };
        assert_eq!((error.status(), unanswered(&mut skipper)), (status, 1));
    }
}

#[test]
fn the_number_of_skipped_requests_is_bounded() {
    let (mut skipper, left) = skip_all(&READ.repeat(MAX_SKIPPED_REQUESTS + 50), 4096);
    assert_eq!((left.len(), skipper.end()), (0, Some(SkipEnd::TooMany)));
    assert_eq!(unanswered(&mut skipper), MAX_SKIPPED_REQUESTS);
}

#[test]
fn nothing_behind_a_request_that_closes_the_connection_is_a_request() {
    let last = b"GET /a HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n";
    let (mut skipper, left) = skip_all(&[READ, last, READ].concat(), 30);
    assert_eq!((left.len(), skipper.end()), (0, Some(SkipEnd::ConnectionClose)));
    assert_eq!(unanswered(&mut skipper), 2);
}

#[test]
fn skipped_requests_keep_whether_their_answers_have_content() {
    let head = b"HEAD /a HTTP/1.1\r\nhost: x\r\n\r\n";
    let (mut skipper, _) = skip_all(&[READ, head, REPORT].concat(), 30);
    let to_head: Vec<bool> =
        std::iter::from_fn(|| skipper.take_unanswered()).map(|skipped| skipped.to_head).collect();
    assert_eq!(to_head, [false, true, false]);
}

#[test]
fn as_many_are_skipped_as_make_room() {
    let mut skipper = RequestSkipper::default();
    let mut buf = READ.repeat(10);
    skipper.skip(&mut buf, 4 * READ.len(), &LIMITS);
    assert_eq!(buf, READ.repeat(3));
    assert_eq!(unanswered(&mut skipper), 7);
}
