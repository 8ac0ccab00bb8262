//! A scenario in virtual time: the events between gateways, servers, endpoint list and clients.

use crate::counter::{Between, Caller, Model};
use crate::outcome::Outcome;
use crate::scenario::Day;
use crate::server::{Job, Make, Node};
use crate::settings::{settings, zone_of};
use crate::Micros;
use frostgauge::{ServerEntry, ServerId, ServerState, Status};
use frostgauge_gateway::core::{Command, Core, Input};
use frostgauge_identity::{Grant, Verdict};
use frostgauge_settings::Loaded;
use frostgauge_zones::Phase;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::{BTreeMap, VecDeque};
use std::rc::Rc;

const MS: Micros = 1_000;
pub(crate) const S: Micros = 1_000_000;
/// Time at which a scenario starts, far enough from zero for any look back.
pub(crate) const START: Micros = 1_800_000_000 * S;
/// Delay between a gateway and a server, one way.
pub(crate) const ONE_WAY_DELAY: Micros = MS;
/// A connection that is not answered is given up after this.
pub(crate) const CONNECT_TIMEOUT: Micros = 250 * MS;
/// Tenants of a scenario.
pub(crate) const TENANTS: u64 = 40;
/// Zones of a scenario.
pub(crate) const ZONES: u32 = 3;
/// Timeout of every client.
pub(crate) const CLIENT_TIMEOUT: Micros = 1_500 * MS;

pub(crate) enum Event {
    Between(usize, u32, Between),
    Committed,
    CounterDown(Option<bool>),
    Arrive,
    Wake(usize),
    Input(usize, u32, Input),
    AtNode(usize, Job),
    Done(usize, u32, Job),
    Late(usize, u32, u64, u32),
    List(usize, u64, Rc<Vec<ServerEntry>>),
    Fault(usize),
    Back(Vec<usize>),
    Unslow(u32),
    Uncut(u32, u32),
}

pub(crate) struct Gateway {
    pub(crate) core: Core,
    pub(crate) incarnation: u32,
    pub(crate) caller: Option<Caller>,
    pub(crate) wake: Micros,
    pub(crate) listed: u64,
    /// Starts of nodes, as its list has them.
    pub(crate) starts: Vec<Micros>,
    pub(crate) open: BTreeMap<u64, Micros>,
    pub(crate) out: BTreeMap<(u64, u32), (usize, Micros)>,
}

/// Two stores of an tenant: of what went, and of all that was asked.
#[derive(Clone, Copy)]
pub(crate) struct TenantQuota {
    pub(crate) real: f64,
    pub(crate) ideal: f64,
    pub(crate) at: Micros,
}

pub(crate) struct Simulation<'a> {
    pub(crate) day: &'a Day,
    pub(crate) base: &'a Loaded,
    pub(crate) now: Micros,
    pub(crate) counter: Option<Model>,
    pub(crate) stores: Vec<TenantQuota>,
    /// Insurers of open requests.
    pub(crate) asking: BTreeMap<u64, usize>,
    pub(crate) seq: u64,
    pub(crate) events: BTreeMap<(Micros, u64), Event>,
    pub(crate) gateways: Vec<Gateway>,
    pub(crate) nodes: Vec<Node>,
    pub(crate) ids: BTreeMap<ServerId, usize>,
    pub(crate) version: u64,
    pub(crate) cuts: Vec<(u32, u32)>,
    pub(crate) busy: Vec<usize>,
    pub(crate) spills: BTreeMap<(u32, u32), VecDeque<Micros>>,
    pub(crate) next_call_id: u64,
    pub(crate) arrivals: ChaCha8Rng,
    pub(crate) work: ChaCha8Rng,
    pub(crate) script: ChaCha8Rng,
    pub(crate) loss: ChaCha8Rng,
    pub(crate) outcome: Outcome,
}

fn stream(seed: u64, n: u64) -> ChaCha8Rng {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    rng.set_stream(n);
    rng
}

/// Plays a day.
///
/// # Errors
/// Settings that are not taken.
pub fn run(day: &Day) -> Result<Outcome, String> {
    let base = settings(day)?;
    let make = Make {
        cores: 2,
        queue: 20,
        work_ms: 40.0,
        cold: (8 * S, 0.25),
        fall_multiple: 3.0,
        fall: 1_500 * MS,
    };
    let n: usize = day.nodes.iter().sum();
    let mut world = Simulation {
        day,
        base: &base,
        now: START,
        seq: 0,
        events: BTreeMap::new(),
        gateways: vec![],
        nodes: (0..n).map(|k| Node::new(zone_of(day, k), make)).collect(),
        ids: base.nodes.iter().enumerate().map(|(k, n)| (n.entry.server, k)).collect(),
        version: 0,
        cuts: vec![],
        busy: vec![],
        spills: BTreeMap::new(),
        next_call_id: 0,
        arrivals: stream(day.seed, 2),
        work: stream(day.seed, 3),
        script: stream(day.seed, 4),
        loss: stream(day.seed, 5),
        counter: day.counter.map(Model::new),
        stores: vec![TenantQuota { real: day.quota[1], ideal: day.quota[1], at: START }; TENANTS as usize],
        asking: BTreeMap::new(),
        outcome: Outcome { trace: 0xcbf2_9ce4_8422_2325, ..Outcome::default() },
    };
    for k in 0..day.gateways {
        let gateway = world.gateway(k, 0)?;
        world.gateways.push(gateway);
        world.settle(k, vec![]);
    }
    for (k, (at, _)) in day.faults.iter().enumerate() {
        world.at(START + at, Event::Fault(k));
    }
    world.at(START, Event::Arrive);
    let end = START + day.length + day.quiet;
    while let Some(((at, _), ev)) = world.events.pop_first() {
        if at > end {
            break;
        }
        world.now = at;
        world.event(ev)?;
    }
    world.close(end);
    world.outcome.counted = world.counter.map(|c| c.seen);
    Ok(world.outcome)
}

impl Simulation<'_> {
    pub(crate) fn at(&mut self, at: Micros, ev: Event) {
        self.seq += 1;
        self.events.insert((at.max(self.now), self.seq), ev);
    }

    /// Whole seconds since the day's start.
    pub(crate) fn second(&self) -> usize {
        ((self.now - START) / S) as usize
    }

    /// Whether something with this chance of being lost is.
    pub(crate) fn lost(&mut self, chance: f64) -> bool {
        self.loss.random::<f64>() < chance
    }

    pub(crate) fn note(&mut self, word: u64) {
        self.outcome.trace = (self.outcome.trace ^ word ^ self.now).wrapping_mul(0x0100_0000_01b3);
    }

    pub(crate) fn gateway(&mut self, k: usize, incarnation: u32) -> Result<Gateway, String> {
        let mut loaded = self.base.clone();
        loaded.file.gateway.number = k;
        loaded.file.gateway.zone = format!("z{}", k as u32 % ZONES);
        loaded.library.gateway_id = k;
        loaded.library.zone = k as u32 % ZONES;
        loaded.library.capabilities.shared_counter = self.day.counter.is_some();
        loaded.library.capabilities.counter_call_timeout = 80 * MS;
        // What it knows is its last list.
        let entries = self.entries();
        for (node, entry) in loaded.nodes.iter_mut().zip(&entries) {
            node.entry = entry.clone();
        }
        let seed = self.day.seed.wrapping_mul(1_000_003) ^ (k as u64) << 20 ^ u64::from(incarnation);
        let core = Core::new(&loaded, seed, self.now).map_err(|e| e.to_string())?;
        let starts = self.nodes.iter().map(|n| n.started).collect();
        let (open, out) = (BTreeMap::new(), BTreeMap::new());
        let caller = self.day.counter.map(|_| Caller::new(k, incarnation, seed));
        Ok(Gateway { core, incarnation, caller, wake: 0, listed: self.version, starts, open, out })
    }

    pub(crate) fn entries(&self) -> Vec<ServerEntry> {
        let entry = |(k, n): (usize, &frostgauge_settings::Node)| ServerEntry {
            state: if self.nodes[k].alive { ServerState::Ready } else { ServerState::Removed },
            ready_at: self.nodes[k].started,
            ..n.entry.clone()
        };
        self.base.nodes.iter().enumerate().map(entry).collect()
    }

    pub(crate) fn event(&mut self, ev: Event) -> Result<(), String> {
        match ev {
            Event::Between(k, incarnation, what) => {
                if self.gateways[k].incarnation == incarnation {
                    self.between(k, what);
                }
            }
            Event::Committed => self.committed(),
            Event::CounterDown(down) => self.counter_down(down),
            Event::Arrive => self.arrive(),
            Event::Wake(k) => {
                if self.gateways[k].wake == self.now {
                    let mut out = vec![];
                    self.gateways[k].wake = 0;
                    self.gateways[k].core.advance(self.now, &mut out);
                    self.settle(k, out);
                }
            }
            Event::Input(k, incarnation, input) => {
                if self.gateways[k].incarnation == incarnation && self.still_out(k, &input) {
                    self.input(k, input);
                }
            }
            Event::AtNode(node, job) => self.at_node(node, job),
            Event::Done(node, incarnation, job) => {
                if self.nodes[node].incarnation == incarnation {
                    let next = self.nodes[node].done(job);
                    self.ended(node, job, Status::Ok, ONE_WAY_DELAY);
                    if let Some(next) = next {
                        self.begin(node, next);
                    }
                }
            }
            Event::Late(k, incarnation, call_id, attempt) => {
                if self.gateways[k].incarnation == incarnation {
                    self.end(k, call_id, attempt, Status::Timeout);
                }
            }
            Event::List(k, version, entries) => {
                if version > self.gateways[k].listed {
                    let mut out = vec![];
                    let gateway = &mut self.gateways[k];
                    gateway.listed = version;
                    gateway.starts = entries.iter().map(|e| e.ready_at).collect();
                    let there: Vec<ServerEntry> =
                        entries.iter().filter(|e| e.state != ServerState::Removed).cloned().collect();
                    gateway.core.replace_servers(self.now, there, &mut out);
                    self.settle(k, out);
                }
            }
            Event::Fault(k) => self.fault(self.day.faults[k].1.clone())?,
            Event::Back(nodes) => {
                for k in nodes {
                    // One that fell over stays down; so does one that another fault holds.
                    if !self.nodes[k].alive && !self.nodes[k].fell {
                        self.nodes[k].start(self.now);
                    }
                }
                self.publish();
            }
            Event::Unslow(zone) => {
                self.nodes.iter_mut().filter(|n| n.zone == zone).for_each(|n| n.slow = 1.0)
            }
            Event::Uncut(from, to) => self.cuts.retain(|c| *c != (from, to)),
        }
        Ok(())
    }

    pub(crate) fn input(&mut self, k: usize, input: Input) {
        let mut out = vec![];
        self.gateways[k].core.handle(self.now, input, &mut out);
        self.settle(k, out);
    }

    /// Carries out what a gateway said, and sees that it is woken.
    pub(crate) fn settle(&mut self, k: usize, mut out: Vec<Command>) {
        if self.gateways[k].wake == 0 && self.gateways[k].core.next_wake().is_none() {
            // The library's first round begins with its first look at the clock.
            self.gateways[k].core.advance(self.now, &mut out);
        }
        let incarnation = self.gateways[k].incarnation;
        for command in out {
            match command {
                Command::Introspect { flight, token, .. } => {
                    let grant = Grant { subject: format!("ins-{}", token[0]), scopes: vec![] };
                    let answer = Some(Verdict::Valid { grant, exp: None });
                    self.at(
                        self.now + 2 * MS,
                        Event::Input(k, incarnation, Input::Introspected { flight, answer }),
                    );
                }
                Command::Send { call_id, attempt, server, timeout, .. } => {
                    self.draw(call_id, true);
                    self.send(k, call_id, attempt, server, timeout)
                }
                Command::Cancel { call_id, attempt } => self.end(k, call_id, attempt, Status::Cancelled),
                Command::Deliver { call_id, .. } => {
                    self.outcome.served += 1;
                    self.answered(k, call_id);
                }
                Command::Answer { call_id, answer } => {
                    self.outcome.refused_zone += u64::from(answer.reason() == "zone");
                    if answer.reason() == "quota" {
                        self.draw(call_id, false);
                    }
                    self.asking.remove(&call_id);
                    self.answered(k, call_id);
                }
                Command::AddToCounter { counter, amount, ttl } => self.count(k, counter, amount, ttl),
                Command::CheckHealth { server } => {
                    let node = self.ids[&server];
                    let cut = self.cuts.contains(&(k as u32 % ZONES, self.nodes[node].zone));
                    let ok = self.nodes[node].alive && !cut;
                    let (status, took) = match (ok, cut) {
                        (true, _) => (Status::Ok, 2 * ONE_WAY_DELAY),
                        (_, true) => (Status::ConnectFailed, CONNECT_TIMEOUT),
                        _ => (Status::ConnectFailed, 2 * ONE_WAY_DELAY),
                    };
                    self.at(
                        self.now + took,
                        Event::Input(k, incarnation, Input::HealthChecked { server, status, elapsed: took }),
                    );
                }
                _ => {}
            }
        }
        if let Some(next) = self.gateways[k].core.next_wake() {
            let next = next.max(self.now + 1);
            if self.gateways[k].wake == 0 || next < self.gateways[k].wake {
                self.gateways[k].wake = next;
                self.at(next, Event::Wake(k));
            }
        }
    }

    /// What is left at the end.
    pub(crate) fn close(&mut self, end: Micros) {
        for gateway in &self.gateways {
            self.outcome.answers_wrong += gateway.open.values().filter(|due| **due < end).count() as u64;
            let Some(zones) = gateway.core.zones() else { continue };
            // A zone whose only node fell over is gone for good.
            let alive = (0..ZONES).filter(|z| self.nodes.iter().any(|n| n.zone == *z && n.alive));
            let standings = alive.filter_map(|z| zones.status(end, z));
            self.outcome.away += standings.filter(|s| s.phase != Phase::Home).count() as u64;
        }
    }
}
