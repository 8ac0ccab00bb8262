//! Texts by which a client's request is turned away, and names of fields, compared with recorded ones.

#[path = "../../../tests/common/fixture.rs"]
mod fixture;

use fixture::assert_recorded;
use frostgauge_platform_protocol::settings::{self, PlatformSettings};
use frostgauge_platform_protocol::{answer, request};
use frostgauge_proto::http::Head;
use serde_json::json;

fn platform_settings() -> PlatformSettings {
    let info = json!({
        "az": 1, "me": 0, "siblings": 3, "tickUs": 2000, "zones": ["a", "b"],
        "classes": [{"aimUs": 600000, "deadlineUs": 2500000, "lateWorth": 0.2, "name": "read",
                     "semantics": "retryable", "value": 2.0}],
        "plans": [{"ceilingRate": 0.0, "concurrency": 0, "depth": 12.0, "excessCost": 1.0, "excessWorth": 0.0,
                   "name": "base", "neverOverDepth": 0.0, "rate": 2.7, "tolerance": 0.0, "valueFactor": 1.1}],
        "familyInfo": {"maxUnits": 4},
        "limits": {"attemptsCap": 4, "maxRetryAfterUs": 1000000},
        "rules": {"coldFrom": 0.15, "fallMultiple": 3.0, "graceToAnswerUs": 8000, "tipAfterUs": 1500000,
                  "warmAfterUs": 17000000},
        "stats": {"columns": ["outstanding"], "how": "probe"},
    });
    settings::read(&info).expect("good settings")
}

const SOUND: &str =
    "GET /read/7 HTTP/1.1\nhost: a\nx-txn: r-1\nx-tariff: base\nx-weight: units=1,spread=2,first=0\n\
    cookie: key=00000000b4d65521\nx-remaining-ms: 900\n\n";

/// What becomes of the sound request with one part replaced.
fn turned_away(part: &str, replacement: &str) -> String {
    assert!(SOUND.contains(part), "{part}");
    let text = SOUND.replace(part, replacement).replace('\n', "\r\n");
    let head = Head::request(text.as_bytes()).expect("a head");
    let rejection = request::read(&platform_settings(), &head, false).expect_err(part);
    format!("{} {}", rejection.status, rejection.reason)
}

#[test]
fn rejections_have_the_recorded_statuses_and_reasons() {
    let head = Head::request(SOUND.replace('\n', "\r\n").as_bytes()).expect("a head");
    assert!(request::read(&platform_settings(), &head, false).is_ok());
    let content = request::read(&platform_settings(), &head, true).expect_err("content");
    let encoded = [
        ("class", turned_away("/read/7", "/write/7")),
        ("method", turned_away("GET", "POST")),
        ("content", format!("{} {}", content.status, content.reason)),
        ("id", turned_away("r-1", "r 1")),
        ("plan", turned_away("tariff: base", "tariff: other")),
        ("weight-missing", turned_away("x-weight", "x-other")),
        ("weight", turned_away("units=1", "units=0")),
        ("customer", turned_away("key=", "lock=")),
        ("time-left", turned_away("900", "soon")),
    ];
    assert_recorded(include_str!("fixtures/rejections.txt"), &encoded);
}

#[test]
fn names_of_fields() {
    assert_eq!(
        (request::ID_FIELD, request::TIMEOUT_FIELD, answer::REJECTED_FIELD),
        ("x-txn", "x-remaining-ms", "x-turned-away")
    );
    let ends_here =
        ["host", "content-length", "expect", "cookie", "x-tariff", "x-weight", "x-resent", "x-remaining-ms"];
    assert_eq!(request::NOT_FORWARDED, ends_here);
}
