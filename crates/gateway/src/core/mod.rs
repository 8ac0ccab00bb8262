//! The gateway's decisions, without sockets and clock: it takes events with their time and returns commands.
//!
//! Stages of a request: [`Input::Call`] → `identity` (verdict on the token) → lookup of the tenant → the
//! library's `Event::Request` → [`Command::Send`] → [`Input::AttemptEnded`] → [`Command::Deliver`] or
//! [`Command::Answer`]. Each call gets exactly one of the last two, unless its client disconnects first.
//!
//! When an introspection request shows that a token is revoked, calls with that token of which no attempt was
//! sent are answered 401. Attempts already sent continue and their response is delivered, since cancelling
//! them would not undo their effect.

mod calls;
mod decisions;
mod tokens;

pub use self::calls::CallStats;
use self::calls::OpenCall;
use crate::clock::Micros;
pub use crate::event::{AttemptEnd, CallId, CallMetadata, Command, Input};
use crate::reply::GatewayAnswer;
use crate::timers::Timers;
use crate::zone_gate::ZoneGate;
use frostgauge::{Action, Event, Gateway, ListKind, ServerEntry, ServerId};
use frostgauge_identity::{Grant, Identity, Step};
use frostgauge_settings::{Loaded, Tenant};
use frostgauge_zones::Zones;
use std::collections::BTreeMap;
use std::sync::Arc;

/// Admission rules that are applied before a request reaches the decision library, in addition to the settings.
pub trait Admission: Send {
    /// Decides whether a tenant's request of a class is admitted, and returns the tenant's parameters. `configured` is
    /// the tenant as the settings define it, if they do.
    ///
    /// # Errors
    /// The final answer to a request that is not admitted.
    fn admit(
        &mut self,
        now: Micros,
        subject: &str,
        class: usize,
        configured: Option<Tenant>,
    ) -> Result<Tenant, GatewayAnswer>;
}

/// The decision-making part of one gateway, with its state.
pub struct Core {
    library: Gateway<ZoneGate>,
    identity: Identity,
    timers: Timers,
    calls: BTreeMap<CallId, OpenCall>,
    tenants: Arc<BTreeMap<String, Tenant>>,
    admission: Option<Box<dyn Admission>>,
    /// Empty grant, for calls whose tenant is known without a token.
    empty_grant: Arc<Grant>,
    stats: CallStats,
    /// Part of a client's timeout that is reserved for sending it the answer, µs.
    answer_margin: Micros,
    max_open_calls: usize,
    actions: Vec<Action>,
    steps: Vec<Step>,
}

/// Converts the settings into the configuration of `identity`.
fn identity_config(loaded: &Loaded) -> frostgauge_identity::Config {
    /// Microseconds per millisecond.
    const MS: Micros = 1_000;
    let settings = loaded.introspection();
    frostgauge_identity::Config {
        fresh: settings.fresh_ms * MS,
        stale: settings.stale_ms * MS,
        negative: settings.negative_ms * MS,
        timeout: settings.timeout_ms * MS,
        flights: settings.flights,
        waiters: settings.waiters,
        entries: settings.entries,
    }
}

impl Core {
    /// Creates a core that checks tokens, and starts its timers at `now`.
    ///
    /// # Errors
    /// The decision library rejects the settings.
    pub fn new(loaded: &Loaded, seed: u64, now: Micros) -> Result<Core, frostgauge::SettingsError> {
        let identity = Identity::new(identity_config(loaded), seed);
        let library = Gateway::with_gate(loaded.library.clone(), seed, now, ZoneGate::new(loaded, now))?;
        let mut core = Core::from_parts(library, identity, 0);
        core.configure(now, loaded, &mut Vec::new());
        Ok(core)
    }

    /// Creates a core for calls whose tenant is known without a token. Every zone is always available to it; at most
    /// `max_open_calls` calls are open at once.
    ///
    /// # Errors
    /// The decision library rejects the settings.
    pub fn without_tokens(
        library: frostgauge::Settings,
        max_open_calls: usize,
        seed: u64,
        now: Micros,
    ) -> Result<Core, frostgauge::SettingsError> {
        let no_introspection = frostgauge_identity::Config {
            fresh: 0,
            stale: 0,
            negative: 0,
            timeout: 0,
            flights: 0,
            waiters: 0,
            entries: 0,
        };
        let library = Gateway::with_gate(library, seed, now, ZoneGate::default())?;
        Ok(Core::from_parts(library, Identity::new(no_introspection, seed), max_open_calls))
    }

    fn from_parts(library: Gateway<ZoneGate>, identity: Identity, max_open_calls: usize) -> Core {
        Core {
            library,
            identity,
            timers: Timers::default(),
            calls: BTreeMap::new(),
            tenants: Arc::default(),
            admission: None,
            empty_grant: Arc::default(),
            stats: CallStats::default(),
            answer_margin: 0,
            max_open_calls,
            actions: Vec::new(),
            steps: Vec::new(),
        }
    }

    /// Limits the number of customers whose state is kept, see [`Gateway::limit_customers`].
    pub fn limit_customers(&mut self, max: usize) {
        self.library.limit_customers(max);
    }

    /// Sets admission rules that are applied in addition to the settings.
    pub fn set_admission(&mut self, admission: Box<dyn Admission>) {
        self.admission = Some(admission);
    }

    /// Applies changed settings. They must be ones that [`Loaded::needs_restart`] allows without a restart.
    pub fn configure(&mut self, now: Micros, loaded: &Loaded, out: &mut Vec<Command>) {
        self.tenants = Arc::new(loaded.tenants.clone());
        self.answer_margin = loaded.file.limits.answer_margin_ms * 1_000;
        self.max_open_calls = loaded.file.limits.open;
        self.identity.configure(identity_config(loaded));
        self.replace_servers(now, loaded.entries(), out);
    }

    /// Replaces the list of servers.
    pub fn replace_servers(&mut self, now: Micros, entries: Vec<ServerEntry>, out: &mut Vec<Command>) {
        self.library.gate.replace_servers(now, &entries);
        self.decide(now, Event::Servers { kind: ListKind::Full, entries }, out);
        self.report_zone_changes(out);
    }

    /// Applies a watch event: a complete list of servers, or changes to the list.
    pub fn apply_watch_event(
        &mut self,
        now: Micros,
        kind: ListKind,
        entries: Vec<ServerEntry>,
        out: &mut Vec<Command>,
    ) {
        self.decide(now, Event::Servers { kind, entries }, out);
    }

    /// Numbers of calls by outcome, since the start.
    pub fn stats(&self) -> CallStats {
        self.stats
    }

    /// The cache of token verdicts and its pending introspection requests.
    pub fn identity(&self) -> &Identity {
        &self.identity
    }

    /// The state of the zones; `None` if the settings have no `zone_policy` for this gateway's zone.
    pub fn zones(&self) -> Option<&Zones> {
        self.library.gate.zones.as_ref()
    }

    fn report_zone_changes(&mut self, out: &mut Vec<Command>) {
        if let Some(zones) = &mut self.library.gate.zones {
            out.extend(zones.take_changes().into_iter().map(Command::LogZoneChange));
        }
    }

    /// Number of calls without their final answer.
    pub fn open_calls(&self) -> usize {
        self.calls.len()
    }

    /// When [`Core::advance`] must be called next, µs; `None` if no timer is set.
    pub fn next_wake(&self) -> Option<Micros> {
        self.timers.next().into_iter().chain(self.identity.next_wake()).min()
    }

    /// Handles one input. Hand in all inputs of a batch before calling [`Core::advance`]: after a stall, responses that
    /// arrived in time must be handled before the deadlines that passed in the meantime.
    pub fn handle(&mut self, now: Micros, input: Input, out: &mut Vec<Command>) {
        match input {
            Input::Call(metadata) => self.call(now, metadata, out),
            Input::AuthenticatedCall { metadata, tenant } => {
                self.authenticated_call(now, metadata, tenant, out)
            }
            Input::ClientDisconnected { call_id } => self.client_disconnected(now, call_id, out),
            Input::Introspected { flight, answer } => {
                let mut steps = std::mem::take(&mut self.steps);
                self.identity.introspected(now, flight, answer, &mut steps);
                self.execute_steps(now, steps, out);
            }
            Input::AttemptEnded(end) => self.attempt_ended(now, end, out),
            Input::Probed { server, status, load } => {
                self.decide(now, Event::ProbeResult { server, status, load }, out);
            }
            Input::HealthChecked { server, status, elapsed } => {
                self.library.gate.record_end(now, server, status, elapsed, None);
                self.report_zone_changes(out);
            }
            Input::DrainZone { zone, drained } => {
                if let Some(zones) = &mut self.library.gate.zones {
                    zones.drain(now, zone, drained);
                }
                self.report_zone_changes(out);
            }
            Input::CounterReplied { counter, total, may_have_added, elapsed } => {
                self.decide(now, Event::CounterReply { counter, total, may_have_added, elapsed }, out);
            }
            Input::PeerMessage { from, data } => self.decide(now, Event::PeerMessage { from, data }, out),
        }
    }

    /// Fires the timers that are due at `now`.
    pub fn advance(&mut self, now: Micros, out: &mut Vec<Command>) {
        if self.identity.next_wake().is_some_and(|at| at <= now) {
            let mut steps = std::mem::take(&mut self.steps);
            self.identity.tick(now, &mut steps);
            self.execute_steps(now, steps, out);
        }
        if let Some(zones) = &mut self.library.gate.zones {
            zones.advance(now);
            out.extend(
                zones.due_checks(now).into_iter().map(|id| Command::CheckHealth { server: ServerId(id) }),
            );
        }
        self.report_zone_changes(out);
        while let Some(timer) = self.timers.due(now) {
            self.decide(now, Event::Timer { timer }, out);
        }
    }
}
