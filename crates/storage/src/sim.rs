//! A disk in memory that fails on purpose: a stand-in for tests of what is built on [`Storage`].
//!
//! It keeps what is durable apart from what is merely written. A crash keeps any part of the rest: sectors of
//! unsynced writes each by itself, so torn and out of order; names of files made, renamed or removed, each by
//! itself.

use crate::Storage;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::BTreeMap;
use std::io::{self, ErrorKind};

/// Bytes that are written together or not at all.
const SECTOR: usize = 512;

/// What goes wrong, by the number of the call that changes something, counted from 1.
#[derive(Clone, Copy, Debug, Default)]
pub struct Plan {
    /// The power goes in the middle of this call; all after it fails.
    pub crash: u64,
    /// This call, if it is a sync, fails, and what it should have made durable is lost.
    pub bad_sync: u64,
    /// From this call on there is no room...
    pub full: u64,
    /// ...for so many calls.
    pub full_for: u64,
    /// Syncs say they are done and do nothing: a planted fault.
    pub lies: bool,
}

#[derive(Clone, Debug, Default)]
struct Body {
    /// What reads see.
    seen: Vec<u8>,
    /// What a crash leaves at least.
    durable: Vec<u8>,
    /// Writes and cuts since the last sync: place and bytes, or a length.
    loose: Vec<(u64, Result<Vec<u8>, ()>)>,
}

#[derive(Clone, Debug)]
enum Named {
    Made(String, usize),
    Renamed(String, String),
    Removed(String),
}

/// The disk.
#[derive(Clone, Debug)]
pub struct SimDisk {
    bodies: Vec<Body>,
    names: BTreeMap<String, usize>,
    durable_names: BTreeMap<String, usize>,
    loose_names: Vec<Named>,
    plan: Plan,
    calls: u64,
    rng: ChaCha8Rng,
    dead: bool,
}

impl SimDisk {
    /// An empty one.
    pub fn new(seed: u64) -> SimDisk {
        SimDisk {
            bodies: vec![],
            names: BTreeMap::new(),
            durable_names: BTreeMap::new(),
            loose_names: vec![],
            plan: Plan::default(),
            calls: 0,
            rng: ChaCha8Rng::seed_from_u64(seed),
            dead: false,
        }
    }

    /// From now on this goes wrong; calls are counted anew.
    pub fn plan(&mut self, plan: Plan) {
        (self.plan, self.calls) = (plan, 0);
    }

    /// Calls so far that changed something.
    pub fn calls(&self) -> u64 {
        self.calls
    }

    /// Whether the planned crash has come.
    pub fn crashed(&self) -> bool {
        self.dead
    }

    fn apply(body: &mut Vec<u8>, at: u64, what: &Result<Vec<u8>, ()>) {
        match what {
            Ok(bytes) => {
                let (at, end) = (at as usize, at as usize + bytes.len());
                if body.len() < end {
                    body.resize(end, 0);
                }
                body[at..end].copy_from_slice(bytes);
            }
            Err(()) => body.resize(at as usize, 0),
        }
    }

    /// The power goes, if it has not, and comes back: what was not durable is there in part.
    pub fn restart(&mut self) {
        for body in &mut self.bodies {
            let mut left = std::mem::take(&mut body.durable);
            for (at, what) in std::mem::take(&mut body.loose) {
                match what {
                    Ok(bytes) => {
                        let mut from = 0;
                        while from < bytes.len() {
                            // Sectors lie at whole multiples.
                            let place = at as usize + from;
                            let to = (from + SECTOR - place % SECTOR).min(bytes.len());
                            if self.rng.random::<bool>() {
                                Self::apply(&mut left, place as u64, &Ok(bytes[from..to].to_vec()));
                            }
                            from = to;
                        }
                    }
                    Err(()) if self.rng.random::<bool>() => Self::apply(&mut left, at, &Err(())),
                    Err(()) => {}
                }
            }
            body.seen = left.clone();
            body.durable = left;
        }
        let mut names = std::mem::take(&mut self.durable_names);
        for change in std::mem::take(&mut self.loose_names) {
            if !self.rng.random::<bool>() {
                continue;
            }
            match change {
                Named::Made(name, body) => drop(names.insert(name, body)),
                Named::Renamed(from, to) => {
                    if let Some(body) = names.remove(&from) {
                        names.insert(to, body);
                    }
                }
                Named::Removed(name) => drop(names.remove(&name)),
            }
        }
        self.durable_names = names.clone();
        self.names = names;
        (self.dead, self.plan, self.calls) = (false, Plan::default(), 0);
    }

    /// The process dies and starts again; the machine stays up, so what reads show stays.
    pub fn reopen(&mut self) {
        (self.dead, self.plan, self.calls) = (false, Plan::default(), 0);
    }

    /// One bit of a file turns, durable and all.
    pub fn flip(&mut self, name: &str, bit: usize) {
        self.edit(name, |bytes| {
            if let Some(byte) = bytes.get_mut(bit / 8) {
                *byte ^= 1 << (bit % 8);
            }
        });
    }

    /// Changes a file's bytes behind everyone's back.
    pub fn edit(&mut self, name: &str, change: impl Fn(&mut Vec<u8>)) {
        if let Some(body) = self.names.get(name).and_then(|k| self.bodies.get_mut(*k)) {
            change(&mut body.seen);
            change(&mut body.durable);
        }
    }

    /// Removes a file behind everyone's back.
    pub fn lose(&mut self, name: &str) {
        self.names.remove(name);
        self.durable_names.remove(name);
    }

    fn body(&mut self, name: &str) -> io::Result<&mut Body> {
        let k = self.names.get(name).copied().ok_or(ErrorKind::NotFound)?;
        self.bodies.get_mut(k).ok_or_else(|| ErrorKind::NotFound.into())
    }

    /// Counts a call; whether the power goes in it.
    fn call(&mut self) -> io::Result<bool> {
        if self.dead {
            return Err(io::Error::other("the power is off"));
        }
        self.calls += 1;
        self.dead = self.calls == self.plan.crash;
        Ok(self.dead)
    }

    fn off<T>(&self, value: T) -> io::Result<T> {
        if self.dead {
            Err(io::Error::other("the power is off"))
        } else {
            Ok(value)
        }
    }

    fn full(&self) -> bool {
        self.plan.full > 0 && (self.plan.full..self.plan.full + self.plan.full_for).contains(&self.calls)
    }
}

impl Storage for SimDisk {
    fn list(&self) -> io::Result<Vec<String>> {
        Ok(self.names.keys().cloned().collect())
    }

    fn read_at(&self, name: &str, at: u64, buf: &mut [u8]) -> io::Result<usize> {
        let k = self.names.get(name).ok_or(ErrorKind::NotFound)?;
        let body = self.bodies.get(*k).ok_or(ErrorKind::NotFound)?;
        let rest = body.seen.get(at as usize..).unwrap_or_default();
        // Reads are short as often as not.
        let n = rest.len().min(buf.len()).min(1 + (at as usize * 7 + 100) % 700);
        buf[..n].copy_from_slice(&rest[..n]);
        Ok(n)
    }

    fn create(&mut self, name: &str) -> io::Result<()> {
        let dies = self.call()?;
        if self.full() {
            return Err(ErrorKind::StorageFull.into());
        }
        if self.names.contains_key(name) {
            return Err(ErrorKind::AlreadyExists.into());
        }
        self.bodies.push(Body::default());
        let k = self.bodies.len() - 1;
        if !dies || self.rng.random::<bool>() {
            self.names.insert(name.to_owned(), k);
            self.loose_names.push(Named::Made(name.to_owned(), k));
        }
        self.off(())
    }

    fn write_at(&mut self, name: &str, at: u64, bytes: &[u8]) -> io::Result<()> {
        let dies = self.call()?;
        let full = self.full() && self.body(name)?.seen.len() < at as usize + bytes.len();
        let part = if dies || full { self.rng.random_range(0..=bytes.len()) } else { bytes.len() };
        let bytes = bytes[..part].to_vec();
        let body = self.body(name)?;
        Self::apply(&mut body.seen, at, &Ok(bytes.clone()));
        body.loose.push((at, Ok(bytes)));
        if full {
            return Err(ErrorKind::StorageFull.into());
        }
        self.off(())
    }

    fn truncate(&mut self, name: &str, len: u64) -> io::Result<()> {
        self.call()?;
        let body = self.body(name)?;
        Self::apply(&mut body.seen, len, &Err(()));
        body.loose.push((len, Err(())));
        self.off(())
    }

    fn sync(&mut self, name: &str) -> io::Result<()> {
        let (dies, lies) = (self.call()?, self.plan.lies);
        let bad = self.calls == self.plan.bad_sync;
        let body = self.body(name)?;
        if bad {
            // As some systems do it: the pages are dropped from those to be written, and still read well.
            body.loose.clear();
            return Err(io::Error::other("input/output error"));
        }
        if !dies && !lies {
            // Not what reads show: what a failed sync dropped stays dropped, whatever a later one says.
            for (at, what) in std::mem::take(&mut body.loose) {
                Self::apply(&mut body.durable, at, &what);
            }
        }
        self.off(())
    }

    fn sync_folder(&mut self) -> io::Result<()> {
        let (dies, lies) = (self.call()?, self.plan.lies);
        if self.calls == self.plan.bad_sync {
            return Err(io::Error::other("input/output error"));
        }
        if !dies && !lies {
            self.durable_names = self.names.clone();
            self.loose_names.clear();
        }
        self.off(())
    }

    fn rename(&mut self, from: &str, to: &str) -> io::Result<()> {
        let dies = self.call()?;
        if !dies || self.rng.random::<bool>() {
            let k = self.names.remove(from).ok_or(ErrorKind::NotFound)?;
            self.names.insert(to.to_owned(), k);
            self.loose_names.push(Named::Renamed(from.to_owned(), to.to_owned()));
        }
        self.off(())
    }

    fn remove(&mut self, name: &str) -> io::Result<()> {
        let dies = self.call()?;
        if !dies || self.rng.random::<bool>() {
            self.names.remove(name).ok_or(ErrorKind::NotFound)?;
            self.loose_names.push(Named::Removed(name.to_owned()));
        }
        self.off(())
    }

    fn place(&self) -> String {
        "a disk in memory".into()
    }
}
