//! A small driver for scripted event sequences.
#![allow(dead_code, reason = "each test file uses its own part")]

use frostgauge::*;

pub const MS: Micros = 1_000;
pub const S: Micros = 1_000_000;

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

/// Two units a second, four at once, no ceiling.
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

/// Two gateways, one safe class, one plan, nothing but the list of servers.
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

/// A gateway with its clock, its pending timers and what it did last.
pub struct Rig {
    pub gateway: Gateway,
    pub now: Micros,
    pub timers: Vec<(Micros, TimerId)>,
    next: u64,
}

impl Rig {
    /// Starts at one second with the given servers listed.
    pub fn new(settings: Settings, servers: &[ServerEntry]) -> Rig {
        let gateway = Gateway::new(settings, 11, S).expect("sound settings");
        let mut rig = Rig { gateway, now: S, timers: Vec::new(), next: 0 };
        rig.event(Event::Servers { kind: ListKind::Full, entries: servers.to_vec() });
        rig
    }

    pub fn event(&mut self, event: Event) -> Vec<Action> {
        let mut out = Vec::new();
        self.gateway.handle(self.now, event, &mut out);
        for action in &out {
            if let Action::Timer { at, timer } = action {
                self.timers.push((*at, *timer));
            }
        }
        out.retain(|a| !matches!(a, Action::Timer { .. }));
        out
    }

    /// Lets time pass, firing timers; returns what was done, with its time.
    pub fn run_to(&mut self, end: Micros) -> Vec<(Micros, Action)> {
        let mut done = Vec::new();
        while let Some((at, timer)) = self.timers.iter().copied().filter(|t| t.0 <= end).min() {
            self.timers.retain(|t| t.1 != timer);
            self.now = self.now.max(at);
            done.extend(self.event(Event::Timer { timer }).into_iter().map(|a| (self.now, a)));
        }
        self.now = self.now.max(end);
        done
    }

    pub fn request(&mut self, class: usize, customer: u64, timeout: Micros) -> (RequestId, Vec<Action>) {
        self.next += 1;
        let id = RequestId(self.next);
        let actions = self.event(Event::Request {
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

    /// Plays a fresh customer's request to its end, each attempt ending as `status` says of its server;
    /// returns the servers tried.
    pub fn play(&mut self, customer: u64, status: impl Fn(ServerId) -> Status) -> Vec<ServerId> {
        let (id, mut actions) = self.request(0, customer, 2 * S);
        let mut tried = Vec::new();
        while let Some(server) = sent(&actions) {
            actions = self.outcome(id, tried.len() as u32, server, status(server));
            tried.push(server);
        }
        tried
    }

    pub fn outcome(&mut self, id: RequestId, attempt: u32, server: ServerId, status: Status) -> Vec<Action> {
        self.ended(id, attempt, server, status, 30 * MS)
    }

    pub fn ended(
        &mut self,
        id: RequestId,
        attempt: u32,
        server: ServerId,
        status: Status,
        elapsed: Micros,
    ) -> Vec<Action> {
        self.event(Event::AttemptEnded {
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

/// Where the actions send the request, if they do.
pub fn sent(actions: &[Action]) -> Option<ServerId> {
    actions.iter().find_map(|a| match a {
        Action::Send { server, .. } => Some(*server),
        _ => None,
    })
}

pub fn refused(actions: &[Action]) -> bool {
    actions.iter().any(|a| matches!(a, Action::Reject { .. }))
}

pub fn failed(actions: &[Action]) -> bool {
    actions.iter().any(|a| matches!(a, Action::Fail { .. }))
}
