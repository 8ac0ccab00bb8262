//! What the gateway decides, without sockets and clock: events in with the time, commands out.
//!
//! A request's way: [`Input::Call`] → `identity` (a verdict, or none) → its insurer → the library's
//! `Event::Request` → [`Command::Send`] → [`Input::AttemptEnded`] → [`Command::Deliver`] or
//! [`Command::Answer`]. Each call gets exactly one of the last two, unless its client leaves first.
//!
//! A revoked token, as learnt by any question about it: what has not been sent is not sent any more and is
//! answered 401; what was sent runs on and its answer is delivered, since calling it off would not undo it.

use crate::clock::Micros;
pub use crate::event::{CallId, CallMetadata, Command, Input};
use crate::reply::{Failed, GatewayAnswer};
use crate::timers::Timers;
use crate::zone_gate::ZoneGate;
use frostgauge::{Action, Event, Gateway, ListKind, RejectReason, RequestId, ServerEntry, ServerId, Status};
use frostgauge_identity::{Grant, Identity, Outcome, Step, TokenName};
use frostgauge_proto::bearer::Denied;
use frostgauge_settings::{Loaded, Tenant};
use frostgauge_zones::Zones;
use std::collections::BTreeMap;
use std::sync::Arc;

/// What a call without its final answer waits for.
#[derive(Debug)]
enum Stage {
    /// The verdict on its token.
    AwaitingVerdict,
    /// The decision library.
    Submitted(Arc<Grant>),
}

/// A call without its final answer.
#[derive(Debug)]
struct OpenCall {
    metadata: CallMetadata,
    stage: Stage,
    /// Attempts so far.
    attempts: u32,
    /// How the attempt that ended last ended.
    last_status: Option<Status>,
}

/// Admission rules that apply before the decision library, besides the settings.
pub trait Admission: Send {
    /// Whether a tenant's request of a class is admitted; `known`: the tenant, if the settings name it.
    ///
    /// # Errors
    /// The final answer.
    fn admit(
        &mut self,
        now: Micros,
        subject: &str,
        class: usize,
        known: Option<Tenant>,
    ) -> Result<Tenant, GatewayAnswer>;
}

/// Counters of calls, for operators.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct CallStats {
    /// Calls accepted.
    pub accepted: u64,
    /// Answered with a server's response.
    pub served: u64,
    /// Rejected; nothing has run, a retry does no harm.
    pub rejected: u64,
    /// Failed; the request may have run.
    pub failed: u64,
    /// Denied for their token or tenant: 401, 403.
    pub denied: u64,
    /// Their client closed its connection first.
    pub abandoned: u64,
}

/// The decisions of one gateway, and the state that they use.
pub struct Core {
    library: Gateway<ZoneGate>,
    identity: Identity,
    timers: Timers,
    calls: BTreeMap<CallId, OpenCall>,
    tenants: Arc<BTreeMap<String, Tenant>>,
    admission: Option<Box<dyn Admission>>,
    /// The grant of calls whose tenant is known without a token.
    no_grant: Arc<Grant>,
    stats: CallStats,
    /// Subtracted from a client's timeout for the answer's way back, µs.
    answer_margin: Micros,
    max_open_calls: usize,
    actions: Vec<Action>,
    steps: Vec<Step>,
}

/// The configuration of `identity`, from the settings.
fn identity_config(loaded: &Loaded) -> frostgauge_identity::Config {
    const MS: Micros = 1_000;
    let i = loaded.introspection();
    frostgauge_identity::Config {
        fresh: i.fresh_ms * MS,
        stale: i.stale_ms * MS,
        negative: i.negative_ms * MS,
        timeout: i.timeout_ms * MS,
        flights: i.flights,
        waiters: i.waiters,
        entries: i.entries,
    }
}

/// A number from 0 up to 1 that differs between calls, so that retries do not come back together.
fn jitter(call_id: CallId) -> f64 {
    (call_id.wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 11) as f64 / (1u64 << 53) as f64
}

impl Core {
    /// A core that starts now.
    ///
    /// # Errors
    /// Settings that the library does not take.
    pub fn new(loaded: &Loaded, seed: u64, now: Micros) -> Result<Core, frostgauge::SettingsError> {
        let identity = Identity::new(identity_config(loaded), seed);
        let library = Gateway::with_gate(loaded.library.clone(), seed, now, ZoneGate::new(loaded, now))?;
        let mut core = Core::of(library, identity, 0);
        core.configure(now, loaded, &mut Vec::new());
        Ok(core)
    }

    /// A core for tenants who need no verdict, with every zone available; at most so many calls at once.
    ///
    /// # Errors
    /// Settings that the library does not take.
    pub fn without_tokens(
        library: frostgauge::Settings,
        max_open_calls: usize,
        seed: u64,
        now: Micros,
    ) -> Result<Core, frostgauge::SettingsError> {
        let off = frostgauge_identity::Config {
            fresh: 0,
            stale: 0,
            negative: 0,
            timeout: 0,
            flights: 0,
            waiters: 0,
            entries: 0,
        };
        let library = Gateway::with_gate(library, seed, now, ZoneGate::default())?;
        Ok(Core::of(library, Identity::new(off, seed), max_open_calls))
    }

    fn of(library: Gateway<ZoneGate>, identity: Identity, max_open_calls: usize) -> Core {
        Core {
            library,
            identity,
            timers: Timers::default(),
            calls: BTreeMap::new(),
            tenants: Arc::default(),
            admission: None,
            no_grant: Arc::default(),
            stats: CallStats::default(),
            answer_margin: 0,
            max_open_calls,
            actions: Vec::new(),
            steps: Vec::new(),
        }
    }

    /// Applies further admission rules before the decision library.
    pub fn admit_by(&mut self, admission: Box<dyn Admission>) {
        self.admission = Some(admission);
    }

    /// Applies settings that [`Loaded::needs_restart`] accepts while it runs.
    pub fn configure(&mut self, now: Micros, loaded: &Loaded, out: &mut Vec<Command>) {
        self.tenants = Arc::new(loaded.tenants.clone());
        self.answer_margin = loaded.file.limits.answer_margin_ms * 1_000;
        self.max_open_calls = loaded.file.limits.open;
        self.identity.configure(identity_config(loaded));
        self.servers(now, loaded.entries(), out);
    }

    /// Replaces the endpoint list.
    pub fn servers(&mut self, now: Micros, entries: Vec<ServerEntry>, out: &mut Vec<Command>) {
        self.library.gate.list(now, &entries);
        self.decide(now, Event::Servers { kind: ListKind::Full, entries }, out);
        self.report_zone_changes(out);
    }

    /// Applies a watch event: a whole endpoint list, or changes to it.
    pub fn apply_watch_event(
        &mut self,
        now: Micros,
        kind: ListKind,
        entries: Vec<ServerEntry>,
        out: &mut Vec<Command>,
    ) {
        self.decide(now, Event::Servers { kind, entries }, out);
    }

    /// Counters so far.
    pub fn stats(&self) -> CallStats {
        self.stats
    }

    /// The decisions about tokens.
    pub fn identity(&self) -> &Identity {
        &self.identity
    }

    /// The decisions about zones.
    pub fn zones(&self) -> Option<&Zones> {
        self.library.gate.zones.as_ref()
    }

    fn report_zone_changes(&mut self, out: &mut Vec<Command>) {
        if let Some(zones) = &mut self.library.gate.zones {
            out.extend(zones.take_changes().into_iter().map(Command::Zone));
        }
    }

    /// Calls without their final answer.
    pub fn open_calls(&self) -> usize {
        self.calls.len()
    }

    /// When [`Core::advance`] is next needed.
    pub fn next_wake(&self) -> Option<Micros> {
        self.timers.next().into_iter().chain(self.identity.next_wake()).min()
    }

    /// Handles one input. Within a batch, hand in all that has happened before [`Core::advance`]: after a
    /// stall, answers that came in time must be seen before the deadlines that passed meanwhile.
    pub fn handle(&mut self, now: Micros, input: Input, out: &mut Vec<Command>) {
        match input {
            Input::Call(metadata) => self.call(now, metadata, out),
            Input::AuthenticatedCall { metadata, tenant } => {
                self.authenticated_call(now, metadata, tenant, out)
            }
            Input::ClientGone { call_id } => self.client_gone(now, call_id, out),
            Input::Introspected { flight, answer } => {
                let mut steps = std::mem::take(&mut self.steps);
                self.identity.answered(now, flight, answer, &mut steps);
                self.carry_out(now, steps, out);
            }
            Input::AttemptEnded { call_id, attempt, server, status, took, used, load } => {
                let id = RequestId(call_id);
                let serves = status == Status::Ok;
                let call = self.calls.get_mut(&call_id);
                let request_finished = call.is_none() || serves;
                if let Some(call) = call {
                    call.last_status = Some(status);
                    if serves {
                        self.calls.remove(&call_id);
                        self.stats.served += 1;
                        out.push(Command::Deliver { call_id, attempt });
                    }
                }
                self.library.gate.ended(now, server, status, took, load);
                self.report_zone_changes(out);
                let settled = None;
                let event = Event::AttemptEnded {
                    id,
                    attempt,
                    server,
                    status,
                    elapsed: took,
                    request_finished,
                    usage: used,
                    settled_units: settled,
                    load,
                };
                self.decide(now, event, out);
            }
            Input::Probed { server, status, load } => {
                self.decide(now, Event::ProbeResult { server, status, load }, out);
            }
            Input::Checked { server, status, took } => {
                self.library.gate.ended(now, server, status, took, None);
                self.report_zone_changes(out);
            }
            Input::DrainZone { zone, drained } => {
                if let Some(zones) = &mut self.library.gate.zones {
                    zones.drain(now, zone, drained);
                }
                self.report_zone_changes(out);
            }
            Input::CounterReplied { counter, total, unsure, took } => {
                self.decide(
                    now,
                    Event::CounterReply { counter, total, may_have_added: unsure, elapsed: took },
                    out,
                );
            }
            Input::Peer { from, data } => self.decide(now, Event::PeerMessage { from, data }, out),
        }
    }

    /// Time has passed: fires what is due.
    pub fn advance(&mut self, now: Micros, out: &mut Vec<Command>) {
        if self.identity.next_wake().is_some_and(|at| at <= now) {
            let mut steps = std::mem::take(&mut self.steps);
            self.identity.tick(now, &mut steps);
            self.carry_out(now, steps, out);
        }
        if let Some(zones) = &mut self.library.gate.zones {
            zones.advance(now);
            out.extend(zones.due_checks(now).into_iter().map(|id| Command::Check { server: ServerId(id) }));
        }
        self.report_zone_changes(out);
        while let Some(timer) = self.timers.due(now) {
            self.decide(now, Event::Timer { timer }, out);
        }
    }

    fn call(&mut self, now: Micros, metadata: CallMetadata, out: &mut Vec<Command>) {
        let (call_id, token) = (metadata.call_id, metadata.token);
        let Some(timeout) = self.accept(now, metadata, out) else { return };
        let mut steps = std::mem::take(&mut self.steps);
        self.identity.enter(now, call_id, token, timeout, &mut steps);
        self.carry_out(now, steps, out);
    }

    /// A call whose tenant is known already goes on where a verdict would have brought it.
    fn authenticated_call(
        &mut self,
        now: Micros,
        metadata: CallMetadata,
        tenant: Tenant,
        out: &mut Vec<Command>,
    ) {
        let call_id = metadata.call_id;
        if self.accept(now, metadata, out).is_some() {
            self.submit(now, call_id, self.no_grant.clone(), tenant, out);
        }
    }

    /// Registers a call; what is left of its timeout, or `None` where it is answered at once.
    fn accept(&mut self, now: Micros, metadata: CallMetadata, out: &mut Vec<Command>) -> Option<Micros> {
        self.stats.accepted += 1;
        let call_id = metadata.call_id;
        // Its wait in the queue, and the answer's way back, are subtracted from its client's timeout.
        let elapsed = now.saturating_sub(metadata.arrived) + self.answer_margin;
        let timeout = metadata.timeout.saturating_sub(elapsed);
        let full = self.calls.len() >= self.max_open_calls;
        self.calls.insert(
            call_id,
            OpenCall { metadata, stage: Stage::AwaitingVerdict, attempts: 0, last_status: None },
        );
        if timeout == 0 || full {
            let why = if full { RejectReason::Overloaded } else { RejectReason::DeadlineExceeded };
            self.answer(call_id, GatewayAnswer::Rejected { why, retry_after: 0 }, out);
            return None;
        }
        Some(timeout)
    }

    fn client_gone(&mut self, now: Micros, call_id: CallId, out: &mut Vec<Command>) {
        let Some(call) = self.calls.remove(&call_id) else { return };
        self.stats.abandoned += 1;
        match call.stage {
            Stage::AwaitingVerdict => self.identity.left(call_id),
            Stage::Submitted(_) => {
                self.decide(now, Event::ClientDisconnected { id: RequestId(call_id) }, out)
            }
        }
    }

    fn answer(&mut self, call_id: CallId, answer: GatewayAnswer, out: &mut Vec<Command>) {
        if self.calls.remove(&call_id).is_none() {
            return;
        }
        match answer {
            GatewayAnswer::Denied(_) | GatewayAnswer::UnknownTenant | GatewayAnswer::NotAllowed => {
                self.stats.denied += 1
            }
            GatewayAnswer::TokenUnverified { .. }
            | GatewayAnswer::FallbackRulesOnly { .. }
            | GatewayAnswer::Rejected { .. } => {
                self.stats.rejected += 1;
            }
            GatewayAnswer::Failed(_) => self.stats.failed += 1,
        }
        out.push(Command::Answer { call_id, answer });
    }

    /// Executes what `identity` decided.
    fn carry_out(&mut self, now: Micros, mut steps: Vec<Step>, out: &mut Vec<Command>) {
        for step in steps.drain(..) {
            match step {
                Step::Ask { flight, token, timeout } => {
                    out.push(Command::Introspect { flight, token, timeout });
                }
                Step::Release { waiter, outcome } => match outcome {
                    Outcome::Granted(grant) => self.granted(now, waiter, grant, out),
                    Outcome::Denied => self.answer(waiter, GatewayAnswer::Denied(Denied::Invalid), out),
                    Outcome::Unavailable { retry_after } => {
                        self.answer(waiter, GatewayAnswer::TokenUnverified { retry_after }, out);
                    }
                },
                Step::Revoked { token } => self.revoked(now, token, out),
            }
        }
        self.steps = steps;
    }

    /// A call with a valid token goes on to the decision library.
    fn granted(&mut self, now: Micros, call_id: CallId, grant: Arc<Grant>, out: &mut Vec<Command>) {
        let Some(call) = self.calls.get_mut(&call_id) else { return };
        let metadata = &call.metadata;
        if !metadata.scope.is_empty() && !grant.scopes.iter().any(|s| **s == *metadata.scope) {
            return self.answer(call_id, GatewayAnswer::Denied(Denied::Scope), out);
        }
        let known = self.tenants.get(&grant.subject).copied();
        let admitted = match &mut self.admission {
            Some(admission) => admission.admit(now, &grant.subject, metadata.class, known),
            None => known.ok_or(GatewayAnswer::UnknownTenant),
        };
        match admitted {
            Ok(tenant) => self.submit(now, call_id, grant, tenant, out),
            Err(answer) => self.answer(call_id, answer, out),
        }
    }

    /// A call whose tenant is known goes to the decision library.
    fn submit(
        &mut self,
        now: Micros,
        call_id: CallId,
        grant: Arc<Grant>,
        tenant: Tenant,
        out: &mut Vec<Command>,
    ) {
        let Some(call) = self.calls.get_mut(&call_id) else { return };
        let metadata = &call.metadata;
        let elapsed = now.saturating_sub(metadata.arrived) + self.answer_margin;
        let event = Event::Request {
            id: RequestId(call_id),
            class: metadata.class,
            plan: tenant.plan,
            customer: tenant.id,
            timeout: metadata.timeout.saturating_sub(elapsed),
            units: metadata.units,
            subset_size: tenant.subset_size,
            subset_start: tenant.subset_start,
            is_retry: metadata.is_retry,
        };
        call.stage = Stage::Submitted(grant);
        self.decide(now, event, out);
    }

    /// Denies the calls with this token of which nothing was sent yet: a request must not be held for longer than its
    /// token is valid.
    fn revoked(&mut self, now: Micros, token: TokenName, out: &mut Vec<Command>) {
        let unsent = |call: &OpenCall| {
            call.metadata.token == token && call.attempts == 0 && matches!(call.stage, Stage::Submitted(_))
        };
        let held: Vec<u64> = self.calls.iter().filter(|(_, o)| unsent(o)).map(|(t, _)| *t).collect();
        for call_id in held {
            self.answer(call_id, GatewayAnswer::Denied(Denied::Invalid), out);
            self.decide(now, Event::ClientDisconnected { id: RequestId(call_id) }, out);
        }
    }

    /// Hands an event to the decision library and turns its actions into commands.
    fn decide(&mut self, now: Micros, event: Event, out: &mut Vec<Command>) {
        let mut actions = std::mem::take(&mut self.actions);
        {
            self.library.handle(now, event, &mut actions);
            for action in actions.drain(..) {
                match action {
                    Action::Send { id, server, timeout } => {
                        let Some(call) = self.calls.get_mut(&id.0) else { continue };
                        let Stage::Submitted(grant) = &call.stage else { continue };
                        let (attempt, grant) = (call.attempts, grant.clone());
                        call.attempts += 1;
                        out.push(Command::Send { call_id: id.0, attempt, server, timeout, grant });
                    }
                    Action::Reject { id, retry_after, reason: why } => {
                        let advice =
                            self.library.gate.zones.as_ref().filter(|_| why == RejectReason::ZoneClosed);
                        let retry_after = advice.map_or(retry_after, |z| z.retry_after(jitter(id.0)));
                        self.answer(id.0, GatewayAnswer::Rejected { why, retry_after }, out);
                    }
                    Action::Fail { id } => {
                        let last = self.calls.get(&id.0).and_then(|call| call.last_status);
                        let failed = match last {
                            Some(Status::Error) => Failed::ServerError,
                            Some(Status::Reset) => Failed::ConnectionBroken,
                            _ => Failed::Timeout,
                        };
                        self.answer(id.0, GatewayAnswer::Failed(failed), out);
                    }
                    Action::Cancel { id, attempt } => out.push(Command::Cancel { call_id: id.0, attempt }),
                    Action::Timer { at, timer } => self.timers.set(at, timer),
                    Action::Probe { server } => out.push(Command::Probe { server }),
                    Action::SendToPeer { to, data } => out.push(Command::SendToPeer { to, data }),
                    Action::AddToCounter { counter, amount, ttl } => {
                        out.push(Command::AddToCounter { counter, amount, ttl });
                    }
                    // The list comes by reload; there is nothing to subscribe to.
                    Action::SubscribeToServers => {}
                    Action::Log { text } => out.push(Command::Log(text)),
                }
            }
        }
        self.actions = actions;
    }
}
