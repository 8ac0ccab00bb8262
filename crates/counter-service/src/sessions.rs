//! Gateway sessions: authenticates connections, claims the lease of the gateway's number, puts requests in the queue of
//! the committing thread, and writes the replies.

use crate::group_commit::{QueuedRequest, RequestKind, Shared};
use crate::identity_lease::IdentityLease;
use async_channel::{Receiver, Sender};
use async_io::{Async, Timer};
use frostgauge_counter_core::DEDUP_WINDOW;
use frostgauge_net::{read_some, until, Closing, Place, Timed};
use frostgauge_proto::counter::{Frame, FrameDecoder, FrameEncoder, Key, Nonce, RejectReason, MAX_TTL_MS};
use futures_lite::{future, AsyncWriteExt};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// While more replies than this wait to be written to a connection, no frames are read from it. So a gateway that sends
/// requests faster than it reads replies slows down only itself.
const MAX_UNWRITTEN_REPLIES: usize = 64;
/// Replies are collected up to this length before they are written, in bytes.
const WRITE_CHUNK_BYTES: usize = 16 << 10;
/// A connection that does not accept a chunk within this time is closed.
const WRITE_TIMEOUT: Duration = Duration::from_secs(5);

/// Serves one connection until it ends. `connection_slot` counts against the limit of connections, and is released then.
pub async fn serve(
    stream: Async<TcpStream>,
    peer: SocketAddr,
    connection_slot: Place,
    shared: Arc<Shared>,
    closing: Closing,
) {
    let _connection_slot = connection_slot;
    let _ = stream.get_ref().set_nodelay(true);
    let limit = Duration::from_millis(shared.limits.frame_ms);
    let handshake = until(Instant::now() + limit, authenticate(&stream, &shared, peer)).await;
    let Timed::Done(Ok(authenticated)) = handshake else {
        return;
    };
    let Authenticated { gateway, incarnation, decoder, encoder, buf } = authenticated;
    // Room for the replies to all of the gateway's requests, in the queue and being committed.
    let (replies, frames) = async_channel::bounded(2 * (shared.limits.each + MAX_UNWRITTEN_REPLIES));
    let (chunk_written, on_chunk_written) = async_channel::bounded(1);
    let writer = write_replies(&stream, frames, encoder, chunk_written);
    let last_frame_ms = Arc::new(AtomicU64::new(shared.now_ms()));
    let reader = async {
        let reason = match claim_identity(&shared, gateway, incarnation, &last_frame_ms, &replies, peer) {
            Ok(()) => {
                read_requests(
                    &stream,
                    &shared,
                    &closing,
                    gateway,
                    incarnation,
                    decoder,
                    buf,
                    &replies,
                    &last_frame_ms,
                    &on_chunk_written,
                )
                .await
            }
            Err(reason) => Some(reason),
        };
        if reason == Some(RejectReason::ShuttingDown) {
            // Requests in the queue get their replies before the Bye frame.
            let _ = shared.drained.recv().await;
        }
        if let Some(reason) = reason {
            metrics::counter!("frostgauge_counter_closed", "why" => reason.label()).increment(1);
            let _ = replies.try_send(Frame::Bye { reason });
        }
        release_identity(&shared, gateway, &last_frame_ms);
        // The writer ends once it has written what is in the channel. Replies to requests that are committed later are
        // dropped.
        replies.close();
        future::pending::<()>().await;
    };
    future::or(writer, reader).await;
    release_identity(&shared, gateway, &last_frame_ms);
}

/// A connection after its handshake.
struct Authenticated {
    gateway: u16,
    incarnation: Nonce,
    /// Decodes and authenticates the gateway's frames.
    decoder: FrameDecoder,
    encoder: FrameEncoder,
    /// Bytes received after the handshake and not decoded yet.
    buf: Vec<u8>,
}

/// Sends a challenge, and checks that the Open frame received is authenticated by a key of the gateway it names.
/// Otherwise sends a Bye frame, without a MAC as there is no common key.
async fn authenticate(
    mut stream: &Async<TcpStream>,
    shared: &Shared,
    peer: SocketAddr,
) -> Result<Authenticated, ()> {
    let challenge: Nonce = rand::random();
    let (mut plain_encoder, mut out, mut buf) = (FrameEncoder::new(None), vec![], vec![]);
    plain_encoder.encode(&Frame::Challenge { nonce: challenge }, &mut out);
    stream.write_all(&out).await.map_err(drop)?;
    let reason = loop {
        // Decodes without checking the MAC, to learn which gateway's keys to check it with.
        match FrameDecoder::new(None).decode(&buf) {
            Ok(Some((Frame::Open { gateway, incarnation, nonce }, n))) => {
                let is_valid =
                    |key: &&Key| FrameDecoder::new(Some(key.open_key(&challenge))).decode(&buf).is_ok();
                let keys = shared.keys.get(&gateway).map_or(&[][..], |k| &k[..]);
                let Some(key) = keys.iter().find(is_valid) else {
                    tracing::warn!(
                        from = %peer,
                        gateway,
                        "connection rejected: its Open frame is not signed with a key of this gateway"
                    );
                    break RejectReason::InvalidMac;
                };
                let decoder = FrameDecoder::new(Some(key.gateway_key(&challenge, &nonce, gateway)));
                let encoder = FrameEncoder::new(Some(key.service_key(&challenge, &nonce, gateway)));
                buf.drain(..n);
                return Ok(Authenticated { gateway, incarnation, decoder, encoder, buf });
            }
            Ok(Some(_)) => break RejectReason::UnknownKind,
            Ok(None) => {}
            Err(reason) => break reason,
        }
        if !matches!(read_some(&mut stream, &mut buf).await, Ok(n) if n > 0) {
            return Err(());
        }
    };
    metrics::counter!("frostgauge_counter_closed", "why" => reason.label()).increment(1);
    let mut out = vec![];
    plain_encoder.encode(&Frame::Bye { reason }, &mut out);
    let _ = stream.write_all(&out).await;
    Err(())
}

/// Takes the lease of a gateway's number for an incarnation. An earlier connection of the same incarnation is closed;
/// so is that of another incarnation whose lease has run out.
///
/// # Errors
/// [`RejectReason::IdentityInUse`] while another incarnation holds the lease.
fn claim_identity(
    shared: &Shared,
    gateway: u16,
    incarnation: Nonce,
    last_frame_ms: &Arc<AtomicU64>,
    replies: &Sender<Frame>,
    peer: SocketAddr,
) -> Result<(), RejectReason> {
    let Ok(mut leases) = shared.identity_leases.lock() else { return Err(RejectReason::ShuttingDown) };
    if let Some(lease) = leases.get(&gateway) {
        let silent_ms = shared.now_ms().saturating_sub(lease.last_frame_ms.load(Ordering::Relaxed));
        // Two processes with the same number would spend the same share twice. The lease of a killed process ends with
        // its connection, that of a process cut off from the network after `lease_ms` without a frame.
        if lease.incarnation != incarnation && silent_ms < shared.limits.lease_ms {
            tracing::error!(
                gateway,
                from = %peer,
                "connection rejected: another process holds the lease of this gateway's number"
            );
            return Err(RejectReason::IdentityInUse);
        }
        lease.replies.close();
    }
    let lease = IdentityLease { incarnation, last_frame_ms: last_frame_ms.clone(), replies: replies.clone() };
    leases.insert(gateway, lease);
    Ok(())
}

/// Ends the lease of a connection, unless another connection has taken it over. `last_frame_ms` identifies the
/// connection.
fn release_identity(shared: &Shared, gateway: u16, last_frame_ms: &Arc<AtomicU64>) {
    if let Ok(mut leases) = shared.identity_leases.lock() {
        if leases.get(&gateway).is_some_and(|lease| Arc::ptr_eq(&lease.last_frame_ms, last_frame_ms)) {
            leases.remove(&gateway);
        }
    }
}

/// Writes frames until the channel is closed and empty, or a write fails or takes too long. Signals each chunk written.
async fn write_replies(
    mut stream: &Async<TcpStream>,
    frames: Receiver<Frame>,
    mut encoder: FrameEncoder,
    chunk_written: Sender<()>,
) {
    let mut bytes = vec![];
    while let Ok(frame) = frames.recv().await {
        encoder.encode(&frame, &mut bytes);
        while bytes.len() < WRITE_CHUNK_BYTES {
            let Ok(frame) = frames.try_recv() else { break };
            encoder.encode(&frame, &mut bytes);
        }
        match until(Instant::now() + WRITE_TIMEOUT, stream.write_all(&bytes)).await {
            Timed::Done(Ok(())) => {
                bytes.clear();
                let _ = chunk_written.try_send(());
            }
            _ => return,
        }
    }
}

/// Opens the gateway session and reads frames until the connection ends or must be closed. Returns the reason to send
/// to the gateway in a Bye frame; `None` if the connection is already gone.
#[allow(clippy::too_many_arguments, reason = "the parts of one connection; there is one caller")]
async fn read_requests(
    mut stream: &Async<TcpStream>,
    shared: &Shared,
    closing: &Closing,
    gateway: u16,
    incarnation: Nonce,
    mut decoder: FrameDecoder,
    mut buf: Vec<u8>,
    replies: &Sender<Frame>,
    last_frame_ms: &Arc<AtomicU64>,
    on_chunk_written: &Receiver<()>,
) -> Option<RejectReason> {
    let limit = Duration::from_millis(shared.limits.frame_ms);
    let (reply, epoch) = async_channel::bounded(1);
    // Opening a session is an operation of the log, like an add, and goes through the same queue.
    let open =
        QueuedRequest { gateway, replies: replies.clone(), kind: RequestKind::Open { incarnation, reply } };
    if shared.enqueue(gateway, u64::MAX, open).is_err() {
        return Some(RejectReason::ResourceExhausted);
    }
    let epoch = match until(Instant::now() + limit, epoch.recv()).await {
        Timed::Done(Ok(Ok(epoch))) => epoch,
        Timed::Done(Ok(Err(reason))) => return Some(reason),
        Timed::Done(Err(_)) => return Some(RejectReason::ShuttingDown),
        Timed::Late => return Some(RejectReason::ResourceExhausted),
    };
    let _ = replies.try_send(Frame::Opened { epoch, window: DEDUP_WINDOW as u32 });
    // When the first bytes of the incomplete frame in `buf` were received.
    let mut frame_started_at: Option<Instant> = None;
    loop {
        let mut decoded = 0;
        loop {
            while replies.len() > MAX_UNWRITTEN_REPLIES && !replies.is_closed() {
                let _ = on_chunk_written.recv().await;
            }
            match decoder.decode(&buf[decoded..]) {
                Ok(Some((frame, n))) => {
                    decoded += n;
                    last_frame_ms.store(shared.now_ms(), Ordering::Relaxed);
                    if let Err(reason) = handle_frame(shared, gateway, epoch, frame, replies) {
                        return Some(reason);
                    }
                }
                Ok(None) => break,
                Err(reason) => {
                    tracing::warn!(
                        gateway,
                        why = reason.label(),
                        "invalid frame received; closing the connection"
                    );
                    return Some(reason);
                }
            }
        }
        buf.drain(..decoded);
        if replies.is_closed() {
            return None;
        }
        frame_started_at =
            (!buf.is_empty()).then(|| frame_started_at.filter(|_| decoded == 0).unwrap_or_else(Instant::now));
        let read = async { matches!(read_some(&mut stream, &mut buf).await, Ok(n) if n > 0).then_some(()) };
        let frame_deadline = wait_until(frame_started_at.map(|at| at + limit));
        let shutdown = async {
            closing.wait().await;
            Err(Some(RejectReason::ShuttingDown))
        };
        // Guards against a peer that sends a part of a frame and occupies a connection without end. Between frames
        // there is no time limit.
        let frame_timeout = async {
            frame_deadline.await;
            Err(Some(RejectReason::Malformed))
        };
        let result = future::or(async { read.await.ok_or(None) }, future::or(frame_timeout, shutdown)).await;
        if let Err(reason) = result {
            return reason;
        }
    }
}

/// Waits until the deadline; without a deadline, never completes.
async fn wait_until(deadline: Option<Instant>) {
    match deadline {
        Some(deadline) => drop(Timer::at(deadline).await),
        None => future::pending().await,
    }
}

/// Answers a ping, or puts a request in the queue. A request that is not admitted gets a Rejected frame.
///
/// # Errors
/// The connection must be closed: the frame is of a kind that gateways do not send, or the channel of replies is full.
fn handle_frame(
    shared: &Shared,
    gateway: u16,
    epoch: u64,
    frame: Frame,
    replies: &Sender<Frame>,
) -> Result<(), RejectReason> {
    let (id, rejection) = match frame {
        Frame::Ping { id } => {
            let _ = replies.try_send(Frame::Pong { id, queue_delay_us: shared.queue_delay_us() });
            return Ok(());
        }
        Frame::Read { id, name } => {
            let kind = RequestKind::Read { id, name };
            let request = QueuedRequest { gateway, replies: replies.clone(), kind };
            (id, shared.enqueue(gateway, u64::MAX, request).err())
        }
        Frame::Add { seq, ttl_ms, .. } if ttl_ms == 0 || ttl_ms > MAX_TTL_MS => {
            (seq, Some(RejectReason::InvalidTtl))
        }
        Frame::Add { seq, amount, ttl_ms, timeout_us, name } => {
            let deadline = shared.now().saturating_add(u64::from(timeout_us));
            let kind = RequestKind::Add { epoch, seq, amount, ttl_ms, name };
            let request = QueuedRequest { gateway, replies: replies.clone(), kind };
            (seq, shared.enqueue(gateway, deadline, request).err())
        }
        _ => return Err(RejectReason::UnknownKind),
    };
    if let Some(reason) = rejection {
        shared.count_rejection(reason);
        let rejected = Frame::Rejected { id, reason, queue_delay_us: shared.queue_delay_us() };
        replies.try_send(rejected).map_err(|_| RejectReason::ResourceExhausted)?;
    }
    Ok(())
}
