//! Paths between gateways: a relay for each ordered pair, that can fall silent, refuse, swallow or delay.
//!
//! A link is opened by who speaks, so a path that is cut one way leaves the other way whole.

use async_executor::Executor;
use async_io::{Async, Timer};
use frostgauge_net::read_some;
use futures_lite::{future, AsyncWriteExt};
use serde::Deserialize;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

/// How often a connection looks whether its path has changed.
const LOOK: Duration = Duration::from_millis(5);

/// What a path does with what comes.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "lowercase")]
pub enum How {
    /// It passes it on.
    #[default]
    Open,
    /// Connections stand, nothing comes through; what waited goes on once it is open again.
    Silent,
    /// Connections are reset, new ones end at once.
    Refusing,
    /// It takes everything and passes nothing on.
    Swallowing,
}

/// A path.
#[derive(Debug, Default)]
pub struct Path(Mutex<(How, Duration)>);

impl Path {
    /// From now on it does this, and takes so much time for each piece.
    pub fn set(&self, how: How, delay: Duration) {
        *self.0.lock().unwrap_or_else(PoisonError::into_inner) = (how, delay);
    }

    fn now(&self) -> (How, Duration) {
        *self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Passes on what comes, until the executor ends.
    pub async fn run(
        self: Arc<Self>,
        listener: Async<TcpListener>,
        executor: Arc<Executor<'static>>,
        to: SocketAddr,
    ) {
        loop {
            let Ok((from, _)) = listener.accept().await else { continue };
            let path = self.clone();
            executor
                .spawn(async move {
                    future::or(path.refused(), path.connection(from, to)).await;
                })
                .detach();
        }
    }

    async fn refused(&self) {
        while self.now().0 != How::Refusing {
            Timer::after(LOOK).await;
        }
    }

    async fn connection(&self, from: Async<TcpStream>, to: SocketAddr) {
        while self.now().0 != How::Open {
            Timer::after(LOOK).await;
        }
        let Ok(there) = Async::<TcpStream>::connect(to).await else { return };
        let _ = (from.get_ref().set_nodelay(true), there.get_ref().set_nodelay(true));
        future::or(self.pass(&from, &there), self.pass(&there, &from)).await;
    }

    async fn pass(&self, mut from: &Async<TcpStream>, mut to: &Async<TcpStream>) {
        let mut buf = vec![];
        while matches!(read_some(&mut from, &mut buf).await, Ok(n) if n > 0) {
            let mut state = self.now();
            while state.0 == How::Silent {
                Timer::after(LOOK).await;
                state = self.now();
            }
            if !state.1.is_zero() {
                Timer::after(state.1).await;
            }
            if state.0 != How::Swallowing && to.write_all(&buf).await.is_err() {
                return;
            }
            buf.clear();
        }
    }
}
