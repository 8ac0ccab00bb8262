//! The host of a gateway that identifies its callers by OAuth 2 tokens and takes its servers from a settings file.

mod attempt;
mod counter;
mod health_check;
mod introspection;
mod status;

use crate::clock::{Clock, Micros};
use crate::core::{CallMetadata, Command, Core, Input};
use crate::engine::{self, Attempt, EngineContext, Host};
use crate::fleet_rules::{FleetRules, RulesAdmission};
use crate::peers::PeerSender;
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
use frostgauge_zones::ZoneChange;
use serde_json::Value;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, RwLock};
use std::time::Duration;

/// Interval, µs, at which gauges are published and tokens without a pending introspection are dropped.
const TOKEN_SWEEP_INTERVAL: Micros = 100_000;
/// Largest content, in bytes, of a response to a probe, a health check or an introspection request.
const MAX_SMALL_RESPONSE_BYTES: u64 = 64 << 10;

/// Handle of an engine with this host.
pub type Handle = engine::Handle<OAuthHost>;
/// Message to an engine with this host.
pub type Message = engine::Message<OAuthHost>;
/// Call to an engine with this host.
pub type Call = engine::Call<OAuthHost>;
/// Engine with this host.
pub type Engine = engine::Engine<OAuthHost>;

/// The caller of a request, and the properties of the request's route.
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

/// Events of this host, in addition to the calls and attempts that every engine handles.
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
        /// Its outcome.
        status: Status,
        /// Time since it was sent, µs.
        elapsed: Micros,
    },
    /// An administrator drains or restores a zone.
    Drain {
        /// Name of the zone.
        zone: String,
        /// Whether it is drained.
        drained: bool,
        /// Receives true if the zone is configured and zones are in use, false otherwise.
        reply: Sender<bool>,
    },
    /// A call to the shared counter ended.
    CounterCallEnded(CallResult),
    /// The servers that the fleet's agreed rules allow have changed.
    FleetRulesChanged,
    /// New settings, already checked to need no restart.
    Reload(Arc<Loaded>),
    /// The status page is requested.
    Status(Sender<Value>),
}

/// The current settings, shared by the host and the fronts; a reload replaces them.
pub type SharedSettings = Arc<RwLock<Arc<Loaded>>>;

impl Handle {
    /// The current settings.
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

/// The host's state: connections, tokens, the counter's client and the settings.
pub struct OAuthHost {
    handle: Handle,
    executor: Arc<Executor<'static>>,
    pool: Arc<Pool>,
    /// Addresses of the current servers, and of removed ones with attempts in flight.
    addresses: BTreeMap<ServerId, SocketAddr>,
    /// Number of attempts in flight, by server.
    in_flight: BTreeMap<ServerId, usize>,
    peers: Option<PeerSender>,
    counter: Option<Client>,
    fleet_rules: Option<FleetRules>,
    /// Connections to servers under the fleet's budgets; used in place of `pool` where there are fleet rules.
    budgeted_pool: Option<Arc<BudgetedPool>>,
    /// Tokens by name; those without a pending introspection are dropped at each sweep.
    tokens: BTreeMap<TokenHash, Token>,
    /// Random key from which the names of tokens are derived.
    token_name_key: [u8; 32],
    /// Start time; part of the request numbers, to distinguish this process from earlier ones.
    started: Micros,
    swept_at: Micros,
    /// Number of successful reloads.
    reloads: u64,
}

/// An engine that starts now, and its handle. `executor` runs the tasks that use sockets; `rules` are the fleet rules, if
/// the settings have a section for them, with the pool for connections under their budgets.
///
/// # Errors
/// The decision library rejects the settings.
pub fn engine(
    loaded: Loaded,
    seed: u64,
    clock: Clock,
    executor: Arc<Executor<'static>>,
    peers: Option<PeerSender>,
    rules: Option<(FleetRules, Arc<BudgetedPool>)>,
) -> Result<(Engine, Handle), frostgauge::SettingsError> {
    let now = clock.now();
    let mut core = Core::new(&loaded, seed, now)?;
    let (fleet_rules, budgeted_pool) = rules.unzip();
    if let Some(fleet_rules) = &fleet_rules {
        core.set_admission(Box::new(RulesAdmission::new(fleet_rules.clone(), &loaded)));
        // Only servers that the agreed rules allow may receive requests; until the rules are known, none may.
        let entries = fleet_rules.server_entries(&loaded).into_iter().map(|(_, entry)| entry).collect();
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
        fleet_rules,
        budgeted_pool,
        tokens: BTreeMap::new(),
        token_name_key: rand::random(),
        started: now,
        swept_at: now,
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
    type Shared = SharedSettings;

    fn register_call(&mut self, call: &Call) -> Input {
        let token = call.caller.token.name(&self.token_name_key);
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
            HostEvent::Checked { server, status, elapsed } => {
                context.core.handle(now, Input::HealthChecked { server, status, elapsed }, out);
            }
            HostEvent::Drain { zone, drained, reply } => {
                let index = self.handle.loaded().file.zones.iter().position(|name| *name == zone);
                let index = index.filter(|_| context.core.zones().is_some());
                if let Some(zone) = index {
                    context.core.handle(now, Input::DrainZone { zone: zone as u32, drained }, out);
                }
                let _ = reply.try_send(index.is_some());
            }
            HostEvent::CounterCallEnded(CallResult { counter, total, unsure, elapsed, .. }) => {
                let counter = CounterId(counter);
                context.core.handle(
                    now,
                    Input::CounterReplied { counter, total, may_have_added: unsure, elapsed },
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
                    peers.send(to, &data);
                }
            }
            Command::AddToCounter { counter, amount, ttl } => {
                // Without a counter, or with a full queue, the amount was certainly not added: the call fails at once.
                if !self.counter.as_ref().is_some_and(|client| client.call(counter.0, amount, ttl)) {
                    return Some(Input::CounterReplied {
                        counter,
                        total: None,
                        may_have_added: false,
                        elapsed: 0,
                    });
                }
            }
            // The engine executes these itself.
            Command::Send { .. }
            | Command::Cancel { .. }
            | Command::Deliver { .. }
            | Command::Answer { .. }
            | Command::Log(_) => {}
        }
        None
    }

    /// Publishes gauges, and drops tokens without a pending introspection, so that only their names remain in memory.
    fn after_batch(&mut self, now: Micros, context: EngineContext<'_>) {
        if now < self.swept_at + TOKEN_SWEEP_INTERVAL {
            return;
        }
        self.swept_at = now;
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
    /// Replaces the running settings by new ones that were already checked to need no restart.
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

    /// Passes the servers that the fleet rules allow to the core, if there are fleet rules, and updates the addresses.
    fn apply_agreed_servers(&mut self, now: Micros, core: &mut Core, out: &mut Vec<Command>) {
        if let Some(fleet_rules) = &self.fleet_rules {
            let entries = fleet_rules.server_entries(&self.handle.loaded());
            core.replace_servers(now, entries.into_iter().map(|(_, entry)| entry).collect(), out);
        }
        self.update_addresses();
    }

    /// Updates the addresses of servers, and closes idle connections to servers that were removed.
    fn update_addresses(&mut self) {
        let loaded = self.handle.loaded();
        // Addresses of removed servers are kept only while attempts are in flight: servers change for as long as the
        // process runs, so that keeping all would leak memory.
        let in_flight = &self.in_flight;
        self.addresses.retain(|server, _| in_flight.contains_key(server));
        self.addresses.extend(loaded.nodes.iter().map(|n| (n.entry.server, n.address)));
        let mut wanted: Vec<SocketAddr> = loaded.nodes.iter().map(|n| n.address).collect();
        if let Some(fleet_rules) = &self.fleet_rules {
            for (address, entry) in fleet_rules.server_entries(&loaded) {
                self.addresses.insert(entry.server, address);
                wanted.push(address);
            }
        }
        wanted.push(loaded.introspection().address);
        if let Some(budgeted_pool) = &self.budgeted_pool {
            budgeted_pool.close_idle_except(&wanted);
        }
        self.pool.keep(&wanted);
    }

    /// Counts and logs a zone's change of phase.
    fn report_zone_change(&self, change: &ZoneChange) {
        let loaded = self.handle.loaded();
        let zone = loaded.file.zones.get(change.zone as usize).cloned().unwrap_or_default();
        let phase = format!("{:?}", change.phase).to_lowercase();
        metrics::counter!("frostgauge_zone_changes", "zone" => zone.clone(), "phase" => phase.clone())
            .increment(1);
        tracing::warn!(zone, phase, why = change.reason, "zone changed its phase");
    }
}

/// Limits for a response from a server with at most `body_bytes` of content.
fn response_limits(limits: &frostgauge_settings::Limits, body_bytes: u64) -> Limits {
    Limits { line: limits.line_bytes, fields: limits.fields, head: limits.head_bytes, body: body_bytes }
}
