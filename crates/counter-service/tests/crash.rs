//! Fault injection on the write-ahead log: power is lost in the middle of every kind of write, sync, rename and removal,
//! syncs fail, the disk is full. After each fault every acknowledged add must be counted exactly once, and nothing else.

mod common;

use common::{InjectedBugs, Workload};
use frostgauge_storage::sim::FaultPlan;
use std::collections::BTreeSet;

/// Number of fault points to reach. An injected bug is found within the first hundred.
const FAULT_POINTS: u64 = 12_000;
const STEPS_PER_RUN: usize = 40;

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum FaultKind {
    PowerLoss,
    /// A sync fails, and the process ends. `then_power_loss`: power is lost after the recovery.
    FailedSync {
        then_power_loss: bool,
    },
    DiskFull,
}

/// Seed, run, kind of fault, and number of the disk call at which it happens.
type FaultPoint = (u64, u8, FaultKind, u64);

/// Runs the workload of a seed twice on the same disk, with one fault in each run and a recovery after it. Adds the
/// faults that were reached to `points`.
fn run_with_faults(seed: u64, bugs: InjectedBugs, points: &mut BTreeSet<FaultPoint>) -> Result<(), String> {
    let mut workload = Workload::new(seed, bugs);
    for run in 0..2u8 {
        let kind = match (seed / 3 + u64::from(run)) % 4 {
            0 | 1 => FaultKind::PowerLoss,
            2 => FaultKind::FailedSync { then_power_loss: seed.is_multiple_of(2) },
            _ => FaultKind::DiskFull,
        };
        let call = 1 + (seed * 7919 + u64::from(run) * 104_729) % 160;
        let plan = match kind {
            FaultKind::PowerLoss => FaultPlan { crash_at_call: call, ..FaultPlan::default() },
            FaultKind::FailedSync { .. } => FaultPlan { failed_sync_at_call: call, ..FaultPlan::default() },
            FaultKind::DiskFull => {
                FaultPlan { full_from_call: call, full_for_calls: 1 + seed % 30, ..FaultPlan::default() }
            }
        };
        workload.plan(plan);
        for _ in 0..STEPS_PER_RUN {
            if !workload.step()? {
                break;
            }
        }
        if workload.disk().mutating_calls() >= call {
            points.insert((seed, run, kind, call));
        }
        let mut disk = workload.take_disk();
        match kind {
            // The process ends after a failed sync, but the machine and its page cache may stay up.
            FaultKind::FailedSync { then_power_loss } => {
                disk.reopen();
                workload.recover(disk)?;
                if then_power_loss {
                    let mut disk = workload.take_disk();
                    disk.restart();
                    workload.recover(disk)?;
                }
            }
            FaultKind::PowerLoss | FaultKind::DiskFull => {
                disk.restart();
                workload.recover(disk)?;
            }
        }
    }
    Ok(())
}

#[test]
fn acknowledged_adds_are_counted_once_after_any_fault() {
    let mut points = BTreeSet::new();
    let mut seed = 0;
    while (points.len() as u64) < FAULT_POINTS {
        seed += 1;
        assert!(
            seed < FAULT_POINTS * 2,
            "only {} fault points were reached with {seed} seeds, expected {FAULT_POINTS}",
            points.len()
        );
        if let Err(failure) = run_with_faults(seed, InjectedBugs::default(), &mut points) {
            panic!("seed {seed}: {failure}");
        }
    }
    let kinds: BTreeSet<FaultKind> = points.iter().map(|(_, _, kind, _)| *kind).collect();
    assert_eq!(kinds.len(), 4, "only these kinds of faults were reached: {kinds:?}");
}

#[test]
fn injected_bugs_are_found() {
    let first_failure =
        |bugs| (1..400).find_map(|seed| run_with_faults(seed, bugs, &mut BTreeSet::new()).err());
    let lost_adds = first_failure(InjectedBugs { ignored_syncs: true, ..InjectedBugs::default() });
    assert!(lost_adds.is_some(), "acknowledging adds before the sync was not found");
    let doubled_adds =
        first_failure(InjectedBugs { snapshots_without_sessions: true, ..InjectedBugs::default() });
    assert!(doubled_adds.is_some(), "snapshots without gateway sessions were not found");
}
