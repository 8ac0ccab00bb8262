//! The last look before a request's bytes go.

use async_io::Async;
use frostgauge_net::{exchange_by, End, Pool, Pooled};
use frostgauge_proto::http::Limits;
use futures_lite::{future, AsyncReadExt, AsyncWriteExt};
use std::borrow::Cow;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::{Duration, Instant};

const REQUEST: &[u8] = b"GET / HTTP/1.1\r\nhost: a\r\n\r\n";
const ANSWER: &[u8] = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok";
const SECOND: Duration = Duration::from_secs(20);

fn listen() -> (Async<TcpListener>, SocketAddr) {
    let listener = Async::<TcpListener>::bind(([127, 0, 0, 1], 0)).expect("a port");
    let at = listener.get_ref().local_addr().expect("bound");
    (listener, at)
}

async fn go<'a>(pool: &Pool, to: SocketAddr, look: impl FnMut() -> Option<Cow<'a, [u8]>>) -> End {
    exchange_by(&Pooled(pool, to), look, false, &Limits::default(), SECOND, Instant::now() + SECOND).await
}

async fn serve(stream: &mut Async<TcpStream>) -> Vec<u8> {
    let mut got = vec![0; 512];
    let n = stream.read(&mut got).await.expect("read");
    got.truncate(n);
    stream.write_all(ANSWER).await.expect("written");
    got
}

#[test]
fn what_a_look_refuses_sends_no_byte_and_keeps_the_connection() {
    future::block_on(async {
        let (listener, at) = listen();
        let pool = Pool::new(2, SECOND);
        let refused = go(&pool, at, || None).await;
        assert!(matches!(refused, End::NotTried), "{refused:?}");
        assert_eq!(pool.len(), 1, "the connection stands, and is kept");
        let (mut stream, _) = listener.accept().await.expect("taken");
        // The next one goes out on it: what the server reads first is that request, and nothing before it.
        let ask = go(&pool, at, || Some(Cow::Borrowed(REQUEST)));
        let (end, got) = future::zip(ask, serve(&mut stream)).await;
        assert!(matches!(end, End::Answered(_)), "{end:?}");
        assert_eq!(got, REQUEST);
        assert!(matches!(go(&pool, at, || None).await, End::NotTried));
        assert_eq!(pool.len(), 1, "also one that was idle");
    });
}

#[test]
fn the_look_is_taken_once_the_connection_stands_and_its_bytes_are_what_goes() {
    future::block_on(async {
        let (listener, at) = listen();
        let pool = Pool::new(2, SECOND);
        let mut looks = 0;
        let look = || {
            looks += 1;
            Some(Cow::Owned([REQUEST, b""].concat()))
        };
        let server = async {
            let (mut stream, _) = listener.accept().await.expect("taken");
            serve(&mut stream).await
        };
        let (end, got) = future::zip(go(&pool, at, look), server).await;
        assert!(matches!(end, End::Answered(_)), "{end:?}");
        assert_eq!((got, looks), (REQUEST.to_vec(), 1));
        // Nobody listens: there is nothing to look for.
        drop(listener);
        let (dead, gone) = listen();
        drop(dead);
        let mut looked = false;
        let end = go(&pool, gone, || {
            looked = true;
            Some(Cow::Borrowed(REQUEST))
        })
        .await;
        assert!(matches!(end, End::NotConnected) && !looked, "{end:?}");
    });
}
