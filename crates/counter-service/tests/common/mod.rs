//! A random workload on the write-ahead log with a simulated disk, and a check of the state against what the log
//! acknowledged.
#![allow(dead_code, reason = "each test file uses only some of the items")]

use frostgauge_counter_core::{Operation, StateMachine, DEDUP_WINDOW};
use frostgauge_counter_service::write_ahead_log::{
    write_snapshot, CommitOutcome as Outcome, Config, WriteAheadLog,
};
use frostgauge_proto::counter::RejectReason;
use frostgauge_storage::sim::{FaultPlan, SimDisk};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::BTreeMap;

pub const CONFIG: Config = Config { max_segment_bytes: 700, max_counters: 1_000, keep_old_segments: false };
/// The time of all operations, milliseconds since 1970.
pub const TIME_MS: u64 = 1_800_000_000_000;
const DAY_MS: u32 = 86_400_000;

/// Bugs to inject; the checks must find each of them.
#[derive(Clone, Copy, Debug, Default)]
pub struct InjectedBugs {
    /// Snapshots do not contain which adds of which gateway were counted.
    pub snapshots_without_sessions: bool,
    /// Syncs do nothing, which has the same effect as acknowledging adds before the sync.
    pub ignored_syncs: bool,
}

/// An add that a gateway sends. Gateway, epoch and sequence identify it; retries have the same.
#[derive(Clone, Debug)]
pub struct Add {
    pub gateway: u16,
    pub epoch: u64,
    pub seq: u64,
    pub amount: i64,
    /// The counter's number; its name is a letter.
    pub counter: u8,
}

impl Add {
    pub fn operation(&self) -> Operation {
        let Add { gateway, epoch, seq, amount, counter } = self.clone();
        Operation::Add { gateway, epoch, seq, amount, ttl_ms: DAY_MS, name: vec![b'a' + counter] }
    }
}

/// Three gateways that send adds to the write-ahead log, and remember what it acknowledged.
pub struct Workload {
    rng: ChaCha8Rng,
    pub bugs: InjectedBugs,
    /// The open log; taken out while a test works on its disk.
    pub wal: Option<WriteAheadLog<SimDisk>>,
    /// Each gateway's epoch and newest sequence.
    epochs: [(u64, u64); 3],
    /// Number of incarnations created; the newest one has this number.
    incarnations: u8,
    /// Adds acknowledged, with the total in the first acknowledgement.
    pub acked: Vec<(Add, i64)>,
    /// Adds sent that are neither acknowledged nor certainly not counted: they are sent again after recovery.
    pub unacked: Vec<Add>,
    /// Gateway and incarnation of a session that was requested and not acknowledged.
    unacked_session: Option<(u16, u8)>,
    /// Adds rejected as the disk was full.
    pub disk_full_rejections: u64,
}

/// `Err` describes what must hold and does not.
pub type CheckResult = Result<(), String>;

impl Workload {
    pub fn new(seed: u64, bugs: InjectedBugs) -> Workload {
        let (wal, _) = WriteAheadLog::open(SimDisk::new(seed), CONFIG).expect("an empty disk opens");
        Workload {
            rng: ChaCha8Rng::seed_from_u64(seed),
            bugs,
            wal: Some(wal),
            epochs: [(0, 0); 3],
            incarnations: 0,
            acked: vec![],
            unacked: vec![],
            unacked_session: None,
            disk_full_rejections: 0,
        }
    }

    pub fn disk(&mut self) -> &mut SimDisk {
        self.wal.as_mut().expect("the log is open").storage_mut()
    }

    /// Closes the log, and returns its disk.
    pub fn take_disk(&mut self) -> SimDisk {
        self.wal.take().expect("the log is open").into_storage()
    }

    /// Sets the faults of the disk.
    pub fn plan(&mut self, plan: FaultPlan) {
        let ignore_syncs = self.bugs.ignored_syncs;
        self.disk().set_fault_plan(FaultPlan { ignore_syncs, ..plan });
    }

    /// Makes one random step: opens a session, takes a snapshot, syncs the watermark, or sends a batch of adds. Returns
    /// false if the log has failed and must not be used any more.
    pub fn step(&mut self) -> Result<bool, String> {
        let roll = self.rng.random_range(0..100);
        let without_session = (0..3).find(|g| self.epochs[usize::from(*g)].0 == 0);
        let reopened = (roll < 4 && self.unacked.is_empty()).then_some(roll as u16 % 3);
        if let Some(gateway) = without_session.or(reopened) {
            return self.open_session(gateway);
        }
        if roll < 16 {
            return Ok(self.snapshot());
        }
        if roll < 22 {
            return Ok(self.wal.as_mut().is_some_and(|wal| wal.sync_watermark().is_ok()));
        }
        let mut batch: Vec<Add> = vec![];
        for _ in 0..self.rng.random_range(1..6) {
            let gateway = self.rng.random_range(0..3u16);
            // A quarter of the adds are retries: of the previous add in this batch, or of the last one acknowledged.
            if self.rng.random_range(0..4) == 0 {
                let last_acked = self.acked.last().map(|(add, _)| add.clone());
                let retry =
                    batch.last().cloned().or(last_acked.filter(|add| add.epoch == self.epoch(add.gateway)));
                batch.extend(retry);
                continue;
            }
            let (epoch, newest_seq) = &mut self.epochs[usize::from(gateway)];
            *newest_seq += 1;
            let amount = self.rng.random_range(-50..100);
            let counter = self.rng.random_range(0..4);
            batch.push(Add { gateway, epoch: *epoch, seq: *newest_seq, amount, counter });
        }
        self.send(batch)
    }

    pub fn epoch(&self, gateway: u16) -> u64 {
        self.epochs[usize::from(gateway)].0
    }

    /// Opens a session of a new incarnation, or requests one again that was not acknowledged. Returns false if the log
    /// has failed.
    fn open_session(&mut self, gateway: u16) -> Result<bool, String> {
        let incarnation = match self.unacked_session {
            Some((g, incarnation)) if g == gateway => incarnation,
            _ => {
                self.incarnations += 1;
                self.incarnations
            }
        };
        self.unacked_session = Some((gateway, incarnation));
        let Some(wal) = &mut self.wal else { return Ok(false) };
        match wal.commit(TIME_MS, vec![Operation::Open { gateway, incarnation: [incarnation; 16] }]) {
            Ok(outcomes) => match outcomes[0] {
                Outcome::Applied(epoch) | Outcome::Duplicate(epoch) => {
                    let epoch = epoch as u64;
                    if epoch <= self.epoch(gateway) {
                        return Err(format!(
                            "gateway {gateway}: the new session has epoch {epoch}, which is not past the previous one"
                        ));
                    }
                    self.epochs[usize::from(gateway)] = (epoch, 0);
                    self.unacked_session = None;
                    Ok(true)
                }
                Outcome::Rejected(RejectReason::DiskFull) => {
                    self.unacked_session = None;
                    Ok(true)
                }
                Outcome::Rejected(reason) => {
                    Err(format!("gateway {gateway}: session rejected with {reason:?}"))
                }
            },
            Err(_) => Ok(false),
        }
    }

    /// Takes a snapshot. Returns false if the disk has lost power.
    fn snapshot(&mut self) -> bool {
        let Some(wal) = &mut self.wal else { return false };
        let mut snapshot = wal.begin_snapshot();
        if snapshot.index == 0 {
            return true;
        }
        if self.bugs.snapshots_without_sessions {
            snapshot.bytes = StateMachine::restore(&snapshot.bytes)
                .expect("a snapshot just encoded can be restored")
                .without_deduplication()
                .snapshot();
        }
        if write_snapshot(wal.storage_mut(), &snapshot).is_ok() {
            let _ = wal.prune(snapshot.index);
        }
        !wal.storage().has_crashed()
    }

    /// Sends a batch and records the outcomes. Returns false if the log has failed.
    pub fn send(&mut self, batch: Vec<Add>) -> Result<bool, String> {
        let Some(wal) = &mut self.wal else { return Ok(false) };
        let outcomes = wal.commit(TIME_MS, batch.iter().map(Add::operation).collect());
        let succeeded = outcomes.is_ok();
        for (k, add) in batch.into_iter().enumerate() {
            match outcomes.as_ref().ok().map(|outcomes| outcomes[k]) {
                Some(Outcome::Applied(total)) => {
                    if self.acked.iter().any(|(acked, _)| is_same_add(acked, &add)) {
                        return Err(format!("{add:?} was counted twice"));
                    }
                    self.unacked.retain(|unacked| !is_same_add(unacked, &add));
                    self.acked.push((add, total));
                }
                Some(Outcome::Duplicate(total)) => {
                    match self.acked.iter().find(|(acked, _)| is_same_add(acked, &add)) {
                        Some((_, first)) if *first != total => {
                            return Err(format!(
                                "{add:?}: total {first} when first sent, {total} on a retry"
                            ));
                        }
                        Some(_) => {}
                        None => {
                            self.unacked.retain(|unacked| !is_same_add(unacked, &add));
                            self.acked.push((add, total));
                        }
                    }
                }
                Some(Outcome::Rejected(RejectReason::DiskFull)) => {
                    self.disk_full_rejections += 1;
                    // Nothing was added, so it may be sent again.
                    self.record_unacked(add);
                }
                Some(Outcome::Rejected(reason)) => return Err(format!("{add:?}: rejected with {reason:?}")),
                None => self.record_unacked(add),
            }
        }
        Ok(succeeded)
    }

    fn record_unacked(&mut self, add: Add) {
        let known = self.unacked.iter().any(|unacked| is_same_add(unacked, &add))
            || self.acked.iter().any(|(acked, _)| is_same_add(acked, &add));
        if !known {
            self.unacked.push(add);
        }
    }

    /// Opens the log from `disk`, and checks it.
    pub fn recover(&mut self, disk: SimDisk) -> CheckResult {
        let (wal, _) =
            WriteAheadLog::open(disk, CONFIG).map_err(|error| format!("recovery failed: {error}"))?;
        self.wal = Some(wal);
        self.check()
    }

    /// Sends again what was not acknowledged, and checks that each add is counted exactly once: retries of acknowledged
    /// adds get their first totals, and the totals of the counters are the sums of the acknowledged adds.
    pub fn check(&mut self) -> CheckResult {
        if let Some((gateway, _)) = self.unacked_session {
            self.open_session(gateway)?;
        }
        let unacked = std::mem::take(&mut self.unacked);
        let succeeded = self.send(unacked)?;
        if !succeeded || !self.unacked.is_empty() {
            return Err("the log does not accept adds after recovery".into());
        }
        // Acknowledged adds are only known to be duplicates inside the deduplication window.
        let in_window = |(add, _): &&(Add, i64)| {
            let (epoch, newest_seq) = self.epochs[usize::from(add.gateway)];
            add.epoch == epoch && add.seq + DEDUP_WINDOW > newest_seq
        };
        let retries: Vec<Add> = self.acked.iter().filter(in_window).map(|(add, _)| add.clone()).collect();
        self.send(retries)?;
        let mut expected: BTreeMap<Vec<u8>, i64> = BTreeMap::new();
        for (add, _) in &self.acked {
            *expected.entry(vec![b'a' + add.counter]).or_default() += add.amount;
        }
        let wal = self.wal.as_ref().expect("the log is open");
        let totals: BTreeMap<Vec<u8>, i64> =
            wal.machine().counters().map(|(name, counter)| (name.to_vec(), counter.total)).collect();
        if totals == expected {
            Ok(())
        } else {
            Err(format!("totals are {totals:?}, but the acknowledged adds sum up to {expected:?}"))
        }
    }
}

pub fn is_same_add(a: &Add, b: &Add) -> bool {
    (a.gateway, a.epoch, a.seq) == (b.gateway, b.epoch, b.seq)
}
