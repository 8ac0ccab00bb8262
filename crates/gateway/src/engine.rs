//! The one task that owns the core: messages in from sockets, commands out to them.

use crate::clock::{Clock, Micros};
use crate::core::{Ask, Command, Core, Input};
use crate::log::Throttle;
use crate::observe::Observed;
use crate::peers::Peers;
use crate::reply::Final;
use crate::upstream::{self, Ended, Forward};
use async_channel::{Receiver, Sender};
use async_executor::{Executor, Task};
use frostgauge::{CounterId, ServerId, Status};
use frostgauge_counter::client::{self, Answered, Client};
use frostgauge_identity::{Answer, Grant, TokenName};
use frostgauge_net::{exchange, until, End, Pool, Response, Timed};
use frostgauge_proto::bearer::Token;
use frostgauge_proto::http::{write_request, Body, Limits};
use frostgauge_proto::introspection;
use frostgauge_settings::Loaded;
use serde_json::{json, Value};
use std::collections::BTreeMap;
use std::future::Future;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, RwLock};
use std::time::{Duration, Instant};

/// Messages that may wait for the engine; a front that finds it full waits, and so do its clients.
const INBOX: usize = 16 << 10;
/// Messages taken in one batch, before timers are looked at.
const BATCH: usize = 512;
/// How often tokens that nobody waits for are forgotten.
const SWEEP: Micros = 100_000;

/// A request, as a front hands it in.
#[derive(Debug)]
pub struct Call {
    /// Its number, from [`Handle::ticket`].
    pub ticket: u64,
    /// Its token.
    pub token: Token,
    /// Index of its route.
    pub route: usize,
    /// When it was whole.
    pub arrived: Micros,
    /// How long its client waits.
    pub patience: Micros,
    /// Its client marked it as a repeat.
    pub repeat: bool,
    /// What to pass on.
    pub forward: Forward,
    /// Where its one reply goes; room for one.
    pub reply: Sender<Reply>,
}

/// The final answer to a call.
#[derive(Debug)]
pub enum Reply {
    /// A node's.
    Node(Box<Response>),
    /// The gateway's own.
    Own(Final),
}

/// What comes in.
#[derive(Debug)]
pub enum Message {
    /// A call.
    Call(Box<Call>),
    /// A call's client left.
    Left(u64),
    /// An attempt ended.
    Ended {
        /// The request.
        ticket: u64,
        /// Its attempt.
        attempt: u32,
        /// How.
        ended: Ended,
    },
    /// A question about a token ended.
    Introspected {
        /// Which.
        flight: u64,
        /// Its answer, or none.
        answer: Option<Answer>,
    },
    /// A probe ended.
    Probed {
        /// The node.
        server: ServerId,
        /// How.
        ended: Ended,
    },
    /// A check of a node ended.
    Checked {
        /// The node.
        server: ServerId,
        /// How.
        status: Status,
        /// Time since it was sent.
        took: Micros,
    },
    /// Staff take a zone out of use, or give it back; whether it is known is told.
    Drain {
        /// Its name.
        zone: String,
        /// Out of use.
        drained: bool,
        /// Where to tell.
        reply: Sender<bool>,
    },
    /// A call of the counter ended.
    Counted(Answered),
    /// A message of another gateway.
    Peer {
        /// Its number.
        from: usize,
        /// The message.
        data: Vec<u8>,
    },
    /// New settings, already checked against the old ones.
    Reload(Arc<Loaded>),
    /// Someone wants to know how things stand.
    Status(Sender<Value>),
    /// Nothing more comes; the engine ends.
    Stop,
}

/// What a front needs of the engine.
#[derive(Clone, Debug)]
pub struct Handle {
    inbox: Sender<Message>,
    tickets: Arc<AtomicU64>,
    loaded: Arc<RwLock<Arc<Loaded>>>,
    /// The clock that the engine goes by.
    pub clock: Clock,
}

impl Handle {
    /// A number for the next call.
    pub fn ticket(&self) -> u64 {
        self.tickets.fetch_add(1, Ordering::Relaxed)
    }

    /// Where messages go, for tasks that send many.
    pub fn inbox(&self) -> Sender<Message> {
        self.inbox.clone()
    }

    /// The settings as they are now.
    pub fn loaded(&self) -> Arc<Loaded> {
        match self.loaded.read() {
            Ok(loaded) => loaded.clone(),
            Err(poisoned) => poisoned.into_inner().clone(),
        }
    }

    /// Hands in a message; false once the engine has ended.
    pub async fn send(&self, message: Message) -> bool {
        self.inbox.send(message).await.is_ok()
    }

    /// Hands in a message without waiting; false if there is no room.
    pub fn try_send(&self, message: Message) -> bool {
        self.inbox.try_send(message).is_ok()
    }

    /// How things stand, or `None` once the engine has ended.
    pub async fn status(&self) -> Option<Value> {
        let (reply, answer) = async_channel::bounded(1);
        self.send(Message::Status(reply)).await;
        answer.recv().await.ok()
    }
}

struct Running {
    sent: Micros,
    server: ServerId,
    task: Task<()>,
}

/// The engine.
pub struct Engine {
    core: Core,
    handle: Handle,
    inbox: Receiver<Message>,
    executor: Arc<Executor<'static>>,
    pool: Arc<Pool>,
    addresses: BTreeMap<ServerId, SocketAddr>,
    peers: Option<Peers>,
    counter: Option<Client>,
    calls: BTreeMap<u64, Box<Call>>,
    tokens: BTreeMap<TokenName, Token>,
    running: BTreeMap<(u64, u32), Running>,
    key: [u8; 32],
    started: Micros,
    swept: Micros,
    throttle: Throttle,
    observed: Observed,
    reloads: u64,
    /// Longest batch so far, µs: how long a message may have waited for its turn.
    longest: Micros,
}

impl Engine {
    /// An engine that starts now; `executor` runs what waits for sockets.
    ///
    /// # Errors
    /// Settings that the library does not take.
    pub fn new(
        loaded: Loaded,
        seed: u64,
        clock: Clock,
        executor: Arc<Executor<'static>>,
        peers: Option<Peers>,
    ) -> Result<Engine, frostgauge::SettingsError> {
        let now = clock.now();
        let core = Core::new(&loaded, seed, now)?;
        let (sender, inbox) = async_channel::bounded(INBOX);
        let l = &loaded.file.limits;
        let pool = Arc::new(
            Pool::new(l.pool, Duration::from_millis(l.pool_idle_ms)).from(loaded.file.gateway.source),
        );
        let mut engine = Engine {
            core,
            handle: Handle {
                inbox: sender,
                // Numbers of one process are told apart from those of its earlier lives by the start time.
                tickets: Arc::new(AtomicU64::new(1)),
                loaded: Arc::new(RwLock::new(Arc::new(loaded))),
                clock,
            },
            inbox,
            executor,
            pool,
            addresses: BTreeMap::new(),
            peers,
            counter: None,
            calls: BTreeMap::new(),
            tokens: BTreeMap::new(),
            running: BTreeMap::new(),
            key: rand::random(),
            started: now,
            swept: now,
            throttle: Throttle::default(),
            observed: Observed::default(),
            reloads: 0,
            longest: 0,
        };
        engine.learn_addresses();
        engine.counter = engine.call_counter();
        Ok(engine)
    }

    /// The counter's client, where there is a counter.
    fn call_counter(&self) -> Option<Client> {
        let loaded = self.handle.loaded();
        let (call, secret) = loaded.file.counter.as_ref().zip(loaded.counter_secret.as_ref())?;
        let ms = |ms: u64| ms * 1_000;
        let config = client::Config {
            address: call.address,
            key: frostgauge_proto::counter::Key::derive(secret.expose()),
            gateway: u16::try_from(loaded.file.gateway.number).unwrap_or(u16::MAX),
            source: loaded.file.gateway.source,
            calls: frostgauge_count::CallsConfig { limit: ms(call.limit_ms), repeat: ms(call.repeat_ms) },
        };
        let inbox = self.handle.inbox();
        let deliver = move |answered| -> std::pin::Pin<Box<dyn Future<Output = bool> + Send>> {
            let inbox = inbox.clone();
            Box::pin(async move { inbox.send(Message::Counted(answered)).await.is_ok() })
        };
        Some(Client::start(&self.executor, config, Box::new(deliver)))
    }

    /// What fronts need.
    pub fn handle(&self) -> Handle {
        self.handle.clone()
    }

    fn learn_addresses(&mut self) {
        let loaded = self.handle.loaded();
        // Addresses of nodes gone stay known while attempts are out, and no longer: nodes come and go for years.
        let out: std::collections::BTreeSet<ServerId> = self.running.values().map(|r| r.server).collect();
        self.addresses.retain(|server, _| out.contains(server));
        self.addresses.extend(loaded.nodes.iter().map(|n| (n.entry.server, n.address)));
        let mut wanted: Vec<SocketAddr> = loaded.nodes.iter().map(|n| n.address).collect();
        wanted.push(loaded.introspection().address);
        self.pool.keep(&wanted);
    }

    /// Runs until [`Message::Stop`].
    pub async fn run(mut self) {
        let mut commands = Vec::new();
        let mut first = true;
        loop {
            let message = match self.core.next_wake().filter(|_| !first) {
                Some(at) => match until(self.handle.clock.instant(at), self.inbox.recv()).await {
                    Timed::Done(message) => message.ok(),
                    Timed::Late => None,
                },
                None if first => None,
                None => self.inbox.recv().await.ok(),
            };
            first = false;
            let began = self.handle.clock.now();
            let mut next = message;
            // All that has happened goes in before the timers: after a stall, answers that came in time
            // count before the deadlines that passed meanwhile.
            for _ in 0..BATCH {
                let Some(message) = next.take().or_else(|| self.inbox.try_recv().ok()) else { break };
                if matches!(message, Message::Stop) {
                    return;
                }
                self.message(message, &mut commands);
                self.carry_out(&mut commands);
            }
            let now = self.handle.clock.now();
            self.core.advance(now, &mut commands);
            self.carry_out(&mut commands);
            self.sweep(now);
            self.longest = self.longest.max(self.handle.clock.now().saturating_sub(began));
        }
    }

    fn message(&mut self, message: Message, out: &mut Vec<Command>) {
        let now = self.handle.clock.now();
        match message {
            Message::Call(call) => {
                let loaded = self.handle.loaded();
                let Some(route) = loaded.routes.get(call.route) else { return };
                let token = call.token.name(&self.key);
                self.tokens.entry(token).or_insert_with(|| call.token.clone());
                let ask = Ask {
                    ticket: call.ticket,
                    token,
                    class: route.class,
                    units: route.units,
                    scope: route.scope.as_str().into(),
                    arrived: call.arrived,
                    patience: call.patience,
                    repeat: call.repeat,
                };
                self.calls.insert(call.ticket, call);
                self.core.handle(now, Input::Call(ask), out);
            }
            Message::Left(ticket) => {
                self.calls.remove(&ticket);
                self.core.handle(now, Input::Left { ticket }, out);
            }
            Message::Ended { ticket, attempt, ended } => self.ended(now, ticket, attempt, ended, out),
            Message::Introspected { flight, answer } => {
                self.core.handle(now, Input::Introspected { flight, answer }, out);
            }
            Message::Probed { server, ended } => {
                let ok = if ended.status == Status::Ok { "yes" } else { "no" };
                let told = if ended.load.is_some() { "yes" } else { "no" };
                metrics::counter!("frostgauge_probes", "ok" => ok, "load" => told).increment(1);
                let input = Input::Probed { server, status: ended.status, load: ended.load };
                self.core.handle(now, input, out);
            }
            Message::Checked { server, status, took } => {
                self.core.handle(now, Input::Checked { server, status, took }, out);
            }
            Message::Drain { zone, drained, reply } => {
                let known = self.handle.loaded().file.zones.iter().position(|z| *z == zone);
                let known = known.filter(|_| self.core.zones().is_some());
                if let Some(zone) = known {
                    self.core.handle(now, Input::Drain { zone: zone as u32, drained }, out);
                }
                let _ = reply.try_send(known.is_some());
            }
            Message::Counted(Answered { counter, total, unsure, took, .. }) => {
                let counter = CounterId(counter);
                self.core.handle(now, Input::Counted { counter, total, unsure, took }, out);
            }
            Message::Peer { from, data } => self.core.handle(now, Input::Peer { from, data }, out),
            Message::Reload(loaded) => {
                match self.handle.loaded.write() {
                    Ok(mut place) => *place = loaded.clone(),
                    Err(poisoned) => *poisoned.into_inner() = loaded.clone(),
                }
                self.learn_addresses();
                self.core.configure(now, &loaded, out);
                self.reloads += 1;
                tracing::info!(nodes = loaded.nodes.len(), insurers = loaded.insurers.len(), "reloaded");
            }
            Message::Status(reply) => drop(reply.try_send(self.status(now))),
            Message::Stop => {}
        }
    }

    /// An attempt's end; one that was called off has ended already.
    fn ended(&mut self, now: Micros, ticket: u64, attempt: u32, ended: Ended, out: &mut Vec<Command>) {
        let Some(run) = self.running.remove(&(ticket, attempt)) else { return };
        let Ended { status, response, used, load } = ended;
        let took = now.saturating_sub(run.sent);
        let input = Input::AttemptEnded { ticket, attempt, server: run.server, status, took, used, load };
        let from = out.len();
        self.core.handle(now, input, out);
        let deliver = Command::Deliver { ticket, attempt };
        if let Some(at) = out[from..].iter().position(|c| *c == deliver) {
            out.remove(from + at);
            if let (Some(response), Some(call)) = (response, self.calls.remove(&ticket)) {
                self.observed.answer("served", "served", now.saturating_sub(call.arrived));
                let _ = call.reply.try_send(Reply::Node(response));
            }
        }
    }

    fn carry_out(&mut self, commands: &mut Vec<Command>) {
        let mut ended = Vec::new();
        loop {
            for command in commands.drain(..) {
                self.command(command, &mut ended);
            }
            let Some(input) = ended.pop() else { return };
            self.core.handle(self.handle.clock.now(), input, commands);
        }
    }

    /// Carries out a command; what has ended with it comes back at once.
    fn command(&mut self, command: Command, ended: &mut Vec<Input>) {
        match command {
            Command::Send { ticket, attempt, server, timeout, grant } => {
                self.start(ticket, attempt, server, timeout, &grant);
            }
            Command::Cancel { ticket, attempt } => {
                // Dropping the task closes its connection.
                if let Some(run) = self.running.remove(&(ticket, attempt)) {
                    drop(run.task);
                    let took = self.handle.clock.now().saturating_sub(run.sent);
                    let (server, status, used, load) = (run.server, Status::Cancelled, None, None);
                    ended.push(Input::AttemptEnded { ticket, attempt, server, status, took, used, load });
                }
            }
            Command::Answer { ticket, answer } => self.answer(ticket, answer),
            Command::Introspect { flight, token, timeout } => self.introspect(flight, token, timeout),
            Command::Probe { server } => self.probe(server),
            Command::Check { server } => self.check(server),
            Command::Zone(change) => {
                let loaded = self.handle.loaded();
                let zone = loaded.file.zones.get(change.zone as usize).cloned().unwrap_or_default();
                let phase = format!("{:?}", change.phase).to_lowercase();
                metrics::counter!("frostgauge_zone_changes", "zone" => zone.clone(), "phase" => phase.clone())
                    .increment(1);
                tracing::warn!(zone, phase, why = change.why, "zone");
            }
            Command::Tell { to, data } => {
                if let Some(peers) = &mut self.peers {
                    peers.tell(to, &data);
                }
            }
            Command::Count { counter, amount, ttl } => {
                // No counter, or no room for the call: turned away, certainly not added.
                if !self.counter.as_ref().is_some_and(|c| c.call(counter.0, amount, ttl)) {
                    ended.push(Input::Counted { counter, total: None, unsure: false, took: 0 });
                }
            }
            Command::Log(text) => tracing::info!(text, "decisions"),
            // Taken out where the response is at hand.
            Command::Deliver { .. } => {}
        }
    }

    fn answer(&mut self, ticket: u64, answer: Final) {
        let Some(call) = self.calls.remove(&ticket) else { return };
        let now = self.handle.clock.now();
        let (kind, reason) = (kind(&answer), answer.reason());
        self.observed.answer(kind, reason, now.saturating_sub(call.arrived));
        if let Some(more) = self.throttle.pass(now, reason) {
            tracing::info!(request = ticket, kind, reason, more, "not served");
        }
        let _ = call.reply.try_send(Reply::Own(answer));
    }

    fn start(&mut self, ticket: u64, attempt: u32, server: ServerId, timeout: Micros, grant: &Grant) {
        let (now, instant) = (self.handle.clock.now(), Instant::now());
        let inbox = self.handle.inbox.clone();
        let loaded = self.handle.loaded();
        let target = self.addresses.get(&server).copied().zip(self.calls.get(&ticket));
        let Some((to, call)) = target else {
            // Neither can be missing while the core sends; if one were, nothing has run.
            let ended = Ended { status: Status::Moot, response: None, used: None, load: None };
            let task = self.executor.spawn(async move {
                let _ = inbox.send(Message::Ended { ticket, attempt, ended }).await;
            });
            self.running.insert((ticket, attempt), Running { sent: now, server, task });
            return;
        };
        let number = format!("{}-{:x}-{ticket}", loaded.file.gateway.number, self.started);
        let bytes = call.forward.bytes(to, &grant.subject, &number, attempt, rand::random());
        let to_head = call.forward.head.method() == "HEAD";
        let pool = self.pool.clone();
        let task = self.executor.spawn(async move {
            let l = &loaded.file.limits;
            let limits =
                Limits { line: l.line_bytes, fields: l.fields, head: l.head_bytes, body: l.answer_bytes };
            let connect = Duration::from_millis(l.connect_ms);
            let deadline = instant + Duration::from_micros(timeout);
            let ended = upstream::attempt(&pool, to, &bytes, to_head, &limits, connect, deadline).await;
            let _ = inbox.send(Message::Ended { ticket, attempt, ended }).await;
        });
        metrics::counter!("frostgauge_attempts").increment(1);
        self.running.insert((ticket, attempt), Running { sent: now, server, task });
    }

    fn introspect(&mut self, flight: u64, token: TokenName, timeout: Micros) {
        let inbox = self.handle.inbox.clone();
        let loaded = self.handle.loaded();
        let Some(token) = self.tokens.get(&token).cloned() else {
            self.executor
                .spawn(async move {
                    let _ = inbox.send(Message::Introspected { flight, answer: None }).await;
                })
                .detach();
            return;
        };
        let (pool, clock) = (self.pool.clone(), self.handle.clock);
        let deadline = Instant::now() + Duration::from_micros(timeout);
        self.executor
            .spawn(async move {
                let answer = ask(&loaded, &pool, &token, clock, deadline).await;
                let _ = inbox.send(Message::Introspected { flight, answer }).await;
            })
            .detach();
    }

    fn probe(&mut self, server: ServerId) {
        let (loaded, inbox, pool) = (self.handle.loaded(), self.handle.inbox.clone(), self.pool.clone());
        let Some(to) = self.addresses.get(&server).copied() else { return };
        self.executor
            .spawn(async move {
                let l = &loaded.file.limits;
                let limits =
                    Limits { line: l.line_bytes, fields: l.fields, head: l.head_bytes, body: 64 << 10 };
                let patience = Duration::from_millis(l.connect_ms);
                let path = l.probe_path.as_deref().unwrap_or("/");
                let ended = upstream::probe(&pool, to, path, &limits, patience).await;
                let _ = inbox.send(Message::Probed { server, ended }).await;
            })
            .detach();
    }

    fn check(&mut self, server: ServerId) {
        let (loaded, inbox, pool) = (self.handle.loaded(), self.handle.inbox.clone(), self.pool.clone());
        let Some(to) = self.addresses.get(&server).copied() else { return };
        let Some(path) = loaded.file.zone_policy.as_ref().map(|p| p.check_path.clone()) else { return };
        self.executor
            .spawn(async move {
                let l = &loaded.file.limits;
                let limits =
                    Limits { line: l.line_bytes, fields: l.fields, head: l.head_bytes, body: 64 << 10 };
                let began = Instant::now();
                let patience = Duration::from_millis(l.connect_ms);
                let status = upstream::probe(&pool, to, &path, &limits, patience).await.status;
                let took = crate::clock::micros(began.elapsed());
                let _ = inbox.send(Message::Checked { server, status, took }).await;
            })
            .detach();
    }

    /// Forgets tokens whose verdict nobody waits for: only their names stay.
    fn sweep(&mut self, now: Micros) {
        if now < self.swept + SWEEP {
            return;
        }
        self.swept = now;
        let identity = self.core.identity();
        self.observed.publish();
        self.publish_zones(now);
        self.tokens.retain(|name, _| identity.waits_for(name));
        let (waiting, flights, verdicts) = identity.sizes();
        for (what, value) in [
            ("open", self.core.open()),
            ("attempts", self.running.len()),
            ("waiting", waiting),
            ("flights", flights),
            ("verdicts", verdicts),
            ("idle_connections", self.pool.len()),
            ("inbox", self.inbox.len()),
        ] {
            metrics::gauge!("frostgauge_now", "what" => what).set(value as f64);
        }
    }

    fn publish_zones(&self, now: Micros) {
        let (Some(zones), loaded) = (self.core.zones(), self.handle.loaded()) else { return };
        for (k, name) in loaded.file.zones.iter().enumerate() {
            let Some(s) = zones.standing(now, k as u32) else { continue };
            for (what, value) in [
                ("open", s.open),
                ("health", s.health),
                ("spilled", s.spilled as f64),
                ("short", s.short as f64),
                ("spill_per_s", s.spill_part.unwrap_or(f64::NAN)),
            ] {
                metrics::gauge!("frostgauge_zone", "zone" => name.clone(), "what" => what).set(value);
            }
        }
    }

    fn zone_rows(&self, now: Micros, loaded: &Loaded) -> Vec<Value> {
        let Some(zones) = self.core.zones() else { return vec![] };
        let rows = loaded.file.zones.iter().enumerate().filter_map(|(k, name)| {
            let s = zones.standing(now, k as u32)?;
            Some(json!({
                "zone": name, "phase": format!("{:?}", s.phase).to_lowercase(),
                "for_s": now.saturating_sub(s.since) as f64 / 1e6, "open": s.open, "health": s.health,
                "tier": s.tier, "spill_per_s": s.spill_part, "spilled": s.spilled, "short": s.short,
            }))
        });
        rows.collect()
    }

    fn status(&self, now: Micros) -> Value {
        let (counts, identity, loaded) = (self.core.counts(), self.core.identity(), self.handle.loaded());
        let (waiting, flights, verdicts) = identity.sizes();
        let tally = identity.tally();
        json!({
            "gateway": loaded.file.gateway.number,
            "pid": std::process::id(),
            "up_s": now.saturating_sub(self.started) as f64 / 1e6,
            "reloads": self.reloads,
            "open": self.core.open(),
            "attempts": self.running.len(),
            "inbox": self.inbox.len(),
            "longest_batch_ms": self.longest as f64 / 1e3,
            "answers": {
                "taken": counts.taken, "served": counts.served, "refused": counts.refused,
                "failed": counts.failed, "denied": counts.denied, "left": counts.left,
            },
            "reasons": self.observed.reasons(),
            "latency_ms": self.observed.latencies(),
            "tokens": {
                "server": identity.state(now), "waiting": waiting, "flights": flights, "verdicts": verdicts,
                "asked": tally.asked, "failed": tally.failed, "hits": tally.hits, "stale": tally.stale,
                "unavailable": tally.unavailable,
            },
            "counter": self.counter.as_ref().map(Client::status),
            "zones": self.zone_rows(now, &loaded),
            "nodes": loaded.file.nodes.iter().map(|n| json!({
                "address": n.address.to_string(), "zone": n.zone, "state": format!("{:?}", n.state).to_lowercase(),
            })).collect::<Vec<_>>(),
        })
    }
}

fn kind(answer: &Final) -> &'static str {
    match answer {
        Final::Denied(_) | Final::UnknownInsurer => "denied",
        Final::NoVerdict { .. } | Final::Refused { .. } => "refused",
        Final::Failed(_) => "failed",
    }
}

/// Asks the introspection server about a token.
async fn ask(loaded: &Loaded, pool: &Pool, token: &Token, clock: Clock, deadline: Instant) -> Option<Answer> {
    let (i, l) = (loaded.introspection(), &loaded.file.limits);
    let basic = introspection::client_basic(&i.client_id, loaded.client_secret.expose_text()?);
    let form = introspection::form(token);
    let mut request = Vec::new();
    let fields: [(&str, &[u8]); 4] = [
        ("host", i.host.as_bytes()),
        ("authorization", basic.as_bytes()),
        ("content-type", b"application/x-www-form-urlencoded"),
        ("accept", b"application/json"),
    ];
    write_request(&mut request, "POST", &i.path, fields.into_iter(), Body::Whole(form.as_bytes()));
    let limits = Limits { line: l.line_bytes, fields: l.fields, head: l.head_bytes, body: 64 << 10 };
    let connect = Duration::from_millis(l.connect_ms);
    let end = exchange(pool, i.address, &request, false, &limits, connect, deadline).await;
    let End::Answered(response) = end else { return None };
    // A 401 here is about this gateway's own secret, a 4xx or 5xx about the question: neither is a verdict.
    if response.head.status() != 200 {
        return None;
    }
    let answer = introspection::Answer::read(&response.body).ok()?;
    Some(verdict(&answer, i, clock.now()))
}

/// What an answer means here (RFC 7662 section 4: the audience and times are the resource server's to check).
fn verdict(answer: &introspection::Answer, i: &frostgauge_settings::Introspection, now: Micros) -> Answer {
    let micros = |seconds: f64| (seconds.max(0.0) * 1e6) as Micros;
    let ours = i.audience.as_ref().is_none_or(|a| answer.aud.is_empty() || answer.aud.contains(a));
    let begun = answer.nbf.is_none_or(|nbf| micros(nbf) <= now);
    match answer.member(&i.customer).filter(|_| answer.active && ours && begun) {
        Some(subject) => Answer::Good {
            grant: Grant { subject: subject.to_owned(), scopes: answer.scopes.clone() },
            exp: answer.exp.map(micros),
        },
        None => Answer::Bad,
    }
}
