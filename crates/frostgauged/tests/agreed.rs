//! Founding, and starts that are refused with place and reason.

mod common;

use common::{folder, free};
use serde_json::{json, Value};
use std::path::Path;
use std::process::{Command, Output};

fn write(path: &Path, text: &str) {
    use std::os::unix::fs::PermissionsExt;
    std::fs::write(path, text).expect("written");
    std::fs::set_permissions(path, std::fs::Permissions::from_mode(0o600)).expect("mode");
}

/// The settings of gateway 0 of three, and the rules of their fleet.
fn files() -> (std::path::PathBuf, Value, Value) {
    let folder = folder();
    write(&folder.join("secret"), "not-a-real-secret");
    let links: Vec<String> = (0..3).map(|_| free().to_string()).collect();
    let settings = json!({
        "gateway": { "number": 0, "zone": "a", "listen": free().to_string(), "admin": free().to_string() },
        "fleet": { "gateways": 3 },
        "introspection": { "address": free().to_string(), "client_id": "g", "client_secret_file": "secret" },
        "classes": { "read": { "aim_ms": 500, "patience_ms": 1000, "worth": 1, "effect": { "kind": "safe" } } },
        "plans": { "p": { "rate": 9, "burst": 9 } },
        "insurers": { "vale": { "plan": "p" } },
        "routes": [{ "method": "GET", "path": "/claims/*", "class": "read" }],
        "zones": ["a"], "nodes": [{ "address": "127.0.0.1:9", "zone": "a" }],
        "accord": { "keepers": [0, 1, 2], "links": links, "secret_file": "secret", "folder": "accord" },
    });
    let rules = json!({
        "format": 2, "classes": { "read": { "cost_milli": 1000, "repeatable": true, "ground": true } },
        "plans": { "p": { "rate_milli": 9000, "ceiling_milli": null } },
        "tenants": { "vale": { "plan": "p", "classes": ["read"], "floor_milli": 1000 } },
        "servers": { "s": { "address": "127.0.0.1:9", "state": "Ready" } }, "gateways": [0, 1, 2],
    });
    (folder, settings, rules)
}

fn run(folder: &Path, settings: &Value, rules: Option<&Value>) -> Output {
    let (config, file) = (folder.join("gateway.jsonnet"), folder.join("rules.jsonnet"));
    std::fs::write(&config, settings.to_string()).expect("written");
    let mut command = Command::new(env!("CARGO_BIN_EXE_frostgauged"));
    command.arg("--config").arg(&config);
    if let Some(rules) = rules {
        std::fs::write(&file, rules.to_string()).expect("written");
        command.arg("--found").arg(&file);
    }
    command.output().expect("it runs")
}

/// It ends with code 2 and says this.
fn refused(folder: &Path, settings: &Value, rules: Option<&Value>, want: &str) {
    let out = run(folder, settings, rules);
    let said = String::from_utf8_lossy(&out.stderr).into_owned();
    assert_eq!(out.status.code(), Some(2), "{want}: {said}");
    assert!(said.contains(want), "{want}: {said}");
}

#[test]
fn a_record_is_founded_once_and_never_from_rules_with_faults() {
    let (folder, settings, rules) = files();
    let with = |path: &str, value: Value| {
        let mut changed = rules.clone();
        *changed.pointer_mut(path).expect("a place") = value;
        changed
    };
    refused(&folder, &settings, Some(&with("/format", json!(9))), "format: is 9, this program knows 2");
    let far = with("/tenants/vale/floor_milli", json!(3_001));
    refused(&folder, &settings, Some(&far), "tenants.vale.floor_milli: is over a gateway's part");
    refused(&folder, &settings, Some(&with("/gateways", json!([]))), "gateways: there must be one");
    refused(&folder, &settings, Some(&with("/tenants/vale/plan", json!("q"))), "there is no plan \"q\"");
    refused(&folder, &settings, Some(&with("/servers/s/state", json!("Gone"))), "servers.s.state");
    let out = run(&folder, &settings, Some(&rules));
    assert_eq!(out.status.code(), Some(0), "{}", String::from_utf8_lossy(&out.stderr));
    refused(&folder, &settings, Some(&rules), "a fleet is bootstrapped only once");
    let mut other = settings.clone();
    other["accord"]["keepers"] = json!([1, 2, 3]);
    other["accord"]["links"].as_array_mut().expect("a list").push(json!(free().to_string()));
    refused(
        &folder,
        &other,
        Some(&rules),
        "accord.keepers: gateway 0 is not listed; only a listed gateway can bootstrap the fleet",
    );
    other.as_object_mut().expect("an object").remove("accord");
    refused(&folder, &other, Some(&rules), "accord: the section is missing; bootstrapping a fleet needs it");
}

#[test]
fn the_example_of_a_fleet_is_sound_and_can_be_founded() {
    let (folder, ..) = files();
    write(&folder.join("fleet.secret"), "not-a-real-secret");
    write(&folder.join("client.secret"), "not-a-real-secret");
    let example = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples/fleet");
    for entry in std::fs::read_dir(&example).expect("the example").filter_map(Result::ok) {
        std::fs::copy(entry.path(), folder.join(entry.file_name())).expect("copied");
    }
    for k in 0..3 {
        let out = Command::new(env!("CARGO_BIN_EXE_frostgauged"))
            .arg("--config")
            .arg(folder.join(format!("gateway-{k}.jsonnet")))
            .arg("--found")
            .arg(folder.join("rules.jsonnet"))
            .output()
            .expect("it runs");
        assert_eq!(out.status.code(), Some(0), "{k}: {}", String::from_utf8_lossy(&out.stderr));
    }
}

#[test]
fn a_bad_section_or_a_damaged_folder_keeps_a_gateway_from_starting() {
    let (folder, settings, rules) = files();
    let refused_with = |path: &str, value: Value, want: &str| {
        let mut changed = settings.clone();
        changed["accord"][path] = value;
        refused(&folder, &changed, None, want);
    };
    refused_with("keepers", json!([0, 1]), "accord.keepers: are not 3, 5 or 7");
    refused_with("keepers", json!([0, 1, 7]), "accord.keepers: name one without a place in accord.links");
    refused_with("within_ms", json!(1), "accord.within_ms: is 1, 200 to 600000 may be");
    refused_with("confirm_ms", json!(0), "accord.confirm_ms");
    refused_with("canary_ms", json!(10), "accord.canary_ms: is 10, under within_ms");
    refused_with(
        "links",
        json!(["127.0.0.1:7000", "127.0.0.1:7000", "127.0.0.1:7001"]),
        "accord.links: names an address twice",
    );
    refused_with("links", json!(["127.0.0.1:7000"]), "accord.links: does not name every gateway");
    refused_with("secret_file", json!("nowhere"), "accord.secret_file: ");
    refused_with("lease", json!(1), "unknown field `lease`");
    let held = std::net::TcpListener::bind("127.0.0.1:0").expect("a port");
    let taken = held.local_addr().expect("bound").to_string();
    refused_with("listen", json!(taken), &format!("accord.links: cannot listen on {taken}: "));

    assert_eq!(run(&folder, &settings, Some(&rules)).status.code(), Some(0));
    let keeper = folder.join("accord/keeper");
    let journal = std::fs::read_dir(&keeper).expect("a folder").filter_map(Result::ok).map(|e| e.path());
    let journal = journal.filter(|p| p.extension().is_some_and(|e| e == "fgj")).max().expect("a journal");
    let mut bytes = std::fs::read(&journal).expect("read");
    bytes[3] ^= 1;
    std::fs::write(&journal, bytes).expect("written");
    refused(&folder, &settings, None, "at byte 0: the file is not a journal of this format, or is damaged");
}
