//! Any legal order of events keeps the rules; the orders are drawn from a fixed seed.

mod common;
use common::*;
use frostgauge::*;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use std::collections::BTreeMap;

#[derive(Clone, Debug)]
enum Step {
    Wait(u64),
    Arrive { class: usize, customer: u64, patience: u64 },
    End { pick: usize, status: Status },
    Leave { pick: usize },
    List { server: u64, state: ServerState },
}

fn step() -> impl Strategy<Value = Step> {
    let status = prop::sample::select(vec![
        Status::Ok,
        Status::Ok,
        Status::Error,
        Status::Rejected,
        Status::ConnectFailed,
        Status::Reset,
        Status::Timeout,
    ]);
    let state = prop::sample::select(vec![
        ServerState::Ready,
        ServerState::Ready,
        ServerState::Draining,
        ServerState::Removed,
    ]);
    prop_oneof![
        3 => (1u64..120).prop_map(Step::Wait),
        6 => (0usize..4, 0u64..5, 20u64..2000)
            .prop_map(|(class, customer, patience)| Step::Arrive { class, customer, patience }),
        5 => (any::<prop::sample::Index>(), status).prop_map(|(i, status)| Step::End { pick: i.index(1 << 16), status }),
        1 => any::<prop::sample::Index>().prop_map(|i| Step::Leave { pick: i.index(1 << 16) }),
        1 => (1u64..7, state).prop_map(|(server, state)| Step::List { server, state }),
    ]
}

struct Seen {
    class: usize,
    due: Micros,
    answers: usize,
    closed: bool,
    sends: Vec<(ServerId, Micros, Option<Status>)>,
}

fn zone(server: ServerId) -> u64 {
    server.0 % 2
}

/// Follows the actions and checks each against the rules.
struct Watcher {
    rig: Rig,
    seen: BTreeMap<RequestId, Seen>,
    ready: BTreeMap<ServerId, bool>,
    granted: BTreeMap<u64, f64>,
    owners: BTreeMap<RequestId, u64>,
}

impl Watcher {
    fn check(&mut self, at: Micros, action: &Action) {
        match action {
            Action::Send { id, server, .. } => {
                let r = self.seen.get_mut(id).expect("a known request");
                assert!(!r.closed && r.answers == 0, "sent after its end");
                assert!(at <= r.due);
                assert_eq!(self.ready.get(server), Some(&true), "sent to a server that is not ready");
                assert!(r.sends.iter().all(|s| s.2.is_some()), "two attempts at once");
                assert!(r.sends.len() < 4);
                let proven = [Status::Rejected, Status::ConnectFailed, Status::NotSent];
                if let Some(ran) = r.sends.iter().find(|s| s.2.is_some_and(|x| !proven.contains(&x))) {
                    match r.class {
                        1 => panic!("a fragile request sent again"),
                        2 => assert!(zone(ran.0) == zone(*server) && at < ran.1 + 500 * MS),
                        _ => {}
                    }
                }
                if r.sends.is_empty() {
                    *self.granted.entry(self.owners[id]).or_default() += 1.0;
                }
                r.sends.push((*server, at, None));
            }
            Action::Reject { id, .. } | Action::Fail { id } => {
                let r = self.seen.get_mut(id).expect("a known request");
                assert!(!r.closed, "answered after its end");
                let proven = [Status::Rejected, Status::ConnectFailed, Status::NotSent];
                if matches!(action, Action::Reject { .. }) && (r.class == 1 || r.class == 2) {
                    assert!(
                        r.sends.iter().all(|s| s.2.is_some_and(|x| proven.contains(&x))),
                        "refused after it may have run"
                    );
                }
                assert!(at <= r.due, "answered too late");
                r.answers += 1;
                r.closed = true;
            }
            _ => {}
        }
        // The even slice of the ceiling: half of 6 a second, of 8 at once and of 2 more.
        let filled = 3.0 * (at - S) as f64 / 1e6;
        assert!(
            self.granted.values().all(|g| *g <= filled + 1e-6),
            "more than the slice has filled since the start"
        );
    }

    fn event(&mut self, event: Event) {
        let now = self.rig.now;
        for action in self.rig.event(event) {
            self.check(now, &action);
        }
    }

    fn wait(&mut self, until: Micros) {
        for (at, action) in self.rig.run_to(until) {
            self.check(at, &action);
        }
    }
}

fn play(steps: Vec<Step>) {
    let mut s = settings();
    let keyed = |scope| class(Effect::Deduplicated { scope, window: 500 * MS });
    s.classes = vec![
        class(Effect::Idempotent),
        class(Effect::NonIdempotent),
        keyed(DedupScope::Zone),
        keyed(DedupScope::All),
    ];
    s.plans[0] =
        Plan { ceiling_rate: 6.0, ceiling_burst: 8.0, ceiling_slack: 2.0, rate: 5.0, burst: 8.0, ..plan() };
    let servers: Vec<_> = (1..5).map(|k| entry(k, (k % 2) as u32)).collect();
    let rig = Rig::new(s, &servers);
    let ready = servers.iter().map(|e| (e.server, true)).collect();
    let mut w =
        Watcher { rig, seen: BTreeMap::new(), ready, granted: BTreeMap::new(), owners: BTreeMap::new() };
    let mut next = 0;
    for step in steps {
        match step {
            Step::Wait(ms) => w.wait(w.rig.now + ms * MS),
            Step::Arrive { class, customer, patience } => {
                next += 1;
                let id = RequestId(next);
                let due = w.rig.now + patience * MS + 8 * MS;
                w.seen.insert(id, Seen { class, due, answers: 0, closed: false, sends: vec![] });
                w.owners.insert(id, customer);
                let customer = CustomerId(customer);
                let timeout = patience * MS;
                w.event(Event::Request {
                    id,
                    class,
                    plan: 0,
                    customer,
                    timeout,
                    units: 1.0,
                    subset_size: 2,
                    subset_start: 0,
                    is_retry: false,
                });
            }
            Step::End { pick, status } => {
                let out: Vec<_> = w
                    .seen
                    .iter()
                    .filter(|(_, r)| r.sends.last().is_some_and(|s| s.2.is_none()))
                    .map(|(id, _)| *id)
                    .collect();
                let Some(id) = (!out.is_empty()).then(|| out[pick % out.len()]) else { continue };
                let r = w.seen.get_mut(&id).expect("just listed");
                let attempt = r.sends.len() - 1;
                let (server, sent, end) = &mut r.sends[attempt];
                *end = Some(status);
                let (server, elapsed) = (*server, w.rig.now - *sent);
                let closed = r.closed || status == Status::Ok;
                r.closed = closed;
                let attempt = attempt as u32;
                w.event(Event::AttemptEnded {
                    id,
                    attempt,
                    server,
                    status,
                    elapsed,
                    request_finished: closed,
                    usage: None,
                    settled_units: None,
                    load: None,
                });
            }
            Step::Leave { pick } => {
                let open: Vec<_> = w.seen.iter().filter(|(_, r)| !r.closed).map(|(id, _)| *id).collect();
                let Some(id) = (!open.is_empty()).then(|| open[pick % open.len()]) else { continue };
                w.seen.get_mut(&id).expect("just listed").closed = true;
                w.event(Event::ClientDisconnected { id });
            }
            Step::List { server, state } => {
                let e = ServerEntry { state, ..entry(server, (server % 2) as u32) };
                w.ready.insert(e.server, state == ServerState::Ready);
                w.event(Event::Servers { kind: ListKind::Delta, entries: vec![e] });
            }
        }
    }
    w.wait(w.rig.now + 5 * S);
    for (id, r) in &w.seen {
        assert!(r.closed && r.answers <= 1, "{id:?} was left without an answer");
    }
}

#[test]
fn legal_orders_keep_the_rules() {
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[29; 32]);
    let config = Config { cases: 400, failure_persistence: None, ..Config::default() };
    let mut runner = TestRunner::new_with_rng(config, rng);
    let steps = prop::collection::vec(step(), 1..250);
    runner
        .run(&steps, |steps| {
            play(steps);
            Ok(())
        })
        .expect("every order keeps the rules");
}
