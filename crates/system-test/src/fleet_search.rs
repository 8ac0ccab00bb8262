//! Schedules of faults over the fleet in memory, drawn from seeds in a row, on as many threads as there are cores.

use frostgauge_fleet_simulator::fault_search::{
    draw_schedule, run_schedule, shrink, summarize, RunReport, Schedule,
};
use frostgauge_fleet_simulator::{InjectedBug, SimulationConfig};
use serde_json::Value;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Mutex;

/// Broken schedules told, most.
const TOLD: usize = 5;

/// The faults that can be planted, a line for `--help`.
pub fn plants() -> String {
    let names: Vec<&str> = InjectedBug::ALL.iter().map(|(name, _)| *name).collect();
    format!("plants: {}", names.join(", "))
}

/// Plays schedules; the figures, and whether all was kept.
///
/// # Errors
/// There is no such plant, or a run panicked: its seed.
pub fn search(
    schedules: u64,
    gateways: u16,
    seed: u64,
    plant: Option<&str>,
) -> Result<(Value, bool), String> {
    let plant = match plant {
        Some(name) => match InjectedBug::ALL.iter().find(|(known, _)| *known == name) {
            Some((_, plant)) => Some(*plant),
            None => return Err(format!("--plant {name}: is none of the {}", plants())),
        },
        None => None,
    };
    let (next, all, failed) = (AtomicU64::new(0), Mutex::new(vec![]), Mutex::new(None));
    let threads = std::thread::available_parallelism().map_or(1, usize::from);
    std::thread::scope(|scope| {
        let work = || loop {
            let k = next.fetch_add(1, Ordering::Relaxed);
            if k >= schedules {
                return;
            }
            let schedule = draw_schedule(seed + k, gateways);
            match std::panic::catch_unwind(|| run_schedule(&schedule, plant)) {
                Ok(outcomes) => all.lock().map(|mut all| all.push((schedule, outcomes))).unwrap_or(()),
                Err(_) => failed.lock().map(|mut f| *f = Some(seed + k)).unwrap_or(()),
            }
        };
        (0..threads).for_each(|_| drop(scope.spawn(work)));
    });
    if let Some(seed) = failed.into_inner().map_err(|e| e.to_string())? {
        return Err(format!("the run of seed {seed} panicked"));
    }
    let mut all: Vec<(Schedule, RunReport)> = all.into_inner().map_err(|e| e.to_string())?;
    all.sort_by_key(|(schedule, _)| schedule.seed);
    let mut broken: Vec<&(Schedule, RunReport)> = all.iter().filter(|(_, o)| !o.passed()).collect();
    // The longest contradictions first, then the shortest schedules.
    broken.sort_by_key(|(schedule, o)| (std::cmp::Reverse(o.worst), schedule.faults.len()));
    for (schedule, outcomes) in broken.iter().take(TOLD) {
        let short = shrink(schedule, |s| !run_schedule(s, plant).passed());
        eprintln!("seed {}, made short: {:?}", schedule.seed, short.faults);
        for fault in outcomes.faults.iter().take(3) {
            eprintln!("    {fault}");
        }
    }
    let within = SimulationConfig::fleet(gateways, 3).settings.within_ms;
    Ok(summarize(gateways, seed, within, &all))
}
