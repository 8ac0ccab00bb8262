//! The platform's values: lists, answers, requests from whatever bytes come.

use frostgauge::{Effect, ServerState, Status};
use frostgauge_platform_protocol::settings::{self, Column, PlatformSettings};
use frostgauge_platform_protocol::targets::{self, TargetList};
use frostgauge_platform_protocol::{answer, request};
use frostgauge_proto::http::Head;
use proptest::prelude::*;
use serde_json::json;

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
    settings::read(&info).expect("good settings")
}

#[test]
fn settings_hold_names_and_the_figures_of_connections() {
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

fn head(text: &str) -> Head {
    Head::response(text.replace('\n', "\r\n").as_bytes()).expect("a head")
}

#[test]
fn only_what_says_so_has_not_run() {
    let status = |text: &str| answer::status(&head(&format!("HTTP/1.1 {text}\n\n")));
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
fn reports_and_use_that_cannot_be_read_count_as_none() {
    let platform = platform_settings();
    let load =
        answer::load(&platform, br#"{"outstanding":7,"recent_ms":14.5,"util":0.6}"#).expect("a report");
    assert_eq!((load.inflight, load.latency_ms, load.util), (Some(7.0), Some(14.5), None));
    for odd in
        ["", "{", "[]", "null", "{}", r#"{"outstanding":-1}"#, r#"{"outstanding":"7"}"#, r#"{"util":1}"#]
    {
        assert_eq!(answer::load(&platform, odd.as_bytes()), None, "{odd}");
    }
    let used = |text: &str| answer::usage(&head(&format!("HTTP/1.1 200 OK\nx-allowance-used: {text}\n\n")));
    assert_eq!(used("86"), Some(0.86));
    for odd in ["", "-1", "nan", "inf", "1e300", "plenty", "8 6"] {
        assert_eq!(used(odd), None, "{odd}");
    }
}

#[test]
fn a_list_names_servers_alike_at_every_gateway() {
    let text = r#"{"generation":41,"reset":true,"instances":[
      {"instanceId":"s-5be2a07c","hostPort":"10.1.0.18:8000","zone":"b","machineType":"m2","cell":3,
       "lifecycle":"up","weight":1.5,"startedAtMs":6100},
      {"instanceId":"s-2","hostPort":"10.1.0.19:8000","zone":"elsewhere","cell":0,"lifecycle":"draining",
       "weight":1.0,"startedAtMs":0},
      {"instanceId":"s-3","lifecycle":"removed"}]}"#;
    let list = TargetList::read(text.as_bytes()).expect("a list");
    let entries: Vec<_> = list.instances.iter().map(|t| t.entry(&platform_settings())).collect();
    assert_eq!(entries[0].state, ServerState::Ready);
    assert_eq!(
        (entries[0].ready_at, entries[0].zone, entries[0].cell, entries[0].size),
        (6_100_000, 1, 3, 1.5)
    );
    assert_eq!((entries[1].state, entries[1].zone), (ServerState::Draining, u32::MAX));
    assert_eq!(entries[2].state, ServerState::Removed);
    let moved = TargetList::read(text.replace("10.1.0.18", "10.9.0.18").as_bytes()).expect("a list");
    assert_eq!(moved.instances[0].server_id(), list.instances[0].server_id());
    assert_ne!(list.instances[0].server_id(), list.instances[1].server_id());
    assert_eq!(targets::poll_path_and_query(None), "/api/targets");
    assert_eq!(targets::poll_path_and_query(Some((41, 20))), "/api/targets?from=41&hold_ms=20");
    for odd in ["", "{}", "[]", &text.replace("41", "-1"), &text.replace("\"up\"", "\"well\"")] {
        assert!(TargetList::read(odd.as_bytes()).is_err(), "{odd}");
    }
}

proptest! {
    /// Whatever fields come, a request is read or turned away, and what is read is in range.
    #[test]
    fn no_fields_are_read_as_what_they_are_not(
        weight in "(units|spread|first|x)?=?[0-9.,=a-z -]{0,20}",
        left in "[0-9a-z -]{0,20}",
        key in "(key=)?[0-9a-fx]{14,18}",
        id in "[ -~]{0,70}",
    ) {
        let text = format!(
            "GET /read/1 HTTP/1.1\r\nhost: x\r\nx-txn: {id}\r\nx-tariff: base\r\ncookie: {key}\r\n\
             x-remaining-ms: {left}\r\nx-weight: {weight}\r\n\r\n"
        );
        let platform = platform_settings();
        if let Ok(r) = Head::request(text.as_bytes()).map_err(|_| ()).and_then(|h| request::read(&platform, &h, false).map_err(|_| ())) {
            prop_assert!(r.units > 0.0 && r.units <= 4.0);
            prop_assert!((1..=3).contains(&r.subset_size) && r.subset_start < 3);
            prop_assert!(r.customer.0 < 1 << 33 && r.timeout <= 2_500_000);
            prop_assert!(!r.id.is_empty() && r.id.len() <= 64);
        }
    }

    #[test]
    fn lists_and_reports_read_any_bytes(bytes in proptest::collection::vec(any::<u8>(), 0..300)) {
        let _ = TargetList::read(&bytes);
        prop_assert!(answer::load(&platform_settings(), &bytes).is_none_or(|l| l.inflight.is_none_or(|i| i >= 0.0)));
    }
}
