//! A path to the counter on which replies are lost: whole frames, each by itself.

use async_executor::Executor;
use async_io::Async;
use frostgauge_net::read_some;
use futures_lite::{future, AsyncWriteExt};
use rand::RngExt;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicU32, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};

/// Kinds of frames that answer a call (`docs/counter-protocol.md`): these are lost, not those of the handshake.
const REPLIES: std::ops::RangeInclusive<u8> = 18..=20;
const MILLION: f64 = 1e6;

/// The path's knob and what it lost.
#[derive(Debug, Default)]
pub struct Lossy {
    rate: AtomicU32,
    lost: AtomicU64,
    passed: AtomicU64,
}

impl Lossy {
    /// Loses so large a share of the replies.
    pub fn lose(&self, rate: f64) {
        self.rate.store((rate.clamp(0.0, 1.0) * MILLION) as u32, Ordering::Relaxed);
    }

    /// Replies lost, and passed on.
    pub fn counts(&self) -> (u64, u64) {
        (self.lost.load(Ordering::Relaxed), self.passed.load(Ordering::Relaxed))
    }

    fn loses(&self, rng: &Mutex<rand_chacha::ChaCha8Rng>) -> bool {
        let rate = self.rate.load(Ordering::Relaxed);
        let lost = rate > 0 && rng.lock().is_ok_and(|mut rng| rng.random_range(0..MILLION as u32) < rate);
        let place = if lost { &self.lost } else { &self.passed };
        place.fetch_add(1, Ordering::Relaxed);
        lost
    }

    /// Passes on what comes, until the executor ends.
    pub async fn run(
        self: Arc<Self>,
        listener: Async<TcpListener>,
        executor: Arc<Executor<'static>>,
        to: SocketAddr,
        seed: u64,
    ) {
        let rng = Arc::new(Mutex::new(crate::dice(seed, "lossy")));
        loop {
            let Ok((from, _)) = listener.accept().await else { continue };
            let (lossy, rng) = (self.clone(), rng.clone());
            executor
                .spawn(async move {
                    let Ok(there) = Async::<TcpStream>::connect(to).await else { return };
                    let _ = (from.get_ref().set_nodelay(true), there.get_ref().set_nodelay(true));
                    let up = plain(&from, &there);
                    let down = frames(&there, &from, &lossy, &rng);
                    future::or(up, down).await;
                })
                .detach();
        }
    }
}

async fn plain(mut from: &Async<TcpStream>, mut to: &Async<TcpStream>) {
    let mut buf = vec![];
    while matches!(read_some(&mut from, &mut buf).await, Ok(n) if n > 0) {
        if to.write_all(&buf).await.is_err() {
            return;
        }
        buf.clear();
    }
}

async fn frames(
    mut from: &Async<TcpStream>,
    mut to: &Async<TcpStream>,
    lossy: &Lossy,
    rng: &Mutex<rand_chacha::ChaCha8Rng>,
) {
    let (mut buf, mut out) = (vec![], vec![]);
    while matches!(read_some(&mut from, &mut buf).await, Ok(n) if n > 0) {
        let mut at = 0;
        while let Some(head) = buf.get(at..at + 4) {
            let end = at + 2 + usize::from(u16::from_be_bytes([head[0], head[1]]));
            let Some(frame) = buf.get(at..end) else { break };
            if !(REPLIES.contains(&head[3]) && lossy.loses(rng)) {
                out.extend_from_slice(frame);
            }
            at = end;
        }
        buf.drain(..at);
        if to.write_all(&out).await.is_err() {
            return;
        }
        out.clear();
    }
}
