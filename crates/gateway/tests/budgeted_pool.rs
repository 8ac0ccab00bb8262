//! The pool with connection budgets on real sockets: how long each connection uses its permit, as seen from the server.

use async_executor::Executor;
use async_io::{Async, Timer};
use frostgauge_connection_budget::{
    Budget, BudgetScope, PermitCounts, PermitGrant, Policy, ReceivedGrants, TenantClass,
};
use frostgauge_consensus::{
    intersect_all, Class, Plan, Rules, Server, ServerState, Tenant, Version, RULES_FORMAT,
};
use frostgauge_fleet_agent::{AttemptGuard, IndexedRules, LeasedRules, RulesView};
use frostgauge_gateway::upstream::{BudgetedPath, BudgetedPool, PoolBounds, RulesAccess};
use frostgauge_net::{exchange_by, End};
use frostgauge_proto::http::Limits;
use futures_lite::{future, AsyncReadExt, AsyncWriteExt};
use std::borrow::Cow;
use std::future::Future;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

const REQUEST: &[u8] = b"GET / HTTP/1.1\r\nhost: a\r\n\r\n";
const RESPONSE: &[u8] = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok";
/// Longer than any step takes; only a failing test waits so long.
const LONG: Duration = Duration::from_secs(20);

/// A guard whose rules and permits the test sets directly, in place of replicas.
struct TestRules {
    guard: Mutex<AttemptGuard>,
    /// Epoch of the last grants.
    epoch: Mutex<u64>,
    server: SocketAddr,
}

impl RulesAccess for TestRules {
    fn now(&self) -> u64 {
        1_000
    }

    fn guard(&self) -> MutexGuard<'_, AttemptGuard> {
        self.guard.lock().expect("no test panics while it holds the lock")
    }
}

impl TestRules {
    fn new(server: SocketAddr) -> Arc<TestRules> {
        Arc::new(TestRules { guard: Mutex::new(AttemptGuard::new(1_000_000)), epoch: Mutex::new(0), server })
    }

    /// Sets the number of permits at the server and for each tenant.
    fn set_permits(&self, at_server: u32, per_tenant: u32) {
        let class = Class { cost_milli: 1, repeatable: true, on_fallback: true };
        let tenant = Tenant { plan: "p".into(), classes: ["read".to_owned()].into(), floor_milli: 0 };
        let server =
            Server { address: self.server.to_string(), state: ServerState::Ready, zone: String::new() };
        let budget =
            Budget { zone: None, connections: 9, idle_ms: 60_000, attempt_ms: 60_000, rotation_ms: 1_000 };
        let rules = Rules {
            format: RULES_FORMAT,
            classes: [("read".into(), class)].into(),
            plans: [("p".into(), Plan { rate_milli: 1_000_000, ceiling_milli: None })].into(),
            tenants: ["norte", "sul"].map(|name| (name.to_owned(), tenant.clone())).into(),
            servers: [("n1".into(), server)].into(),
            gateways: [1].into(),
            budgets: Policy { budgets: [("all".to_owned(), budget)].into(), ..Policy::default() },
        };
        let (author, reason) = (String::new(), String::new());
        let version = Version { number: 1, previous_hash: [0; 32], author, reason, time_ms: 0, rules };
        let rules = Arc::new(IndexedRules::new(intersect_all(1, [&version]), Some(&version.rules)));
        let lease = LeasedRules { versions: [1].into(), expires_at: u64::MAX, rules };
        let mut epoch = self.epoch.lock().expect("not poisoned");
        *epoch += 1;
        let permits = |target: u32| PermitCounts { held: 9, target, fallback: 0 };
        let tenant_scope =
            |name: &str| BudgetScope::tenant("all", &TenantClass { tenant: name.to_owned(), class: None });
        let counts = vec![
            (BudgetScope::server("n1"), permits(at_server)),
            (tenant_scope("norte"), permits(per_tenant)),
            (tenant_scope("sul"), permits(per_tenant)),
        ];
        let mut grants = ReceivedGrants::default();
        grants.set_quorums([(1, ([1].into(), 1))].into());
        grants.receive(1, 1, PermitGrant::Current(*epoch, counts), u64::MAX);
        let view = RulesView { lease: Some(lease), permits: Arc::new(grants), ..RulesView::default() };
        self.guard().set_view(Arc::new(view));
    }
}

/// A pool under test and the listener of its one server.
struct Fixture {
    rules: Arc<TestRules>,
    pool: Arc<BudgetedPool>,
    executor: Arc<Executor<'static>>,
    server: Async<TcpListener>,
    address: SocketAddr,
}

fn fixture() -> Fixture {
    fixture_with_max_idle(4)
}

/// A fixture whose pool keeps at most `max_idle` idle connections.
fn fixture_with_max_idle(max_idle: usize) -> Fixture {
    let server = Async::<TcpListener>::bind(([127, 0, 0, 1], 0)).expect("a free port");
    let address = server.get_ref().local_addr().expect("the listener's address");
    let (rules, executor) = (TestRules::new(address), Arc::new(Executor::new()));
    let pool = BudgetedPool::new(
        rules.clone(),
        executor.clone(),
        None,
        PoolBounds { max_idle, max_idle_time: LONG, close_timeout: LONG },
    );
    Fixture { rules, pool, executor, server, address }
}

impl Fixture {
    /// Sends a request of a tenant; `connect_timeout` also bounds the wait for a permit.
    fn send(&self, tenant: &str, connect_timeout: Duration) -> async_executor::Task<End> {
        let path = BudgetedPath::request(&self.pool, self.address, tenant, "read")
            .expect("the rules allow the request");
        self.executor.spawn(async move {
            let bytes = || Some(Cow::Borrowed(REQUEST));
            exchange_by(&path, bytes, false, &Limits::default(), connect_timeout, Instant::now() + LONG).await
        })
    }

    fn run<T>(&self, work: impl Future<Output = T>) -> T {
        let time_limit = async {
            Timer::after(LONG * 3).await;
            panic!("the test exceeded its time limit");
        };
        future::block_on(future::or(self.executor.run(work), time_limit))
    }
}

/// Reads one request on a connection and responds to it.
async fn serve(stream: &mut Async<TcpStream>) {
    let mut buffer = [0; 512];
    let length = stream.read(&mut buffer).await.expect("a request");
    assert_eq!(&buffer[..length], REQUEST);
    stream.write_all(RESPONSE).await.expect("response sent");
}

async fn until(condition: impl Fn() -> bool) {
    while !condition() {
        Timer::after(Duration::from_millis(1)).await;
    }
}

#[test]
fn a_connection_counts_until_the_server_closes_it() {
    let fixture = fixture();
    fixture.rules.set_permits(1, 1);
    fixture.run(async {
        let request = fixture.send("norte", LONG);
        let (mut stream, _) = fixture.server.accept().await.expect("a connection");
        serve(&mut stream).await;
        assert!(matches!(request.await, End::Answered(_)));
        assert_eq!(fixture.pool.len(), 1, "the idle connection is kept");
        // The permits are recalled: the connection is shut down here, and still open at the server.
        fixture.rules.set_permits(0, 0);
        fixture.pool.close_excess();
        assert_eq!(
            stream.read(&mut [0; 9]).await.expect("end of stream"),
            0,
            "the gateway has shut down its side"
        );
        assert!(!fixture.rules.guard().all_connections_closed(), "the server has not closed its side yet");
        drop(stream);
        until(|| fixture.rules.guard().all_connections_closed()).await;
    });
}

#[test]
fn a_request_waits_for_a_permit_until_its_deadline() {
    let fixture = fixture();
    fixture.rules.set_permits(1, 1);
    fixture.run(async {
        let first = fixture.send("norte", LONG);
        let (mut stream, _) = fixture.server.accept().await.expect("a connection");
        // All permits are in use: one request times out, another one waits long enough and reuses the connection.
        let timed_out = fixture.send("norte", Duration::from_millis(30));
        assert!(matches!(timed_out.await, End::NotTried));
        let second = fixture.send("norte", LONG);
        serve(&mut stream).await;
        assert!(matches!(first.await, End::Answered(_)));
        serve(&mut stream).await;
        assert!(matches!(second.await, End::Answered(_)));
        assert_eq!(fixture.pool.len(), 1);
    });
}

#[test]
fn an_idle_connection_moves_only_to_a_tenant_with_permits() {
    let fixture = fixture();
    fixture.rules.set_permits(1, 1);
    fixture.run(async {
        let first = fixture.send("norte", LONG);
        let (mut stream, _) = fixture.server.accept().await.expect("a connection");
        serve(&mut stream).await;
        assert!(matches!(first.await, End::Answered(_)));
        let other = fixture.send("sul", LONG);
        serve(&mut stream).await;
        assert!(matches!(other.await, End::Answered(_)));
        // No tenant has a permit: one request waits and proceeds as soon as there is one, the other times out.
        fixture.rules.set_permits(1, 0);
        let waiting = fixture.send("norte", LONG);
        let timed_out = fixture.send("sul", Duration::from_millis(30));
        assert!(matches!(timed_out.await, End::NotTried));
        fixture.rules.set_permits(1, 1);
        fixture.pool.close_excess();
        serve(&mut stream).await;
        assert!(matches!(waiting.await, End::Answered(_)));
    });
}

#[test]
fn cancelling_keeps_the_permit_until_the_server_closes() {
    let fixture = fixture();
    fixture.rules.set_permits(1, 1);
    fixture.run(async {
        let request = fixture.send("norte", LONG);
        let (mut stream, _) = fixture.server.accept().await.expect("a connection");
        let mut buffer = [0; 512];
        let _ = stream.read(&mut buffer).await.expect("a request");
        // The client disconnects: dropping the task drops its connection.
        request.cancel().await;
        assert_eq!(
            stream.read(&mut buffer).await.expect("end of stream"),
            0,
            "the gateway has shut down its side"
        );
        let next = fixture.send("norte", Duration::from_millis(30));
        assert!(matches!(next.await, End::NotTried), "the server still has the connection open");
        drop(stream);
        until(|| fixture.rules.guard().all_connections_closed()).await;
    });
}

#[test]
fn a_refused_connection_releases_its_permit() {
    let mut fixture = fixture();
    fixture.rules.set_permits(1, 1);
    let closed_listener = std::mem::replace(
        &mut fixture.server,
        Async::<TcpListener>::bind(([127, 0, 0, 1], 0)).expect("a free port"),
    );
    drop(closed_listener);
    fixture.run(async {
        assert!(matches!(fixture.send("norte", LONG).await, End::NotConnected));
        until(|| fixture.rules.guard().all_connections_closed()).await;
    });
}

#[test]
fn idle_connections_stay_within_max_idle() {
    let fixture = fixture_with_max_idle(0);
    fixture.rules.set_permits(1, 1);
    fixture.run(async {
        let request = fixture.send("norte", LONG);
        let (mut stream, _) = fixture.server.accept().await.expect("a connection");
        serve(&mut stream).await;
        assert!(matches!(request.await, End::Answered(_)));
        assert_eq!(
            stream.read(&mut [0; 9]).await.expect("end of stream"),
            0,
            "the connection is closed, not kept"
        );
        assert_eq!(fixture.pool.len(), 0);
    });
}
