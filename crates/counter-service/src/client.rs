//! The client in a gateway: holds the connection to the counter service. [`ClientCalls`] of `frostgauge-counter-core`
//! decides what to do; this module does the I/O.

use async_channel::{Receiver, Sender};
use async_executor::{Executor, Task};
use async_io::{Async, Timer};
use frostgauge_counter_core::{Action, CallDetails, CallStats, ClientCalls, ClientCallsConfig, Micros};
use frostgauge_net::{read_some, until, Pool, Timed};
use frostgauge_proto::counter::{Frame, FrameDecoder, FrameEncoder, Key, Nonce, RejectReason};
use futures_lite::{future, AsyncWriteExt};
use serde_json::{json, Value};
use std::future::Future;
use std::net::{IpAddr, SocketAddr, TcpStream};
use std::pin::Pin;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// Calls that may wait for the client's task.
const CALL_QUEUE_LEN: usize = 4_096;
/// Calls taken from the queue at once; their frames are written together.
const MAX_CALLS_PER_WRITE: usize = 256;
/// A connection must be established, and the gateway session opened, within this time.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// A connection on which nothing was written for this long sends a ping. Well under the service's lease, which pings
/// renew.
const PING_INTERVAL: Duration = Duration::from_secs(1);

/// Settings of a client.
#[derive(Clone, Debug)]
pub struct Config {
    /// Address of the counter service.
    pub address: SocketAddr,
    /// The key shared by this gateway and the service.
    pub key: Key,
    /// This gateway's number.
    pub gateway: u16,
    /// Local address of the connections; chosen by the system if there is none.
    pub source: Option<IpAddr>,
    /// Time limits of calls.
    pub calls: ClientCallsConfig,
}

/// The outcome of a call.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CallResult {
    /// The counter's name.
    pub counter: u64,
    /// The total in units if the amount was added; `None` if the call was rejected or its outcome is unknown.
    pub total: Option<f64>,
    /// Without a total: whether the amount may have been added all the same.
    pub unsure: bool,
    /// Time since the call, microseconds.
    pub elapsed: Micros,
    /// What identifies the call in the service's log, for audits.
    pub details: CallDetails,
}

/// Is called with each result, one after the other. It returns false if no more results are wanted; the client's task
/// then ends.
pub type ResultHandler = Box<dyn Fn(CallResult) -> Pin<Box<dyn Future<Output = bool> + Send>> + Send + Sync>;

/// Handle of a running client; clones use the same connection.
#[derive(Clone, Debug)]
pub struct Client {
    /// Counter, amount in units, and time to live of each call.
    calls: Sender<(u64, f64, Micros)>,
    status: Arc<Mutex<ClientStatus>>,
}

/// State of the client's task for the status page; updated after each event.
#[derive(Clone, Copy, Debug, Default)]
struct ClientStatus {
    connected: bool,
    epoch: u64,
    in_flight: usize,
    stats: CallStats,
}

impl Client {
    /// Spawns the task that holds the connection. `on_result` gets the result of each call that
    /// [`Client::call`] accepted.
    pub fn start(executor: &Arc<Executor<'static>>, config: Config, on_result: ResultHandler) -> Client {
        let (calls, call_queue) = async_channel::bounded(CALL_QUEUE_LEN);
        let status = Arc::new(Mutex::new(ClientStatus::default()));
        let task = ClientTask {
            calls: ClientCalls::new(config.calls, rand::random()),
            pool: Pool::new(1, PING_INTERVAL).from(config.source),
            incarnation: rand::random(),
            connection: Connection::Down,
            started_at: Instant::now(),
            call_queue,
            executor: executor.clone(),
            on_result,
            status: status.clone(),
            config,
        };
        executor.spawn(task.run()).detach();
        Client { calls, status }
    }

    /// Queues an add of `amount` units to a counter, which expires after `ttl` microseconds if the add creates it.
    /// Returns false if the queue is full or the task has ended: the amount is not added then, and there is no result.
    pub fn call(&self, counter: u64, amount: f64, ttl: Micros) -> bool {
        self.calls.try_send((counter, amount, ttl)).is_ok()
    }

    /// State of the connection and counts of calls, for the status page.
    pub fn status(&self) -> Value {
        let Ok(ClientStatus { connected, epoch, in_flight, stats }) =
            self.status.lock().map(|status| *status)
        else {
            return Value::Null;
        };
        json!({
            "up": connected, "epoch": epoch, "out": in_flight, "calls": stats.calls, "totals": stats.totals,
            "refused": stats.rejected, "unsure": stats.unsure, "repeats": stats.retries, "opened": stats.connections,
        })
    }
}

/// A connection with an open gateway session.
#[derive(Debug)]
pub struct Session {
    stream: Async<TcpStream>,
    encoder: FrameEncoder,
    decoder: FrameDecoder,
    buf: Vec<u8>,
    epoch: u64,
    last_write_at: Instant,
}

impl Session {
    /// Sends a frame and waits for the next one. For benchmarks, with one request in flight.
    ///
    /// # Errors
    /// `Err(false)`: the connection failed or ended. `Err(true)`: a frame received is invalid or not authentic.
    pub async fn request(&mut self, frame: &Frame) -> Result<Frame, bool> {
        let mut bytes = vec![];
        self.encoder.encode(frame, &mut bytes);
        (&self.stream).write_all(&bytes).await.map_err(|_| false)?;
        receive_frame(&self.stream, &mut self.decoder, &mut self.buf).await
    }
}

enum Connection {
    Down,
    /// The result as in [`connect`].
    Opening(Task<Result<Session, bool>>),
    Up(Box<Session>),
}

enum Event {
    /// A call to send; `None` if all handles of the client are dropped.
    Call(Option<(u64, f64, Micros)>),
    /// The attempt to connect has ended, with a result as in [`connect`].
    ConnectEnded(Result<Session, bool>),
    /// Whether bytes were received; false if the connection ended.
    Received(bool),
    /// A timer of the calls, or the next ping, is due.
    Timer,
}

struct ClientTask {
    calls: ClientCalls,
    pool: Pool,
    /// Identifies this process to the service.
    incarnation: Nonce,
    connection: Connection,
    /// Zero of the clock that `calls` uses.
    started_at: Instant,
    call_queue: Receiver<(u64, f64, Micros)>,
    executor: Arc<Executor<'static>>,
    on_result: ResultHandler,
    status: Arc<Mutex<ClientStatus>>,
    config: Config,
}

/// Connects to the service, authenticates, and opens a gateway session.
///
/// # Errors
/// `Err(true)` if the service rejected the gateway's identity, or a frame was invalid or not authentic: trying again
/// soon does not help. `Err(false)` for other failures.
pub async fn connect(pool: Pool, config: Config, incarnation: Nonce) -> Result<Session, bool> {
    let stream = pool.connect(config.address).await.map_err(|_| false)?;
    let _ = stream.get_ref().set_nodelay(true);
    let (mut buf, mut decoder) = (vec![], FrameDecoder::new(None));
    let challenge = match receive_frame(&stream, &mut decoder, &mut buf).await? {
        Frame::Challenge { nonce } => nonce,
        _ => return Err(false),
    };
    let (nonce, gateway, mut bytes) = (rand::random(), config.gateway, vec![]);
    FrameEncoder::new(Some(config.key.open_key(&challenge)))
        .encode(&Frame::Open { gateway, incarnation, nonce }, &mut bytes);
    (&stream).write_all(&bytes).await.map_err(|_| false)?;
    let encoder = FrameEncoder::new(Some(config.key.gateway_key(&challenge, &nonce, gateway)));
    let mut decoder = FrameDecoder::new(Some(config.key.service_key(&challenge, &nonce, gateway)));
    match receive_frame(&stream, &mut decoder, &mut buf).await? {
        Frame::Opened { epoch, .. } => {
            Ok(Session { stream, encoder, decoder, buf, epoch, last_write_at: Instant::now() })
        }
        Frame::Bye { reason } => {
            let identity_rejected = matches!(reason, RejectReason::IdentityInUse | RejectReason::Fenced);
            tracing::error!(
                why = reason.label(),
                gateway,
                "the counter service rejected this gateway's session; trying again after a backoff"
            );
            Err(identity_rejected)
        }
        _ => Err(false),
    }
}

/// Returns the next frame of the connection.
///
/// # Errors
/// `Err(false)`: the connection failed or ended. `Err(true)`: the frame is invalid or not authentic.
async fn receive_frame(
    mut stream: &Async<TcpStream>,
    decoder: &mut FrameDecoder,
    buf: &mut Vec<u8>,
) -> Result<Frame, bool> {
    loop {
        match decoder.decode(buf) {
            Ok(Some((frame, n))) => {
                buf.drain(..n);
                return Ok(frame);
            }
            Ok(None) => {}
            Err(reason) => {
                // A service that does not know this gateway's key replies with a Bye frame without a MAC, so a wrong
                // key ends here as well.
                tracing::error!(
                    why = reason.label(),
                    "received an invalid or unauthenticated frame from the counter service; check that both sides have \
                     the same key"
                );
                return Err(true);
            }
        }
        if !matches!(read_some(&mut stream, buf).await, Ok(n) if n > 0) {
            return Err(false);
        }
    }
}

impl ClientTask {
    /// Microseconds since the task was created.
    fn now(&self) -> Micros {
        self.started_at.elapsed().as_micros() as Micros
    }

    async fn next_event(&mut self) -> Event {
        let calls_wake = self.calls.next_wake().map(|at| self.started_at + Duration::from_micros(at));
        let next_ping = match &self.connection {
            Connection::Up(session) => Some(session.last_write_at + PING_INTERVAL),
            _ => None,
        };
        let wake = calls_wake.into_iter().chain(next_ping).min();
        let (connection, call_queue) = (&mut self.connection, &self.call_queue);
        let connection_event = async {
            match connection {
                Connection::Down => future::pending().await,
                Connection::Opening(task) => Event::ConnectEnded(task.await),
                Connection::Up(session) => {
                    let read = read_some(&mut &session.stream, &mut session.buf).await;
                    Event::Received(matches!(read, Ok(n) if n > 0))
                }
            }
        };
        let call = async { Event::Call(call_queue.recv().await.ok()) };
        let timer = async {
            match wake {
                Some(at) => drop(Timer::at(at).await),
                None => future::pending().await,
            }
            Event::Timer
        };
        // Replies are handled first: they free capacity for new calls.
        future::or(connection_event, future::or(call, timer)).await
    }

    /// Runs until all handles of the client are dropped, or the result handler returns false.
    async fn run(mut self) {
        let mut actions = vec![];
        loop {
            let event = self.next_event().await;
            let now = self.now();
            match event {
                Event::Call(None) => return,
                Event::Call(Some(first)) => {
                    let rest =
                        std::iter::from_fn(|| self.call_queue.try_recv().ok()).take(MAX_CALLS_PER_WRITE);
                    for (counter, amount, ttl) in std::iter::once(first).chain(rest) {
                        self.calls.call(now, counter, amount, ttl, &mut actions);
                    }
                }
                Event::ConnectEnded(Ok(session)) => {
                    let epoch = session.epoch;
                    self.connection = Connection::Up(Box::new(session));
                    tracing::info!(epoch, "session with the counter service opened");
                    self.calls.session_opened(now, epoch, &mut actions);
                }
                Event::ConnectEnded(Err(identity_rejected)) => {
                    self.connection = Connection::Down;
                    self.calls.connection_lost(now, identity_rejected);
                }
                Event::Received(true) => self.handle_frames(now, &mut actions),
                Event::Received(false) => {
                    self.connection_lost(now, "the counter service closed the connection, or it failed");
                }
                Event::Timer => {}
            }
            self.calls.advance(now, &mut actions);
            if !self.perform(now, &mut actions).await {
                return;
            }
            if let Ok(mut status) = self.status.lock() {
                let calls = &self.calls;
                *status = ClientStatus {
                    connected: calls.is_connected(),
                    epoch: calls.epoch(),
                    in_flight: calls.in_flight(),
                    stats: calls.stats(),
                };
            }
        }
    }

    fn connection_lost(&mut self, now: Micros, why: &'static str) {
        tracing::warn!(why, "connection to the counter service lost; reconnecting after a backoff");
        self.connection = Connection::Down;
        self.calls.connection_lost(now, false);
    }

    /// Handles all complete frames in the session's buffer. Drops the connection on an invalid or unexpected one.
    fn handle_frames(&mut self, now: Micros, actions: &mut Vec<Action>) {
        let Connection::Up(session) = &mut self.connection else { return };
        let mut decoded = 0;
        let error = loop {
            match session.decoder.decode(&session.buf[decoded..]) {
                Ok(Some((frame, n))) => {
                    decoded += n;
                    match frame {
                        Frame::Total { id, total, .. } => self.calls.total_received(now, id, total, actions),
                        Frame::Rejected { id, reason, .. } => {
                            metrics::counter!("frostgauge_counter_refusals", "why" => reason.label())
                                .increment(1);
                            self.calls.rejection_received(now, id, reason, actions);
                        }
                        Frame::Pong { .. } => self.calls.frame_received(),
                        Frame::Bye { reason } => break Some(reason.label()),
                        _ => {
                            break Some("received a frame of a kind that is not expected in an open session")
                        }
                    }
                }
                Ok(None) => break None,
                Err(reason) => break Some(reason.label()),
            }
        };
        session.buf.drain(..decoded);
        if let Some(why) = error {
            self.connection_lost(now, why);
        }
    }

    /// Performs the actions that [`ClientCalls`] decided on, and sends a ping if one is due. Returns false if no more
    /// results are wanted.
    async fn perform(&mut self, now: Micros, actions: &mut Vec<Action>) -> bool {
        let mut bytes = vec![];
        for action in actions.drain(..) {
            match action {
                Action::Connect => {
                    let connecting = connect(self.pool.another(), self.config.clone(), self.incarnation);
                    self.connection = Connection::Opening(self.executor.spawn(async move {
                        match until(Instant::now() + CONNECT_TIMEOUT, connecting).await {
                            Timed::Done(result) => result,
                            Timed::Late => Err(false),
                        }
                    }));
                }
                Action::Disconnect => {
                    tracing::warn!(
                        "no frame from the counter service although a reply is overdue; closing the connection"
                    );
                    self.connection = Connection::Down;
                }
                Action::SendAdd { seq, counter, amount, ttl_ms, remaining } => {
                    let Connection::Up(session) = &mut self.connection else { continue };
                    let timeout_us = u32::try_from(remaining).unwrap_or(u32::MAX);
                    let name = format!("{counter:016x}").into_bytes();
                    session.encoder.encode(&Frame::Add { seq, amount, ttl_ms, timeout_us, name }, &mut bytes);
                }
                Action::Complete { counter, total, unsure, elapsed, details } => {
                    tracing::debug!(
                        target: "frostgauge_counter_calls", counter = format!("{counter:016x}"), epoch = details.epoch,
                        seq = details.seq, amount = details.amount, sends = details.attempts, unsure, refused = total.is_none(),
                        total = total.unwrap_or(0.0), took_us = elapsed, "answer"
                    );
                    let result = CallResult { counter, total, unsure, elapsed, details };
                    if !(self.on_result)(result).await {
                        return false;
                    }
                }
            }
        }
        let write_deadline = Instant::now() + Duration::from_micros(self.config.calls.timeout);
        let Connection::Up(session) = &mut self.connection else { return true };
        if bytes.is_empty() && session.last_write_at.elapsed() >= PING_INTERVAL {
            session.encoder.encode(&Frame::Ping { id: now }, &mut bytes);
        }
        if !bytes.is_empty() {
            session.last_write_at = Instant::now();
            let result = until(write_deadline, (&session.stream).write_all(&bytes)).await;
            if !matches!(result, Timed::Done(Ok(()))) {
                self.connection_lost(now, "a write failed or was not accepted within the timeout of calls");
            }
        }
        true
    }
}
