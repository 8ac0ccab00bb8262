//! Servers of a run, and the endpoint list that gateways read.

use super::{Fleet, Listed, NodeSlot};
use crate::event_log::{Life, Told};
use crate::generated_config::write_whole;
use crate::process::Process;
use frostgauge_net::{exchange, End};
use frostgauge_proto::http::{write_request, Body, Limits};
use frostgauge_test_servers::{node, now};
use rand::RngExt;
use rustix::process::Signal;
use serde::Serialize;
use serde_json::{json, Value};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

impl Fleet {
    /// Starts a node at a new address, listed as ready; its index.
    ///
    /// # Errors
    /// It does not start.
    pub fn add_node(&self, number: usize, cold: bool) -> Result<usize, String> {
        let n = &self.scenario.nodes;
        let index = {
            let mut s = self.state();
            let speed = n.speed[0] + (n.speed[1] - n.speed[0]) * s.rng.random::<f64>();
            let zone = self.scenario.zones[number % self.scenario.zones.len()].clone();
            let address = s.ports.take()?;
            let (listed, started_ms, busy, lives, process) = (Listed::Ready, 0, false, 0, None);
            s.nodes.push(NodeSlot { address, zone, listed, started_ms, busy, speed, lives, process });
            s.nodes.len() - 1
        };
        self.start_node(index, cold)?;
        Ok(index)
    }

    /// Starts a node's process, at the address it has; the list tells its start.
    ///
    /// # Errors
    /// It does not start.
    pub fn start_node(&self, index: usize, cold: bool) -> Result<(), String> {
        let (n, rules) = (&self.scenario.nodes, &self.scenario.nodes.rules);
        let mut s = self.state();
        let slot = &mut s.nodes[index];
        slot.lives += 1;
        let name = format!("node-{index}-{}", slot.lives);
        let ledger = self.dir.join(format!("{name}.jsonl"));
        let classes = self.scenario.classes.iter().map(|(name, c)| node::Class {
            name: name.clone(),
            method: c.method.clone(),
            work_ms: c.work_ms,
            units: c.units,
            window: match c.effect {
                frostgauge_test_servers::tablets::Effect::Keyed => c.window_ms * 1_000,
                _ => 0,
            },
        });
        let config = node::Config {
            listen: slot.address,
            ledger: ledger.clone(),
            backplane: self.backplane,
            group: slot.zone.clone(),
            cores: n.cores,
            speed: slot.speed,
            queue: n.queue,
            cold,
            cold_from: rules.slow_start_share,
            cold_ms: rules.slow_start_ms,
            fall_multiple: rules.collapse_multiple,
            fall_ms: rules.collapse_ms,
            classes: classes.collect(),
            seed: self.seed,
            idle_ms: self.scenario.accord.as_ref().map_or(0, |a| a.idle_ms(&slot.zone)),
        };
        let path = self.dir.join(format!("{name}.json"));
        let text = serde_json::to_string_pretty(&config).map_err(|e| e.to_string())?;
        write_whole(&path, &text, false)?;
        let args = ["node", "--config", &path.display().to_string()];
        let mut process = Process::start(&self.program, &name, &args, &self.dir.join("standins.log"))?;
        process.address()?;
        let (started, node, zone) = (now(), slot.address, slot.zone.clone());
        slot.started_ms = if cold { started / 1_000 } else { 0 };
        slot.process = Some(process);
        s.facts.lives.push(Life { node, zone, ledger, started });
        Ok(())
    }

    /// Kills a node's process; the list is not told.
    pub fn kill_node(&self, index: usize) {
        let process = self.state().nodes[index].process.take();
        if let Some(mut process) = process {
            process.kill();
        }
    }

    /// Turns a node's knobs; one that is down has none.
    pub async fn control_node(&self, index: usize, control: &node::Control) {
        let address = self.state().nodes[index].address;
        self.control(address, control).await;
    }

    pub(super) async fn control(&self, to: SocketAddr, control: &impl Serialize) -> Option<Value> {
        let (mut request, body) = (Vec::new(), serde_json::to_vec(control).ok()?);
        let host = [("host", &b"standin"[..])];
        write_request(&mut request, "POST", "/_control", host.into_iter(), Body::Whole(&body));
        let second = Duration::from_secs(1);
        let (limits, end) = (Limits::default(), Instant::now() + second);
        match exchange(&self.pool, to, &request, false, &limits, second, end).await {
            End::Answered(response) => serde_json::from_slice(&response.body).ok(),
            _ => None,
        }
    }

    pub(super) fn write_list(&self) -> Result<(), String> {
        let s = self.state();
        let listed = s.nodes.iter().filter(|n| n.listed != Listed::Absent);
        let list = listed.map(|n| {
            json!({
                "address": n.address.to_string(), "zone": n.zone, "started_ms": n.started_ms,
                "state": if n.listed == Listed::Ready { "ready" } else { "draining" },
            })
        });
        let text = format!("{:#}", Value::Array(list.collect()));
        write_whole(&self.dir.join("nodes.jsonnet"), &text, false)
    }

    /// Writes the list as it stands and tells every gateway that runs.
    pub fn publish(&self) {
        if let Err(reason) = self.write_list() {
            self.state().facts.died.push(reason);
            return;
        }
        for k in 0..self.doors.len() {
            if let Some(process) = &self.state().gateways[k].process {
                process.signal(Signal::HUP);
            }
            self.note_told(k);
        }
    }

    /// From now on this gateway goes by the list as it stands.
    pub(super) fn note_told(&self, gateway: usize) {
        let mut s = self.state();
        let t = now();
        let told: Vec<Told> = s
            .nodes
            .iter()
            .map(|n| Told {
                t,
                gateway,
                node: n.address,
                ready: n.listed == Listed::Ready,
                started_ms: n.started_ms,
            })
            .collect();
        s.facts.told.extend(told);
    }
}
