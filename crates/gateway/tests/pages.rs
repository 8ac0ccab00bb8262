//! The gateway in process: its answers to requests that it turns away, and the keys of its staff pages, compared with
//! recorded ones.

mod common;
#[path = "../../../tests/common/fixture.rs"]
mod fixture;
#[path = "../../../tests/common/pages.rs"]
mod pages;

use async_executor::Executor;
use async_io::{block_on, Async};
use common::zoned_settings;
use fixture::assert_recorded;
use frostgauge_gateway::admin;
use frostgauge_gateway::clock::Clock;
use frostgauge_gateway::front::http;
use frostgauge_gateway::oauth::{engine, Handle};
use frostgauge_net::{accept, listen, Closing, Places};
use pages::{lines_of, names_of_metrics, paths_of_members};
use serde_json::Value;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Longer than anything here takes; only a failing test waits so long.
const PATIENCE: Duration = Duration::from_secs(20);

/// A running gateway; it lives as long as the test's process.
struct Gateway {
    clients: SocketAddr,
    staff: SocketAddr,
}

fn bound() -> (Async<TcpListener>, SocketAddr) {
    let listener = listen(SocketAddr::from(([127, 0, 0, 1], 0))).expect("a port");
    let address = listener.get_ref().local_addr().expect("an address");
    (listener, address)
}

impl Gateway {
    fn start() -> Gateway {
        let ((clients, clients_at), (staff, staff_at)) = (bound(), bound());
        std::thread::spawn(move || {
            let executor = Arc::new(Executor::new());
            let (engine, handle) =
                engine(zoned_settings(), 1, Clock::default(), executor.clone(), None, None)
                    .expect("an engine");
            executor.spawn(engine.run()).detach();
            let (_close, closing) = Closing::new();
            let metrics = admin::install_metrics().expect("metrics");
            let pages = admin::serve(staff, handle.clone(), None, metrics, closing.clone(), executor.clone());
            executor.spawn(pages).detach();
            block_on(executor.run(serve(clients, handle, closing, &executor)));
        });
        Gateway { clients: clients_at, staff: staff_at }
    }

    /// Sends a request; the answer, to the end of the connection.
    fn say(&self, request: &str) -> String {
        let mut stream = TcpStream::connect(self.clients).expect("connected");
        stream.set_read_timeout(Some(PATIENCE)).expect("set");
        stream.write_all(request.replace('\n', "\r\n").as_bytes()).expect("written");
        let mut answer = String::new();
        stream.read_to_string(&mut answer).expect("an answer");
        answer
    }

    fn page(&self, path: &str) -> String {
        block_on(admin::fetch(self.staff, path, PATIENCE)).expect("a page")
    }
}

async fn serve(
    clients: Async<TcpListener>,
    handle: Handle,
    closing: Closing,
    executor: &Arc<Executor<'static>>,
) {
    let places = Places::new(64);
    accept(&clients, &places, &closing, |stream, from, place| {
        executor.spawn(http::serve(stream, from, place, handle.clone(), closing.clone())).detach();
    })
    .await;
}

/// A request that says that its connection ends with it.
fn request(first: &str, fields: &str) -> String {
    format!("{first} HTTP/1.1\nhost: a\nconnection: close\n{fields}\n")
}

const TOKEN: &str = "authorization: Bearer t.vale.1\n";

#[test]
fn requests_turned_away_have_the_recorded_answers() {
    let gateway = Gateway::start();
    let requests = [
        ("route", request("GET /nowhere", TOKEN)),
        ("method", request("DELETE /claims", TOKEN)),
        ("target", request("GET /claims/../x", TOKEN)),
        ("key", request("PUT /claims/7/photo", &format!("{TOKEN}content-length: 0\n"))),
        ("patience", request("GET /claims/7", &format!("{TOKEN}request-timeout-ms: soon\n"))),
        ("token-missing", request("GET /claims/7", "")),
        ("token-malformed", request("GET /claims/7", "authorization: Bearer a b\n")),
        ("request", request("GET /claims/7", "content-length: many\n")),
    ];
    let encoded = requests
        .map(|(name, request)| (name, gateway.say(&request).replace('\r', "\\r").replace('\n', "\\n")));
    assert_recorded(include_str!("fixtures/turned_away.txt"), &encoded);
}

#[test]
fn the_status_page_has_the_recorded_keys() {
    let gateway = Gateway::start();
    // An answer of its own, since nobody answers for tokens here: counts and latencies have rows then.
    gateway.say(&request("GET /claims/7", TOKEN));
    let status: Value = serde_json::from_str(&gateway.page("/status")).expect("JSON");
    let keys = paths_of_members(&status);
    assert_eq!(keys, lines_of(include_str!("fixtures/status_keys.txt")), "{keys:#?}");
}

#[test]
fn the_metrics_page_has_the_recorded_names() {
    let gateway = Gateway::start();
    gateway.say(&request("GET /claims/7", TOKEN));
    gateway.say(&request("GET /nowhere", TOKEN));
    let expected = lines_of(include_str!("fixtures/metrics.txt"));
    // Gauges are published now and then.
    let end = Instant::now() + PATIENCE;
    loop {
        let names = names_of_metrics(&gateway.page("/metrics"));
        if expected.is_subset(&names) {
            return;
        }
        let missing: Vec<_> = expected.difference(&names).collect();
        assert!(Instant::now() < end, "missing {missing:?} of {names:#?}");
        std::thread::sleep(Duration::from_millis(50));
    }
}
