//! Connections under budgets on real sockets: what counts, and until when, judged from the node's side of each.

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
const ANSWER: &[u8] = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok";
const LONG: Duration = Duration::from_secs(20);

/// A guard of its own, whose keepers say what the test wants.
struct Alone(Mutex<AttemptGuard>, Mutex<u64>, SocketAddr);

impl RulesAccess for Alone {
    fn now(&self) -> u64 {
        1_000
    }

    fn guard(&self) -> MutexGuard<'_, AttemptGuard> {
        self.0.lock().expect("no test panics with it")
    }
}

impl Alone {
    fn new(node: SocketAddr) -> Arc<Alone> {
        Arc::new(Alone(Mutex::new(AttemptGuard::new(1_000_000)), Mutex::new(0), node))
    }

    /// So many connections at the node, and so many for each tenant.
    fn slots(&self, at_node: u32, each: u32) {
        let class = Class { cost_milli: 1, repeatable: true, on_fallback: true };
        let tenant = Tenant { plan: "p".into(), classes: ["read".to_owned()].into(), floor_milli: 0 };
        let server = Server { address: self.2.to_string(), state: ServerState::Ready, zone: String::new() };
        let budget =
            Budget { zone: None, connections: 9, idle_ms: 60_000, attempt_ms: 60_000, rotation_ms: 1_000 };
        let rules = Rules {
            format: RULES_FORMAT,
            classes: [("read".into(), class)].into(),
            plans: [("p".into(), Plan { rate_milli: 1_000_000, ceiling_milli: None })].into(),
            tenants: ["norte", "sul"].map(|t| (t.to_owned(), tenant.clone())).into(),
            servers: [("n1".into(), server)].into(),
            gateways: [1].into(),
            budgets: Policy { budgets: [("all".to_owned(), budget)].into(), ..Policy::default() },
        };
        let (author, reason) = (String::new(), String::new());
        let version = Version { number: 1, previous_hash: [0; 32], author, reason, time_ms: 0, rules };
        let rules = Arc::new(IndexedRules::new(intersect_all(1, [&version]), Some(&version.rules)));
        let lease = LeasedRules { versions: [1].into(), expires_at: u64::MAX, rules };
        let mut epoch = self.1.lock().expect("whole");
        *epoch += 1;
        let slots = |n: u32| PermitCounts { held: 9, target: n, fallback: 0 };
        let purse = |t: &str| BudgetScope::tenant("all", &TenantClass { tenant: t.to_owned(), class: None });
        let list = vec![
            (BudgetScope::server("n1"), slots(at_node)),
            (purse("norte"), slots(each)),
            (purse("sul"), slots(each)),
        ];
        let mut tells = ReceivedGrants::default();
        tells.set_quorums([(1, ([1].into(), 1))].into());
        tells.receive(1, 1, PermitGrant::Current(*epoch, list), u64::MAX);
        let view = RulesView { lease: Some(lease), permits: Arc::new(tells), ..RulesView::default() };
        self.guard().set_view(Arc::new(view));
    }
}

struct Site {
    book: Arc<Alone>,
    held: Arc<BudgetedPool>,
    executor: Arc<Executor<'static>>,
    node: Async<TcpListener>,
    at: SocketAddr,
}

fn site() -> Site {
    site_of(4)
}

/// With so many connections that may rest.
fn site_of(most: usize) -> Site {
    let node = Async::<TcpListener>::bind(([127, 0, 0, 1], 0)).expect("a port");
    let at = node.get_ref().local_addr().expect("bound");
    let (book, executor) = (Alone::new(at), Arc::new(Executor::new()));
    let held = BudgetedPool::new(
        book.clone(),
        executor.clone(),
        None,
        PoolBounds { max_idle: most, max_idle_time: LONG, close_timeout: LONG },
    );
    Site { book, held, executor, node, at }
}

impl Site {
    fn ask(&self, tenant: &str, patience: Duration) -> async_executor::Task<End> {
        let way =
            BudgetedPath::request(&self.held, self.at, tenant, "read").expect("the rules name the node");
        self.executor.spawn(async move {
            let look = || Some(Cow::Borrowed(REQUEST));
            exchange_by(&way, look, false, &Limits::default(), patience, Instant::now() + LONG).await
        })
    }

    fn run<T>(&self, work: impl Future<Output = T>) -> T {
        let limit = async {
            Timer::after(LONG * 3).await;
            panic!("it takes too long");
        };
        future::block_on(future::or(self.executor.run(work), limit))
    }
}

async fn serve(stream: &mut Async<TcpStream>) {
    let mut got = [0; 512];
    let n = stream.read(&mut got).await.expect("read");
    assert_eq!(&got[..n], REQUEST);
    stream.write_all(ANSWER).await.expect("written");
}

async fn until(what: impl Fn() -> bool) {
    while !what() {
        Timer::after(Duration::from_millis(1)).await;
    }
}

#[test]
fn a_connection_counts_until_the_nodes_own_end_of_it_has_come() {
    let site = site();
    site.book.slots(1, 1);
    site.run(async {
        let asked = site.ask("norte", LONG);
        let (mut stream, _) = site.node.accept().await.expect("taken");
        serve(&mut stream).await;
        assert!(matches!(asked.await, End::Answered(_)));
        assert_eq!(site.held.len(), 1, "it rests");
        // Called back: it is shut here, and stands there.
        site.book.slots(0, 0);
        site.held.close_excess();
        assert_eq!(stream.read(&mut [0; 9]).await.expect("read"), 0, "this side is shut");
        assert!(!site.book.guard().all_connections_closed(), "the node has not closed yet");
        drop(stream);
        until(|| site.book.guard().all_connections_closed()).await;
    });
}

#[test]
fn who_finds_no_slot_waits_in_line_and_ends_as_never_tried_when_its_time_is_over() {
    let site = site();
    site.book.slots(1, 1);
    site.run(async {
        let first = site.ask("norte", LONG);
        let (mut stream, _) = site.node.accept().await.expect("taken");
        // All slots are in use: one waits in vain, another long enough, on the same connection once it is free.
        let short = site.ask("norte", Duration::from_millis(30));
        assert!(matches!(short.await, End::NotTried));
        let second = site.ask("norte", LONG);
        serve(&mut stream).await;
        assert!(matches!(first.await, End::Answered(_)));
        serve(&mut stream).await;
        assert!(matches!(second.await, End::Answered(_)));
        assert_eq!(site.held.len(), 1);
    });
}

#[test]
fn a_connection_that_rests_passes_to_another_tenant_only_where_its_purse_has_room() {
    let site = site();
    site.book.slots(1, 1);
    site.run(async {
        let first = site.ask("norte", LONG);
        let (mut stream, _) = site.node.accept().await.expect("taken");
        serve(&mut stream).await;
        assert!(matches!(first.await, End::Answered(_)));
        let other = site.ask("sul", LONG);
        serve(&mut stream).await;
        assert!(matches!(other.await, End::Answered(_)));
        // No room in any purse: it waits, and goes on as soon as there is.
        site.book.slots(1, 0);
        let waits = site.ask("norte", LONG);
        let refused = site.ask("sul", Duration::from_millis(30));
        assert!(matches!(refused.await, End::NotTried));
        site.book.slots(1, 1);
        site.held.close_excess();
        serve(&mut stream).await;
        assert!(matches!(waits.await, End::Answered(_)));
    });
}

#[test]
fn a_client_that_leaves_while_a_node_works_holds_the_slot_until_the_node_is_done() {
    let site = site();
    site.book.slots(1, 1);
    site.run(async {
        let asked = site.ask("norte", LONG);
        let (mut stream, _) = site.node.accept().await.expect("taken");
        let mut got = [0; 512];
        let _ = stream.read(&mut got).await.expect("read");
        // Given up: dropping the task drops its connection.
        asked.cancel().await;
        assert_eq!(stream.read(&mut got).await.expect("read"), 0, "this side is shut");
        let next = site.ask("norte", Duration::from_millis(30));
        assert!(matches!(next.await, End::NotTried), "the node still has it");
        drop(stream);
        until(|| site.book.guard().all_connections_closed()).await;
    });
}

#[test]
fn a_node_that_is_not_there_costs_no_slot_for_long() {
    let mut site = site();
    site.book.slots(1, 1);
    let gone =
        std::mem::replace(&mut site.node, Async::<TcpListener>::bind(([127, 0, 0, 1], 0)).expect("a port"));
    drop(gone);
    site.run(async {
        assert!(matches!(site.ask("norte", LONG).await, End::NotConnected));
        until(|| site.book.guard().all_connections_closed()).await;
    });
}

#[test]
fn no_more_rest_than_the_settings_say() {
    let site = site_of(0);
    site.book.slots(1, 1);
    site.run(async {
        let asked = site.ask("norte", LONG);
        let (mut stream, _) = site.node.accept().await.expect("taken");
        serve(&mut stream).await;
        assert!(matches!(asked.await, End::Answered(_)));
        assert_eq!(stream.read(&mut [0; 9]).await.expect("read"), 0, "it is shut, not kept");
        assert_eq!(site.held.len(), 0);
    });
}
