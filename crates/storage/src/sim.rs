//! A simulated disk in memory with injected faults, for tests of code that uses [`Storage`].
//!
//! It keeps what is durable apart from what has only been written. Of what is not durable, a crash keeps a random part:
//! each sector of an unsynced write is kept or lost on its own, so writes may be torn or out of order, and so is each
//! creation, renaming and removal of a file.

use crate::Storage;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::BTreeMap;
use std::io::{self, ErrorKind};

/// Size of a sector, bytes. A crash keeps a sector of a write whole or loses it whole.
const SECTOR_BYTES: usize = 512;

/// Faults to inject, each at the call with this number. Only mutating calls are counted, from 1; 0 means never.
#[derive(Clone, Copy, Debug, Default)]
pub struct FaultPlan {
    /// Power is lost during this call; it and all later mutating calls fail.
    pub crash_at_call: u64,
    /// This call fails if it is a sync. If it syncs a file, the changes that it should have made durable are lost.
    pub failed_sync_at_call: u64,
    /// The first call for which the disk is full.
    pub full_from_call: u64,
    /// The number of calls for which the disk stays full.
    pub full_for_calls: u64,
    /// Syncs return success without making anything durable: an injected bug.
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

    /// Splits the change into parts that a crash keeps or loses independently.
    fn split_into_sectors(self) -> Vec<Change> {
        let Change::Write { at, bytes } = self else { return vec![self] };
        let mut sectors = vec![];
        let mut start = 0;
        while start < bytes.len() {
            // Sector boundaries are at multiples of the sector size within the file.
            let file_offset = at + start;
            let end = (start + SECTOR_BYTES - file_offset % SECTOR_BYTES).min(bytes.len());
            sectors.push(Change::Write { at: file_offset, bytes: bytes[start..end].to_vec() });
            start = end;
        }
        sectors
    }
}

#[derive(Clone, Debug, Default)]
struct FileState {
    /// The contents that reads return.
    visible: Vec<u8>,
    /// The contents that a crash certainly keeps.
    durable: Vec<u8>,
    /// Changes since the last sync.
    unsynced: Vec<Change>,
}

/// A change of the folder's names that is not durable yet.
#[derive(Clone, Debug)]
enum NameChange {
    /// Name and index of the file.
    Created(String, usize),
    /// Old and new name.
    Renamed(String, String),
    Removed(String),
}

/// A simulated disk with one folder of files.
#[derive(Clone, Debug)]
pub struct SimDisk {
    files: Vec<FileState>,
    /// Indices into `files`, by the names that calls see.
    names: BTreeMap<String, usize>,
    /// Indices into `files`, by the names that a crash certainly keeps.
    durable_names: BTreeMap<String, usize>,
    /// Changes of names since the last sync of the folder.
    unsynced_names: Vec<NameChange>,
    fault_plan: FaultPlan,
    /// Mutating calls since the fault plan was set.
    calls: u64,
    rng: ChaCha8Rng,
    is_powered_off: bool,
}

impl SimDisk {
    /// An empty disk; `seed` determines what its crashes keep.
    pub fn new(seed: u64) -> SimDisk {
        SimDisk {
            files: vec![],
            names: BTreeMap::new(),
            durable_names: BTreeMap::new(),
            unsynced_names: vec![],
            fault_plan: FaultPlan::default(),
            calls: 0,
            rng: ChaCha8Rng::seed_from_u64(seed),
            is_powered_off: false,
        }
    }

    /// Sets the faults to inject, and restarts the count of mutating calls at 0.
    pub fn set_fault_plan(&mut self, plan: FaultPlan) {
        (self.fault_plan, self.calls) = (plan, 0);
    }

    /// Number of mutating calls since the fault plan was last set or reset.
    pub fn mutating_calls(&self) -> u64 {
        self.calls
    }

    /// Whether power has been lost and not restored.
    pub fn has_crashed(&self) -> bool {
        self.is_powered_off
    }

    /// Simulates a loss of power and the restart after it: of what was not durable, a random part is kept. Resets the
    /// fault plan.
    pub fn restart(&mut self) {
        for file in &mut self.files {
            for change in std::mem::take(&mut file.unsynced) {
                for part in change.split_into_sectors() {
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

    /// Simulates a restart of the process only: the machine keeps running, so reads return the same as before. Resets the
    /// fault plan.
    pub fn reopen(&mut self) {
        (self.is_powered_off, self.fault_plan, self.calls) = (false, FaultPlan::default(), 0);
    }

    /// Flips one bit of a file, in its visible and its durable contents.
    pub fn flip_bit(&mut self, name: &str, bit: usize) {
        self.modify_file_directly(name, |bytes| {
            if let Some(byte) = bytes.get_mut(bit / 8) {
                *byte ^= 1 << (bit % 8);
            }
        });
    }

    /// Changes a file's visible and durable contents without a [`Storage`] call, as damage to the disk would.
    pub fn modify_file_directly(&mut self, name: &str, change: impl Fn(&mut Vec<u8>)) {
        if let Some(file) = self.names.get(name).and_then(|index| self.files.get_mut(*index)) {
            change(&mut file.visible);
            change(&mut file.durable);
        }
    }

    /// Removes a file, durably, without a [`Storage`] call.
    pub fn remove_file_directly(&mut self, name: &str) {
        self.names.remove(name);
        self.durable_names.remove(name);
    }

    fn file(&mut self, name: &str) -> io::Result<&mut FileState> {
        let index = self.names.get(name).copied().ok_or(ErrorKind::NotFound)?;
        self.files.get_mut(index).ok_or_else(|| ErrorKind::NotFound.into())
    }

    /// Counts a mutating call and returns whether power is lost during it; an error if power was lost before.
    fn count_call(&mut self) -> io::Result<bool> {
        if self.is_powered_off {
            return Err(power_loss_error());
        }
        self.calls += 1;
        self.is_powered_off = self.calls == self.fault_plan.crash_at_call;
        Ok(self.is_powered_off)
    }

    fn unless_powered_off<T>(&self, value: T) -> io::Result<T> {
        if self.is_powered_off {
            Err(power_loss_error())
        } else {
            Ok(value)
        }
    }

    fn is_full(&self) -> bool {
        let FaultPlan { full_from_call, full_for_calls, .. } = self.fault_plan;
        full_from_call > 0 && (full_from_call..full_from_call + full_for_calls).contains(&self.calls)
    }
}

fn power_loss_error() -> io::Error {
    io::Error::other("the simulated disk has lost power")
}

fn failed_sync_error() -> io::Error {
    io::Error::other("injected sync failure on the simulated disk")
}

impl Storage for SimDisk {
    fn list(&self) -> io::Result<Vec<String>> {
        Ok(self.names.keys().cloned().collect())
    }

    fn read_at(&self, name: &str, at: u64, buf: &mut [u8]) -> io::Result<usize> {
        let index = self.names.get(name).ok_or(ErrorKind::NotFound)?;
        let file = self.files.get(*index).ok_or(ErrorKind::NotFound)?;
        let rest = file.visible.get(at as usize..).unwrap_or_default();
        // Reads return at most 700 bytes, by an arbitrary function of the offset, so that callers meet short reads.
        let read_len = rest.len().min(buf.len()).min(1 + (at as usize * 7 + 100) % 700);
        buf[..read_len].copy_from_slice(&rest[..read_len]);
        Ok(read_len)
    }

    fn create(&mut self, name: &str) -> io::Result<()> {
        let power_lost = self.count_call()?;
        if self.is_full() {
            return Err(ErrorKind::StorageFull.into());
        }
        if self.names.contains_key(name) {
            return Err(ErrorKind::AlreadyExists.into());
        }
        self.files.push(FileState::default());
        let index = self.files.len() - 1;
        if !power_lost || self.rng.random::<bool>() {
            self.names.insert(name.to_owned(), index);
            self.unsynced_names.push(NameChange::Created(name.to_owned(), index));
        }
        self.unless_powered_off(())
    }

    fn write_at(&mut self, name: &str, at: u64, bytes: &[u8]) -> io::Result<()> {
        let power_lost = self.count_call()?;
        // On a full disk a write within the file's present length still succeeds.
        let full = self.is_full() && self.file(name)?.visible.len() < at as usize + bytes.len();
        let written_len =
            if power_lost || full { self.rng.random_range(0..=bytes.len()) } else { bytes.len() };
        let bytes = bytes[..written_len].to_vec();
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
        let power_lost = self.count_call()?;
        let ignored = self.fault_plan.ignore_syncs;
        let fails = self.calls == self.fault_plan.failed_sync_at_call;
        let file = self.file(name)?;
        if fails {
            // Some operating systems mark the pages of a failed sync as clean: they are never written, but reads still
            // return them.
            file.unsynced.clear();
            return Err(failed_sync_error());
        }
        if !power_lost && !ignored {
            // The pending changes are applied instead of copying the visible contents, because changes that a failed sync
            // dropped stay lost although a later sync succeeds.
            for change in std::mem::take(&mut file.unsynced) {
                change.apply(&mut file.durable);
            }
        }
        self.unless_powered_off(())
    }

    fn sync_folder(&mut self) -> io::Result<()> {
        let power_lost = self.count_call()?;
        let ignored = self.fault_plan.ignore_syncs;
        if self.calls == self.fault_plan.failed_sync_at_call {
            return Err(failed_sync_error());
        }
        if !power_lost && !ignored {
            self.durable_names = self.names.clone();
            self.unsynced_names.clear();
        }
        self.unless_powered_off(())
    }

    fn rename(&mut self, from: &str, to: &str) -> io::Result<()> {
        let power_lost = self.count_call()?;
        if !power_lost || self.rng.random::<bool>() {
            let index = self.names.remove(from).ok_or(ErrorKind::NotFound)?;
            self.names.insert(to.to_owned(), index);
            self.unsynced_names.push(NameChange::Renamed(from.to_owned(), to.to_owned()));
        }
        self.unless_powered_off(())
    }

    fn remove(&mut self, name: &str) -> io::Result<()> {
        let power_lost = self.count_call()?;
        if !power_lost || self.rng.random::<bool>() {
            self.names.remove(name).ok_or(ErrorKind::NotFound)?;
            self.unsynced_names.push(NameChange::Removed(name.to_owned()));
        }
        self.unless_powered_off(())
    }

    fn location(&self) -> String {
        "simulated disk".into()
    }
}
