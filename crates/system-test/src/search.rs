//! Many days of faults in virtual time, drawn from seeds in a row; the worst of them are told.

use frostgauge_simulator::{run, Day, Outcome};
use serde_json::{json, Value};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Mutex;
use std::time::Instant;

/// Days of the search that did worst, most.
const TOLD: usize = 10;

/// Whether a day kept what must be kept.
fn kept(outcome: &Outcome) -> bool {
    let counted = outcome.counted.as_ref().map_or(0, |c| c.wrong);
    outcome.spill <= 1.0
        && outcome.fell == 0
        && outcome.answers_wrong == 0
        && outcome.away == 0
        && counted == 0
}

/// Plays `days` days from `seed` on, on as many threads as there are cores; with or without the decisions about
/// zones, and a counter with outages. The figures, and whether all was kept.
///
/// # Errors
/// A day that cannot be played.
pub fn search(
    days: u64,
    gateways: usize,
    seed: u64,
    zones: bool,
    counter: bool,
) -> Result<(Value, bool), String> {
    let (next, all, began) = (AtomicU64::new(0), Mutex::new(Vec::new()), Instant::now());
    let threads = std::thread::available_parallelism().map_or(1, usize::from);
    std::thread::scope(|scope| {
        let work = || loop {
            let k = next.fetch_add(1, Ordering::Relaxed);
            if k >= days {
                return;
            }
            let day = Day { zones, ..Day::draw(seed + k, gateways) };
            let day = if counter { day.counted() } else { day };
            let outcome = run(&day);
            if let Ok(mut all) = all.lock() {
                all.push((day, outcome));
            }
        };
        (0..threads).for_each(|_| drop(scope.spawn(work)));
    });
    let mut all = all.into_inner().map_err(|e| e.to_string())?;
    all.sort_by_key(|(day, _)| day.seed);
    let mut outcomes = vec![];
    for (day, outcome) in all {
        outcomes.push((day, outcome?));
    }
    let most = outcomes.iter().map(|(_, o)| o.spill).fold(0.0, f64::max);
    let sum = |f: fn(&Outcome) -> u64| outcomes.iter().map(|(_, o)| f(o)).sum::<u64>();
    let broken: Vec<&(Day, Outcome)> = outcomes.iter().filter(|(_, o)| !kept(o)).collect();
    for (day, outcome) in broken.iter().take(TOLD) {
        eprintln!("seed {}: {outcome:?}\n    {day:?}", day.seed);
    }
    let virtual_s: f64 = outcomes.iter().map(|(d, _)| (d.length + d.quiet) as f64 / 1e6).sum();
    let figures = json!({
        "days": outcomes.len(), "gateways": gateways, "zones": zones, "first_seed": seed,
        "asked": sum(|o| o.asked), "served": sum(|o| o.served), "refused_zone": sum(|o| o.refused_zone),
        "most_spill_of_limit": most,
        "days_over_limit": outcomes.iter().filter(|(_, o)| o.spill > 1.0).count(),
        "nodes_pushed_over_unknown": sum(|o| u64::from(o.fell_unknown)),
        "nodes_pushed_over": sum(|o| u64::from(o.fell)), "answers_wrong": sum(|o| o.answers_wrong),
        "counter": counter,
        "adds_counted": sum(|o| o.counted.as_ref().map_or(0, |c| c.adds)),
        "calls_unsure": sum(|o| o.counted.as_ref().map_or(0, |c| c.unsure)),
        "calls_told_wrongly": sum(|o| o.counted.as_ref().map_or(0, |c| c.wrong)),
        "zones_away": sum(|o| o.away), "days_broken": broken.len(),
        "virtual_s_per_s": virtual_s / began.elapsed().as_secs_f64(),
    });
    Ok((figures, broken.is_empty()))
}
