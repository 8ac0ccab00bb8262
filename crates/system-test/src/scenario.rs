//! Scenarios: a day's fleet, customers, clients, troubles and expectations, as a Jsonnet template.

use crate::fleet_rules::Accord;
use crate::steps::Step;
use frostgauge_settings::{Fault, Faults, Plan, Rules};
use frostgauge_test_servers::tablets::{Effect, Habits};
use serde::Deserialize;
use serde_json::Value;
use std::collections::BTreeMap;
use std::path::Path;

/// A whole scenario.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Scenario {
    /// Clients arrive for so long, seconds.
    pub seconds: f64,
    /// Zones.
    pub zones: Vec<String>,
    /// Gateways.
    pub gateways: Gateways,
    /// Claims nodes.
    pub nodes: Nodes,
    /// Classes by name.
    pub classes: BTreeMap<String, Class>,
    /// Plans by name.
    pub plans: BTreeMap<String, Plan>,
    /// Insurers, in groups.
    pub insurers: Vec<Group>,
    /// Names kept for one-off insurers (step `scan`), on the first group's plan.
    #[serde(default)]
    pub one_offs: usize,
    /// Clients' habits.
    #[serde(default)]
    pub clients: Habits,
    /// Time of an introspection, milliseconds.
    #[serde(default = "five")]
    pub introspection_ms: u64,
    /// The meter.
    #[serde(default)]
    pub meter: Meter,
    /// The shared counter; none: there is none.
    #[serde(default)]
    pub counter: Option<Counter>,
    /// The fleet's agreed rules; none: each gateway goes by its own file.
    #[serde(default)]
    pub accord: Option<Accord>,
    /// What happens.
    #[serde(default)]
    pub steps: Vec<Step>,
    /// What must come of it, beside the rules.
    #[serde(default)]
    pub expect: Expect,
}

fn five() -> u64 {
    5
}

/// Gateways.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Gateways {
    /// How many.
    pub count: usize,
    /// Laid over the settings that the rig writes.
    #[serde(default)]
    pub settings: Value,
}

/// Claims nodes.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Nodes {
    /// How many, spread over the zones in turn.
    pub count: usize,
    /// Cores of each.
    pub cores: usize,
    /// Range of their speeds.
    #[serde(default = "alike")]
    pub speed: [f64; 2],
    /// Requests that wait at each.
    #[serde(default = "queue")]
    pub queue: usize,
    /// Seconds until the list tells of a change nobody planned: least, most.
    #[serde(default = "late")]
    pub list_late_s: [f64; 2],
    /// The figures of the cold start.
    #[serde(default)]
    pub rules: Rules,
}

fn alike() -> [f64; 2] {
    [1.0, 1.0]
}

fn queue() -> usize {
    30
}

fn late() -> [f64; 2] {
    [0.5, 2.0]
}

/// A class: as the gateways are told and as nodes and clients know it.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Class {
    /// Its method.
    pub method: String,
    /// Its path; `*` stands for a number.
    pub path: String,
    /// Its share of the requests.
    pub share: f64,
    /// Mean work, core-milliseconds.
    pub work_ms: f64,
    /// Units drawn.
    #[serde(default = "unit")]
    pub units: f64,
    /// Time wanted, milliseconds.
    pub aim_ms: u64,
    /// A client's whole patience, milliseconds.
    pub patience_ms: u64,
    /// Worth.
    pub worth: f64,
    /// What a repeat does. Keyed classes are keyed by zone.
    pub effect: Effect,
    /// How long nodes remember a key, milliseconds.
    #[serde(default = "window")]
    pub window_ms: u64,
}

fn unit() -> f64 {
    1.0
}

fn window() -> u64 {
    1_500
}

/// A group of insurers.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Group {
    /// Its plan.
    pub plan: String,
    /// How many.
    pub count: usize,
    /// Range of what they ask, in quotas.
    #[serde(rename = "use")]
    pub uses: [f64; 2],
    /// How many gateways each comes through; all if left out.
    pub spread: Option<usize>,
    /// Tokens of each.
    #[serde(default = "tokens")]
    pub tokens: usize,
}

fn tokens() -> usize {
    3
}

/// The meter behind the nodes.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Meter {
    /// Its period, milliseconds.
    pub period_ms: u64,
    /// How late its figures come, milliseconds.
    pub late_ms: u64,
}

impl Default for Meter {
    fn default() -> Self {
        Meter { period_ms: 500, late_ms: 400 }
    }
}

/// The shared counter and those who call it beside the gateways.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Counter {
    /// Callers of their own, who tally what they add.
    pub adders: usize,
    /// Calls a second of each.
    pub adder_per_s: f64,
    /// Laid over the counter's settings.
    pub settings: Value,
    /// Laid over the gateways' `counter` section.
    pub call: Value,
}

/// What must come of a day, beside the rules.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Expect {
    /// Least operations begun.
    pub operations: u64,
    /// Least share of operations served.
    pub served: f64,
    /// Most share of operations that ended failed, cut off or unanswered.
    pub failed: f64,
    /// Most time past its patience at which a client still counts an answer as given in time, milliseconds:
    /// for the way back and the scheduling of one busy machine.
    pub late_ms: u64,
    /// Most attempts from a zone to another in any second, where the settings have no limit of their own.
    pub spill: Option<f64>,
    /// Gateways must end with exit code 0 at SIGTERM.
    pub clean_end: bool,
}

impl Default for Expect {
    fn default() -> Self {
        Expect { operations: 0, served: 0.0, failed: 1.0, late_ms: 100, spill: None, clean_end: true }
    }
}

/// Reads and checks a scenario.
///
/// # Errors
/// What is wrong with it, with paths.
pub fn load(path: &Path) -> Result<Scenario, Faults> {
    let evaluated = frostgauge_settings::evaluate(path)?;
    let scenario: Scenario = serde_path_to_error::deserialize(&evaluated.value)
        .map_err(|e| Faults(vec![Fault { path: e.path().to_string(), reason: e.inner().to_string() }]))?;
    let mut faults = vec![];
    let mut need = |ok: bool, path: &str, reason: &str| {
        if !ok {
            faults.push(Fault { path: path.into(), reason: reason.into() });
        }
    };
    need(scenario.seconds > 0.0 && scenario.seconds <= 600.0, "seconds", "is not between 0 and 600");
    need(!scenario.zones.is_empty(), "zones", "is empty");
    need((1..=64).contains(&scenario.gateways.count), "gateways.count", "is not between 1 and 64");
    need((1..=256).contains(&scenario.nodes.count), "nodes.count", "is not between 1 and 256");
    need(scenario.nodes.cores > 0, "nodes.cores", "is zero");
    need(!scenario.classes.is_empty(), "classes", "is empty");
    need(!scenario.insurers.is_empty(), "insurers", "is empty");
    for (k, group) in scenario.insurers.iter().enumerate() {
        let known = scenario.plans.contains_key(&group.plan);
        need(known, &format!("insurers[{k}].plan"), "names an unknown plan");
    }
    for (k, step) in scenario.steps.iter().enumerate() {
        need(
            step.at >= 0.0 && step.at <= scenario.seconds,
            &format!("steps[{k}].at"),
            "is not within the day",
        );
        if scenario.counter.is_none() && step.trouble.needs_counter() {
            need(false, &format!("steps[{k}]"), "needs a counter, and there is none");
        }
        if scenario.accord.is_none() && step.trouble.needs_accord() {
            need(false, &format!("steps[{k}]"), "needs agreed rules, and there are none");
        }
        let named = step.trouble.gateways();
        need(
            named.iter().all(|g| *g < scenario.gateways.count),
            &format!("steps[{k}]"),
            "names a gateway that is not there",
        );
        if let Err(reason) = step.trouble.check() {
            need(false, &format!("steps[{k}]"), &reason);
        }
    }
    if let Some(accord) = &scenario.accord {
        let keepers =
            matches!(accord.keepers, 3 | 5 | 7) && usize::from(accord.keepers) <= scenario.gateways.count;
        need(keepers, "accord.keepers", "is not 3, 5 or 7 of the gateways");
        need((0.0..=1.0).contains(&accord.floor), "accord.floor", "is not between 0 and 1");
    }
    if faults.is_empty() {
        Ok(scenario)
    } else {
        Err(Faults(faults))
    }
}
