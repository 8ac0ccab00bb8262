//! Time of one request's decisions: its arrival, its outcome, and the timers that fall due meanwhile.

use criterion::{criterion_group, criterion_main, BenchmarkId, Criterion};
use frostgauge::*;
use std::cmp::Reverse;
use std::collections::BinaryHeap;

const GATEWAYS: usize = 400;
const CUSTOMERS: u64 = 300;
/// Between two requests at one gateway, microseconds: 1,500 a second over 400 gateways would be 267,000; a
/// busy one gets many times that.
const GAP: Micros = 5_000;

fn settings() -> Settings {
    let class = |priority_weight, effect| Class {
        latency_objective: 600_000,
        deadline: 2_500_000,
        late_weight_share: 0.1,
        priority_weight,
        effect,
        stream: false,
    };
    let plan =
        Plan { rate: 15.0, burst: 30.0, weight_factor: 1.6, over_quota_cost_share: 0.6, ..Plan::default() };
    let ceiling = Plan { ceiling_rate: 35.0, ceiling_burst: 45.0, ceiling_slack: 5.0, ..plan.clone() };
    Settings {
        gateway_id: 0,
        gateways: GATEWAYS,
        zone: 0,
        tick: 1_000,
        classes: vec![class(2.0, Effect::Idempotent), class(6.0, Effect::NonIdempotent)],
        plans: vec![plan, ceiling],
        capabilities: Capabilities {
            peers: true,
            cancel: true,
            retry_after: true,
            max_retry_after: 1_000_000,
            max_attempts: 4,
            peer_messages_per_s: 40.0,
            clients_mark_retries: true,
            usage_period: 500_000,
            load_reports: LoadReports::Answers,
            ..Capabilities::default()
        },
        backend_limits: BackendLimits {
            answer_slack: 8_000,
            slow_start_share: 0.2,
            slow_start_time: 17_000_000,
            collapse_multiple: 3.0,
            collapse_time: 1_500_000,
        },
    }
}

struct Host {
    gateway: Gateway,
    now: Micros,
    next: u64,
    timers: BinaryHeap<Reverse<(Micros, TimerId)>>,
    out: Vec<Action>,
}

impl Host {
    fn new(nodes: u64) -> Host {
        let now = 1_000_000_000;
        let gateway = Gateway::new(settings(), 3, now).expect("sound settings");
        let mut host = Host { gateway, now, next: 0, timers: BinaryHeap::new(), out: vec![] };
        let entry = |k: u64| ServerEntry {
            server: ServerId(k.wrapping_mul(0x9e37_79b9_7f4a_7c15)),
            state: ServerState::Ready,
            ready_at: 0,
            size: 1.0,
            zone: (k % 3) as u32,
            cell: 0,
        };
        host.event(Event::Servers { kind: ListKind::Full, entries: (0..nodes).map(entry).collect() });
        host
    }

    fn event(&mut self, event: Event) {
        self.gateway.handle(self.now, event, &mut self.out);
    }

    /// One request from arrival to answer; the gateway's other work falls due in between.
    fn request(&mut self) {
        self.now += GAP;
        while let Some(Reverse((at, timer))) = self.timers.peek().copied().filter(|t| t.0 .0 <= self.now) {
            self.timers.pop();
            self.gateway.handle(at.max(self.now), Event::Timer { timer }, &mut self.out);
        }
        self.next += 1;
        let customer = self.next.wrapping_mul(0xbf58_476d_1ce4_e5b9) % CUSTOMERS;
        self.event(Event::Request {
            id: RequestId(self.next),
            class: (self.next % 2) as usize,
            plan: (customer % 2) as usize,
            customer: CustomerId(customer),
            timeout: 2_000_000,
            units: 1.0,
            subset_size: 4,
            subset_start: 0,
            is_retry: false,
        });
        for action in std::mem::take(&mut self.out) {
            match action {
                Action::Timer { at, timer } => self.timers.push(Reverse((at, timer))),
                Action::Send { id, server, .. } => self.event(Event::AttemptEnded {
                    id,
                    attempt: 0,
                    server,
                    status: Status::Ok,
                    elapsed: 60_000,
                    request_finished: true,
                    usage: Some(0.6),
                    settled_units: None,
                    load: Some(Load { inflight: Some(3.0), ..Load::default() }),
                }),
                _ => {}
            }
        }
    }
}

fn decision(c: &mut Criterion) {
    let mut group = c.benchmark_group("request at 400 gateways");
    for nodes in [14, 86, 400] {
        let mut host = Host::new(nodes);
        (0..5_000).for_each(|_| host.request());
        group.bench_function(BenchmarkId::new("nodes", nodes), |b| b.iter(|| host.request()));
    }
    group.finish();
}

criterion_group!(benches, decision);
criterion_main!(benches);
