//! The settings file of the counter service.

use crate::{check::Checks, evaluate, Fault, Faults, Secret};
use serde::Deserialize;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

/// A whole file.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct CounterFile {
    /// Where gateways connect.
    pub listen: SocketAddr,
    /// Where staff connect: `/metrics`, `/status`. Keep it on a local address.
    pub admin: SocketAddr,
    /// The folder of log and snapshots; one process at a time.
    pub data: PathBuf,
    /// A folder with a file `NUMBER.key` for each gateway: its secret, and on a second line the one that
    /// counts beside it while keys are changed.
    pub keys: PathBuf,
    /// Bounds.
    #[serde(default)]
    pub limits: CounterLimits,
}

/// Bounds of the counter service.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(deny_unknown_fields, default)]
pub struct CounterLimits {
    /// Connections at once.
    pub connections: usize,
    /// Calls that wait in all.
    pub queue: usize,
    /// Calls of one gateway that wait.
    pub each: usize,
    /// Calls of one group: one write, one sync.
    pub batch: usize,
    /// A delay in the queue that stands over this lets fewer calls in, milliseconds.
    pub target_ms: u64,
    /// Names kept.
    pub names: usize,
    /// A frame that has begun must be whole after this, a new connection must say who it is, milliseconds.
    pub frame_ms: u64,
    /// An identity is free again when its process was not heard for this long, milliseconds.
    pub lease_ms: u64,
    /// A file of the log over this is closed, bytes.
    pub segment_bytes: u64,
    /// A snapshot is taken after so many bytes of log.
    pub snapshot_bytes: u64,
    /// Files of the log are kept behind snapshots, for an audit; they are never removed.
    pub keep_log: bool,
    /// After SIGTERM what waits is answered within this, milliseconds.
    pub drain_ms: u64,
}

impl Default for CounterLimits {
    fn default() -> Self {
        CounterLimits {
            connections: 2_000,
            queue: 8_192,
            each: 512,
            batch: 1_024,
            target_ms: 10,
            names: 1_000_000,
            frame_ms: 2_000,
            lease_ms: 3_000,
            segment_bytes: 8 << 20,
            snapshot_bytes: 32 << 20,
            keep_log: false,
            drain_ms: 5_000,
        }
    }
}

/// A checked file.
#[derive(Clone, Debug)]
pub struct CounterLoaded {
    /// The file, its folders as they are from here.
    pub file: CounterFile,
    /// Each gateway's secrets, the first one first.
    pub keys: BTreeMap<u16, Vec<Secret>>,
}

/// Reads, evaluates and checks a counter's settings file.
///
/// # Errors
/// Everything that is wrong with it.
pub fn load_counter(path: &Path) -> Result<CounterLoaded, Faults> {
    let evaluated = evaluate(path)?;
    let mut file: CounterFile = serde_path_to_error::deserialize(&evaluated.value)
        .map_err(|e| Faults(vec![Fault { path: e.path().to_string(), reason: e.inner().to_string() }]))?;
    let folder = path.parent().unwrap_or(Path::new("."));
    (file.data, file.keys) = (folder.join(&file.data), folder.join(&file.keys));
    let mut c = Checks(vec![]);
    c.that(file.admin.ip().is_loopback(), "admin", "is not a loopback address");
    c.that(file.admin != file.listen, "admin", "is the gateways' address");
    let l = &file.limits;
    let sizes = [("connections", l.connections), ("queue", l.queue), ("each", l.each), ("batch", l.batch)];
    for (name, value) in sizes.into_iter().chain([("names", l.names)]) {
        c.that(value > 0, format!("limits.{name}"), "is zero");
    }
    for (name, value) in [
        ("target_ms", l.target_ms),
        ("frame_ms", l.frame_ms),
        ("lease_ms", l.lease_ms),
        ("segment_bytes", l.segment_bytes),
        ("snapshot_bytes", l.snapshot_bytes),
        ("drain_ms", l.drain_ms),
    ] {
        c.that(value > 0, format!("limits.{name}"), "is zero");
    }
    let keys = keys(&mut c, &file.keys);
    c.that(!keys.is_empty(), "keys", format!("{}: holds no NUMBER.key", file.keys.display()));
    if c.0.is_empty() {
        Ok(CounterLoaded { file, keys })
    } else {
        Err(Faults(c.0))
    }
}

fn keys(c: &mut Checks, folder: &Path) -> BTreeMap<u16, Vec<Secret>> {
    let mut keys = BTreeMap::new();
    let entries = match std::fs::read_dir(folder) {
        Ok(entries) => entries,
        Err(e) => {
            c.that(false, "keys", format!("{}: {e}", folder.display()));
            return keys;
        }
    };
    for path in entries.filter_map(Result::ok).map(|e| e.path()) {
        if path.extension().is_none_or(|e| e != "key") {
            continue;
        }
        let number = path.file_stem().and_then(|s| s.to_str()).and_then(|s| s.parse::<u16>().ok());
        let Some(number) = number else {
            c.that(false, "keys", format!("{}: is not named after a gateway's number", path.display()));
            continue;
        };
        match Secret::read(&path) {
            Ok(secret) => {
                let lines = secret.lines();
                c.that(lines.len() <= 2, "keys", format!("{}: has more than two lines", path.display()));
                keys.insert(number, lines);
            }
            Err(reason) => c.that(false, "keys", reason),
        }
    }
    keys
}
