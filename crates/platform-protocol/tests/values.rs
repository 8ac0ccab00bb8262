//! Settings, server lists, responses and requests: what is read from valid ones, and that invalid or arbitrary bytes are
//! rejected or count as missing.

use frostgauge::{Effect, ServerState, Status};
use frostgauge_platform_protocol::settings::{self, Column, PlatformSettings};
use frostgauge_platform_protocol::targets::{self, TargetList};
use frostgauge_platform_protocol::{answer, request};
use frostgauge_proto::http::Head;
use proptest::prelude::*;
use serde_json::json;

/// Settings of gateway 2 of 3, with two classes, one plan and one column that the gateway doesn't use.
fn platform_settings() -> PlatformSettings {
    let info = json!({
        "az": 1, "me": 2, "siblings": 3, "tickUs": 2000, "zones": ["a", "b"], "novel": {},
        "classes": [{"aimUs": 600000, "deadlineUs": 2500000, "lateWorth": 0.2, "name": "read",
                     "semantics": "retryable", "value": 2.0},
                    {"aimUs": 600000, "deadlineUs": 1500000, "lateWorth": 0.0, "name": "report",
                     "semantics": "fragile", "value": 6.0}],
        "plans": [{"ceilingRate": 0.0, "concurrency": 0, "depth": 12.0, "excessCost": 1.0, "excessWorth": 0.0,
                   "name": "base", "neverOverDepth": 0.0, "rate": 2.7, "tolerance": 0.0, "valueFactor": 1.1}],
        "familyInfo": {"maxUnits": 4},
        "limits": {"attemptsCap": 4, "maxRetryAfterUs": 1000000, "connIdleUs": 15000000, "connectTimeoutUs": 250000},
        "rules": {"coldFrom": 0.15, "fallMultiple": 3.0, "graceToAnswerUs": 8000, "tipAfterUs": 1500000,
                  "warmAfterUs": 17000000, "drainGraceUs": 500000},
        "stats": {"columns": ["outstanding", "recent_ms", "novel"], "how": "probe"},
    });
    settings::read(&info).expect("the settings are valid")
}

#[test]
fn settings_hold_names_and_connection_timeouts() {
    let platform = platform_settings();
    assert_eq!((platform.settings.gateway_id, platform.settings.gateways, platform.settings.zone), (2, 3, 1));
    assert_eq!(platform.classes, ["read", "report"]);
    assert_eq!(platform.plans, ["base"]);
    assert_eq!(platform.settings.classes[1].effect, Effect::NonIdempotent);
    assert_eq!(platform.columns, [Column::Inflight, Column::Latency, Column::Other]);
    assert_eq!(
        (platform.idle_timeout, platform.connect_timeout, platform.drain_grace),
        (15_000_000, 250_000, 500_000)
    );
}

fn response_head(text: &str) -> Head {
    Head::response(text.replace('\n', "\r\n").as_bytes()).expect("the head is well-formed")
}

#[test]
fn only_503_or_504_with_rejected_field_proves_rejection() {
    let status = |text: &str| answer::status(&response_head(&format!("HTTP/1.1 {text}\n\n")));
    assert_eq!(status("200 OK"), Status::Ok);
    assert_eq!(status("500 X"), Status::Error);
    assert_eq!(status("503 X\nx-turned-away: 1"), Status::Rejected);
    assert_eq!(status("504 X\nX-Turned-Away: 1"), Status::Rejected);
    assert_eq!(status("503 X"), Status::Error);
    assert_eq!(status("503 X\nx-turned-away: 0"), Status::Error);
    assert_eq!(status("503 X\nx-turned-away: 1\nx-turned-away: 1"), Status::Error);
    assert_eq!(status("500 X\nx-turned-away: 1"), Status::Error);
    assert_eq!(status("204 X"), Status::Error);
}

#[test]
fn unreadable_load_and_usage_reports_count_as_missing() {
    let platform = platform_settings();
    let load = answer::load(&platform, br#"{"outstanding":7,"recent_ms":14.5,"util":0.6}"#)
        .expect("the report has valid values");
    assert_eq!((load.inflight, load.latency_ms, load.util), (Some(7.0), Some(14.5), None));
    for invalid in
        ["", "{", "[]", "null", "{}", r#"{"outstanding":-1}"#, r#"{"outstanding":"7"}"#, r#"{"util":1}"#]
    {
        assert_eq!(answer::load(&platform, invalid.as_bytes()), None, "{invalid:?} was accepted");
    }
    let usage =
        |text: &str| answer::usage(&response_head(&format!("HTTP/1.1 200 OK\nx-allowance-used: {text}\n\n")));
    assert_eq!(usage("86"), Some(0.86));
    for invalid in ["", "-1", "nan", "inf", "1e300", "plenty", "8 6"] {
        assert_eq!(usage(invalid), None, "{invalid:?} was accepted");
    }
}

#[test]
fn list_entries_map_to_states_zones_and_stable_ids() {
    let text = r#"{"generation":41,"reset":true,"instances":[
      {"instanceId":"s-5be2a07c","hostPort":"10.1.0.18:8000","zone":"b","machineType":"m2","cell":3,
       "lifecycle":"up","weight":1.5,"startedAtMs":6100},
      {"instanceId":"s-2","hostPort":"10.1.0.19:8000","zone":"elsewhere","cell":0,"lifecycle":"draining",
       "weight":1.0,"startedAtMs":0},
      {"instanceId":"s-3","lifecycle":"removed"}]}"#;
    let list = TargetList::read(text.as_bytes()).expect("the list is valid");
    let entries: Vec<_> = list.instances.iter().map(|target| target.entry(&platform_settings())).collect();
    assert_eq!(entries[0].state, ServerState::Ready);
    assert_eq!(
        (entries[0].ready_at, entries[0].zone, entries[0].cell, entries[0].size),
        (6_100_000, 1, 3, 1.5)
    );
    assert_eq!((entries[1].state, entries[1].zone), (ServerState::Draining, u32::MAX));
    assert_eq!(entries[2].state, ServerState::Removed);
    let moved =
        TargetList::read(text.replace("10.1.0.18", "10.9.0.18").as_bytes()).expect("the list is valid");
    assert_eq!(moved.instances[0].server_id(), list.instances[0].server_id());
    assert_ne!(list.instances[0].server_id(), list.instances[1].server_id());
    assert_eq!(targets::poll_path_and_query(None), "/api/targets");
    assert_eq!(targets::poll_path_and_query(Some((41, 20))), "/api/targets?from=41&hold_ms=20");
    for invalid in ["", "{}", "[]", &text.replace("41", "-1"), &text.replace("\"up\"", "\"well\"")] {
        assert!(TargetList::read(invalid.as_bytes()).is_err(), "{invalid:?} was accepted");
    }
}

proptest! {
    /// A request with arbitrary field values is either rejected or read with all values in range.
    #[test]
    fn requests_that_are_accepted_have_values_in_range(
        weight in "(units|spread|first|x)?=?[0-9.,=a-z -]{0,20}",
        remaining in "[0-9a-z -]{0,20}",
        cookie in "(key=)?[0-9a-fx]{14,18}",
        id in "[ -~]{0,70}",
    ) {
        let text = format!(
            "GET /read/1 HTTP/1.1\r\nhost: x\r\nx-txn: {id}\r\nx-tariff: base\r\ncookie: {cookie}\r\n\
             x-remaining-ms: {remaining}\r\nx-weight: {weight}\r\n\r\n"
        );
        let platform = platform_settings();
        let head = Head::request(text.as_bytes()).map_err(|_| ());
        if let Ok(request) = head.and_then(|head| request::read(&platform, &head, false).map_err(|_| ())) {
            prop_assert!(request.units > 0.0 && request.units <= 4.0);
            prop_assert!((1..=3).contains(&request.subset_size) && request.subset_start < 3);
            prop_assert!(request.customer.0 < 1 << 33 && request.timeout <= 2_500_000);
            prop_assert!(!request.id.is_empty() && request.id.len() <= 64);
        }
    }

    #[test]
    fn lists_and_load_reports_of_any_bytes_do_not_panic(bytes in proptest::collection::vec(any::<u8>(), 0..300)) {
        let _ = TargetList::read(&bytes);
        let load = answer::load(&platform_settings(), &bytes);
        prop_assert!(load.is_none_or(|load| load.inflight.is_none_or(|inflight| inflight >= 0.0)));
    }
}
