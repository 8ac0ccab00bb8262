//! Plays a script: each step at its time, undone after its length.

use crate::event_log::Span;
use crate::fleet::{Fleet, Listed};
use crate::steps::{Back, Down, Trouble};
use async_executor::Executor;
use async_io::Timer;
use frostgauge_test_servers::introspection::{Control as TokenControl, Mode};
use frostgauge_test_servers::lossy::Lossy;
use frostgauge_test_servers::node::Control;
use frostgauge_test_servers::now;
use frostgauge_test_servers::paths::How;
use frostgauge_test_servers::tablets::Tablets;
use rand::seq::SliceRandom;
use rand::RngExt;
use rustix::process::Signal;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Between a drain's being listed and the node's turning requests away by itself.
const OWN_DRAIN: Duration = Duration::from_millis(500);

fn seconds(s: f64) -> Duration {
    Duration::from_secs_f64(s.max(0.0))
}

async fn wait(s: f64) {
    Timer::after(seconds(s)).await;
}

/// What a step works on.
#[derive(Clone)]
pub struct Stage {
    /// The processes.
    pub fleet: Arc<Fleet>,
    /// The clients.
    pub tablets: Arc<Tablets>,
    /// The path to the counter.
    pub lossy: Arc<Lossy>,
    /// Insurers and their number of tokens, for revocations.
    pub tokens: Arc<Vec<(String, usize)>>,
}

/// Starts every step's task.
pub fn start(stage: &Stage, executor: &Arc<Executor<'static>>, began: Instant) {
    for step in stage.fleet.scenario.steps.clone() {
        let stage = stage.clone();
        executor
            .spawn(async move {
                Timer::at(began + seconds(step.at)).await;
                if let Err(reason) = stage.play(&step.trouble).await {
                    stage.fleet.state().facts.died.push(format!("step {:?}: {reason}", step.trouble));
                }
            })
            .detach();
    }
}

impl Stage {
    /// Some of the nodes that are listed as ready and that no other step has in hand.
    fn take_nodes(&self, part: f64) -> Vec<usize> {
        let mut s = self.fleet.state();
        let mut free: Vec<usize> =
            (0..s.nodes.len()).filter(|k| s.nodes[*k].listed == Listed::Ready && !s.nodes[*k].busy).collect();
        let ready = s.nodes.iter().filter(|n| n.listed == Listed::Ready).count();
        free.shuffle(&mut s.rng);
        free.truncate((ready as f64 * part).round().max(1.0) as usize);
        for k in &free {
            s.nodes[*k].busy = true;
        }
        free
    }

    /// All nodes of a zone that are listed as ready and that no other step has in hand.
    fn take_zone(&self, zone: &str) -> Result<Vec<usize>, String> {
        let mut s = self.fleet.state();
        let free = |n: &crate::fleet::NodeSlot| n.zone == zone && n.listed == Listed::Ready && !n.busy;
        let nodes: Vec<usize> = (0..s.nodes.len()).filter(|k| free(&s.nodes[*k])).collect();
        if nodes.is_empty() {
            return Err(format!("zone {zone} has no nodes free"));
        }
        nodes.iter().for_each(|k| s.nodes[*k].busy = true);
        Ok(nodes)
    }

    fn free_nodes(&self, nodes: &[usize]) {
        let mut s = self.fleet.state();
        nodes.iter().for_each(|k| s.nodes[*k].busy = false);
    }

    fn list(&self, nodes: &[usize], listed: Listed) {
        let mut s = self.fleet.state();
        nodes.iter().for_each(|k| s.nodes[*k].listed = listed);
        drop(s);
        self.fleet.publish();
    }

    /// The time until the list tells of something nobody planned.
    fn lateness(&self) -> f64 {
        let [least, most] = self.fleet.scenario.nodes.list_late_s;
        least + (most - least) * self.fleet.state().rng.random::<f64>()
    }

    fn take_gateways(&self, part: f64) -> Vec<usize> {
        let n = self.fleet.doors.len();
        let mut all: Vec<usize> = (0..n).collect();
        all.shuffle(&mut self.fleet.state().rng);
        all.truncate((n as f64 * part).round().max(1.0) as usize);
        all
    }

    async fn knob(&self, nodes: &[usize], control: Control) {
        for k in nodes {
            self.fleet.control_node(*k, &control).await;
        }
    }

    /// Sets a knob on some nodes for a while.
    async fn while_set(&self, part: f64, len: f64, set: Control, unset: Control) {
        let nodes = self.take_nodes(part);
        self.knob(&nodes, set).await;
        wait(len).await;
        self.knob(&nodes, unset).await;
        self.free_nodes(&nodes);
    }

    async fn tokens_while(&self, len: f64, set: TokenControl) {
        let from = now();
        self.fleet.control_introspection(&set).await;
        wait(len).await;
        let delay_ms = Some(self.fleet.scenario.introspection_ms);
        let back = TokenControl { mode: Some(Mode::Ok), delay_ms, revoke: vec![] };
        self.fleet.control_introspection(&back).await;
        self.fleet.state().facts.no_verdicts.push((from, now()));
    }

    async fn play(&self, trouble: &Trouble) -> Result<(), String> {
        use Trouble::*;
        let fleet = &self.fleet;
        match trouble {
            Crash { part, len } => {
                let nodes = self.take_nodes(*part);
                nodes.iter().for_each(|k| fleet.kill_node(*k));
                self.down(&nodes, *len).await?;
            }
            Preempt { part, notice, len } => {
                let nodes = self.take_nodes(*part);
                self.list(&nodes, Listed::Draining);
                wait(*notice).await;
                nodes.iter().for_each(|k| fleet.kill_node(*k));
                self.down(&nodes, *len).await?;
            }
            FastErrors { part, rate, len } => {
                let set = Control { error_rate: Some(*rate), ..Control::default() };
                let unset = Control { error_rate: Some(0.0), ..Control::default() };
                self.while_set(*part, *len, set, unset).await;
            }
            Cut { part, rate, len } => {
                let set = Control { close_rate: Some(*rate), ..Control::default() };
                let unset = Control { close_rate: Some(0.0), ..Control::default() };
                self.while_set(*part, *len, set, unset).await;
            }
            Full { part, rate, len } => {
                let set = Control { full_rate: Some(*rate), ..Control::default() };
                let unset = Control { full_rate: Some(0.0), ..Control::default() };
                self.while_set(*part, *len, set, unset).await;
            }
            Throttle { part, times, len } => {
                let set = Control { slow: Some(*times), ..Control::default() };
                let unset = Control { slow: Some(1.0), ..Control::default() };
                self.while_set(*part, *len, set, unset).await;
            }
            ReportLate { len } => {
                // It stands in no other step's way: nodes may die meanwhile.
                let all: Vec<usize> = (0..fleet.state().nodes.len()).collect();
                self.knob(&all, Control { meter: Some(false), ..Control::default() }).await;
                wait(*len).await;
                self.knob(&all, Control { meter: Some(true), ..Control::default() }).await;
            }
            Pauses { part, pause_ms, every, len } => {
                let (nodes, end) = (self.take_nodes(*part), Instant::now() + seconds(*len));
                while Instant::now() < end {
                    self.knob(&nodes, Control { pause_ms: Some(*pause_ms), ..Control::default() }).await;
                    wait(*every).await;
                }
                self.free_nodes(&nodes);
            }
            Shrink { part, drain, len } => {
                let nodes = self.take_nodes(*part);
                self.drain(&nodes, *drain).await;
                wait(*len).await;
                for k in &nodes {
                    fleet.start_node(*k, true)?;
                }
                self.list(&nodes, Listed::Ready);
                self.free_nodes(&nodes);
            }
            Deploy { part, batch, drain, len } => self.deploy(*part, *batch, *drain, *len).await?,
            BalancerRoll { part, batch, down, len } => {
                let gateways = self.take_gateways(*part);
                let size = ((fleet.doors.len() as f64 * batch).round() as usize).max(1);
                let batches = gateways.len().div_ceil(size);
                for some in gateways.chunks(size) {
                    some.iter().for_each(|k| fleet.kill_gateway(*k));
                    wait(*down).await;
                    for k in some {
                        fleet.revive_gateway(*k)?;
                    }
                    wait((len / batches as f64 - down).max(0.0)).await;
                }
            }
            RollingRestart { len } => {
                let n = fleet.doors.len();
                for k in 0..n {
                    fleet.end_gateway(k);
                    fleet.revive_gateway(k)?;
                    wait(len / n as f64).await;
                }
            }
            BalancerStall { part, stall_ms, every, len } => {
                let (gateways, end) = (self.take_gateways(*part), Instant::now() + seconds(*len));
                while Instant::now() < end {
                    let from = now();
                    gateways.iter().for_each(|k| fleet.signal_gateway(*k, Signal::STOP));
                    wait(*stall_ms as f64 / 1e3).await;
                    gateways.iter().for_each(|k| fleet.signal_gateway(*k, Signal::CONT));
                    let spans = gateways.iter().map(|k| Span { gateway: *k, from, to: now() });
                    fleet.state().facts.stalled.extend(spans);
                    wait(*every).await;
                }
            }
            HotKey { insurers, times, len } => {
                let mut all: Vec<usize> = (0..self.tokens.len()).collect();
                all.shuffle(&mut fleet.state().rng);
                let hot: Vec<_> = all.into_iter().take(*insurers).map(|k| (k, *times)).collect();
                self.tablets.turn(|k| k.hot = hot);
                wait(*len).await;
                self.tablets.turn(|k| k.hot.clear());
            }
            Scan { per_s, len } => {
                let names = fleet.scenario.one_offs;
                self.tablets.turn(|k| k.scan = (*per_s, names));
                wait(*len).await;
                self.tablets.turn(|k| k.scan = (0.0, names));
            }
            RetryAbuse { len } => {
                self.tablets.turn(|k| k.abuse = true);
                wait(*len).await;
                self.tablets.turn(|k| k.abuse = false);
            }
            HotCaller { share, len } => {
                self.tablets.turn(|k| k.busiest = *share);
                wait(*len).await;
                self.tablets.turn(|k| k.busiest = 0.0);
            }
            Reconnect {} => self.tablets.turn(|k| k.shifts += 1),
            ZoneDark { zone, len } => {
                let nodes = self.take_zone(zone)?;
                nodes.iter().for_each(|k| fleet.kill_node(*k));
                self.down(&nodes, *len).await?;
            }
            ZoneFlap { zone, times, down, up } => {
                for _ in 0..*times {
                    let nodes = self.take_zone(zone)?;
                    nodes.iter().for_each(|k| fleet.kill_node(*k));
                    self.down(&nodes, *down).await?;
                    wait(*up).await;
                }
            }
            ZoneCut { from, to, len } => {
                let nodes = self.take_zone(to)?;
                let zones = &fleet.scenario.zones;
                let theirs = (0..fleet.doors.len()).filter(|k| zones[k % zones.len()] == *from);
                let cut: Vec<_> = theirs.map(|k| fleet.source(k)).collect();
                self.knob(&nodes, Control { cut: Some(cut), ..Control::default() }).await;
                wait(*len).await;
                self.knob(&nodes, Control { cut: Some(vec![]), ..Control::default() }).await;
                self.free_nodes(&nodes);
            }
            ZoneSlow { zone, times, len } => {
                let nodes = self.take_zone(zone)?;
                self.knob(&nodes, Control { slow: Some(*times), ..Control::default() }).await;
                wait(*len).await;
                self.knob(&nodes, Control { slow: Some(1.0), ..Control::default() }).await;
                self.free_nodes(&nodes);
            }
            ZoneSilent { zone, len } => {
                let nodes = self.take_zone(zone)?;
                let pause_ms = Some((len * 1e3) as u64);
                self.knob(&nodes, Control { pause_ms, ..Control::default() }).await;
                wait(*len).await;
                self.free_nodes(&nodes);
            }
            IntrospectionSlow { delay_ms, len } => {
                let set = TokenControl { delay_ms: Some(*delay_ms), ..TokenControl::default() };
                self.tokens_while(*len, set).await;
            }
            IntrospectionSilent { len } => self.tokens_mode(Mode::Silent, *len).await,
            IntrospectionErrors { len } => self.tokens_mode(Mode::Error, *len).await,
            IntrospectionHalf { len } => self.tokens_mode(Mode::Half, *len).await,
            IntrospectionRestart { down } => {
                let from = now();
                fleet.kill_introspection();
                wait(*down).await;
                fleet.start_introspection()?;
                // A restarted server has forgotten what the script revoked.
                let revoke = fleet.state().facts.revoked.iter().map(|r| r.0.clone()).collect();
                fleet.control_introspection(&TokenControl { revoke, ..TokenControl::default() }).await;
                fleet.state().facts.no_verdicts.push((from, now()));
            }
            CounterDown { how: Down::Silent, back: Back::Kept, len } => {
                fleet.signal_counter(Signal::STOP);
                wait(*len).await;
                fleet.signal_counter(Signal::CONT);
            }
            CounterDown { how, back, len } => {
                match how {
                    Down::Silent => fleet.signal_counter(Signal::STOP),
                    Down::Refusing => fleet.kill_counter(),
                }
                wait(*len).await;
                fleet.kill_counter();
                fleet.start_counter(*back == Back::Empty)?;
            }
            CounterKill { times, every, down } => {
                for _ in 0..*times {
                    fleet.kill_counter();
                    wait(*down).await;
                    fleet.start_counter(false)?;
                    wait((every - down).max(0.0)).await;
                }
            }
            ReplyLost { rate, len } => {
                self.lossy.lose(*rate);
                wait(*len).await;
                self.lossy.lose(0.0);
            }
            Revoke { tokens } => {
                let revoke: Vec<String> = {
                    let mut s = fleet.state();
                    let mut draw = || {
                        let (name, n) = &self.tokens[s.rng.random_range(0..self.tokens.len())];
                        format!("t.{name}.{}", s.rng.random_range(0..*n))
                    };
                    (0..*tokens).map(|_| draw()).collect()
                };
                let control = TokenControl { revoke: revoke.clone(), ..TokenControl::default() };
                fleet.control_introspection(&control).await;
                let t = now();
                fleet.state().facts.revoked.extend(revoke.into_iter().map(|token| (token, t)));
            }
            Reload {} => fleet.publish(),
            LinkCut { from, to, both, how, len } => {
                let set = |how| {
                    fleet.paths(from, to, how, Duration::ZERO);
                    if *both {
                        fleet.paths(to, from, how, Duration::ZERO);
                    }
                };
                set(*how);
                wait(*len).await;
                set(How::Open);
            }
            LinkSlow { ms, len } => {
                let all: Vec<usize> = (0..fleet.doors.len()).collect();
                fleet.paths(&all, &all, How::Open, Duration::from_millis(*ms));
                wait(*len).await;
                fleet.paths(&all, &all, How::Open, Duration::ZERO);
            }
            Stop { gateways, len } => {
                let from = now();
                gateways.iter().for_each(|k| fleet.signal_gateway(*k, Signal::STOP));
                wait(*len).await;
                gateways.iter().for_each(|k| fleet.signal_gateway(*k, Signal::CONT));
                let spans = gateways.iter().map(|k| Span { gateway: *k, from, to: now() });
                fleet.state().facts.stalled.extend(spans);
            }
            Kill { gateways, down, lose_disk } => {
                gateways.iter().for_each(|k| fleet.kill_gateway(*k));
                if *lose_disk {
                    for k in gateways {
                        let folder = fleet.dir.join(format!("accord-{k}"));
                        std::fs::remove_dir_all(&folder).map_err(|e| format!("{}: {e}", folder.display()))?;
                    }
                }
                wait(*down).await;
                for k in gateways {
                    fleet.revive_gateway(*k)?;
                }
            }
            Publish { by, change } => {
                if !fleet.edit(*by, change).await? {
                    let what = format!("{change:?}");
                    fleet.state().unpublished.push(what);
                }
            }
            BadReload {} => (0..fleet.doors.len()).try_for_each(|k| fleet.bad_reload(k))?,
        }
        Ok(())
    }

    async fn tokens_mode(&self, mode: Mode, len: f64) {
        self.tokens_while(len, TokenControl { mode: Some(mode), ..TokenControl::default() }).await;
    }

    /// Nodes that are dead: the list learns of it late, and of their return, cold, late again.
    async fn down(&self, nodes: &[usize], len: f64) -> Result<(), String> {
        let late = self.lateness().min(len);
        wait(late).await;
        self.list(nodes, Listed::Absent);
        wait(len - late).await;
        for k in nodes {
            self.fleet.start_node(*k, true)?;
        }
        wait(self.lateness()).await;
        self.list(nodes, Listed::Ready);
        self.free_nodes(nodes);
        Ok(())
    }

    /// Drains nodes and ends them.
    async fn drain(&self, nodes: &[usize], drain: f64) {
        self.list(nodes, Listed::Draining);
        Timer::after(OWN_DRAIN).await;
        self.knob(nodes, Control { draining: Some(true), ..Control::default() }).await;
        wait(drain - OWN_DRAIN.as_secs_f64()).await;
        nodes.iter().for_each(|k| self.fleet.kill_node(*k));
        self.list(nodes, Listed::Absent);
    }

    /// Replaces nodes by new ones at new addresses, a batch at a time.
    async fn deploy(&self, part: f64, batch: f64, drain: f64, len: f64) -> Result<(), String> {
        let old = self.take_nodes(part);
        let fleet_size = self.fleet.scenario.nodes.count;
        let size = ((fleet_size as f64 * batch).round() as usize).max(1);
        let batches = old.len().div_ceil(size);
        for some in old.chunks(size) {
            let began = Instant::now();
            let mut new = vec![];
            for k in some {
                new.push(self.fleet.add_node(*k % fleet_size, true)?);
            }
            self.list(&new, Listed::Ready);
            self.drain(some, drain).await;
            wait(len / batches as f64 - began.elapsed().as_secs_f64()).await;
        }
        Ok(())
    }
}
