//! The committing thread: takes what waits, as one group, and answers once it is durable.

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

/// With nothing to do for so long, the claim of what is durable is made durable itself.
const IDLE: Duration = Duration::from_millis(50);
/// After a snapshot that failed, so much of the log must be written before the next try: a share of the usual.
const AGAIN: u64 = 4;

/// What a connection asks.
pub enum Ask {
    /// An epoch.
    Open {
        /// The process.
        incarnation: Nonce,
        /// Where to tell it; room for one.
        told: Sender<Result<u64, RejectReason>>,
    },
    /// An add.
    Add {
        /// The connection's epoch.
        epoch: u64,
        /// Its sequence.
        seq: u64,
        /// Sub-units.
        amount: i64,
        /// Life of a new name, milliseconds.
        ttl_ms: u32,
        /// The name.
        name: Vec<u8>,
    },
    /// A read.
    Read {
        /// Told back.
        id: u64,
        /// The name.
        name: Vec<u8>,
    },
}

/// Something that waits.
pub struct Item {
    /// Whose.
    pub gateway: u16,
    /// Where answers go.
    pub out: Sender<Frame>,
    /// What.
    pub ask: Ask,
}

#[derive(Default)]
struct Seen {
    commits: u64,
    batch: Option<Histogram<u64>>,
    commit: Option<Histogram<u64>>,
    delay: Option<Histogram<u64>>,
    adds: u64,
    repeats: u64,
    refused: BTreeMap<&'static str, u64>,
    snapshots: (u64, u64),
    index: u64,
    names: usize,
    failed: Option<String>,
}

/// What connections and the committing thread share. Locks are held for a look, never over a wait.
pub struct Shared {
    /// Bounds.
    pub limits: CounterLimits,
    /// Keys by gateway.
    pub keys: BTreeMap<u16, Vec<Key>>,
    /// Who holds which identity.
    pub incarnations: Mutex<BTreeMap<u16, IdentityLease>>,
    /// Closed once nothing waits and nothing more is let in.
    pub finished: Receiver<()>,
    queue: Mutex<(AdmissionQueue<Item>, bool)>,
    bell: Condvar,
    seen: Mutex<Seen>,
    base: Micros,
    start: Instant,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

fn record(place: &mut Option<Histogram<u64>>, value: u64) {
    if place.is_none() {
        *place = Histogram::new_with_bounds(1, 600_000_000, 2).ok();
    }
    if let Some(histogram) = place {
        histogram.saturating_record(value.max(1));
    }
}

impl Shared {
    /// For these bounds and keys; time goes on from `least` (milliseconds since 1970) at least.
    pub fn new(
        limits: CounterLimits,
        keys: BTreeMap<u16, Vec<Key>>,
        least: u64,
        finished: Receiver<()>,
    ) -> Shared {
        let wall = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        // From the last record's time on where the system's clock has stepped back, and monotonic from there:
        // lives of names neither jump nor stand still.
        let base = (wall.as_micros() as Micros).max(least * 1_000);
        let config = AdmissionConfig {
            max_waiting: limits.queue,
            max_waiting_per_gateway: limits.each,
            target_delay: limits.target_ms * 1_000,
        };
        Shared {
            queue: Mutex::new((AdmissionQueue::new(config), false)),
            limits,
            keys,
            incarnations: Mutex::default(),
            finished,
            bell: Condvar::new(),
            seen: Mutex::default(),
            base,
            start: Instant::now(),
        }
    }

    /// Microseconds since 1970, never backwards.
    pub fn now(&self) -> Micros {
        self.base + self.start.elapsed().as_micros() as Micros
    }

    /// Milliseconds since 1970, never backwards.
    pub fn clock_ms(&self) -> u64 {
        self.now() / 1_000
    }

    /// How long the queue is at present, microseconds.
    pub fn delay(&self) -> u32 {
        u32::try_from(lock(&self.queue).0.last_delay()).unwrap_or(u32::MAX)
    }

    /// Puts something in its gateway's line.
    ///
    /// # Errors
    /// There is no room, or the service closes.
    pub fn offer(&self, gateway: u16, until: Micros, item: Item) -> Result<(), RejectReason> {
        let now = self.now();
        let mut queue = lock(&self.queue);
        if queue.1 {
            return Err(RejectReason::ShuttingDown);
        }
        let idle = queue.0.is_empty();
        let taken = queue.0.offer(now, gateway, until, item).map_err(|_| RejectReason::ResourceExhausted);
        drop(queue);
        if idle {
            self.bell.notify_one();
        }
        taken
    }

    /// Notes a refusal.
    pub fn count_refusal(&self, reason: RejectReason) {
        metrics::counter!("frostgauge_counter_refused", "why" => reason.label()).increment(1);
        *lock(&self.seen).refused.entry(reason.label()).or_default() += 1;
    }

    /// No more is let in; the committing thread ends when what waits is done.
    pub fn close(&self) {
        lock(&self.queue).1 = true;
        self.bell.notify_one();
    }

    /// Why the service stopped, if it did.
    pub fn failed(&self) -> Option<String> {
        lock(&self.seen).failed.clone()
    }

    /// How it stands.
    pub fn status(&self) -> Value {
        let (waiting, bound, delay) = {
            let queue = lock(&self.queue);
            (queue.0.len(), queue.0.current_limit(), queue.0.last_delay())
        };
        let gateways: Vec<u16> = lock(&self.incarnations).keys().copied().collect();
        let seen = lock(&self.seen);
        let row = |h: &Option<Histogram<u64>>| {
            let at = |q| h.as_ref().map_or(0, |h| h.value_at_quantile(q));
            json!({ "p50": at(0.5), "p99": at(0.99), "max": h.as_ref().map_or(0, Histogram::max) })
        };
        json!({
            "pid": std::process::id(),
            "index": seen.index,
            "names": seen.names,
            "gateways": gateways,
            "queue": { "waiting": waiting, "bound": bound, "delay_us": delay, "delays_us": row(&seen.delay) },
            "commits": seen.commits,
            "commit_us": row(&seen.commit),
            "batch": row(&seen.batch),
            "adds": seen.adds,
            "repeats": seen.repeats,
            "refused": seen.refused,
            "snapshots": { "taken": seen.snapshots.0, "failed": seen.snapshots.1 },
            "failed": seen.failed,
        })
    }

    /// Publishes what [`Shared::status`] tells.
    pub fn publish(&self) {
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

/// The committing thread's work, until the queue is closed and empty, or it must stop. `folder`: where
/// snapshots are written, in a thread of their own; none: they are not.
pub fn run<S: Storage>(
    shared: &Arc<Shared>,
    mut wal: WriteAheadLog<S>,
    folder: Option<PathBuf>,
    finished: Sender<()>,
) {
    let ended = work(shared, &mut wal, folder, finished);
    if let Err(FatalError(reason)) = ended {
        tracing::error!(reason, "the service stops: what it has told is durable, what waits is not answered");
        lock(&shared.seen).failed = Some(reason);
        shared.close();
    }
}

fn work<S: Storage>(
    shared: &Arc<Shared>,
    wal: &mut WriteAheadLog<S>,
    folder: Option<PathBuf>,
    finished: Sender<()>,
) -> Result<(), FatalError> {
    let limits = shared.limits.clone();
    let (mut taken, mut late) = (vec![], vec![]);
    let (completed, written) = async_channel::bounded::<Result<u64, String>>(1);
    let (mut due, mut writing) = (limits.snapshot_bytes, false);
    loop {
        let delay = {
            let mut queue = lock(&shared.queue);
            if queue.0.is_empty() && !queue.1 {
                queue = shared.bell.wait_timeout(queue, IDLE).map_or_else(|e| e.into_inner().0, |(q, _)| q);
            }
            queue.0.take(shared.now(), limits.batch, &mut taken, &mut late);
            if taken.is_empty() && late.is_empty() && queue.1 {
                break;
            }
            queue.0.last_delay()
        };
        for item in late.drain(..) {
            shared.count_refusal(RejectReason::DeadlineExceeded);
            if let Ask::Add { seq, .. } = item.ask {
                let _ = item.out.try_send(Frame::Rejected {
                    id: seq,
                    reason: RejectReason::DeadlineExceeded,
                    queue_delay_us: delay as u32,
                });
            }
        }
        if taken.is_empty() {
            wal.sync_watermark()?;
        } else {
            batch(shared, wal, &mut taken, delay)?;
        }
        if let Ok(ended) = written.try_recv() {
            writing = false;
            match ended {
                Ok(index) => {
                    lock(&shared.seen).snapshots.0 += 1;
                    if let Err(error) = wal.prune(index) {
                        tracing::warn!(%error, "files behind the snapshot could not be removed");
                    }
                }
                Err(reason) => {
                    lock(&shared.seen).snapshots.1 += 1;
                    tracing::error!(reason, "no snapshot; the log goes on growing until one succeeds");
                    due = wal.bytes_written() + limits.snapshot_bytes / AGAIN;
                }
            }
        }
        if let Some(folder) = folder.as_ref().filter(|_| wal.bytes_written() >= due && !writing) {
            writing = true;
            due = wal.bytes_written() + limits.snapshot_bytes;
            let (snapshot, folder, completed) = (wal.begin_snapshot(), folder.clone(), completed.clone());
            let work = move || {
                let ended = write_snapshot(&mut Disk::open_read_only(&folder), &snapshot);
                let _ = completed.try_send(ended.map(|()| snapshot.index).map_err(|e| e.to_string()));
            };
            if std::thread::Builder::new().name("snapshot".into()).spawn(work).is_err() {
                writing = false;
            }
        }
    }
    drop(finished);
    // One at work now would write beside the last one.
    if writing {
        let _ = written.recv_blocking();
    }
    wal.sync_watermark()?;
    if folder.is_some() {
        if let Err(error) = wal.snapshot() {
            tracing::warn!(%error, "no last snapshot; the next start replays the log");
        }
    }
    Ok(())
}

/// Commits what was taken, and answers it.
fn batch<S: Storage>(
    shared: &Shared,
    wal: &mut WriteAheadLog<S>,
    taken: &mut Vec<Item>,
    delay: Micros,
) -> Result<(), FatalError> {
    let began = Instant::now();
    let operations = taken.iter().filter_map(|item| match &item.ask {
        Ask::Open { incarnation, .. } => {
            Some(Operation::Open { gateway: item.gateway, incarnation: *incarnation })
        }
        Ask::Add { epoch, seq, amount, ttl_ms, name } => Some(Operation::Add {
            gateway: item.gateway,
            epoch: *epoch,
            seq: *seq,
            amount: *amount,
            ttl_ms: *ttl_ms,
            name: name.clone(),
        }),
        Ask::Read { .. } => None,
    });
    let time_ms = shared.clock_ms();
    let mut outcomes = wal.commit(time_ms, operations.collect())?.into_iter();
    let elapsed = began.elapsed().as_micros() as u64;
    let queue_delay_us = u32::try_from(delay).unwrap_or(u32::MAX);
    let (mut adds, mut repeats, n) = (0, 0, taken.len() as u64);
    for item in taken.drain(..) {
        let (id, open) = match item.ask {
            Ask::Read { id, name } => {
                let total = wal.machine().read(time_ms, &name);
                let _ = item.out.try_send(Frame::Total { id, total, queue_delay_us });
                continue;
            }
            Ask::Add { seq, .. } => (seq, None),
            Ask::Open { told, .. } => (0, Some(told)),
        };
        let Some(outcomes) = outcomes.next() else { continue };
        if let Some(told) = open {
            let _ = told.try_send(match outcomes {
                CommitOutcome::Applied(epoch) | CommitOutcome::Duplicate(epoch) => Ok(epoch as u64),
                CommitOutcome::Rejected(reason) => Err(reason),
            });
            continue;
        }
        adds += u64::from(matches!(outcomes, CommitOutcome::Applied(_)));
        repeats += u64::from(matches!(outcomes, CommitOutcome::Duplicate(_)));
        let frame = match outcomes {
            CommitOutcome::Applied(total) | CommitOutcome::Duplicate(total) => {
                Frame::Total { id, total, queue_delay_us }
            }
            CommitOutcome::Rejected(reason) => {
                shared.count_refusal(reason);
                Frame::Rejected { id, reason, queue_delay_us }
            }
        };
        // A connection that does not take its answers is closed; its gateway repeats on another.
        if item.out.try_send(frame).is_err() {
            item.out.close();
        }
    }
    let mut seen = lock(&shared.seen);
    (seen.adds, seen.repeats, seen.commits) = (seen.adds + adds, seen.repeats + repeats, seen.commits + 1);
    (seen.index, seen.names) = (wal.machine().index(), wal.machine().len());
    record(&mut seen.batch, n);
    record(&mut seen.commit, elapsed);
    record(&mut seen.delay, delay);
    Ok(())
}
