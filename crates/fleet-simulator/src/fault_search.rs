//! Faults drawn by the thousand, played in virtual time, and what is found made short.

use crate::config::SimulationConfig;
use crate::injected_bug::InjectedBug;
use crate::network::LinkConditions;
use crate::simulation::{Simulation, SECOND};
use frostgauge_consensus::{GatewayId, Message, Micros, Outcome, Rules, ServerState, VersionNumber};
use rand::seq::IndexedRandom;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde_json::{json, Value};
use std::collections::BTreeSet;

/// One thing that goes wrong, or is done; times in seconds.
#[derive(Clone, Debug, PartialEq)]
pub enum Fault {
    /// Stopped for a time.
    Pause(GatewayId, f64),
    /// Killed, and started after a time; with power, unsynced bytes are lost.
    Kill(GatewayId, f64, bool),
    /// Killed, its disk emptied, and started after a time.
    LoseDisk(GatewayId, f64),
    /// Nothing between two groups for a time, both ways.
    Split(Vec<GatewayId>, f64),
    /// Nothing from one to the other for a time.
    OneWay(GatewayId, GatewayId, f64),
    /// A link that comes and goes.
    Flap(GatewayId, GatewayId, f64),
    /// Links lose and double so many in a thousand, and take up to so many milliseconds, for a time.
    Weather(u32, u32, u64, f64),
    /// Messages to a gateway take so many milliseconds longer, for a time.
    Slow(GatewayId, u64, f64),
    /// Requests take long from the look to the send.
    Dawdle(GatewayId, f64),
    /// New rules, by the number of a change.
    Publish(GatewayId, u8),
    /// The latest version is taken back.
    Withdraw(GatewayId),
    /// A server drains for a time, and the record says so.
    Drain(u16, f64),
    /// All processes are killed and started at once.
    Restart,
    /// All keepers are killed, and started after a time.
    Keepers(f64),
    /// A gateway fails under the next version.
    Sick(GatewayId),
    /// Told to end, and after a time ended, and started.
    Leave(GatewayId, f64),
    /// Servers hold half as many connections as before, or twice as many, by a new version.
    Budget(GatewayId, bool),
}

/// A run of faults.
#[derive(Clone, Debug, PartialEq)]
pub struct Schedule {
    /// Of the fleet's own draws.
    pub seed: u64,
    /// Gateways.
    pub gateways: u16,
    /// Keepers.
    pub keepers: u16,
    /// Connections that each server holds; none: no budget.
    pub connections: Option<u32>,
    /// What, and when it begins, seconds from the start.
    pub faults: Vec<(f64, Fault)>,
}

/// How long faults begin, seconds.
const LENGTH: f64 = 20.0;
/// How long a fleet has to come to rest after the last fault is over, seconds.
const REST: f64 = 30.0;

/// Draws a run.
pub fn draw_schedule(seed: u64, gateways: u16) -> Schedule {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let keepers = if gateways < 5 { 3 } else { *[3, 3, 5].choose(&mut rng).unwrap_or(&3) };
    let mut faults = vec![];
    // Something must be agreed on for anything to go wrong with it.
    let mut published = vec![];
    for _ in 0..rng.random_range(1..=4) {
        let (by, at) = (rng.random_range(1..=gateways), rng.random_range(0.0..LENGTH));
        faults.push((at, Fault::Publish(by, rng.random_range(0..6))));
        published.push(at);
    }
    for _ in 0..rng.random_range(1..=8) {
        let any = rng.random_range(1..=gateways);
        let keeper = rng.random_range(1..=keepers);
        let one = if rng.random() { keeper } else { any };
        let time = rng.random_range(0.2..8.0);
        let fault = match rng.random_range(0..15) {
            0 | 1 => Fault::Pause(one, time),
            2 | 3 => Fault::Kill(one, rng.random_range(0.05..4.0), rng.random()),
            4 => Fault::LoseDisk(keeper, rng.random_range(0.05..3.0)),
            5 | 6 => {
                let some = (1..=gateways).filter(|_| rng.random()).collect();
                Fault::Split(some, time)
            }
            7 => Fault::Split(vec![one], time),
            8 => Fault::OneWay(one, rng.random_range(1..=keepers), time),
            9 => Fault::OneWay(rng.random_range(1..=keepers), one, time),
            10 => Fault::Flap(one, rng.random_range(1..=keepers), time),
            11 => Fault::Weather(
                rng.random_range(0..300),
                rng.random_range(0..200),
                rng.random_range(5..400),
                time,
            ),
            12 => match rng.random_range(0..4) {
                0 => Fault::Withdraw(any),
                1 => Fault::Sick(any),
                2 => Fault::Keepers(rng.random_range(0.02..1.0)),
                _ => Fault::Restart,
            },
            13 => Fault::Drain(rng.random_range(1..=4), time),
            _ => Fault::Dawdle(any, rng.random_range(0.01..0.2)),
        };
        // Half of them come close to a version: what is being agreed on is what can go wrong.
        let at = match published.choose(&mut rng).filter(|_| rng.random()) {
            Some(at) => (at + rng.random_range(-1.5..1.5)).max(0.0),
            None => rng.random_range(0.0..LENGTH),
        };
        faults.push((at, fault));
    }
    if rng.random_range(0..6) == 0 {
        // Who is cut off keeps its lease; keepers that start have forgotten it; and a version comes just then.
        let (at, one) = (rng.random_range(0.0..LENGTH), rng.random_range(1..=gateways));
        faults.push((at, Fault::Split(vec![one], rng.random_range(1.0..6.0))));
        faults.push((at + rng.random_range(0.0..0.3), Fault::Keepers(rng.random_range(0.02..0.2))));
        faults.push((at + rng.random_range(0.2..0.8), Fault::Publish(1, rng.random_range(0..6))));
    }
    if rng.random_range(0..6) == 0 {
        // Its answers are on their way for long, and then none come any more.
        let (at, one) = (rng.random_range(1.0..LENGTH), rng.random_range(keepers..=gateways));
        faults.push((at, Fault::Slow(one, rng.random_range(200..900), 6.0)));
        faults.push((at + 1.5, Fault::Split(vec![one], rng.random_range(2.0..6.0))));
        faults.push((at + rng.random_range(1.3..2.5), Fault::Publish(1, rng.random_range(0..6))));
    }
    // Few connections, or half of what all would have use for.
    let connections = rng.random::<bool>().then(|| u32::from(gateways) / rng.random_range(1..=4) + 3);
    if connections.is_some() && rng.random_range(0..3) == 0 {
        let (at, by) = (rng.random_range(0.0..LENGTH), rng.random_range(1..=gateways));
        faults.push((at, Fault::Budget(by, rng.random())));
    }
    if connections.is_some() {
        for _ in 0..rng.random_range(0..3) {
            let (at, who) = (rng.random_range(0.0..LENGTH), rng.random_range(1..=gateways));
            faults.push((at, Fault::Leave(who, rng.random_range(0.05..3.0))));
        }
    }
    faults.sort_by(|a, b| a.0.total_cmp(&b.0));
    Schedule { seed, gateways, keepers, connections, faults }
}

/// What a run came to.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RunReport {
    /// The worst contradiction, microseconds.
    pub worst: Micros,
    /// The worst by a gateway with a lease, microseconds: the way leases are given allows none.
    pub worst_leased: Micros,
    /// What was wrong, in words.
    pub faults: Vec<String>,
    /// Versions that editors were told.
    pub versions: usize,
    /// Of them, missing at some keeper at the end.
    pub lost: usize,
    /// Connections over a server's budget, at the worst instant.
    pub over: u32,
    /// Connections opened, requests that went by one open already, requests that found no slot.
    pub connections: (u64, u64, u64),
    /// Requests that servers got.
    pub acts: u64,
    /// Of them, on ground.
    pub on_ground: u64,
    /// Seconds from the last fault's end to rest; none: it never came.
    pub rest: Option<f64>,
    /// From publishing to the first act under a version, microseconds, each.
    pub took: Vec<Micros>,
}

impl RunReport {
    /// Whether all was kept.
    pub fn passed(&self) -> bool {
        self.faults.is_empty() && self.lost == 0 && self.worst_leased == 0 && self.over == 0
    }
}

/// A change of the rules, by number: all of them contradict the version before.
fn change(rules: &mut Rules, which: u8) {
    let halve = |rules: &mut Rules, plan: &str, up: bool| {
        if let Some(plan) = rules.plans.get_mut(plan) {
            let by = |x: u64| if up { x * 5 / 4 } else { x * 4 / 5 };
            (plan.rate_milli, plan.ceiling_milli) = (by(plan.rate_milli), plan.ceiling_milli.map(by));
        }
    };
    match which {
        0 => halve(rules, "small", false),
        1 => halve(rules, "small", true),
        2 => halve(rules, "large", false),
        3 => {
            let report = rules.classes.get_mut("report");
            report.into_iter().for_each(|c| c.cost_milli += 100);
        }
        4 => {
            let norte = rules.tenants.get_mut("norte");
            norte.into_iter().for_each(|t| {
                if !t.classes.remove("extra") {
                    t.classes.insert("extra".to_owned());
                }
            });
            rules.classes.entry("extra".to_owned()).or_insert(frostgauge_consensus::Class {
                cost_milli: 500,
                repeatable: true,
                on_fallback: false,
            });
        }
        _ => {
            let sul = rules.tenants.get_mut("sul");
            sul.into_iter()
                .for_each(|t| t.plan = if t.plan == "small" { "large" } else { "small" }.to_owned());
        }
    }
}

/// Plays a run.
pub fn run_schedule(schedule: &Schedule, injected_bug: Option<InjectedBug>) -> RunReport {
    let mut given = SimulationConfig::fleet(schedule.gateways, schedule.keepers);
    (given.seed, given.injected_bug, given.connections) = (schedule.seed, injected_bug, schedule.connections);
    let mut simulation = Simulation::new(given);
    simulation.run(3 * SECOND);
    let begin = simulation.now();
    // What is to be done, by time; what undoes a fault comes after it.
    let mut steps: Vec<(Micros, usize, bool)> = vec![];
    for (k, (at, fault)) in schedule.faults.iter().enumerate() {
        let at = begin + (at * SECOND as f64) as Micros;
        steps.push((at, k, false));
        let long = match fault {
            Fault::Pause(_, t)
            | Fault::Kill(_, t, _)
            | Fault::LoseDisk(_, t)
            | Fault::Split(_, t)
            | Fault::OneWay(_, _, t)
            | Fault::Weather(_, _, _, t)
            | Fault::Drain(_, t)
            | Fault::Keepers(t)
            | Fault::Leave(_, t)
            | Fault::Slow(_, _, t)
            | Fault::Flap(_, _, t) => *t,
            _ => 0.0,
        };
        if let Fault::Flap(_, _, t) = fault {
            let half = (t * SECOND as f64 / 6.0) as Micros;
            steps.extend((1..6).map(|n| (at + n * half, k, n % 2 == 1)));
        }
        steps.push((at + (long * SECOND as f64) as Micros, k, true));
    }
    steps.sort_unstable();
    let mut outcomes = RunReport::default();
    let mut asked: Vec<(GatewayId, u64)> = vec![];
    let mut published: Vec<(u64, Micros)> = vec![];
    for (at, k, over) in steps {
        simulation.run(at.saturating_sub(simulation.now()));
        let (_, fault) = &schedule.faults[k];
        step(&mut simulation, fault, over, &mut asked, &mut published);
    }
    simulation.restore_all_links();
    simulation.set_link_conditions(LinkConditions::good());
    let ended = simulation.now();
    while simulation.now() < ended + (REST * SECOND as f64) as Micros {
        simulation.run(SECOND / 4);
        // Editors that heard nothing say it again, with the same number.
        for (by, id) in
            asked.iter().filter(|(_, id)| simulation.outcome(*id).is_none()).copied().collect::<Vec<_>>()
        {
            simulation.resend(by, id);
        }
        if simulation.converged().is_ok() {
            outcomes.rest = Some((simulation.now() - ended) as f64 / SECOND as f64);
            break;
        }
    }
    if let Err(why) = simulation.converged() {
        outcomes.faults.push(format!("not at rest {REST} s after the last fault: {why}"));
    }
    let checks = simulation.invariants();
    (outcomes.worst, outcomes.worst_leased) = (checks.worst_contradiction(), checks.worst_leased());
    outcomes.faults.extend(checks.violations().iter().cloned());
    outcomes.versions = checks.acknowledged_versions().len();
    outcomes.lost =
        simulation.initial_voters().into_iter().map(|k| checks.versions_lost_at(k)).max().unwrap_or(0);
    (outcomes.over, outcomes.connections) = (simulation.worst_over_budget(), simulation.connection_counts());
    let checks = simulation.invariants();
    (outcomes.acts, outcomes.on_ground) = (checks.requests(), checks.requests_on_fallback());
    for (id, at) in published {
        if let Some(Outcome::Numbered(n)) = simulation.outcome(id) {
            outcomes.took.extend(checks.first_request_under(*n).map(|first| first.saturating_sub(at)));
        }
    }
    outcomes
}

fn step(
    simulation: &mut Simulation,
    fault: &Fault,
    over: bool,
    asked: &mut Vec<(GatewayId, u64)>,
    published: &mut Vec<(u64, Micros)>,
) {
    let cut = |simulation: &mut Simulation, a: GatewayId, b: GatewayId| {
        if over {
            simulation.restore_link(a, b)
        } else {
            simulation.cut_link(a, b)
        }
    };
    match fault {
        Fault::Leave(who, _) if over => {
            simulation.kill(*who, false);
            simulation.start(*who);
        }
        Fault::Leave(who, _) => simulation.start_leaving(*who),
        Fault::Pause(who, _) if over => simulation.resume(*who),
        Fault::Pause(who, _) => simulation.pause(*who),
        Fault::Kill(who, _, _) | Fault::LoseDisk(who, _) if over => simulation.start(*who),
        Fault::Kill(who, _, power) => simulation.kill(*who, *power),
        Fault::LoseDisk(who, _) => {
            // One at a time: with two of three gone at once there is nobody to ask.
            let whole = simulation.initial_voters().iter().all(|k| {
                simulation
                    .process(*k)
                    .and_then(|p| p.replica())
                    .is_some_and(frostgauge_consensus::Replica::is_voter)
            });
            simulation.kill(*who, true);
            if whole {
                simulation.lose_disk(*who);
            }
        }
        Fault::Split(some, _) => {
            let some: BTreeSet<GatewayId> = some.iter().copied().collect();
            let others: Vec<GatewayId> = simulation.gateways().filter(|g| !some.contains(g)).collect();
            for a in &some {
                for b in &others {
                    cut(simulation, *a, *b);
                    cut(simulation, *b, *a);
                }
            }
        }
        Fault::OneWay(a, b, _) | Fault::Flap(a, b, _) => cut(simulation, *a, *b),
        Fault::Slow(who, ms, _) => simulation.set_extra_delay(*who, if over { 0 } else { ms * 1_000 }),
        Fault::Weather(loss, doubled, ms, _) => {
            let bad = LinkConditions { loss: *loss, doubled: *doubled, delay: (500, ms * 1_000) };
            simulation.set_link_conditions(if over { LinkConditions::good() } else { bad });
        }
        _ if over && !matches!(fault, Fault::Drain(..) | Fault::Keepers(_)) => {}
        Fault::Dawdle(who, time) => simulation.set_send_delay(*who, (time * SECOND as f64) as Micros),
        Fault::Publish(by, which) => {
            let (base, mut rules) = simulation.latest();
            change(&mut rules, *which);
            let id = simulation.publish(*by, base, rules);
            asked.push((*by, id));
            published.push((id, simulation.now()));
        }
        Fault::Withdraw(by) => {
            let (version, _) = simulation.latest();
            simulation.broadcast(*by, Message::Withdraw { version, reason: "an operator's word".to_owned() });
        }
        Fault::Drain(server, _) => {
            let name = format!("s{server}");
            simulation.drain(&name, !over);
            let (base, mut rules) = simulation.latest();
            let state = if over { ServerState::Ready } else { ServerState::Draining };
            rules.servers.get_mut(&name).into_iter().for_each(|s| s.state = state);
            let id = simulation.publish(1, base, rules);
            asked.push((1, id));
        }
        Fault::Keepers(_) => {
            let keepers = simulation.initial_voters();
            keepers
                .into_iter()
                .for_each(|k| if over { simulation.start(k) } else { simulation.kill(k, false) });
        }
        Fault::Restart => {
            let all: Vec<GatewayId> = simulation.gateways().collect();
            all.iter().for_each(|g| simulation.kill(*g, false));
            all.iter().for_each(|g| simulation.start(*g));
        }
        Fault::Budget(by, halved) => {
            let (base, mut rules) = simulation.latest();
            for budget in rules.budgets.budgets.values_mut() {
                budget.connections =
                    if *halved { budget.connections.div_ceil(2) } else { budget.connections * 2 };
            }
            // Floors go with it: they must fit.
            let by_two = |n: u32| if *halved { n / 2 } else { n * 2 };
            for set in rules.budgets.rules.iter_mut().map(|r| &mut r.overrides) {
                (set.floor, set.fallback) = (set.floor.map(by_two), set.fallback.map(by_two));
                set.fallback = set.fallback.map(|n| n.min(set.floor.unwrap_or(0) / 2));
                set.loan = set.loan.map(|l| frostgauge_connection_budget::Loan {
                    max_connections: by_two(l.max_connections).min(set.floor.unwrap_or(0) / 4),
                    ..l
                });
            }
            let id = simulation.publish(*by, base, rules);
            asked.push((*by, id));
            published.push((id, simulation.now()));
        }
        Fault::Sick(who) => {
            let next: VersionNumber = simulation.latest().0 + 1;
            simulation.fail_under(*who, next);
        }
    }
}

/// Takes faults away for as long as what is left still fails: the shortest run found.
pub fn shrink(schedule: &Schedule, fails: impl Fn(&Schedule) -> bool) -> Schedule {
    let mut best = schedule.clone();
    let mut k = 0;
    while k < best.faults.len() {
        let mut less = best.clone();
        less.faults.remove(k);
        if fails(&less) {
            best = less;
        } else {
            k += 1;
        }
    }
    best
}

/// Figures of many runs, and whether all was kept.
pub fn summarize(gateways: u16, seed: u64, within_ms: u64, all: &[(Schedule, RunReport)]) -> (Value, bool) {
    let kept = all.iter().all(|(_, o)| o.passed());
    let mut took: Vec<Micros> = all.iter().flat_map(|(_, o)| o.took.iter().copied()).collect();
    took.sort_unstable();
    let mut worst: Vec<Micros> = all.iter().map(|(_, o)| o.worst).collect();
    worst.sort_unstable();
    let part = |sorted: &[Micros], p: usize| {
        sorted.get((sorted.len().saturating_sub(1)) * p / 100).map_or(0.0, |m| *m as f64 / 1_000.0)
    };
    let (acts, ground): (u64, u64) =
        (all.iter().map(|(_, o)| o.acts).sum(), all.iter().map(|(_, o)| o.on_ground).sum());
    let rests = all.iter().filter_map(|(_, o)| o.rest);
    let value = json!({
        "verdict": if kept { "kept" } else { "broken" },
        "schedules": all.len(), "gateways": gateways, "first_seed": seed,
        "worst_contradiction_ms": part(&worst, 100),
        "worst_under_a_lease_ms": all.iter().map(|(_, o)| o.worst_leased).max().unwrap_or(0) as f64 / 1_000.0, "p99_contradiction_ms": part(&worst, 99),
        "runs_with_any": worst.iter().filter(|w| **w > 0).count(), "within_ms": within_ms,
        "versions": all.iter().map(|(_, o)| o.versions).sum::<usize>(),
        "connections_over_budget": all.iter().map(|(_, o)| o.over).max().unwrap_or(0),
        "runs_with_budgets": all.iter().filter(|(s, _)| s.connections.is_some()).count(),
        "connections": {
            "opened": all.iter().map(|(_, o)| o.connections.0).sum::<u64>(),
            "used_again": all.iter().map(|(_, o)| o.connections.1).sum::<u64>(),
            "no_slot": all.iter().map(|(_, o)| o.connections.2).sum::<u64>(),
        },
        "versions_lost": all.iter().map(|(_, o)| o.lost).sum::<usize>(),
        "runs_broken": all.iter().filter(|(_, o)| !o.passed()).count(),
        "acts": acts, "acts_on_ground": ground,
        "to_first_act_ms": {"p50": part(&took, 50), "p99": part(&took, 99), "max": part(&took, 100)},
        "to_rest_s_max": rests.fold(0.0, f64::max),
    });
    (value, kept)
}
