//! Configurations and server lists of 1,024 gateways and servers: valid ones are read completely, and an invalid entry is
//! reported with its path and the reason.

use frostgauge::ListKind;
use frostgauge_platform_protocol::config::Config;
use frostgauge_platform_protocol::targets::{Lifecycle, TargetList};
use serde_json::{json, Value};

/// Number of gateways, and of servers, in the large configuration.
const FLEET_SIZE: usize = 1_024;

/// The entries of this many servers, in discovery's format.
fn server_entries(count: usize) -> Vec<Value> {
    let entry = |k: usize| {
        json!({"instanceId": format!("s-{k:08x}"), "hostPort": format!("10.1.{}.{}:8000", k >> 8, k & 255),
            "zone": "a", "cell": 1, "lifecycle": "up", "weight": 1.0, "startedAtMs": 0})
    };
    (0..count).map(entry).collect()
}

/// The text of the configuration of the last gateway, with this many peer addresses and these known servers.
fn config_text(peer_count: usize, instances: Vec<Value>) -> String {
    let class = json!({"name": "read", "aimUs": 600_000, "deadlineUs": 2_000_000, "lateWorth": 0.0, "value": 1.0,
        "semantics": "retryable"});
    let plan = json!({"name": "base", "rate": 2.0, "depth": 4.0, "concurrency": 0, "valueFactor": 1.0,
        "excessWorth": 0.0, "excessCost": 1.0, "ceilingRate": 0.0, "neverOverDepth": 0.0, "tolerance": 0.0});
    let settings = json!({
        "me": FLEET_SIZE - 1, "siblings": FLEET_SIZE, "az": 0, "tickUs": 2_000, "classes": [class], "plans": [plan],
        "stats": {}, "familyInfo": {"mailPerS": 40.0},
        "limits": {"maxRetryAfterUs": 0, "attemptsCap": 1, "peers": true},
        "rules": {"graceToAnswerUs": 0, "coldFrom": 1.0, "warmAfterUs": 0, "fallMultiple": 1.0, "tipAfterUs": 0},
    });
    let peers: Vec<String> = (0..peer_count).map(|k| format!("10.3.{}.{}:7946", k >> 8, k & 255)).collect();
    json!({
        "name": "n1023", "listen": "127.0.0.1:8000", "discovery": "127.0.0.1:8500", "seed": "8c1f30d27a5be964",
        "limits": {"cores": 0.1, "memory_mb": 32, "sockets": 256}, "peer_listen": "127.0.0.1:7946",
        "peers": peers, "known": {"generation": 41, "reset": true, "instances": instances}, "settings": settings,
    })
    .to_string()
}

#[test]
fn a_config_of_1024_gateways_and_servers_is_complete() {
    let config = Config::read(config_text(FLEET_SIZE, server_entries(FLEET_SIZE)).as_bytes())
        .expect("the configuration is valid");
    let known = config.known.expect("the configuration has a known list").instances;
    assert_eq!((config.peers.len(), known.len()), (FLEET_SIZE, FLEET_SIZE));
    let entries = known.iter().map(|target| target.entry(&config.platform_settings)).collect();
    let mut gateway = frostgauge::Gateway::new(config.platform_settings.settings, 7, 1_000_000)
        .expect("the settings are valid");
    let list = frostgauge::Event::Servers { kind: ListKind::Full, entries };
    gateway.handle(1_000_000, list, &mut Vec::new());
    let request = frostgauge::Event::Request {
        id: frostgauge::RequestId(1),
        class: 0,
        plan: 0,
        customer: frostgauge::CustomerId(5),
        timeout: 1_000_000,
        units: 1.0,
        subset_size: FLEET_SIZE,
        subset_start: 0,
        is_retry: false,
    };
    let mut actions = Vec::new();
    gateway.handle(1_000_000, request, &mut actions);
    assert!(
        actions.iter().any(|action| matches!(action, frostgauge::Action::Send { .. })),
        "no attempt was sent: {actions:?}"
    );
}

#[test]
fn missing_peers_and_invalid_entries_are_errors_with_path() {
    let peers_error = Config::read(config_text(FLEET_SIZE - 1, server_entries(2)).as_bytes())
        .expect_err("a peer address is missing");
    assert_eq!(peers_error.to_string(), "peers: has 1023 addresses for 1024 gateways");
    let mut invalid = server_entries(FLEET_SIZE);
    invalid[700]["lifecycle"] = json!("asleep");
    let config_error = Config::read(config_text(FLEET_SIZE, invalid.clone()).as_bytes())
        .expect_err("entry 700 has an unknown lifecycle");
    assert!(
        config_error.to_string().starts_with("known.instances[700].lifecycle: unknown variant `asleep`"),
        "{config_error}"
    );
    let text = json!({"generation": 42, "reset": true, "instances": invalid}).to_string();
    let list_error = TargetList::read(text.as_bytes()).expect_err("entry 700 has an unknown lifecycle");
    assert!(
        list_error.to_string().starts_with("instances[700].lifecycle: unknown variant `asleep`"),
        "{list_error}"
    );
}

#[test]
fn entries_with_the_same_id_have_the_same_server_id() {
    let mut duplicated = server_entries(3);
    duplicated[2] = json!({"instanceId": "s-00000000", "hostPort": "10.9.9.9:8000", "lifecycle": "draining"});
    let text = json!({"generation": 42, "reset": true, "instances": duplicated}).to_string();
    let list = TargetList::read(text.as_bytes()).expect("the list is valid");
    assert_eq!(list.instances[0].server_id(), list.instances[2].server_id());
    assert_eq!(list.instances[2].lifecycle, Lifecycle::Draining);
}
