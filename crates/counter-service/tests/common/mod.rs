//! Workloads on a disk that fails, and what must hold after each failure.
#![allow(dead_code, reason = "each test file uses a part")]

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
pub const T: u64 = 1_800_000_000_000;
const DAY: u32 = 86_400_000;

#[derive(Clone, Copy, Debug, Default)]
pub struct Planted {
    /// Snapshots forget who had what counted.
    pub forgetful: bool,
    /// Syncs do nothing, which is as good as replying before them.
    pub lies: bool,
}

#[derive(Clone, Debug)]
pub struct Sent {
    pub gateway: u16,
    pub epoch: u64,
    pub seq: u64,
    pub amount: i64,
    pub name: u8,
}

impl Sent {
    pub fn operation(&self) -> Operation {
        let Sent { gateway, epoch, seq, amount, name } = self.clone();
        Operation::Add { gateway, epoch, seq, amount, ttl_ms: DAY, name: vec![b'a' + name] }
    }
}

/// The callers, who keep a tally of their own.
pub struct World {
    rng: ChaCha8Rng,
    pub planted: Planted,
    pub wal: Option<WriteAheadLog<SimDisk>>,
    /// Each gateway's epoch and newest sequence.
    epochs: [(u64, u64); 3],
    incarnations: u8,
    /// Told that it was counted, with the total.
    pub acked: Vec<(Sent, i64)>,
    /// Sent, and nothing heard.
    pub open: Vec<Sent>,
    /// An epoch asked for, and nothing heard.
    opening: Option<(u16, u8)>,
    pub refused: u64,
}

pub type Fault = Result<(), String>;

impl World {
    pub fn new(seed: u64, planted: Planted) -> World {
        let (wal, _) = WriteAheadLog::open(SimDisk::new(seed), CONFIG).expect("an empty disk opens");
        World {
            rng: ChaCha8Rng::seed_from_u64(seed),
            planted,
            wal: Some(wal),
            epochs: [(0, 0); 3],
            incarnations: 0,
            acked: vec![],
            open: vec![],
            opening: None,
            refused: 0,
        }
    }

    pub fn disk(&mut self) -> &mut SimDisk {
        self.wal.as_mut().expect("a store").storage_mut()
    }

    pub fn plan(&mut self, plan: FaultPlan) {
        let lies = self.planted.lies;
        self.disk().set_fault_plan(FaultPlan { ignore_syncs: lies, ..plan });
    }

    /// One step; false once the store has stopped.
    pub fn step(&mut self) -> Result<bool, String> {
        let roll = self.rng.random_range(0..100);
        let unopened = (0..3).find(|g| self.epochs[usize::from(*g)].0 == 0);
        if let Some(gateway) = unopened.or((roll < 4 && self.open.is_empty()).then_some(roll as u16 % 3)) {
            return self.renew(gateway);
        }
        if roll < 16 {
            return Ok(self.snapshot());
        }
        if roll < 22 {
            return Ok(self.wal.as_mut().is_some_and(|s| s.sync_watermark().is_ok()));
        }
        let mut batch: Vec<Sent> = vec![];
        for _ in 0..self.rng.random_range(1..6) {
            let gateway = self.rng.random_range(0..3u16);
            // A quarter are repeats: of one just told, or of one in this very batch.
            if self.rng.random_range(0..4) == 0 {
                let acked = self.acked.last().map(|(sent, _)| sent.clone());
                let again = batch.last().cloned().or(acked.filter(|s| s.epoch == self.epoch(s.gateway)));
                batch.extend(again);
                continue;
            }
            let (epoch, newest_seq) = &mut self.epochs[usize::from(gateway)];
            *newest_seq += 1;
            let amount = self.rng.random_range(-50..100);
            let name = self.rng.random_range(0..4);
            batch.push(Sent { gateway, epoch: *epoch, seq: *newest_seq, amount, name });
        }
        self.send(batch)
    }

    pub fn epoch(&self, gateway: u16) -> u64 {
        self.epochs[usize::from(gateway)].0
    }

    fn renew(&mut self, gateway: u16) -> Result<bool, String> {
        let incarnation = match self.opening {
            Some((g, incarnation)) if g == gateway => incarnation,
            _ => {
                self.incarnations += 1;
                self.incarnations
            }
        };
        self.opening = Some((gateway, incarnation));
        let Some(wal) = &mut self.wal else { return Ok(false) };
        match wal.commit(T, vec![Operation::Open { gateway, incarnation: [incarnation; 16] }]) {
            Ok(outcomes) => match outcomes[0] {
                Outcome::Applied(epoch) | Outcome::Duplicate(epoch) => {
                    let epoch = epoch as u64;
                    if epoch <= self.epoch(gateway) {
                        return Err(format!("gateway {gateway}: epoch {epoch} was given twice"));
                    }
                    self.epochs[usize::from(gateway)] = (epoch, 0);
                    self.opening = None;
                    Ok(true)
                }
                Outcome::Rejected(RejectReason::DiskFull) => {
                    self.opening = None;
                    Ok(true)
                }
                Outcome::Rejected(code) => Err(format!("gateway {gateway}: {code:?}")),
            },
            Err(_) => Ok(false),
        }
    }

    fn snapshot(&mut self) -> bool {
        let Some(wal) = &mut self.wal else { return false };
        let mut snapshot = wal.begin_snapshot();
        if snapshot.index == 0 {
            return true;
        }
        if self.planted.forgetful {
            snapshot.bytes =
                StateMachine::restore(&snapshot.bytes).expect("own bytes").without_deduplication().snapshot();
        }
        if write_snapshot(wal.storage_mut(), &snapshot).is_ok() {
            let _ = wal.prune(snapshot.index);
        }
        !wal.storage().has_crashed()
    }

    /// Sends a batch and notes what is told; whether the store goes on.
    pub fn send(&mut self, batch: Vec<Sent>) -> Result<bool, String> {
        let Some(wal) = &mut self.wal else { return Ok(false) };
        let outcomes = wal.commit(T, batch.iter().map(Sent::operation).collect());
        let goes_on = outcomes.is_ok();
        for (k, sent) in batch.into_iter().enumerate() {
            match outcomes.as_ref().ok().map(|g| g[k]) {
                Some(Outcome::Applied(total)) => {
                    if self.acked.iter().any(|(a, _)| same(a, &sent)) {
                        return Err(format!("{sent:?} was counted twice"));
                    }
                    self.open.retain(|o| !same(o, &sent));
                    self.acked.push((sent, total));
                }
                Some(Outcome::Duplicate(total)) => match self.acked.iter().find(|(a, _)| same(a, &sent)) {
                    Some((_, first)) if *first != total => {
                        return Err(format!("{sent:?}: {first} at first, {total} now"));
                    }
                    Some(_) => {}
                    None => {
                        self.open.retain(|o| !same(o, &sent));
                        self.acked.push((sent, total));
                    }
                },
                Some(Outcome::Rejected(RejectReason::DiskFull)) => {
                    self.refused += 1;
                    // Nothing was added: it may go again.
                    self.note_open(sent);
                }
                Some(Outcome::Rejected(code)) => return Err(format!("{sent:?}: {code:?}")),
                None => self.note_open(sent),
            }
        }
        Ok(goes_on)
    }

    fn note_open(&mut self, sent: Sent) {
        let known =
            self.open.iter().any(|o| same(o, &sent)) || self.acked.iter().any(|(a, _)| same(a, &sent));
        if !known {
            self.open.push(sent);
        }
    }

    /// Opens the disk again, asks after everything, and compares with the tally.
    pub fn recover(&mut self, disk: SimDisk) -> Fault {
        let (wal, _) = WriteAheadLog::open(disk, CONFIG).map_err(|refused| format!("refused: {refused}"))?;
        self.wal = Some(wal);
        self.check()
    }

    pub fn check(&mut self) -> Fault {
        if let Some((gateway, _)) = self.opening {
            self.renew(gateway)?;
        }
        let open = std::mem::take(&mut self.open);
        let goes_on = self.send(open)?;
        if !goes_on || !self.open.is_empty() {
            return Err("the store does not go on".into());
        }
        // What was told is remembered, as far as the window goes.
        let recent = |(s, _): &&(Sent, i64)| {
            let (epoch, newest_seq) = self.epochs[usize::from(s.gateway)];
            s.epoch == epoch && s.seq + DEDUP_WINDOW > newest_seq
        };
        let again: Vec<Sent> = self.acked.iter().filter(recent).map(|(s, _)| s.clone()).collect();
        self.send(again)?;
        let mut tally: BTreeMap<Vec<u8>, i64> = BTreeMap::new();
        for (sent, _) in &self.acked {
            *tally.entry(vec![b'a' + sent.name]).or_default() += sent.amount;
        }
        let wal = self.wal.as_ref().expect("a store");
        let totals: BTreeMap<Vec<u8>, i64> =
            wal.machine().counters().map(|(name, number)| (name.to_vec(), number.total)).collect();
        if totals == tally {
            Ok(())
        } else {
            Err(format!("totals {totals:?}, the callers' tally is {tally:?}"))
        }
    }
}

pub fn same(a: &Sent, b: &Sent) -> bool {
    (a.gateway, a.epoch, a.seq) == (b.gateway, b.epoch, b.seq)
}
