//! The counter's log against what its callers were told: each add once, each total exact.

use frostgauge_counter_core::{sub_units, Operation};
use frostgauge_counter_service::write_ahead_log::tools;
use serde_json::Value;
use std::collections::BTreeMap;
use std::path::Path;

/// What a caller was told of a call.
#[derive(Clone, Copy, Debug)]
pub struct Told {
    /// The caller.
    pub gateway: u16,
    /// Its epoch when it was last sent; 0: never.
    pub epoch: u64,
    /// Its sequence.
    pub seq: u64,
    /// The number's name.
    pub counter: u64,
    /// Sub-units.
    pub amount: i64,
    /// The total, in sub-units.
    pub total: Option<i64>,
    /// It may have been added.
    pub unsure: bool,
}

/// What a gateway's log tells of its calls: those of all its processes.
pub fn from_log(log: &Path, gateway: u16) -> Vec<Told> {
    let text = std::fs::read_to_string(log).unwrap_or_default();
    let rows = text.lines().filter(|l| l.contains("frostgauge_counter_calls"));
    let rows = rows.filter_map(|line| {
        let row: Value = serde_json::from_str(line).ok()?;
        let refused = row["refused"].as_bool()?;
        Some(Told {
            gateway,
            epoch: row["epoch"].as_u64()?,
            seq: row["seq"].as_u64()?,
            counter: u64::from_str_radix(row["counter"].as_str()?, 16).ok()?,
            amount: row["amount"].as_i64()?,
            total: if refused { None } else { sub_units(row["total"].as_f64()?) },
            unsure: row["unsure"].as_bool()?,
        })
    });
    rows.collect()
}

/// A record as it matters here: amount, total, name.
type Counted = (i64, i64, Vec<u8>);

/// A service's files after its end, read.
#[derive(Debug)]
pub struct Files {
    counted: BTreeMap<(u16, u64, u64), Counted>,
    totals: BTreeMap<Vec<u8>, i64>,
    found: Vec<String>,
}

impl Files {
    /// Reads a folder whose log was kept whole, and counts its records anew.
    ///
    /// # Errors
    /// What the files themselves are refused for.
    pub fn read(folder: &Path) -> Result<Files, String> {
        let (mut counted, mut found) = (BTreeMap::new(), vec![]);
        // A count of its own, apart from the service's: sums by name, from each name's last beginning.
        let mut sums: BTreeMap<Vec<u8>, (i64, u64)> = BTreeMap::new();
        tools::dump(folder, |record| {
            let Operation::Add { gateway, epoch, seq, amount, ttl_ms, name } = &record.operation else {
                return;
            };
            let life = u64::from(*ttl_ms);
            let sum = sums.entry(name.clone()).or_insert((0, record.time_ms + life));
            if sum.1 <= record.time_ms {
                *sum = (0, record.time_ms + life);
            }
            sum.0 += amount;
            if sum.0 != record.result {
                found.push(format!("record {}: total {}, the sum is {}", record.index, record.result, sum.0));
            }
            let entry = (*amount, record.result, name.clone());
            if counted.insert((*gateway, *epoch, *seq), entry).is_some() {
                found.push(format!("gateway {gateway}, epoch {epoch}: {seq} was counted twice"));
            }
        })?;
        let totals = tools::replay(folder)?;
        let totals = totals.counters().map(|(name, number)| (name.to_vec(), number.total)).collect();
        Ok(Files { counted, totals, found })
    }

    /// Adds counted.
    pub fn len(&self) -> usize {
        self.counted.len()
    }

    /// Whether there are none.
    pub fn is_empty(&self) -> bool {
        self.counted.is_empty()
    }
}

/// Every violation: an add told as counted that is not there, or with another total; one told as refused that
/// is; one counted twice; for `exact` callers, totals that differ from their own tally.
pub fn check(files: &[Files], told: &[Told], exact: impl Fn(u16) -> bool) -> Vec<String> {
    let mut found: Vec<String> = files.iter().flat_map(|f| f.found.clone()).collect();
    let (mut tally, mut names): (BTreeMap<Vec<u8>, i64>, Vec<Vec<u8>>) = (BTreeMap::new(), vec![]);
    for t in told.iter().filter(|t| t.seq > 0) {
        let (key, name) = ((t.gateway, t.epoch, t.seq), format!("{:016x}", t.counter).into_bytes());
        let counted: Vec<&Counted> = files.iter().filter_map(|f| f.counted.get(&key)).collect();
        let here = counted.iter().find(|(amount, _, n)| *amount == t.amount && *n == name);
        let what = format!("gateway {}, epoch {}, call {}", t.gateway, t.epoch, t.seq);
        match (t.total, here) {
            (Some(_), None) => found.push(format!("{what}: told as counted, and is not")),
            (Some(total), Some((_, gave, _))) if total != *gave => {
                found.push(format!("{what}: told {total}, the log has {gave}"));
            }
            (None, Some(_)) if !t.unsure => found.push(format!("{what}: told as refused, and was counted")),
            _ => {}
        }
        if exact(t.gateway) {
            names.push(name.clone());
            // What they are not sure of counts if the log has it.
            *tally.entry(name).or_default() += if t.total.is_some() || here.is_some() { t.amount } else { 0 };
        }
    }
    for (name, sum) in tally {
        let total: i64 = files.iter().filter_map(|f| f.totals.get(&name)).sum();
        if total != sum {
            let name = String::from_utf8_lossy(&name).into_owned();
            found.push(format!("{name}: replayed {total}, the callers' own tally is {sum}"));
        }
    }
    found
}
