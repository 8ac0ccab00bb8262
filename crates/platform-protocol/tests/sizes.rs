//! Lists of a whole fleet: taken whole, and refused with place and reason where an entry cannot be read.

use frostgauge::ListKind;
use frostgauge_platform_protocol::config::Config;
use frostgauge_platform_protocol::targets::{Lifecycle, TargetList};
use serde_json::{json, Value};

const FLEET: usize = 1_024;

fn servers(n: usize) -> Vec<Value> {
    let one = |k: usize| {
        json!({"instanceId": format!("s-{k:08x}"), "hostPort": format!("10.1.{}.{}:8000", k >> 8, k & 255),
            "zone": "a", "cell": 1, "lifecycle": "up", "weight": 1.0, "startedAtMs": 0})
    };
    (0..n).map(one).collect()
}

fn config(peers: usize, instances: Vec<Value>) -> String {
    let class = json!({"name": "read", "aimUs": 600_000, "deadlineUs": 2_000_000, "lateWorth": 0.0, "value": 1.0,
        "semantics": "retryable"});
    let plan = json!({"name": "base", "rate": 2.0, "depth": 4.0, "concurrency": 0, "valueFactor": 1.0,
        "excessWorth": 0.0, "excessCost": 1.0, "ceilingRate": 0.0, "neverOverDepth": 0.0, "tolerance": 0.0});
    let settings = json!({
        "me": FLEET - 1, "siblings": FLEET, "az": 0, "tickUs": 2_000, "classes": [class], "plans": [plan],
        "stats": {}, "familyInfo": {"mailPerS": 40.0},
        "limits": {"maxRetryAfterUs": 0, "attemptsCap": 1, "peers": true},
        "rules": {"graceToAnswerUs": 0, "coldFrom": 1.0, "warmAfterUs": 0, "fallMultiple": 1.0, "tipAfterUs": 0},
    });
    let peers: Vec<String> = (0..peers).map(|k| format!("10.3.{}.{}:7946", k >> 8, k & 255)).collect();
    json!({
        "name": "n1023", "listen": "127.0.0.1:8000", "discovery": "127.0.0.1:8500", "seed": "8c1f30d27a5be964",
        "limits": {"cores": 0.1, "memory_mb": 32, "sockets": 256}, "peer_listen": "127.0.0.1:7946",
        "peers": peers, "known": {"generation": 41, "reset": true, "instances": instances}, "settings": settings,
    })
    .to_string()
}

#[test]
fn a_fleet_of_a_thousand_peers_and_servers_is_taken_whole() {
    let read = Config::read(config(FLEET, servers(FLEET)).as_bytes()).expect("a configuration");
    let known = read.known.expect("a list").instances;
    assert_eq!((read.peers.len(), known.len()), (FLEET, FLEET));
    let entries = known.iter().map(|t| t.entry(&read.platform_settings)).collect();
    let mut gateway =
        frostgauge::Gateway::new(read.platform_settings.settings, 7, 1_000_000).expect("sound settings");
    let list = frostgauge::Event::Servers { kind: ListKind::Full, entries };
    gateway.handle(1_000_000, list, &mut Vec::new());
    let request = frostgauge::Event::Request {
        id: frostgauge::RequestId(1),
        class: 0,
        plan: 0,
        customer: frostgauge::CustomerId(5),
        timeout: 1_000_000,
        units: 1.0,
        subset_size: FLEET,
        subset_start: 0,
        is_retry: false,
    };
    let mut out = Vec::new();
    gateway.handle(1_000_000, request, &mut out);
    assert!(out.iter().any(|a| matches!(a, frostgauge::Action::Send { .. })), "{out:?}");
}

#[test]
fn a_fleet_with_too_few_peers_or_an_entry_that_cannot_be_read_is_refused_with_its_place() {
    let short = Config::read(config(FLEET - 1, servers(2)).as_bytes()).expect_err("too few peers");
    assert_eq!(short.to_string(), "peers: has 1023 addresses for 1024 gateways");
    let mut bad = servers(FLEET);
    bad[700]["lifecycle"] = json!("asleep");
    let known = Config::read(config(FLEET, bad.clone()).as_bytes()).expect_err("no such state");
    assert!(
        known.to_string().starts_with("known.instances[700].lifecycle: unknown variant `asleep`"),
        "{known}"
    );
    let text = json!({"generation": 42, "reset": true, "instances": bad}).to_string();
    let told = TargetList::read(text.as_bytes()).expect_err("no such state");
    assert!(told.to_string().starts_with("instances[700].lifecycle: unknown variant `asleep`"), "{told}");
}

#[test]
fn a_server_named_twice_is_one_server_as_named_last() {
    let mut twice = servers(3);
    twice[2] = json!({"instanceId": "s-00000000", "hostPort": "10.9.9.9:8000", "lifecycle": "draining"});
    let text = json!({"generation": 42, "reset": true, "instances": twice}).to_string();
    let list = TargetList::read(text.as_bytes()).expect("a list");
    assert_eq!(list.instances[0].server_id(), list.instances[2].server_id());
    assert_eq!(list.instances[2].lifecycle, Lifecycle::Draining);
}
