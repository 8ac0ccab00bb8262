//! A gateway in this process: its answers to requests that it rejects, and the keys of its status and metrics pages, are
//! compared with recorded ones.

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

/// Longer than any step takes; only a failing test waits so long.
const TIMEOUT: Duration = Duration::from_secs(20);

/// A running gateway; it runs until the test process exits.
struct Gateway {
    client_address: SocketAddr,
    admin_address: SocketAddr,
}

/// A listener on a free port, and its address.
fn listen_on_loopback() -> (Async<TcpListener>, SocketAddr) {
    let listener = listen(SocketAddr::from(([127, 0, 0, 1], 0))).expect("a port");
    let address = listener.get_ref().local_addr().expect("an address");
    (listener, address)
}

impl Gateway {
    fn start() -> Gateway {
        let ((clients, client_address), (admin_listener, admin_address)) =
            (listen_on_loopback(), listen_on_loopback());
        std::thread::spawn(move || {
            let executor = Arc::new(Executor::new());
            let (engine, handle) =
                engine(zoned_settings(), 1, Clock::default(), executor.clone(), None, None)
                    .expect("an engine");
            executor.spawn(engine.run()).detach();
            let (_close, closing) = Closing::new();
            let metrics = admin::install_metrics().expect("metrics");
            let pages = admin::serve(
                admin_listener,
                handle.clone(),
                None,
                metrics,
                closing.clone(),
                executor.clone(),
            );
            executor.spawn(pages).detach();
            block_on(executor.run(serve(clients, handle, closing, &executor)));
        });
        Gateway { client_address, admin_address }
    }

    /// Sends a request and reads the response to the end of the connection.
    fn send(&self, request: &str) -> String {
        let mut stream = TcpStream::connect(self.client_address).expect("connected");
        stream.set_read_timeout(Some(TIMEOUT)).expect("set");
        stream.write_all(request.replace('\n', "\r\n").as_bytes()).expect("written");
        let mut response = String::new();
        stream.read_to_string(&mut response).expect("a response");
        response
    }

    /// Fetches a page from the administrative address.
    fn page(&self, path: &str) -> String {
        block_on(admin::fetch(self.admin_address, path, TIMEOUT)).expect("a page")
    }
}

/// Serves clients as the daemon does.
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

/// A request after which its connection closes; `method_and_target` as in `GET /`.
fn request(method_and_target: &str, fields: &str) -> String {
    format!("{method_and_target} HTTP/1.1\nhost: a\nconnection: close\n{fields}\n")
}

const TOKEN: &str = "authorization: Bearer t.vale.1\n";

#[test]
fn rejected_requests_have_the_recorded_answers() {
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
        .map(|(name, request)| (name, gateway.send(&request).replace('\r', "\\r").replace('\n', "\\n")));
    assert_recorded(include_str!("fixtures/turned_away.txt"), &encoded);
}

#[test]
fn the_status_page_has_the_recorded_keys() {
    let gateway = Gateway::start();
    // There is no introspection server, so that the gateway answers itself; then counts and latencies have rows.
    gateway.send(&request("GET /claims/7", TOKEN));
    let status: Value = serde_json::from_str(&gateway.page("/status")).expect("JSON");
    let keys = paths_of_members(&status);
    assert_eq!(keys, lines_of(include_str!("fixtures/status_keys.txt")), "{keys:#?}");
}

#[test]
fn the_metrics_page_has_the_recorded_names() {
    let gateway = Gateway::start();
    gateway.send(&request("GET /claims/7", TOKEN));
    gateway.send(&request("GET /nowhere", TOKEN));
    let expected = lines_of(include_str!("fixtures/metrics.txt"));
    // Gauges are published at intervals.
    let deadline = Instant::now() + TIMEOUT;
    loop {
        let names = names_of_metrics(&gateway.page("/metrics"));
        if expected.is_subset(&names) {
            return;
        }
        let missing: Vec<_> = expected.difference(&names).collect();
        assert!(Instant::now() < deadline, "missing {missing:?} of {names:#?}");
        std::thread::sleep(Duration::from_millis(50));
    }
}
