//! Peers that send without an end: what is read of them is bounded, and the thread stays free for other tasks.

use async_io::{block_on, Async};
use frostgauge_net::{read_some, receive, until, Timed};
use frostgauge_proto::http::Limits;
use futures_lite::future::{poll_once, yield_now};
use futures_lite::AsyncRead;
use std::io::{self, Write};
use std::net::{TcpListener, TcpStream};
use std::pin::{pin, Pin};
use std::task::{Context, Poll};
use std::time::Instant;

const INTERIM: &[u8] = b"HTTP/1.1 100 Continue\r\n\r\n";
const FINAL: &[u8] = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok";
/// What the peer sends at most, bytes; far more than the buffers of two sockets hold.
const MOST_SENT: usize = 256 << 20;
/// Reads of a loop that is to be interrupted.
const READS: usize = 10_000;

/// A connection, and the peer's side of it.
fn pair() -> (Async<TcpStream>, TcpStream) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let ours = TcpStream::connect(listener.local_addr().expect("an address")).expect("connected");
    let theirs = listener.accept().expect("accepted").0;
    (Async::new(ours).expect("registered"), theirs)
}

/// Always has bytes.
struct Endless;

impl AsyncRead for Endless {
    fn poll_read(self: Pin<&mut Self>, _: &mut Context<'_>, buf: &mut [u8]) -> Poll<io::Result<usize>> {
        Poll::Ready(Ok(buf.len().min(1)))
    }
}

async fn read_on() {
    let mut buf = Vec::new();
    for _ in 0..READS {
        buf.clear();
        read_some(&mut Endless, &mut buf).await.expect("bytes");
    }
}

/// Guards against a server that holds up the whole gateway with interim responses that never end.
#[test]
fn interim_responses_without_an_end_are_an_error() {
    let (ours, mut theirs) = pair();
    let server = std::thread::spawn(move || {
        let burst = INTERIM.repeat(2_000);
        let mut sent = 0;
        while sent < MOST_SENT && theirs.write_all(&burst).is_ok() {
            sent += burst.len();
        }
        sent
    });
    let result = block_on(receive(&ours, false, &Limits::default(), None));
    assert_eq!(result.expect_err("no response").kind(), io::ErrorKind::InvalidData);
    drop(ours);
    assert!(server.join().expect("ended") < MOST_SENT, "the rest is not read");
}

#[test]
fn interim_responses_as_long_as_one_head_are_skipped() {
    let limits = Limits::default();
    let most = limits.head / INTERIM.len();
    for (count, is_accepted) in [(0, true), (most, true), (most + 1, false)] {
        let (ours, mut theirs) = pair();
        theirs.write_all(&[&INTERIM.repeat(count), FINAL].concat()).expect("written");
        let result = block_on(receive(&ours, false, &limits, None));
        assert_eq!(result.is_ok_and(|(response, _)| response.body == b"ok"), is_accepted, "{count}");
    }
}

/// Guards against a loop of reads that keeps its thread as long as the peer sends.
#[test]
fn a_loop_of_reads_that_never_wait_yields() {
    block_on(async {
        let mut reading = pin!(read_on());
        assert!(poll_once(&mut reading).await.is_none(), "other tasks run in between");
        reading.await;
    });
}

/// Guards against a deadline that is not checked while the peer sends.
#[test]
fn a_loop_of_reads_that_never_wait_ends_at_its_deadline() {
    let ended = block_on(until(Instant::now(), read_on()));
    assert!(matches!(ended, Timed::Late), "{ended:?}");
}

/// Guards against a process that was not scheduled for a while and takes what arrived in time for late.
#[test]
fn a_result_at_hand_behind_a_yield_is_not_late() {
    let ended = block_on(until(Instant::now(), yield_now()));
    assert!(matches!(ended, Timed::Done(())), "{ended:?}");
}
