//! Whether the fleet kept to one set of rules, judged from what the nodes saw: each request is stamped with what it
//! went under, and comes at a time. Nothing here asks a gateway.

use crate::checks::Recorded;
use frostgauge_consensus::{GatewayId, RuleSource, Rules, Version, VersionNumber};
use frostgauge_fleet_agent::Authorization;
use frostgauge_fleet_simulator::{InvariantChecker, ServedRequest};
use frostgauge_test_servers::ledger::{Line, What};
use hdrhistogram::Histogram;
use serde_json::{json, Value};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

/// Sums are looked at over this long, microseconds.
const SPAN: u64 = 5_000_000;
/// What a part is saved up for at most, microseconds.
const SAVED: u64 = 1_000_000;
/// From a send to the node's note of it, on a busy machine, microseconds.
const TRANSIT: u64 = 200_000;
/// Faults told, most.
const TOLD: usize = 16;

/// What the checks go by.
#[derive(Clone, Debug)]
pub struct Terms {
    /// Every version of the record.
    pub versions: BTreeMap<VersionNumber, Rules>,
    /// The record's names of nodes.
    pub names: BTreeMap<SocketAddr, String>,
    /// The promise, microseconds.
    pub within: u64,
    /// When each version was asked for.
    pub asked: BTreeMap<VersionNumber, u64>,
}

/// What a stamp says.
pub fn read(stamp: &str) -> Option<RuleSource> {
    let (kind, rest) = stamp.split_once(' ')?;
    let numbers = rest.split(' ').map(str::parse).collect::<Result<Vec<VersionNumber>, _>>().ok()?;
    match kind {
        "lease" if !numbers.is_empty() => Some(RuleSource::Lease(numbers.into_iter().collect(), 0)),
        "ground" => numbers.first().map(|n| RuleSource::Fallback(Some(*n).filter(|n| *n > 0))),
        _ => None,
    }
}

/// The gateway that a request came through, by the number it gave it.
fn gateway(request: &str) -> Option<GatewayId> {
    request.split('-').next()?.parse().ok()
}

/// Violations: contradictions for longer than promised, sums passed; and the figures.
pub fn check(nodes: &[Recorded], terms: &Terms) -> (BTreeMap<&'static str, Vec<String>>, Value) {
    let mut acts: Vec<(&Line, SocketAddr)> = nodes
        .iter()
        .flat_map(|n| n.lines.iter().filter(|l| l.what == What::Recv).map(|l| (l, n.node)))
        .collect();
    acts.sort_by_key(|(l, _)| l.t);
    let (mut odd, mut alone) = (vec![], BTreeMap::<(VersionNumber, GatewayId), u64>::new());
    let mut checks =
        InvariantChecker::new(terms.within, terms.versions.get(&1).cloned().unwrap_or_else(none));
    for (line, node) in &acts {
        let (under, through) = (read(&line.rules), gateway(&line.request));
        let (Some(under), Some(through), Some(server)) = (under, through, terms.names.get(node)) else {
            odd.push(format!("{} came to {node} under {:?}", line.request, line.rules));
            continue;
        };
        let numbers = match &under {
            RuleSource::Lease(set, _) => set.clone(),
            RuleSource::Fallback(number) => number.iter().copied().collect(),
        };
        let version = |number: &VersionNumber| {
            let (number, rules) = (*number, terms.versions.get(number)?.clone());
            let (author, reason) = (String::new(), String::new());
            Some(Version { number, previous_hash: [0; 32], author, reason, time_ms: 0, rules })
        };
        let Some(versions) = numbers.iter().map(version).collect::<Option<Vec<_>>>() else {
            odd.push(format!(
                "{} came under {:?}, which is no version of the record",
                line.request, line.rules
            ));
            continue;
        };
        if let (RuleSource::Lease(set, _), 1) = (&under, numbers.len()) {
            let first = set.first().copied().unwrap_or(0);
            alone.entry((first, through)).or_insert(line.t);
        }
        let (tenant, class) = (line.insurer.clone(), line.class.clone());
        let authorization = Authorization { source: under, tenant, class, server: server.clone() };
        checks.record_request(ServedRequest { at: line.t, gateway: through, authorization }, versions);
    }
    let mut agreed = checks.violations().to_vec();
    agreed.extend(odd);
    let spread = spread(&alone, terms);
    let at = |q: f64| spread.value_at_quantile(q) as f64 / 1e3;
    let figures = json!({
        "versions": terms.versions.len(), "acts": checks.requests(), "on_ground": checks.requests_on_fallback(),
        "between": checks.requests_between_versions(), "within_ms": terms.within / 1_000,
        "worst_ms": checks.worst_contradiction() as f64 / 1e3, "worst_leased_ms": checks.worst_leased() as f64 / 1e3,
        "spread": spread.len(), "spread_p50_ms": at(0.5), "spread_p99_ms": at(0.99),
    });
    let (over, connections) = connections(nodes, terms);
    let mut figures = figures;
    figures["connections"] = connections;
    (BTreeMap::from([("agreed", agreed), ("sums", sums(&acts, terms)), ("budgets", over)]), figures)
}

/// Connections open at each node, in the order of its notes, against the largest budget that a version gave it which may
/// have been in force, or whose connections may not have been over yet.
fn connections(nodes: &[Recorded], terms: &Terms) -> (Vec<String>, Value) {
    let (mut found, mut opened, mut worst) = (vec![], 0u64, 0u64);
    let mut fullest: BTreeMap<String, u64> = BTreeMap::new();
    for life in nodes {
        let Some(name) = terms.names.get(&life.node) else { continue };
        let own: BTreeSet<&str> =
            life.lines.iter().filter(|l| l.what == What::Control).map(|l| &*l.request).collect();
        let mut open: BTreeSet<&str> = BTreeSet::new();
        for line in life.lines.iter().filter(|l| !own.contains(&*l.request)) {
            match line.what {
                What::Open => drop(open.insert(&line.request)),
                What::Shut => drop(open.remove(&*line.request)),
                _ => continue,
            }
            if line.what != What::Open {
                continue;
            }
            opened += 1;
            let (now, most) = (open.len() as u64, terms.most(line.t, name));
            let full = fullest.entry(name.clone()).or_default();
            *full = now.max(*full);
            if let Some(most) = most.filter(|m| now > u64::from(*m)) {
                worst = worst.max(now - u64::from(most));
                if found.len() < TOLD {
                    found.push(format!("{name} has {now} connections at {}, its budget is {most}", line.t));
                }
            }
        }
    }
    (found, json!({ "opened": opened, "most_at_once": fullest, "worst_over": worst }))
}

impl Terms {
    /// What a node holds at most by the versions that count at a time; none: it has no bound.
    fn most(&self, at: u64, name: &str) -> Option<u32> {
        let mut most = Some(0);
        for (number, rules) in &self.versions {
            let asked = self.asked.get(number).copied().unwrap_or(0);
            let next = self.versions.range(number + 1..).find_map(|(n, _)| self.asked.get(n).copied());
            let outlives =
                rules.budgets.budgets.values().map(|b| b.attempt_ms + b.idle_ms).max().unwrap_or(0);
            let ends = next.map_or(u64::MAX, |t| t + outlives * 1_000 + 4 * self.within);
            if asked <= at && at <= ends {
                most = match (most, rules.connection_budget(name)) {
                    (Some(a), Some(b)) => Some(a.max(b)),
                    _ => None,
                };
            }
        }
        most
    }
}

/// One record: what an editor was told is nobody else's number, is behind nobody's latest at the end, and says there
/// what it said. `told`: number and rules; `latest`: gateway, number and rules, as each gateway has them at the end.
pub fn record(told: &[(VersionNumber, Rules)], latest: &[(usize, VersionNumber, Rules)]) -> Vec<String> {
    let (mut found, mut by_number) = (vec![], BTreeMap::new());
    for (number, rules) in told {
        if by_number.insert(*number, rules).is_some() {
            found.push(format!("version {number} was told to two editors"));
        }
    }
    let last = by_number.keys().next_back().copied().unwrap_or(0);
    if latest.is_empty() && last > 0 {
        found.push("no gateway says what it knows".to_owned());
    }
    for (gateway, number, rules) in latest {
        if *number < last {
            found.push(format!("gateway {gateway} knows version {number}, an editor was told {last}"));
        }
        if by_number.get(number).is_some_and(|told| *told != rules) {
            found.push(format!("version {number} at gateway {gateway} is not what its editor was told"));
        }
    }
    found
}

fn none() -> Rules {
    Rules {
        format: frostgauge_consensus::RULES_FORMAT,
        classes: BTreeMap::new(),
        plans: BTreeMap::new(),
        tenants: BTreeMap::new(),
        servers: BTreeMap::new(),
        gateways: BTreeSet::new(),
        budgets: Default::default(),
    }
}

/// Time from an editor's asking to the first request under the version, for each gateway that had one.
fn spread(alone: &BTreeMap<(VersionNumber, GatewayId), u64>, terms: &Terms) -> Histogram<u64> {
    let mut histogram = Histogram::new_with_bounds(1, 600_000_000, 3).expect("bounds and digits are allowed");
    for ((version, _), at) in alone.iter().filter(|((v, _), _)| *v > 1) {
        if let Some(asked) = terms.asked.get(version) {
            histogram.saturating_record(at.saturating_sub(*asked).max(1));
        }
    }
    histogram
}

/// A tenant's requests over all gateways, in thousandths of a unit, against the largest sum of the versions that
/// requests went under then. Each gateway may have saved up a second of its part, or one request.
fn sums(acts: &[(&Line, SocketAddr)], terms: &Terms) -> Vec<String> {
    let mut found = vec![];
    let mut by_tenant: BTreeMap<&str, Vec<(u64, u64, u64, u64)>> = BTreeMap::new();
    for (line, _) in acts {
        let Some(under) = read(&line.rules) else { continue };
        let newest = match under {
            RuleSource::Lease(set, _) => set.last().copied(),
            RuleSource::Fallback(number) => number,
        };
        let Some(rules) = newest.and_then(|n| terms.versions.get(&n)) else { continue };
        let plan = rules.tenants.get(&line.insurer).and_then(|t| rules.plans.get(&t.plan));
        let sum = plan.map_or(0, |p| p.ceiling_milli.unwrap_or(p.rate_milli));
        let cost = rules.classes.get(&line.class).map_or(0, |c| c.cost_milli);
        let n = rules.gateways.len().max(1) as u64;
        let slack = (sum / n * SAVED / 1_000_000).max(cost) * n;
        by_tenant.entry(&line.insurer).or_default().push((line.t, cost, sum, slack));
    }
    for (tenant, acts) in by_tenant {
        let (mut from, mut got) = (0, 0);
        for to in 0..acts.len() {
            got += acts[to].1;
            while acts[from].0 + SPAN < acts[to].0 {
                got -= acts[from].1;
                from += 1;
            }
            let within = &acts[from..=to];
            // Versions may have changed within the span, or shortly before it.
            let most = within.iter().map(|a| a.2).max().unwrap_or(0);
            let slack = within.iter().map(|a| a.3).max().unwrap_or(0);
            let span = acts[to].0 - acts[from].0;
            // Parts are shared out by time: what came in a shorter time than the span is allowed no less.
            if got > most * (span + TRANSIT) / 1_000_000 + slack {
                if found.len() < TOLD {
                    found.push(format!(
                        "{tenant}: {got} thousandths in {} ms, its sum is {most} a second",
                        span / 1_000
                    ));
                }
                break;
            }
        }
    }
    found
}
