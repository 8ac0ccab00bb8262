//! The fleet's agreed rules in a run: founded from the scenario, published by script, links through relays.

use crate::fleet::Fleet;
use crate::generated_config::{lay, write_whole};
use crate::process::Process;
use frostgauge_connection_budget::Policy;
use frostgauge_consensus::{Class, Plan, Rules, Server, ServerState, Tenant, VersionNumber, RULES_FORMAT};
use frostgauge_net::ask_with;
use frostgauge_test_servers::now;
use frostgauge_test_servers::paths::{How, Path};
use serde::{Deserialize, Serialize};
use serde_json::{json, Value};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// How long an editor goes on trying.
const EDITS: Duration = Duration::from_secs(25);
/// Between two tries.
const AGAIN: Duration = Duration::from_millis(250);
const PATIENCE: Duration = Duration::from_secs(6);

/// The agreed rules of a scenario.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Accord {
    /// Keepers: the first so many gateways.
    pub keepers: u16,
    /// A tenant's floor at a gateway, as a share of its even part of the quota.
    #[serde(default = "half")]
    pub floor: f64,
    /// Classes that are not served on ground.
    #[serde(default)]
    pub not_on_ground: Vec<String>,
    /// Laid over the gateways' `accord` section.
    #[serde(default)]
    pub settings: Value,
    /// Budgets of connections, in the rules' own form. Nodes close what is idle for a budget's `idle_ms`.
    #[serde(default)]
    pub budgets: Policy,
}

impl Accord {
    /// After how long nodes of a zone close an idle connection; 0: never.
    pub fn idle_ms(&self, zone: &str) -> u64 {
        self.budgets.budget_for_zone(zone).map_or(0, |(_, b)| b.idle_ms)
    }
}

fn half() -> f64 {
    0.5
}

/// A change of the rules.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum Change {
    /// Ceilings and quotas of a plan, so many times what they were at the beginning.
    Sums(String, f64),
    /// A node drains, in the record and by its own word.
    Drain(usize),
    /// A node that drained is back.
    Back(usize),
    /// A node drains as above, and a new one, cold, takes its place in the record and in the list.
    Replace(usize),
    /// A node that drained goes from the record, and ends.
    Gone(usize),
    /// A tenant is gone from the record, by its index; two versions, the first without its floor.
    TenantOff(usize),
    /// It is back.
    TenantOn(usize),
    /// Each node holds so many connections.
    Connections(u32),
}

/// A version that was asked for.
#[derive(Clone, Debug, Serialize)]
pub struct Published {
    /// When the editor began.
    pub asked: u64,
    /// When it was told.
    pub told: u64,
    /// Its number.
    pub version: VersionNumber,
    /// What it says.
    pub rules: Rules,
}

/// A relay between two gateways.
pub struct Link {
    /// Who speaks.
    pub from: usize,
    /// To whom.
    pub to: usize,
    /// Where it listens.
    pub address: SocketAddr,
    /// Its knob.
    pub path: Arc<Path>,
}

impl Fleet {
    /// The record's name of a node.
    pub fn node_name(k: usize) -> String {
        format!("n{k}")
    }

    /// The rules that the fleet is founded with.
    pub fn first_rules(&self) -> Rules {
        let s = &self.scenario;
        let accord = s.accord.as_ref();
        let n = s.gateways.count as f64;
        let milli = |x: f64| (x * 1e3).round() as u64;
        let classes = s.classes.iter().map(|(name, c)| {
            let ground = !accord.is_some_and(|a| a.not_on_ground.contains(name));
            let repeatable = c.effect == frostgauge_test_servers::tablets::Effect::Safe;
            (name.clone(), Class { cost_milli: milli(c.units), repeatable, on_fallback: ground })
        });
        let plans = s.plans.iter().map(|(name, p)| {
            let ceiling_milli = (p.ceiling_rate > 0.0).then(|| milli(p.ceiling_rate));
            (name.clone(), Plan { rate_milli: milli(p.rate), ceiling_milli })
        });
        let all = s.classes.keys().cloned().collect::<std::collections::BTreeSet<_>>();
        let tenants = self.insurers().into_iter().map(|(name, plan, ..)| {
            let floor = s.plans[&plan].rate / n * accord.map_or(0.0, |a| a.floor);
            (name, Tenant { plan, classes: all.clone(), floor_milli: milli(floor) })
        });
        let mut servers = BTreeMap::new();
        for (k, node) in self.state().nodes.iter().enumerate() {
            let (address, zone) = (node.address.to_string(), node.zone.clone());
            servers.insert(Fleet::node_name(k), Server { address, state: ServerState::Ready, zone });
        }
        Rules {
            format: RULES_FORMAT,
            classes: classes.collect(),
            plans: plans.collect(),
            tenants: tenants.collect(),
            servers,
            gateways: (0..s.gateways.count as u16).collect(),
            budgets: accord.map(|a| a.budgets.clone()).unwrap_or_default(),
        }
    }

    /// The section `accord` of a gateway's settings.
    pub(crate) fn accord_section(&self, me: usize) -> Value {
        let Some(accord) = &self.scenario.accord else { return Value::Null };
        let links: Vec<String> = (0..self.scenario.gateways.count)
            .map(|k| {
                let link = self.links.iter().find(|l| l.from == me && l.to == k);
                link.map_or(self.link_doors[k], |l| l.address).to_string()
            })
            .collect();
        let mut section = json!({
            "keepers": (0..accord.keepers).collect::<Vec<_>>(), "links": links,
            "listen": self.link_doors[me].to_string(), "secret_file": "link.secret",
            "folder": format!("accord-{me}"),
        });
        lay(&accord.settings, &mut section);
        section
    }

    /// Founds the record at each keeper.
    ///
    /// # Errors
    /// A keeper does not take it.
    pub(crate) fn found(&self) -> Result<(), String> {
        let Some(accord) = &self.scenario.accord else { return Ok(()) };
        let rules = self.first_rules();
        let path = self.dir.join("rules.jsonnet");
        let text = serde_json::to_string_pretty(&rules).map_err(|e| e.to_string())?;
        write_whole(&path, &text, false)?;
        for k in 0..usize::from(accord.keepers) {
            let (config, rules) = (self.settings_path(k).display().to_string(), path.display().to_string());
            let args = ["found", "--config", &config, "--rules", &rules];
            let log = self.dir.join(format!("gateway-{k}.log"));
            let mut process = Process::start(&self.program, "found", &args, &log)?;
            match crate::fleet::end_of(&mut process) {
                Some(0) => {}
                code => {
                    let said = std::fs::read_to_string(&log).unwrap_or_default();
                    return Err(format!("keeper {k} is not founded ({code:?}): {said}"));
                }
            }
        }
        let first = Published { asked: now(), told: now(), version: 1, rules };
        self.state().published.push(first);
        Ok(())
    }

    /// Sets the relays between some gateways; what they did before.
    pub fn paths(&self, from: &[usize], to: &[usize], how: How, delay: Duration) {
        let all = self.links.iter().filter(|l| from.contains(&l.from) && to.contains(&l.to));
        all.for_each(|l| l.path.set(how, delay));
    }

    /// Publishes a change through a gateway, as an editor does who goes on trying; false: it was not to be had.
    ///
    /// # Errors
    /// The record refuses it for good.
    pub async fn edit(&self, by: usize, change: &Change) -> Result<bool, String> {
        let (asked, end) = (now(), Instant::now() + EDITS);
        let admin = self.admin(by);
        while Instant::now() < end {
            if let Some(done) = self.one_edit(admin, asked, change).await? {
                return Ok(done);
            }
            async_io::Timer::after(AGAIN).await;
        }
        Ok(false)
    }

    async fn one_edit(&self, admin: SocketAddr, asked: u64, change: &Change) -> Result<Option<bool>, String> {
        let Ok((200, text)) = ask_with(admin, "GET", "/accord/rules", &[], PATIENCE).await else {
            return Ok(None);
        };
        let value: Value = serde_json::from_str(&text).map_err(|e| e.to_string())?;
        let base = value["version"].as_u64().ok_or("a version without its number")?;
        let mut rules: Rules = serde_json::from_value(value["rules"].clone()).map_err(|e| e.to_string())?;
        let last = self.change(&mut rules, change).await?;
        let mut body =
            json!({ "base": base, "author": "the script", "reason": format!("{change:?}"), "rules": rules });
        let id: u64 = rand::random();
        body["id"] = json!(id);
        let body = body.to_string();
        // What is not known is asked for by its id, so that it is not numbered twice.
        for _ in 0..4 {
            match ask_with(admin, "POST", "/accord/publish", body.as_bytes(), PATIENCE).await {
                Ok((200, text)) => {
                    let told: Value = serde_json::from_str(&text).map_err(|e| e.to_string())?;
                    let version = told["version"].as_u64().ok_or("a number that is none")?;
                    let published = Published { asked, told: now(), version, rules };
                    self.state().published.push(published);
                    return Ok(last.then_some(true));
                }
                Ok((422, text)) => return Err(text),
                // Overtaken, or some still stand on other ground: from the beginning.
                Ok((409, _)) => return Ok(None),
                _ => {}
            }
        }
        Ok(None)
    }

    /// Changes rules; false: this is a first step, and the change has to be asked for again.
    async fn change(&self, rules: &mut Rules, change: &Change) -> Result<bool, String> {
        let first = self.first_rules();
        match change {
            Change::Sums(plan, times) => {
                let scale = |x: u64| (x as f64 * times).round() as u64;
                if let (Some(p), Some(was)) = (rules.plans.get_mut(plan), first.plans.get(plan)) {
                    p.rate_milli = scale(was.rate_milli);
                    p.ceiling_milli = was.ceiling_milli.map(scale);
                }
            }
            Change::Drain(k) => {
                // It says so itself from now on, whatever the record says yet.
                let draining =
                    frostgauge_test_servers::node::Control { draining: Some(true), ..Default::default() };
                self.control_node(*k, &draining).await;
                let node = rules.servers.get_mut(&Fleet::node_name(*k));
                node.into_iter().for_each(|s| s.state = ServerState::Draining);
            }
            Change::Back(k) => {
                let ready =
                    frostgauge_test_servers::node::Control { draining: Some(false), ..Default::default() };
                self.control_node(*k, &ready).await;
                let node = rules.servers.get_mut(&Fleet::node_name(*k));
                node.into_iter().for_each(|s| s.state = ServerState::Ready);
            }
            Change::Replace(k) => {
                // Looked at first: starting a node takes the same lock.
                let known = self.state().replaced.get(k).copied();
                let new = match known {
                    Some(new) => new,
                    None => {
                        let new = self.add_node(*k, true)?;
                        self.state().replaced.insert(*k, new);
                        new
                    }
                };
                let (address, zone) = {
                    let mut s = self.state();
                    s.nodes[*k].listed = crate::fleet::Listed::Draining;
                    (s.nodes[new].address.to_string(), s.nodes[new].zone.clone())
                };
                self.publish();
                let draining =
                    frostgauge_test_servers::node::Control { draining: Some(true), ..Default::default() };
                self.control_node(*k, &draining).await;
                let node = rules.servers.get_mut(&Fleet::node_name(*k));
                node.into_iter().for_each(|s| s.state = ServerState::Draining);
                rules
                    .servers
                    .insert(Fleet::node_name(new), Server { address, state: ServerState::Ready, zone });
            }
            Change::Gone(k) => {
                rules.servers.remove(&Fleet::node_name(*k));
                self.state().nodes[*k].listed = crate::fleet::Listed::Absent;
                self.publish();
                self.kill_node(*k);
            }
            Change::TenantOff(k) => {
                let Some((name, tenant)) = first.tenants.iter().nth(*k) else { return Ok(true) };
                match rules.tenants.get_mut(name) {
                    Some(t) if t.floor_milli > 0 => {
                        t.floor_milli = 0;
                        return Ok(tenant.floor_milli == 0);
                    }
                    _ => drop(rules.tenants.remove(name)),
                }
            }
            Change::Connections(n) => {
                rules.budgets.budgets.values_mut().for_each(|b| b.connections = *n);
            }
            Change::TenantOn(k) => {
                if let Some((name, tenant)) = first.tenants.iter().nth(*k) {
                    rules.tenants.insert(name.clone(), tenant.clone());
                }
            }
        }
        Ok(true)
    }

    /// The latest version that each gateway knows, and what it says.
    pub async fn latest(&self) -> Vec<(usize, VersionNumber, Rules)> {
        let mut all = vec![];
        for k in 0..self.doors.len() {
            if let Ok((200, text)) = ask_with(self.admin(k), "GET", "/accord/rules", &[], PATIENCE).await {
                let value: Value = serde_json::from_str(&text).unwrap_or_default();
                let rules = serde_json::from_value(value["rules"].clone()).ok();
                all.extend(value["version"].as_u64().zip(rules).map(|(n, rules)| (k, n, rules)));
            }
        }
        all
    }

    /// All versions of the record, as editors were told, and what else any gateway still knows: withdrawals make
    /// versions that nobody asked for.
    pub async fn versions(&self) -> BTreeMap<VersionNumber, Rules> {
        let mut all: BTreeMap<VersionNumber, Rules> =
            self.state().published.iter().map(|p| (p.version, p.rules.clone())).collect();
        let mut latest = all.keys().next_back().copied().unwrap_or(1);
        for k in 0..self.doors.len() {
            if let Ok((200, text)) = ask_with(self.admin(k), "GET", "/accord/rules", &[], PATIENCE).await {
                let value: Value = serde_json::from_str(&text).unwrap_or_default();
                latest = latest.max(value["version"].as_u64().unwrap_or(0));
            }
        }
        for number in 1..=latest {
            for k in 0..self.doors.len() {
                if all.contains_key(&number) {
                    break;
                }
                let path = format!("/accord/rules/{number}");
                if let Ok((200, text)) = ask_with(self.admin(k), "GET", &path, &[], PATIENCE).await {
                    let value: Value = serde_json::from_str(&text).unwrap_or_default();
                    if let Ok(rules) = serde_json::from_value(value["rules"].clone()) {
                        all.insert(number, rules);
                    }
                }
            }
        }
        all
    }
}
