//! A driver that plays scripted sequences of events to a gateway, with settings to start from.
#![allow(dead_code, reason = "no test file uses all of these items")]

use frostgauge::*;

/// One millisecond, µs.
pub const MS: Micros = 1_000;
/// One second, µs.
pub const S: Micros = 1_000_000;

/// A class with a latency objective of 600 ms and a deadline of 2 s.
pub fn class(effect: Effect) -> Class {
    Class {
        latency_objective: 600 * MS,
        deadline: 2 * S,
        late_weight_share: 0.0,
        priority_weight: 1.0,
        effect,
        stream: false,
    }
}

/// A quota of 2 units per second with a burst of 4, and no ceiling.
pub fn plan() -> Plan {
    Plan {
        rate: 2.0,
        burst: 4.0,
        max_in_flight: 0,
        weight_factor: 1.0,
        over_quota_weight_share: 0.0,
        over_quota_cost_share: 1.0,
        ceiling_rate: 0.0,
        ceiling_burst: 0.0,
        ceiling_slack: 0.0,
    }
}

/// Settings of gateway 0 of two, with one idempotent class and one plan. Probes, peer messages, usage reports and
/// the shared counter are off, so the server list is the only source of information.
pub fn settings() -> Settings {
    Settings {
        gateway_id: 0,
        gateways: 2,
        zone: 0,
        tick: 2 * MS,
        classes: vec![class(Effect::Idempotent)],
        plans: vec![plan()],
        capabilities: Capabilities {
            cancel: true,
            retry_after: true,
            max_retry_after: S,
            max_attempts: 4,
            peer_messages_per_s: 40.0,
            ..Capabilities::default()
        },
        backend_limits: BackendLimits {
            answer_slack: 8 * MS,
            slow_start_share: 0.2,
            slow_start_time: 10 * S,
            collapse_multiple: 3.0,
            collapse_time: 1_500 * MS,
        },
    }
}

/// A ready server that finished its slow start long ago.
pub fn entry(server: u64, zone: u32) -> ServerEntry {
    ServerEntry {
        server: ServerId(server),
        state: ServerState::Ready,
        ready_at: 0,
        size: 1.0,
        zone,
        cell: zone,
    }
}

/// Drives one gateway: keeps its clock, its pending timers and the ids of its requests.
pub struct Driver {
    pub gateway: Gateway,
    /// The gateway's clock, µs.
    pub now: Micros,
    /// Pending timers with their time, µs.
    pub timers: Vec<(Micros, TimerId)>,
    last_request_id: u64,
}

impl Driver {
    /// Starts a gateway at 1 s and lists the given servers.
    pub fn new(settings: Settings, servers: &[ServerEntry]) -> Driver {
        let gateway = Gateway::new(settings, 11, S).expect("valid settings");
        let mut driver = Driver { gateway, now: S, timers: Vec::new(), last_request_id: 0 };
        driver.handle(Event::Servers { kind: ListKind::Full, entries: servers.to_vec() });
        driver
    }

    /// Handles an event now and keeps the timers that it sets; returns the other actions.
    pub fn handle(&mut self, event: Event) -> Vec<Action> {
        let mut out = Vec::new();
        self.gateway.handle(self.now, event, &mut out);
        for action in &out {
            if let Action::Timer { at, timer } = action {
                self.timers.push((*at, *timer));
            }
        }
        out.retain(|action| !matches!(action, Action::Timer { .. }));
        out
    }

    /// Moves the clock to `end` and fires the timers due until then; returns the actions with their times.
    pub fn advance_to(&mut self, end: Micros) -> Vec<(Micros, Action)> {
        let mut actions = Vec::new();
        while let Some((at, timer)) = self.timers.iter().copied().filter(|(due, _)| *due <= end).min() {
            self.timers.retain(|(_, pending)| *pending != timer);
            self.now = self.now.max(at);
            actions.extend(self.handle(Event::Timer { timer }).into_iter().map(|action| (self.now, action)));
        }
        self.now = self.now.max(end);
        actions
    }

    /// Sends a request of one unit to the gateway; returns its id and the actions taken at once.
    pub fn request(&mut self, class: usize, customer: u64, timeout: Micros) -> (RequestId, Vec<Action>) {
        self.last_request_id += 1;
        let id = RequestId(self.last_request_id);
        let actions = self.handle(Event::Request {
            id,
            class,
            plan: 0,
            customer: CustomerId(customer),
            timeout,
            units: 1.0,
            subset_size: 2,
            subset_start: 0,
            is_retry: false,
        });
        (id, actions)
    }

    /// Sends a request with a timeout of 2 s and ends each of its attempts after 30 ms with the `status` for
    /// its server; returns the servers of the attempts.
    pub fn run_request(&mut self, customer: u64, status: impl Fn(ServerId) -> Status) -> Vec<ServerId> {
        let (id, mut actions) = self.request(0, customer, 2 * S);
        let mut servers = Vec::new();
        while let Some(server) = sent_to(&actions) {
            actions = self.end_attempt(id, servers.len() as u32, server, status(server));
            servers.push(server);
        }
        servers
    }

    /// Ends an attempt 30 ms after it was sent; returns the actions.
    pub fn end_attempt(
        &mut self,
        id: RequestId,
        attempt: u32,
        server: ServerId,
        status: Status,
    ) -> Vec<Action> {
        self.end_attempt_after(id, attempt, server, status, 30 * MS)
    }

    /// Ends an attempt `elapsed` µs after it was sent; returns the actions.
    pub fn end_attempt_after(
        &mut self,
        id: RequestId,
        attempt: u32,
        server: ServerId,
        status: Status,
        elapsed: Micros,
    ) -> Vec<Action> {
        self.handle(Event::AttemptEnded {
            id,
            attempt,
            server,
            status,
            elapsed,
            request_finished: status == Status::Ok,
            usage: None,
            settled_units: None,
            load: None,
        })
    }
}

/// The server of the first attempt among the actions.
pub fn sent_to(actions: &[Action]) -> Option<ServerId> {
    actions.iter().find_map(|action| match action {
        Action::Send { server, .. } => Some(*server),
        _ => None,
    })
}

/// Whether the actions reject a request.
pub fn is_rejected(actions: &[Action]) -> bool {
    actions.iter().any(|action| matches!(action, Action::Reject { .. }))
}

/// Whether the actions answer a request as failed.
pub fn is_failed(actions: &[Action]) -> bool {
    actions.iter().any(|action| matches!(action, Action::Fail { .. }))
}
