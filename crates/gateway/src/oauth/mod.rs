//! The host of a gateway that knows its callers by OAuth 2 tokens and its servers by a settings file.

mod attempt;
mod counter;
mod health_check;
mod introspection;
mod status;

use crate::clock::{Clock, Micros};
use crate::core::{CallMetadata, Command, Core, Input};
use crate::engine::{self, Attempt, EngineContext, Host};
use crate::fleet_rules::{FleetRules, RulesAdmission};
use crate::peers::Peers;
use crate::upstream::{BudgetedPool, Forward};
use async_channel::Sender;
use async_executor::{Executor, Task};
use frostgauge::{CounterId, ServerId, Status};
use frostgauge_counter_service::client::{CallResult, Client};
use frostgauge_identity::{TokenHash, Verdict};
use frostgauge_net::Pool;
use frostgauge_proto::bearer::Token;
use frostgauge_proto::http::Limits;
use frostgauge_settings::Loaded;
use frostgauge_zones::Change as ZoneChange;
use serde_json::Value;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, RwLock};
use std::time::Duration;

/// Interval between sweeps of the tokens that no request waits for.
const TOKEN_SWEEP_INTERVAL: Micros = 100_000;
/// Bytes of content of a response that is read for its status or for one small document.
const MAX_SMALL_RESPONSE_BYTES: u64 = 64 << 10;

/// Handle of an engine in this host.
pub type Handle = engine::Handle<OAuthHost>;
/// Message to an engine in this host.
pub type Message = engine::Message<OAuthHost>;
/// Call of an engine in this host.
pub type Call = engine::Call<OAuthHost>;
/// Engine in this host.
pub type Engine = engine::Engine<OAuthHost>;

/// The caller of a request, and what the request asks for.
#[derive(Debug)]
pub struct Caller {
    /// The request's token.
    pub token: Token,
    /// Index of the request's class.
    pub class: usize,
    /// Units that the request takes from its quota.
    pub units: f64,
    /// The scope that the token must have, or empty. Route, class and scope come from the settings in force when the
    /// request was read: a reload in between may renumber or drop its route.
    pub scope: Arc<str>,
}

/// Events beside calls and attempts.
#[derive(Debug)]
pub enum HostEvent {
    /// An introspection request ended.
    Introspected {
        /// Number of the request.
        flight: u64,
        /// Its answer; `None` if there is no verdict.
        answer: Option<Verdict>,
    },
    /// A health check of a server ended.
    Checked {
        /// The server.
        server: ServerId,
        /// How it ended.
        status: Status,
        /// Time since it was sent, µs.
        took: Micros,
    },
    /// An administrator drains or restores a zone.
    Drain {
        /// Name of the zone.
        zone: String,
        /// Whether it is drained.
        drained: bool,
        /// Receives whether the zone is known.
        reply: Sender<bool>,
    },
    /// A call of the shared counter ended.
    Counted(CallResult),
    /// The servers that the fleet's agreed rules allow have changed.
    FleetRulesChanged,
    /// New settings, already checked against the old ones.
    Reload(Arc<Loaded>),
    /// The status page is requested.
    Status(Sender<Value>),
}

/// The settings as they are now.
pub type Shared = Arc<RwLock<Arc<Loaded>>>;

impl Handle {
    /// The settings as they are now.
    pub fn loaded(&self) -> Arc<Loaded> {
        match self.shared.read() {
            Ok(loaded) => loaded.clone(),
            Err(poisoned) => poisoned.into_inner().clone(),
        }
    }

    /// The status page; `None` once the engine has ended.
    pub async fn status(&self) -> Option<Value> {
        let (reply, answer) = async_channel::bounded(1);
        self.send(Message::Host(HostEvent::Status(reply))).await;
        answer.recv().await.ok()
    }
}

/// Embeds an engine with sockets, tokens, the counter and the settings.
pub struct OAuthHost {
    handle: Handle,
    executor: Arc<Executor<'static>>,
    pool: Arc<Pool>,
    addresses: BTreeMap<ServerId, SocketAddr>,
    /// Attempts in flight, by server.
    in_flight: BTreeMap<ServerId, usize>,
    peers: Option<Peers>,
    counter: Option<Client>,
    agreed: Option<FleetRules>,
    /// Connections to servers under the fleet's budgets, in place of the pool's.
    held: Option<Arc<BudgetedPool>>,
    tokens: BTreeMap<TokenHash, Token>,
    key: [u8; 32],
    started: Micros,
    swept: Micros,
    reloads: u64,
}

/// An engine that starts now, and its handle; `executor` runs the tasks that use sockets.
///
/// # Errors
/// The decision library rejects the settings.
pub fn engine(
    loaded: Loaded,
    seed: u64,
    clock: Clock,
    executor: Arc<Executor<'static>>,
    peers: Option<Peers>,
    rules: Option<(FleetRules, Arc<BudgetedPool>)>,
) -> Result<(Engine, Handle), frostgauge::SettingsError> {
    let now = clock.now();
    let mut core = Core::new(&loaded, seed, now)?;
    let (agreed, held) = rules.unzip();
    if let Some(agreed) = &agreed {
        core.set_admission(Box::new(RulesAdmission::new(agreed.clone(), &loaded)));
        // Until the agreed rules are known, no server may get a request.
        let entries = agreed.server_entries(&loaded).into_iter().map(|(_, e)| e).collect();
        core.replace_servers(now, entries, &mut Vec::new());
    }
    let l = &loaded.file.limits;
    let pool =
        Arc::new(Pool::new(l.pool, Duration::from_millis(l.pool_idle_ms)).from(loaded.file.gateway.source));
    let (handle, inbox) = Handle::new(clock, Arc::new(RwLock::new(Arc::new(loaded))));
    let mut host = OAuthHost {
        handle: handle.clone(),
        executor,
        pool,
        addresses: BTreeMap::new(),
        in_flight: BTreeMap::new(),
        peers,
        counter: None,
        agreed,
        held,
        tokens: BTreeMap::new(),
        key: rand::random(),
        started: now,
        swept: now,
        reloads: 0,
    };
    host.update_addresses();
    host.counter = host.start_counter_client();
    Ok((Engine::new(core, host, clock, inbox), handle))
}

impl Host for OAuthHost {
    type Caller = Caller;
    type Forward = Forward;
    type Event = HostEvent;
    type Shared = Shared;

    fn register_call(&mut self, call: &Call) -> Input {
        let token = call.caller.token.name(&self.key);
        self.tokens.entry(token).or_insert_with(|| call.caller.token.clone());
        Input::Call(CallMetadata {
            call_id: call.call_id,
            token,
            class: call.caller.class,
            units: call.caller.units,
            scope: call.caller.scope.clone(),
            arrived: call.arrived,
            timeout: call.timeout,
            is_retry: call.is_retry,
        })
    }

    fn handle_event(
        &mut self,
        now: Micros,
        event: HostEvent,
        context: EngineContext<'_>,
        out: &mut Vec<Command>,
    ) {
        match event {
            HostEvent::Introspected { flight, answer } => {
                context.core.handle(now, Input::Introspected { flight, answer }, out);
            }
            HostEvent::Checked { server, status, took } => {
                context.core.handle(now, Input::HealthChecked { server, status, elapsed: took }, out);
            }
            HostEvent::Drain { zone, drained, reply } => {
                let known = self.handle.loaded().file.zones.iter().position(|z| *z == zone);
                let known = known.filter(|_| context.core.zones().is_some());
                if let Some(zone) = known {
                    context.core.handle(now, Input::DrainZone { zone: zone as u32, drained }, out);
                }
                let _ = reply.try_send(known.is_some());
            }
            HostEvent::Counted(CallResult { counter, total, unsure, elapsed: took, .. }) => {
                let counter = CounterId(counter);
                context.core.handle(
                    now,
                    Input::CounterReplied { counter, total, may_have_added: unsure, elapsed: took },
                    out,
                );
            }
            HostEvent::Reload(loaded) => self.reload(now, loaded, context.core, out),
            HostEvent::FleetRulesChanged => self.apply_agreed_servers(now, context.core, out),
            HostEvent::Status(reply) => drop(reply.try_send(self.status(now, &context))),
        }
    }

    fn start_attempt(&mut self, attempt: Attempt, call: Option<&Call>) -> Task<()> {
        self.spawn_attempt(attempt, call)
    }

    fn attempt_ended(&mut self, server: ServerId) {
        if let Some(count) = self.in_flight.get_mut(&server) {
            *count -= 1;
            if *count == 0 {
                self.in_flight.remove(&server);
            }
        }
    }

    fn execute(&mut self, _: Micros, command: Command) -> Option<Input> {
        match command {
            Command::Introspect { flight, token, timeout } => self.introspect(flight, token, timeout),
            Command::Probe { server } => self.probe(server),
            Command::CheckHealth { server } => self.check(server),
            Command::LogZoneChange(change) => self.report_zone_change(&change),
            Command::SendToPeer { to, data } => {
                if let Some(peers) = &mut self.peers {
                    peers.tell(to, &data);
                }
            }
            Command::AddToCounter { counter, amount, ttl } => {
                // No counter, or its queue is full: rejected, certainly not added.
                if !self.counter.as_ref().is_some_and(|c| c.call(counter.0, amount, ttl)) {
                    return Some(Input::CounterReplied {
                        counter,
                        total: None,
                        may_have_added: false,
                        elapsed: 0,
                    });
                }
            }
            // Handled by the engine.
            Command::Send { .. }
            | Command::Cancel { .. }
            | Command::Deliver { .. }
            | Command::Answer { .. }
            | Command::Log(_) => {}
        }
        None
    }

    /// Publishes gauges, and drops tokens whose verdict nobody waits for: only their names stay.
    fn after_batch(&mut self, now: Micros, context: EngineContext<'_>) {
        if now < self.swept + TOKEN_SWEEP_INTERVAL {
            return;
        }
        self.swept = now;
        let identity = context.core.identity();
        context.answer_stats.publish();
        self.publish_zones(now, context.core);
        self.tokens.retain(|name, _| identity.is_pending(name));
        let (waiting, flights, verdicts) = identity.sizes();
        for (what, value) in [
            ("open", context.core.open_calls()),
            ("attempts", context.attempts_in_flight),
            ("waiting", waiting),
            ("flights", flights),
            ("verdicts", verdicts),
            ("idle_connections", self.pool.len()),
            ("inbox", context.queued_messages),
        ] {
            metrics::gauge!("frostgauge_now", "what" => what).set(value as f64);
        }
    }
}

impl OAuthHost {
    /// Replaces the settings by ones that were already checked against the running ones.
    fn reload(&mut self, now: Micros, loaded: Arc<Loaded>, core: &mut Core, out: &mut Vec<Command>) {
        match self.handle.shared.write() {
            Ok(mut shared) => *shared = loaded.clone(),
            Err(poisoned) => *poisoned.into_inner() = loaded.clone(),
        }
        core.configure(now, &loaded, out);
        self.apply_agreed_servers(now, core, out);
        self.reloads += 1;
        tracing::info!(nodes = loaded.nodes.len(), insurers = loaded.tenants.len(), "reloaded");
    }

    /// Gives the core the servers of the fleet's agreed rules, where there are such, and updates the addresses.
    fn apply_agreed_servers(&mut self, now: Micros, core: &mut Core, out: &mut Vec<Command>) {
        if let Some(agreed) = &self.agreed {
            let entries = agreed.server_entries(&self.handle.loaded());
            core.replace_servers(now, entries.into_iter().map(|(_, entry)| entry).collect(), out);
        }
        self.update_addresses();
    }

    /// Updates the addresses of servers, and closes idle connections to servers that are gone.
    fn update_addresses(&mut self) {
        let loaded = self.handle.loaded();
        // Addresses of removed servers are kept while attempts are in flight, and no longer: servers come and go
        // for years.
        let in_flight = &self.in_flight;
        self.addresses.retain(|server, _| in_flight.contains_key(server));
        self.addresses.extend(loaded.nodes.iter().map(|n| (n.entry.server, n.address)));
        let mut wanted: Vec<SocketAddr> = loaded.nodes.iter().map(|n| n.address).collect();
        if let Some(agreed) = &self.agreed {
            for (address, entry) in agreed.server_entries(&loaded) {
                self.addresses.insert(entry.server, address);
                wanted.push(address);
            }
        }
        wanted.push(loaded.introspection().address);
        if let Some(held) = &self.held {
            held.keep(&wanted);
        }
        self.pool.keep(&wanted);
    }

    fn report_zone_change(&self, change: &ZoneChange) {
        let loaded = self.handle.loaded();
        let zone = loaded.file.zones.get(change.zone as usize).cloned().unwrap_or_default();
        let phase = format!("{:?}", change.phase).to_lowercase();
        metrics::counter!("frostgauge_zone_changes", "zone" => zone.clone(), "phase" => phase.clone())
            .increment(1);
        tracing::warn!(zone, phase, why = change.why, "zone");
    }
}

/// PoolBounds of a server's response with at most so many bytes of content.
fn response_limits(limits: &frostgauge_settings::Limits, body_bytes: u64) -> Limits {
    Limits { line: limits.line_bytes, fields: limits.fields, head: limits.head_bytes, body: body_bytes }
}
