//! Accepting clients' connections. Each gets a permit, for which one that waits for its client may be evicted. While all
//! permits are held by requests in progress, new connections are refused, so that their clients know in time.

use crate::front::{self, RefusalReason};
use crate::host::Handle;
use crate::permits::ConnectionPermit;
use async_executor::Executor;
use async_io::{Async, Timer};
use frostgauge_gateway::log::Throttle;
use frostgauge_net::{has_hung_up, or_closing, until, Closing, Places, Timed};
use frostgauge_resource_policy::timeouts::PERMIT_TIMEOUT;
use futures_lite::future::poll_once;
use std::io::{self, ErrorKind};
use std::net::{TcpListener, TcpStream};
use std::pin::pin;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Pause after a failed accept.
const ERROR_PAUSE: Duration = Duration::from_millis(5);
/// Connections accepted before other tasks go on.
const MAX_ACCEPTED_AT_ONCE: usize = 32;

/// Accepts connections on one listener.
pub struct Acceptor {
    listener: Async<TcpListener>,
    handle: Handle,
    closing: Closing,
    tasks: Arc<Executor<'static>>,
    refusals: Places,
    /// Since when no permit has been free.
    saturated_since: Option<Instant>,
    log: Throttle,
}

/// What becomes of a connection.
enum Fate {
    Serve(ConnectionPermit),
    Refuse(RefusalReason),
}

impl Acceptor {
    /// Accepts for this engine; at most `max_refusals` connections are being refused at a time.
    pub fn new(
        listener: Async<TcpListener>,
        handle: Handle,
        closing: Closing,
        tasks: Arc<Executor<'static>>,
        max_refusals: usize,
    ) -> Acceptor {
        Acceptor {
            listener,
            handle,
            closing,
            tasks,
            refusals: Places::new(max_refusals),
            saturated_since: None,
            log: Throttle::default(),
        }
    }

    /// Accepts until stopped, and then what is left in the kernel's queue.
    pub async fn run(mut self, stopped: Closing) {
        loop {
            let readable = async { Some(self.listener.readable().await) };
            let Some(readable) = or_closing(&stopped, readable).await else { break };
            // To its end, whenever it is stopped: what has been accepted is to be answered.
            let accepted = match readable {
                Ok(()) => self.accept_some(&stopped).await,
                Err(error) => Err(error),
            };
            if let Err(error) = accepted {
                self.pause_after(&error).await;
            }
        }
        self.accept_queued().await;
    }

    /// Accepts some of the connections that are in the kernel's queue.
    async fn accept_some(&mut self, stopped: &Closing) -> io::Result<()> {
        for _ in 0..MAX_ACCEPTED_AT_ONCE {
            match self.listener.get_ref().accept() {
                Ok((stream, _)) => self.start(stream).await?,
                Err(error) if matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::Interrupted) => break,
                Err(error) => return Err(error),
            }
            if stopped.begun() {
                break;
            }
            // Connections that come at full speed leave processor time to those that are open.
            let now = Instant::now();
            let next_at = self.handle.shared.accept_at(now);
            if next_at > now {
                Timer::at(next_at).await;
            }
        }
        Ok(())
    }

    /// A permit, or a refusal once none has been free for a while. What leaves for a new connection then may still make
    /// room at once, but is not waited for: the connections behind this one would wait too.
    async fn fate(&mut self) -> Fate {
        if !self.handle.shared.admits(Instant::now()) {
            return Fate::Refuse(RefusalReason::NoProcessorTime);
        }
        let mut permit = pin!(self.handle.shared.permits.take());
        if let Some(permit) = poll_once(&mut permit).await {
            self.saturated_since = None;
            return Fate::Serve(permit);
        }
        let since = *self.saturated_since.get_or_insert_with(Instant::now);
        match until(since + PERMIT_TIMEOUT, permit).await {
            Timed::Done(permit) => Fate::Serve(permit),
            Timed::Late => Fate::Refuse(RefusalReason::NoPermit),
        }
    }

    /// Starts to serve a connection, or refuses it. One whose client has left in the kernel's queue is closed.
    async fn start(&mut self, stream: TcpStream) -> io::Result<()> {
        if has_hung_up(&stream) {
            tracing::debug!("client connection closed: its client had left before it was accepted");
            return Ok(());
        }
        let _ = stream.set_nodelay(true);
        match self.fate().await {
            Fate::Serve(permit) => {
                let (handle, closing) = (self.handle.clone(), self.closing.clone());
                self.tasks.spawn(front::serve(Async::new(stream)?, permit, handle, closing)).detach();
            }
            Fate::Refuse(reason) => self.refuse(stream, reason)?,
        }
        Ok(())
    }

    /// Refuses a connection, which lingers where there is a place and processor time for that. Neither is waited for: the
    /// connections behind this one would wait too.
    fn refuse(&mut self, stream: TcpStream, reason: RefusalReason) -> io::Result<()> {
        if let Some(more) = self.log.allow(self.handle.clock.now(), reason.text()) {
            tracing::warn!(reason = reason.text(), more, "connection refused");
        }
        let place = self.refusals.try_take().filter(|_| self.handle.shared.lets_linger(Instant::now()));
        let Some(place) = place else {
            stream.set_nonblocking(true)?;
            front::refuse_at_once(&stream, reason);
            return Ok(());
        };
        self.tasks.spawn(front::refuse(Async::new(stream)?, reason, place)).detach();
        Ok(())
    }

    /// Connections that end return their descriptors, if it is out of these.
    async fn pause_after(&mut self, error: &io::Error) {
        if let Some(more) = self.log.allow(self.handle.clock.now(), "failed") {
            tracing::warn!(%error, more, "cannot accept");
        }
        // The client has gone again: there is nothing to wait for.
        if error.kind() != ErrorKind::ConnectionAborted {
            Timer::after(ERROR_PAUSE).await;
        }
    }

    /// Accepts what is left in the kernel's queue: clients may have sent requests there, which would be reset with the
    /// listener.
    async fn accept_queued(&mut self) {
        loop {
            match self.listener.get_ref().accept() {
                Ok((stream, _)) => {
                    if let Err(error) = self.start(stream).await {
                        self.pause_after(&error).await;
                    }
                }
                Err(error) if error.kind() == ErrorKind::WouldBlock => return,
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                Err(error) => self.pause_after(&error).await,
            }
        }
    }
}
