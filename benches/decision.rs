//! Duration of the decisions on one request: its arrival, the end of its attempt, and the timers that expire
//! in between.

use criterion::{criterion_group, criterion_main, BenchmarkId, Criterion};
use frostgauge::*;
use std::cmp::Reverse;
use std::collections::BinaryHeap;

/// Number of gateways, of which one is run.
const GATEWAYS: usize = 400;
const CUSTOMERS: u64 = 300;
/// Time between two requests at the gateway, µs. With 1,500 requests a second over 400 gateways it would be
/// 267,000 on average, but a busy gateway receives many times the average.
const REQUEST_INTERVAL: Micros = 5_000;

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

/// A host that runs one gateway and answers each attempt at once.
struct Host {
    gateway: Gateway,
    now: Micros,
    last_request_id: u64,
    timers: BinaryHeap<Reverse<(Micros, TimerId)>>,
    out: Vec<Action>,
}

impl Host {
    fn new(server_count: u64) -> Host {
        let now = 1_000_000_000;
        let gateway = Gateway::new(settings(), 3, now).expect("the settings are in range");
        let mut host = Host { gateway, now, last_request_id: 0, timers: BinaryHeap::new(), out: vec![] };
        let entry = |k: u64| ServerEntry {
            server: ServerId(k.wrapping_mul(0x9e37_79b9_7f4a_7c15)),
            state: ServerState::Ready,
            ready_at: 0,
            size: 1.0,
            zone: (k % 3) as u32,
            cell: 0,
        };
        host.handle(Event::Servers { kind: ListKind::Full, entries: (0..server_count).map(entry).collect() });
        host
    }

    fn handle(&mut self, event: Event) {
        self.gateway.handle(self.now, event, &mut self.out);
    }

    /// Runs one request from arrival to answer, after the timers that have expired by then.
    fn run_request(&mut self) {
        self.now += REQUEST_INTERVAL;
        while let Some(Reverse((at, timer))) = self.timers.peek().copied().filter(|t| t.0 .0 <= self.now) {
            self.timers.pop();
            self.gateway.handle(at.max(self.now), Event::Timer { timer }, &mut self.out);
        }
        self.last_request_id += 1;
        let customer = self.last_request_id.wrapping_mul(0xbf58_476d_1ce4_e5b9) % CUSTOMERS;
        self.handle(Event::Request {
            id: RequestId(self.last_request_id),
            class: (self.last_request_id % 2) as usize,
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
                Action::Send { id, server, .. } => self.handle(Event::AttemptEnded {
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

fn bench_decision(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("request at 400 gateways");
    for server_count in [14, 86, 400] {
        let mut host = Host::new(server_count);
        (0..5_000).for_each(|_| host.run_request());
        group.bench_function(BenchmarkId::new("nodes", server_count), |bencher| {
            bencher.iter(|| host.run_request())
        });
    }
    group.finish();
}

criterion_group!(benches, bench_decision);
criterion_main!(benches);
