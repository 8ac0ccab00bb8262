//! A fleet in memory, in virtual time: the processes of [`Process`], links that cut, lose, double and reorder, clocks
//! that run fast or slow, disks that are lost, and servers that keep a ledger of what they were sent.
//!
//! Everything is drawn from a seed, and the same seed gives the same run. What is judged (see [`Checks`]) is what the
//! servers saw and what the editors were told.

use crate::checks::{Act, Checks};
use crate::guard::Guard;
use crate::process::{Permit, Process, Start, Transport};
use crate::wire::{Wire, Wired};
use frostgauge_accord::{
    Class, Gateway, Keeper, Message, Micros, Number, Outcome, Plan, Proposal, Rules, Server, Settings, State,
    Tenant, Tuning, Under, FORMAT,
};
use frostgauge_budget::{Budget, Lend, Policy, Report, Rule, Select, Set, Ticket};
use frostgauge_storage::sim::{Plan as DiskPlan, SimDisk};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap};

/// A second, in microseconds.
pub const SECOND: Micros = 1_000_000;
/// An idle connection is closed by its server after this.
const IDLE: Micros = 2_000_000;
/// A request looks so often again for a free slot, a beat apart.
const TRIES: u8 = 8;
/// Gateways look for work this often.
const BEAT: Micros = 50_000;
/// Bytes that wait for a stopped process, messages: the rest is lost, as in a full buffer of a socket.
const WAITING: usize = 4_096;

/// A fault that is planted, so that a check can be shown to find it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Plant {
    /// Followers count leases from the answer.
    LeaseFromAnswer,
    /// One keeper's grant is a lease.
    OneIsEnough,
    /// Keepers that start speak of their leases at once.
    NoQuarantine,
    /// Keepers take leases to be over at once.
    NoWait,
    /// A gateway sends without a second look.
    NoSecondLook,
    /// Disks of keepers say that they have synced, and have not.
    LyingDisks,
    /// A keeper that lost its disk is founded anew.
    FoundedAnew,
    /// Slots are given anew once the lease is over, before the server's idle limit.
    BeforeIdle,
    /// A connection closed here counts as closed at the server.
    ClosedHere,
    /// Gateways open connections without a slot.
    NoSlots,
}

impl Plant {
    /// All of them, by name.
    pub const ALL: [(&'static str, Plant); 10] = [
        ("lease-from-answer", Plant::LeaseFromAnswer),
        ("one-is-enough", Plant::OneIsEnough),
        ("no-quarantine", Plant::NoQuarantine),
        ("no-wait", Plant::NoWait),
        ("no-second-look", Plant::NoSecondLook),
        ("lying-disks", Plant::LyingDisks),
        ("founded-anew", Plant::FoundedAnew),
        ("before-idle", Plant::BeforeIdle),
        ("closed-here", Plant::ClosedHere),
        ("no-slots", Plant::NoSlots),
    ];
}

/// What a fleet is built from.
#[derive(Clone, Debug)]
pub struct Given {
    /// Gateways, numbered from 1.
    pub gateways: u16,
    /// Keepers among them: the first so many.
    pub keepers: u16,
    /// Servers, `s1` and on.
    pub servers: u16,
    /// Times.
    pub settings: Settings,
    /// Of all draws.
    pub seed: u64,
    /// A fault that is planted.
    pub plant: Option<Plant>,
    /// Gateways do work, and servers keep their ledger.
    pub traffic: bool,
    /// Connections that each server holds from the fleet, shared by policy; none: as many as come.
    pub connections: Option<u32>,
    /// Tenants beside the three that are always there, without floors.
    pub more_tenants: u16,
}

impl Given {
    /// So many gateways, the first few of them keepers.
    pub fn fleet(gateways: u16, keepers: u16) -> Given {
        let settings = Settings::default();
        let (servers, seed, plant, traffic, connections, more_tenants) = (6, 1, None, true, None, 0);
        Given { gateways, keepers, servers, settings, seed, plant, traffic, connections, more_tenants }
    }

    /// The rules that the fleet begins with: three tenants with floors, two classes, servers all ready. Parts are
    /// large enough that a fleet of hundreds has whole thousandths.
    pub fn rules(&self) -> Rules {
        let class = |cost_milli, repeatable| Class { cost_milli, repeatable, ground: true };
        let all: BTreeSet<String> = ["read", "report"].map(str::to_owned).into();
        let n = u64::from(self.gateways);
        let tenant =
            |plan: &str, floor| Tenant { plan: plan.into(), classes: all.clone(), floor_milli: floor };
        let server = |k: u16| {
            let address = format!("10.0.{}.{}:80", k / 250, k % 250 + 1);
            (format!("s{k}"), Server { address, state: State::Ready, zone: String::new() })
        };
        Rules {
            format: FORMAT,
            classes: [("read".into(), class(1_000, true)), ("report".into(), class(2_000, false))].into(),
            plans: [
                ("small".into(), Plan { rate_milli: 4_000 * n, ceiling_milli: Some(6_000 * n) }),
                ("large".into(), Plan { rate_milli: 8_000 * n, ceiling_milli: None }),
            ]
            .into(),
            tenants: [
                ("norte".into(), tenant("small", 1_000)),
                ("sul".into(), tenant("small", 1_000)),
                ("oeste".into(), tenant("large", 2_000)),
            ]
            .into_iter()
            .chain((1..=self.more_tenants).map(|k| (format!("t{k}"), tenant("small", 0))))
            .collect(),
            servers: (1..=self.servers).map(server).collect(),
            gateways: (1..=self.gateways).collect(),
            budgets: self.connections.map_or_else(Policy::default, |n| self.budgets(n)),
        }
    }

    /// One budget for all servers: a fifth of it is the floor of each tenant, half of that kept for ground, and some of
    /// it may be lent.
    fn budgets(&self, connections: u32) -> Policy {
        // No floors where tenants are many: they would not fit.
        let floor = if self.more_tenants > 0 { 0 } else { connections * u32::from(self.servers) / 5 };
        let budget = Budget { zone: None, connections, idle_ms: IDLE / 1_000, attempt_ms: 400, turn_ms: 500 };
        let lend = Some(Lend { up_to: floor / 4, back_ms: 5_000 });
        let all = Set { floor: Some(floor), ground: Some(floor / 2), lend, ..Set::default() };
        let large = Set { weight: Some(2), ..Set::default() };
        let select = Select { plans: ["large".to_owned()].into(), ..Select::default() };
        Policy {
            budgets: [("all".to_owned(), budget)].into(),
            rules: vec![
                Rule { name: "everyone".into(), select: Select::default(), when: BTreeSet::new(), set: all },
                Rule { name: "large".into(), select, when: BTreeSet::new(), set: large },
            ],
            ..Policy::default()
        }
    }
}

/// Without a stride: what is picked by it does not go by what else is picked.
fn mixed(n: u64) -> usize {
    (n.wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 33) as usize
}

#[derive(Debug)]
enum Event {
    Bytes {
        from: Gateway,
        to: Gateway,
        bytes: Vec<u8>,
    },
    Wake {
        who: Gateway,
        boot: u64,
    },
    Beat {
        who: Gateway,
    },
    Send {
        who: Gateway,
        boot: u64,
        permit: Permit,
        tries: u8,
    },
    Heard {
        who: Gateway,
        boot: u64,
        server: String,
        asked: Micros,
        ready: bool,
    },
    /// Something happens to a connection at its server.
    Wire {
        id: u64,
        what: Wired,
    },
    /// A gateway hears that a connection is closed there.
    Closed {
        who: Gateway,
        boot: u64,
        ticket: Ticket,
    },
    /// A request has no more use for its connection.
    Done {
        who: Gateway,
        boot: u64,
        ticket: Ticket,
    },
}

struct Machine {
    process: Option<Process<SimDisk>>,
    boot: u64,
    /// The clock: what it showed at a true time, and how fast it runs, parts of a million off.
    base: (Micros, Micros),
    drift_ppm: i64,
    paused: bool,
    waiting: Vec<Event>,
    keeps: Option<SimDisk>,
    store: Option<SimDisk>,
    credit: BTreeMap<String, u64>,
    last_beat: Micros,
    wake_at: Micros,
    picks: u64,
    /// Requests take this long from the look to the send.
    dawdles: Micros,
    fails_under: Option<Number>,
    /// Only these tenants come to this gateway; none: all.
    only: Option<BTreeSet<String>>,
}

/// A tenant, this gateway's part of its sum, and its classes with what a request counts for.
type Work = (String, u64, Vec<(String, u64)>);

/// What links do at present.
#[derive(Clone, Debug)]
pub struct Weather {
    /// Of a thousand messages, so many are lost.
    pub loss: u32,
    /// Of a thousand messages, so many come twice.
    pub doubled: u32,
    /// A message takes between these.
    pub delay: (Micros, Micros),
}

struct Net {
    cuts: BTreeSet<(Gateway, Gateway)>,
    weather: Weather,
    /// When the last message of a link comes: as on a connection, none overtakes another in good weather.
    last: BTreeMap<(Gateway, Gateway), Micros>,
    /// Messages to a gateway take so much longer.
    slow: BTreeMap<Gateway, Micros>,
    rng: ChaCha8Rng,
    out: Vec<(Gateway, Vec<u8>)>,
    bytes: u64,
    messages: u64,
}

struct Post<'a>(&'a mut Vec<(Gateway, Vec<u8>)>);

impl Transport for Post<'_> {
    fn send(&mut self, to: Gateway, bytes: Vec<u8>) {
        self.0.push((to, bytes));
    }
}

/// A server as it is.
#[derive(Clone, Copy, Debug)]
struct Real {
    up: bool,
    ready: bool,
}

/// The fleet.
pub struct World {
    given: Given,
    tuning: Tuning,
    now: Micros,
    order: u64,
    events: BinaryHeap<Reverse<(Micros, u64, usize)>>,
    slots: Vec<Option<Event>>,
    free: Vec<usize>,
    machines: BTreeMap<Gateway, Machine>,
    net: Net,
    wire: Wire,
    servers: BTreeMap<String, Real>,
    rng: ChaCha8Rng,
    checks: Checks,
    next_id: u64,
    asked: BTreeMap<u64, Proposal>,
}

impl World {
    /// Builds and starts the fleet: its first version is in force from the beginning.
    ///
    /// # Panics
    /// The settings or the rules that were given have faults.
    pub fn new(given: Given) -> World {
        let mut tuning = given.settings.tuning().unwrap_or_else(|f| panic!("settings: {f:?}"));
        match given.plant {
            Some(Plant::LeaseFromAnswer) => tuning.counted_from_answer = true,
            Some(Plant::OneIsEnough) => tuning.one_is_enough = true,
            Some(Plant::NoQuarantine) => tuning.quarantine = 0,
            Some(Plant::NoWait) => tuning.wait = 1,
            Some(Plant::BeforeIdle) => tuning.before_idle = true,
            _ => {}
        }
        let mut rng = ChaCha8Rng::seed_from_u64(given.seed);
        let weather = Weather { loss: 0, doubled: 0, delay: (500, 5_000) };
        let net = Net {
            cuts: BTreeSet::new(),
            weather,
            last: BTreeMap::new(),
            slow: BTreeMap::new(),
            rng: ChaCha8Rng::seed_from_u64(rng.random()),
            out: vec![],
            bytes: 0,
            messages: 0,
        };
        let rules = given.rules();
        let mut world = World {
            tuning,
            now: SECOND,
            order: 0,
            events: BinaryHeap::new(),
            slots: vec![],
            free: vec![],
            machines: BTreeMap::new(),
            net,
            wire: Wire::default(),
            servers: rules.servers.keys().map(|s| (s.clone(), Real { up: true, ready: true })).collect(),
            checks: Checks::new(given.settings.within_ms * 1_000, rules.clone()),
            rng,
            next_id: 1,
            asked: BTreeMap::new(),
            given,
        };
        for who in 1..=world.given.gateways {
            let keeps = (who <= world.given.keepers).then(|| world.founded());
            let drift = world.given.settings.drift_ppm as i64;
            let drift_ppm = world.rng.random_range(-drift..=drift);
            let store = Some(SimDisk::new(world.rng.random()));
            let machine = Machine {
                process: None,
                boot: 0,
                base: (world.now, world.rng.random_range(SECOND..1_000 * SECOND)),
                drift_ppm,
                paused: false,
                waiting: vec![],
                keeps,
                store,
                credit: BTreeMap::new(),
                last_beat: world.now,
                wake_at: Micros::MAX,
                picks: world.rng.random(),
                dawdles: 0,
                fails_under: None,
                only: None,
            };
            world.machines.insert(who, machine);
            world.start(who);
            if world.given.traffic {
                let at = world.now + world.rng.random_range(0..BEAT);
                world.push(at, Event::Beat { who });
            }
        }
        world
    }

    fn founded(&mut self) -> SimDisk {
        let keepers = (1..=self.given.keepers).collect();
        let percent = self.given.settings.canary_percent;
        let disk = SimDisk::new(self.rng.random());
        let made = Keeper::found(disk, &keepers, self.given.rules(), percent, self.given.seed);
        let mut disk = made.unwrap_or_else(|why| panic!("founding: {why}"));
        if self.given.plant == Some(Plant::LyingDisks) {
            disk.plan(DiskPlan { lies: true, ..DiskPlan::default() });
        }
        disk
    }

    /// True time, microseconds.
    pub fn now(&self) -> Micros {
        self.now
    }

    /// What was seen.
    pub fn checks(&self) -> &Checks {
        &self.checks
    }

    /// The processes' times.
    pub fn tuning(&self) -> &Tuning {
        &self.tuning
    }

    /// A process, unless it is down.
    pub fn process(&self, who: Gateway) -> Option<&Process<SimDisk>> {
        self.machines.get(&who).and_then(|m| m.process.as_ref())
    }

    /// All gateways.
    pub fn gateways(&self) -> impl Iterator<Item = Gateway> + '_ {
        self.machines.keys().copied()
    }

    /// Messages and bytes sent between processes so far.
    pub fn sent(&self) -> (u64, u64) {
        (self.net.messages, self.net.bytes)
    }

    /// What a gateway acts under now, by its own look.
    pub fn under(&mut self, who: Gateway) -> Option<Under> {
        let now = self.local(who);
        self.machines.get_mut(&who).and_then(|m| m.process.as_mut()).map(|p| p.look(now).0)
    }

    fn local(&self, who: Gateway) -> Micros {
        let Some(m) = self.machines.get(&who) else { return 0 };
        let gone = (self.now - m.base.0) as i128;
        m.base.1 + (gone * i128::from(1_000_000 + m.drift_ppm) / 1_000_000) as Micros
    }

    /// The true time at which a process's clock shows `at`.
    fn truly(&self, who: Gateway, at: Micros) -> Micros {
        let Some(m) = self.machines.get(&who) else { return Micros::MAX };
        if at == Micros::MAX {
            return at;
        }
        let wait = i128::from(at) - i128::from(m.base.1);
        let wait = wait * 1_000_000 / i128::from(1_000_000 + m.drift_ppm) + 1;
        (i128::from(m.base.0) + wait).max(i128::from(self.now) + 1) as Micros
    }

    fn push(&mut self, at: Micros, event: Event) {
        let slot = self.free.pop().unwrap_or_else(|| {
            self.slots.push(None);
            self.slots.len() - 1
        });
        self.slots[slot] = Some(event);
        self.order += 1;
        self.events.push(Reverse((at, self.order, slot)));
    }

    /// Starts a process that is down, with the disks that it has.
    pub fn start(&mut self, who: Gateway) {
        let (now, draw) = (self.local(who), self.rng.random());
        let keepers: BTreeSet<Gateway> = (1..=self.given.keepers).collect();
        let Some(m) = self.machines.get_mut(&who).filter(|m| m.process.is_none()) else { return };
        m.boot += 1;
        let start = Start { me: who, keepers, tuning: self.tuning, draw, alone: true };
        let store = m.store.take().unwrap_or_else(|| SimDisk::new(draw));
        match Process::start(now, start, m.keeps.take(), store) {
            Ok(process) => m.process = Some(process),
            Err(why) => self.checks.fault(format!("gateway {who} does not start: {why}")),
        }
        m.wake_at = Micros::MAX;
        m.credit.clear();
        self.after(who);
    }

    /// Kills a process; with `power`, what its disks had not synced is lost.
    pub fn kill(&mut self, who: Gateway, power: bool) {
        let Some(m) = self.machines.get_mut(&who) else { return };
        let Some(process) = m.process.take() else { return };
        (m.paused, m.fails_under) = (false, None);
        // Its work goes on with the next process; what waited in its sockets does not.
        let beats = m.waiting.drain(..).filter(|e| matches!(e, Event::Beat { .. })).count();
        m.boot += 1;
        let (keeps, store) = process.end();
        let lies = self.given.plant == Some(Plant::LyingDisks);
        let settle = |mut disk: SimDisk, lies: bool| {
            if power {
                disk.restart();
            } else {
                disk.reopen();
            }
            disk.plan(DiskPlan { lies, ..DiskPlan::default() });
            disk
        };
        let boot = m.boot - 1;
        m.keeps = keeps.map(|d| settle(d, lies));
        m.store = store.map(|d| settle(d, false));
        (0..beats).for_each(|_| self.push(self.now, Event::Beat { who }));
        for id in self.wire.of(who, boot) {
            // Its system closes what it had open; the server hears of that, or not, and closes by its own limit.
            if !power && self.rng.random_range(0..10) < 7 {
                let at = self.now + self.rng.random_range(0..10_000);
                self.push(at, Event::Wire { id, what: Wired::Fin });
            }
        }
    }

    /// A keeper that is down has its disk emptied.
    pub fn lose_disk(&mut self, who: Gateway) {
        let founded = (self.given.plant == Some(Plant::FoundedAnew)).then(|| self.founded());
        let draw = self.rng.random();
        if let Some(m) = self.machines.get_mut(&who).filter(|m| m.process.is_none()) {
            m.keeps = Some(founded.unwrap_or_else(|| SimDisk::new(draw)));
            m.store = None;
        }
    }

    /// Something goes wrong with the disk of a keeper that is down, counted from its next start.
    pub fn spoil_disk(&mut self, who: Gateway, plan: DiskPlan) {
        let disk = self.machines.get_mut(&who).and_then(|m| m.keeps.as_mut());
        disk.into_iter().for_each(|d| d.plan(plan));
    }

    /// A machine that is down comes back with a clock that shows something else.
    pub fn other_clock(&mut self, who: Gateway, shows: Micros) {
        let now = self.now;
        if let Some(m) = self.machines.get_mut(&who).filter(|m| m.process.is_none()) {
            m.base = (now, shows);
        }
    }

    /// Bytes come to a process under somebody's name, as from a link that was shown to be theirs.
    pub fn inject(&mut self, from: Gateway, to: Gateway, bytes: Vec<u8>) {
        self.push(self.now + 1, Event::Bytes { from, to, bytes });
    }

    /// A gateway that is down gets a folder to be a keeper with.
    pub fn give_disk(&mut self, who: Gateway) {
        let draw = self.rng.random();
        if let Some(m) = self.machines.get_mut(&who).filter(|m| m.process.is_none()) {
            m.keeps.get_or_insert_with(|| SimDisk::new(draw));
        }
    }

    /// Stops a process as SIGSTOP does: its clock goes on, its sockets fill.
    pub fn pause(&mut self, who: Gateway) {
        if let Some(m) = self.machines.get_mut(&who) {
            m.paused = true;
        }
    }

    /// It goes on where it was, and sees what waits.
    pub fn resume(&mut self, who: Gateway) {
        let Some(m) = self.machines.get_mut(&who).filter(|m| m.paused) else { return };
        m.paused = false;
        m.last_beat = self.now;
        for event in std::mem::take(&mut m.waiting) {
            self.push(self.now, event);
        }
    }

    /// Requests of this gateway take so long from the look to the send.
    pub fn dawdle(&mut self, who: Gateway, time: Micros) {
        if let Some(m) = self.machines.get_mut(&who) {
            m.dawdles = time;
        }
    }

    /// The gateway fails under a version, and says so where it is asked.
    pub fn fails_under(&mut self, who: Gateway, version: Number) {
        if let Some(m) = self.machines.get_mut(&who) {
            m.fails_under = Some(version);
        }
    }

    /// Zones that some gateways see dark from now on.
    pub fn dark(&mut self, some: &[Gateway], zones: &[&str]) {
        let zones: BTreeSet<String> = zones.iter().map(|z| (*z).to_owned()).collect();
        for who in some {
            self.guard_of(*who).into_iter().for_each(|g| g.dark(zones.clone()));
        }
    }

    /// A process is told to end, as by SIGTERM: it closes what it has, and says so. It is killed apart.
    pub fn leave(&mut self, who: Gateway) {
        if let Some(guard) = self.guard_of(who) {
            guard.leave();
        }
    }

    /// Only these tenants' requests come to a gateway from now on.
    pub fn only(&mut self, who: Gateway, tenants: &[&str]) {
        if let Some(m) = self.machines.get_mut(&who) {
            m.only = Some(tenants.iter().map(|t| (*t).to_owned()).collect());
        }
    }

    /// Nothing comes from one to the other.
    pub fn cut(&mut self, from: Gateway, to: Gateway) {
        self.net.cuts.insert((from, to));
    }

    /// It comes again.
    pub fn mend(&mut self, from: Gateway, to: Gateway) {
        self.net.cuts.remove(&(from, to));
    }

    /// No cut is left.
    pub fn mend_all(&mut self) {
        self.net.cuts.clear();
    }

    /// Messages to a gateway take so much longer from now on.
    pub fn slow(&mut self, who: Gateway, by: Micros) {
        self.net.slow.insert(who, by);
    }

    /// What links do.
    pub fn weather(&mut self, weather: Weather) {
        self.net.weather = weather;
    }

    /// A server is told to drain, and says so from now on; or to take work again.
    pub fn drain(&mut self, server: &str, drains: bool) {
        if let Some(real) = self.servers.get_mut(server) {
            real.ready = !drains;
            self.checks.server_drains(server, drains);
        }
    }

    /// A server appears, ready; or dies.
    pub fn server(&mut self, server: &str, up: bool) {
        self.servers.entry(server.to_owned()).or_insert(Real { up, ready: true }).up = up;
    }

    fn say(&mut self, by: Gateway, to: Gateway, message: Message) {
        let now = self.local(by);
        if let Some(p) = self.machines.get_mut(&by).filter(|m| !m.paused).and_then(|m| m.process.as_mut()) {
            p.say(now, to, message, &mut Post(&mut self.net.out));
        }
        self.after(by);
    }

    /// An editor at gateway `by` asks for rules made from version `base`; the number to ask for its outcome by.
    pub fn publish(&mut self, by: Gateway, base: Number, rules: Rules) -> u64 {
        let id = self.next_id;
        self.next_id += 1;
        let (author, reason) = (format!("editor at {by}"), format!("proposal {id}"));
        let proposal = Proposal { id, base, author, reason, time_ms: self.now / 1_000, rules };
        self.asked.insert(id, proposal);
        self.repeat(by, id);
        id
    }

    /// Sends a proposal once more, to every keeper that the editor's gateway knows.
    pub fn repeat(&mut self, by: Gateway, id: u64) {
        let Some(proposal) = self.asked.get(&id).cloned() else { return };
        for keeper in 1..=self.given.keepers {
            self.say(by, keeper, Message::Propose(Box::new(proposal.clone())));
        }
    }

    /// An operator's word to every keeper.
    pub fn operate(&mut self, by: Gateway, message: Message) {
        for keeper in 1..=self.given.keepers {
            self.say(by, keeper, message.clone());
        }
    }

    /// What an editor was told of a proposal.
    pub fn outcome(&self, id: u64) -> Option<&Outcome> {
        self.checks.told(id)
    }

    /// Lets so much time go by.
    pub fn run(&mut self, time: Micros) {
        let end = self.now + time;
        while let Some(Reverse((at, _, slot))) = self.events.peek().copied() {
            if at > end {
                break;
            }
            self.events.pop();
            self.free.push(slot);
            self.now = self.now.max(at);
            if let Some(event) = self.slots[slot].take() {
                self.happen(event);
            }
        }
        self.now = end;
    }

    fn happen(&mut self, event: Event) {
        if let Event::Wire { id, what } = event {
            return self.wired(id, what);
        }
        let who = match &event {
            Event::Wire { .. } => return,
            Event::Bytes { to, .. } => *to,
            Event::Wake { who, .. }
            | Event::Beat { who }
            | Event::Send { who, .. }
            | Event::Closed { who, .. }
            | Event::Done { who, .. }
            | Event::Heard { who, .. } => *who,
        };
        let now = self.local(who);
        let Some(m) = self.machines.get_mut(&who) else { return };
        if m.paused {
            if m.waiting.len() < WAITING || matches!(event, Event::Closed { .. } | Event::Done { .. }) {
                m.waiting.push(event);
            }
            return;
        }
        match event {
            Event::Wire { .. } => {}
            Event::Closed { boot, ticket, .. } => {
                if let Some(p) = m.process.as_mut().filter(|_| boot == m.boot) {
                    p.guard().closed(&ticket);
                }
                return;
            }
            Event::Done { boot, ticket, .. } => {
                if let Some(p) = m.process.as_mut().filter(|_| boot == m.boot) {
                    p.guard().done(now, &ticket);
                }
                return;
            }
            Event::Bytes { from, bytes, .. } => {
                if let Some(p) = &mut m.process {
                    p.receive(now, from, &bytes, &mut Post(&mut self.net.out));
                }
            }
            Event::Wake { boot, .. } => {
                if boot != m.boot {
                    return;
                }
                m.wake_at = Micros::MAX;
                if let Some(p) = &mut m.process {
                    p.look(now);
                    if p.asks(now) {
                        let bound = p.to_bind();
                        let report = Report { alone: true, ..p.guard().report(now) };
                        let within = if p.guard().within(now, &bound) { bound } else { BTreeMap::new() };
                        p.slots(report, within);
                    }
                    p.wake(now, &mut Post(&mut self.net.out));
                }
            }
            Event::Beat { .. } => return self.beat(who, now),
            Event::Send { boot, permit, tries, .. } => {
                if boot == m.boot {
                    self.send(who, now, &permit, tries);
                }
                return;
            }
            Event::Heard { boot, server, asked, ready, .. } => {
                if let Some(p) = m.process.as_mut().filter(|_| boot == m.boot) {
                    p.server_said(now, &server, asked, ready);
                }
                return;
            }
        }
        self.after(who);
    }

    /// Takes what a process wants sent, hears what it was told, and notes when it wakes.
    fn after(&mut self, who: Gateway) {
        for (to, bytes) in std::mem::take(&mut self.net.out) {
            self.net.messages += 1;
            self.net.bytes += bytes.len() as u64;
            let weather = self.net.weather.clone();
            if self.net.cuts.contains(&(who, to)) || self.net.rng.random_range(0..1_000) < weather.loss {
                continue;
            }
            let twice = self.net.rng.random_range(0..1_000) < weather.doubled;
            for _ in 0..=usize::from(twice) {
                let slow = self.net.slow.get(&to).copied().unwrap_or(0);
                let mut at = self.now + slow + self.net.rng.random_range(weather.delay.0..=weather.delay.1);
                if weather.doubled == 0 {
                    let last = self.net.last.entry((who, to)).or_default();
                    at = at.max(*last);
                    *last = at;
                }
                self.push(at, Event::Bytes { from: who, to, bytes: bytes.clone() });
            }
        }
        let Some(m) = self.machines.get_mut(&who) else { return };
        let boot = m.boot;
        let Some(p) = &mut m.process else { return };
        for (id, outcome) in p.take_told() {
            self.checks.was_told(id, outcome, self.asked.get(&id));
        }
        self.checks.record(who, p.record());
        if let Some(machine) = p.keeper().and_then(Keeper::machine) {
            self.wire.in_force(self.now, machine);
        }
        let due = p.next_wake();
        let at = self.truly(who, due);
        let Some(m) = self.machines.get_mut(&who) else { return };
        if at < m.wake_at {
            m.wake_at = at;
            self.push(at, Event::Wake { who, boot });
        }
    }

    /// A gateway looks for work: as much as it may do, at once, evenly over tenants.
    fn beat(&mut self, who: Gateway, now: Micros) {
        let next = self.now + BEAT;
        self.push(next, Event::Beat { who });
        let Some(m) = self.machines.get_mut(&who) else { return };
        let gone = self.now - std::mem::replace(&mut m.last_beat, self.now);
        let (boot, dawdles) = (m.boot, m.dawdles);
        self.close_excess(who, boot, now);
        let Some(m) = self.machines.get_mut(&who) else { return };
        let Some(p) = &mut m.process else { return };
        let (under, allows) = p.look(now);
        let allowance = &allows.what;
        let parts: Vec<Work> = allowance
            .tenants
            .iter()
            .map(|(name, part)| {
                let class = |c: &String| allowance.classes.get(c).map(|class| (c.clone(), class.cost_milli));
                (name.clone(), part.sum_milli, part.classes.iter().filter_map(class).collect())
            })
            .collect();
        let servers: Vec<String> = allowance.servers.keys().cloned().collect();
        let newest = match &under {
            Under::Lease(set, _) => set.last().copied(),
            Under::Ground(number) => *number,
        };
        let newest = newest.unwrap_or(0);
        self.checks.parts(self.now, who, newest, parts.iter().map(|(name, sum, _)| (name.as_str(), *sum)));
        if let Under::Lease(set, _) = &under {
            if let Some(version) = set.last().filter(|_| set.len() == 1) {
                let well = m.fails_under != Some(*version);
                p.report(*version, well);
            }
        }
        let mut permits = vec![];
        let only = m.only.clone();
        let comes = |name: &String| only.as_ref().is_none_or(|o| o.contains(name));
        for (name, sum, classes) in parts.iter().filter(|(name, _, _)| comes(name)) {
            let credit = m.credit.entry(name.clone()).or_default();
            // Thousandths of a unit, in millionths of a second; no more than a second's worth is saved up.
            *credit = (*credit + sum * gone.min(SECOND)).min(sum * SECOND);
            m.picks = m.picks.wrapping_add(1);
            let pick = mixed(m.picks);
            let Some((class, cost)) = classes.get(pick % classes.len().max(1)) else { continue };
            if *credit >= cost * SECOND {
                *credit -= cost * SECOND;
                permits.extend(p.permit(now, name, class, pick / 64));
            }
        }
        // A probe to one server a beat: what it says of itself.
        m.picks = m.picks.wrapping_add(1);
        let probe = servers.get(mixed(m.picks) % servers.len().max(1)).cloned();
        if let Some(server) = probe {
            self.hears(who, boot, server, now);
        }
        for permit in permits {
            if dawdles == 0 {
                self.send(who, now, &permit, 0);
            } else {
                self.push(self.now + dawdles, Event::Send { who, boot, permit, tries: 0 });
            }
        }
    }

    /// A server that was asked now answers, if it is there.
    fn hears(&mut self, who: Gateway, boot: u64, server: String, asked: Micros) {
        if let Some(real) = self.servers.get(&server).filter(|r| r.up) {
            let at = self.now + self.net.rng.random_range(1_000..=10_000);
            let ready = real.ready;
            self.push(at, Event::Heard { who, boot, server, asked, ready });
        }
    }

    pub(crate) fn wire(&self) -> &Wire {
        &self.wire
    }

    pub(crate) fn wire_mut(&mut self) -> &mut Wire {
        &mut self.wire
    }

    pub(crate) fn plant(&self) -> Option<Plant> {
        self.given.plant
    }

    pub(crate) fn budgeted(&self) -> bool {
        self.given.connections.is_some()
    }

    pub(crate) fn draw(&mut self, from: Micros, to: Micros) -> Micros {
        self.rng.random_range(from..=to)
    }

    pub(crate) fn guard_of(&mut self, who: Gateway) -> Option<&mut Guard> {
        self.machines.get_mut(&who)?.process.as_mut().map(Process::guard)
    }

    /// What servers go by, whatever the rules say.
    pub(crate) fn idle_limit(&self) -> Micros {
        IDLE
    }

    /// How long what a lease allowed may last after its question.
    pub(crate) fn outlasts(&self) -> Micros {
        self.tuning.wait + IDLE + 400_000
    }

    pub(crate) fn push_wire(&mut self, at: Micros, id: u64, what: Wired) {
        self.push(at, Event::Wire { id, what });
    }

    pub(crate) fn push_done(&mut self, at: Micros, who: Gateway, boot: u64, ticket: Ticket) {
        self.push(at, Event::Done { who, boot, ticket });
    }

    pub(crate) fn push_closed(&mut self, at: Micros, who: Gateway, boot: u64, ticket: Ticket) {
        self.push(at, Event::Closed { who, boot, ticket });
    }

    pub(crate) fn over_budget(&mut self, server: &str, over: u32) {
        let at = self.now / 1_000;
        self.checks.fault(format!("{server} has {over} connections over its budget at {at} ms"));
    }

    fn send(&mut self, who: Gateway, now: Micros, permit: &Permit, tries: u8) {
        let second = self.given.plant != Some(Plant::NoSecondLook);
        let Some(m) = self.machines.get_mut(&who) else { return };
        let boot = m.boot;
        let Some(p) = &mut m.process else { return };
        let permit = if second { p.still(now, permit) } else { Some(permit.clone()) };
        let Some(permit) = permit else { return self.checks.turned_back() };
        if !self.connect(who, boot, now, &permit) {
            if tries >= TRIES {
                return self.checks.turned_back();
            }
            let (at, tries) = (self.now + BEAT, tries + 1);
            return self.push(at, Event::Send { who, boot, permit, tries });
        }
        let Some(p) = self.machines.get(&who).and_then(|m| m.process.as_ref()) else { return };
        let known =
            permit.under.versions().iter().filter_map(|n| p.follower().version(*n)).cloned().collect();
        let act = Act { at: self.now, gateway: who, permit: permit.clone() };
        self.checks.act(act, known);
        self.hears(who, boot, permit.server, now);
    }

    /// The rules of the latest version that any keeper knows, and its number: what an editor begins from.
    pub fn latest(&self) -> (Number, Rules) {
        let machines = self.machines.values().filter_map(|m| m.process.as_ref()?.keeper()?.machine());
        let newest = machines.max_by_key(|m| m.latest());
        newest
            .and_then(|m| m.version(m.latest()).map(|v| (v.number, v.rules.clone())))
            .unwrap_or_else(|| (0, self.given.rules()))
    }

    /// The rules that the fleet began with.
    pub fn founding(&self) -> Rules {
        self.given.rules()
    }

    /// Keepers of the beginning.
    pub fn first_keepers(&self) -> Vec<Gateway> {
        (1..=self.given.keepers).collect()
    }

    /// Whether everything has come to rest: all gateways act under the newest version alone, all keepers agree.
    pub fn at_rest(&mut self) -> Result<Number, String> {
        let (latest, _) = self.latest();
        for (who, m) in &self.machines {
            let machine = m.process.as_ref().and_then(|p| p.keeper()).map(|k| (k.seated(), k.machine()));
            if machine.is_none() && *who <= self.given.keepers {
                return Err(format!("keeper {who} is down"));
            }
            if let Some((seated, machine)) = machine {
                let at = machine.map_or(0, frostgauge_accord::Machine::latest);
                if at != latest && (seated || *who <= self.given.keepers) {
                    return Err(format!("keeper {who} is at version {at}, the latest is {latest}"));
                }
            }
        }
        for who in self.machines.keys().copied().collect::<Vec<_>>() {
            let Some(under) = self.under(who) else { return Err(format!("gateway {who} is down")) };
            if under.versions() != BTreeSet::from([latest]) {
                return Err(format!("gateway {who} acts under {under:?}, the latest is {latest}"));
            }
        }
        Ok(latest)
    }
}
