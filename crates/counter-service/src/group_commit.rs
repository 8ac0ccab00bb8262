//! Group commit: one thread takes queued requests in batches, commits each batch with one sync of the write-ahead log,
//! and replies once it is durable.

use crate::identity_lease::IdentityLease;
use crate::write_ahead_log::{write_snapshot, CommitOutcome, FatalError, WriteAheadLog};
use async_channel::{Receiver, Sender};
use frostgauge_counter_core::{AdmissionConfig, AdmissionQueue, Micros, Operation};
use frostgauge_proto::counter::{Frame, Key, Nonce, RejectReason};
use frostgauge_settings::CounterLimits;
use frostgauge_storage::{Disk, Storage};
use hdrhistogram::Histogram;
use serde_json::{json, Value};
use std::collections::BTreeMap;
use std::path::PathBuf;
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// When no request has come for this long, the watermark file is synced.
const IDLE_TIMEOUT: Duration = Duration::from_millis(50);
/// After a failed snapshot the next attempt follows once `snapshot_bytes` divided by this were written to the log.
const SNAPSHOT_RETRY_DIVISOR: u64 = 4;

/// What a connection requests.
pub enum RequestKind {
    /// The epoch of a session for the gateway.
    Open {
        /// Identifies the gateway's process.
        incarnation: Nonce,
        /// Receives the epoch, or why there is none; has a capacity of one.
        reply: Sender<Result<u64, RejectReason>>,
    },
    /// An add to a counter.
    Add {
        /// The epoch of the gateway session.
        epoch: u64,
        /// The sequence of the add within the session.
        seq: u64,
        /// Amount in sub-units.
        amount: i64,
        /// Time to live of the counter if the add creates it, milliseconds.
        ttl_ms: u32,
        /// The counter's name.
        name: Vec<u8>,
    },
    /// A read of a counter's total.
    Read {
        /// Chosen by the gateway, and returned in the reply.
        id: u64,
        /// The counter's name.
        name: Vec<u8>,
    },
}

/// A request in the admission queue.
pub struct QueuedRequest {
    /// The gateway that sent it.
    pub gateway: u16,
    /// Frames to send on the connection that it came from.
    pub replies: Sender<Frame>,
    /// What is requested.
    pub kind: RequestKind,
}

/// Statistics for the status page and the metrics.
#[derive(Default)]
struct Stats {
    commits: u64,
    /// Requests per batch.
    batch_sizes: Option<Histogram<u64>>,
    /// Durations of commits, microseconds.
    commit_us: Option<Histogram<u64>>,
    /// Queue delays, microseconds.
    delay_us: Option<Histogram<u64>>,
    /// Adds applied.
    adds: u64,
    /// Adds that an earlier attempt had already applied.
    duplicates: u64,
    /// Rejected requests by the label of the reason.
    rejections: BTreeMap<&'static str, u64>,
    /// Snapshots written, and snapshots that failed.
    snapshots: (u64, u64),
    /// Index of the last record.
    index: u64,
    /// Number of counters.
    counters: usize,
    /// Why the service stopped, if it did.
    failure: Option<String>,
}

/// State shared by the connections and the committing thread. No lock is held while waiting for I/O.
pub struct Shared {
    /// The limits from the settings.
    pub limits: CounterLimits,
    /// The keys accepted from each gateway.
    pub keys: BTreeMap<u16, Vec<Key>>,
    /// The process that holds each gateway's number.
    pub identity_leases: Mutex<BTreeMap<u16, IdentityLease>>,
    /// Closed once the queue is closed and every request in it has got its reply, or the committing thread has failed.
    pub drained: Receiver<()>,
    /// The queue, and whether it is closed to new requests.
    queue: Mutex<(AdmissionQueue<QueuedRequest>, bool)>,
    /// Notified when the empty queue gets a request, or the queue is closed.
    queue_changed: Condvar,
    stats: Mutex<Stats>,
    /// The service's clock at `started_at`, microseconds since 1970.
    base: Micros,
    started_at: Instant,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Records a value between 1 and 600,000,000 (10 minutes, in microseconds); other values are clamped. Creates the
/// histogram on first use.
fn record(slot: &mut Option<Histogram<u64>>, value: u64) {
    if slot.is_none() {
        *slot = Histogram::new_with_bounds(1, 600_000_000, 2).ok();
    }
    if let Some(histogram) = slot {
        histogram.saturating_record(value.max(1));
    }
}

impl Shared {
    /// Creates the shared state, with an open and empty queue. The service's clock starts at the system time, but not
    /// before `min_time_ms` (milliseconds since 1970).
    pub fn new(
        limits: CounterLimits,
        keys: BTreeMap<u16, Vec<Key>>,
        min_time_ms: u64,
        drained: Receiver<()>,
    ) -> Shared {
        let system_time = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        // If the system clock was set back, the service's clock continues from the time of the last record. It is
        // monotonic from there, so that the time to live of counters neither jumps nor stops running.
        let base = (system_time.as_micros() as Micros).max(min_time_ms * 1_000);
        let config = AdmissionConfig {
            max_waiting: limits.queue,
            max_waiting_per_gateway: limits.each,
            target_delay: limits.target_ms * 1_000,
        };
        Shared {
            queue: Mutex::new((AdmissionQueue::new(config), false)),
            limits,
            keys,
            identity_leases: Mutex::default(),
            drained,
            queue_changed: Condvar::new(),
            stats: Mutex::default(),
            base,
            started_at: Instant::now(),
        }
    }

    /// The service's clock, which never runs backwards: microseconds since 1970.
    pub fn now(&self) -> Micros {
        self.base + self.started_at.elapsed().as_micros() as Micros
    }

    /// The service's clock, which never runs backwards: milliseconds since 1970.
    pub fn now_ms(&self) -> u64 {
        self.now() / 1_000
    }

    /// How long the last request taken out of the queue had waited in it, microseconds.
    pub fn queue_delay_us(&self) -> u32 {
        u32::try_from(lock(&self.queue).0.last_delay()).unwrap_or(u32::MAX)
    }

    /// Puts a request in the queue. It is rejected if the committing thread does not take it before `deadline`
    /// (microseconds since 1970).
    ///
    /// # Errors
    /// [`RejectReason::ResourceExhausted`] if the queue does not admit it, [`RejectReason::ShuttingDown`] if the queue
    /// is closed.
    pub fn enqueue(
        &self,
        gateway: u16,
        deadline: Micros,
        request: QueuedRequest,
    ) -> Result<(), RejectReason> {
        let now = self.now();
        let mut queue = lock(&self.queue);
        if queue.1 {
            return Err(RejectReason::ShuttingDown);
        }
        let was_empty = queue.0.is_empty();
        let admitted =
            queue.0.offer(now, gateway, deadline, request).map_err(|_| RejectReason::ResourceExhausted);
        drop(queue);
        if was_empty {
            self.queue_changed.notify_one();
        }
        admitted
    }

    /// Counts a rejected request in the metrics and on the status page.
    pub fn count_rejection(&self, reason: RejectReason) {
        metrics::counter!("frostgauge_counter_refused", "why" => reason.label()).increment(1);
        *lock(&self.stats).rejections.entry(reason.label()).or_default() += 1;
    }

    /// Closes the queue to new requests; the committing thread ends once those in the queue are done.
    pub fn close(&self) {
        lock(&self.queue).1 = true;
        self.queue_changed.notify_one();
    }

    /// Why the committing thread stopped, if it failed.
    pub fn failure(&self) -> Option<String> {
        lock(&self.stats).failure.clone()
    }

    /// Contents of the status page.
    pub fn status(&self) -> Value {
        let (waiting, bound, delay) = {
            let queue = lock(&self.queue);
            (queue.0.len(), queue.0.current_limit(), queue.0.last_delay())
        };
        let gateways: Vec<u16> = lock(&self.identity_leases).keys().copied().collect();
        let stats = lock(&self.stats);
        let summary = |h: &Option<Histogram<u64>>| {
            let quantile = |q| h.as_ref().map_or(0, |h| h.value_at_quantile(q));
            json!({ "p50": quantile(0.5), "p99": quantile(0.99), "max": h.as_ref().map_or(0, Histogram::max) })
        };
        json!({
            "pid": std::process::id(),
            "index": stats.index,
            "names": stats.counters,
            "gateways": gateways,
            "queue": { "waiting": waiting, "bound": bound, "delay_us": delay, "delays_us": summary(&stats.delay_us) },
            "commits": stats.commits,
            "commit_us": summary(&stats.commit_us),
            "batch": summary(&stats.batch_sizes),
            "adds": stats.adds,
            "repeats": stats.duplicates,
            "refused": stats.rejections,
            "snapshots": { "taken": stats.snapshots.0, "failed": stats.snapshots.1 },
            "failed": stats.failure,
        })
    }

    /// Sets the gauges of the metrics page from [`Shared::status`].
    pub fn publish_metrics(&self) {
        let status = self.status();
        for (name, path) in [
            ("waiting", "/queue/waiting"),
            ("bound", "/queue/bound"),
            ("delay_us", "/queue/delay_us"),
            ("commit_us_p99", "/commit_us/p99"),
            ("batch_p50", "/batch/p50"),
            ("commits", "/commits"),
            ("adds", "/adds"),
            ("repeats", "/repeats"),
            ("index", "/index"),
            ("names", "/names"),
        ] {
            let value = status.pointer(path).and_then(Value::as_f64).unwrap_or(f64::NAN);
            metrics::gauge!("frostgauge_counter", "what" => name).set(value);
        }
    }
}

/// Runs the committing thread until the queue is closed and empty, or a commit fails. Snapshots are written to
/// `folder`, each in a thread of its own; without a folder there are no snapshots. `drained` is dropped at the end of
/// the last commit.
pub fn run<S: Storage>(
    shared: &Arc<Shared>,
    mut wal: WriteAheadLog<S>,
    folder: Option<PathBuf>,
    drained: Sender<()>,
) {
    let result = commit_until_closed(shared, &mut wal, folder, drained);
    if let Err(FatalError(reason)) = result {
        tracing::error!(
            reason,
            "fatal error; the service stops. Acknowledged requests are durable, queued requests get no reply"
        );
        lock(&shared.stats).failure = Some(reason);
        shared.close();
    }
}

fn commit_until_closed<S: Storage>(
    shared: &Arc<Shared>,
    wal: &mut WriteAheadLog<S>,
    folder: Option<PathBuf>,
    drained: Sender<()>,
) -> Result<(), FatalError> {
    let limits = shared.limits.clone();
    let (mut batch, mut expired) = (vec![], vec![]);
    let (snapshot_done, snapshot_results) = async_channel::bounded::<Result<u64, String>>(1);
    let (mut next_snapshot_at_bytes, mut snapshot_in_progress) = (limits.snapshot_bytes, false);
    loop {
        let delay = {
            let mut queue = lock(&shared.queue);
            if queue.0.is_empty() && !queue.1 {
                queue = shared
                    .queue_changed
                    .wait_timeout(queue, IDLE_TIMEOUT)
                    .map_or_else(|e| e.into_inner().0, |(q, _)| q);
            }
            queue.0.take(shared.now(), limits.batch, &mut batch, &mut expired);
            if batch.is_empty() && expired.is_empty() && queue.1 {
                break;
            }
            queue.0.last_delay()
        };
        for request in expired.drain(..) {
            shared.count_rejection(RejectReason::DeadlineExceeded);
            if let RequestKind::Add { seq, .. } = request.kind {
                let _ = request.replies.try_send(Frame::Rejected {
                    id: seq,
                    reason: RejectReason::DeadlineExceeded,
                    queue_delay_us: delay as u32,
                });
            }
        }
        if batch.is_empty() {
            wal.sync_watermark()?;
        } else {
            commit_batch(shared, wal, &mut batch, delay)?;
        }
        if let Ok(result) = snapshot_results.try_recv() {
            snapshot_in_progress = false;
            match result {
                Ok(index) => {
                    lock(&shared.stats).snapshots.0 += 1;
                    if let Err(error) = wal.prune(index) {
                        tracing::warn!(%error, "cannot remove an old snapshot or log segment; the next start removes it");
                    }
                }
                Err(reason) => {
                    lock(&shared.stats).snapshots.1 += 1;
                    tracing::error!(reason, "snapshot failed; the log keeps growing until one succeeds");
                    next_snapshot_at_bytes =
                        wal.bytes_written() + limits.snapshot_bytes / SNAPSHOT_RETRY_DIVISOR;
                }
            }
        }
        let snapshot_due = wal.bytes_written() >= next_snapshot_at_bytes && !snapshot_in_progress;
        if let Some(folder) = folder.as_ref().filter(|_| snapshot_due) {
            snapshot_in_progress = true;
            next_snapshot_at_bytes = wal.bytes_written() + limits.snapshot_bytes;
            let (snapshot, folder, snapshot_done) =
                (wal.begin_snapshot(), folder.clone(), snapshot_done.clone());
            let write = move || {
                let result = write_snapshot(&mut Disk::open_read_only(&folder), &snapshot);
                let _ = snapshot_done.try_send(result.map(|()| snapshot.index).map_err(|e| e.to_string()));
            };
            if std::thread::Builder::new().name("snapshot".into()).spawn(write).is_err() {
                snapshot_in_progress = false;
            }
        }
    }
    drop(drained);
    // Two snapshots must not be written at the same time: waits for the one in progress before taking the last.
    if snapshot_in_progress {
        let _ = snapshot_results.recv_blocking();
    }
    wal.sync_watermark()?;
    if folder.is_some() {
        if let Err(error) = wal.snapshot() {
            tracing::warn!(%error, "cannot take the snapshot at shutdown; the next start replays more of the log");
        }
    }
    Ok(())
}

/// Commits the requests of a batch and replies to each. `delay` is the present queue delay, microseconds.
fn commit_batch<S: Storage>(
    shared: &Shared,
    wal: &mut WriteAheadLog<S>,
    batch: &mut Vec<QueuedRequest>,
    delay: Micros,
) -> Result<(), FatalError> {
    let started_at = Instant::now();
    let operations = batch.iter().filter_map(|request| match &request.kind {
        RequestKind::Open { incarnation, .. } => {
            Some(Operation::Open { gateway: request.gateway, incarnation: *incarnation })
        }
        RequestKind::Add { epoch, seq, amount, ttl_ms, name } => Some(Operation::Add {
            gateway: request.gateway,
            epoch: *epoch,
            seq: *seq,
            amount: *amount,
            ttl_ms: *ttl_ms,
            name: name.clone(),
        }),
        RequestKind::Read { .. } => None,
    });
    let time_ms = shared.now_ms();
    let mut outcomes = wal.commit(time_ms, operations.collect())?.into_iter();
    let commit_us = started_at.elapsed().as_micros() as u64;
    let queue_delay_us = u32::try_from(delay).unwrap_or(u32::MAX);
    let (mut adds, mut duplicates, batch_size) = (0, 0, batch.len() as u64);
    for request in batch.drain(..) {
        let (id, open_reply) = match request.kind {
            RequestKind::Read { id, name } => {
                let total = wal.machine().read(time_ms, &name);
                let _ = request.replies.try_send(Frame::Total { id, total, queue_delay_us });
                continue;
            }
            RequestKind::Add { seq, .. } => (seq, None),
            RequestKind::Open { reply, .. } => (0, Some(reply)),
        };
        let Some(outcome) = outcomes.next() else { continue };
        if let Some(reply) = open_reply {
            let _ = reply.try_send(match outcome {
                CommitOutcome::Applied(epoch) | CommitOutcome::Duplicate(epoch) => Ok(epoch as u64),
                CommitOutcome::Rejected(reason) => Err(reason),
            });
            continue;
        }
        adds += u64::from(matches!(outcome, CommitOutcome::Applied(_)));
        duplicates += u64::from(matches!(outcome, CommitOutcome::Duplicate(_)));
        let frame = match outcome {
            CommitOutcome::Applied(total) | CommitOutcome::Duplicate(total) => {
                Frame::Total { id, total, queue_delay_us }
            }
            CommitOutcome::Rejected(reason) => {
                shared.count_rejection(reason);
                Frame::Rejected { id, reason, queue_delay_us }
            }
        };
        // If the gateway does not read its replies and the buffer is full, its connection is closed. The gateway
        // retries on a new one.
        if request.replies.try_send(frame).is_err() {
            request.replies.close();
        }
    }
    let mut stats = lock(&shared.stats);
    (stats.adds, stats.duplicates, stats.commits) =
        (stats.adds + adds, stats.duplicates + duplicates, stats.commits + 1);
    (stats.index, stats.counters) = (wal.machine().index(), wal.machine().len());
    record(&mut stats.batch_sizes, batch_size);
    record(&mut stats.commit_us, commit_us);
    record(&mut stats.delay_us, delay);
    Ok(())
}
