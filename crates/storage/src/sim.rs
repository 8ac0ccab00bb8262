//! A simulated disk in memory that fails on purpose, for tests of what is built on [`Storage`].
//!
//! It keeps what is durable apart from what is merely written. A crash keeps any part of the rest: sectors of
//! unsynced writes each by itself, so torn and out of order; names of files created, renamed or removed, each by itself.

use crate::Storage;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::BTreeMap;
use std::io::{self, ErrorKind};

/// Bytes that are written atomically.
const SECTOR_BYTES: usize = 512;

/// Faults to inject, by the number of the mutating call, counted from 1; 0: never.
#[derive(Clone, Copy, Debug, Default)]
pub struct FaultPlan {
    /// Power is lost in the middle of this call; all later calls fail.
    pub crash_at_call: u64,
    /// This call, if it is a sync, fails, and what it should have made durable is lost.
    pub failed_sync_at_call: u64,
    /// From this call on the disk is full...
    pub full_from_call: u64,
    /// ...for so many calls.
    pub full_for_calls: u64,
    /// Syncs return success and do nothing: an injected bug.
    pub ignore_syncs: bool,
}

/// A change of a file's bytes that is not durable yet.
#[derive(Clone, Debug)]
enum Change {
    Write { at: usize, bytes: Vec<u8> },
    Truncate { len: usize },
}

impl Change {
    fn apply(&self, contents: &mut Vec<u8>) {
        match self {
            Change::Write { at, bytes } => {
                let end = at + bytes.len();
                if contents.len() < end {
                    contents.resize(end, 0);
                }
                contents[*at..end].copy_from_slice(bytes);
            }
            Change::Truncate { len } => contents.resize(*len, 0),
        }
    }

    /// The parts of it that become durable each by itself.
    fn sectors(self) -> Vec<Change> {
        let Change::Write { at, bytes } = self else { return vec![self] };
        let mut sectors = vec![];
        let mut from = 0;
        while from < bytes.len() {
            // Sectors are aligned.
            let place = at + from;
            let to = (from + SECTOR_BYTES - place % SECTOR_BYTES).min(bytes.len());
            sectors.push(Change::Write { at: place, bytes: bytes[from..to].to_vec() });
            from = to;
        }
        sectors
    }
}

#[derive(Clone, Debug, Default)]
struct FileState {
    /// What reads return.
    visible: Vec<u8>,
    /// What a crash keeps for certain.
    durable: Vec<u8>,
    /// Changes since the last sync.
    unsynced: Vec<Change>,
}

#[derive(Clone, Debug)]
enum NameChange {
    Created(String, usize),
    Renamed(String, String),
    Removed(String),
}

/// A simulated disk.
#[derive(Clone, Debug)]
pub struct SimDisk {
    files: Vec<FileState>,
    names: BTreeMap<String, usize>,
    durable_names: BTreeMap<String, usize>,
    unsynced_names: Vec<NameChange>,
    plan: FaultPlan,
    calls: u64,
    rng: ChaCha8Rng,
    is_powered_off: bool,
}

impl SimDisk {
    /// An empty disk.
    pub fn new(seed: u64) -> SimDisk {
        SimDisk {
            files: vec![],
            names: BTreeMap::new(),
            durable_names: BTreeMap::new(),
            unsynced_names: vec![],
            plan: FaultPlan::default(),
            calls: 0,
            rng: ChaCha8Rng::seed_from_u64(seed),
            is_powered_off: false,
        }
    }

    /// Sets the faults to inject; calls are counted anew.
    pub fn set_fault_plan(&mut self, plan: FaultPlan) {
        (self.plan, self.calls) = (plan, 0);
    }

    /// Mutating calls so far.
    pub fn mutating_calls(&self) -> u64 {
        self.calls
    }

    /// Whether power has been lost.
    pub fn has_crashed(&self) -> bool {
        self.is_powered_off
    }

    /// Power is lost, if it was not, and returns: of what was not durable, any part is there.
    pub fn restart(&mut self) {
        for file in &mut self.files {
            for change in std::mem::take(&mut file.unsynced) {
                for part in change.sectors() {
                    if self.rng.random::<bool>() {
                        part.apply(&mut file.durable);
                    }
                }
            }
            file.visible = file.durable.clone();
        }
        self.restart_names();
        self.reopen();
    }

    fn restart_names(&mut self) {
        let mut names = std::mem::take(&mut self.durable_names);
        for change in std::mem::take(&mut self.unsynced_names) {
            if !self.rng.random::<bool>() {
                continue;
            }
            match change {
                NameChange::Created(name, file) => drop(names.insert(name, file)),
                NameChange::Renamed(from, to) => {
                    if let Some(file) = names.remove(&from) {
                        names.insert(to, file);
                    }
                }
                NameChange::Removed(name) => drop(names.remove(&name)),
            }
        }
        self.durable_names = names.clone();
        self.names = names;
    }

    /// The process ends and starts again; the machine keeps running, so what reads return stays.
    pub fn reopen(&mut self) {
        (self.is_powered_off, self.plan, self.calls) = (false, FaultPlan::default(), 0);
    }

    /// Flips one bit of a file, in what is durable too.
    pub fn flip_bit(&mut self, name: &str, bit: usize) {
        self.modify_file_directly(name, |bytes| {
            if let Some(byte) = bytes.get_mut(bit / 8) {
                *byte ^= 1 << (bit % 8);
            }
        });
    }

    /// Changes a file's bytes without a call.
    pub fn modify_file_directly(&mut self, name: &str, change: impl Fn(&mut Vec<u8>)) {
        if let Some(file) = self.names.get(name).and_then(|k| self.files.get_mut(*k)) {
            change(&mut file.visible);
            change(&mut file.durable);
        }
    }

    /// Removes a file without a call.
    pub fn remove_file_directly(&mut self, name: &str) {
        self.names.remove(name);
        self.durable_names.remove(name);
    }

    fn file(&mut self, name: &str) -> io::Result<&mut FileState> {
        let k = self.names.get(name).copied().ok_or(ErrorKind::NotFound)?;
        self.files.get_mut(k).ok_or_else(|| ErrorKind::NotFound.into())
    }

    /// Counts a mutating call; returns whether power is lost in it.
    fn count_call(&mut self) -> io::Result<bool> {
        if self.is_powered_off {
            return Err(io::Error::other("the power is off"));
        }
        self.calls += 1;
        self.is_powered_off = self.calls == self.plan.crash_at_call;
        Ok(self.is_powered_off)
    }

    fn unless_powered_off<T>(&self, value: T) -> io::Result<T> {
        if self.is_powered_off {
            Err(io::Error::other("the power is off"))
        } else {
            Ok(value)
        }
    }

    fn is_full(&self) -> bool {
        self.plan.full_from_call > 0
            && (self.plan.full_from_call..self.plan.full_from_call + self.plan.full_for_calls)
                .contains(&self.calls)
    }
}

impl Storage for SimDisk {
    fn list(&self) -> io::Result<Vec<String>> {
        Ok(self.names.keys().cloned().collect())
    }

    fn read_at(&self, name: &str, at: u64, buf: &mut [u8]) -> io::Result<usize> {
        let k = self.names.get(name).ok_or(ErrorKind::NotFound)?;
        let file = self.files.get(*k).ok_or(ErrorKind::NotFound)?;
        let rest = file.visible.get(at as usize..).unwrap_or_default();
        // Reads are short as often as not.
        let n = rest.len().min(buf.len()).min(1 + (at as usize * 7 + 100) % 700);
        buf[..n].copy_from_slice(&rest[..n]);
        Ok(n)
    }

    fn create(&mut self, name: &str) -> io::Result<()> {
        let dies = self.count_call()?;
        if self.is_full() {
            return Err(ErrorKind::StorageFull.into());
        }
        if self.names.contains_key(name) {
            return Err(ErrorKind::AlreadyExists.into());
        }
        self.files.push(FileState::default());
        let k = self.files.len() - 1;
        if !dies || self.rng.random::<bool>() {
            self.names.insert(name.to_owned(), k);
            self.unsynced_names.push(NameChange::Created(name.to_owned(), k));
        }
        self.unless_powered_off(())
    }

    fn write_at(&mut self, name: &str, at: u64, bytes: &[u8]) -> io::Result<()> {
        let dies = self.count_call()?;
        let full = self.is_full() && self.file(name)?.visible.len() < at as usize + bytes.len();
        let part = if dies || full { self.rng.random_range(0..=bytes.len()) } else { bytes.len() };
        let bytes = bytes[..part].to_vec();
        let file = self.file(name)?;
        let change = Change::Write { at: at as usize, bytes };
        change.apply(&mut file.visible);
        file.unsynced.push(change);
        if full {
            return Err(ErrorKind::StorageFull.into());
        }
        self.unless_powered_off(())
    }

    fn truncate(&mut self, name: &str, len: u64) -> io::Result<()> {
        self.count_call()?;
        let file = self.file(name)?;
        let change = Change::Truncate { len: len as usize };
        change.apply(&mut file.visible);
        file.unsynced.push(change);
        self.unless_powered_off(())
    }

    fn sync(&mut self, name: &str) -> io::Result<()> {
        let (dies, lies) = (self.count_call()?, self.plan.ignore_syncs);
        let bad = self.calls == self.plan.failed_sync_at_call;
        let file = self.file(name)?;
        if bad {
            // As some systems do it: the pages are dropped from those to be written, and still read well.
            file.unsynced.clear();
            return Err(io::Error::other("input/output error"));
        }
        if !dies && !lies {
            // Not what reads show: what a failed sync dropped stays dropped, whatever a later one says.
            for change in std::mem::take(&mut file.unsynced) {
                change.apply(&mut file.durable);
            }
        }
        self.unless_powered_off(())
    }

    fn sync_folder(&mut self) -> io::Result<()> {
        let (dies, lies) = (self.count_call()?, self.plan.ignore_syncs);
        if self.calls == self.plan.failed_sync_at_call {
            return Err(io::Error::other("input/output error"));
        }
        if !dies && !lies {
            self.durable_names = self.names.clone();
            self.unsynced_names.clear();
        }
        self.unless_powered_off(())
    }

    fn rename(&mut self, from: &str, to: &str) -> io::Result<()> {
        let dies = self.count_call()?;
        if !dies || self.rng.random::<bool>() {
            let k = self.names.remove(from).ok_or(ErrorKind::NotFound)?;
            self.names.insert(to.to_owned(), k);
            self.unsynced_names.push(NameChange::Renamed(from.to_owned(), to.to_owned()));
        }
        self.unless_powered_off(())
    }

    fn remove(&mut self, name: &str) -> io::Result<()> {
        let dies = self.count_call()?;
        if !dies || self.rng.random::<bool>() {
            self.names.remove(name).ok_or(ErrorKind::NotFound)?;
            self.unsynced_names.push(NameChange::Removed(name.to_owned()));
        }
        self.unless_powered_off(())
    }

    fn location(&self) -> String {
        "a disk in memory".into()
    }
}
