//! The task that sends to one gateway: it connects when there is something to send, and reconnects after failures.

use crate::error::{ConnectionError, RejectReason};
use crate::handshake::{self, OpenedSession};
use crate::stream::{read_frame, write_all};
use crate::transport::Config;
use async_channel::{Receiver, Sender};
use async_executor::Executor;
use async_io::Timer;
use frostgauge_net::{until, Timed};
use futures_lite::future;
use rand::RngExt;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Messages that may be queued for one gateway.
const MAX_QUEUED_MESSAGES: usize = 256;
/// Bytes that may be queued for one gateway; a single message may be longer.
const MAX_QUEUED_BYTES: usize = 8 << 20;
/// Bytes of frames after which a batch is written.
const BATCH_BYTES: usize = 256 << 10;
/// Delay before the first reconnect; it doubles up to [`Config::max_reconnect_delay`].
const MIN_RECONNECT_DELAY: Duration = Duration::from_millis(50);
/// A connection on which nothing was sent for so long is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(60);

/// State of the connection to a gateway, and what was sent to it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PeerStats {
    /// Connected now.
    pub connected: bool,
    /// Times that a connection was opened.
    pub connections_opened: u64,
    /// Messages sent.
    pub messages_sent: u64,
    /// Messages lost: the queue was full, or the connection failed before they were acknowledged.
    pub messages_lost: u64,
}

#[derive(Debug, Default)]
struct Counters {
    connected: AtomicBool,
    connections_opened: AtomicU64,
    messages_sent: AtomicU64,
    messages_lost: AtomicU64,
    queued_bytes: AtomicUsize,
}

impl Counters {
    fn lost(&self, messages: u64) {
        if messages > 0 {
            self.messages_lost.fetch_add(messages, Ordering::Relaxed);
            metrics::counter!("frostgauge_link_lost").increment(messages);
        }
    }

    fn dequeued(&self, message: &[u8]) {
        self.queued_bytes.fetch_sub(message.len(), Ordering::Relaxed);
    }
}

/// The queue of one gateway and its counters.
#[derive(Debug)]
pub(crate) struct Outbound {
    queue: Sender<Vec<u8>>,
    counters: Arc<Counters>,
}

impl Outbound {
    /// Starts the task that sends to a gateway. It ends when the queue is dropped.
    pub(crate) fn start(config: Arc<Config>, peer_id: u16, executor: &Executor<'static>) -> Outbound {
        let (queue, messages) = async_channel::bounded(MAX_QUEUED_MESSAGES);
        let counters = Arc::new(Counters::default());
        let task = SendTask { config, peer_id, messages, counters: counters.clone() };
        executor.spawn(task.run()).detach();
        Outbound { queue, counters }
    }

    /// Queues a message; false if there was no space and it is lost.
    pub(crate) fn send(&self, message: Vec<u8>) -> bool {
        let bytes = message.len();
        let queued = self.counters.queued_bytes.fetch_add(bytes, Ordering::Relaxed);
        let fits = queued == 0 || queued + bytes <= MAX_QUEUED_BYTES;
        if fits && self.queue.try_send(message).is_ok() {
            return true;
        }
        self.counters.queued_bytes.fetch_sub(bytes, Ordering::Relaxed);
        self.counters.lost(1);
        false
    }

    pub(crate) fn stats(&self) -> PeerStats {
        PeerStats {
            connected: self.counters.connected.load(Ordering::Relaxed),
            connections_opened: self.counters.connections_opened.load(Ordering::Relaxed),
            messages_sent: self.counters.messages_sent.load(Ordering::Relaxed),
            messages_lost: self.counters.messages_lost.load(Ordering::Relaxed),
        }
    }
}

/// How a connection ended, and how many of its messages were not acknowledged.
struct SessionEnd {
    /// None: nothing was sent for a while, or the queue was dropped.
    error: Option<ConnectionError>,
    unacknowledged: u64,
}

struct SendTask {
    config: Arc<Config>,
    peer_id: u16,
    messages: Receiver<Vec<u8>>,
    counters: Arc<Counters>,
}

impl SendTask {
    async fn run(self) {
        let mut delay = MIN_RECONNECT_DELAY;
        // A connection is opened for a message, not ahead of one.
        while let Ok(first) = self.messages.recv().await {
            self.counters.dequeued(&first);
            let connecting = handshake::connect(&self.config, self.peer_id);
            let connected = match until(Instant::now() + self.config.stall_timeout, connecting).await {
                Timed::Done(connected) => connected,
                Timed::Late => Err(ConnectionError::Lost),
            };
            match connected {
                Ok(session) => {
                    delay = MIN_RECONNECT_DELAY;
                    if self.use_session(session, first).await.is_none() {
                        continue;
                    }
                }
                Err(error) => self.report_failed_connect(error),
            }
            // Jitter keeps hundreds that lost the same gateway from coming back to it at once.
            let jitter = 0.5 + rand::rng().random::<f64>() * 0.5;
            Timer::after(delay.mul_f64(jitter)).await;
            delay = (delay * 2).min(self.config.max_reconnect_delay.max(MIN_RECONNECT_DELAY));
            self.drop_stale_messages();
        }
    }

    fn report_failed_connect(&self, error: ConnectionError) {
        self.counters.lost(1);
        if let ConnectionError::Rejected(error) = error {
            tracing::warn!(peer = self.peer_id, %error, "peer handshake failed: check the shared secret");
        }
    }

    /// Sends on an open connection until it ends; none if it ended without a failure.
    async fn use_session(&self, session: OpenedSession, first: Vec<u8>) -> Option<ConnectionError> {
        self.counters.connections_opened.fetch_add(1, Ordering::Relaxed);
        self.counters.connected.store(true, Ordering::Relaxed);
        tracing::debug!(peer = self.peer_id, "peer connection opened");
        let SessionEnd { error, unacknowledged } = self.send_on(session, first).await;
        self.counters.connected.store(false, Ordering::Relaxed);
        self.counters.lost(unacknowledged);
        match error {
            None => {}
            Some(ConnectionError::Lost) => tracing::debug!(peer = self.peer_id, "peer connection lost"),
            Some(ConnectionError::Rejected(error)) => {
                tracing::warn!(peer = self.peer_id, %error, "peer connection brought invalid data");
            }
        }
        error
    }

    /// What was queued during the delay is stale: who still needs it sends it again.
    fn drop_stale_messages(&self) {
        let mut stale = 0;
        while let Ok(message) = self.messages.try_recv() {
            self.counters.dequeued(&message);
            stale += 1;
        }
        self.counters.lost(stale);
    }

    async fn send_on(&self, mut session: OpenedSession, first: Vec<u8>) -> SessionEnd {
        let mut progress = Progress { sent: 0, acknowledged: 0, last_progress: Instant::now() };
        let mut next_message = Some(first);
        loop {
            if let Some(message) = next_message.take() {
                let batch = self.fill_batch(&mut session, message, &mut progress);
                if let Err(error) = write_all(&session.stream, &batch, self.config.stall_timeout).await {
                    return progress.end(Some(error));
                }
            }
            let deadline = progress.deadline(&self.config);
            match self.next_event(&mut session, deadline).await {
                Event::Message(None) => return progress.end(None),
                Event::Message(Some(message)) => {
                    self.counters.dequeued(&message);
                    if progress.unacknowledged() == 0 {
                        progress.last_progress = Instant::now();
                    }
                    next_message = Some(message);
                }
                Event::Acknowledged(Ok(sequence)) => {
                    if let Err(reason) = progress.acknowledge(sequence) {
                        return progress.end(Some(reason.into()));
                    }
                }
                Event::Acknowledged(Err(error)) => return progress.end(Some(error)),
                // Idle for long, or nothing acknowledged: the other side, or the path, is silent.
                Event::Deadline => {
                    let stalled = progress.unacknowledged() > 0;
                    return progress.end(stalled.then_some(ConnectionError::Lost));
                }
            }
        }
    }

    /// Frames of a message and of those queued behind it.
    fn fill_batch(&self, session: &mut OpenedSession, first: Vec<u8>, progress: &mut Progress) -> Vec<u8> {
        let mut batch = vec![];
        let mut next = Some(first);
        while let Some(message) = next.take() {
            progress.sent = session.messages.write(&message, &mut batch);
            self.counters.messages_sent.fetch_add(1, Ordering::Relaxed);
            if batch.len() < BATCH_BYTES {
                next = self.messages.try_recv().ok();
            }
            if let Some(message) = &next {
                self.counters.dequeued(message);
            }
        }
        batch
    }

    async fn next_event(&self, session: &mut OpenedSession, deadline: Instant) -> Event {
        let message = async { Event::Message(self.messages.recv().await.ok()) };
        let (stream, reader, buf) = (&session.stream, &mut session.acknowledgements, &mut session.buf);
        let acknowledgement = async {
            let frame = read_frame(stream, reader, buf).await;
            Event::Acknowledged(frame.and_then(|frame| {
                let bytes: [u8; 8] = frame.body.try_into().map_err(|_| RejectReason::Malformed)?;
                Ok(u64::from_be_bytes(bytes))
            }))
        };
        let timeout = async {
            Timer::at(deadline).await;
            Event::Deadline
        };
        future::or(acknowledgement, future::or(message, timeout)).await
    }
}

enum Event {
    /// None: the queue was dropped.
    Message(Option<Vec<u8>>),
    Acknowledged(Result<u64, ConnectionError>),
    Deadline,
}

/// Sequence numbers sent and acknowledged on one connection.
struct Progress {
    sent: u64,
    acknowledged: u64,
    last_progress: Instant,
}

impl Progress {
    fn unacknowledged(&self) -> u64 {
        self.sent - self.acknowledged
    }

    fn deadline(&self, config: &Config) -> Instant {
        self.last_progress + if self.unacknowledged() > 0 { config.stall_timeout } else { IDLE_TIMEOUT }
    }

    fn acknowledge(&mut self, sequence: u64) -> Result<(), RejectReason> {
        if !(self.acknowledged..=self.sent).contains(&sequence) {
            return Err(RejectReason::Malformed);
        }
        self.acknowledged = sequence;
        self.last_progress = Instant::now();
        Ok(())
    }

    fn end(&self, error: Option<ConnectionError>) -> SessionEnd {
        SessionEnd { error, unacknowledged: self.unacknowledged() }
    }
}
