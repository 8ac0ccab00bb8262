//! One run of a scenario: start, play, end, check.

use crate::checks::{self, Recorded, Terms};
use crate::counter_audit::{self, Told};
use crate::event_log::EventLog;
use crate::fleet::Fleet;
use crate::fleet_rules::Accord;
use crate::quota;
use crate::report::Report;
use crate::rules_checks::{self, Terms as Agreement};
use crate::scenario::Scenario;
use crate::script::{self, Stage};
use async_executor::Executor;
use async_io::{Async, Timer};
use frostgauge_consensus::Rules;
use frostgauge_proto::counter::Key;
use frostgauge_test_servers::adders::{self, Adders};
use frostgauge_test_servers::backplane::Backplane;
use frostgauge_test_servers::ledger;
use frostgauge_test_servers::lossy::Lossy;
use frostgauge_test_servers::tablets::{Class, Insurer, Outcome, Tablets, Try};
use futures_lite::future;
use serde_json::{json, Value};
use std::collections::{BTreeMap, BTreeSet};
use std::net::{SocketAddr, TcpListener};
use std::path::Path;
use std::sync::Arc;
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

/// Threads of the rig itself: some wait for processes.
const THREADS: usize = 4;
/// How long clients may take to end after the last arrival, beyond any patience.
const TAIL: Duration = Duration::from_secs(15);
/// Grace of the drain rule, microseconds, as the users state it.
const DRAIN_GRACE: u64 = 500_000;

/// How a run is watched while it goes.
pub type Progress<'a> = &'a (dyn Fn(&str) + Sync);

/// A running installation, its clients left out.
pub struct Site {
    /// Its processes.
    pub fleet: Arc<Fleet>,
    /// The path to the counter.
    pub lossy: Arc<Lossy>,
    /// What the rig itself runs on.
    pub executor: Arc<Executor<'static>>,
    stop: Option<frostgauge_net::Hold>,
    threads: Vec<JoinHandle<()>>,
}

impl Site {
    /// Starts all processes and waits until they are ready; `program` plays the roles.
    ///
    /// # Errors
    /// What kept it from running.
    pub fn open(program: &Path, scenario: Scenario, dir: &Path, seed: u64) -> Result<Site, String> {
        let executor = Arc::new(Executor::new());
        let (stop, stopped) = frostgauge_net::Closing::new();
        let threads = (0..THREADS)
            .map(|_| {
                let (executor, stopped) = (executor.clone(), stopped.clone());
                std::thread::spawn(move || future::block_on(executor.run(stopped.wait())))
            })
            .collect();
        let listener = Async::<TcpListener>::bind(([127, 0, 0, 1], 0)).map_err(|e| e.to_string())?;
        let backplane: SocketAddr = listener.get_ref().local_addr().map_err(|e| e.to_string())?;
        let fleet = Arc::new(Fleet::start(program, scenario, dir, seed, backplane, &executor)?);
        let lossy = Arc::new(Lossy::default());
        if fleet.scenario.counter.is_some() {
            let path = frostgauge_net::listen(fleet.counter[2]).map_err(|e| e.to_string())?;
            let run = lossy.clone().run(path, executor.clone(), fleet.counter[0], seed);
            executor.spawn(run).detach();
        }
        let s = &fleet.scenario;
        let rates = fleet.insurers().iter().map(|i| (i.0.clone(), s.plans[&i.1].rate)).collect();
        let (period, late) =
            (Duration::from_millis(s.meter.period_ms), Duration::from_millis(s.meter.late_ms));
        let meter = Backplane::new(period, late, rates);
        executor.spawn(meter.run(listener, executor.clone())).detach();
        Ok(Site { fleet, lossy, executor, stop: Some(stop), threads })
    }
}

impl Drop for Site {
    fn drop(&mut self) {
        self.stop.take();
        for thread in self.threads.drain(..) {
            let _ = thread.join();
        }
    }
}

/// Runs a scenario in a folder that exists, this very program playing the roles.
///
/// # Errors
/// What kept it from running; broken rules are in the report.
pub fn run(scenario: Scenario, dir: &Path, seed: u64, progress: Progress<'_>) -> Result<Report, String> {
    let program = std::env::current_exe().map_err(|e| e.to_string())?;
    progress("starting the processes");
    let site = Site::open(&program, scenario, dir, seed)?;
    future::block_on(play(&site, dir, seed, progress))
}

/// The folder of a run: one that is kept, or a temporary one.
#[derive(Debug)]
pub struct Folder {
    path: std::path::PathBuf,
    keep: bool,
}

impl Folder {
    /// The named folder, empty or made now, or a temporary one that goes with the run.
    ///
    /// # Errors
    /// It cannot be made, or is not empty.
    pub fn new(named: Option<std::path::PathBuf>) -> Result<Folder, String> {
        let keep = named.is_some();
        let path = named.unwrap_or_else(|| {
            let name = format!("frostgauge-{}-{:08x}", std::process::id(), rand::random::<u32>());
            std::env::temp_dir().join(name)
        });
        let fail = |e: std::io::Error| format!("{}: {e}", path.display());
        std::fs::create_dir_all(&path).map_err(fail)?;
        if std::fs::read_dir(&path).map_err(fail)?.next().is_some() {
            return Err(format!("{}: is not empty", path.display()));
        }
        let path = path.canonicalize().map_err(fail)?;
        Ok(Folder { path, keep })
    }

    /// Where it is.
    pub fn path(&self) -> &Path {
        &self.path
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        if !self.keep {
            let _ = std::fs::remove_dir_all(&self.path);
        }
    }
}

async fn play(site: &Site, dir: &Path, seed: u64, progress: Progress<'_>) -> Result<Report, String> {
    let (fleet, executor) = (&site.fleet, &site.executor);
    let s = &fleet.scenario;
    let mean_units: f64 = {
        let shares: f64 = s.classes.values().map(|c| c.share).sum();
        s.classes.values().map(|c| c.share * c.units).sum::<f64>() / shares
    };
    let named = fleet.insurers();
    let tokens: BTreeMap<&str, usize> = s.insurers.iter().map(|g| (g.plan.as_str(), g.tokens)).collect();
    let insurers: Vec<Insurer> = named
        .iter()
        .map(|(name, plan, first, spread, uses)| Insurer {
            name: name.clone(),
            rate: uses * s.plans[plan].rate / mean_units,
            doors: (0..*spread).map(|k| (first + k) % s.gateways.count).collect(),
            tokens: tokens[plan.as_str()],
        })
        .collect();
    let classes = s.classes.iter().map(|(name, c)| Class {
        name: name.clone(),
        method: c.method.clone(),
        path: c.path.clone(),
        share: c.share,
        patience_ms: c.patience_ms,
        effect: c.effect,
        units: c.units,
    });
    let notes = dir.join("tries.jsonl");
    let list = insurers.iter().map(|i| (i.name.clone(), i.tokens.max(1))).collect();
    let tablets =
        Tablets::new(classes.collect(), insurers, s.clients.clone(), fleet.doors.clone(), &notes, seed)
            .map_err(|e| format!("{}: {e}", notes.display()))?;
    let began = Instant::now();
    let end = began + Duration::from_secs_f64(s.seconds);
    tablets.start(executor, end);
    let adders = s.counter.as_ref().map(|c| {
        let key = |k| Key::derive(fleet.counter_secret(adders::FIRST + k).as_bytes());
        let keys = (0..c.adders as u16).map(key).collect();
        Adders::start(executor, fleet.counter[2], keys, c.adder_per_s, end, seed)
    });
    let lossy = site.lossy.clone();
    let stage = Stage { fleet: fleet.clone(), tablets: tablets.clone(), lossy, tokens: Arc::new(list) };
    script::start(&stage, executor, began);
    while Instant::now() < end {
        Timer::after(Duration::from_secs(1).min(end.saturating_duration_since(Instant::now()))).await;
        let (at, ops, open) = (began.elapsed().as_secs(), tablets.begun(), tablets.open());
        progress(&format!("{at:>4} s of {:.0}: {ops} operations begun, {open} open", s.seconds));
    }
    let adding = || adders.as_ref().map_or(0, |a| a.open());
    while (tablets.open() > 0 || adding() > 0) && end.elapsed() < TAIL {
        Timer::after(Duration::from_millis(20)).await;
    }
    let hanging = tablets.open();
    // What was unasked for on idle connections shows by now.
    let strays = tablets.strays();
    fleet.look_for_dead();
    let versions = if s.accord.is_some() { fleet.versions().await } else { BTreeMap::new() };
    let latest = if s.accord.is_some() { fleet.latest().await } else { vec![] };
    progress("ending the gateways");
    for k in 0..fleet.doors.len() {
        // A step may just be starting one anew.
        fleet.end_gateway(k);
    }
    fleet.end_counter();
    check(site, &named, &tablets, adders.as_deref(), strays, hanging, seed, &notes, versions, &latest)
}

/// What the counter's files and its callers' notes come to: violations, and counts for the report.
fn counted(site: &Site, adders: Option<&Adders>) -> Result<Option<(Vec<String>, Value)>, String> {
    let (fleet, Some(adders)) = (&site.fleet, adders) else { return Ok(None) };
    let mut told: Vec<Told> = vec![];
    for k in 0..fleet.doors.len() {
        told.extend(counter_audit::from_log(&fleet.dir.join(format!("gateway-{k}.log")), k as u16));
    }
    let of_gateways = told.len();
    for (gateway, a) in adders.told() {
        let total = a.total.and_then(frostgauge_counter_core::sub_units);
        let (epoch, seq, amount) = (a.details.epoch, a.details.seq, a.details.amount);
        told.push(Told { gateway, epoch, seq, counter: a.counter, amount, total, unsure: a.unsure });
    }
    let folders = fleet.state().counter_folders.clone();
    let files = folders.iter().map(|f| counter_audit::Files::read(f)).collect::<Result<Vec<_>, _>>()?;
    let mut found = counter_audit::check(&files, &told, |gateway| gateway >= adders::FIRST);
    let open = adders.open();
    if open > 0 {
        found.push(format!("{open} calls of the adders were never answered"));
    }
    let count = |sure: fn(&Told) -> bool| told.iter().filter(|t| sure(t)).count();
    let (lost, passed) = site.lossy.counts();
    let figures = json!({
        "calls": told.len(), "of_gateways": of_gateways, "in_log": files.iter().map(counter_audit::Files::len).sum::<usize>(),
        "totals": count(|t| t.total.is_some()), "unsure": count(|t| t.unsure),
        "refused": count(|t| t.total.is_none() && !t.unsure), "replies_lost": lost, "replies_passed": passed,
    });
    Ok(Some((found, figures)))
}

#[allow(clippy::too_many_arguments, reason = "what a run left, used once")]
fn check(
    site: &Site,
    named: &[(String, String, usize, usize, f64)],
    tablets: &Tablets,
    adders: Option<&Adders>,
    strays: u64,
    hanging: usize,
    seed: u64,
    notes: &Path,
    versions: BTreeMap<u64, Rules>,
    latest: &[(usize, u64, Rules)],
) -> Result<Report, String> {
    let fleet = &site.fleet;
    let s = &fleet.scenario;
    let facts: EventLog = fleet.state().facts.clone();
    if let Ok(text) = serde_json::to_string_pretty(&facts) {
        let _ = std::fs::write(fleet.dir.join("facts.json"), text);
    }
    let tries: Vec<Try> = ledger::read(notes).map_err(|e| format!("{}: {e}", notes.display()))?;
    let mut nodes = vec![];
    for life in &facts.lives {
        let lines = ledger::read(&life.ledger).map_err(|e| format!("{}: {e}", life.ledger.display()))?;
        nodes.push(Recorded { node: life.node, zone: life.zone.clone(), started: life.started, lines });
    }
    let fresh = s.gateways.settings.pointer("/introspection/fresh_ms").and_then(serde_json::Value::as_u64);
    let limits = s.gateways.settings.pointer("/zone_policy/limits").and_then(serde_json::Value::as_object);
    let pairs = limits.into_iter().flatten().flat_map(|(from, targets)| {
        let targets = targets.as_object().into_iter().flatten();
        targets.filter_map(move |(to, l)| Some(((from.clone(), to.clone()), l.get("rate")?.as_f64()?)))
    });
    let names = &s.zones;
    let every =
        names.iter().flat_map(|a| names.iter().map(move |b| (a.clone(), b.clone()))).filter(|(a, b)| a != b);
    let every = every.filter_map(|pair| Some((pair, s.expect.spill?)));
    let terms = Terms {
        zones: (0..s.gateways.count).map(|k| s.zones[k % s.zones.len()].clone()).collect(),
        spill: every.chain(pairs).collect(),
        effects: s.classes.iter().map(|(n, c)| (n.clone(), (c.effect, c.window_ms * 1_000))).collect(),
        plans: named.iter().map(|i| (i.0.clone(), s.plans[&i.1].clone())).collect(),
        late: s.expect.late_ms * 1_000,
        drain_grace: DRAIN_GRACE,
        fall: s.nodes.rules.collapse_ms * 1_000,
        fresh: fresh.unwrap_or(frostgauge_settings::Introspection::default().fresh_ms) * 1_000,
    };
    let mut rules = BTreeMap::from([
        ("answered", checks::answered(&tries, strays, &facts, &terms)),
        ("effects", checks::effects(&tries, &nodes, &terms)),
        ("drains", checks::drains(&nodes, &facts, &terms)),
        ("cold", checks::cold(&nodes, &facts, &terms)),
        ("ceiling", checks::ceiling(&nodes, &terms)),
        ("spill", checks::spill(&nodes, &terms)),
        ("tokens", checks::tokens(&tries, &facts, &terms)),
    ]);
    let counter = counted(site, adders)?.map(|(found, figures)| {
        rules.insert("counted", found);
        figures
    });
    let accord = s.accord.as_ref().map(|a| agreed(fleet, a, &nodes, versions, latest, &mut rules));
    let units = s.classes.iter().map(|(n, c)| (n.clone(), c.units)).collect();
    let quota = quota::quality(&tries, &nodes, &terms, &units);
    let ops: BTreeSet<&str> = tries.iter().map(|t| t.op.as_str()).collect();
    let ended = |outcomes: &[Outcome]| {
        let some = tries.iter().filter(|t| outcomes.contains(&t.outcome));
        some.map(|t| t.op.as_str()).collect::<BTreeSet<_>>().len() as u64
    };
    let served = ended(&[Outcome::Served]);
    let failed = ended(&[Outcome::Failed, Outcome::Broken, Outcome::Silent]);
    let (begun, e) = (tablets.begun(), &s.expect);
    let mut unmet: Vec<String> = facts.died.clone();
    let mut expect = |ok: bool, what: String| {
        if !ok {
            unmet.push(what);
        }
    };
    expect(hanging == 0, format!("{hanging} operations never ended"));
    expect(ops.len() as u64 == begun, format!("{begun} operations begun, {} noted", ops.len()));
    expect(begun >= e.operations, format!("operations: {begun}, at least {} expected", e.operations));
    let share = |n: u64| n as f64 / begun.max(1) as f64;
    expect(
        share(served) >= e.served,
        format!("served: {:.3}, at least {} expected", share(served), e.served),
    );
    expect(share(failed) <= e.failed, format!("failed: {:.3}, at most {} expected", share(failed), e.failed));
    expect(!e.clean_end || facts.unclean.is_empty(), format!("ends: {}", facts.unclean.join(", ")));
    Ok(Report { seed, tries, rules, unmet, operations: (begun, served), quota, counter, accord })
}

/// How the fleet kept to its agreed rules, as the nodes saw it: violations into `rules`, and figures.
fn agreed(
    fleet: &Fleet,
    accord: &Accord,
    nodes: &[Recorded],
    versions: BTreeMap<u64, Rules>,
    latest: &[(usize, u64, Rules)],
    rules: &mut BTreeMap<&'static str, Vec<String>>,
) -> Value {
    let within = accord.settings.get("within_ms").and_then(Value::as_u64);
    let within = within.unwrap_or(frostgauge_consensus::TimingSettings::default().within_ms) * 1_000;
    let state = fleet.state();
    let names = state.nodes.iter().enumerate().map(|(k, n)| (n.address, Fleet::node_name(k)));
    let names = names.collect();
    let asked = state.published.iter().map(|p| (p.version, p.asked)).collect();
    let (found, mut figures) = rules_checks::check(nodes, &Agreement { versions, names, within, asked });
    rules.extend(found);
    figures["unpublished"] = json!(state.unpublished);
    let told: Vec<_> = state.published.iter().map(|p| (p.version, p.rules.clone())).collect();
    rules.insert("versions", rules_checks::record(&told, latest));
    figures
}
